"""How an entry ends a request by itself."""

from gypsumpier.codes.result import ResultCode


class Refusal(Exception):  # noqa: N818 - an outcome told to the caller, not a fault
    """An answer of the entry's own.

    ``retry_after_s`` is when the same request is expected to be served.
    """

    def __init__(
        self, code: ResultCode, status: int, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.status = status
        self.detail = detail
        self.retry_after_s = retry_after_s
