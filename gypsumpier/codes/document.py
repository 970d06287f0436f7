"""Result codes of documents, 5000 to 5099."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

LAST_ACCEPTED_STAYS: Final = "Correct the field; the last accepted revision stays in force."


def refusal(number: int, name: str, advice: str = LAST_ACCEPTED_STAYS) -> ResultCode:
    """Return a code for a refused revision."""
    return ResultCode(number, name, 422, Outcome.NOT_RUN, advice)


DOCUMENT_TOO_LARGE: Final = refusal(5000, "document_too_large")
DOCUMENT_NOT_JSON: Final = refusal(5001, "document_not_json")
UNKNOWN_FIELD: Final = refusal(5002, "unknown_field")
MISSING_FIELD: Final = refusal(5003, "missing_field")
WRONG_TYPE: Final = refusal(5004, "wrong_type")
OUT_OF_RANGE: Final = refusal(5005, "out_of_range")
BAD_FORMAT: Final = refusal(5006, "bad_format")
BAD_TIME: Final = refusal(5007, "bad_time")
TOO_MANY_ITEMS: Final = refusal(5008, "too_many_items")
DUPLICATE_ITEM: Final = refusal(5009, "duplicate_item")
BAD_SPLIT: Final = refusal(5010, "bad_split")
DANGLING_REFERENCE: Final = refusal(5011, "dangling_reference")
KIND_CONFLICT: Final = refusal(5012, "kind_conflict")
NAME_MISMATCH: Final = refusal(5013, "name_mismatch")
DUPLICATE_FIELD: Final = refusal(5014, "duplicate_field")
DOCUMENT_TABLE_FULL: Final = refusal(
    5050, "document_table_full", "Delete unused documents or raise the table's limit."
)
CONFLICTING_REVISION: Final = refusal(
    5051, "conflicting_revision", "One revision has two contents; publish a new revision."
)
OPEN_ASKS_FULL: Final = ResultCode(
    5052, "open_asks_full", 503, Outcome.NOT_RUN, "Asked again after the next comparison."
)
STREAMS_FULL: Final = ResultCode(
    5053, "streams_full", 503, Outcome.NOT_RUN, "The entry that dials tries others, then again."
)
