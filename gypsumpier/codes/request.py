"""Result codes of callers' requests, 2000 to 2999."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

UNKNOWN_SERVICE: Final = ResultCode(
    2001, "unknown_service", 404, Outcome.NOT_RUN, "Name a service that has a document in force."
)
NO_LIVE_UPSTREAM: Final = ResultCode(
    2002, "no_live_upstream", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
UPSTREAM_LEAVING: Final = ResultCode(
    2003, "upstream_leaving", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
WRONG_VERSION: Final = ResultCode(
    2004, "wrong_version", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
ENTRY_STARTING: Final = ResultCode(
    2007, "entry_starting", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
BAD_REQUEST: Final = ResultCode(
    2010, "bad_request", 400, Outcome.NOT_RUN, "Correct the request before sending it again."
)
BODY_TOO_LARGE: Final = ResultCode(
    2011, "body_too_large", 413, Outcome.NOT_RUN, "Send a smaller body."
)
DEADLINE_EXCEEDED: Final = ResultCode(
    2020,
    "deadline_exceeded",
    504,
    Outcome.UNKNOWN,
    "Ask for the outcome, or send an idempotent" " request again.",
)
OUTCOME_UNKNOWN: Final = ResultCode(
    2021,
    "outcome_unknown",
    502,
    Outcome.UNKNOWN,
    "The request may have run. Ask for the outcome" " with the same Idempotency-Key.",
)
ANSWER_CUT: Final = ResultCode(
    2022, "answer_cut", 502, Outcome.UNKNOWN, "The answer is not whole. Discard what has arrived."
)
UPSTREAM_FAILED: Final = ResultCode(
    2023, "upstream_failed", 502, Outcome.UNKNOWN, "The upstream failed while it ran the request."
)
