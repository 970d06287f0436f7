"""What an upstream of the own interface states about whether it has run a request.

Only ``Gypsumpier-Outcome: not_run`` states that it has not and never will.  The status alone does
not: a faulty upstream answers 503 also to what it has run.
"""

from typing import Final

from tornado.httputil import HTTPHeaders

from gypsumpier.codes.platform import PLATFORM_REFUSED
from gypsumpier.codes.refusalstatus import REFUSAL_STATUSES
from gypsumpier.codes.request import UPSTREAM_FAILED
from gypsumpier.codes.result import Outcome
from gypsumpier.errors import GypsumpierError
from gypsumpier.external.retryafter import retry_after_s

OUTCOME_HEADER: Final = "Gypsumpier-Outcome"


def states_not_run(headers: HTTPHeaders) -> bool:
    """Return whether the headers of an answer state that the call had no effect and won't have."""
    return headers.get(OUTCOME_HEADER, "").strip().lower() == Outcome.NOT_RUN.value


def is_unstated_refusal(status: int, headers: HTTPHeaders) -> bool:
    """Return whether an answer has the status of a refusal and does not state that it is one."""
    return status in REFUSAL_STATUSES and not states_not_run(headers)


def check_run(status: int, headers: HTTPHeaders) -> None:
    """Raise GypsumpierError for the answer to a request unless it may reach the caller.

    The code is PLATFORM_REFUSED if the upstream states that it has not run the request, and
    UPSTREAM_FAILED if only the status says so, or the statement stands in a success.
    """
    if is_unstated_refusal(status, headers):
        detail = f"status {status} does not state that the request has not run"
        raise GypsumpierError(UPSTREAM_FAILED, detail, retry_after_s(headers))
    if not states_not_run(headers):
        return
    if 200 <= status < 300:
        detail = f"status {status} with the statement that the request has not run"
        raise GypsumpierError(UPSTREAM_FAILED, detail)
    raise GypsumpierError(PLATFORM_REFUSED, f"status {status}", retry_after_s(headers))
