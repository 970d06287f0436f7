"""The keys that one entry has sent to homes, kept until no caller resends them.

An entry records a key before it sends it, so that its report to a new home includes every key that
it has sent.  A send without an answer is reported to other homes as *may have run*.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field, replace

from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import KeyState, StoredAnswer
from gypsumpier.idempotency.reported import ReportedKey


@dataclass
class SentKey:
    """One key.

    ``outcome`` is DONE or UNKNOWN once a home, or an instance that stopped, has reported it.
    ``refused_at_s`` is when the key was last reported as not run.  ``unanswered`` counts the sends
    without an answer, by the process that received them.  ``homes`` are all the processes that the
    key was sent to; an empty name stands for unknown ones.  ``answer`` is stored on behalf of a
    home that stopped gracefully.
    """

    service: str
    fingerprint: str
    changed_at_s: float
    outcome: KeyState | None = None
    refused_at_s: float | None = None
    unanswered: Counter[str] = field(default_factory=Counter)
    homes: set[str] = field(default_factory=set)
    answer: StoredAnswer | None = None


class SentKeys:
    """Sent keys, bounded in number and retention."""

    def __init__(self, limit: int, retention_s: float, answer_bytes: int = 0) -> None:
        self.limit = limit
        self.answer_bytes_left = answer_bytes
        self.retention_s = retention_s
        self.keys: OrderedDict[tuple[str, KeyId], SentKey] = OrderedDict()

    def record_send(
        self, service: str, key_id: KeyId, fingerprint: str, home: str, now_s: float
    ) -> bool:
        """Record a key before it is sent to a process.

        Return False if there is no room; the key must not be sent then.
        """
        self.evict_expired(now_s)
        known = self.keys.get((service, key_id))
        if known is None:
            if len(self.keys) >= self.limit:
                return False
            known = self.keys[(service, key_id)] = SentKey(service, fingerprint, now_s)
        known.unanswered[home] += 1
        known.homes.add(home)
        self.touch(service, key_id, now_s)
        return True

    def record_outcome(
        self, service: str, key_id: KeyId, home: str, state: KeyState, now_s: float
    ) -> None:
        """Record the home's answer to one send: DONE, UNKNOWN or REFUSED."""
        self.withdraw(service, key_id, home, now_s)
        known = self.keys[(service, key_id)]
        if state is KeyState.REFUSED:
            known.refused_at_s = now_s
        elif known.outcome is not KeyState.DONE:
            known.outcome = state

    def withdraw(self, service: str, key_id: KeyId, home: str, now_s: float) -> None:
        """Record that one send did not run and will not; an earlier send may have run."""
        known = self.keys[(service, key_id)]
        known.unanswered -= Counter([home])
        self.touch(service, key_id, now_s)

    def merge(self, service: str, reported: ReportedKey, now_s: float) -> bool:
        """Merge another instance's record of a key; return False if there is no room."""
        known = self.keys.get((service, reported.key_id))
        at_s = now_s - reported.age_s
        if known is None:
            if len(self.keys) >= self.limit:
                return False
            known = SentKey(service, reported.fingerprint, at_s)
            self.keys[(service, reported.key_id)] = known
        known.homes.add("")
        if reported.state is KeyState.REFUSED:
            known.refused_at_s = max(at_s, known.refused_at_s or at_s)
        elif known.outcome is not KeyState.DONE:
            known.outcome = KeyState.DONE if reported.state is KeyState.DONE else KeyState.UNKNOWN
        if reported.answer is not None and known.answer is None:
            self.store_answer(known, reported.answer)
        return True

    def store_answer(self, key: SentKey, answer: StoredAnswer) -> None:
        """Store the answer if the memory limit allows it."""
        if len(answer.content) <= self.answer_bytes_left:
            self.answer_bytes_left -= len(answer.content)
            key.answer = answer

    def report(self, service: str, home: str, now_s: float) -> list[ReportedKey]:
        """Return the service's keys that the process ``home`` must know.

        Keys that were sent only to that process are left out: its own records are more accurate.
        """
        self.evict_expired(now_s)
        reported: list[ReportedKey] = []
        for (name, key_id), key in self.keys.items():
            state = state_for(key, home)
            if name != service or state is None:
                continue
            at_s = key.refused_at_s if state is KeyState.REFUSED else key.changed_at_s
            age_s = now_s - (at_s if at_s is not None else key.changed_at_s)
            reported.append(ReportedKey(key_id, key.fingerprint, state, age_s, key.answer))
        return reported

    def touch(self, service: str, key_id: KeyId, now_s: float) -> None:
        """Restart the key's retention period."""
        self.keys[(service, key_id)].changed_at_s = now_s
        self.keys.move_to_end((service, key_id))

    def evict_expired(self, now_s: float) -> None:
        """Evict keys beyond the retention period; a key with an unanswered send is kept."""
        while self.keys:
            name, key = next(iter(self.keys.items()))
            if now_s - key.changed_at_s <= self.retention_s:
                return
            if key.unanswered:
                self.keys[name] = replace(key, changed_at_s=now_s)
                self.keys.move_to_end(name)
                continue
            self.answer_bytes_left += len(key.answer.content) if key.answer is not None else 0
            del self.keys[name]


def state_for(key: SentKey, home: str) -> KeyState | None:
    """Return the state to report to the process ``home``, or None if there is nothing to report."""
    if key.homes == {home}:
        return None
    if key.outcome is KeyState.DONE:
        return KeyState.DONE
    if key.outcome is KeyState.UNKNOWN or any(other != home for other in key.unanswered):
        return KeyState.UNKNOWN
    return KeyState.REFUSED if key.refused_at_s is not None else None
