"""How far a request has come."""


class RequestProgress:
    """How far a request has come; ``may_have_run`` while an upstream may run it or have run it."""

    def __init__(self) -> None:
        self.may_have_run = False
