"""The system clock."""

from unittest import TestCase

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import TimedOut


class SystemClockTest(TestCase):
    def test_timeout_raises_timed_out(self):
        """Guards against curio's exception type, which this package does not catch."""
        clock = SystemClock()

        async def wait_forever(seconds):
            async with clock.timeout(seconds):
                await curio.Event().wait()

        async def nested():
            async with clock.timeout(0.001):
                await wait_forever(60)

        for function, args in ((wait_forever, (0.001,)), (nested, ())):
            with self.subTest(function.__name__), self.assertRaises(TimedOut) as raised:
                curio.run(function, *args)
            self.assertEqual(raised.exception.seconds, 0.001)
