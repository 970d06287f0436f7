"""Bodies and headers of the coded error responses sent to callers."""

import json
import math
from typing import TypedDict

from gypsumpier.errors import GypsumpierError
from gypsumpier.external.statedoutcome import OUTCOME_HEADER


class ErrorDetail(TypedDict):
    """The error object sent to a caller whose request has no complete answer."""

    code: int
    name: str
    outcome: str
    message: str
    advice: str
    request_id: str
    retry_after_s: float | None


def error_body(error: GypsumpierError, request_id: str) -> bytes:
    """Return the JSON body for the error."""
    detail = ErrorDetail(
        code=error.code.number,
        name=error.code.name,
        outcome=error.code.outcome.value,
        message=error.detail,
        advice=error.code.advice,
        request_id=request_id,
        retry_after_s=error.retry_after_s,
    )
    return json.dumps({"error": detail}).encode()


def error_headers(error: GypsumpierError) -> dict[str, str]:
    """Return the headers for the error; Retry-After is in whole seconds, rounded up."""
    headers = {
        "Content-Type": "application/json",
        "Gypsumpier-Code": str(error.code.number),
        OUTCOME_HEADER: error.code.outcome.value,
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    return headers
