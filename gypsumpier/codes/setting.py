"""Result codes of settings, of the start of the daemon, of the administration API and the CLI.

Settings and start are 8000 to 8099, the administration API 8100 to 8199, the CLI 8200 to 8299.
"""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

SETTING_MISSING: Final = ResultCode(
    8001, "setting_missing", 400, Outcome.NOT_RUN, "Give the flag or its environment variable."
)
SETTING_MALFORMED: Final = ResultCode(
    8002, "setting_malformed", 400, Outcome.NOT_RUN, "Give a value of the stated type and shape."
)
SETTING_OUT_OF_RANGE: Final = ResultCode(
    8003, "setting_out_of_range", 400, Outcome.NOT_RUN, "Give a value within the stated range."
)
SETTINGS_CONFLICT: Final = ResultCode(
    8004, "settings_conflict", 400, Outcome.NOT_RUN, "Change one of the two settings."
)
SETTING_UNKNOWN: Final = ResultCode(
    8005, "setting_unknown", 400, Outcome.NOT_RUN, "See --help for the flags."
)
START_FAILED: Final = ResultCode(
    8010, "start_failed", 500, Outcome.NOT_RUN, "Free the port or correct the address."
)
ADMINISTRATION_PATH_UNKNOWN: Final = ResultCode(
    8101, "administration_path_unknown", 404, Outcome.NOT_RUN, "See the paths under /v1."
)
ADMINISTRATION_METHOD_REFUSED: Final = ResultCode(
    8102, "administration_method_refused", 405, Outcome.NOT_RUN, "Nothing can be written here."
)
ADMINISTRATION_QUERY_INVALID: Final = ResultCode(
    8103, "administration_query_invalid", 400, Outcome.NOT_RUN, "Correct the query's argument."
)
ADMINISTRATION_BODY_TOO_LARGE: Final = ResultCode(
    8104, "administration_body_too_large", 413, Outcome.NOT_RUN, "Send a smaller document."
)
ADMINISTRATION_FAILED: Final = ResultCode(
    8105, "administration_failed", 500, Outcome.UNKNOWN, "Read the process's log."
)
ADMINISTRATION_BUSY: Final = ResultCode(
    8106, "administration_busy", 429, Outcome.NOT_RUN, "Ask again after a second."
)
ADMINISTRATION_UNREACHABLE: Final = ResultCode(
    8201, "administration_unreachable", 503, Outcome.NOT_RUN, "Check the URL and the process."
)
ADMINISTRATION_BAD_ANSWER: Final = ResultCode(
    8202, "administration_bad_answer", 502, Outcome.UNKNOWN, "Check the URL and both versions."
)
FILE_UNREADABLE: Final = ResultCode(
    8203, "file_unreadable", 400, Outcome.NOT_RUN, "Name a file that can be read."
)
ADMINISTRATION_URL_MALFORMED: Final = ResultCode(
    8204, "administration_url_malformed", 400, Outcome.NOT_RUN, "Give http://ADDRESS:PORT."
)
ARGUMENTS_INVALID: Final = ResultCode(
    8205, "arguments_invalid", 400, Outcome.NOT_RUN, "See --help for commands and flags."
)
