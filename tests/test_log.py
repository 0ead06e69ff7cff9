"""The list of events and the rate limit of the log."""

import io
import json
import re
from pathlib import Path
from unittest import TestCase

from sassafraskeel.core.events import Event
from sassafraskeel.core.log import (
    MAX_EVENTS_IN_WINDOW,
    MAX_FIELD_LENGTH,
    RateLimitedLog,
    StructuredLog,
)
from tests.support.clock import VirtualClock, run_virtual
from tests.test_callers_server import CHAT, chat, dial, post, read_all
from tests.test_host import World

CATALOGUE = Path(__file__).parent.parent / "docs" / "events.md"
ROW = re.compile(r"\| (\d+) \| (\w+) \| ([^|]+) \| ([^|]+) \| ([^|]+) \|")


class ListLog:
    """A sink that keeps every event."""

    def __init__(self):
        self.events = []

    def emit(self, event, **fields):
        self.events.append((event, fields))


class EventsTest(TestCase):
    def test_catalogue(self):
        """Guards against events that docs/events.md does not list, and stale rows."""
        rows = ROW.findall(CATALOGUE.read_text(encoding="utf-8"))
        listed = [(int(number), level, text) for number, level, text, *_ in rows]
        specs = [entry.value for entry in Event]
        expected = [(spec.number, spec.level.value, spec.message) for spec in specs]
        self.assertEqual(listed, sorted(expected))
        numbers = [spec.number for spec in specs]
        self.assertEqual(len(Event.__members__), len(set(numbers)))


class StructuredLogTest(TestCase):
    def test_long_fields(self):
        """Guards against lines as long as what a caller sends."""
        output = io.StringIO()
        log = StructuredLog(VirtualClock(), "host-1", output)
        log.emit(Event.CALL_REFUSED, call="a" * 30_000, detail="b" * 100)
        [line] = output.getvalue().splitlines()
        self.assertLess(len(line), MAX_FIELD_LENGTH + 1000)
        fields = json.loads(line)
        self.assertTrue(fields["call"].endswith("... (30000 characters)"))
        self.assertEqual(fields["detail"], "b" * 100)


class RateLimitedLogTest(TestCase):
    def test_repeated_events(self):
        """Guards against a log that fills the disk, and events dropped silently."""

        async def main(clock: VirtualClock):
            sink = ListLog()
            log = RateLimitedLog(sink, clock)
            for _ in range(1000):
                log.emit(Event.PEER_REJECTED, detail="x")
                log.emit(Event.CALL_FINISHED)
            log.emit(Event.PLATFORM_DOWN)
            self.assertEqual(len(sink.events), MAX_EVENTS_IN_WINDOW + 1)
            await clock.sleep(10)
            log.report_dropped()
            dropped = 1000 - MAX_EVENTS_IN_WINDOW
            fields = {"repeated": 503, "dropped": dropped}
            self.assertEqual(sink.events[-1], (Event.EVENTS_DROPPED, fields))
            self.assertEqual(log.dropped, dropped)
            log.emit(Event.PEER_REJECTED, detail="x")
            self.assertEqual(sink.events[-1][0], Event.PEER_REJECTED)

        run_virtual(main)

    def test_call_ids(self):
        """Guards against calls without an id in the log, and against logged prompts."""

        async def main(clock):
            world = World(clock)
            world.log = ListLog()
            await world.start()
            for host in world.hosts:
                host._recorder._log = world.log
            stream = await dial(world, 0)
            await stream.write(
                post(chat(1).replace(b"hi", b"secret"), CHAT, b"connection: close\r\n")
            )
            answer = await read_all(world, stream)
            call_id = re.search(rb"x-call-id: (\w+)", answer)[1].decode()
            ended = [
                fields
                for event, fields in world.log.events
                if event is Event.CALL_FINISHED
            ]
            self.assertEqual([fields["call"] for fields in ended], [call_id] * 2)
            hops = sorted(fields["hops"] for fields in ended)
            self.assertEqual(hops, ["", "host-0"])
            self.assertEqual({fields["served_by"] for fields in ended}, {"south-a"})
            self.assertNotIn("secret", repr(world.log.events))
            await world.close()

        run_virtual(main)
