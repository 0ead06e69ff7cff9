"""Streams of services whose replicas have several software versions (issue 42)."""

import json
from unittest import TestCase

from sassafraskeel.core.events import Event
from sassafraskeel.platform.documents import decode_replica
from tests.support.routes import with_routes
from tests.test_leaving_replicas import RecordingLog
from tests.test_route_host import drain_stream


class LogTest(TestCase):
    @with_routes(
        world_options={"replica_zones": ("north-a",) * 2, "zones": ("north-a",)}
    )
    async def test_sends(self, world):
        """Guards against logs that don't tell which version a stream was sent to."""
        log = RecordingLog()
        await world.hosts.pop().close()
        for number, zone in enumerate(("north-a", "south-a")):
            world.hosts.append(world.build_host(number, zone, log))
            await world.hosts[-1].start()
        await world.clock.sleep(2)
        await world.call("/stream/chat/1", "POST", call_id="c-1")
        world.replicas[0].crash_after = 2
        world.replicas[1].crash_after = 2
        headers = ((b"resumes", b"c-1"), (b"last-event-id", b"1"))
        conn = await world.open_call("/stream/chat/1", call_id="c-2", headers=headers)
        await world.clock.sleep(0.05)
        world.replicas[0].crash_after = world.replicas[1].crash_after = None
        await drain_stream(conn)
        sent = [
            (line["call"], line["resumes"], line["version"])
            for line in log.all(Event.CALL_SENT)
        ]
        self.assertEqual(
            sent, [("c-1", "", "v1"), ("c-2", "c-1", "v1"), ("c-2", "c-1", "v1")]
        )
        [line] = log.all(Event.STREAM_RESUMED)
        self.assertEqual((line["resumes"], line["version"]), ("c-1", "v1"))
        await world.call("/stream/chat/1", "POST", host=1, call_id="c-3")
        [forwarded] = [
            line for line in log.all(Event.CALL_SENT) if line["to"] == "host-0"
        ]
        self.assertEqual((forwarded["call"], forwarded["version"]), ("c-3", ""))

    @with_routes
    async def test_entry_without_version(self, world):
        """Guards against control characters in the versions that logs name."""
        entry = world.replicas[0].store_entry("desk", version=None)
        replica = decode_replica("r-0", json.dumps(entry).encode(), 0.0)
        self.assertEqual(replica.logged_version, "unversioned:r-0/1")
