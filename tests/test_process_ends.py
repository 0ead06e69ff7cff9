"""Processes that don't start, or end by themselves (issue 48, FAULT)."""

import contextlib
import itertools
import os
import signal
import socket
import time
from pathlib import Path
from unittest import TestCase

from sassafraskeel.core.accepting import LISTEN_WAIT_SECONDS, listen_when_free
from sassafraskeel.core.errors import AddressUnavailable
from sassafraskeel.core.net import RESET_AT_CLOSE, Address, parse_address
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.program import WAIT_SECONDS, HostProgram, SheetProgram
from tests.test_log import ListLog

LOOPBACK = ("127.0.0.1", 0)

FAILING_START = """
@after("sassafraskeel.route_host")
def fail(module):
    async def start(self):
        raise ZeroDivisionError("no reason")
    module.RouteHost.start = start
"""
FAILING_KERNEL = """
@after("sassafraskeel.core.turns")
def fail(module):
    def suspended(self, task, trap):
        if trap and trap[0] == "trap_sleep":
            raise FileNotFoundError("a descriptor is gone")
    module.TurnTimer.suspended = suspended
"""
NO_WAIT = """
@after("sassafraskeel.core.accepting")
def set_wait(module):
    module.LISTEN_WAIT_SECONDS = 0.0
"""
# The import of the event loop is among the first ones of the daemon.
PAUSED_IMPORT = """
@before("curio")
def wait():
    pause("import")
"""
PAUSED_EXIT = """
import atexit
atexit.register(pause, "exit")
"""
FAILING_RELOAD = """
@after("sassafraskeel.platform.daemon")
def fail(module):
    def report(host, path):
        raise ZeroDivisionError("no reason")
    module._report_changed_settings = report
"""


def addresses_in_use(program):
    """Return the addresses that a program has waited for."""
    return [event["address"] for event in program.events(112)]


class FailureLineTest(TestCase):
    """An end that nobody asked for leaves a line that says why."""

    def check(self, code, error):
        with HostProgram(code) as program:
            program.start()
            self.assertEqual(program.wait(), 1)
            [line] = program.events(111)
            self.assertEqual(line["type"], error)
            self.assertTrue(line["detail"])
            self.assertIn(".py:", line["where"])

    def test_start_fails(self):
        """Guards against a start that fails without a line of the log."""
        self.check(FAILING_START, "ZeroDivisionError")

    def test_kernel_fails(self):
        """Guards against an error of the event loop that leaves no line of the log."""
        self.check(FAILING_KERNEL, "FileNotFoundError")


class AddressTest(TestCase):
    """Addresses of listeners that something else has at the start."""

    def test_other_listener(self):
        """Guards against a host that ends because its predecessor still listens."""
        for name in ("callers", "gateways", "readiness", "directory"):
            with HostProgram() as program:
                holder = socket.create_server(parse_address(program.listen[name]))
                program.start()
                self.check_start(program, name, holder)

    def test_outgoing_connection(self):
        """Guards against a host that ends because a connection of another process has
        the port of its listener.
        """
        with HostProgram() as program, socket.create_server(LOOPBACK) as server:
            holder = socket.socket()
            holder.bind(parse_address(program.listen["callers"]))
            holder.connect(server.getsockname())
            # The close resets the connection, so that its port is free at once.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            program.start()
            self.check_start(program, "callers", holder)

    def check_start(self, program, name, holder):
        """Check that a host waits for an address and starts once it is free."""
        address = program.listen[name]
        self.assertEqual(program.wait_event(112)["address"], address)
        self.assertEqual(program.events(101), [])
        holder.close()
        program.wait_event(101)
        socket.create_connection(parse_address(address)).close()

    def test_metrics(self):
        """Guards against a host that serves nobody since its fixed port is in use."""
        with HostProgram() as program:
            address = parse_address(program.listen["metrics"])
            with socket.create_server(address):
                program.start()
                program.wait_event(101)
                # Another listener's port may be taken for a moment, too.
                program.wait_for(lambda: str(address) in addresses_in_use(program))
            program.wait_for(lambda: connects(address))

    def test_no_address_of_the_machine(self):
        """Guards against a traceback in place of a message, and against a host that
        waits without end.
        """

        async def main(clock):
            network = MemoryNetwork()
            listen, failures = network.listen, itertools.count(1)

            async def fail(address):
                raise AddressUnavailable(f"{address}: {next(failures)}")

            network.listen = fail
            address = Address("127.0.0.1", 1)
            started_at, log = clock.monotonic(), ListLog()
            with self.assertRaises(AddressUnavailable):
                await listen_when_free(network, address, clock, log)
            seconds = clock.monotonic() - started_at
            self.assertAlmostEqual(seconds, LISTEN_WAIT_SECONDS, delta=1.0)
            self.assertEqual(len(log.events), 1)
            network.listen = listen
            listener = await listen_when_free(network, address, clock, log)
            self.assertEqual(listener.address, address)

        run_virtual(main)

    def test_message(self):
        """Guards against a traceback for what an operator can correct."""
        with HostProgram(NO_WAIT) as program:
            address = parse_address(program.listen["gateways"])
            with socket.create_server(address):
                program.start()
                program.wait()
            self.assertEqual(program.wait(), 2)
            self.assertIn("cannot listen on", program.output())
            self.assertNotIn("Traceback", program.output())
            [line] = program.events(111)
            self.assertIn(program.listen["gateways"], line["detail"])


