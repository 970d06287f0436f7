"""How a try at an upstream can fail, by what is known of whether the request ran."""


class NotRunError(Exception):
    """The request has not run there and never will.

    ``is_promised`` tells that the upstream itself said so; else the request never left.
    """

    def __init__(self, reason: str, is_promised: bool, status: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_promised = is_promised
        self.status = status


class OutcomeUnknownError(Exception):
    """The request was sent and may have run; there is no whole answer."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
