"""Settings of one process on the platform, decoded from the file that the platform writes."""

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Bounds(NamedTuple):
    """The service levels that the deployment promises: times in seconds, and the retry budget.

    Retries may be up to ``retry_share`` of the requests within ``retry_window_s``, plus
    ``retry_slack``.  A cold upstream may get ``cold_excess`` times the requests per second that its
    service states, plus ``cold_slack``.
    """

    configuration_in_force_s: float
    key_revoked_s: float
    upstream_drain_s: float
    stop_s: float
    version_in_force_s: float
    retry_share: float
    retry_window_s: float
    retry_slack: float
    cold_excess: float = 1.0
    cold_slack: float = 0.0


class NodeSettings(NamedTuple):
    """The settings that a process gets at its start.

    ``caller_address``, ``readiness_address`` and ``stream_address`` are None where the process's
    role does not listen on them.  ``engine_address`` is the engine beside a sidecar.
    """

    name: str
    host: str
    zone: str
    region: str
    regions_by_zone: dict[str, str]
    caller_address: Address | None
    readiness_address: Address | None
    stream_address: Address | None
    seeds: tuple[Address, ...]
    store_address: Address
    engine_address: Address | None
    engine_service: str
    first_port: int
    last_port: int
    link_bytes_per_s: float
    memory_bytes: int
    bounds: Bounds
