"""Checks of whether the local host reaches the replicas of its region."""

import random
from collections.abc import Awaitable, Callable

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.replica_access import choose_probed
from sassafraskeel.upstreams.pool import ConnectionPool

# Replicas of the local region accept connections within milliseconds.
CONNECT_TIMEOUT_SECONDS = 0.25
# Attempts that fail together share one check.
CHECK_VALID_SECONDS = 0.2
# The pause between two checks of a host without replicas.
RETRY_SECONDS = 0.3


class AccessChecks:
    """Connects to some replicas of the local region at once, after failed attempts.

    While none accepts the connection, one task, which runs `run`, repeats the check.
    `on_change` is called after the state has changed. `confirm` asks the other hosts of
    the region whether one reaches replicas.
    """

    def __init__(
        self,
        fleet: Fleet,
        hosts: HostTable,
        pool: ConnectionPool,
        rng: random.Random,
        clock: Clock,
        log: LogSink,
        on_change: Callable[[], Awaitable[None]],
        confirm: Callable[[], Awaitable[bool]],
    ):
        self._fleet = fleet
        self._hosts = hosts
        self._access = hosts.access
        self._pool = pool
        self._rng = rng
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._confirm = confirm
        self._confirm_lock = curio.Lock()
        self._confirmed = False
        self._confirmed_at = float("-inf")
        self._checked_at = float("-inf")
        self._lock = curio.Lock()
        self._lost = curio.Event()
        self._lost_at = 0.0

    async def is_lost(self) -> bool:
        """Return whether the local host has lost its replicas, after a check.

        What failed attempts show then concerns the host and not the replicas, if
        another host of the region reaches these. That host has to say so after the
        check: the replicas may have ended, and each host notices that by itself.
        """
        await self.check(self._clock.monotonic() - CHECK_VALID_SECONDS)
        if not self._access.is_lost:
            return False
        async with self._confirm_lock:
            if self._confirmed_at < self._checked_at:
                self._confirmed_at = self._checked_at
                self._confirmed = await self._confirm()
        return self._confirmed and self._access.is_lost

    def others_reach(self) -> bool:
        """Return whether other hosts of the region reach its replicas."""
        return self._hosts.others_reach_replicas(self._clock.monotonic())

    async def check(self, valid_since: float) -> None:
        """Check the access, unless it was checked after `valid_since`."""
        async with self._lock:
            if self._checked_at >= valid_since:
                return
            replicas = choose_probed(self._replicas(), self._rng)
            reached = await self._reaches_any(replicas)
            self._checked_at = self._clock.monotonic()
            changed = self._access.probed(len(replicas), reached)
            if self._access.is_lost and not self.others_reach():
                self._access.others_lost()
        if changed:
            await self._change(replicas)

    async def run(self) -> None:
        """Repeat the check while the replicas are lost; never returns."""
        while True:
            await self._lost.wait()
            await self._clock.sleep(RETRY_SECONDS)
            await self.check(self._clock.monotonic())

    async def _change(self, replicas: list[Replica]) -> None:
        now = self._clock.monotonic()
        if self._access.is_lost:
            self._lost_at = now
            await self._lost.set()
            names = [replica.name for replica in replicas]
            self._log.emit(Event.REPLICAS_LOST, replicas=names)
        else:
            self._lost.clear()
            restarted = self._access.may_have_restarted()
            if restarted:
                for replica in self._replicas():
                    self._fleet.mark_cold(replica.name, now)
            seconds = round(now - self._lost_at, 3)
            self._log.emit(
                Event.REPLICAS_REACHED, seconds=seconds, may_be_cold=restarted
            )
        await self._on_change()

    def _replicas(self) -> list[Replica]:
        now, table = self._clock.monotonic(), self._fleet.table
        region = self._hosts.region_of(self._hosts.local_host)
        return [
            replica
            for service in (table.manifest.services if table else ())
            for replica in self._fleet.by_region(service, now).get(region, ())
        ]

    async def _reaches_any(self, replicas: list[Replica]) -> bool:
        async with curio.TaskGroup(wait=object) as group:
            for replica in replicas:
                await group.spawn(self._connect, replica)
        return group.completed is not None and group.result

    async def _connect(self, replica: Replica) -> bool | None:
        """Return True if a replica takes a connection, otherwise None."""
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_SECONDS):
                conn = await self._pool.open(replica.address)
        except (ConnectionLost, TimedOut):
            return None
        await conn.close()
        return True
