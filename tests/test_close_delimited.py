"""Answers that have neither a length nor chunks and end with their connection."""

from unittest import TestCase

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import connect
from sassafraskeel.core.net import TcpNetwork
from tests.support.routes import ANY_PORT
from tests.support.scripted_replicas import (
    ENTRY_HOSTS,
    RECOVERY_SECONDS,
    STREAM_TYPE,
    chunked,
    script,
    with_scripts,
)

SIGNATURE = b"x-sassafraskeel-response-stamp"
BODY = b'{"stock": 12}'
PLAIN = script(BODY)
EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3))
WHOLE = b"".join(EVENTS)


def stream(body=WHOLE, end="close", cut=None, headers=()):
    """Return the script of an event stream, by default without length and chunks."""
    return script(body, STREAM_TYPE, *headers, end=end, cut=cut)


class PlainAnswerTest(TestCase):
    def _check_failure(self, head, detail):
        self.assertEqual(head.status, 502, detail)
        self.assertFalse(find_header(head.headers, SIGNATURE), detail)

    @with_scripts
    async def test_clean_end(self, replicas):
        """Guards against a complete answer that is refused for want of a length."""
        for host in ENTRY_HOSTS:
            for path in ("/read/1", "/order/1"):
                for body in (BODY, b""):
                    head, got, is_complete = await replicas.call(
                        path, [script(body)], host=host
                    )
                    self.assertEqual((head.status, got, is_complete), (200, body, True))
                    self.assertTrue(find_header(head.headers, SIGNATURE))
                    self.assertEqual(len(replicas.runs), 1)

    @with_scripts
    async def test_reset_order(self, replicas):
        """Guards against an answer that is reset on the way and passed on as whole."""
        for host in ENTRY_HOSTS:
            for cut in range(0, len(PLAIN.data), 17):
                scripts = [PLAIN._replace(end="reset", cut=cut)]
                head, _, _ = await replicas.call("/order/1", scripts, host=host)
                self._check_failure(head, (host, cut))
                self.assertEqual(len(replicas.runs), 1)
            scripts = [PLAIN._replace(end="reset")]
            head, _, _ = await replicas.call("/order/1", scripts, host=host)
            self._check_failure(head, (host, "whole"))

    @with_scripts
    async def test_reset_read(self, replicas):
        """Guards against a safe call that is not repeated after a reset."""
        body_start = len(PLAIN.data) - len(BODY)
        for host in ENTRY_HOSTS:
            for cut in (0, 20, body_start, body_start + 1, len(PLAIN.data)):
                scripts = [PLAIN._replace(end="reset", cut=cut), PLAIN]
                head, body, _ = await replicas.call("/read/1", scripts, host=host)
                self.assertEqual((head.status, body), (200, BODY), (host, cut))
                names = {name for name, _ in replicas.runs}
                self.assertEqual(len(names), 2, (host, cut))

    @with_scripts
    async def test_reset_of_both(self, replicas):
        """Guards against a truncated answer of the last attempt that is passed on."""
        broken = PLAIN._replace(end="reset")
        for host in ENTRY_HOSTS:
            head, _, _ = await replicas.call("/read/1", [broken, broken], host=host)
            self._check_failure(head, host)
            self.assertEqual(len(replicas.runs), 2)


