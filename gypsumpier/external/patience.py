"""How long a call waits for an answer that is on its way."""

from collections.abc import Callable
from typing import NamedTuple

from tornado.httpclient import HTTPRequest


class Patience(NamedTuple):
    """Extends the timeout of a call while its answer arrives.

    Each part extends it to ``part_s`` seconds from then, by at most ``extension_max_s`` in all.
    ``on_progress`` is called for each part once the answer has more than ``large_bytes``.
    """

    part_s: float
    extension_max_s: float
    large_bytes: int
    on_progress: Callable[[], None]


class PatientRequest(HTTPRequest):
    """A request whose timeout is extended by the progress of its answer, unless ``patience`` is
    None.
    """

    patience: Patience | None = None
