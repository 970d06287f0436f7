"""The phases through which an agent brings a version live, in order."""

from typing import Final

MANIFEST: Final = "manifest"
"""The list of files is being read."""
TURN: Final = "turn"
"""Old and new don't fit into the engine together; the agent waits until it may take it out."""
DRAIN: Final = "drain"
"""The engine finishes what it runs before the old version is unloaded."""
TRANSFER: Final = "transfer"
"""Chunks are being drawn, verified and staged."""
LOAD: Final = "load"
"""The load has been ordered; the engine doesn't report the version live yet."""
LIVE: Final = "live"
"""The engine reports the version live with the right digest."""
