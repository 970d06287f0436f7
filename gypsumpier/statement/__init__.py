"""What upstreams state about themselves in their answers: limits, rests, and that they leave."""
