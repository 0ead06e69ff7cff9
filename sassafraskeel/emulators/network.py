"""Emulated wide-area network with delays, cuts and silent connections."""

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import (
    LINK_BUFFERS,
    READ_SIZE_BYTES,
    Address,
    BufferSizes,
    Listener,
    Network,
    Stream,
)
from sassafraskeel.core.tasks import SupervisedTaskGroup

MAX_CHUNKS_IN_TRANSIT = 1024


class Wan:
    """Delays and cuts between the local site and others, changeable at any time.

    A site is a failure domain, `platform` or `clients`. `sites` maps addresses to
    sites; connections to other addresses are neither delayed nor cut. `delays` are
    one-way delays in seconds. Data to the sites in `cut_out` and from those in
    `cut_in` is lost.
    """

    def __init__(self, sites: dict[Address, str], delays: dict[str, float]):
        self.sites = sites
        self.delays = delays
        self.cut_out: set[str] = set()
        self.cut_in: set[str] = set()
        self._held_open: list[Stream] = []

    def site_of(self, address: Address) -> str:
        """Return the site of an address, or "" if it is not listed."""
        return self.sites.get(address, "")

    def hold_open(self, stream: Stream) -> None:
        """Keep a silent connection open, so that its remote end sees no close."""
        self._held_open.append(stream)

    def delay(self, site: str) -> float:
        """Return the one-way delay to a site in seconds."""
        return self.delays.get(site, 0.0)


class WanNetwork:
    """Wraps a network; outgoing connections cross the Wan."""

    def __init__(self, inner: Network, clock: Clock, wan: Wan):
        self._inner = inner
        self._clock = clock
        self._wan = wan

    async def connect(
        self, address: Address, buffers: BufferSizes = LINK_BUFFERS
    ) -> Stream:
        site = self._wan.site_of(address)
        if not site:
            return await self._inner.connect(address, buffers)
        await self._clock.sleep(2 * self._wan.delay(site))
        if site in self._wan.cut_out or site in self._wan.cut_in:
            # SYN packets are lost; only a timeout set by the caller ends the wait.
            await curio.Event().wait()
        inner = await self._inner.connect(address, buffers)
        stream = _WanStream(inner, self._clock, self._wan, site)
        await stream.start()
        return stream

    async def listen(self, address: Address) -> Listener:
        return await self._inner.listen(address)


class _WanStream:
    """Delays data in both directions; stays silent after a cut has lost data."""

    def __init__(self, inner: Stream, clock: Clock, wan: Wan, site: str):
        self._inner = inner
        self._clock = clock
        self._wan = wan
        self._site = site
        self._group = SupervisedTaskGroup(lambda exc: None)
        self._inbound = curio.Queue(MAX_CHUNKS_IN_TRANSIT)
        self._outbound = curio.Queue(MAX_CHUNKS_IN_TRANSIT)
        self._reader = None
        self._unread = b""
        self._reset = False
        self._silent = False
        self._closed = False

    async def start(self) -> None:
        self._reader = await self._group.spawn(self._forward_inbound)
        await self._group.spawn(self._forward_outbound)

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        if not self._unread:
            arrival, data = await self._inbound.get()
            await self._wait_until(arrival)
            if data is None:
                self._reset = True
                raise ConnectionLost("connection reset")
            self._unread = data
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return data

    async def write(self, data: bytes) -> None:
        if self._reset or self._closed:
            raise ConnectionLost("connection reset")
        await self._outbound.put((self._arrival_time(), data))

    async def end_writing(self) -> None:
        """Close, since a connection through the Wan is only closed as a whole."""
        await self.close()

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            await self._outbound.put((self._arrival_time(), None))

    def _arrival_time(self) -> float:
        return self._clock.monotonic() + self._wan.delay(self._site)

    async def _wait_until(self, arrival):
        await self._clock.sleep(arrival - self._clock.monotonic())

    async def _forward_inbound(self):
        data = b"-"
        while data:
            try:
                data = await self._inner.read()
            except ConnectionLost:
                data = None
            if self._site in self._wan.cut_in:
                self._silent = True
            if self._silent:
                await curio.Event().wait()
            await self._inbound.put((self._arrival_time(), data))

    async def _forward_outbound(self):
        while True:
            arrival, data = await self._outbound.get()
            await self._wait_until(arrival)
            if self._site in self._wan.cut_out:
                self._silent = True
            if data is None:
                await self._close_inner()
                return
            if not self._silent:
                try:
                    await self._inner.write(data)
                except ConnectionLost:
                    self._reset = True

    async def _close_inner(self):
        await self._reader.cancel()
        if self._silent:
            self._wan.hold_open(self._inner)
        else:
            await self._inner.close()
