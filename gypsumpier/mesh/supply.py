"""Which zones get the store's changes from a zone that is nearer to the store.

Each zone has a reader of the store, and each change is an answer to each of them: of a large
configuration that is a whole copy over the link between regions.  So the reader of a zone leaves
the reading to one of another region that gets its answers sooner, and is sent what that one reads.
Nothing is agreed on: a reader that is not supplied any more reads the store again.
"""

import time
from typing import Any, Final

from gypsumpier.log import decision
from gypsumpier.mesh.mesh import Mesh
from gypsumpier.mesh.peer import Peer

SUPPLY: Final = "supply"
"""Kind of the message that asks a reader for what it reads, and the feature of builds with it."""
ANSWER_S: Final = "answer_s"
"""Field of a message: the seconds in which the store answers its sender."""
ANSWERS_MIN: Final = 5
"""Answers of the store from which on their shortest time is taken for the distance to it."""
MEASURE_S: Final = 5.0
"""Seconds after which a supplied reader measures its distance again: a starved process may have
taken it for far."""
NEARER_S: Final = 0.001
"""Seconds by which the store must answer another reader sooner; regions are 2 ms and more apart."""
EARLY_MAX_S: Final = 0.05
"""Seconds by which a wait of the store may end early by its clock; an answer before that was cut
short, and tells no distance."""
SUPPLIED_S: Final = 2.6
"""Seconds without anything of the supplier after which a reader reads the store itself.  Longer
than a watch, and so short that nobody takes over before it."""
WANTED_S: Final = 6.0
"""Seconds for which a reader is supplied after it has asked; it asks with each message."""


class ZoneSupply:
    """The reader that supplies this process, and those that this process supplies.

    ``answer_s`` is the shortest time in which the store has answered here, in seconds, ``answers``
    the number of its answers, the last of them at ``answered_at_s``.  ``wanted_at_s`` has the
    monotonic times at which readers of other zones have asked, by name.
    """

    def __init__(self, mesh: Mesh) -> None:
        self.mesh = mesh
        self.answers = 0
        self.answer_s = float("inf")
        self.answered_at_s = float("-inf")
        self.supplier = ""
        self.supplied_at_s = float("-inf")
        self.wanted_at_s: dict[str, float] = {}
        mesh.features.add(SUPPLY)
        mesh.listeners[SUPPLY] = self.handle_wanted

    def record_answer(self, seconds: float) -> None:
        """Record how long the store took for an answer without content."""
        if seconds < -EARLY_MAX_S:
            return
        self.answers += 1
        self.answered_at_s = time.monotonic()
        self.answer_s = min(self.answer_s, max(0.0, seconds))

    def should_measure(self) -> bool:
        """Return whether this process, which is supplied, should ask the store for an answer."""
        return self.is_supplied() and time.monotonic() - self.answered_at_s > MEASURE_S

    def fields(self) -> dict[str, float]:
        """Return the field of a message that tells the distance; none while it is not known."""
        return {ANSWER_S: self.answer_s} if self.answers >= ANSWERS_MIN else {}

    def want(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Ask a reader for what it reads where it is of another region and nearer to the store."""
        if peer.region == self.mesh.own.region or self.answers < ANSWERS_MIN:
            return
        if not self.mesh.understands(peer.name, SUPPLY):
            return
        # A supplier is left for a nearer one only once it is silent: two would send twice.
        if self.is_supplied() and peer.name != self.supplier:
            return
        if float(payload.get(ANSWER_S, float("inf"))) + NEARER_S < self.answer_s:
            self.mesh.post(peer.name, SUPPLY, {})

    def handle_wanted(self, peer: Peer, payload: dict[str, Any]) -> None:
        """Supply a reader of another zone from now on."""
        self.wanted_at_s[peer.name] = time.monotonic()

    def recipients(self) -> list[Peer]:
        """Return the readers of other zones that this process supplies."""
        earliest_s = time.monotonic() - WANTED_S
        self.wanted_at_s = {
            name: at_s for name, at_s in self.wanted_at_s.items() if at_s >= earliest_s
        }
        return [peer for peer in self.mesh.peers() if peer.name in self.wanted_at_s]

    def record_supplied(self, peer: Peer) -> None:
        """Record that a reader has sent what it has read."""
        if peer.name != self.supplier or not self.is_supplied():
            decision("store_supplier", supplier=peer.name, zone=peer.zone)
        self.supplier = peer.name
        self.supplied_at_s = time.monotonic()

    def is_supplied(self) -> bool:
        """Return whether another reader sends what it reads."""
        is_connected = self.mesh.link(self.supplier) is not None
        return is_connected and time.monotonic() - self.supplied_at_s < SUPPLIED_S