def connects(address) -> bool:
    """Return whether a listener takes connections."""
    try:
        socket.create_connection(address).close()
    except OSError:
        return False
    return True


class SignalTest(TestCase):
    """Signals while a process starts or ends, whose default action would end it."""

    def test_during_the_imports(self):
        """Guards against a changed settings file that ends a starting host."""
        with HostProgram(PAUSED_IMPORT) as program:
            program.start()
            program.wait_reached("import")
            program.send_signal(signal.SIGHUP)
            program.let_pass("import")
            program.wait_event(101)
            program.wait_event(107)
            self.assertEqual(program.stop(), 0)

    def test_stop_during_the_imports(self):
        """Guards against a planned stop of a starting host that looks like a crash."""
        with HostProgram(PAUSED_IMPORT) as program:
            program.start()
            program.wait_reached("import")
            program.send_signal(signal.SIGTERM)
            program.let_pass("import")
            self.assertEqual(program.wait(), 0)

    def test_stop_while_waiting_for_an_address(self):
        """Guards against a host that can't be stopped while it waits to start."""
        with HostProgram() as program:
            with socket.create_server(parse_address(program.listen["callers"])):
                program.start()
                program.wait_event(112)
                started_at = time.monotonic()
                self.assertEqual(program.stop(), 0)
                self.assertLess(time.monotonic() - started_at, LISTEN_WAIT_SECONDS)
            self.assertEqual(program.events(101), [])

    def test_after_the_drain(self):
        """Guards against a signal that ends an exiting process with a failure."""
        for number in (signal.SIGHUP, signal.SIGTERM):
            with HostProgram(PAUSED_EXIT) as program:
                program.start()
                program.wait_event(101)
                program.send_signal(signal.SIGTERM)
                program.wait_reached("exit")
                program.send_signal(number)
                program.let_pass("exit")
                self.assertEqual(program.wait(), 0)

    def test_error_while_reading_settings(self):
        """Guards against a host that stops as it can't read its settings again."""
        with HostProgram(FAILING_RELOAD) as program:
            program.start()
            program.wait_event(101)
            program.send_signal(signal.SIGHUP)
            program.wait_event(103)
            program.send_signal(signal.SIGHUP)
            program.wait_for(lambda: len(program.events(103)) == 2)
            self.assertEqual(program.events(104), [])
            self.assertEqual(program.stop(), 0)


class StandardStreamTest(TestCase):
    """Standard streams that are closed, broken, or read by nobody."""

    def test_closed(self):
        """Guards against a host of routes that doesn't start without a stream."""
        for redirections in (">&-", "2>&-", "<&- >&- 2>&-"):
            with HostProgram() as program:
                program.start(redirections)
                self.check_serving(program, program.listen["readiness"])

    def test_descriptors(self):
        """Guards against sockets that get the descriptors of closed streams, so that
        what the process prints is sent to a peer.
        """
        with HostProgram() as program:
            program.start("<&- >&- 2>&-")
            self.check_serving(program, program.listen["readiness"])
            folder = Path(f"/proc/{program.process.pid}/fd")
            for fd in ("0", "1", "2"):
                self.assertEqual((folder / fd).resolve(), Path(os.devnull))

    def test_broken_pipe(self):
        """Guards against a host of a sheet that ends as its log has no reader."""
        with SheetProgram() as program:
            reader, writer = os.pipe()
            os.close(reader)
            program.start(stderr=writer)
            os.close(writer)
            self.check_serving(program, program.callers)

    def test_full_pipe(self):
        """Guards against a host of a sheet that waits for the reader of its log."""
        with SheetProgram() as program:
            reader, writer = os.pipe()
            os.set_blocking(writer, False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(writer, bytes(4096))
            os.set_blocking(writer, True)
            program.start(stderr=writer)
            self.check_serving(program, program.callers)
            os.close(reader)
            os.close(writer)

    def check_serving(self, program, address):
        """Check that a process answers a request."""
        program.wait_for(lambda: connects(parse_address(address)))
        with socket.create_connection(parse_address(address), WAIT_SECONDS) as sock:
            sock.sendall(b"GET /health HTTP/1.1\r\nHost: a\r\n\r\n")
            self.assertTrue(sock.recv(1).startswith(b"H"))
