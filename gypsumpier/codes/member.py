"""Result codes of the member list, 5500 to 5999."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

MEMBER_LIST_EMPTY: Final = ResultCode(
    5500, "member_list_empty", 503, Outcome.NOT_RUN, "The last list stays in use."
)
MEMBER_TABLE_FULL: Final = ResultCode(
    5501, "member_table_full", 503, Outcome.NOT_RUN, "Raise the limit or remove instances."
)
MEMBER_LIST_CONTRADICTORY: Final = ResultCode(
    5502, "member_list_contradictory", 503, Outcome.NOT_RUN, "Members still heard from are kept."
)
MEMBER_MALFORMED: Final = ResultCode(
    5503, "member_malformed", 502, Outcome.NOT_RUN, "Correct the entry of the member list."
)
