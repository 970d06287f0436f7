"""This entry's share of the free places that it and many others see at the same time."""

from collections.abc import Mapping
from typing import Final

from gypsumpier.fleet.upstream import UpstreamRecord
from gypsumpier.log import decision
from gypsumpier.loginterval import LogInterval
from gypsumpier.upstream import sharemetrics
from gypsumpier.upstream.arrivals import SeenArrivals
from gypsumpier.upstream.peerloads import Load, PeerLoads

FEW_REPORTERS: Final = 4
"""Other entries and zones that report loads, up to which all upstreams are compared: so few seldom
choose at the same moment."""
SHARE_LOG_INTERVAL_S: Final = 10.0
"""Seconds between two log lines about a service whose places are left to other entries."""


class PlaceShares:
    """Works out shares from the arrivals that the reports of others show.

    ``is_enabled`` is the setting ``share_places``; without it nothing is counted.
    """

    def __init__(self, zone: str, peer_loads: PeerLoads) -> None:
        self.zone = zone
        self.peer_loads = peer_loads
        self.is_enabled = False
        self.arrivals = SeenArrivals()
        self.lines = LogInterval(SHARE_LOG_INTERVAL_S)

    def are_many(self) -> bool:
        """Return whether so many others report loads that they choose at the same moment."""
        return len(self.peer_loads.reports) > FEW_REPORTERS

    def is_active(self) -> bool:
        """Return whether first choices take no more than a share of the free places."""
        return self.is_enabled and self.are_many()

    def record_report(
        self,
        zone: str,
        before: Mapping[str, Load],
        after: Mapping[str, Load],
        services: Mapping[str, str],
    ) -> None:
        """Count what has arrived between two reports of an entry, or of another ``zone``."""
        seen = self.arrivals.record(zone or self.zone, before, after, services)
        (sharemetrics.ZONE_RISE if zone else sharemetrics.ENTRY_RISE).observe(seen)

    def contended(self, record: UpstreamRecord, share: float, own_waiting: int) -> float:
        """Return this entry's share of the free places in the zone of the upstream.

        It has to leave places to the requests that others will have sent since their last reports.
        ``share`` is its share by the requests that are known to wait, ``own_waiting`` how many of
        its own do, the one that arrives included.
        """
        expected = self.arrivals.expected(record.service, self.zone, record.zone)
        if not expected:
            return share
        return min(share, own_waiting / (own_waiting + expected))

    def record_not_claimed(self, records: list[UpstreamRecord], shares: dict[str, float]) -> None:
        """Count a choice for which no place was within the share, and log it at intervals."""
        sharemetrics.NOT_CLAIMED.inc()
        service = records[0].service
        if self.lines.is_due(service):
            decision(
                "no_place_within_share",
                service=service,
                upstreams=len(records),
                largest_share=round(max(shares.values()), 4),
                waiting_elsewhere=self.peer_loads.waiting.get(service, 0),
            )
