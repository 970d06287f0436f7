"""The application of an entry: builds its parts, starts them and stops them."""

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Final

from tornado.netutil import bind_sockets

from gypsumpier.coldstart.entrynames import EntryNames
from gypsumpier.fleet.change import FleetSource
from gypsumpier.fleet.clock import boot_time_s
from gypsumpier.fleet.node import Address, NodeSettings
from gypsumpier.fleet.state import FleetState
from gypsumpier.fleet.upstream import whole_version
from gypsumpier.fleet.watcher import StoreWatcher
from gypsumpier.gateway.admission import Admission
from gypsumpier.gateway.crashes import CrashTracker
from gypsumpier.gateway.destination import Destinations
from gypsumpier.gateway.destinationpage import DestinationPage
from gypsumpier.gateway.front import Front
from gypsumpier.gateway.frontserver import FrontServer
from gypsumpier.gateway.intake import Intake
from gypsumpier.gateway.loadshare import LoadShare
from gypsumpier.gateway.pendingstarts import PendingStarts
from gypsumpier.gateway.relay import Relay
from gypsumpier.gateway.retries import RetryBudget
from gypsumpier.gateway.silenceshare import SilenceShare
from gypsumpier.gateway.startmargins import StartMargins
from gypsumpier.gateway.status import StatusServer, metrics_address
from gypsumpier.log import decision
from gypsumpier.mesh.feed import FleetStateFeed
from gypsumpier.mesh.mesh import ENTRY, SIDECAR, Mesh
from gypsumpier.mesh.peer import Peer
from gypsumpier.options import Options
from gypsumpier.piece.cache import PieceCache
from gypsumpier.piece.engine import PieceOrigin
from gypsumpier.piece.turns import SwitchSchedule
from gypsumpier.ratelimit.demand import DemandShares
from gypsumpier.statement.share import StatementShare
from gypsumpier.stopschedule import LAST_ANSWERS_S, StopSchedule
from gypsumpier.tasks import end_task
from gypsumpier.upstream.pool import UpstreamPool
from gypsumpier.upstream.selector import UpstreamSelector
from gypsumpier.wire.tcp import TcpDialer, TcpListener

SEND_MARGIN_S: Final = 1.7
"""Seconds before a wanted version must be in force from which no request is sent to engines with
older weights.  Requests may be on their way for so long: a close that follows a request is delayed
as long as the request and can't overtake it."""
START_MARGIN_S: Final = 1.0
"""Seconds before that time at which requests that such an engine has not started are withdrawn: the
time for the closed connection to reach the engine.  An engine with a free slot starts a request in
less than the difference to ``SEND_MARGIN_S``."""
LEAVE_ROTATION_S: Final = 2.6
"""Seconds after which the balancer, which checks once a second, has had two failed checks and sends
no more callers."""
STOP_MARGIN_S: Final = 0.7
"""Seconds before the platform kills the process by which it must have closed its connections."""
DRAIN_POLL_S: Final = 0.05
HOUSEKEEPING_S: Final = 0.5
"""Seconds between two rounds of housekeeping."""


