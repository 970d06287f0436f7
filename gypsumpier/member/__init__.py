"""The instances of the system, from the platform's list and our own heartbeats."""
