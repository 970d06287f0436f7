"""Requests to upstreams: pooled connections, exchanges, load tracking and selection."""
