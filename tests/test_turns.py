"""Turns of tasks, for which all other tasks wait."""

import time
from unittest import TestCase

import curio
import h11

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.http import HttpConnection, request_events
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import (
    WRITE_SLICE_BYTES,
    TcpListener,
    TcpStream,
    wait_for_close,
)
from sassafraskeel.core.turns import LONG_TURN_SECONDS, MAX_TURN_SECONDS, TurnTimer
from tests.support.clock import VirtualClock
from tests.test_log import ListLog

# The time that each operation of a ReadySocket takes on the clock of the turns.
OPERATION_SECONDS = MAX_TURN_SECONDS / 5
OPERATIONS_IN_TURN = round(MAX_TURN_SECONDS / OPERATION_SECONDS) + 1
# A task that does not give way ends here instead of keeping the test for ever.
MAX_OPERATIONS = 500_000
TIMEOUT_SECONDS = 0.05
# A read takes it as a whole, since ReadySocket drops the rest.
CHUNK = b"1000\r\n" + bytes(0x1000) + b"\r\n"
# A write that takes longer than a turn.
SLOW_WRITE = b"slow"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class OperationClock(VirtualClock):
    """A clock that only the operations of a ReadySocket advance."""

    def __init__(self):
        super().__init__()
        self.operations = 0

    def count_operation(self, seconds=OPERATION_SECONDS):
        self.operations += 1
        self._seconds += seconds
        if self.operations > MAX_OPERATIONS:
            raise AssertionError("the task never gives way")


class ReadySocket:
    """A socket on which nothing ever has to wait, as the peer is always faster."""

    def __init__(self, clock, *data):
        self._clock = clock
        self._data = list(data)

    async def recv(self, max_bytes):
        self._clock.count_operation()
        return self._data.pop(0) if len(self._data) > 1 else self._data[0][:max_bytes]

    async def sendall(self, data):
        is_slow = data == SLOW_WRITE
        self._clock.count_operation(MAX_TURN_SECONDS if is_slow else OPERATION_SECONDS)

    async def accept(self):
        self._clock.count_operation()
        return self, ("10.0.0.2", 4000)

    async def shutdown(self, how):
        self._clock.count_operation()

    def setsockopt(self, *option):
        pass

    def getsockname(self):
        return "10.0.0.1", 80


class TurnTimerTest(TestCase):
    def test_long_turn(self):
        """Guards against a task that keeps the thread and leaves no trace of it."""
        log = ListLog()
        turns = TurnTimer(SystemClock(), log)

        async def work():
            turns.record_read("server 10.0.0.1:80")
            time.sleep(1.2 * LONG_TURN_SECONDS)
            await curio.sleep(0)

        curio.run(work, activations=[turns])
        [(event, fields)] = log.events
        self.assertIs(event, Event.LONG_TURN)
        self.assertEqual((fields["peer"], fields["reads"]), ("server 10.0.0.1:80", 1))
        self.assertEqual(turns.long_turns, 1)
        self.assertGreater(turns.longest_seconds, LONG_TURN_SECONDS)


class FairnessTest(TestCase):
    """Each test guards against a busy connection that keeps all other tasks waiting."""

    def run_busy(self, function, *data, times_out=True):
        """Run a busy task beside another one; check the turns and the time limit."""
        clock = OperationClock()
        turns = TurnTimer(clock, NullLog())
        sock = ReadySocket(clock, *data)
        stream = TcpStream(sock, turns, "server 10.0.0.1:80")

        async def main():
            passes = 0

            async def count_passes():
                nonlocal passes
                while True:
                    passes += 1
                    await curio.sleep(0)

            other = await curio.spawn(count_passes, daemon=True)
            if times_out:
                with self.assertRaises(TimedOut):
                    async with SystemClock().timeout(TIMEOUT_SECONDS):
                        await function(stream, sock, turns)
            else:
                await function(stream, sock, turns)
            await other.cancel()
            # The first and the last turn may be shorter.
            self.assertLessEqual(clock.operations, OPERATIONS_IN_TURN * (passes + 2))

        curio.run(main, activations=[turns])

    def test_reads(self):
        async def read(stream, sock, turns):
            while True:
                await stream.read()

        self.run_busy(read, b"a")

    def test_writes_after_reads(self):
        """The time limit must expire although all turns end at a write."""

        async def relay(stream, sock, turns):
            out = TcpStream(sock, turns, "client 10.0.0.2:4000")
            while True:
                data = await stream.read()
                await out.write(SLOW_WRITE)
                await out.write(data)

        self.run_busy(relay, b"a")

    def test_long_write(self):
        async def write(stream, sock, turns):
            while True:
                await stream.write(bytes(64 * WRITE_SLICE_BYTES))

        self.run_busy(write, b"")

    def test_accepts(self):
        async def accept(stream, sock, turns):
            listener = TcpListener(sock, None, turns)
            while True:
                await listener.accept()

        self.run_busy(accept, b"")

    def test_wait_for_close(self):
        async def wait(stream, sock, turns):
            closed = await wait_for_close(stream, SystemClock(), TIMEOUT_SECONDS)
            self.assertFalse(closed)

        self.run_busy(wait, b"a", times_out=False)

    def test_chunked_body(self):
        async def receive(stream, sock, turns):
            http = HttpConnection(stream, h11.CLIENT, SystemClock())
            await http.send(*request_events("GET", "/", ((b"host", b"a"),), b""))
            await http.next_event()
            while await http.read_data():
                pass

        self.run_busy(receive, STREAM_HEAD, CHUNK)


class FirstWriteTest(TestCase):
    def test_write_after_a_check(self):
        """Guards against a request that is sent some time after its last check."""
        clock = OperationClock()
        turns = TurnTimer(clock, NullLog())
        sock = ReadySocket(clock, b"a")

        async def main():
            stream = TcpStream(sock, turns, "server 10.0.0.1:80")
            await stream.write(b"probe")
            for _ in range(4 * OPERATIONS_IN_TURN):
                clock.count_operation()
            self.assertTrue(turns.is_over())
            await stream.read()
            for _ in range(4 * OPERATIONS_IN_TURN):
                clock.count_operation()
            number = turns.number
            await stream.write(b"request")
            self.assertEqual(turns.number, number)

        curio.run(main, activations=[turns])
