"""Resolves numeric IP addresses only, without the thread that a name lookup needs."""

import socket
from typing import Any

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Returns the numeric address itself; all addresses in the system are numeric."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address; raise OSError if the host is not a numeric IP address."""
        for address_family in (socket.AF_INET, socket.AF_INET6):
            try:
                socket.inet_pton(address_family, host)
            except OSError:
                continue
            return [(address_family, (host, port))]
        raise OSError(f"{host!r} is not a numeric IP address")
