"""The streams between processes on the platform: discovery, messages and requests."""
