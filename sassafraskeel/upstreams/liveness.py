"""Checks of whether replicas have ended, after connections to them were lost."""

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, TimedOut
from sassafraskeel.core.net import Address
from sassafraskeel.upstreams.pool import ConnectionPool

# Replicas of the local region accept connections within milliseconds.
CHECK_TIMEOUT_SECONDS = 0.3
# The calls that are lost with a replica share one check.
CHECK_VALID_SECONDS = 0.2
MAX_CHECKS = 1024


class _Check:
    def __init__(self, now: float):
        self.started_at = now
        self.finished = curio.Event()
        self.has_ended = False


class LivenessChecks:
    """Checks replicas by connecting to them; the connections go into the pool."""

    def __init__(self, clock: Clock, pool: ConnectionPool):
        self._clock = clock
        self._pool = pool
        self._checks: dict[Address, _Check] = {}

    async def has_ended(self, address: Address) -> bool:
        """Return whether nothing listens at the address of a replica.

        A replica that crashes ends its connections and takes no new ones until it is
        back. A reset, a cut or a broken answer leaves its listener as it is.
        """
        now = self._clock.monotonic()
        check = self._checks.get(address)
        if check is None or now - check.started_at >= CHECK_VALID_SECONDS:
            check = _Check(now)
            self._checks.pop(address, None)
            self._checks[address] = check
            if len(self._checks) > MAX_CHECKS:
                del self._checks[next(iter(self._checks))]
            try:
                check.has_ended = await self._refuses_connections(address)
            finally:
                await check.finished.set()
        await check.finished.wait()
        return check.has_ended

    async def _refuses_connections(self, address: Address) -> bool:
        try:
            async with self._clock.timeout(CHECK_TIMEOUT_SECONDS):
                conn = await self._pool.open(address)
        except TimedOut:
            return False
        except ConnectionLost:
            return True
        await self._pool.release(conn)
        return False
