"""Tornado's HTTP server, extended to notify the front when a connection closes."""

from typing import Final

from tornado.httpserver import HTTPServer

from gypsumpier.gateway.front import Front

IDLE_TIMEOUT_S: Final = 60.0
"""Seconds after which an idle connection is closed; longer than any caller reuses one."""
BODY_MAX_BYTES: Final = 64 * 1024 * 1024


class FrontServer(HTTPServer):
    """Serves callers' connections."""

    def initialize(self, front: Front) -> None:  # type: ignore[override]
        self.front = front
        super().initialize(
            front, idle_connection_timeout=IDLE_TIMEOUT_S, max_body_size=BODY_MAX_BYTES
        )

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.front.on_close(server_conn)
