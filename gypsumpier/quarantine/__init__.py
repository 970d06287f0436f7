"""Finds what requests that end upstreams have in common, and refuses it."""
