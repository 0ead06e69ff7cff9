"""A gateway host: builds its components from settings and runs them."""

import random
from functools import partial
from typing import NamedTuple

import curio

from sassafraskeel.callers.connection import CallerComponents
from sassafraskeel.callers.server import CallerServer
from sassafraskeel.callers.sheet_interface import SheetInterface
from sassafraskeel.calls.model_streams import ResumingHostClient
from sassafraskeel.calls.orders import OrderExecutor
from sassafraskeel.calls.policies import routing_policy
from sassafraskeel.calls.record import CallRecorder
from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.calls.sheet_calls import SheetCalls, SheetSenders
from sassafraskeel.calls.sheet_placement import SheetPlacement
from sassafraskeel.core.capacity import host_capacity, limit_capacity
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.events import Event
from sassafraskeel.core.held_memory import MemoryBudget
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.metrics import Metrics
from sassafraskeel.core.net import Address, Network
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.core.types import HostInfo
from sassafraskeel.core.work_limits import ALL_REQUESTS_WORK, WorkLimit
from sassafraskeel.decisions.domains import DomainHosts
from sassafraskeel.decisions.estimates import UpstreamEstimates
from sassafraskeel.decisions.ledger import Ledger
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.orders import OrderContext
from sassafraskeel.decisions.summaries import SummaryTable
from sassafraskeel.decisions.view_state import ViewState
from sassafraskeel.gateways.codec import compute_host_checksum
from sassafraskeel.gateways.drain_notice import notify_peers
from sassafraskeel.gateways.forwarding import Forwarder
from sassafraskeel.gateways.handover import hand_over
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.membership import MembershipUpdater
from sassafraskeel.gateways.messages import DrainNotice, Ping, Pong, SummaryPush
from sassafraskeel.gateways.orders import OrderExchange, view_member
from sassafraskeel.gateways.server import GatewayServer, PeerComponents
from sassafraskeel.gateways.sheets import SheetExchange
from sassafraskeel.gateways.summaries import SummaryExchange
from sassafraskeel.operators.handlers import build_handlers
from sassafraskeel.operators.server import OperatorServer
from sassafraskeel.sheets.installed import InstalledSheet
from sassafraskeel.store.host_list import poll_host_list
from sassafraskeel.store.key_value import KeyValueStore
from sassafraskeel.store.sheet_follower import SheetFollower
from sassafraskeel.store.view_follower import ViewFollower
from sassafraskeel.upstreams.components import UpstreamComponents

INCARNATION_BITS = 128
# Within this time callers learn of a drain from the directory, and hosts that missed
# the drain notice learn of it from the next heartbeat.
DRAIN_NOTICE_SECONDS = 2.0
# A view change takes about one second; a member that crashes meanwhile is detected
# after ten.
LEAVE_VIEW_TIMEOUT_SECONDS = 15.0
LEAVE_VIEW_POLL_SECONDS = 0.1
PLATFORM_SILENCE_SECONDS = 3.0


class Environment(NamedTuple):
    """The dependencies of a host; tests pass substitutes."""

    clock: Clock
    network: Network
    rng: random.Random
    log: LogSink
    platform: KeyValueStore
    turns: TurnTimer


