"""A host that serves the routes of a manifest: builds its components and runs them."""

import random
from functools import partial
from typing import NamedTuple, Protocol

from sassafraskeel.callers.connection import CallerComponents
from sassafraskeel.callers.interface import CallerInterface, MetricsInterface
from sassafraskeel.callers.server import CallerServer
from sassafraskeel.calls.crash_guard import CrashGuard, FeatureHasher
from sassafraskeel.calls.record import CallRecorder
from sassafraskeel.calls.replica_states import ReplicaStates
from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.calls.route_calls import RouteCalls, RouteSenders
from sassafraskeel.calls.route_placement import RoutePlacement
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.calls.stream_versions import StreamVersions
from sassafraskeel.core.capacity import host_capacity, limit_capacity
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.held_memory import MemoryBudget
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.metrics import Metrics
from sassafraskeel.core.net import Network
from sassafraskeel.core.route_settings import RouteSettings
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.core.types import HostInfo
from sassafraskeel.core.work_limits import WorkLimit, all_requests_work
from sassafraskeel.decisions.call_costs import CallCosts
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.crash_evidence import CrashEvidence
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Fleet
from sassafraskeel.decisions.forwards import RecentForwards
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import ReplicaLoads
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.pacing import ColdPacer
from sassafraskeel.decisions.prompt_caches import PromptCaches
from sassafraskeel.decisions.region_loads import RegionLoads
from sassafraskeel.decisions.replica_statements import ReplicaStatements
from sassafraskeel.decisions.shared_retry_budget import SharedRetryBudget
from sassafraskeel.decisions.silence import SilenceDetector
from sassafraskeel.decisions.version_history import VersionHistory
from sassafraskeel.gateways import access_exchange
from sassafraskeel.gateways.access_exchange import AccessExchange
from sassafraskeel.gateways.drain_notice import notify_peers
from sassafraskeel.gateways.heartbeats import HeartbeatState, RouteHeartbeats
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.manifests import ManifestPeers
from sassafraskeel.gateways.messages import (
    AccessReport,
    CallProgress,
    DrainNotice,
    FeedRequest,
    PlacementRequest,
    RouteHeartbeat,
    RouteHeartbeatReply,
    StreamLookup,
    StreamsBegan,
)
from sassafraskeel.gateways.placement import CoordinatedPlacement
from sassafraskeel.gateways.placement_server import PlacementServer
from sassafraskeel.gateways.route_forwarding import RouteForwarder
from sassafraskeel.gateways.route_links import LinkComponents, RouteLinks
from sassafraskeel.gateways.server import GatewayServer, PeerComponents
from sassafraskeel.gateways.statement_relay import StatementRelay
from sassafraskeel.gateways.store_feed import FeedServer, FeedStore
from sassafraskeel.gateways.stream_origins import FEATURE, StreamOriginExchange
from sassafraskeel.store.crash_publisher import CrashPublisher
from sassafraskeel.store.follower import StoreFollower
from sassafraskeel.store.interface import Store
from sassafraskeel.store.registration import Registration
from sassafraskeel.store.updates import DocumentCodec
from sassafraskeel.store.version_recorder import VersionRecorder
from sassafraskeel.upstreams.access_checks import AccessChecks
from sassafraskeel.upstreams.cold_start_probes import ColdStartProber
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.replicas import ReplicaClient, ReplicaInterface

INCARNATION_BITS = 128
# Time in which the load of a replica or host grows to the full share after failures.
RAMP_SECONDS = 1.0
# New connections are accepted for this long after a drain starts, because the answers
# of the directory are valid for two seconds, but not for more than a share of the time
# that the host has, so that its calls can finish.
DRAIN_LISTEN_SECONDS = 3.0
DRAIN_LISTEN_SHARE = 0.4
# A caller sends its first request within this time after it has connected.
FIRST_REQUEST_SECONDS = 0.2
# Time to close before the platform kills the host at the end of the grace period.
GRACE_MARGIN_SECONDS = 0.5
DRAIN_NOTICE_TIMEOUT_SECONDS = 0.5
# The platform checks the readiness once a second, and idle connections are closed after
# 15 s.
MAX_READINESS_CONNECTIONS = 32
MAX_METRICS_CONNECTIONS = 16


class Interfaces(NamedTuple):
    """The interfaces that the listeners of a host serve."""

    callers: CallerInterface
    directory: CallerInterface
    readiness: CallerInterface


