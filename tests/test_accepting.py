"""Listeners of processes that have no descriptor left for a while."""

import errno
from unittest import TestCase

import curio

from sassafraskeel.core.errors import AcceptFailed, ConnectionLost
from sassafraskeel.core.net import Address, TcpNetwork
from tests.support.routes import with_routes


class AcceptTest(TestCase):
    @with_routes
    async def test_hosts_accept_again(self, world):
        """Guards against a host that accepts no connection any more after a failure."""
        listeners = world.network.listeners
        for host in world.hosts:
            for address in host.cfg.listen:
                listeners[address[1]].failures = 2
        await world.clock.sleep(1)
        for host in (0, 1, 2, 0, 1, 2):
            async with world.clock.timeout(5):
                head, _ = await world.call("/read/1", host=host)
                self.assertEqual((head.status, await world.ready(host)), (200, 200))
                self.assertTrue(await world.directory(host))

    def test_listener_without_descriptors(self):
        """Guards against a lack of descriptors that is taken for a closed listener."""

        async def main():
            listener = await TcpNetwork().listen(Address("127.0.0.1", 0))
            accept = listener._sock.accept

            async def fail():
                raise OSError(errno.EMFILE, "too many open files")

            listener._sock.accept = fail
            with self.assertRaises(AcceptFailed):
                await listener.accept()
            listener._sock.accept = accept
            await TcpNetwork().connect(listener.address)
            await (await listener.accept()).close()
            await listener.close()
            with self.assertRaises(ConnectionLost) as caught:
                await listener.accept()
            self.assertNotIsInstance(caught.exception, AcceptFailed)

        curio.run(main)
