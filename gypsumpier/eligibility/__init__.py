"""Decides whether a request may go to an upstream now, and names what prevents it."""
