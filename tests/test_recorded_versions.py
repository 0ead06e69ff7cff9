"""The record of software versions in the store, for hosts that know nothing yet."""

import json
from unittest import TestCase

from sassafraskeel.core.errors import MalformedDocument
from sassafraskeel.decisions.version_history import UNKNOWN_VERSION, VersionHistory
from sassafraskeel.platform.documents import PlatformDocumentCodec, decode_versions
from sassafraskeel.store.interface import Change, StoreRevision
from sassafraskeel.store.updates import VersionsRecorded
from tests.support.routes import with_routes
from tests.support.version_streams import StreamCallers, prepare_replicas, whole
from tests.test_stream_versions import LONG_SECONDS, NORTH, ONE_VERSION
from tests.test_version_history import SECONDS, entry


async def replace_hosts(world):
    """Lose all hosts at once, and start others that have no memory."""
    for host in world.hosts:
        await host.close()
    world.hosts = [
        world.build_host(number, zone, seed=number + 100)
        for number, zone in enumerate(world.zones)
    ]
    for host in world.hosts:
        await host.start()
    await world.clock.sleep(0.5)


class AllHostsReplacedTest(TestCase):
    async def begin(self, world):
        await prepare_replicas(world)
        await world.clock.sleep(LONG_SECONDS)
        callers = StreamCallers(world)
        await callers.begin(*NORTH)
        return callers

    async def check_refused(self, world, callers):
        await replace_hosts(world)
        attempts = await callers.take_up(*NORTH)
        self.assertEqual({attempt.status for attempt in attempts}, {503})
        self.assertEqual(callers.versions("t"), {})

    @with_routes(**ONE_VERSION)
    async def test_single_version(self, world):
        """Guards against streams that are lost with the memory of all hosts."""
        callers = await self.begin(world)
        await replace_hosts(world)
        attempts = await callers.take_up(*NORTH)
        self.assertEqual(len(whole(attempts)), len(callers.numbers))

    @with_routes(**ONE_VERSION)
    async def test_version_that_ended(self, world):
        """Guards against hosts that take the listed version for that of a stream."""
        world.replicas[0].version = "v0"
        callers = await self.begin(world)
        await world.store.write(f"servers/{world.replicas[0].name}", None)
        await world.clock.sleep(3)
        await self.check_refused(world, callers)

    @with_routes(**ONE_VERSION)
    async def test_version_that_began(self, world):
        """Guards against a record that lacks a version that has just begun."""
        callers = await self.begin(world)
        replica = world.replicas[0]
        replica.version = "v2"
        await world.register_replica(replica, born=2)
        await world.clock.sleep(1.5)
        await world.store.write(f"servers/{replica.name}", None)
        await self.check_refused(world, callers)

    @with_routes(**ONE_VERSION)
    async def test_restored_store(self, world):
        """Guards against the record in a copy of the store, which may be outdated."""
        callers = await self.begin(world)
        for host in world.hosts:
            await host.close()
        await world.store.restore(world.store.copy())
        await self.check_refused(world, callers)


class RecordTest(TestCase):
    def setUp(self):
        self.history = VersionHistory()
        self.history.restart(0.0)
        self.history.listed(entry(), 0.0)

    def answer(self, until):
        for second in range(until + 1):
            self.history.answered(float(second))

    def new_record(self, now):
        return self.history.new_record(now, SECONDS)

    def test_first_record(self):
        """Guards against a record that denies versions from before it was begun."""
        first = {"desk": (UNKNOWN_VERSION, "v1")}
        self.assertEqual(self.new_record(0.0), first)
        self.history.recorded(first)
        self.assertIsNone(self.new_record(1.0))
        self.answer(10)
        self.assertEqual(self.new_record(SECONDS), {"desk": ("v1",)})

    def test_second_version(self):
        """Guards against versions that are left out, or stay on record for ever."""
        self.history.recorded({"desk": ("v1",), "other": ("v7",)})
        self.history.listed(entry("r-2", "v2"), 1.0)
        both = {"desk": ("v1", "v2"), "other": ("v7",)}
        self.assertEqual(self.new_record(1.0), both)
        self.history.recorded(both)
        self.history.dropped("r-1", 2.0)
        self.answer(12)
        self.assertIsNone(self.new_record(11.9))
        self.assertEqual(self.new_record(12.0), {"desk": ("v2",), "other": ("v7",)})

    def test_host_without_answers(self):
        """Guards against a host that is cut off and records what it knew."""
        self.assertIsNone(self.new_record(5.0))
        self.history.recorded({"desk": ("v1",)})
        self.assertEqual(self.history.single_version("desk", 1.0, SECONDS), "v1")
        self.assertEqual(self.history.single_version("desk", 1.0, SECONDS, 0.5), "")

    def test_document(self):
        """Guards against malformed documents, and versions that are changed in them."""
        record = VersionsRecorded(3, {"desk": ("", "\0r-1/5", "v1")})
        codec = PlatformDocumentCodec()
        key, value = codec.encode_versions(record)
        change = Change(key, value, StoreRevision(3, 7))
        self.assertEqual(codec.decode(change, 0.0), record)
        for content in (1, {}, {"era": 1, "services": {"desk": [1]}}):
            with self.assertRaises(MalformedDocument, msg=content):
                decode_versions(json.dumps(content).encode())
