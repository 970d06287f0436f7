"""Parts of the measurement of requests."""
