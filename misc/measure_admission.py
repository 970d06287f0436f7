"""Measures the processor time of one admission by the size of the fleet.

Prints a row for each size: an admission where engines have free places, and one where all are full.
Absolute times vary with the machine; what counts is how they grow.
"""

import random
import time
from typing import Final

import click

from gypsumpier.gateway.admission import Admission
from gypsumpier.test.builders_gateway import admission_of, engines_in, request_of, selector_of
from gypsumpier.upstream.peerloads import Load

SIZES: Final = ((10, 9), (23, 16), (60, 24), (120, 48), (240, 96))
"""Engines, and entries or zones that report their loads."""
ZONES: Final = tuple(f"zone-{number}" for number in range(5))
LOADED_ENGINES: Final = 6
"""Engines at which each entry has requests."""
FULL: Final = 20
"""Requests in flight at an engine that is full."""
MS_PER_S: Final = 1000.0


def admission_s(engine_count: int, report_count: int, is_full: bool, seconds: float) -> float:
    """Return the mean processor time of an admission, measured for so many seconds of it."""
    state = engines_in(ZONES, engine_count)
    selector = selector_of(state, ZONES[0])
    admission = admission_of(state, selector)
    names = sorted(state.upstreams)
    for number in range(report_count):
        loads = {name: Load(1, 300) for name in random.sample(names, LOADED_ENGINES)}
        selector.record_peer_loads(f"entry {number}", loads)
    if is_full:
        selector.record_peer_loads("all others", {name: Load(FULL, 0) for name in names})
    return measured_s(admission, seconds)


def measured_s(admission: Admission, seconds: float) -> float:
    """Return the mean processor time of an admission."""
    request = request_of(admission.fleet_state)
    admission.try_admit(request)
    count, began_s = 0, time.process_time()
    while time.process_time() - began_s < seconds:
        record = admission.try_admit(request)
        count += 1
        if record is not None:
            admission.selector.end(record, request.unread_tokens)
    return (time.process_time() - began_s) / count


@click.command()
@click.option("--seconds", default=0.5, help="Processor time in seconds for each figure.")
def main(seconds: float) -> None:
    """Print the table."""
    click.echo("engines reports  places free      all full")
    for engine_count, report_count in SIZES:
        free_ms, full_ms = (
            MS_PER_S * admission_s(engine_count, report_count, is_full, seconds)
            for is_full in (False, True)
        )
        click.echo(f"{engine_count:7} {report_count:7} {free_ms:9.3f} ms {full_ms:10.3f} ms")


if __name__ == "__main__":
    main()
