"""Base of the administration API's handlers: JSON answers and errors with result codes."""

import json
from typing import Any

from tornado.web import HTTPError, RequestHandler

from gypsumpier.administration.errorview import error_view
from gypsumpier.administration.state import ProcessState
from gypsumpier.codes.setting import (
    ADMINISTRATION_FAILED,
    ADMINISTRATION_METHOD_REFUSED,
    ADMINISTRATION_PATH_UNKNOWN,
    ADMINISTRATION_QUERY_INVALID,
)
from gypsumpier.errors import GypsumpierError
from gypsumpier.metrics import ADMINISTRATION_CALLS

CODES_BY_STATUS = {
    400: ADMINISTRATION_QUERY_INVALID,
    404: ADMINISTRATION_PATH_UNKNOWN,
    405: ADMINISTRATION_METHOD_REFUSED,
}


class AdministrationHandler(RequestHandler):
    """Answers in JSON; an error is answered with its numbered result code."""

    def initialize(self, state: ProcessState) -> None:
        self.state = state

    def set_default_headers(self) -> None:
        self.clear_header("Server")

    def answer(self, view: object) -> None:
        """Finish with the view as JSON."""
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.finish(json.dumps(view, default=str))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with the result code of the exception that ended the call."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, GypsumpierError):
            self.set_status(error.code.http_status)
            self.answer(error_view(error.code, error.detail))
            return
        code = CODES_BY_STATUS.get(status_code, ADMINISTRATION_FAILED)
        detail = error.log_message if isinstance(error, HTTPError) else None
        self.answer(error_view(code, detail or f"{self.request.method} {self.request.path}"))

    def log_exception(self, *arguments: Any) -> None:
        """Log exceptions other than refusals of the caller's input."""
        if not isinstance(arguments[1], GypsumpierError | HTTPError):
            super().log_exception(*arguments)

    def on_finish(self) -> None:
        """Count the call.  Unknown paths share one label, as callers choose them freely."""
        known = not isinstance(self, UnknownPathHandler)
        path = self.request.path if known else "unknown"
        ADMINISTRATION_CALLS.labels(path, str(self.get_status())).inc()

    def integer_argument(self, name: str, default: int, lowest: int) -> int:
        """Return a query argument as an integer; raise GypsumpierError if invalid or too low."""
        text = self.get_query_argument(name, str(default))
        try:
            value = int(text)
        except ValueError:
            raise GypsumpierError(
                ADMINISTRATION_QUERY_INVALID, f"{name}: {text!r} is not an integer"
            ) from None
        if value < lowest:
            raise GypsumpierError(ADMINISTRATION_QUERY_INVALID, f"{name}: below {lowest}")
        return value


class UnknownPathHandler(AdministrationHandler):
    """Answers 404 for every path that is not part of the API."""

    def prepare(self) -> None:
        raise HTTPError(404)
