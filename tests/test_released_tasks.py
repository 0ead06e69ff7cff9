"""What tasks hold is freed once they are over, without a garbage collection.

A host holds bodies of megabytes. Reference cycles would keep those of ended calls until
the next full collection, while the budget of held memory gives their room to others.
"""

import gc
import weakref
from unittest import TestCase

import curio

from sassafraskeel.calls.attempts import AttemptHistory, Target, run_attempts
from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run_refusal
from sassafraskeel.core.tasks import SupervisedTaskGroup, run_kernel


class Body:
    """Stands for the body of a request."""


class RefusingPolicy:
    """Finds one target, which refuses a call that may be retried, and no other one."""

    def __init__(self):
        self.targets = [Target("replica", None, None)]

    async def find_target(self, call, body, history):
        if self.targets:
            return self.targets.pop()
        raise not_run_refusal(Reason.NO_UPSTREAM, "no target is left")

    async def send_attempt(self, target, call, body, history):
        raise not_run_refusal(Reason.UPSTREAM_REFUSED)

    def may_retry(self, call, refusal, history):
        return True


class ReleasedTaskTest(TestCase):
    def check(self, function):
        """Check that a task frees a body that it holds when it is over."""

        async def main():
            body = Body()
            reference = weakref.ref(body)
            async with SupervisedTaskGroup() as group:
                task = await group.spawn(function, body)
                del body
                await curio.sleep(0)
                await task.cancel()
            del task
            self.assertIsNone(reference())

        gc.collect()
        gc.disable()
        try:
            run_kernel(main)
        finally:
            gc.enable()

    def test_timeout(self):
        """Guards against an expired time limit that keeps what its task held."""

        async def wait(body):
            try:
                async with SystemClock().timeout(0):
                    await curio.Event().wait()
            except TimedOut:
                return

        self.check(wait)

    def test_cancelled(self):
        """Guards against a cancelled task that keeps what it held."""

        async def wait(body):
            await curio.Event().wait()

        self.check(wait)

    def test_cancellation_handled(self):
        """Guards against a caller that left and keeps what its task held."""

        async def wait(body):
            try:
                await curio.Event().wait()
            except curio.CancelledError:
                await curio.sleep(0)

        self.check(wait)

    def test_current_task(self):
        """Guards against a finished task that refers to itself."""

        async def ask(body):
            (await curio.current_task()).body = body

        self.check(ask)

    def test_refused(self):
        """Guards against a refusal that keeps the body of its call."""

        async def run(body):
            try:
                await run_attempts(RefusingPolicy(), None, body, AttemptHistory())
            except Refusal:
                return

        self.check(run)
