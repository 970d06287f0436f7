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
UPSTREAM_UNREACHABLE: Final = ResultCode(
    2005, "upstream_unreachable", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
UPSTREAM_FULL: Final = ResultCode(
    2006, "upstream_full", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
ENTRY_STARTING: Final = ResultCode(
    2007, "entry_starting", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
UPSTREAM_LIMITED: Final = ResultCode(
    2008, "upstream_limited", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
UPSTREAM_RESTING: Final = ResultCode(
    2009, "upstream_resting", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
BAD_REQUEST: Final = ResultCode(
    2010, "bad_request", 400, Outcome.NOT_RUN, "Correct the request before sending it again."
)
BODY_TOO_LARGE: Final = ResultCode(
    2011, "body_too_large", 413, Outcome.NOT_RUN, "Send a smaller body."
)
KEY_REUSED: Final = ResultCode(
    2012,
    "key_reused",
    422,
    Outcome.NOT_RUN,
    "The Idempotency-Key belongs to another request; use a new key for this one.",
)
UNKNOWN_PATH: Final = ResultCode(
    2013, "unknown_path", 404, Outcome.NOT_RUN, "Call a path that an entry serves."
)
METHOD_REFUSED: Final = ResultCode(
    2014, "method_refused", 405, Outcome.NOT_RUN, "Call the path with a method that it takes."
)
ENTRY_FAILED: Final = ResultCode(
    2015, "entry_failed", 500, Outcome.UNKNOWN, "Report the request's id; it may have run."
)
DEADLINE_EXCEEDED: Final = ResultCode(
    2020,
    "deadline_exceeded",
    504,
    Outcome.UNKNOWN,
    "Ask for the outcome, or send an idempotent request again.",
)
OUTCOME_UNKNOWN: Final = ResultCode(
    2021,
    "outcome_unknown",
    502,
    Outcome.UNKNOWN,
    "The request may have run. Ask for the outcome with the same Idempotency-Key.",
)
ANSWER_CUT: Final = ResultCode(
    2022, "answer_cut", 502, Outcome.UNKNOWN, "The answer is not whole. Discard what has arrived."
)
UPSTREAM_FAILED: Final = ResultCode(
    2023, "upstream_failed", 502, Outcome.UNKNOWN, "The upstream failed while it ran the request."
)
DEADLINE_BEFORE_START: Final = ResultCode(
    2024,
    "deadline_before_start",
    504,
    Outcome.NOT_RUN,
    "The deadline passed before the request was started; allow more time.",
)
OUTCOME_UNKNOWN_WITHOUT_KEY: Final = ResultCode(
    2025,
    "outcome_unknown_without_key",
    502,
    Outcome.UNKNOWN,
    "The request may have run and can't be sent again safely; use an Idempotency-Key.",
)
HOME_UNREACHABLE: Final = ResultCode(
    2030,
    "home_unreachable",
    503,
    Outcome.UNKNOWN,
    "This copy was not sent; an earlier copy may have run. Send the same key after Retry-After.",
)
HOME_RECOVERING: Final = ResultCode(
    2031,
    "home_recovering",
    503,
    Outcome.UNKNOWN,
    "This copy was not run; an earlier copy may have run. Send the same key after Retry-After.",
)
NOT_HOME: Final = ResultCode(
    2032,
    "not_home",
    503,
    Outcome.UNKNOWN,
    "A document has moved the key; send the same key after Retry-After.",
)
ANSWER_GONE: Final = ResultCode(
    2033,
    "answer_gone",
    410,
    Outcome.DONE,
    "The request was run once and won't run again; its answer is no longer kept.",
)
KEY_OUTCOME_UNKNOWN: Final = ResultCode(
    2034,
    "key_outcome_unknown",
    502,
    Outcome.UNKNOWN,
    "The request under this key may have run and won't run again; find out at the service.",
)
KEY_REFUSED: Final = ResultCode(
    2035,
    "key_refused",
    503,
    Outcome.NOT_RUN,
    "The request under this key was refused; send the same key after Retry-After.",
)
KEYS_FULL: Final = ResultCode(
    2036,
    "keys_full",
    503,
    Outcome.UNKNOWN,
    "This copy was not run; an earlier copy may have run. Send the same key after Retry-After.",
)
KEY_RUNNING: Final = ResultCode(
    2037, "key_running", 409, Outcome.UNKNOWN, "The request still runs; ask again."
)
KEY_NOT_SEEN: Final = ResultCode(
    2038,
    "key_not_seen",
    404,
    Outcome.UNKNOWN,
    "The home has not seen the key; a copy may still be on its way. Send the same key.",
)
COPY_REFUSED: Final = ResultCode(
    2039,
    "copy_refused",
    503,
    Outcome.UNKNOWN,
    "This copy was not run; an earlier copy may have run. Send the same key after Retry-After.",
)
OVERLOADED: Final = ResultCode(
    2040, "overloaded", 429, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
QUARANTINED: Final = ResultCode(
    2050,
    "quarantined",
    422,
    Outcome.UNKNOWN,
    "The request was running when two upstreams crashed; this copy was not run. Change it.",
)
NO_ROUTE: Final = ResultCode(
    2060, "no_route", 404, Outcome.NOT_RUN, "Call a host and path that a route takes."
)
KEY_UNKNOWN: Final = ResultCode(
    2061, "key_unknown", 401, Outcome.NOT_RUN, "Send a key that a workspace holds."
)
ENTRY_UNINFORMED: Final = ResultCode(
    2062, "entry_uninformed", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
STALE_CONFIGURATION: Final = ResultCode(
    2063,
    "stale_configuration",
    503,
    Outcome.NOT_RUN,
    "The entry can't tell whether the key still holds; another entry may. Send it again.",
)
NO_UPSTREAM: Final = ResultCode(
    2064, "no_upstream", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
QUEUE_TOO_LONG: Final = ResultCode(
    2065, "queue_too_long", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
SUSPECTED_OF_CRASHES: Final = ResultCode(
    2066,
    "suspected_of_crashes",
    503,
    Outcome.NOT_RUN,
    "Earlier copies were running when upstreams crashed; this copy was not run. Change it.",
)
TIME_LIMIT_REACHED: Final = ResultCode(
    2067, "time_limit_reached", 504, Outcome.UNKNOWN, "The request may have run; allow more time."
)
TIME_LIMIT_BEFORE_START: Final = ResultCode(
    2068, "time_limit_before_start", 503, Outcome.NOT_RUN, "Allow more time."
)
ANSWER_LOST: Final = ResultCode(
    2069, "answer_lost", 502, Outcome.UNKNOWN, "The request may have run; find out at the service."
)
EVERY_TRY_REFUSED: Final = ResultCode(
    2070, "every_try_refused", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
GATEWAY_FAILED: Final = ResultCode(
    2071, "gateway_failed", 502, Outcome.UNKNOWN, "Report the request's id; it may have run."
)
ENTRY_STOPPING: Final = ResultCode(
    2072, "entry_stopping", 503, Outcome.NOT_RUN, "Send the request again on a new connection."
)
NO_UPSTREAM_IN_REGIONS: Final = ResultCode(
    2073,
    "no_upstream_in_regions",
    503,
    Outcome.NOT_RUN,
    "No upstream in the regions that the route and the workspace allow. Retry after Retry-After.",
)
ZONE_EVACUATED: Final = ResultCode(
    2074, "zone_evacuated", 503, Outcome.NOT_RUN, "Send the request again after Retry-After."
)
