"""The buffers of the kernel for answers of replicas."""

from unittest import TestCase

from sassafraskeel.core.http_client import ClientConnection
from sassafraskeel.core.net import LONG_ANSWER_BUFFERS, UPSTREAM_BUFFERS, Address
from tests.support.clock import run_virtual
from tests.support.network import deliver, stream_pair

HEAD = "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n"


class AnswerBuffersTest(TestCase):
    def check(self, size, during):
        """Check the buffers during and after an answer of some bytes."""

        async def main(clock):
            stream, replica = stream_pair()
            address = Address("10.0.0.1", 1)
            conn = ClientConnection(address, stream, clock, UPSTREAM_BUFFERS)
            await conn.send("GET", "/", (), b"")
            await deliver(replica, HEAD.format(size).encode() + bytes(size))
            await conn.receive_head()
            self.assertEqual(stream.buffers, during)
            while await conn.receive_data():
                pass
            self.assertTrue(conn.prepare_for_reuse())
            self.assertIn(stream.buffers, (None, UPSTREAM_BUFFERS))

        run_virtual(main)

    def test_long_answer(self):
        """Guards against a long answer that takes hundreds of round trips."""
        self.check(1_000_000, LONG_ANSWER_BUFFERS)

    def test_short_answer(self):
        """Guards against memory for the unread bytes of many streams."""
        self.check(1000, None)
