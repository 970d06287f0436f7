"""The HTTP server of the administration API."""

from typing import Final

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from gypsumpier.administration.handler import UnknownPathHandler
from gypsumpier.administration.health import HealthHandler, ReadinessHandler
from gypsumpier.administration.listing import DecisionsHandler, ListingHandler, StatusHandler
from gypsumpier.administration.metricspage import MetricsHandler
from gypsumpier.administration.state import LISTINGS, ProcessState
from gypsumpier.administration.validation import ValidationHandler
from gypsumpier.options import Options

IDLE_TIMEOUT_S: Final = 60.0
BODY_TIMEOUT_S: Final = 30.0


class AdministrationServer:
    """Serves metrics, health and the read-only API on the administration port."""

    def __init__(self, options: Options, state: ProcessState) -> None:
        self.options = options
        self.server = HTTPServer(
            build_pages(state), idle_connection_timeout=IDLE_TIMEOUT_S, body_timeout=BODY_TIMEOUT_S
        )

    async def start(self) -> None:
        """Bind the port and serve; raise OSError if the port cannot be bound."""
        sockets = bind_sockets(self.options.administration_port, self.options.host)
        self.options.administration_port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    async def stop(self) -> None:
        """Close the port and every connection."""
        self.server.stop()
        await self.server.close_all_connections()


def build_pages(state: ProcessState) -> Application:
    """Return the tornado application with the handlers of the API."""
    arguments = {"state": state}
    listings = [
        (f"/v1/{name}", ListingHandler, {"state": state, "name": name}) for name in LISTINGS
    ]
    return Application(
        [
            ("/metrics", MetricsHandler, arguments),
            ("/healthz", HealthHandler, arguments),
            ("/readyz", ReadinessHandler, arguments),
            ("/v1/status", StatusHandler, arguments),
            *listings,
            ("/v1/decisions", DecisionsHandler, arguments),
            ("/v1/validate", ValidationHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
