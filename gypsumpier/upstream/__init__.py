"""Requests from an entry straight to upstreams: kept connections, exchanges, load and choice."""
