"""A pool of connections to upstreams."""

import itertools
import math
from collections import deque

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.http_client import ClientConnection, connect
from sassafraskeel.core.net import UPSTREAM_BUFFERS, Address, Network
from sassafraskeel.core.settings import UpstreamSection

# Part of the announced keep-alive time during which an idle connection is used. The
# upstream closes the connection at the end of that time, and its close may be in
# transit when the next call is sent.
KEEP_ALIVE_FRACTION = 0.7
# Bounds the memory for the ids of the calls that a connection carried.
MAX_CALLS_PER_CONNECTION = 128


class ConnectionPool:
    """Keeps idle connections by address, bounded in number, age and idle time."""

    def __init__(self, cfg: UpstreamSection, clock: Clock, network: Network):
        self._cfg = cfg
        self._clock = clock
        self._network = network
        self._idle: dict[Address, deque[ClientConnection]] = {}
        self._numbers = itertools.count(1)

    async def take(
        self, address: Address, max_idle: float | None = None, call_id: str = ""
    ) -> ClientConnection | None:
        """Return an idle connection on which nothing has arrived, or None.

        `max_idle` further bounds the idle time of the connection, in seconds. A
        connection that carried the call `call_id` before is not returned: a late copy
        of the first answer could not be told from the next one.
        """
        while (conn := self._remove_latest(address, max_idle, call_id)) is not None:
            if self._is_fresh(conn) and await conn.is_open_and_idle(self._clock):
                return conn
            await conn.close()
        return None

    def _remove_latest(self, address, max_idle, call_id) -> ClientConnection | None:
        idle = self._idle.get(address, ())
        for index in reversed(range(len(idle))):
            conn = idle[index]
            if max_idle is not None and not self._is_fresh(conn, max_idle):
                return None  # The other connections have been idle for longer.
            if call_id not in conn.call_ids:
                del idle[index]
                return conn
        return None

    async def open(self, address: Address) -> ClientConnection:
        """Return a new connection; raise ConnectionLost or TimedOut."""
        async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
            conn = await connect(self._network, address, self._clock, UPSTREAM_BUFFERS)
        conn.number = next(self._numbers)
        return conn

    async def release(self, conn: ClientConnection) -> None:
        """Keep a connection after a complete answer, or close it if it is unusable."""
        idle = self._idle.setdefault(conn.address, deque())
        while idle and not self._is_fresh(idle[0]):
            await idle.popleft().close()
        has_room = (
            len(idle) < self._cfg.pool_size
            and len(conn.call_ids) < MAX_CALLS_PER_CONNECTION
        )
        if conn.prepare_for_reuse() and has_room:
            conn.used_at = self._clock.monotonic()
            idle.append(conn)
        else:
            await conn.close()

    async def drop(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for conn in self._idle.pop(address, ()):
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            await self.drop(address)

    def _is_fresh(self, conn: ClientConnection, max_idle: float = math.inf) -> bool:
        now = self._clock.monotonic()
        max_idle = min(max_idle, self._cfg.pool_max_idle.total_seconds())
        if conn.keep_alive_seconds is not None:
            max_idle = min(max_idle, KEEP_ALIVE_FRACTION * conn.keep_alive_seconds)
        return (
            now - conn.used_at < max_idle
            and now - conn.opened_at < self._cfg.pool_max_age.total_seconds()
        )
