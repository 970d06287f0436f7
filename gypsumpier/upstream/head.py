"""The heads of requests and answers, independent of their HTTP headers."""

from typing import Final, NamedTuple

from tornado.httputil import HTTPHeaders

from gypsumpier.codes.refusalstatus import REFUSAL_STATUSES
from gypsumpier.statement.statement import Statement

OK: Final = 200


class CallerHead(NamedTuple):
    """The head of a caller's request.

    ``target`` is the path with its query, as it is forwarded.  ``time_limit_s`` is counted from the
    arrival and None if the caller states none.  ``prompt_parts`` are the ids of the parts of its
    prompt that other requests may share.  ``forwarded_headers`` are the headers that an upstream
    gets unchanged.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    time_limit_s: float | None
    model: str
    last_event_id: str
    prompt_tokens: int
    answer_tokens: int
    expected_answer_tokens: int
    prompt_parts: tuple[str, ...]
    forwarded_headers: HTTPHeaders

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class UpstreamHead(NamedTuple):
    """What an entry adds to the head of a request to an upstream.

    An upstream other than ``upstream`` refuses the request, and so does one with weights other than
    ``expected_version``, if that is not 0.  ``urgency``, from 0 to 9, orders the upstream's queue,
    0 first.
    """

    upstream: str
    workspace: str
    time_limit_s: float
    urgency: int
    expected_version: int
    last_event_id: str
    body_bytes: int


class AnswerHead(NamedTuple):
    """The head of an upstream's answer.

    ``request_id`` is the id of the request that it answers.  ``is_not_run`` is the upstream's
    statement that it has not run the request and never will.  ``seal`` marks an answer as the
    upstream's own.  ``upstream`` is the id of the answering upstream, if stated.  ``closes`` is set
    if the connection is closed after the answer.  ``idle_s`` is how many seconds the upstream keeps
    the idle connection; None if not stated.  ``is_event_stream`` is set if its body is a series of
    events, ``is_framed`` if the body's end is told from that of the connection.  ``statement`` is
    what the answer says of the upstream itself.  ``weights_version`` is that of the weights on
    which the request has started; 0 if not stated.
    """

    status: int
    reason: str
    request_id: str
    seal: str
    is_not_run: bool
    is_encoded: bool
    closes: bool
    idle_s: float | None
    upstream: str
    is_event_stream: bool
    is_framed: bool
    statement: Statement
    forwarded_headers: HTTPHeaders
    weights_version: int = 0

    @property
    def is_success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return 200 <= self.status < 300

    @property
    def is_unstated_refusal(self) -> bool:
        """Whether the status is that of a refusal, but nothing states that the request has not run.

        Faulty upstreams also answer so what they have run.
        """
        return self.status in REFUSAL_STATUSES and not self.is_not_run

    @property
    def is_stream(self) -> bool:
        """Whether it begins a series of events, or the rest of one that was asked for."""
        return self.status == OK and self.is_event_stream
