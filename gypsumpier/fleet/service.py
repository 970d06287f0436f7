"""One service of the deployment and what its upstreams can do."""

from typing import NamedTuple


class ModelTraits(NamedTuple):
    """How the model engines of a service work.

    ``batch_slots`` requests run at once.  Weights are ``piece_count`` pieces of ``piece_bytes``.
    ``report_lag_s`` is the age of a load report that is read over the network.
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
    """Where weights come from; ``link_bytes_per_s`` is all that it sends to everyone together."""

    host: str
    port: int
    zone: str
    link_bytes_per_s: float
    max_connections: int


class Service(NamedTuple):
    """A service; ``model`` is None for a plain one, ``origin`` is set for an origin of weights."""

    name: str
    max_connections: int
    model: ModelTraits | None = None
    origin: Origin | None = None
