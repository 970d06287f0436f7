"""The HTTP server side of an entry: one tornado delegate per request of a caller."""

import asyncio
import time
from typing import Final

from prometheus_client import Counter, Histogram
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from gypsumpier.codes.request import (
    ANSWER_LOST,
    ENTRY_STOPPING,
    GATEWAY_FAILED,
    TIME_LIMIT_BEFORE_START,
    TIME_LIMIT_REACHED,
)
from gypsumpier.gateway.intake import Intake
from gypsumpier.gateway.refusal import Refusal
from gypsumpier.gateway.relay import Relay
from gypsumpier.gateway.request import GatewayRequest
from gypsumpier.gateway.writer import AnswerWriter
from gypsumpier.log import decision
from gypsumpier.metrics import REGISTRY
from gypsumpier.platform.headers import caller_head
from gypsumpier.stopschedule import STOPPING_RETRY_S, StopSchedule
from gypsumpier.upstream.head import CallerHead
from gypsumpier.wire.departure import has_departed, is_awaiting_bytes

DEPARTURE_CHECK_S: Final = 0.1
"""Seconds between two checks whether callers have left; small against the half second after which a
run counts as one that goes on for nobody."""

REQUESTS: Final = Counter(
    "gypsumpier_requests", "Requests by service and outcome.", ["service", "outcome"],
    registry=REGISTRY,
)  # fmt: skip
REQUEST_TIME: Final = Histogram(
    "gypsumpier_request_seconds", "Time from a request's arrival to its end.", registry=REGISTRY
)


