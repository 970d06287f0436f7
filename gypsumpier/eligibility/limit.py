"""Keeps this entry within its share of the limit that an upstream states."""

import time

from gypsumpier.eligibility.needs import Needs
from gypsumpier.eligibility.obstacle import Obstacle, Reason
from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.ratelimit.limits import RequestLimits


class LimitConstraint:
    """An upstream gets no request while this entry's share of its limit is used up."""

    def __init__(self, limits: RequestLimits) -> None:
        self.limits = limits

    def obstacle(self, record: UpstreamRecord, needs: Needs) -> Obstacle | None:
        if not self.limits.known:
            return None
        bucket = self.limits.bucket(record)
        now_s = time.monotonic()
        if bucket is None or bucket.has_token(now_s):
            return None
        return Obstacle(Reason.LIMIT, now_s + bucket.wait_s(now_s))
