"""The home of keys: runs a request under an ``Idempotency-Key`` at most once.

The run is a task of its own.  It goes on when the entry or the caller is gone, and every copy of
the request, the first included, waits for its outcome.
"""

import asyncio
from collections.abc import Callable
from typing import Final

import msgpack

from gypsumpier.agent.handover import reported_keys
from gypsumpier.agent.order import AttemptOrder
from gypsumpier.agent.upstream import Part, Upstream
from gypsumpier.clock import Clock
from gypsumpier.codes import request as codes
from gypsumpier.codes.result import Outcome, ResultCode
from gypsumpier.document.service import Accepted, ServiceDocument
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.linkplan import needs_all
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot, homes_signature
from gypsumpier.idempotency.key import KeyId, fingerprint
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import KeyRecord, KeyState, StoredAnswer, Verdict
from gypsumpier.idempotency.recovery import HomeRecovery, RecoveryLimits
from gypsumpier.idempotency.reported import ReportedKey
from gypsumpier.log import decision
from gypsumpier.options import Options

RETRY_AFTER_S: Final = 1.0

# A copy that reaches another entry just before the caller hears of a refusal is refused as well.
CROSSING_S: Final = 0.25
ASK_INTERVAL_S: Final = 0.25
ASK_INTERVAL_MAX_S: Final = 10.0

VERDICT_CODES: Final[dict[Verdict, ResultCode]] = {
    Verdict.ANSWER_GONE: codes.ANSWER_GONE,
    Verdict.UNKNOWN: codes.KEY_OUTCOME_UNKNOWN,
    Verdict.REFUSED: codes.KEY_REFUSED,
    Verdict.CONFLICT: codes.KEY_REUSED,
    Verdict.FULL: codes.KEYS_FULL,
}