class StreamTest(TestCase):
    def _rest_after(self, sent):
        """Return the events that end after the first `sent` bytes of the stream."""
        count = sum(len(b"".join(EVENTS[: n + 1])) <= sent for n in range(len(EVENTS)))
        return count, b"".join(EVENTS[count:])

    @with_scripts
    async def test_clean_end(self, replicas):
        """Guards against a whole stream that is broken off for want of a length."""
        for host in ENTRY_HOSTS:
            for path in ("/stream/chat/1", "/stream/draft/1"):
                for body in (WHOLE, WHOLE.replace(b"\n", b"\r\n")):
                    head, got, is_complete = await replicas.call(
                        path, [stream(body)], host=host
                    )
                    self.assertEqual((head.status, got, is_complete), (200, body, True))
                    self.assertEqual(len(replicas.runs), 1)

    @with_scripts
    async def test_reset_chat(self, replicas):
        """Guards against missing or doubled events after a reset of the replica.

        The cuts are before, in and right after the head, in events and between them.
        """
        head_size = len(stream(b"").data)
        for host in ENTRY_HOSTS:
            for cut in (0, 30, *range(head_size, head_size + len(WHOLE) + 1, 7)):
                count, rest = self._rest_after(cut - head_size)
                scripts = [stream(end="reset", cut=cut), stream(rest)]
                head, got, is_complete = await replicas.call(
                    "/stream/chat/1", scripts, host=host
                )
                self.assertEqual((head.status, got), (200, WHOLE), (host, cut))
                self.assertTrue(is_complete, (host, cut))
                self.assertEqual(replicas.resumed_after, [0, count], (host, cut))

    @with_scripts
    async def test_reset_draft(self, replicas):
        """Guards against a reset stream that cannot be resumed and looks complete."""
        head_size = len(stream(b"").data)
        for host in ENTRY_HOSTS:
            between = range(head_size, head_size + len(WHOLE) + 1, len(EVENTS[0]))
            for cut in (0, 30, head_size + 13, *between):
                count, _ = self._rest_after(cut - head_size)
                head, got, is_complete = await replicas.call(
                    "/stream/draft/1", [stream(end="reset", cut=cut)], host=host
                )
                self._check_broken_off(head, got, is_complete, count, (host, cut))
                self.assertEqual(len(replicas.runs), 1, (host, cut))

    def _check_broken_off(self, head, got, is_complete, count, detail):
        if head is not None and head.status != 200:
            self.assertEqual((head.status, count), (502, 0), detail)
            self.assertFalse(find_header(head.headers, SIGNATURE), detail)
            return
        self.assertEqual(got, b"".join(EVENTS[:count]), detail)
        self.assertFalse(is_complete, detail)

    def _cut_within_third_event(self, line_end):
        """Return bodies that end cleanly inside the third event, and the first two."""
        events = [event.replace(b"\n", line_end) for event in EVENTS]
        start = b"".join(events[:2])
        cuts = range(1, len(events[2]))
        return [start + events[2][:cut] for cut in cuts], start, events[2]

    @with_scripts
    async def test_clean_end_within_event(self, replicas):
        """Guards against a stream that ends inside an event and looks complete.

        The cuts are also inside the blank line that ends the event.
        """
        for host in ENTRY_HOSTS:
            for line_end in (b"\n", b"\r\n"):
                bodies, start, _ = self._cut_within_third_event(line_end)
                for body in (bodies[0], *bodies[-3:]):
                    for cut_stream in framings(body):
                        _, got, is_complete = await replicas.call(
                            "/stream/draft/1", [cut_stream], host=host
                        )
                        self.assertEqual(got, start, cut_stream)
                        self.assertFalse(is_complete, cut_stream)
                        self.assertEqual(len(replicas.runs), 1)

    @with_scripts
    async def test_resumed_after_clean_end(self, replicas):
        """Guards against an event that is lost or doubled where a stream goes on."""
        for host in ENTRY_HOSTS:
            for line_end in (b"\n", b"\r\n"):
                bodies, start, last = self._cut_within_third_event(line_end)
                for body in (bodies[0], *bodies[-3:]):
                    for cut_stream in framings(body):
                        _, got, is_complete = await replicas.call(
                            "/stream/chat/1", [cut_stream, stream(last)], host=host
                        )
                        self.assertEqual(got, start + last, cut_stream)
                        self.assertTrue(is_complete, cut_stream)
                        self.assertEqual(replicas.resumed_after, [0, 2])

    @with_scripts
    async def test_end_before_first_event(self, replicas):
        """Guards against a stream that is cut after its head and looks complete."""
        for host in ENTRY_HOSTS:
            head, got, is_complete = await replicas.call(
                "/stream/draft/1", [stream(b"")], host=host
            )
            self._check_broken_off(head, got, is_complete, 0, host)
            _, got, is_complete = await replicas.call(
                "/stream/chat/1", [stream(b""), stream()], host=host
            )
            self.assertEqual((got, is_complete), (WHOLE, True))
            self.assertEqual(replicas.resumed_after, [0, 0])

    @with_scripts
    async def test_empty_stream(self, replicas):
        """Guards against a needless second run of a stream that is empty by its length.

        A stream that goes on after its last event is empty too, in any framing.
        """
        for host in ENTRY_HOSTS:
            for path in ("/stream/draft/1", "/stream/chat/1"):
                for empty in framings(b"")[1:]:
                    _, got, is_complete = await replicas.call(path, [empty], host=host)
                    self.assertEqual((got, is_complete), (b"", True))
                    self.assertEqual(len(replicas.runs), 1)
            _, got, is_complete = await replicas.call(
                "/stream/chat/1", [stream(end="reset"), stream(b"")], host=host
            )
            self.assertEqual((got, is_complete), (WHOLE, True))
            self.assertEqual(replicas.resumed_after, [0, 3])

    @with_scripts
    async def test_clean_end_between_events(self, replicas):
        """Guards against a needless second run after a clean end between two events.

        Nothing shows that such a stream was cut (docs/platform.md, Questions).
        """
        cut_stream = stream(b"".join(EVENTS[:2]))
        for host in ENTRY_HOSTS:
            for path in ("/stream/chat/1", "/stream/draft/1"):
                _, got, is_complete = await replicas.call(path, [cut_stream], host=host)
                self.assertEqual(got, b"".join(EVENTS[:2]))
                self.assertTrue(is_complete)
                self.assertEqual(len(replicas.runs), 1)


