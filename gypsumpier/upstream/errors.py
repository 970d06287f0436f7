"""How a try at an upstream can fail, by what is known of whether the request ran."""


class NotRunError(Exception):
    """The request has not run there and never will.

    ``is_refusal`` tells that the upstream itself said so; else the request never left.
    ``is_misdirected`` tells that the upstream does not hold what the request needs, and ``is_replaced``
    that another one has its address.
    """

    def __init__(
        self,
        reason: str,
        is_refusal: bool,
        is_misdirected: bool = False,
        is_replaced: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_refusal = is_refusal
        self.is_misdirected = is_misdirected
        self.is_replaced = is_replaced


class OutcomeUnknownError(Exception):
    """The request was sent and may have run; there is no whole answer of a success.

    ``is_silent`` tells that nothing came, rather than something wrong, and ``is_answered`` that the
    upstream is well and has answered with a failure of its own.
    """

    def __init__(self, reason: str, is_silent: bool = False, is_answered: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_silent = is_silent
        self.is_answered = is_answered
