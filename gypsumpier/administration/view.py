"""Types of the JSON objects in the answers of the administration API.

Every list is bounded by the table that it comes from.  Times are in seconds, sizes in bytes.
Fields that do not apply to a role are omitted, therefore some types are not total.
"""

from typing import TypedDict


class RefusalView(TypedDict, total=False):
    """Why a revision was refused: the numbered code, the field's path and the detail."""

    revision: int
    code: int
    name: str
    field: str
    detail: str


class DocumentView(TypedDict, total=False):
    """A document in force; ``refusal`` belongs to a later revision that was refused.

    ``revision`` is -1 if no revision of the name was ever accepted.
    """

    name: str
    revision: int
    deleted: bool
    kind: str
    model: str
    versions: dict[str, int]
    source: str
    accepted_at_s: float
    refusal: RefusalView | None


class LiveView(TypedDict):
    """One model that an engine reports live."""

    model: str
    version: str
    digest: str


class UpstreamView(TypedDict, total=False):
    """An upstream, identified by the name of its agent, and the models live on it."""

    name: str
    service: str
    zone: str
    state: str
    connected: bool
    healthy: bool
    leaving: bool
    live: list[LiveView]
    in_flight: int
    capacity: int


class DecisionView(TypedDict):
    """One routing or placement decision, as it was logged."""

    sequence: int
    wall_s: float
    event: str
    fields: dict[str, object]


class StatusView(TypedDict):
    """The process; ``counts`` holds the lengths of its lists, ``details`` its other state."""

    program_version: str
    role: str
    name: str
    incarnation: str
    region: str
    zone: str
    service: str
    state: str
    uptime_s: float
    ports: dict[str, int]
    counts: dict[str, int]
    details: dict[str, object]


class ValidationView(TypedDict):
    """The result of validating a document."""

    accepted: bool
    refusal: RefusalView | None


class ErrorView(TypedDict):
    """An error answer: the result code, whether the call was run, and what to do."""

    code: int
    name: str
    detail: str
    outcome: str
    advice: str
