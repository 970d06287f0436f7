"""The explanation of one upstream."""

from typing import NamedTuple

from gypsumpier.eligibility.obstacle import Obstacle


class UpstreamExplanation(NamedTuple):
    """One upstream of the service.  ``delay_s`` is estimated, and None where it has an obstacle.

    ``region`` is empty where it is not known.
    """

    upstream: str
    zone: str
    region: str
    load: int
    is_impaired: bool
    obstacle: Obstacle | None
    delay_s: float | None
