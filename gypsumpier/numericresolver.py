"""Resolves IP numbers only, without the thread that a name lookup takes."""

import socket
from typing import Any

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Returns the IP number itself; every address of the system is given as one."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address; raise OSError where the host is not an IP number."""
        for address_family in (socket.AF_INET, socket.AF_INET6):
            try:
                socket.inet_pton(address_family, host)
            except OSError:
                continue
            return [(address_family, (host, port))]
        raise OSError(f"{host!r} is not an IP number")
