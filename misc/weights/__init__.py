"""Parts of the measurement of weights."""
