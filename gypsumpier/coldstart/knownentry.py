"""What is known of one entry of the deployment."""

from typing import NamedTuple


class KnownEntry(NamedTuple):
    """An entry by name, known here since ``since_s`` and alive at ``seen_at_s``, in boot time."""

    since_s: float
    seen_at_s: float