class Home:
    """The keys whose home is this agent's slot."""

    def __init__(
        self,
        options: Options,
        clock: Clock,
        documents: DocumentTable,
        upstream: Upstream,
    ) -> None:
        self.options = options
        self.clock = clock
        self.documents = documents
        self.upstream = upstream
        self.ledger = Ledger(
            options.key_memory_bytes, options.answer_memory_bytes, options.key_retention_s
        )
        limits = RecoveryLimits(
            options.resend_horizon_s, options.key_settle_s, options.key_clock_skew_s
        )
        self.recovery = HomeRecovery(limits, clock.monotonic())
        self.signature = ""
        self.asked_at_s = float("-inf")
        self.ask_interval_s = ASK_INTERVAL_S
        self.ask: Callable[[], None] = ask_nobody
        self.running: dict[KeyId, asyncio.Task[None]] = {}
        documents.subscribe(self.apply_document)

    def apply_document(self, accepted: Accepted) -> None:
        """Begin a succession where the document moves homes."""
        if accepted.name != self.options.service or accepted.document is None:
            return
        signature = homes_signature(accepted.document)
        if signature == self.signature:
            return
        if self.signature:
            decision("homes_moved", revision=accepted.revision, reason="document moves homes")
            self.recovery.begin(accepted.revision, self.clock.monotonic())
            self.ask_interval_s = ASK_INTERVAL_S
        self.signature = signature
        self.recovery.revision = accepted.revision

    async def answer(self, order: AttemptOrder, refusal: GypsumpierError | None) -> list[Part]:
        """Return the parts of the one answer under the order's key.

        A ``refusal`` stops a key that is not known yet; raise GypsumpierError without an answer.
        """
        key_id = KeyId(order.workspace, order.key)
        self.check_home(key_id)
        now_s = self.clock.monotonic()
        self.check_succession(key_id, now_s)
        printed = fingerprint(order.method, order.path, order.body)
        claim = self.ledger.claim(key_id, printed, now_s - order.age_s, now_s)
        decision("claim", exchange=order.exchange, reason=claim.verdict.value)
        if claim.verdict is Verdict.RUN:
            if refusal is not None:
                self.ledger.refuse(key_id, printed, now_s + CROSSING_S)
                raise refusal
            self.running[key_id] = asyncio.create_task(self.run(order, key_id, printed))
        elif claim.verdict in VERDICT_CODES:
            raise error_of(claim.verdict)
        await self.wait(key_id, order.remaining_s)
        return self.known_answer(key_id)

    def check_home(self, key_id: KeyId) -> None:
        """Raise unless the document in force names this slot as the key's home."""
        document = self.document()
        if document is None or home_slot(document, key_id) != self.options.name:
            raise GypsumpierError(codes.NOT_HOME, self.options.name, RETRY_AFTER_S)

    def check_succession(self, key_id: KeyId, now_s: float) -> None:
        """Raise while an earlier home may have run a key that is not known here."""
        known = self.ledger.query(key_id, now_s)
        if known is not None and known.state is not KeyState.REFUSED:
            return
        wait_s = self.recovery.wait_s(key_id.key, now_s, self.clock.wall())
        if wait_s > 0:
            self.ask_entries(now_s)
            raise GypsumpierError(codes.HOME_RECOVERING, self.options.name, wait_s)

    def ask_entries(self, now_s: float) -> None:
        """Ask the connected entries which entries they find listed, less and less often."""
        if now_s - self.asked_at_s >= self.ask_interval_s:
            self.asked_at_s = now_s
            self.ask_interval_s = min(ASK_INTERVAL_MAX_S, 2 * self.ask_interval_s)
            self.ask()

    def prepare(self) -> None:
        """Ask the entries before the first key comes, once the member list has settled."""
        document = self.document()
        if document is None or not needs_all(document):
            return
        now_s = self.clock.monotonic()
        if self.recovery.is_due(now_s):
            self.ask_entries(now_s)

    async def wait(self, key_id: KeyId, timeout_s: float) -> None:
        """Wait for the run under the key; raise where the caller's deadline passes first."""
        task = self.running.get(key_id)
        if task is None:
            return
        done, _ = await asyncio.wait([task], timeout=max(0.0, timeout_s))
        if not done:
            raise GypsumpierError(codes.DEADLINE_EXCEEDED, "the request still runs", RETRY_AFTER_S)

    def known_answer(self, key_id: KeyId) -> list[Part]:
        """Return the kept answer of a key that has ended, or raise what became of it."""
        record = self.ledger.records.get(key_id)
        if record is None:
            raise GypsumpierError(codes.KEY_OUTCOME_UNKNOWN, "the key is no longer kept")
        if record.answer is None:
            raise error_of(verdict_of(record))
        return parts_of(record.answer)

    def outcome(self, key_id: KeyId) -> list[Part]:
        """Return what is known of a key without any risk of running it."""
        self.check_home(key_id)
        if self.ledger.query(key_id, self.clock.monotonic()) is None:
            raise GypsumpierError(codes.KEY_NOT_SEEN, "not seen", RETRY_AFTER_S)
        if key_id in self.running:
            raise GypsumpierError(codes.KEY_RUNNING, "still runs", RETRY_AFTER_S)
        return self.known_answer(key_id)

    async def run(self, order: AttemptOrder, key_id: KeyId, printed: str) -> None:
        """Run the request once and keep what came of it."""
        try:
            patient = order._replace(remaining_s=self.options.run_timeout_s)
            async with asyncio.timeout(self.options.run_timeout_s):
                parts = [part async for part in self.upstream.run(patient)]
            self.ledger.finish(key_id, answer_of(parts), self.clock.monotonic())
        except GypsumpierError as error:
            self.note_failure(key_id, printed, error)
        except TimeoutError:
            decision("run_failed", key_workspace=key_id.workspace, reason="run timeout")
        finally:
            self.close(key_id)

    def note_failure(self, key_id: KeyId, printed: str, error: GypsumpierError) -> None:
        """Keep whether the failed run certainly never began."""
        decision("run_failed", key_workspace=key_id.workspace, reason=error.code.name)
        if error.code.outcome is Outcome.NOT_RUN:
            self.ledger.refuse(key_id, printed, self.clock.monotonic() + CROSSING_S)

    def close(self, key_id: KeyId) -> None:
        """End the run; one without an outcome may have run."""
        self.running.pop(key_id, None)
        if self.ledger.records[key_id].state is KeyState.RUNNING:
            self.ledger.fail(key_id, self.clock.monotonic())

    def own_keys(self) -> list[ReportedKey]:
        """Return what is known of the keys whose home is this slot.

        The ledger also holds what entries have sent to other homes; of that they know more.
        """
        document = self.document()
        keys = reported_keys(self.ledger, self.clock.monotonic())
        if document is None:
            return keys
        return [key for key in keys if home_slot(document, key.key_id) == self.options.name]

    def inspect(self) -> dict[str, object]:
        """Return what is kept, and which entries are waited for where keys are held back."""
        succession = self.recovery
        return {
            "keys": len(self.ledger.records),
            "answer_bytes": self.ledger.answer_bytes,
            "running": len(self.running),
            "waits_for": sorted(entry.name for entry in succession.missing()),
            "lost_entries": sorted(entry.name for entry in succession.lost_at_s),
        }

    def document(self) -> ServiceDocument | None:
        """Return the service's document in force."""
        return self.documents.document(self.options.service)


def ask_nobody() -> None:
    """Ask nobody: nothing listens yet."""


def verdict_of(record: KeyRecord) -> Verdict:
    """Return what to tell about an ended key without a kept answer."""
    if record.state is KeyState.DONE:
        return Verdict.ANSWER_GONE
    return Verdict.REFUSED if record.state is KeyState.REFUSED else Verdict.UNKNOWN


def error_of(verdict: Verdict) -> GypsumpierError:
    """Return the coded error for the verdict."""
    retry_after_s = RETRY_AFTER_S if verdict in (Verdict.REFUSED, Verdict.FULL) else None
    return GypsumpierError(VERDICT_CODES[verdict], verdict.value, retry_after_s)


def answer_of(parts: list[Part]) -> StoredAnswer:
    """Return the parts as one answer to keep."""
    return StoredAnswer(msgpack.packb([list(part) for part in parts]))


def parts_of(answer: StoredAnswer) -> list[Part]:
    """Return the parts of a kept answer."""
    return [Part(kind, payload) for kind, payload in msgpack.unpackb(answer.content)]
