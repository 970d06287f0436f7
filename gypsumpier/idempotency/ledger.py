"""The keys that one home has claimed, and what came of them.

A key moves from RUNNING to DONE, UNKNOWN or REFUSED.  DONE and UNKNOWN never change back, so the
key never runs again.  REFUSED is told to the caller as *not run*, therefore a copy that an entry
received before the refusal stays refused, while a copy received after it may run.

Memory is bounded twice.  The oldest answers go first; their keys remain and say so.  A key is
forgotten only after ``retention_s``; while the ledger is full of younger keys, new ones are not
claimed.
"""

from collections import OrderedDict
from typing import Final

from gypsumpier.idempotency.key import KeyId
from gypsumpier.idempotency.record import Claim, KeyRecord, KeyState, StoredAnswer, Verdict

RECORD_OVERHEAD_BYTES: Final = 400

# Knowledge from another instance replaces what is known here only by something more certain.
CERTAINTY: Final = {
    KeyState.REFUSED: 0,
    KeyState.UNKNOWN: 1,
    KeyState.RUNNING: 2,
    KeyState.DONE: 3,
}


class Ledger:
    """Claims keys and keeps outcomes.  All times are monotonic seconds."""

    def __init__(self, record_bytes: int, answer_bytes: int, retention_s: float) -> None:
        self.record_limit = max(1, record_bytes // RECORD_OVERHEAD_BYTES)
        self.answer_limit_bytes = answer_bytes
        self.retention_s = retention_s
        self.records: OrderedDict[KeyId, KeyRecord] = OrderedDict()
        self.answers: OrderedDict[KeyId, int] = OrderedDict()
        self.answer_bytes = 0

    def claim(self, key_id: KeyId, fingerprint: str, received_at_s: float, now_s: float) -> Claim:
        """Decide about a copy that its entry received at ``received_at_s``; RUN claims the key."""
        self.forget_old(now_s)
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
        """Return what is known of the key without claiming it."""
        self.forget_old(now_s)
        return self.records.get(key_id)

    def finish(self, key_id: KeyId, answer: StoredAnswer, now_s: float) -> None:
        """Keep the answer of a key that was run."""
        record = self.records[key_id]
        record.state = KeyState.DONE
        self.touch(key_id, record, now_s)
        self.keep_answer(key_id, record, answer)

    def fail(self, key_id: KeyId, now_s: float) -> None:
        """Note that the key may have run and that nobody will learn its answer."""
        record = self.records[key_id]
        record.state = KeyState.UNKNOWN
        self.touch(key_id, record, now_s)

    def refuse(self, key_id: KeyId, fingerprint: str, now_s: float) -> bool:
        """Note that the key has certainly not run and that earlier copies must not run either.

        Return False, and change nothing, where that can't be promised.
        """
        self.forget_old(now_s)
        known = self.records.get(key_id)
        if known is None and len(self.records) >= self.record_limit:
            return False
        if known is not None and known.state in (KeyState.DONE, KeyState.UNKNOWN):
            return False
        self.put(key_id, KeyRecord(fingerprint, KeyState.REFUSED, now_s))
        return True

    def merge(self, key_id: KeyId, learnt: KeyRecord) -> None:
        """Take in another instance's knowledge of the key; certain knowledge wins."""
        known = self.records.get(key_id)
        if known is None:
            self.put(key_id, KeyRecord(learnt.fingerprint, learnt.state, learnt.changed_at_s))
        elif CERTAINTY[learnt.state] > CERTAINTY[known.state]:
            known.state = learnt.state
            known.fingerprint = learnt.fingerprint or known.fingerprint
        elif learnt.state is known.state is KeyState.REFUSED:
            known.changed_at_s = max(known.changed_at_s, learnt.changed_at_s)
        record = self.records[key_id]
        if learnt.answer is not None and record.answer is None:
            self.keep_answer(key_id, record, learnt.answer)

    def put(self, key_id: KeyId, record: KeyRecord) -> None:
        """Store the record as the youngest."""
        self.drop_answer(key_id)
        self.records[key_id] = record
        self.records.move_to_end(key_id)

    def touch(self, key_id: KeyId, record: KeyRecord, now_s: float) -> None:
        """Restart the record's retention."""
        record.changed_at_s = now_s
        self.records.move_to_end(key_id)

    def keep_answer(self, key_id: KeyId, record: KeyRecord, answer: StoredAnswer) -> None:
        """Keep the answer and drop the oldest answers beyond the bound."""
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

    def forget_old(self, now_s: float) -> None:
        """Forget keys beyond the retention; a running key stays."""
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
    """Return the verdict on one more copy under a known key."""
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
    """Return the memory that the answer takes, about."""
    return len(answer.content) + RECORD_OVERHEAD_BYTES
