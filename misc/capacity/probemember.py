"""Cost of polling the member list and merging it into the member table."""

import os
import time
from hashlib import sha256
from typing import Any, Final

from gypsumpier.clock import SystemClock
from gypsumpier.external.membership_http import HttpMembership
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options
from misc.capacity import target
from misc.capacity.usage import resident_bytes
from misc.capacity.wire import HEADER_BYTES
from misc.http import get_json, post_json

POLLS: Final = 8
# Each call opens a connection: segments of handshake, request, answer and close.
SEGMENTS_PER_CALL: Final = 10


async def probe_members(size: int, url: str) -> dict[str, float]:
    """Poll a list of that many members, alternately unchanged and with one changed member."""
    members = [member(number) for number in range(size)]
    await post_json(f"{url}/control/put", {"members": members})
    bytes_before = (await get_json(f"{url}/control/counts"))["bytes_sent"]
    empty_bytes = resident_bytes(os.getpid())
    membership = HttpMembership(url)
    table = MemberTable(Options(), SystemClock())
    table.merge_list(await membership.members())
    held_bytes = resident_bytes(os.getpid()) - empty_bytes
    first_bytes = (await get_json(f"{url}/control/counts"))["bytes_sent"] - bytes_before
    unchanged_s, changed_s = 0.0, 0.0
    for poll in range(POLLS):
        unchanged_s += await poll_once(membership, table)
        await post_json(f"{url}/control/put", member(0) | {"incarnation": f"again-{poll}"})
        changed_s += await poll_once(membership, table)
    total_bytes = (await get_json(f"{url}/control/counts"))["bytes_sent"] - bytes_before
    assert len(table.members) == size
    unchanged_bytes = (total_bytes - first_bytes) / POLLS - first_bytes
    changes_per_s = target.LIST_CHANGES_PER_S
    header_bytes = SEGMENTS_PER_CALL * HEADER_BYTES
    return {
        "poll_s": (unchanged_s + changes_per_s * changed_s) / POLLS,
        "changed_s": changed_s / POLLS,
        "poll_bytes": unchanged_bytes + changes_per_s * first_bytes + header_bytes,
        "changed_bytes": first_bytes,
        "held_bytes": held_bytes,
    }


async def poll_once(membership: HttpMembership, table: MemberTable) -> float:
    """Poll and merge the list; return the processor time in seconds."""
    before_s = time.process_time()
    table.merge_list(await membership.members())
    return time.process_time() - before_s


def member(number: int) -> dict[str, Any]:
    """Return one member of a fleet with the target's numbers of zones, regions and entries."""
    role = "entry" if number % (target.MEMBERS // target.ENTRIES) == 0 else "agent"
    zone = f"zone-{number % target.ZONES}"
    return {
        "name": f"service-{number % 100}/{zone}/{number}",
        "incarnation": sha256(str(number).encode()).hexdigest()[:32],
        "role": role,
        "service": "" if role == "entry" else f"service-{number % 100}",
        "region": f"region-{number % target.ZONES % target.REGIONS}",
        "zone": zone,
        "host": f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        "port": 7000,
        "bulk_port": 7001,
        "leaving": False,
    }
