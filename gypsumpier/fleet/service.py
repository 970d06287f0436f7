"""One service of the deployment and what its upstreams can do."""

from typing import NamedTuple


class ModelTraits(NamedTuple):
    """The characteristics of a service's model engines.

    An engine runs up to ``batch_slots`` requests at once.  Weights consist of ``piece_count``
    pieces of ``piece_bytes``.  ``report_lag_s`` is the age of a load report that is read over the
    network.
    """

    models: tuple[str, ...]
    batch_slots: int
    layers: int
    piece_count: int
    piece_bytes: int
    report_lag_s: float
    step_s: float
    prompt_tokens_per_s: float
    mean_prompt_tokens: int
    mean_answer_tokens: int


class Origin(NamedTuple):
    """The origin of weights; ``link_bytes_per_s`` is its total rate, shared by all clients."""

    host: str
    port: int
    zone: str
    link_bytes_per_s: float
    max_connections: int


class Service(NamedTuple):
    """A service; ``model`` is None where it has no model, ``origin`` is set for an origin.

    For ``cold_s`` seconds after its start an upstream tolerates ``cold_per_s`` requests per second;
    0 means that there is no such limit.
    """

    name: str
    max_connections: int
    model: ModelTraits | None = None
    origin: Origin | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0
