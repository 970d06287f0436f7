"""The phases through which an agent brings a version live, in order."""

from typing import Final

MANIFEST: Final = "manifest"
"""The list of files is being read."""
TRANSFER: Final = "transfer"
"""Chunks are being drawn, verified and staged."""
TURN: Final = "turn"
"""Everything is staged; the agent waits until it may take its engine out of service."""
DRAIN: Final = "drain"
"""The engine finishes what it runs, because old and new don't fit into it together."""
LOAD: Final = "load"
"""The load has been ordered; the engine doesn't report the version live yet."""
LIVE: Final = "live"
"""The engine reports the version live with the right digest."""
