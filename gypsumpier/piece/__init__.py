"""Weights as numbered pieces: fetched once, forwarded between processes, staged and switched."""
