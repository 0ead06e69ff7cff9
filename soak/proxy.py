"""A TCP proxy on loopback that injects network faults."""

from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import Address, Network, Stream
from sassafraskeel.core.tasks import SupervisedTaskGroup


class Fault(NamedTuple):
    """A fault of all connections of a proxy.

    `delay` is in seconds for each read. `forward` and `back` are False if the bytes of
    that direction are dropped while the connection stays open. `refuse` closes new
    connections at once.
    """

    delay: float = 0.0
    forward: bool = True
    back: bool = True
    refuse: bool = False


NO_FAULT = Fault()


class Proxy:
    """Relays connections to a target.

    Each connection has a task, which starts one more task for each direction.
    """

    def __init__(self, clock: Clock, network: Network, listen: Address, target):
        self._clock = clock
        self._network = network
        self._listen = listen
        self._target: Address = target
        self._tasks: set[curio.Task] = set()
        self.fault = NO_FAULT

    async def start(self, group: SupervisedTaskGroup) -> None:
        """Start to accept connections in a task of the group."""
        listener = await self._network.listen(self._listen)
        await group.spawn(self._accept, listener, group)

    async def reset(self) -> None:
        """Close all open connections."""
        for task in list(self._tasks):
            await task.cancel()

    async def _accept(self, listener, group: SupervisedTaskGroup) -> None:
        try:
            while True:
                client_stream = await listener.accept()
                await group.spawn(self._relay, client_stream)
        finally:
            await listener.close()

    async def _relay(self, client_stream: Stream) -> None:
        target_stream = None
        task = await curio.current_task()
        self._tasks.add(task)
        try:
            if not self.fault.refuse:
                target_stream = await self._network.connect(self._target)
                async with curio.TaskGroup(wait=any) as directions:
                    await directions.spawn(
                        self._copy, client_stream, target_stream, "forward"
                    )
                    await directions.spawn(
                        self._copy, target_stream, client_stream, "back"
                    )
        except ConnectionLost:
            pass  # The client's connection is closed, as if the target had crashed.
        finally:
            self._tasks.discard(task)
            await client_stream.close()
            if target_stream is not None:
                await target_stream.close()

    async def _copy(self, source: Stream, sink: Stream, direction: str) -> None:
        try:
            while data := await source.read():
                if self.fault.delay:
                    await self._clock.sleep(self.fault.delay)
                if getattr(self.fault, direction):
                    await sink.write(data)
        except ConnectionLost:
            return  # The task of the connection closes both streams.
