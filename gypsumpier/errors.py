"""The exception type of the package, which carries a result code."""

from gypsumpier.codes.result import ResultCode


class GypsumpierError(Exception):
    """A failure with its result code.

    ``retry_after_s`` is the number of seconds after which the same call may succeed; None if
    unknown.
    """

    def __init__(self, code: ResultCode, detail: str, retry_after_s: float | None = None) -> None:
        super().__init__(f"{code.number} {code.name}: {detail}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


class NotSentError(GypsumpierError):
    """The call certainly never reached the server; the code is PLATFORM_UNREACHABLE."""


class RateLimitedError(GypsumpierError):
    """The server answers, and refuses the call as there are too many; PLATFORM_REFUSED."""
