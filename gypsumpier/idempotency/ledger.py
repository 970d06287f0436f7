"""The keys that one home has claimed, and their outcomes.

A key moves from RUNNING to DONE, UNKNOWN or REFUSED.  DONE and UNKNOWN never change back, so the
key never runs again.  REFUSED is reported to the caller as *not run*, therefore a copy that an
entry received before the refusal stays refused, while a copy received after it may run.

Answers and records have separate memory limits.  The oldest answers are dropped first; their keys
remain, and further copies get ANSWER_GONE.  A key is evicted only after ``retention_s``; while the
ledger is full of younger keys, new ones are not claimed.
"""

from collections import OrderedDict
from typing import Final

from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import Claim, KeyRecord, KeyState, StoredAnswer, Verdict

RECORD_OVERHEAD_BYTES: Final = 400

# A state from another instance replaces the local one only if it has a higher precedence.
STATE_PRECEDENCE: Final = {
    KeyState.REFUSED: 0,
    KeyState.UNKNOWN: 1,
    KeyState.RUNNING: 2,
    KeyState.DONE: 3,
}


class Ledger:
    """Claims keys and stores outcomes.  All times are monotonic seconds."""

    def __init__(self, record_bytes: int, answer_bytes: int, retention_s: float) -> None:
        self.record_limit = max(1, record_bytes // RECORD_OVERHEAD_BYTES)
        self.answer_limit_bytes = answer_bytes
        self.retention_s = retention_s
        self.records: OrderedDict[KeyId, KeyRecord] = OrderedDict()
        self.answers: OrderedDict[KeyId, int] = OrderedDict()
        self.answer_bytes = 0

    def claim(self, key_id: KeyId, fingerprint: str, received_at_s: float, now_s: float) -> Claim:
        """Return the verdict on a copy that its entry received at ``received_at_s``.

        The verdict RUN claims the key.
        """
        self.evict_expired(now_s)
        record = self.records.get(key_id)
        if record is not None:
            verdict = verdict_for(record, fingerprint, received_at_s)
            if verdict is Verdict.REFUSED:
                record.changed_at_s = max(record.changed_at_s, now_s)
            if verdict is not Verdict.RUN:
                return Claim(verdict, record)
        elif len(self.records) >= self.record_limit:
            return Claim(Verdict.FULL, None)
        claimed = KeyRecord(fingerprint, KeyState.RUNNING, now_s)
        self.put(key_id, claimed)
        return Claim(Verdict.RUN, claimed)

    def query(self, key_id: KeyId, now_s: float) -> KeyRecord | None:
        """Return the key's record, or None if the key is unknown, without claiming it."""
        self.evict_expired(now_s)
        return self.records.get(key_id)

    def finish(self, key_id: KeyId, answer: StoredAnswer, now_s: float) -> None:
        """Mark the key as done and store its answer."""
        record = self.records[key_id]
        record.state = KeyState.DONE
        self.touch(key_id, record, now_s)
        self.store_answer(key_id, record, answer)

    def fail(self, key_id: KeyId, now_s: float) -> None:
        """Mark the key's outcome as unknown: it may have run and its answer is lost."""
        record = self.records[key_id]
        record.state = KeyState.UNKNOWN
        self.touch(key_id, record, now_s)

    def refuse(self, key_id: KeyId, fingerprint: str, now_s: float) -> bool:
        """Mark the key as certainly not run, so that earlier copies are refused as well.

        Return False and change nothing if that can't be guaranteed: the key may have run, or the
        ledger is full.
        """
        self.evict_expired(now_s)
        known = self.records.get(key_id)
        if known is None and len(self.records) >= self.record_limit:
            return False
        if known is not None and known.state in (KeyState.DONE, KeyState.UNKNOWN):
            return False
        self.put(key_id, KeyRecord(fingerprint, KeyState.REFUSED, now_s))
        return True

    def merge(self, key_id: KeyId, other: KeyRecord) -> None:
        """Merge another instance's record of the key; the state of higher precedence wins."""
        known = self.records.get(key_id)
        if known is None:
            self.put(key_id, KeyRecord(other.fingerprint, other.state, other.changed_at_s))
        elif STATE_PRECEDENCE[other.state] > STATE_PRECEDENCE[known.state]:
            known.state = other.state
            known.fingerprint = other.fingerprint or known.fingerprint
        elif other.state is known.state is KeyState.REFUSED:
            known.changed_at_s = max(known.changed_at_s, other.changed_at_s)
        record = self.records[key_id]
        if other.answer is not None and record.answer is None:
            self.store_answer(key_id, record, other.answer)

    def put(self, key_id: KeyId, record: KeyRecord) -> None:
        """Store the record as the most recently changed one."""
        self.drop_answer(key_id)
        self.records[key_id] = record
        self.records.move_to_end(key_id)

    def touch(self, key_id: KeyId, record: KeyRecord, now_s: float) -> None:
        """Restart the record's retention period."""
        record.changed_at_s = now_s
        self.records.move_to_end(key_id)

    def store_answer(self, key_id: KeyId, record: KeyRecord, answer: StoredAnswer) -> None:
        """Store the answer and drop the oldest answers beyond the memory limit."""
        record.answer = answer
        self.answers[key_id] = answer_size_bytes(answer)
        self.answer_bytes += self.answers[key_id]
        while self.answer_bytes > self.answer_limit_bytes:
            self.drop_answer(next(iter(self.answers)))

    def drop_answer(self, key_id: KeyId) -> None:
        """Drop the key's answer; the key stays known."""
        size = self.answers.pop(key_id, None)
        if size is None:
            return
        self.answer_bytes -= size
        self.records[key_id].answer = None

    def evict_expired(self, now_s: float) -> None:
        """Evict keys beyond the retention period; a running key is kept."""
        while self.records:
            key_id, record = next(iter(self.records.items()))
            if now_s - record.changed_at_s <= self.retention_s:
                return
            if record.state is KeyState.RUNNING:
                self.touch(key_id, record, now_s)
                continue
            self.drop_answer(key_id)
            del self.records[key_id]


def verdict_for(record: KeyRecord, fingerprint: str, received_at_s: float) -> Verdict:
    """Return the verdict on another copy under a known key."""
    if record.state is KeyState.REFUSED:
        return Verdict.REFUSED if received_at_s <= record.changed_at_s else Verdict.RUN
    if record.fingerprint and record.fingerprint != fingerprint:
        return Verdict.CONFLICT
    if record.state is KeyState.RUNNING:
        return Verdict.JOIN
    if record.state is KeyState.UNKNOWN:
        return Verdict.UNKNOWN
    return Verdict.DONE if record.answer is not None else Verdict.ANSWER_GONE


def answer_size_bytes(answer: StoredAnswer) -> int:
    """Return the approximate memory that the answer takes."""
    return len(answer.content) + RECORD_OVERHEAD_BYTES