class InterfaceFactory(Protocol):
    """Builds the interfaces of a host."""

    def __call__(self, host: "RouteHost") -> Interfaces: ...


class RouteEnvironment(NamedTuple):
    """The dependencies of a host; tests pass substitutes."""

    clock: Clock
    network: Network
    rng: random.Random
    log: LogSink
    store: Store
    codec: DocumentCodec
    replicas: ReplicaInterface
    interfaces: InterfaceFactory
    turns: TurnTimer


class RouteHost:
    """A gateway host that serves routes."""

    def __init__(self, cfg: RouteSettings, env: RouteEnvironment):
        self.cfg = cfg
        self._env = env
        self.clock, self.log, self.turns = env.clock, env.log, env.turns
        self._group = SupervisedTaskGroup(self._log_failure)
        self._started = False
        local_host = HostInfo(
            cfg.host.name,
            cfg.host.domain,
            f"{env.rng.getrandbits(INCARNATION_BITS):032x}",
            cfg.listen.callers,
            cfg.listen.gateways,
            round(cfg.host.cpu_share * cfg.host.cores, 3),
        )
        self.membership = Membership(local_host)
        self._drain_seconds = cfg.host.grace.total_seconds() - GRACE_MARGIN_SECONDS
        self.hosts = HostTable(self.membership, cfg.regions, self._drain_seconds)
        self.coordination = Coordination(self.hosts)
        self.fleet = Fleet(cfg.regions)
        self.request_tracker = RequestTracker()
        self.metrics = Metrics(env.clock)
        self._recorder = CallRecorder(env.clock, env.log, self.metrics)
        self._capacity = limit_capacity(
            host_capacity(cfg.host.memory_mb * 1e6, cfg.host.descriptors),
            cfg.callers.max_connections,
            cfg.callers.max_held_bytes,
        )
        self._memory = MemoryBudget(self._capacity.held_bytes)
        work = all_requests_work(cfg.host.cpu_share * cfg.host.cores)
        self._request_work = WorkLimit(work, env.clock.monotonic())
        self.loads = ReplicaLoads()
        self.prompt_caches = PromptCaches()
        self._routing_state = RoutingState(
            self.fleet,
            self.hosts,
            self.loads,
            self.prompt_caches,
            Health(RAMP_SECONDS),
            ColdPacer(),
            ServiceTimes(),
            ServiceTimes(),
            RecentForwards(),
            SilenceDetector(),
            RegionLoads(),
            self.coordination.rate_share,
            ReplicaStatements(),
            CallCosts(),
            VersionHistory(),
        )
        self._build_store_tasks()
        self._build_forwarder()
        self._build_access_checks()
        self._build_links()
        self._build_dispatcher()
        self._build_servers()

    def _build_store_tasks(self) -> None:
        env, local_host = self._env, self.membership.local_host
        self._feature_hasher = FeatureHasher(self.cfg.peers.token)
        self.crashes = CrashEvidence(local_host.name, local_host.incarnation)
        self._feed_store = FeedStore(
            env.store,
            lambda: self._route_links.coordinator_link(),
            lambda: self._route_links.other_links(),
            env.clock,
            env.log,
        )
        self._manifest_peers = ManifestPeers(
            self.cfg.peers,
            self.hosts,
            env.clock,
            env.network,
            env.log,
            lambda: self.fleet.version,
        )
        self.follower = StoreFollower(
            self._feed_store,
            env.codec,
            self.fleet,
            self.hosts,
            self.crashes,
            self._routing_state.versions,
            env.clock,
            env.log,
            self._on_store_change,
            self._manifest_peers,
            self._on_store_restored,
        )
        self._crash_publisher = CrashPublisher(
            local_host.name, self.crashes, env.store, env.codec, env.clock
        )
        self._version_recorder = VersionRecorder(
            self._routing_state.versions,
            self.fleet,
            self.coordination,
            lambda: self.follower.era,
            env.store,
            env.codec,
            env.clock,
        )
        self._registration = Registration(
            env.store,
            env.codec,
            lambda: self.membership.local_host,
            env.clock,
            env.log,
        )

    def _build_forwarder(self) -> None:
        env = self._env
        self._forwarder = RouteForwarder(
            self.cfg.peers,
            self.membership.local_host,
            env.clock,
            env.network,
            lambda: self.fleet.version,
            env.log,
            self._on_links_outdated,
        )
        self.placement = RoutePlacement(
            env.clock,
            env.rng,
            self._routing_state,
            CrashGuard(self.crashes, self._feature_hasher, env.clock, env.log),
            self._forwarder.preferred_hosts,
        )

    def _build_access_checks(self) -> None:
        env = self._env
        self._pool = ConnectionPool(self.cfg.upstreams, env.clock, env.network)
        self._access_checks = AccessChecks(
            self.fleet,
            self.hosts,
            self._pool,
            env.rng,
            env.clock,
            env.log,
            self._on_access_changed,
            lambda: self._access_exchange.confirm(),
        )

    def _build_links(self) -> None:
        env = self._env
        heartbeat_state = HeartbeatState(
            self.hosts,
            self.coordination,
            self.loads,
            self._routing_state.region_loads,
            lambda name: self._coordinated_placement.announced_loads(name),
            self.placement.options.service_loads,
            lambda: self.fleet.version,
        )
        statement_relay = StatementRelay(
            self._routing_state.statements, env.clock, env.log
        )
        heartbeats = RouteHeartbeats(
            heartbeat_state,
            statement_relay,
            env.clock,
            self._on_new_peer,
            lambda link: self._access_exchange.report(link),
        )
        self._links = LinkManager(
            self.cfg.peers,
            self.membership,
            env.clock,
            env.network,
            env.rng,
            env.log,
            self._group,
            lambda: self.fleet.version,
            heartbeat=heartbeats,
        )
        self._access_exchange = AccessExchange(
            self.hosts, self._links, self._access_checks, env.clock, env.log
        )
        self.stream_origins = StreamOriginExchange(
            self._links,
            self.coordination,
            self.hosts,
            env.clock,
            env.log,
            self._group,
        )
        self._placement_server = PlacementServer(
            self.placement,
            self._routing_state,
            env.clock,
            lambda: self.follower.has_read_all,
            env.log,
        )
        feed_server = FeedServer(
            self.follower.feed, self._feed_store, self._store_age_seconds
        )
        self._route_links = RouteLinks(
            self.cfg,
            LinkComponents(
                self.hosts,
                self.coordination,
                self._links,
                self._forwarder,
                self._placement_server,
            ),
            env.clock,
            env.log,
        )
        self._register_handlers(heartbeats, feed_server)

    def _register_handlers(
        self, heartbeats: RouteHeartbeats, feed_server: FeedServer
    ) -> None:
        links = self._links
        links.on_request(RouteHeartbeat, heartbeats.answer)
        links.on_request(DrainNotice, partial(self._answer_drain_notice, heartbeats))
        links.on_request(PlacementRequest, self._placement_server.place, waits=True)
        links.on_request(CallProgress, self._placement_server.record_progress)
        links.on_request(FeedRequest, feed_server.answer, waits=True)
        links.on_request(StreamsBegan, self.stream_origins.record_streams)
        links.on_request(StreamLookup, self.stream_origins.answer, waits=True)
        links.on_request(AccessReport, self._access_exchange.answer, waits=True)
        links.on_link_closed(self._placement_server.link_closed)

    def _build_dispatcher(self) -> None:
        cfg, env = self.cfg, self._env
        replica_states = ReplicaStates(self._routing_state, env.clock, env.log)
        replica_client = ReplicaClient(
            env.clock, self._pool, env.replicas, replica_states, env.log
        )
        self._cold_start_prober = ColdStartProber(
            cfg.regions.get(cfg.host.domain, ""),
            lambda: self._route_links.coordinator_link() is None,
            self.fleet,
            replica_states,
            env.replicas,
            env.clock,
            env.network,
            env.log,
        )
        self._stream_versions = StreamVersions(
            self._routing_state, self.stream_origins, env.clock, env.log
        )
        self._coordinated_placement = CoordinatedPlacement(
            self.placement,
            self._routing_state,
            self.coordination,
            self._links,
            self._access_checks,
            env.clock,
            env.log,
        )
        self.dispatcher = RouteCalls(
            env.clock,
            env.log,
            self._routing_state,
            self._coordinated_placement,
            RouteSenders(replica_client, self._forwarder),
            self._feature_hasher,
            SharedRetryBudget(
                cfg.retries.ratio,
                cfg.retries.extra,
                cfg.retries.window.total_seconds(),
            ),
            self._stream_versions,
        )

    def _build_servers(self) -> None:
        cfg, env = self.cfg, self._env
        self._gateway_server = GatewayServer(
            cfg.peers,
            env.clock,
            env.network,
            env.log,
            PeerComponents(
                self.dispatcher,
                self.request_tracker,
                self._recorder,
                self._links,
                self._memory,
                self._capacity.unverified,
                lambda: self.follower.manifest_document,
                f"{FEATURE} {access_exchange.FEATURE}",
            ),
            lambda: self.fleet.version,
            cfg.listen.gateways,
        )
        interfaces = env.interfaces(self)
        metrics = MetricsInterface(self._metrics_text)
        capacity = self._capacity
        self._caller_server = self._build_server(
            cfg.listen.callers, capacity.callers, interfaces.callers
        )
        self._auxiliary_servers = [
            self._build_server(
                cfg.listen.directory, capacity.directory, interfaces.directory
            ),
            self._build_server(
                cfg.listen.readiness, MAX_READINESS_CONNECTIONS, interfaces.readiness
            ),
        ]
        self._metrics_server = self._build_server(
            cfg.listen.metrics, MAX_METRICS_CONNECTIONS, metrics
        )

    def _build_server(self, listen, max_connections, interface) -> CallerServer:
        env = self._env
        return CallerServer(
            listen,
            max_connections,
            env.clock,
            env.network,
            env.rng,
            env.log,
            CallerComponents(
                interface,
                self.dispatcher,
                self.request_tracker,
                self._recorder,
                self._memory,
                self._request_work,
            ),
        )

    def is_ready(self) -> bool:
        """Return whether callers should be sent to this host."""
        return self.fleet.table is not None and not self.request_tracker.draining

    def spare_connections(self, host: HostInfo) -> int:
        """Return the number of open connections to a host that are not in use."""
        return self._forwarder.spare_count(host)

    def hosts_for_callers(
        self, region: str, home_regions: frozenset[str]
    ) -> list[HostInfo]:
        """Return the hosts that callers of a region should use."""
        now = self.clock.monotonic()
        return self.hosts.for_callers(
            region, home_regions, self.request_tracker.draining, now
        )

    async def start(self) -> None:
        """Open the listeners and start all tasks; starting twice is harmless."""
        if self._started:
            return
        self._started = True
        try:
            await self._gateway_server.listen()
            await self._gateway_server.start(self.membership.local_host, self._group)
            for server in (*self._auxiliary_servers, self._caller_server):
                await server.listen()
                await server.start(self._group)
            await self._links.start()
            for function, *args in (
                (self._start_metrics,),
                (self.follower.run,),
                (self._manifest_peers.follow, self.follower.apply_document),
                (self._registration.run,),
                (self._crash_publisher.run,),
                (self._version_recorder.run,),
                (self._cold_start_prober.run, self._group),
                (self._access_checks.run,),
                (self._route_links.run, self._group),
                (self.stream_origins.run,),
            ):
                await self._group.spawn_service(self.clock, function, *args)
        except BaseException:
            await self.close()
            raise
        local_host = self.membership.local_host
        self.log.emit(
            Event.HOST_STARTED,
            domain=local_host.domain,
            incarnation=local_host.incarnation,
            callers=str(local_host.callers),
        )

    async def _start_metrics(self) -> None:
        """Open the listener for metrics, without which callers are served as well.

        Its port is fixed, so that another process may have it.
        """
        await self._metrics_server.listen()
        await self._metrics_server.start(self._group)

    async def drain(self) -> None:
        """Leave the directory, finish the calls in flight, then close.

        Callers that connect within DRAIN_LISTEN_SECONDS are still served. Forwarded
        calls are taken if they end within the platform's grace period, because the
        host may be the last one that reaches the replicas of its region.
        Calls that are still running at the end of the period are cut off.
        """
        if self.request_tracker.draining or not self._started:
            return
        started_at = self.clock.monotonic()
        self.request_tracker.draining = True
        self.hosts.mark_draining(self.membership.local_host, started_at)
        closes_at = self.hosts.closes_at(self.membership.local_host)
        self.log.emit(Event.DRAIN_STARTED, in_flight=self.request_tracker.in_flight)
        await self._run_with_timeout(
            DRAIN_NOTICE_TIMEOUT_SECONDS, self._registration.unregister
        )
        await self._run_with_timeout(
            DRAIN_NOTICE_TIMEOUT_SECONDS,
            notify_peers,
            self._links,
            self.membership.local_host,
            self._log_failure,
        )
        await self._caller_server.close_idle()
        listen = min(DRAIN_LISTEN_SECONDS, DRAIN_LISTEN_SHARE * self._drain_seconds)
        await self.clock.sleep(started_at + listen - self.clock.monotonic())
        await self._caller_server.close()
        # A caller that connected last has sent its request by now.
        await self.clock.sleep(FIRST_REQUEST_SECONDS)
        await self._caller_server.close_idle()
        remaining = closes_at - self.clock.monotonic()
        await self._run_with_timeout(remaining, self._finish_calls)
        self.request_tracker.peers_refused = True
        # An offer may have been accepted since the last call finished.
        remaining = closes_at - self.clock.monotonic()
        await self._run_with_timeout(remaining, self.request_tracker.wait_idle)
        self.log.emit(Event.DRAIN_FINISHED, in_flight=self.request_tracker.in_flight)
        await self.close()

    async def _finish_calls(self) -> None:
        # Requests that have arrived are in flight only once their tasks have run.
        await self._caller_server.wait_closed()
        await self.request_tracker.wait_idle()

    async def close(self) -> None:
        """Stop all tasks and close all connections; closing twice is harmless."""
        if not self._started:
            return
        self._started = False
        # A connection whose call is refused below must not wait for another one.
        self.request_tracker.refuse_all()
        now = self.clock.monotonic()
        self.hosts.mark_draining(self.membership.local_host, now - self._drain_seconds)
        for server in (
            self._caller_server,
            *self._auxiliary_servers,
            self._metrics_server,
            self._gateway_server,
        ):
            await server.close()
        await self._group.close()
        await self._forwarder.close()
        await self._pool.close()
        self.log.emit(Event.HOST_CLOSED)

    async def _run_with_timeout(self, seconds: float, function, *args) -> None:
        """Call a function with a timeout, and log the timeout."""
        try:
            async with self.clock.timeout(max(seconds, 0)):
                await function(*args)
        except TimedOut as exc:
            self._log_failure(exc)

    async def _on_store_change(self) -> None:
        if self.follower.has_read_all:
            self._forget_replicas()
        await self._stream_versions.replicas_changed()
        await self._route_links.notify_change()

    def _forget_replicas(self) -> None:
        """Drop what is known of replicas that are gone."""
        names = self.fleet.names()
        self.loads.retain(names)
        self.prompt_caches.retain(names)
        self._routing_state.health.retain(names)
        listed = {name: self.fleet.get(name).started_at_ms for name in names}
        services = {name: self.fleet.get(name).service for name in names}
        self._routing_state.statements.retain(listed, services)

    async def _on_store_restored(self) -> None:
        self._crash_publisher.store_restored()
        await self._registration.store_restored()

    async def _on_new_peer(self) -> None:
        self.hosts.invalidate()
        await self._route_links.notify_change()

    async def _on_access_changed(self) -> None:
        self.hosts.invalidate()
        await self._route_links.notify_change()
        await self._group.spawn(self._access_exchange.report_all)

    async def _on_links_outdated(self) -> None:
        await self._route_links.notify_change()

    def _store_age_seconds(self) -> float | None:
        answered_at = self.follower.answered_at
        return None if answered_at is None else self.clock.monotonic() - answered_at

    async def _answer_drain_notice(
        self, heartbeats: RouteHeartbeats, peer: HostInfo, message: DrainNotice
    ) -> RouteHeartbeatReply:
        member = self.membership.member(peer.name)
        if member and member.info.incarnation == message.host.incarnation:
            self.membership.update(member._replace(draining=True))
            self.hosts.mark_draining(message.host, self.clock.monotonic())
        return heartbeats.reply(peer, 0)

    def _metrics_text(self) -> bytes:
        self.metrics.set_gauges(
            calls_in_flight=self.request_tracker.in_flight,
            draining=float(self.request_tracker.draining),
            sheet_version=self.fleet.version,
            members_live=self.hosts.count(self.clock.monotonic()) - 1,
            log_events_dropped=getattr(self.log, "dropped", 0),
            long_turns=self.turns.long_turns,
            longest_turn_seconds=self.turns.longest_seconds,
            **self.stream_origins.gauges(),
        )
        return self.metrics.prometheus_text()

    def _log_failure(self, exc: Exception) -> None:
        self.log.emit(Event.TASK_FAILED, type=type(exc).__name__, detail=str(exc))