class Host:
    """A gateway host; several can run in one process."""

    def __init__(self, cfg: Settings, env: Environment):
        self.cfg = cfg
        self._env = env
        self.clock, self.log, self.turns = env.clock, env.log, env.turns
        self._group = SupervisedTaskGroup(self._log_failure)
        self._started = False
        local_host = HostInfo(
            cfg.host.name,
            cfg.host.domain,
            f"{env.rng.getrandbits(INCARNATION_BITS):032x}",
            cfg.callers.listen,
            cfg.gateways.listen,
        )
        self.membership = Membership(local_host)
        self.summaries = SummaryTable(local_host.domain)
        ramp = cfg.limits.ramp.total_seconds()
        self.domains = DomainHosts(self.membership, self.summaries, ramp)
        self.installed = InstalledSheet(env.log)
        self.request_tracker = RequestTracker()
        self.drain_requested = curio.Event()
        self.metrics = Metrics(env.clock)
        self._recorder = CallRecorder(env.clock, env.log, self.metrics)
        view_state = ViewState(cfg.orders, view_member(local_host))
        self.order_context = OrderContext(view_state, Ledger(cfg.orders))
        self._build_links()
        self._build_dispatcher(local_host)
        self._build_servers()

    def _build_dispatcher(self, local_host: HostInfo) -> None:
        cfg, env = self.cfg, self._env
        self.upstreams = UpstreamComponents(
            cfg,
            local_host,
            env.clock,
            env.network,
            env.log,
            env.platform,
            self.installed.get,
            self.links,
            self._group,
        )
        self._forwarder = Forwarder(
            cfg.gateways, local_host, env.clock, env.network, self._sheet_version
        )
        self.placement = SheetPlacement(
            cfg.limits,
            env.clock,
            env.rng,
            self.membership,
            self.domains,
            UpstreamEstimates(cfg.limits, self.upstreams.reports),
            routing_policy(cfg.limits),
            self.upstreams.reports.accepts_work,
        )
        self.dispatcher = SheetCalls(
            cfg,
            env.clock,
            self.membership,
            SheetSenders(self.upstreams.client, self._build_host_client()),
            self.installed.get,
            self.placement,
            OrderExecutor(
                cfg.orders,
                self.order_context,
                self._order_exchange,
                env.clock,
                env.log,
                self._group,
                self.request_tracker,
            ),
        )

    def _build_host_client(self) -> ResumingHostClient:
        env = self._env
        return ResumingHostClient(
            self._forwarder,
            env.clock,
            env.log,
            self.installed.get,
            lambda domain: self.domains.hosts(domain, env.clock.monotonic()),
        )

    def _build_links(self) -> None:
        cfg, env = self.cfg, self._env
        self.links = LinkManager(
            cfg.gateways,
            self.membership,
            env.clock,
            env.network,
            env.rng,
            env.log,
            self._group,
            self._sheet_version,
            lambda: self.order_context.view_state.number,
        )
        self.links.on_request(Ping, self._answer_ping)
        self.links.on_request(DrainNotice, self._answer_drain_notice)
        self._order_exchange = OrderExchange(
            cfg.host.domain, self.order_context, self.links, env.clock
        )

    def _build_servers(self) -> None:
        cfg, env = self.cfg, self._env
        self._sheet_exchange = SheetExchange(
            self.installed, self.links, self._group, env.log
        )
        self._build_membership_updater()
        capacity = limit_capacity(
            host_capacity(cfg.host.memory_mb * 1e6, cfg.host.descriptors),
            cfg.callers.max_connections,
            cfg.callers.max_held_bytes,
        )
        memory = MemoryBudget(capacity.held_bytes)
        self._gateway_server = GatewayServer(
            cfg.gateways,
            env.clock,
            env.network,
            env.log,
            PeerComponents(
                self.dispatcher,
                self.request_tracker,
                self._recorder,
                self.links,
                memory,
                capacity.unverified,
            ),
            self._sheet_version,
        )
        interface = SheetInterface(
            cfg.callers, self.dispatcher, self.membership, self.request_tracker
        )
        self._caller_server = CallerServer(
            cfg.callers.listen,
            capacity.callers,
            env.clock,
            env.network,
            env.rng,
            env.log,
            CallerComponents(
                interface,
                self.dispatcher,
                self.request_tracker,
                self._recorder,
                memory,
                WorkLimit(ALL_REQUESTS_WORK, env.clock.monotonic()),
            ),
        )
        self._operator_server = OperatorServer(
            cfg.operators, env.clock, env.network, env.log, build_handlers(self)
        )

    def _build_membership_updater(self) -> None:
        cfg = self.cfg.gateways
        exchange = SummaryExchange(
            self.cfg.host.domain,
            self.summaries,
            self._env.clock,
            cfg.connect_timeout.total_seconds(),
        )
        self.membership_updater = MembershipUpdater(
            self.membership,
            self.summaries,
            self.domains,
            exchange,
            self.links,
            self._env.clock,
            self._local_load,
            cfg.remote_links,
            lambda: self.request_tracker.draining,
        )
        self.links.on_request(SummaryPush, exchange.answer)
        self.links.add_pong_listener(exchange.on_pong)

    @property
    def operators_address(self) -> Address:
        """Return the address on which operators are served."""
        return self._operators_address

    def in_flight(self, upstream: str) -> int:
        """Return the number of calls that this host has in flight at an upstream."""
        return self.upstreams.client.in_flight(upstream)

    def is_platform_available(self) -> bool:
        """Return whether the platform has answered recently."""
        silent_seconds = self.clock.monotonic() - self._view_follower.answered_at
        return silent_seconds < 2 * PLATFORM_SILENCE_SECONDS

    @property
    def callers_address(self) -> Address:
        """Return the address on which callers are served."""
        return self.membership.local_host.callers

    async def start(self) -> None:
        """Open the listeners and start all tasks; starting twice is harmless."""
        if self._started:
            return
        self._started = True
        env = self._env
        try:
            callers = await self._caller_server.listen()
            gateways = await self._gateway_server.listen()
            local_host = self.membership.local_host._replace(
                callers=callers, gateways=gateways
            )
            self.membership.local_host = local_host
            follower = SheetFollower(
                self.cfg.platform,
                env.platform,
                self.installed,
                self.membership,
                env.clock,
                env.rng,
                env.log,
                self._sheet_exchange.announce,
            )
            await self._group.spawn(follower.run)
            self.order_context.view_state.local_member = view_member(local_host)
            self._view_follower = self._build_view_follower()
            await self._group.spawn(self._view_follower.run)
            await self.upstreams.start()
            await self._gateway_server.start(local_host, self._group)
            await self._caller_server.start(self._group)
            self._operators_address = await self._operator_server.listen()
            await self._operator_server.start(self._group)
            await self.links.start()
            await self._group.spawn(self.membership_updater.run)
            await self._group.spawn(
                poll_host_list, env.platform, env.clock, self._apply_host_list
            )
        except BaseException:
            await self.close()
            raise
        env.log.emit(Event.HOST_STARTED, domain=local_host.domain, callers=str(callers))

    async def drain(self) -> None:
        """Accept no new work, finish all calls, then close (design 5.9).

        There is no time limit; `close` stops a host that does not become idle.
        """
        if self.request_tracker.draining or not self._started:
            return
        self.request_tracker.draining = True
        self._env.log.emit(
            Event.DRAIN_STARTED, in_flight=self.request_tracker.in_flight
        )
        await notify_peers(self.links, self.membership.local_host, self._log_failure)
        await self._env.clock.sleep(DRAIN_NOTICE_SECONDS)
        # Until the view has changed, other hosts forward orders to this host.
        await self.leave_view()
        self.request_tracker.peers_refused = True
        await self._caller_server.close()
        await self.request_tracker.wait_idle()
        self._env.log.emit(Event.DRAIN_FINISHED)
        await self.close()

    def _build_view_follower(self) -> ViewFollower:
        env = self._env
        return ViewFollower(
            self.cfg.host.domain,
            self.order_context,
            env.platform,
            env.clock,
            env.log,
            partial(hand_over, self.order_context, self._order_exchange),
            self._rejoin,
        )

    async def _rejoin(self) -> None:
        """Continue as a new incarnation after a removal from the view."""
        incarnation = f"{self._env.rng.getrandbits(INCARNATION_BITS):032x}"
        local_host = self.membership.local_host._replace(incarnation=incarnation)
        self.membership.local_host = local_host
        self._gateway_server.set_local_host(local_host)
        self.order_context.view_state.restart(incarnation)
        self.order_context.ledger.clear()

    async def leave_view(self) -> None:
        """Hand over the order records and leave the view.

        Give up after LEAVE_VIEW_TIMEOUT_SECONDS, or if the platform does not answer.
        """
        view_state = self.order_context.view_state
        view_state.leaving = True
        clock = self._env.clock
        expires = clock.monotonic() + LEAVE_VIEW_TIMEOUT_SECONDS
        while view_state.is_member and clock.monotonic() < expires:
            if (
                clock.monotonic() - self._view_follower.answered_at
                > PLATFORM_SILENCE_SECONDS
            ):
                return  # The view cannot change while the platform is down.
            await clock.sleep(LEAVE_VIEW_POLL_SECONDS)

    async def close(self) -> None:
        """Stop all tasks and close all connections; closing twice is harmless."""
        if not self._started:
            return
        self._started = False
        # A connection whose call is refused below must not wait for another one.
        self.request_tracker.refuse_all()
        await self._caller_server.close()
        await self._gateway_server.close()
        await self._operator_server.close()
        await self._group.close()
        await self._forwarder.close()
        await self.upstreams.close()
        self._env.log.emit(Event.HOST_CLOSED)

    async def _apply_host_list(self, states: dict[str, str]) -> None:
        self.upstreams.leaving.set_states(states)
        await self.membership_updater.apply_host_list(states)

    def _local_load(self) -> tuple[dict[str, tuple[float, float]], int]:
        sheet = self.installed.current
        if sheet is None:
            return {}, 0
        return self.placement.slot_usage(sheet), sheet.version

    def _sheet_version(self) -> int:
        return self.installed.version

    def _log_failure(self, exc: Exception) -> None:
        self._env.log.emit(Event.TASK_FAILED, type=type(exc).__name__, detail=str(exc))

    async def _answer_ping(self, peer: HostInfo, ping: Ping) -> Pong:
        return Pong(
            self.installed.version,
            self.request_tracker.draining,
            compute_host_checksum(self.membership.local_host),
            *self._order_exchange.answer_ping(peer, ping),
        )

    async def _answer_drain_notice(self, peer: HostInfo, message: DrainNotice) -> Pong:
        member = self.membership.member(peer.name)
        is_from_sender = message.host.name == peer.name
        if (
            member
            and is_from_sender
            and member.info.incarnation == message.host.incarnation
        ):
            self.membership.update(member._replace(draining=True))
        # Give no promise, because the sender is about to leave the view.
        return Pong(
            self.installed.version,
            self.request_tracker.draining,
            compute_host_checksum(self.membership.local_host),
            view_number=0,
            promised=False,
        )