class GatewayApplication:
    """One entry process on the platform."""

    def __init__(
        self,
        settings: NodeSettings,
        options: Options,
        source: FleetSource,
        dial_origin: Callable[[str, int], PieceOrigin],
    ) -> None:
        assert settings.stream_address is not None
        self.settings = settings
        self.options = options
        address = settings.stream_address
        own_peer = Peer(
            settings.name,
            ENTRY,
            settings.zone,
            settings.region,
            address.host,
            address.port,
            options.incarnation,
        )
        self.fleet_state = FleetState(source)
        self.mesh = Mesh(own_peer, settings.seeds, TcpDialer())
        self.listener = TcpListener(self.mesh.accept)
        self.feed = FleetStateFeed(self.mesh, self.fleet_state)
        self.watcher = StoreWatcher(source, self.fleet_state, self.feed)
        schedule = SwitchSchedule(self.fleet_state, settings.bounds.version_in_force_s)
        self.selector = UpstreamSelector(
            self.fleet_state, settings.zone, schedule, settings.regions_by_zone
        )
        self.selector.place_shares.is_enabled = options.share_places
        self.selector.cold.set_bounds(settings.bounds)
        self.entry_names = EntryNames(self.mesh, self.selector.cold.rules)
        self.selector.cold.shares = self.entry_names.shares
        self.admission = Admission(self.fleet_state, self.selector, self.least_version)
        self.demand = DemandShares(
            self.mesh, frozenset(settings.regions_by_zone), self.admission.arrivals_per_s
        )
        self.selector.statements.limits.shares = self.demand
        self.statement_share = StatementShare(self.mesh, self.selector.statements)
        self.load_share = LoadShare(self.mesh, self.selector, self.demand)
        self.load_share.on_change.append(self.admission.handle_peer_news)
        self.silence_share = SilenceShare(
            self.mesh, self.selector, self.load_share, self.admission.streams
        )
        self.silence_share.on_change.append(self.admission.handle_peer_news)
        self.fleet_state.listeners.append(self.admission.dispatch_all)
        self.pool = UpstreamPool()
        self.retries = RetryBudget(settings.bounds, len(settings.regions_by_zone))
        self.crashes = CrashTracker(self.mesh)
        self.starts = PendingStarts(self.selector, self.due_version)
        self.intake = Intake(settings, self.fleet_state)
        self.start_margins = StartMargins(
            self.fleet_state, self.selector, settings.bounds.version_in_force_s
        )
        self.relay = Relay(
            self.admission,
            self.selector,
            self.pool,
            self.retries,
            self.crashes,
            self.starts,
            self.start_margins,
        )
        self.crashes.on_refused.append(self.stop_refused)
        self.front = Front(self.intake, self.relay)
        self.server = FrontServer(self.front)
        self.piece_cache = PieceCache(self.mesh, self.fleet_state, dial_origin, self.piece_holders)
        self.status = StatusServer(self.is_ready)
        destinations = Destinations(
            self.intake, self.admission, self.crashes, lambda: self.front.stop_schedule
        )
        self.destination_page = DestinationPage(destinations.explain)
        self.fleet_state.listeners.append(self.piece_cache.prefetch_new_versions)
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Bind the ports and start every part; raise OSError if a port can't be bound."""
        settings = self.settings
        assert settings.stream_address is not None
        self.listener.add_sockets(bind(settings.stream_address))
        if settings.readiness_address is not None:
            self.status.listen_readiness(settings.readiness_address)
        metrics = metrics_address(settings, self.options)
        self.status.listen_metrics(metrics, self.destination_page)
        if settings.caller_address is not None:
            self.server.add_sockets(bind(settings.caller_address))
        self.mesh.start()
        self.watcher.start()
        for work in (
            self.admission.run(),
            self.starts.run(),
            self.load_share.run(),
            self.silence_share.run(),
            self.statement_share.run(),
            self.entry_names.run(),
            self.front.run(),
            self.housekeeping(),
        ):
            self.tasks.append(asyncio.create_task(work))

    async def stop(self) -> None:
        """Drain and stop.

        The entry reports itself as not ready, serves requests that still arrive until the balancer
        has stopped sending, then closes idle connections and waits for active requests.  Requests
        that it could not answer before its end are refused, and those that it has taken up get an
        answer of its own at the end.
        """
        began_s = time.monotonic()
        ends_s = began_s + self.settings.bounds.stop_s - STOP_MARGIN_S
        rotation_ends_s = began_s + LEAVE_ROTATION_S
        self.front.begin_stop(StopSchedule(rotation_ends_s, ends_s - LAST_ANSWERS_S))
        decision("drain", in_flight=len(self.front.active), seconds=round(ends_s - began_s, 1))
        while time.monotonic() < rotation_ends_s:
            await asyncio.sleep(DRAIN_POLL_S)
        self.server.stop()
        while time.monotonic() < ends_s:
            self.front.close_idle()
            if not self.front.active and not self.front.connections:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        decision("drained", in_flight=len(self.front.active))
        self.front.log_cut()
        self.entry_names.say_goodbye()
        for task in self.tasks:
            await end_task(task)
        await self.watcher.stop()
        self.listener.stop()
        await self.mesh.stop()
        self.pool.close()
        self.piece_cache.close()
        await self.status.stop()

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed seeds, regions and bounds; the addresses bound at the start are kept."""
        self.settings = settings
        self.selector.set_regions(settings.regions_by_zone)
        self.mesh.seeds = settings.seeds
        self.selector.cold.set_bounds(settings.bounds)
        self.start_margins.in_force_s = settings.bounds.version_in_force_s

    def is_ready(self) -> bool:
        """Return whether this entry can serve callers.

        It must have a fresh configuration and at least one upstream, and not be stopping.
        """
        if self.front.is_stopping() or self.fleet_state.configuration is None:
            return False
        if not self.fleet_state.is_confirmed():
            return False
        return self.intake.is_fresh() and bool(self.fleet_state.upstreams)

    def least_version(self, service: str) -> int:
        """Return the oldest version of the weights of engines that a request is still sent to."""
        return self.version_due_in(service, SEND_MARGIN_S)

    def due_version(self, service: str) -> int:
        """Return the oldest version of the weights that a request is still left to start on."""
        return self.version_due_in(service, START_MARGIN_S)

    def version_due_in(self, service: str, margin_s: float) -> int:
        """Return the newest version that must be in force in ``margin_s`` seconds; 0 for none."""
        configuration = self.fleet_state.configuration
        found = configuration.services.get(service) if configuration else None
        if found is None or found.model is None:
            return 0
        before_s = boot_time_s() - self.settings.bounds.version_in_force_s + margin_s
        models = found.model.models
        return max((self.fleet_state.due_version(model, before_s) for model in models), default=0)

    def stop_refused(self) -> None:
        """End the waiting of requests that are refused by now, here and at upstreams."""
        self.admission.refuse_queued(self.crashes.check)
        self.starts.withdraw(
            lambda request: self.crashes.refused_for_s(request) > 0, "suspected of crashes"
        )

    def piece_holders(self, model: str, version: int) -> list[Peer]:
        """Return the sidecars of the zone whose engine serves that version of the model."""
        configuration = self.fleet_state.configuration
        service = configuration.service_of_model(model) if configuration else None
        if service is None or service.model is None:
            return []
        holding = {
            state.address.rpartition(":")[0]
            for state in self.selector.engines.values()
            if whole_version(state.layers, service.model.layers) == version
        }
        return [
            peer for peer in self.mesh.peers(SIDECAR, self.settings.zone) if peer.host in holding
        ]

    async def housekeeping(self) -> None:
        """Drop what has expired, log how many upstreams can serve, and count the entries."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.pool.close_idle()
            self.fleet_state.drop_expired_lapsed()
            self.admission.log_candidates()
            self.start_margins.log_passed_limits()
            self.retries.set_entry_count(1 + len(self.mesh.peers(ENTRY)))
            self.admission.entry_count = 1 + len(self.mesh.peers(ENTRY))
            self.crashes.update_rank()


def bind(address: Address) -> list[socket.socket]:
    """Return sockets bound to the address; raise OSError if it can't be bound."""
    return bind_sockets(address.port, address.host)
