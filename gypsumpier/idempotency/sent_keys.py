"""The keys that one entry has sent to homes, kept until no caller resends them.

An entry notes a key before it sends it, so that what it reports to a new home is never less than
what it has sent.  A send that no home has answered for counts as *may have run*.
"""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeptAnswer, KeyState
from gypsumpier.idempotency.reported import ReportedKey


@dataclass
class SentKey:
    """One key; ``state`` is REFUSED while every send was answered with *not run*.

    ``homes`` are the processes that it was sent to; an empty name stands for unknown ones.
    ``answer`` is kept for a home that stopped as planned, until the next one asks.
    """

    service: str
    fingerprint: str
    state: KeyState
    unsettled: int
    changed_at_s: float
    answer: KeptAnswer | None = None
    homes: set[str] = field(default_factory=set)


class SentKeys:
    """Remembers sent keys, bounded in number and time."""

    def __init__(self, limit: int, retention_s: float, answer_bytes: int = 0) -> None:
        self.limit = limit
        self.answer_bytes_left = answer_bytes
        self.retention_s = retention_s
        self.keys: OrderedDict[tuple[str, KeyId], SentKey] = OrderedDict()

    def note(self, service: str, key_id: KeyId, fingerprint: str, home: str, now_s: float) -> bool:
        """Note a key before it is sent to a process; False means that it must not be sent."""
        self.forget_old(now_s)
        known = self.keys.get((service, key_id))
        if known is None:
            if len(self.keys) >= self.limit:
                return False
            known = SentKey(service, fingerprint, KeyState.REFUSED, 0, now_s)
            self.keys[(service, key_id)] = known
        known.unsettled += 1
        known.homes.add(home)
        self.touch(service, key_id, now_s)
        return True

    def settle(self, service: str, key_id: KeyId, state: KeyState, now_s: float) -> None:
        """Note what the home said of one send; it may say DONE, UNKNOWN or REFUSED."""
        known = self.keys[(service, key_id)]
        known.unsettled -= 1
        self.touch(service, key_id, now_s)
        if known.state is not KeyState.DONE and state is not KeyState.REFUSED:
            known.state = state

    def withdraw(self, service: str, key_id: KeyId, now_s: float) -> None:
        """Note that one send has not run, nor will; the key may have run before."""
        self.keys[(service, key_id)].unsettled -= 1
        self.touch(service, key_id, now_s)

    def inherit(self, service: str, reported: ReportedKey, now_s: float) -> None:
        """Take in what a stopping instance knows of a key; certain knowledge wins."""
        known = self.keys.get((service, reported.key_id))
        if known is None:
            if len(self.keys) >= self.limit:
                return
            known = SentKey(service, reported.fingerprint, reported.state, 0, now_s)
            known.changed_at_s = now_s - reported.age_s
            self.keys[(service, reported.key_id)] = known
        elif reported.state is KeyState.DONE or known.state is KeyState.REFUSED:
            known.state = reported.state
        known.homes.add("")
        if reported.answer is not None and known.answer is None:
            self.keep_answer(known, reported.answer)

    def keep_answer(self, key: SentKey, answer: KeptAnswer) -> None:
        """Keep an answer while there is memory for it."""
        if len(answer.content) <= self.answer_bytes_left:
            self.answer_bytes_left -= len(answer.content)
            key.answer = answer

    def report(self, service: str, home: str, now_s: float) -> list[ReportedKey]:
        """Return every key of the service, with when each refused one was refused.

        Keys that were sent to this ``home`` alone are left out: it knows more of them.
        """
        self.forget_old(now_s)
        return [
            ReportedKey(
                key_id, key.fingerprint, reported_state(key), now_s - key.changed_at_s, key.answer
            )
            for (name, key_id), key in self.keys.items()
            if name == service and key.homes != {home}
        ]

    def touch(self, service: str, key_id: KeyId, now_s: float) -> None:
        """Restart the key's retention."""
        self.keys[(service, key_id)].changed_at_s = now_s
        self.keys.move_to_end((service, key_id))

    def forget_old(self, now_s: float) -> None:
        """Forget keys beyond the retention; one with an unsettled send stays."""
        while self.keys:
            name, key = next(iter(self.keys.items()))
            if now_s - key.changed_at_s <= self.retention_s:
                return
            if key.unsettled > 0:
                self.keys[name] = replace(key, changed_at_s=now_s)
                self.keys.move_to_end(name)
                continue
            self.answer_bytes_left += len(key.answer.content) if key.answer is not None else 0
            del self.keys[name]


def reported_state(key: SentKey) -> KeyState:
    """Return the state that a new home must assume."""
    if key.state is KeyState.DONE:
        return KeyState.DONE
    return KeyState.UNKNOWN if key.unsettled > 0 else key.state
