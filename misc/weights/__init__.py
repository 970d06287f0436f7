"""Parts of the measurement of weight rollouts."""
