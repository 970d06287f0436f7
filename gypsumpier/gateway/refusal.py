"""The error by which an entry answers a request itself."""

from gypsumpier.codes.result import ResultCode


class Refusal(Exception):  # noqa: N818 - an outcome reported to the caller, not a fault
    """An error answer that the entry sends itself.

    ``status`` is the HTTP status.  ``retry_after_s`` is the number of seconds after which the same
    request is expected to be served; None if unknown.
    """

    def __init__(
        self, code: ResultCode, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.status = status
        self.detail = detail
        self.retry_after_s = retry_after_s
