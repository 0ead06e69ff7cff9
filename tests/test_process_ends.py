"""Processes that don't start, or end by themselves (issue 48, FAULT)."""

from unittest import TestCase

from tests.support.program import HostProgram

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
