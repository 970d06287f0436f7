"""Translates the headers of callers' requests and of upstreams' answers."""

from typing import Final

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from gypsumpier.statement.statement import statement_of
from gypsumpier.upstream.head import AnswerHead, CallerHead, UpstreamHead

REQUEST_ID: Final = "X-Request-Id"
TIME_LIMIT: Final = "X-Deadline-Ms"
KEY: Final = "X-Key"
WORKSPACE: Final = "X-Tenant"
EXPECTED_UPSTREAM: Final = "X-Expect-Instance"
EXPECTED_VERSION: Final = "X-Expect-Version"
URGENCY: Final = "X-Request-Urgency"
MODEL: Final = "X-Model"
TOKEN_COUNTS: Final = "X-Token-Counts"
PROMPT_PARTS: Final = "X-Prompt-Prefix"
EXPECTED_TOKENS: Final = "X-Length-Hint"
LAST_EVENT_ID: Final = "Last-Event-Id"
SEAL: Final = "X-Server-Seal"
NOT_RUN: Final = "X-Not-Executed"
NOT_RUN_DENIALS: Final = frozenset({"0", "?0", "false", "no"})
"""Values of that header, in lower case, by which an upstream denies that it has not run a request.
Every other value states it."""
INSTANCE: Final = "X-Instance-Id"
WEIGHTS_VERSION: Final = "X-Weight-Versions"
"""Version of the weights on which an engine has started the request that it answers."""
REQUEST_LIMIT: Final = "Server-Limit"
"""Requests a second that the answering upstream takes from all entries together."""
RETRY_AFTER: Final = "Retry-After"
"""Seconds, with fractions: in a 503 of an upstream, for which it wants nothing from the entry that
it answers; in an answer of an entry, after which the caller should send the request again."""
UPSTREAM_LEAVING: Final = "Server-Leaving"
"""``1`` in all answers of an upstream that leaves."""
EVENT_STREAM: Final = "text/event-stream"
"""Type of the body of a stream."""
MISDIRECTED_STATUS: Final = 421
# Headers of a single connection, which a proxy does not forward, and headers that the system sets
# itself, whatever a caller sent.
CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        KEY, WORKSPACE, TIME_LIMIT, EXPECTED_UPSTREAM, EXPECTED_VERSION, URGENCY, "Path"
    )
)  # fmt: skip

REFUSAL_HEADERS: Final = frozenset({NOT_RUN.lower()})
"""Headers that no forwarded answer has: callers may take the name alone for the statement."""


def caller_head(start: RequestStartLine, headers: HTTPHeaders) -> CallerHead:
    """Return the head of a caller's request; malformed fields get their defaults."""
    prompt_tokens, _, answer_tokens = headers.get(TOKEN_COUNTS, "").partition(",")
    time_limit_ms = headers.get(TIME_LIMIT, "")
    return CallerHead(
        request_id=headers.get(REQUEST_ID, ""),
        method=start.method,
        target=start.path,
        host=headers.get("Host", ""),
        key=headers.get(KEY, ""),
        time_limit_s=int(time_limit_ms) / 1000 if is_whole_number(time_limit_ms) else None,
        model=headers.get(MODEL, ""),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        prompt_tokens=whole_number(prompt_tokens),
        answer_tokens=whole_number(answer_tokens),
        expected_answer_tokens=whole_number(headers.get(EXPECTED_TOKENS, "")),
        prompt_parts=shared_prompt_parts(headers.get(PROMPT_PARTS, "")),
        forwarded_headers=forwardable_headers(headers, SYSTEM_HEADERS),
    )


def upstream_headers(caller: CallerHead, upstream_head: UpstreamHead) -> HTTPHeaders:
    """Return the headers of the request to an upstream."""
    headers = HTTPHeaders(caller.forwarded_headers)
    headers[TIME_LIMIT] = str(max(1, int(upstream_head.time_limit_s * 1000)))
    headers[EXPECTED_UPSTREAM] = upstream_head.upstream
    headers[URGENCY] = str(upstream_head.urgency)
    if upstream_head.workspace:
        headers[WORKSPACE] = upstream_head.workspace
    if upstream_head.expected_version:
        headers[EXPECTED_VERSION] = str(upstream_head.expected_version)
    if upstream_head.last_event_id:
        headers[LAST_EVENT_ID] = upstream_head.last_event_id
    if upstream_head.body_bytes or caller.method in ("POST", "PUT", "PATCH"):
        headers["Content-Length"] = str(upstream_head.body_bytes)
    return headers


