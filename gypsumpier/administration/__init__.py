"""The administration API: metrics, health, and a versioned read-only view of one process.

Nothing can be written through it.  The only POST validates the document in its body without
storing it.
"""
