"""Builders of settings and of an administration server for tests."""

from typing import Final

from gypsumpier.administration.history import DecisionHistory
from gypsumpier.administration.server import AdministrationServer
from gypsumpier.administration.state import RUNNING, ProcessState
from gypsumpier.clock import SystemClock
from gypsumpier.document.table import DocumentTable
from gypsumpier.external.membership import Member
from gypsumpier.member.table import MemberTable
from gypsumpier.options import Options

ENTRY_TEXTS: Final[dict[str, str]] = {
    "role": "entry",
    "region": "bac",
    "zone": "bac-a",
    "configuration_url": "http://127.0.0.1:1001",
    "membership_url": "http://127.0.0.1:1002",
}
DOCUMENT: Final[dict[str, object]] = {
    "service": "table-ops",
    "kind": "plain",
    "zones": [{"zone": "bac-a", "replicas": 1}],
}
UPSTREAM: Final = Member(
    name="table-ops/bac-a/0",
    incarnation="one",
    role="agent",
    service="table-ops",
    region="bac",
    zone="bac-a",
    host="127.0.0.1",
    port=1,
    bulk_port=2,
    leaving=False,
)
AGENT_TEXTS: Final[dict[str, str]] = {
    **ENTRY_TEXTS,
    "role": "agent",
    "service": "table-ops",
    "upstream_kind": "plain",
    "upstream_url": "http://127.0.0.1:1003",
}


class SettableClock(SystemClock):
    """A clock whose monotonic time a test sets."""

    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class FakeApplication:
    """An application with empty tables, whose ``inspect`` returns ``inspected``."""

    def __init__(self, options: Options) -> None:
        clock = SystemClock()
        self.documents = DocumentTable(clock)
        self.members = MemberTable(options, clock)
        self.inspected: dict[str, object] = {"upstreams": [], "transfers": [], "in_flight": 0}

    async def start(self) -> None:
        """Start nothing."""

    async def stop(self) -> None:
        """Stop nothing."""

    def inspect(self) -> dict[str, object]:
        return self.inspected


class ServedProcess:
    """An administration server over a fake application, with its own decision history."""

    def __init__(self, name: str = "entry/bac-a/0") -> None:
        self.options = Options(name=name, region="bac", zone="bac-a")
        self.application = FakeApplication(self.options)
        self.history = DecisionHistory()
        self.state = ProcessState(self.options, self.application, self.history)
        self.server = AdministrationServer(self.options, self.state)

    async def start(self) -> None:
        """Serve on a free port."""
        await self.server.start()
        self.state.phase = RUNNING
        self.history.attach()

    async def stop(self) -> None:
        """Stop serving."""
        self.history.detach()
        await self.server.stop()

    @property
    def url(self) -> str:
        """The URL of the server."""
        return f"http://127.0.0.1:{self.options.administration_port}"
