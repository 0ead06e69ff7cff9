"""Isolation of requests that crash upstreams from other requests."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    Reason,
    TimedOut,
    UpstreamLost,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Answer, Call, CallKind
from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.decisions.suspects import (
    EXPIRY_SECONDS,
    CrashReport,
    RequestStatus,
    Suspects,
)
from sassafraskeel.sheets.model import Sheet, Upstream
from sassafraskeel.upstreams.client import HttpUpstreamClient, UpstreamStates
from sassafraskeel.upstreams.reports import Health

# If an upstream does not report its instance, all connections that break within the
# same window of this length count as one crash.
CRASH_WINDOW_SECONDS = 5.0
# A reservation of another host may end without a message that wakes those who wait.
RESERVATION_CHECK_SECONDS = 1.0


class AnnounceReports(Protocol):
    """Announces crash reports to the other hosts."""

    async def __call__(self, reports: list[CrashReport]) -> None: ...


class Reservations(Protocol):
    """Reserves replicas for suspects at the other hosts."""

    async def reserve(self, replica: str, seconds: float) -> bool:
        """Return whether no host refuses a reservation, once the replica is idle."""

    async def release(self, replica: str) -> None:
        """Release a replica at the other hosts without waiting for them."""


class MonitoredAnswer:
    """An answer that calls back when it breaks, completes and is closed."""

    def __init__(self, answer: Answer, on_failure, on_complete, on_close):
        self.head = answer.head
        self._answer = answer
        self._on_failure: Callable[[], Awaitable[None]] = on_failure
        self._on_complete: Callable[[], Awaitable[None]] = on_complete
        self._on_close: Callable[[], Awaitable[None]] = on_close
        self._closed = False

    async def read(self) -> bytes:
        try:
            data = await self._answer.read()
        except (AnswerTruncated, ConnectionLost):
            await self._on_failure()
            raise
        if not data:
            await self._on_complete()
        return data

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            try:
                await self._answer.close()
            finally:
                await self._on_close()


class IsolatingUpstreamClient:
    """Sends calls as HttpUpstreamClient does, but suspects run alone or not at all.

    Orders are not isolated: the host that owns an order never sends it twice.
    """

    def __init__(
        self,
        client: HttpUpstreamClient,
        states: UpstreamStates,
        suspects: Suspects,
        clock: Clock,
        log: LogSink,
        sheet: Callable[[], Sheet | None],
        announce: AnnounceReports,
        reservations: Reservations,
    ):
        self._client = client
        self._states = states
        self._suspects = suspects
        self._clock = clock
        self._log = log
        self._sheet = sheet
        self._announce = announce
        self._reservations = reservations
        self._released = curio.Event()

    def in_flight(self, upstream: str) -> int:
        """Return how many calls of the local host are in flight at an upstream."""
        return self._client.in_flight(upstream)

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be sent new calls, including retries."""
        return self._client.accepts_work(upstream)

    async def send(
        self, upstream: Upstream, call: Call, body: bytes, check=None
    ) -> Answer:
        """Return the answer of an upstream; raise Refusal."""
        if call.kind is CallKind.ORDER or not call.fingerprint:
            return await self._client.send(upstream, call, body, check)
        upstream = await self._choose_replica(upstream, call)
        name, fingerprint = upstream.name, call.fingerprint
        self._suspects.record_start(fingerprint, name)
        report = self._states.report(name)

        async def on_failure():
            await self._investigate_failure(upstream, report)

        async def on_complete():
            now = self._clock.monotonic()
            await self._announce(self._suspects.record_completion(fingerprint, now))

        async def on_close():
            self._suspects.record_end(fingerprint, name)
            await self._release(fingerprint)

        try:
            answer = await self._client.send(upstream, call, body, check)
        except UpstreamLost:
            try:
                await on_failure()
            finally:
                await on_close()
            raise
        except BaseException:
            await on_close()
            raise
        return MonitoredAnswer(answer, on_failure, on_complete, on_close)

    async def _choose_replica(self, upstream: Upstream, call: Call) -> Upstream:
        replica = self._choose_now(upstream, call)
        if replica is not None and not self._is_reserved(call, replica):
            return replica
        self._log.emit(Event.REQUEST_SUSPECT, call=call.call_id)
        try:
            async with self._clock.timeout(call.expires - self._clock.monotonic()):
                return await self._wait_for_replica(upstream, call)
        except TimedOut as exc:
            await self._release(call.fingerprint)
            raise not_run_refusal(
                Reason.DEADLINE, "no replica was free before the deadline"
            ) from exc
        except BaseException:
            await self._release(call.fingerprint)
            raise

    def _choose_now(self, upstream: Upstream, call: Call) -> Upstream | None:
        """Return the replica that may run a call, or None; raise Refusal."""
        now = self._clock.monotonic()
        if self._suspects.status(call.fingerprint, now) is RequestStatus.REFUSED:
            raise not_run_refusal(
                Reason.CRASHES_UPSTREAM,
                "this request has crashed upstreams",
                EXPIRY_SECONDS,
            )
        replicas = {up.name: up for up in self._replicas(upstream)}
        alternatives = [name for name in replicas if name != upstream.name]
        name = self._suspects.choose_replica(
            call.fingerprint, upstream.name, alternatives, now
        )
        return None if name is None else replicas.get(name, upstream)

    def _is_reserved(self, call: Call, replica: Upstream) -> bool:
        return self._suspects.reserved_replica(call.fingerprint) == replica.name

    async def _wait_for_replica(self, upstream: Upstream, call: Call) -> Upstream:
        """Return the replica of a call once it is idle at the other hosts as well.

        The choice is repeated after each wait, during which it may have changed.
        """
        idle = None
        while True:
            replica = self._choose_now(upstream, call)
            if replica is None:
                idle = None
                await self._wait_for_release()
            elif replica.name == idle or not self._is_reserved(call, replica):
                return replica
            elif await self._reservations.reserve(
                replica.name, call.expires - self._clock.monotonic()
            ):
                idle = replica.name
            else:
                await self._release(call.fingerprint)
                await self._wait_for_release()

    async def _wait_for_release(self) -> None:
        try:
            async with self._clock.timeout(RESERVATION_CHECK_SECONDS):
                await self._released.wait()
        except TimedOut:
            return

    async def wait_until_idle(self, replica: str) -> None:
        """Wait until no call of the local host runs on a replica."""
        while self._suspects.load(replica):
            await self._released.wait()

    async def wake(self) -> None:
        """Let the calls that wait for a replica choose again."""
        released, self._released = self._released, curio.Event()
        await released.set()

    async def _release(self, fingerprint: str) -> None:
        replica = self._suspects.reserved_replica(fingerprint)
        self._suspects.release_replica(fingerprint)
        await self.wake()
        if replica and self._suspects.reserved_replica(fingerprint) is None:
            await self._reservations.release(replica)

    def _replicas(self, upstream: Upstream) -> list[Upstream]:
        sheet = self._sheet()
        return [
            other
            for other in (sheet.upstreams.values() if sheet else ())
            if other.service == upstream.service
            and other.domain == upstream.domain
            and self._client.accepts_work(other)
        ]

    async def _investigate_failure(
        self, upstream: Upstream, report: LoadReport | None
    ) -> None:
        """Probe an upstream, and blame the requests that ran on it if it crashed.

        No request is blamed if the same instance still answers, or if the network
        path is cut.
        """
        running = self._suspects.running(upstream.name)
        instance = report.instance if report else ""
        probe = await self._states.probe(upstream)
        restarted = probe.health is Health.ALIVE and probe.instance != instance
        if probe.health is not Health.REFUSED and not (instance and restarted):
            return
        run_id = instance or str(
            int(self._clock.now().timestamp() / CRASH_WINDOW_SECONDS)
        )
        crash_id = f"{upstream.name}/{run_id}"
        crash_reports = self._suspects.record_crash(
            crash_id, running, self._clock.monotonic()
        )
        if crash_reports:
            self._log.emit(
                Event.UPSTREAM_DIED, upstream=upstream.name, calls=len(running)
            )
        await self._announce(crash_reports)
