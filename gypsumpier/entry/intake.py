"""Validates callers' HTTP requests and converts them to CallerRequest.

A chat completion names its service, or the model of a service, in the body's ``model``; a plain
call names it in the path, ``/services/NAME/...``.  The document decides whether a request is
idempotent, by the route with the longest matching prefix.
"""

import hashlib
import json
import uuid
from typing import Any, Final

from tornado.httputil import HTTPServerRequest

from gypsumpier.codes.request import BAD_REQUEST, BODY_TOO_LARGE, ENTRY_STARTING, UNKNOWN_SERVICE
from gypsumpier.document.service import Route, ServiceDocument
from gypsumpier.document.table import DocumentTable
from gypsumpier.entry.progress import RequestProgress
from gypsumpier.entry.request import CallerRequest
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.prefix import PREFIX_BLOCK_CHARS, prefix_ids
from gypsumpier.idempotency.key import fingerprint

WORKSPACE_HEADER: Final = "Workspace"
KEY_HEADER: Final = "Idempotency-Key"
TIMEOUT_HEADER: Final = "Request-Timeout"
DEFAULT_WORKSPACE: Final = "default"
PART_DIGEST_BYTES: Final = 8
AFFINITY_BLOCKS: Final = 3
"""Blocks of a prompt that are hashed for prefix affinity."""
STARTING_RETRY_AFTER_S: Final = 1.0
KEY_BYTES_MAX: Final = 255
SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})
FORWARDED_HEADERS: Final = ("Content-Type", "Accept", "Accept-Language", KEY_HEADER)


def chat_request(
    http: HTTPServerRequest, documents: DocumentTable, now_s: float
) -> tuple[CallerRequest, ServiceDocument]:
    """Return the validated chat completion and its service's document."""
    body = json_object(http.body)
    name = body.get("model")
    if not isinstance(name, str):
        raise GypsumpierError(BAD_REQUEST, "model must be a string")
    if not isinstance(body.get("messages"), list):
        raise GypsumpierError(BAD_REQUEST, "messages must be an array")
    streamed = body.get("stream", False)
    if not isinstance(streamed, bool):
        raise GypsumpierError(BAD_REQUEST, "stream must be true or false")
    document = document_for_model(documents, name)
    request = build(http, document, http.path, streamed, now_s)
    messages = body["messages"]
    return request._replace(prefix=prefix_of(messages), parts=parts_of(messages)), document


def plain_request(
    http: HTTPServerRequest, service: str, path: str, documents: DocumentTable, now_s: float
) -> tuple[CallerRequest, ServiceDocument]:
    """Return the validated plain call and its service's document."""
    document = documents.document(service)
    if document is None:
        raise unknown(documents, service)
    query = f"?{http.query}" if http.query else ""
    return build(http, document, f"/{path}{query}", False, now_s), document


def build(
    http: HTTPServerRequest, document: ServiceDocument, path: str, streamed: bool, now_s: float
) -> CallerRequest:
    """Return the request, built from the HTTP headers and the document."""
    if len(http.body) > document.limits.body_bytes:
        raise GypsumpierError(BODY_TOO_LARGE, f"body is over {document.limits.body_bytes} bytes")
    key = http.headers.get(KEY_HEADER, "")
    if len(key.encode()) > KEY_BYTES_MAX:
        raise GypsumpierError(BAD_REQUEST, f"{KEY_HEADER} is over {KEY_BYTES_MAX} bytes")
    method = http.method or "GET"
    route = route_of(document, method, path)
    headers = {name: http.headers[name] for name in FORWARDED_HEADERS if name in http.headers}
    return CallerRequest(
        request_id=str(uuid.uuid4()),
        service=document.service,
        workspace=http.headers.get(WORKSPACE_HEADER, DEFAULT_WORKSPACE),
        method=method,
        path=path,
        headers=headers,
        body=http.body,
        key=key,
        streamed=streamed,
        received_at_s=now_s,
        remaining_s=timeout_of(http, document),
        idempotent=is_idempotent(document, route, method),
        priority=route.priority if route else 0,
        prefix="",
        parts=(),
        fingerprint=fingerprint(method, path, http.body),
        progress=RequestProgress(),
    )


def document_for_model(documents: DocumentTable, name: str) -> ServiceDocument:
    """Return the document whose service or model has that name."""
    found = documents.document(name)
    if found is not None and found.kind == "model":
        return found
    for accepted in documents.accepted.values():
        document = accepted.document
        if document is not None and document.kind == "model" and document.model == name:
            return document
    raise unknown(documents, name)


def unknown(documents: DocumentTable, name: str) -> GypsumpierError:
    """Return the error for a service without a document.

    An entry without any document has just started, so the service may exist.
    """
    if not documents.accepted:
        return GypsumpierError(ENTRY_STARTING, "no document is known yet", STARTING_RETRY_AFTER_S)
    return GypsumpierError(UNKNOWN_SERVICE, name)


def prefix_of(messages: list[Any]) -> str:
    """Return the id of the prompt's prefix, or an empty string for a short prompt."""
    texts = [message.get("content", "") for message in messages if isinstance(message, dict)]
    prompt = "\n".join(str(text) for text in texts)
    names = prefix_ids(prompt[: AFFINITY_BLOCKS * PREFIX_BLOCK_CHARS])
    return names[-1] if names else ""


def parts_of(messages: list[Any]) -> tuple[str, ...]:
    """Return digests of the messages without the last, which is the request's own.

    The limit on a body bounds their number.
    """
    texts = [json.dumps(message, sort_keys=True).encode() for message in messages[:-1]]
    digests = [hashlib.blake2b(text, digest_size=PART_DIGEST_BYTES).hexdigest() for text in texts]
    return tuple(dict.fromkeys(digests))


def json_object(body: bytes) -> dict[str, Any]:
    """Return the body as a JSON object; raise BAD_REQUEST if it is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise GypsumpierError(BAD_REQUEST, "the body is not JSON") from error
    if not isinstance(value, dict):
        raise GypsumpierError(BAD_REQUEST, "the body is not a JSON object")
    return value


def timeout_of(http: HTTPServerRequest, document: ServiceDocument) -> float:
    """Return the caller's timeout in seconds, limited to the document's deadline."""
    text = http.headers.get(TIMEOUT_HEADER)
    if text is None:
        return document.limits.deadline_s
    try:
        timeout_s = float(text)
    except ValueError as error:
        raise GypsumpierError(BAD_REQUEST, f"{TIMEOUT_HEADER} is not a number") from error
    if not 0 < timeout_s < float("inf"):
        raise GypsumpierError(BAD_REQUEST, f"{TIMEOUT_HEADER} must be positive")
    return min(timeout_s, document.limits.deadline_s)


def route_of(document: ServiceDocument, method: str, path: str) -> Route | None:
    """Return the matching route with the longest prefix, or None."""
    matching = [
        route
        for route in document.routes
        if path.startswith(route.prefix) and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


def is_idempotent(document: ServiceDocument, route: Route | None, method: str) -> bool:
    """Return whether the request may run more than once."""
    if route is not None:
        return route.idempotent
    return document.kind == "model" or method in SAFE_METHODS
