"""The instances of the system, from the platform's member list and from live connections."""
