"""What the daemon runs: an application with life-cycle hooks, one type for each role."""

from typing import Protocol

from gypsumpier.document.table import DocumentTable
from gypsumpier.member.table import MemberTable


class Application(Protocol):
    """Owns the components of one process: starts them in order and stops them in reverse.

    After ``start`` every port in the options is the one that is really bound.
    """

    documents: DocumentTable
    members: MemberTable

    async def start(self) -> None:
        """Bind the ports and start every component; raise GypsumpierError or OSError."""

    async def stop(self) -> None:
        """Stop gracefully: take no new work, finish what runs, then release everything."""

    def inspect(self) -> dict[str, object]:
        """Return what only the role knows of itself.

        ``upstreams`` is a list of ``gypsumpier.administration.view.UpstreamView`` and
        ``transfers`` one of ``gypsumpier.weight.view.TransferView``.  Other keys are shown as
        details of the process.
        """
