"""The heads of a request and of its answer, as the product sees them."""

from typing import NamedTuple

from tornado.httputil import HTTPHeaders


class CallerHead(NamedTuple):
    """What a caller's request says before its body.

    ``target`` is the path with its query, as it is passed on.  ``time_limit_s`` counts from the
    arrival and is None where the caller states none.  ``forwarded_headers`` are the headers that an
    upstream gets unchanged.
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
    forwarded_headers: HTTPHeaders

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]


class UpstreamHead(NamedTuple):
    """What an entry itself tells an upstream of a request.

    Any other upstream than ``upstream`` refuses the request; so does one with other weights than
    ``expected_version``, where that is not 0.  An ``urgency`` from 0 to 9 orders the upstream's
    queue, 0 first.
    """

    upstream: str
    workspace: str
    time_limit_s: float
    urgency: int
    expected_version: int
    last_event_id: str
    body_bytes: int


class AnswerHead(NamedTuple):
    """What an upstream's answer says before its body.

    ``request_id`` is the id of the request that it answers.  ``is_not_run`` is the upstream's word
    that it has not run the request and never will.  ``seal`` marks an answer as an upstream's own.
    ``upstream`` is the id of the upstream that answers, where it says so.
    ``idle_s`` is how long the upstream keeps the idle connection, None where it doesn't say.
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
    forwarded_headers: HTTPHeaders

    @property
    def is_success(self) -> bool:
        """Whether the upstream ran the request with success."""
        return 200 <= self.status < 300
