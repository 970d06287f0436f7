"""Result codes of weights, 6500 to 6599."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

BAD_MANIFEST: Final = ResultCode(
    6501, "bad_manifest", 502, Outcome.NOT_RUN, "Publish the version again with a valid file list."
)
CHUNK_CORRUPT: Final = ResultCode(
    6502, "chunk_corrupt", 502, Outcome.NOT_RUN, "The chunk is drawn again from another source."
)
FILE_CORRUPT: Final = ResultCode(
    6503, "file_corrupt", 502, Outcome.NOT_RUN, "The published digests disagree; publish again."
)
VERSION_CHANGED: Final = ResultCode(
    6504, "version_changed", 409, Outcome.NOT_RUN, "The transfer starts again from the new list."
)
CHUNK_UNAVAILABLE: Final = ResultCode(
    6505, "chunk_unavailable", 503, Outcome.NOT_RUN, "Another source is asked."
)
DECISION_TOO_OLD: Final = ResultCode(
    6506, "decision_too_old", 409, Outcome.NOT_RUN, "The agent decides again before it orders."
)
ENGINE_FULL: Final = ResultCode(
    6508,
    "engine_full",
    503,
    Outcome.NOT_RUN,
    "Name fewer versions or give the engines more memory.",
)
WRONG_CONTENT: Final = ResultCode(
    6509, "wrong_content", 502, Outcome.NOT_RUN, "The content is unloaded and staged again."
)
AGENT_SUPERSEDED: Final = ResultCode(
    6507, "agent_superseded", 409, Outcome.NOT_RUN, "A newer agent fills this place; stop this one."
)