class OldCallerTest(TestCase):
    async def _call(self, replicas, answer, host):
        """Call with HTTP/1.0; return the answer and whether it ended cleanly."""
        replicas.scripts[:] = [answer]
        world = replicas.world
        conn = await world.network.connect(world.hosts[host].cfg.listen.callers)
        await conn.write(
            b"POST /stream/draft/1 HTTP/1.0\r\nhost: app.example\r\n"
            b"x-sassafraskeel-request-id: 0001\r\ncontent-length: 0\r\n\r\n"
        )
        received = b""
        try:
            while data := await conn.read():
                received += data
        except ConnectionLost:
            return received, False
        return received, True

    @with_scripts
    async def test_clean_end(self, replicas):
        """Guards against a whole stream that is reset at its end."""
        for host in ENTRY_HOSTS:
            received, ended = await self._call(replicas, stream(), host)
            self.assertTrue(ended)
            self.assertEqual(received.partition(b"\r\n\r\n")[2], WHOLE)

    @with_scripts
    async def test_reset(self, replicas):
        """Guards against a cut stream that an HTTP/1.0 caller takes for complete."""
        cut = len(stream(b"".join(EVENTS[:2])).data)
        for host in ENTRY_HOSTS:
            received, ended = await self._call(
                replicas, stream(end="reset", cut=cut), host
            )
            self.assertFalse(ended, received)
            self.assertEqual(received.partition(b"\r\n\r\n")[2], b"".join(EVENTS[:2]))
            await replicas.world.clock.sleep(RECOVERY_SECONDS)


class SocketTest(TestCase):
    def _receive(self, reset):
        """Return an answer without a length, read from a socket that ends."""

        async def serve(listener):
            conn = await listener.accept()
            await conn.read()
            await conn.write(PLAIN.data)
            await (conn.reset() if reset else conn.close())

        async def main():
            network = TcpNetwork()
            listener = await network.listen(ANY_PORT)
            server = await curio.spawn(serve, listener)
            client = await connect(network, listener.address, SystemClock())
            try:
                await client.send("GET", "/read/1", (), b"")
                await client.receive_head(allow_close_delimited=True)
                body = b""
                while data := await client.receive_data():
                    body += data
                return body
            finally:
                await server.join()
                await client.close()
                await listener.close()

        return curio.run(main)

    def test_end_of_socket(self):
        """Guards against a reset of a real socket that is read as its end."""
        self.assertEqual(self._receive(reset=False), BODY)
        with self.assertRaises(ConnectionLost):
            self._receive(reset=True)


def framings(body):
    """Return streams with a body in each framing; each of them ends cleanly."""
    length = b"content-length: %d" % len(body)
    return (
        stream(body),
        stream(body, headers=(length,), end="keep"),
        stream(chunked(body), headers=(b"transfer-encoding: chunked",), end="keep"),
    )
