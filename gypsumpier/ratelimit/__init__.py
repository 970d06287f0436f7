"""Limits on the requests per second that upstreams state in their answers."""