def internal_headers(host: str, request_id: str) -> HTTPHeaders:
    """Return the headers of a call of this process's own."""
    return HTTPHeaders({"Host": host, REQUEST_ID: request_id})


def answer_head(start: ResponseStartLine, headers: HTTPHeaders) -> AnswerHead:
    """Return the head of an upstream's answer."""
    return AnswerHead(
        status=start.code,
        reason=start.reason,
        request_id=headers.get(REQUEST_ID, ""),
        seal=headers.get(SEAL, ""),
        is_not_run=states_not_run(start.code, headers),
        is_encoded="Content-Encoding" in headers,
        closes="close" in headers.get("Connection", "").lower(),
        idle_s=keep_alive_timeout_s(headers),
        upstream=headers.get(INSTANCE, ""),
        is_event_stream=headers.get("Content-Type", "").lower().startswith(EVENT_STREAM),
        is_framed="Content-Length" in headers or "Transfer-Encoding" in headers,
        statement=statement_of(
            start.code,
            headers.get(REQUEST_LIMIT),
            headers.get(RETRY_AFTER),
            headers.get(UPSTREAM_LEAVING),
        ),
        forwarded_headers=forwardable_headers(headers, REFUSAL_HEADERS),
        weights_version=whole_number(headers.get(WEIGHTS_VERSION, "")),
    )


def states_not_run(status: int, headers: HTTPHeaders) -> bool:
    """Return whether an answer states that the request has not run and does not deny it as well."""
    values = headers.get(NOT_RUN, "").split(",")
    if any(value.strip().lower() in NOT_RUN_DENIALS for value in values):
        return False
    return NOT_RUN in headers or status == MISDIRECTED_STATUS


def refusal_headers(request_id: str, body_bytes: int, retry_after_s: float | None) -> HTTPHeaders:
    """Return the headers of an entry's own answer; Retry-After may have fractions of a second."""
    headers = HTTPHeaders({"Content-Type": "application/json", REQUEST_ID: request_id})
    headers["Content-Length"] = str(body_bytes)
    if retry_after_s is not None:
        headers[RETRY_AFTER] = f"{max(0.0, retry_after_s):.3f}"
    return headers


def forwardable_headers(headers: HTTPHeaders, names: frozenset[str]) -> HTTPHeaders:
    """Return the headers that a proxy forwards, without those in ``names`` (in lower case)."""
    connection_options = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    kept = HTTPHeaders()
    for name, value in headers.get_all():
        lower = name.lower()
        if (
            lower not in CONNECTION_HEADERS
            and lower not in names
            and lower not in connection_options
        ):
            kept.add(name, value)
    return kept


def keep_alive_timeout_s(headers: HTTPHeaders) -> float | None:
    """Return the seconds of ``Keep-Alive: timeout=N``; None if absent or malformed."""
    for part in headers.get("Keep-Alive", "").split(","):
        name, _, value = part.partition("=")
        if name.strip().lower() == "timeout" and is_whole_number(value.strip()):
            return float(value)
    return None


def shared_prompt_parts(text: str) -> tuple[str, ...]:
    """Return the ids of the prompt's parts without the last, which is the request's own.

    The text is a comma-separated list of ID:TOKENS.  The limit on a head bounds their number.
    """
    ids = [item.partition(":")[0].strip().lower() for item in text.split(",")]
    return tuple(dict.fromkeys(found for found in ids[:-1] if found))


def is_whole_number(text: str) -> bool:
    """Return whether the text is a whole number of fewer than 12 digits."""
    return text.isascii() and text.isdecimal() and len(text) < 12


def whole_number(text: str) -> int:
    """Return the text as a whole number; 0 if it is not one, because the header is optional."""
    return int(text) if is_whole_number(text.strip()) else 0
