"""Result codes of the streams between the system's own processes, 7000 to 7999."""

from typing import Final

from gypsumpier.codes.result import Outcome, ResultCode

BAD_FRAME: Final = ResultCode(
    7001, "bad_frame", 502, Outcome.UNKNOWN, "The connection is closed and opened again."
)
FRAME_TOO_LARGE: Final = ResultCode(
    7002, "frame_too_large", 502, Outcome.UNKNOWN, "The connection is closed and opened again."
)
CONNECTION_CLOSED: Final = ResultCode(
    7003, "connection_closed", 502, Outcome.UNKNOWN, "The connection is opened again."
)
CONNECTION_SILENT: Final = ResultCode(
    7004, "connection_silent", 502, Outcome.UNKNOWN, "The connection is opened again."
)
PEER_FAILED: Final = ResultCode(
    7005, "peer_failed", 502, Outcome.UNKNOWN, "Another peer is asked, or the same one later."
)
