"""Runs one probe of the package's own code in this process and prints its costs as JSON.

python -m misc.capacity.probe members 12380 http://127.0.0.1:PORT
"""

import asyncio
import json
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Final

from gypsumpier.log import LOGGER
from misc.capacity.probedecoder import probe_decoders
from misc.capacity.probedigest import probe_digest
from misc.capacity.probedocument import probe_documents
from misc.capacity.probeframe import probe_frames
from misc.capacity.probekey import probe_keys
from misc.capacity.probemember import probe_members
from misc.capacity.probeplan import probe_plan

Probe = Callable[[int, str], Coroutine[Any, Any, dict[str, float]]]

PROBES: Final[dict[str, Probe]] = {
    "members": probe_members,
    "documents": probe_documents,
    "digest": probe_digest,
    "frames": probe_frames,
    "keys": probe_keys,
    "decoders": probe_decoders,
    "plan": probe_plan,
}


async def run_probe(name: str, size: int, url: str = "") -> dict[str, float]:
    """Run the probe in a separate process; return its costs.

    Raises RuntimeError if the process fails.
    """
    arguments = [sys.executable, "-m", "misc.capacity.probe", name, str(size), url]
    process = await asyncio.create_subprocess_exec(*arguments, stdout=asyncio.subprocess.PIPE)
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(f"probe {name} {size} ended with status {process.returncode}")
    costs: dict[str, float] = json.loads(output.splitlines()[-1])
    return costs


def main() -> None:
    """Run the probe that the command line names."""
    name, size, url = sys.argv[1:]
    # Warnings only, so that writing log lines to a terminal is not measured.
    LOGGER.setLevel("WARNING")
    print(json.dumps(asyncio.run(PROBES[name](int(size), url))))


if __name__ == "__main__":
    main()
