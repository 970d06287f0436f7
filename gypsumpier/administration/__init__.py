"""The administration API: metrics, health, and a versioned read-only view of one process.

Nothing can be written through it.  The one POST validates the document that is sent to it, and
keeps nothing of it.
"""
