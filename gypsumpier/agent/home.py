"""The home of keys: runs a request under an ``Idempotency-Key`` at most once.

Each run is a separate task.  It continues when the entry or the caller disconnects, and every copy
of the request, including the first, waits for its outcome.
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
from gypsumpier.entry.linkplan import has_key_homes
from gypsumpier.errors import GypsumpierError
from gypsumpier.idempotency.homes import home_slot, homes_signature
from gypsumpier.idempotency.key import KeyId, fingerprint
from gypsumpier.idempotency.ledger import Ledger
from gypsumpier.idempotency.record import KeyRecord, KeyState, StoredAnswer, Verdict
from gypsumpier.idempotency.recovery import HomeRecovery, RecoveryLimits
from gypsumpier.idempotency.reported import ReportedKey
from gypsumpier.log import decision
from gypsumpier.options import Options
from gypsumpier.tasks import end_task

RETRY_AFTER_S: Final = 1.0

# A copy that reaches another entry just before the caller receives a refusal is refused as well.
REFUSAL_MARGIN_S: Final = 0.25
REQUEST_INTERVAL_MIN_S: Final = 0.25
REQUEST_INTERVAL_MAX_S: Final = 10.0

VERDICT_CODES: Final[dict[Verdict, ResultCode]] = {
    Verdict.ANSWER_GONE: codes.ANSWER_GONE,
    Verdict.UNKNOWN: codes.KEY_OUTCOME_UNKNOWN,
    Verdict.REFUSED: codes.KEY_REFUSED,
    Verdict.CONFLICT: codes.KEY_REUSED,
    Verdict.FULL: codes.KEYS_FULL,
}


class Home:
    """The keys whose home is this agent's slot.

    ``send_entries_request`` asks all connected entries for the member list as they see it; the
    listener sets it.
    """

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
        self.requested_at_s = float("-inf")
        self.request_interval_s = REQUEST_INTERVAL_MIN_S
        self.send_entries_request: Callable[[], None] = ignore_entries_request
        self.running: dict[KeyId, asyncio.Task[None]] = {}
        documents.subscribe(self.apply_document)

    def apply_document(self, accepted: Accepted) -> None:
        """Restart the recovery if the document moves keys between homes."""
        if accepted.name != self.options.service or accepted.document is None:
            return
        signature = homes_signature(accepted.document)
        if signature == self.signature:
            return
        if self.signature:
            decision(
                "homes_moved",
                revision=accepted.revision,
                reason="the document moves keys between homes",
            )
            self.recovery.restart(accepted.revision, self.clock.monotonic())
            self.request_interval_s = REQUEST_INTERVAL_MIN_S
        self.signature = signature
        self.recovery.revision = accepted.revision

    async def answer(self, order: AttemptOrder, refusal: GypsumpierError | None) -> list[Part]:
        """Return the parts of the stored answer under the order's key, after running it if new.

        ``refusal`` is raised instead of starting a run.  Raises GypsumpierError if there is no
        answer.
        """
        key_id = KeyId(order.workspace, order.key)
        self.check_home(key_id)
        now_s = self.clock.monotonic()
        self.check_recovery(key_id, now_s)
        request_fingerprint = fingerprint(order.method, order.path, order.body)
        claim = self.ledger.claim(key_id, request_fingerprint, now_s - order.age_s, now_s)
        decision("claim", exchange=order.exchange, reason=claim.verdict.value)
        if claim.verdict is Verdict.RUN:
            if refusal is not None:
                self.ledger.refuse(key_id, request_fingerprint, now_s + REFUSAL_MARGIN_S)
                raise refusal
            self.running[key_id] = asyncio.create_task(self.run(order, key_id, request_fingerprint))
        elif claim.verdict in VERDICT_CODES:
            raise error_of(claim.verdict)
        await self.wait_for_run(key_id, order.remaining_s)
        return self.stored_answer(key_id)

    def check_home(self, key_id: KeyId) -> None:
        """Raise GypsumpierError with NOT_HOME unless this slot is the key's home.

        The document in force decides.
        """
        document = self.document()
        if document is None or home_slot(document, key_id) != self.options.name:
            raise GypsumpierError(codes.NOT_HOME, self.options.name, RETRY_AFTER_S)

    def check_recovery(self, key_id: KeyId, now_s: float) -> None:
        """Raise GypsumpierError with HOME_RECOVERING while an earlier home may have run the key.

        A key that is known here and not refused passes.
        """
        known = self.ledger.query(key_id, now_s)
        if known is not None and known.state is not KeyState.REFUSED:
            return
        wait_s = self.recovery.wait_s(key_id.key, now_s, self.clock.wall())
        if wait_s > 0:
            self.request_entries(now_s)
            raise GypsumpierError(codes.HOME_RECOVERING, self.options.name, wait_s)

    def request_entries(self, now_s: float) -> None:
        """Request the member list as seen by each connected entry, with exponential backoff."""
        if now_s - self.requested_at_s >= self.request_interval_s:
            self.requested_at_s = now_s
            self.request_interval_s = min(REQUEST_INTERVAL_MAX_S, 2 * self.request_interval_s)
            self.send_entries_request()

    def request_entries_early(self) -> None:
        """Request member lists before the first key arrives, once the member list has settled.

        Nothing is requested if this agent can't be the home of a key.
        """
        document = self.document()
        if document is None or not has_key_homes(document):
            return
        now_s = self.clock.monotonic()
        if self.recovery.needs_member_lists(now_s):
            self.request_entries(now_s)

    async def wait_for_run(self, key_id: KeyId, timeout_s: float) -> None:
        """Wait for the run under the key.

        Raises GypsumpierError with DEADLINE_EXCEEDED after ``timeout_s``.
        """
        task = self.running.get(key_id)
        if task is None:
            return
        done, _ = await asyncio.wait([task], timeout=max(0.0, timeout_s))
        if not done:
            raise GypsumpierError(
                codes.DEADLINE_EXCEEDED, "the request is still running", RETRY_AFTER_S
            )

    def stored_answer(self, key_id: KeyId) -> list[Part]:
        """Return the stored answer of an ended key; raise GypsumpierError if there is none."""
        record = self.ledger.records.get(key_id)
        if record is None:
            raise GypsumpierError(codes.KEY_OUTCOME_UNKNOWN, "the key is no longer stored")
        if record.answer is None:
            raise error_of(verdict_of(record))
        return parts_of(record.answer)

    def outcome(self, key_id: KeyId) -> list[Part]:
        """Return the stored answer of a key without running it.

        Raises GypsumpierError if the key is unknown, is still running or has no stored answer.
        """
        self.check_home(key_id)
        if self.ledger.query(key_id, self.clock.monotonic()) is None:
            raise GypsumpierError(codes.KEY_NOT_SEEN, "the key is unknown here", RETRY_AFTER_S)
        if key_id in self.running:
            raise GypsumpierError(codes.KEY_RUNNING, "the request is still running", RETRY_AFTER_S)
        return self.stored_answer(key_id)

    async def run(self, order: AttemptOrder, key_id: KeyId, request_fingerprint: str) -> None:
        """Run the request once and record its outcome."""
        try:
            run_order = order._replace(remaining_s=self.options.run_timeout_s)
            async with asyncio.timeout(self.options.run_timeout_s):
                parts = [part async for part in self.upstream.run(run_order)]
            self.ledger.finish(key_id, answer_of(parts), self.clock.monotonic())
        except GypsumpierError as error:
            self.record_failure(key_id, request_fingerprint, error)
        except TimeoutError:
            decision("run_failed", key_workspace=key_id.workspace, reason="run timeout")
        finally:
            self.close(key_id)

    async def end_running(self) -> None:
        """End the runs; the outcome of their keys is unknown from then on."""
        for task in list(self.running.values()):
            await end_task(task)

    def record_failure(
        self, key_id: KeyId, request_fingerprint: str, error: GypsumpierError
    ) -> None:
        """Record the key as refused if the failed run certainly never began."""
        decision("run_failed", key_workspace=key_id.workspace, reason=error)
        if error.code.outcome is Outcome.NOT_RUN:
            self.ledger.refuse(
                key_id, request_fingerprint, self.clock.monotonic() + REFUSAL_MARGIN_S
            )

    def close(self, key_id: KeyId) -> None:
        """End the run; without a recorded outcome it becomes unknown."""
        self.running.pop(key_id, None)
        if self.ledger.records[key_id].state is KeyState.RUNNING:
            self.ledger.fail(key_id, self.clock.monotonic())

    def own_keys(self) -> list[ReportedKey]:
        """Return the records of the keys whose home is this slot.

        The ledger also holds keys that entries have sent to other homes; the records of those
        homes are more accurate.
        """
        document = self.document()
        keys = reported_keys(self.ledger, self.clock.monotonic())
        if document is None:
            return keys
        return [key for key in keys if home_slot(document, key.key_id) == self.options.name]

    def inspect(self) -> dict[str, object]:
        """Return the state for the administration API.

        ``waits_for`` names the entries whose reports the recovery still needs.
        """
        recovery = self.recovery
        return {
            "keys": len(self.ledger.records),
            "answer_bytes": self.ledger.answer_bytes,
            "running": len(self.running),
            "waits_for": sorted(entry.name for entry in recovery.unreported_entries()),
            "lost_entries": sorted(entry.name for entry in recovery.lost_at_s),
        }

    def document(self) -> ServiceDocument | None:
        """Return the service's document in force, or None if there is none."""
        return self.documents.document(self.options.service)


def ignore_entries_request() -> None:
    """Do nothing: there is no listener yet."""


def verdict_of(record: KeyRecord) -> Verdict:
    """Return the verdict on an ended key without a stored answer."""
    if record.state is KeyState.DONE:
        return Verdict.ANSWER_GONE
    return Verdict.REFUSED if record.state is KeyState.REFUSED else Verdict.UNKNOWN


def error_of(verdict: Verdict) -> GypsumpierError:
    """Return the coded error for the verdict."""
    retry_after_s = RETRY_AFTER_S if verdict in (Verdict.REFUSED, Verdict.FULL) else None
    return GypsumpierError(VERDICT_CODES[verdict], verdict.value, retry_after_s)


def answer_of(parts: list[Part]) -> StoredAnswer:
    """Return the parts as one answer to store."""
    return StoredAnswer(msgpack.packb([list(part) for part in parts]))


def parts_of(answer: StoredAnswer) -> list[Part]:
    """Return the parts of a stored answer."""
    return [Part(kind, payload) for kind, payload in msgpack.unpackb(answer.content)]
