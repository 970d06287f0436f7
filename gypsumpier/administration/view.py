"""The JSON that the administration API answers with, as types.

Every list is bounded by the table that it comes from.  Times are in seconds, sizes in bytes.  A
field that a role cannot know is left out, therefore the types are not total.
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
    """A document in force; ``refusal`` is that of a later revision which was not accepted.

    A name of which no revision was ever accepted has the revision -1.
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
    """An upstream, by the name of its agent, with what is live on it."""

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
    """The process itself; ``counts`` are the lengths of its lists, ``details`` its other state."""

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
    """The verdict on a document that was sent for validation."""

    accepted: bool
    refusal: RefusalView | None


class ErrorView(TypedDict):
    """An error answer: the numbered code, what it means and what to do."""

    code: int
    name: str
    detail: str
    outcome: str
    advice: str
