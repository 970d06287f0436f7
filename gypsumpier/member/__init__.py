"""The instances of the system, from the platform's member list and heartbeats on connections."""
