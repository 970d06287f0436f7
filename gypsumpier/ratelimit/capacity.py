"""What the limits of all upstreams of a service together allow this entry to send."""

from typing import NamedTuple


class LimitedCapacity(NamedTuple):
    """The requests per second, above 0, and the seconds until the next one."""

    rate_per_s: float
    first_in_s: float
