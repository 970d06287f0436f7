"""Handlers of the status, the lists and the recent decisions."""

from typing import Final

from gypsumpier.administration.handler import AdministrationHandler
from gypsumpier.administration.state import ProcessState

DEFAULT_LIMIT: Final = 100


class StatusHandler(AdministrationHandler):
    """Answers the status of the process."""

    def get(self) -> None:
        """Answer a StatusView."""
        self.answer(self.state.status())


class ListingHandler(AdministrationHandler):
    """Answers one of ``LISTINGS``."""

    def initialize(self, state: ProcessState, name: str = "") -> None:
        super().initialize(state)
        self.name = name

    def get(self) -> None:
        """Answer an object with the list under its name; it is empty if the role has none."""
        self.answer({self.name: self.state.listing(self.name)})


class DecisionsHandler(AdministrationHandler):
    """Answers recent decisions, filtered by their fields."""

    def get(self) -> None:
        """Answer the newest matching decisions.

        ``after`` is a sequence number and ``limit`` a number of decisions; any other argument is
        the name of a field and the value to match.
        """
        after = self.integer_argument("after", -1, -1)
        limit = self.integer_argument("limit", DEFAULT_LIMIT, 1)
        names = set(self.request.query_arguments) - {"after", "limit"}
        wanted = {name: self.get_query_argument(name) for name in names}
        self.answer({"decisions": self.state.history.matching(wanted, after, limit)})
