"""Errors of an attempt at an upstream, by whether the request may have run."""


class NotRunError(Exception):
    """The request has not run at the upstream and never will.

    ``is_refusal`` is set if the upstream itself stated so; otherwise the request was never sent.
    ``is_misdirected`` is set if the upstream does not hold what the request needs, and
    ``is_replaced`` if another upstream has its address.  ``is_recalled`` is set if this process did
    not send it, as the upstream no longer serves such requests.  With ``may_return`` the same
    upstream may serve it a moment later.
    """

    def __init__(
        self,
        reason: str,
        is_refusal: bool,
        is_misdirected: bool = False,
        is_replaced: bool = False,
        is_recalled: bool = False,
        may_return: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_refusal = is_refusal
        self.is_misdirected = is_misdirected
        self.is_replaced = is_replaced
        self.is_recalled = is_recalled
        self.may_return = may_return


class OutcomeUnknownError(Exception):
    """The request was sent and may have run; there is no complete successful answer.

    ``is_silent`` is set if nothing was received, rather than something invalid, and ``is_answered``
    if the upstream is healthy and answered with an error of its own.  ``is_withdrawn`` is set if
    this process closed the connection before the upstream began to answer, and ``is_foreign`` if
    the answer of another request arrived in its place.
    """

    def __init__(
        self,
        reason: str,
        is_silent: bool = False,
        is_answered: bool = False,
        is_withdrawn: bool = False,
        is_foreign: bool = False,
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_silent = is_silent
        self.is_answered = is_answered
        self.is_withdrawn = is_withdrawn
        self.is_foreign = is_foreign
