"""Control commands to engines, sent under a lease (design 5.10)."""

import json
from collections.abc import Callable
from typing import NamedTuple, Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    LeaseLost,
    ProtocolError,
    SassafraskeelError,
    TimedOut,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.http_client import ClientConnection, connect, request_once
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.decisions.control import (
    LoadCommand,
    ReportingEngine,
    ignores_fencing,
    next_load,
)
from sassafraskeel.sheets.model import Service, Sheet, Upstream
from sassafraskeel.store.key_value import KeyValueStore
from sassafraskeel.store.leases import HeldLease
from sassafraskeel.upstreams.client import UpstreamStates

RECONCILE_SECONDS = 5.0
LEASE_SECONDS = 30.0
RENEW_SECONDS = LEASE_SECONDS / 3
MAX_SEND_SECONDS = 5.0
LOAD_POLL_SECONDS = 1.0
MAX_LOAD_SECONDS = 600.0
MAX_LEASES = 256
CONTROL_PATH = "/control"
STATUS_CONFLICT = 409


class ControlStore(KeyValueStore, Protocol):
    """The leases and the weight store of the platform."""

    async def reserve_weights(self, model: str) -> float:
        """Reserve one load of a model; return 0, or the seconds to wait if busy."""


class EngineState(NamedTuple):
    """The state that an engine reports."""

    model: str
    ready: bool


class EngineControl:
    """Makes the engines of the local failure domain load the models of the sheet.

    At most one command is in flight for each service, under the lease
    `control/<service>/<domain>`. The lease is acquired only if a command is due.
    """

    def __init__(
        self,
        domain: str,
        holder: str,
        clock: Clock,
        network: Network,
        log: LogSink,
        sheet: Callable[[], Sheet | None],
        states: UpstreamStates,
        store: ControlStore,
    ):
        self._domain = domain
        self._holder = holder
        self._clock = clock
        self._network = network
        self._log = log
        self._sheet = sheet
        self._states = states
        self._store = store
        self._leases: dict[str, HeldLease] = {}

    async def run(self) -> None:
        """Reconcile the engines with the sheet periodically; never returns."""
        while True:
            sheet = self._sheet()
            for service in sheet.services.values() if sheet else ():
                try:
                    await self._reconcile(service)
                except SassafraskeelError as exc:
                    self._log.emit(
                        Event.CONTROL_PAUSED, service=service.name, detail=str(exc)
                    )
            await self._clock.sleep(RECONCILE_SECONDS)

    async def _reconcile(self, service: Service) -> None:
        if next_load(service, self._replicas(service.name)) is None:
            return
        lease = self._get_lease(service.name)
        if await lease.acquire():
            await self._wait_for_earlier_commands(lease, service)
        # The state may have changed while the local host waited for the lease.
        command = next_load(service, self._replicas(service.name))
        if command is None or not await self._has_ready_alternative(command):
            return
        wait = await self._store.reserve_weights(command.model)
        if wait > 0:
            return  # The weight store is busy; the next reconciliation retries.
        await self._send(lease, command)
        await self._wait_until_loaded(lease, command)

    def _get_lease(self, service: str) -> HeldLease:
        if service not in self._leases:
            if len(self._leases) >= MAX_LEASES:
                # A dropped lease counts as new when it is acquired again, so the local
                # host then waits for commands that were sent under it.
                self._leases.clear()
            self._leases[service] = HeldLease(
                self._store,
                self._clock,
                f"control/{service}/{self._domain}",
                self._holder,
                LEASE_SECONDS,
            )
        return self._leases[service]

    def _replicas(self, service: str) -> list[ReportingEngine]:
        sheet = self._sheet()
        replicas = []
        for upstream in sheet.upstreams.values() if sheet else ():
            report = self._states.report(upstream.name)
            if (
                upstream.service == service
                and upstream.domain == self._domain
                and report is not None
                and self._states.accepts_work(upstream)
            ):
                replicas.append(ReportingEngine(upstream, report))
        return replicas

    async def _wait_for_earlier_commands(
        self, lease: HeldLease, service: Service
    ) -> None:
        """Wait until no command of an earlier lease holder can still arrive.

        There is no wait if all engines check fencing numbers: they reject such
        commands.
        """
        sheet = self._sheet()
        engines = [up for up in sheet.upstreams.values() if up.service == service.name]
        if not ignores_fencing(engines):
            return
        ends_at = self._clock.monotonic() + LEASE_SECONDS + MAX_SEND_SECONDS
        while (remaining := ends_at - self._clock.monotonic()) > 0:
            await self._clock.sleep(min(remaining, RENEW_SECONDS))
            await lease.renew()

    async def _has_ready_alternative(self, command: LoadCommand) -> bool:
        """Ask the other engines whether one is ready, as load reports may be stale."""
        for upstream in command.others:
            state = await self._read_state(upstream)
            if state and state.ready and state.model in command.usable_models:
                return True
        return False

    async def _send(self, lease: HeldLease, command: LoadCommand) -> None:
        name = command.upstream.name
        async with self._clock.timeout(MAX_SEND_SECONDS):
            address = command.upstream.address
            conn = await connect(self._network, address, self._clock)
        try:
            # The lease may have run out while the connection was opened, so it is
            # checked right before the command is sent.
            fence = lease.check_valid_for(MAX_SEND_SECONDS)
            self._log.emit(
                Event.CONTROL_SENT, upstream=name, model=command.model, fence=fence
            )
            async with self._clock.timeout(MAX_SEND_SECONDS):
                await _post_command(conn, {"fence": fence, "model": command.model})
        except (AnswerTruncated, ConnectionLost, TimedOut) as exc:
            # _wait_until_loaded() finds out whether the engine got the command.
            self._log.emit(Event.CONTROL_PAUSED, upstream=name, detail=str(exc))
        finally:
            await conn.close()

    async def _wait_until_loaded(self, lease: HeldLease, command: LoadCommand) -> None:
        """Wait until the engine is ready again, and log if it has the new model.

        Gives up after MAX_LOAD_SECONDS. Raises LeaseLost if the lease has run out.
        """
        clock = self._clock
        started_at = renewed_at = clock.monotonic()
        while clock.monotonic() < started_at + MAX_LOAD_SECONDS:
            await clock.sleep(LOAD_POLL_SECONDS)
            if clock.monotonic() - renewed_at >= RENEW_SECONDS:
                renewed_at = clock.monotonic()
                await lease.renew()
            state = await self._read_state(command.upstream)
            if state is None or not state.ready:
                continue
            if state.model == command.model:
                self._log.emit(
                    Event.MODEL_LOADED,
                    upstream=command.upstream.name,
                    model=command.model,
                )
            return

    async def _read_state(self, upstream: Upstream) -> EngineState | None:
        try:
            async with self._clock.timeout(MAX_SEND_SECONDS):
                head, body = await request_once(
                    self._network, self._clock, upstream.address, "GET", CONTROL_PATH
                )
            content = json.loads(body)
            return EngineState(str(content["model"]), content["ready"] is True)
        except (SassafraskeelError, ValueError, KeyError, TypeError):
            return None  # An engine without a valid answer counts as not ready.


async def _post_command(conn: ClientConnection, command: dict) -> None:
    body = json.dumps(command).encode()
    await conn.send("POST", CONTROL_PATH, (), body)
    head = await conn.receive_head()
    while await conn.receive_data():
        pass
    if head.status == STATUS_CONFLICT:
        raise LeaseLost("the engine has seen a higher fencing number")
    if head.status != 200:
        raise ProtocolError(f"a control command was answered with status {head.status}")
