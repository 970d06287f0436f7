"""Serves the readiness and the metrics of a process over HTTP."""

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.netutil import bind_sockets

from gypsumpier.codes.setting import ADMINISTRATION_PATH_UNKNOWN
from gypsumpier.errors import GypsumpierError
from gypsumpier.fleet.node import Address, NodeSettings
from gypsumpier.gateway.destinationpage import PATH, DestinationPage, send_error
from gypsumpier.metrics import REGISTRY
from gypsumpier.options import Options

READY = 200
NOT_READY = 503
BODY_MAX = 16_384
"""Bytes of a body that is read; no request for a status needs one."""


class StatusServer:
    """Serves readiness on one address and metrics on another; either may be absent."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready
        self.servers: list[HTTPServer] = []
        self.destinations: DestinationPage | None = None

    def listen_readiness(self, address: Address) -> None:
        """Serve readiness: status 200 while ready, else 503, on every path."""
        self.listen(address, self.answer_readiness)

    def listen_metrics(self, address: Address, destinations: DestinationPage | None = None) -> None:
        """Serve the metrics of the process; of an entry, also where a request would go."""
        self.destinations = destinations
        self.listen(address, self.answer_administration)

    def listen(self, address: Address, answer: Callable[[HTTPServerRequest], None]) -> None:
        """Serve requests to an address with ``answer``; raise OSError if it can't be bound."""
        server = HTTPServer(answer, max_body_size=BODY_MAX)
        server.add_sockets(bind_sockets(address.port, address.host))
        self.servers.append(server)

    def answer_readiness(self, request: HTTPServerRequest) -> None:
        """Answer whether the process is ready to serve callers."""
        respond(request, READY if self.is_ready() else NOT_READY, b"", "text/plain")

    def answer_administration(self, request: HTTPServerRequest) -> None:
        """Answer the question where a request would go on its path, metrics on all others."""
        if request.path != PATH:
            answer_metrics(request)
        elif self.destinations is not None:
            self.destinations.answer(request)
        else:
            detail = "only an entry knows where a request would go"
            send_error(request, GypsumpierError(ADMINISTRATION_PATH_UNKNOWN, detail))

    async def stop(self) -> None:
        """Close the listening sockets and all connections."""
        if self.destinations is not None:
            self.destinations.stop()
        for server in self.servers:
            server.stop()
            await server.close_all_connections()


def metrics_address(settings: NodeSettings, options: Options) -> Address:
    """Return the address of the metrics: the administration port, or the last port of the range."""
    return Address(settings.host, options.administration_port or settings.last_port)


def answer_metrics(request: HTTPServerRequest) -> None:
    """Answer with all metrics of the registry."""
    respond(request, READY, generate_latest(REGISTRY), CONTENT_TYPE_LATEST)


def respond(request: HTTPServerRequest, status: int, body: bytes, content_type: str) -> None:
    """Send an answer with the given status and body."""
    connection = request.connection
    assert connection is not None
    headers = HTTPHeaders({"Content-Type": content_type, "Content-Length": str(len(body))})
    reason = "OK" if status == READY else "Service Unavailable"
    connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers, body)
    connection.finish()
