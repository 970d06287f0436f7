"""Settings of the daemon: one object, built at start and passed whole to the components."""

from dataclasses import dataclass


@dataclass
class Options:
    """Every setting.  Times are in seconds, sizes in bytes, rates in bytes per second."""

    role: str = "entry"
    node_file: str = ""
    name: str = ""
    incarnation: str = ""
    region: str = ""
    zone: str = ""
    service: str = ""
    host: str = "127.0.0.1"
    port: int = 0
    bulk_port: int = 0
    http_port: int = 0
    administration_port: int = 0
    configuration_url: str = ""
    membership_url: str = ""
    store_url: str = ""
    origin_url: str = ""
    upstream_url: str = ""
    upstream_kind: str = "model"
    log_level: str = "INFO"
    log_json: bool = False

    heartbeat_s: float = 1.0
    silence_s: float = 3.0
    idle_heartbeats_per_s: float = 12.0
    zone_links: int = 64
    other_zone_links: int = 4
    dial_timeout_s: float = 1.0
    membership_interval_s: float = 1.0
    member_list_bytes_per_s: float = 2500.0
    watch_timeout_s: float = 2.0
    platform_backoff_s: float = 2.0
    missing_s: float = 5.0
    spread: bool = True
    watch_pause_s: float = 0.1
    fresh_s: float = 5.0
    digest_interval_s: float = 5.0
    self_help_s: float = 1.0
    self_help_calls_per_s: float = 500.0
    start_wait_s: float = 1.5
    watchers_per_zone: int = 2
    engine_poll_s: float = 0.25
    request_deadline_s: float = 30.0
    body_limit_bytes: int = 1024 * 1024
    drain_timeout_s: float = 30.0
    resend_horizon_s: float = 600.0
    key_retention_s: float = 3600.0
    key_settle_s: float = 3.0
    key_clock_skew_s: float = 5.0
    key_memory_bytes: int = 8 * 1024 * 1024
    answer_memory_bytes: int = 16 * 1024 * 1024
    run_timeout_s: float = 60.0
    ask_timeout_s: float = 4.0
    quarantine_s: float = 300.0
    prefix_affinity: bool = True
    share_places: bool = False

    weight_memory_bytes: int = 64 * 1024 * 1024
    link_bytes_per_s: int = 125_000_000
    region_link_bytes_per_s: int = 1_250_000
    live_traffic_share: float = 0.2
    store_region: str = ""
    importers: int = 16
    link_importers: int = 1
    weight_neighbours: int = 8
    transfer_stall_s: float = 3.0
    manifest_interval_s: float = 10.0
