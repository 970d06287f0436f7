"""The phases of a version's rollout at one agent, in order."""

from typing import Final

MANIFEST: Final = "manifest"
"""The list of files is being read."""
TURN: Final = "turn"
"""Old and new don't fit into the engine together; the agent waits to take it out of service."""
DRAIN: Final = "drain"
"""The engine completes its running requests before the old version is unloaded."""
TRANSFER: Final = "transfer"
"""Chunks are being fetched, verified and staged."""
LOAD: Final = "load"
"""The load has been ordered; the engine doesn't report the version as live yet."""
LIVE: Final = "live"
"""The engine reports the version as live with the expected digest."""
