"""Sockets that a task closes while other tasks wait for them, or are about to run."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import Address, TcpNetwork

# More than the buffers of a connection on loopback hold.
LONG_WRITE = bytes(16 * 1024 * 1024)
WAIT_SECONDS = 30.0


class ClosedSocketTest(TestCase):
    """Each test guards against the next socket with the same descriptor, which ends the
    event loop, or fails in a task that has nothing to do with the close.
    """

    def run_pairs(self, function):
        """Run a coroutine function with a listener and two pairs of connections."""

        async def main():
            self.network = TcpNetwork()
            listener = await self.network.listen(Address("127.0.0.1", 0))
            pairs = [await self.connect(listener) for _ in range(2)]
            async with curio.timeout_after(WAIT_SECONDS):
                await function(listener, *pairs)

        curio.run(main)

    async def connect(self, listener):
        near = await self.network.connect(listener.address)
        return near, await listener.accept()

    async def check_next_sockets(self, listener):
        """Check that new connections, which get free descriptors, carry data."""
        for _ in range(3):
            near, far = await self.connect(listener)
            writing = await curio.spawn(near.write, LONG_WRITE)
            size = 0
            while size < len(LONG_WRITE):
                size += len(await far.read())
            await writing.join()

    async def check_lost(self, task):
        """Check that a task sees the close."""
        with self.assertRaises(curio.TaskError) as caught:
            await task.join()
        self.assertIsInstance(caught.exception.__cause__, ConnectionLost)

    def test_waiting_reader(self):
        """See the class."""

        async def main(listener, first, second):
            task = await curio.spawn(first[0].read)
            await curio.sleep(0.01)
            await first[0].close()
            await self.check_next_sockets(listener)
            await self.check_lost(task)

        self.run_pairs(main)

    def test_waiting_writer(self):
        """See the class."""

        async def main(listener, first, second):
            task = await curio.spawn(first[0].write, LONG_WRITE)
            await curio.sleep(0.01)
            await first[0].close()
            await self.check_next_sockets(listener)
            await self.check_lost(task)

        self.run_pairs(main)

    def test_waiting_reader_and_writer(self):
        """See the class."""

        async def main(listener, first, second):
            tasks = [
                await curio.spawn(first[0].read),
                await curio.spawn(first[0].write, LONG_WRITE),
            ]
            await curio.sleep(0.01)
            await first[0].reset()
            await self.check_next_sockets(listener)
            for task in tasks:
                await self.check_lost(task)

        self.run_pairs(main)

    def test_woken_reader(self):
        """See the class; the reader has been woken and has not run yet."""

        async def main(listener, first, second):
            async def close():
                await second[0].read()
                await first[0].close()
                # Unlike TcpNetwork.connect, this looks no address up in a thread.
                await curio.socket.socket().connect(listener.address)

            closing = await curio.spawn(close)
            reading = await curio.spawn(first[0].read)
            await curio.sleep(0.01)
            # Both are woken at once, in this order.
            await second[1].write(b"a")
            await first[1].write(b"a")
            await closing.join()
            await listener.accept()
            await reading.wait()
            await self.check_next_sockets(listener)

        self.run_pairs(main)

    def test_accepting_task(self):
        """See the class."""

        async def main(listener, first, second):
            other = await self.network.listen(Address("127.0.0.1", 0))
            task = await curio.spawn(other.accept)
            await curio.sleep(0.01)
            await other.close()
            await self.check_next_sockets(listener)
            await self.check_lost(task)

        self.run_pairs(main)

    def test_cancellation_after_a_close(self):
        """Guards against a task that can't be cancelled since it has seen a close."""

        async def main(listener, first, second):
            async def read_on():
                with self.assertRaises(ConnectionLost):
                    await first[0].read()
                await curio.sleep(2 * WAIT_SECONDS)

            task = await curio.spawn(read_on)
            await curio.sleep(0.01)
            await first[0].close()
            await curio.sleep(0.01)
            await task.cancel()

        self.run_pairs(main)