class Front(HTTPServerConnectionDelegate):
    """Serves callers.

    While it stops, as ``stop_schedule`` says, every answer announces that its connection is closed.
    ``active`` are the requests that are being served.
    """

    def __init__(self, intake: Intake, relay: Relay) -> None:
        self.intake = intake
        self.relay = relay
        self.stop_schedule: StopSchedule | None = None
        self.active: set[CallerExchange] = set()
        self.connections: dict[object, HTTP1Connection] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request on a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        self.connections[server_conn] = request_conn
        return CallerExchange(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self.connections.pop(server_conn, None)

    async def run(self) -> None:
        """Look for departed callers periodically; never returns."""
        while True:
            await asyncio.sleep(DEPARTURE_CHECK_S)
            self.close_departed()

    def close_departed(self) -> None:
        """Close the connections of callers that have left, which ends their requests.

        Tornado notices that by itself, but not while bytes behind a request are buffered or while
        an answer waits for a slow caller.
        """
        for exchange in list(self.active):
            if exchange.task is not None and has_departed(exchange.connection.stream):
                exchange.connection.stream.close()

    def is_stopping(self) -> bool:
        """Return whether a stop has begun."""
        return self.stop_schedule is not None

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Answer every request in time for the end of the process."""
        self.stop_schedule = schedule
        for exchange in self.active:
            exchange.answer_by(schedule.answers_by_s)

    def close_idle(self) -> None:
        """Close the connections on which nothing has arrived since an answer was sent as a whole.

        Tornado awaits the next request only once it has sent the answer.
        """
        busy = {id(exchange.connection.stream) for exchange in self.active}
        for connection in list(self.connections.values()):
            stream = connection.stream
            if id(stream) not in busy and is_awaiting_bytes(stream):
                stream.close()

    def log_cut(self) -> None:
        """Log the requests that the end of the process cuts."""
        for exchange in self.active:
            exchange.log_cut()


class CallerExchange(HTTPMessageDelegate):
    """One request of a caller, from its first byte to the end of its answer."""

    def __init__(self, front: Front, connection: HTTP1Connection) -> None:
        self.front = front
        self.connection = connection
        self.head: CallerHead | None = None
        self.parts: list[bytes] = []
        self.received_at_s = 0.0
        self.knows_chunks = True
        self.request: GatewayRequest | None = None
        self.task: asyncio.Task[None] | None = None
        self.timeout: asyncio.Timeout | None = None
        self.is_cut_short = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Parse the head of the request."""
        assert isinstance(start_line, RequestStartLine)
        self.received_at_s = time.monotonic()
        self.head = caller_head(start_line, headers)
        self.knows_chunks = start_line.version != "HTTP/1.0"
        self.front.active.add(self)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a part of the body."""
        self.parts.append(chunk)

    def finish(self) -> None:
        """Serve the request once it is complete.

        A request that was still buffered when its connection was closed is dropped: its caller
        can't be answered and sends it again.
        """
        if self.connection.stream.closed():
            self.front.active.discard(self)
            decision("request_after_close", request=self.head.request_id if self.head else "")
            return
        self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.create_task(self.serve())

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        self.front.active.discard(self)
        if self.task is not None:
            self.task.cancel()

    async def serve(self) -> None:
        """Answer the request and log how it ended."""
        assert self.head is not None
        writer = AnswerWriter(
            self.connection, self.head.request_id, self.front.is_stopping, self.knows_chunks
        )
        outcome = "answered"
        detail = ""
        try:
            await self.answer(self.head, writer)
        except Refusal as refusal:
            outcome, detail = refusal.code.name, refusal.detail
            await self.refuse(refusal, writer)
        except StreamClosedError:
            outcome = "caller_gone"
            # Tornado does not read on to a close that stands behind unread bytes.
            self.connection.stream.close()
        except asyncio.CancelledError:
            outcome = "caller_gone"
        except Exception as error:
            # Last resort: the cause is logged, and the request is never reported as not run.
            outcome, detail = GATEWAY_FAILED.name, repr(error)
            await self.refuse(Refusal(GATEWAY_FAILED, 502, repr(error)), writer)
        finally:
            self.front.active.discard(self)
            self.log_end(self.head, writer, outcome, detail)

    async def answer(self, head: CallerHead, writer: AnswerWriter) -> None:
        """Relay the request within its time limit; raise Refusal if that fails.

        Raises StreamClosedError where the caller has left while its request was not read yet.
        """
        if has_departed(self.connection.stream):
            raise StreamClosedError
        body = b"".join(self.parts)
        self.request = self.front.intake.request(head, body, self.received_at_s)
        self.limit_to_stop(self.request)
        try:
            async with asyncio.timeout(max(0.0, self.request.left_s())) as self.timeout:
                await self.front.relay.run(self.request, writer)
        except TimeoutError:
            raise self.timeout_refusal(self.request) from None
        finally:
            self.timeout = None

    def limit_to_stop(self, request: GatewayRequest) -> None:
        """Let a request that arrives in a stop end with it; raise Refusal if that is too soon."""
        schedule = self.front.stop_schedule
        if schedule is None:
            return
        if not schedule.admits(request.ends_at_s, time.monotonic()):
            raise Refusal(ENTRY_STOPPING, 503, "the entry stops", STOPPING_RETRY_S)
        self.answer_by(schedule.answers_by_s)

    def answer_by(self, at_s: float) -> None:
        """End the request at that monotonic time if its time limit is later."""
        if self.request is None or self.request.ends_at_s <= at_s:
            return
        self.is_cut_short = True
        self.request.ends_at_s = at_s
        if self.timeout is not None:
            loop = asyncio.get_running_loop()
            self.timeout.reschedule(loop.time() + self.request.left_s())

    def timeout_refusal(self, request: GatewayRequest) -> Refusal:
        """Return the refusal of a request that has no complete answer in time."""
        if self.is_cut_short:
            if request.may_have_run():
                return Refusal(ANSWER_LOST, 502, "no complete answer before the entry's end")
            return Refusal(ENTRY_STOPPING, 503, "not sent before the entry's end", STOPPING_RETRY_S)
        if request.may_have_run():
            return Refusal(TIME_LIMIT_REACHED, 504, "no complete answer within the time limit")
        detail = "no upstream accepted the request within the time limit"
        return Refusal(TIME_LIMIT_BEFORE_START, 503, detail)

    async def refuse(self, refusal: Refusal, writer: AnswerWriter) -> None:
        """Send the refusal, or abort an answer that has already begun."""
        if writer.ended:
            return
        if writer.status:
            writer.abort()
            return
        try:
            await writer.refuse(refusal)
        except StreamClosedError:
            # The caller has disconnected; the refusal is still logged with the end of the request.
            return

    def log_cut(self) -> None:
        """Log that the end of the process cuts the request, and how far it has come."""
        request = self.request
        decision(
            "request_cut",
            request=self.head.request_id if self.head else "",
            age_s=round(time.monotonic() - self.received_at_s, 3),
            is_complete=self.task is not None,
            is_sent=bool(request and request.may_have_run()),
            attempts=request.attempts if request else 0,
        )

    def log_end(self, head: CallerHead, writer: AnswerWriter, outcome: str, detail: str) -> None:
        """Log and count the end of the request."""
        request = self.request
        fleet_state = self.front.intake.fleet_state
        took_s = time.monotonic() - self.received_at_s
        service = request.service if request else ""
        REQUESTS.labels(service, outcome).inc()
        REQUEST_TIME.observe(took_s)
        decision(
            "request_end",
            request=head.request_id,
            route=request.route.name if request else "",
            service=service,
            workspace=request.workspace_name if request else "",
            status=writer.status,
            outcome=outcome,
            detail=detail,
            took_s=round(took_s, 4),
            first_event_s=(
                elapsed_s(request.first_event_at_s, self.received_at_s) if request else 0.0
            ),
            longest_gap_s=round(request.longest_gap_s, 4) if request else 0.0,
            attempts=request.attempts if request else 0,
            configuration=fleet_state.configuration.version if fleet_state.configuration else 0,
            proof_age_s=round(min(fleet_state.proof_age_s(), 1e6), 3),
        )


def elapsed_s(at_s: float, began_s: float) -> float:
    """Return the seconds from ``began_s`` to ``at_s``; 0 if ``at_s`` is not set."""
    return round(at_s - began_s, 4) if at_s else 0.0
