"""Weights as numbered pieces: drawn once, passed on between processes, staged and switched."""
