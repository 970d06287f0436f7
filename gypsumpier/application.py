"""The protocol of an application that the daemon runs; each role has its own type."""

from typing import Protocol

from gypsumpier.document.table import DocumentTable
from gypsumpier.member.table import MemberTable


class Application(Protocol):
    """Owns the components of one process; starts them in order and stops them in reverse order.

    After ``start``, every port in the options is the bound one, also where 0 was given.
    """

    documents: DocumentTable
    members: MemberTable

    async def start(self) -> None:
        """Bind the ports and start every component; raise GypsumpierError or OSError."""

    async def stop(self) -> None:
        """Stop gracefully: refuse new work, finish running work, then release all resources."""

    def inspect(self) -> dict[str, object]:
        """Return the state that is specific to the role.

        ``upstreams`` is a list of ``gypsumpier.administration.view.UpstreamView`` and
        ``transfers`` one of ``gypsumpier.weight.view.TransferView``.  Other keys are shown as
        details of the process.
        """
