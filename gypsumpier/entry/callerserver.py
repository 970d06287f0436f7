"""Tornado's HTTP server, extended to know the open connections and the active requests."""

from typing import TYPE_CHECKING, Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate

from gypsumpier.stopschedule import StopSchedule
from gypsumpier.wire.departure import is_awaiting_bytes

if TYPE_CHECKING:
    from gypsumpier.entry.callerhandler import CallerHandler


class CallerServer(HTTPServer):
    """Serves callers.

    ``active`` are the requests from their head to the end of their answer.
    """

    def initialize(self, *arguments: Any, **settings: Any) -> None:
        super().initialize(*arguments, **settings)
        self.active: set[CallerHandler] = set()
        self.open_connections: dict[object, HTTP1Connection] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        self.open_connections[server_conn] = request_conn
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self.open_connections.pop(server_conn, None)

    def begin_stop(self, schedule: StopSchedule) -> None:
        """Answer every active request in time for the end of the process."""
        for handler in self.active:
            handler.limit_to_stop(schedule)

    def refuse_incomplete(self) -> None:
        """Refuse the requests whose bodies have not arrived."""
        for handler in list(self.active):
            handler.refuse_incomplete()

    def is_idle(self) -> bool:
        """Return whether no request is active or not parsed yet, and no answer is being sent.

        Tornado awaits the next request only once an answer is sent.
        """
        streams = [connection.stream for connection in self.open_connections.values()]
        return not self.active and all(map(is_awaiting_bytes, streams))
