"""Prompts with a part that crashes the replicas, among sound ones."""

import random
from unittest import TestCase

import curio

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.types import (
    Call,
    CallKind,
    Prompt,
    PromptPart,
    RoutePolicy,
)
from sassafraskeel.decisions.health import BACKOFF_MAX_SECONDS
from sassafraskeel.emulators.faults import AnswerFault
from tests.support.routes import with_routes

DEADLY = "d00d"
FIRST = "f1"
# The bounds of the users' rule, in seconds after the fifth crash.
STABLE_SECONDS = 6.0
ANSWERED_SECONDS = 12.0
MAX_CRASHES = 5
FLEET = {
    "replica_zones": ("north-a",) * 3 + ("south-a",) * 3,
    "zones": ("north-a", "north-a", "south-a", "south-a"),
}


def prompt_headers(*parts):
    """Return the headers of a prompt with 100 tokens in each part."""
    prefix = ",".join(f"{part}:100" for part in parts)
    return (
        (b"x-sassafraskeel-model", b"m"),
        (b"x-sassafraskeel-token-count", f"{100 * len(parts)},10".encode()),
        (b"x-sassafraskeel-prompt-prefix", prefix.encode()),
    )


def deadly_call():
    """Return a call with the deadly part alone before its own."""
    prompt = Prompt("m", 2, 1, (PromptPart(DEADLY, 1), PromptPart("own", 1)))
    policy = RoutePolicy("drafts", 1, False, False, 1.0, 1.0, 1, prompt=prompt)
    return Call("", "", "desk", CallKind.MODEL, "", "", (), 0.0, route_policy=policy)


class Load:
    """Sends sound and deadly calls to a world and records what became of them."""

    def __init__(self, world, path):
        self.world = world
        self.path = path
        self.rng = random.Random(1)
        self.sound: list[tuple[float, int]] = []
        self.deadly: list[tuple[float, int]] = []
        self._number = 0
        self._tasks = []
        for replica in world.replicas:
            replica.crash_part = DEADLY

    @property
    def crashes(self):
        """Return the times of all crashes, in order."""
        return sorted(at for r in self.world.replicas for at in r.crashes)

    async def send(self, records, *parts):
        """Send a call with parts that others share, and a part of its own."""
        self._number += 1
        call_id, now = f"c-{self._number}", self.world.clock.monotonic()
        headers = prompt_headers(*parts, f"{self._number:x}")
        host = self.rng.randrange(len(self.world.hosts))
        path = f"{self.path}{self._number}"
        records.append((now, await self._ask(path, host, call_id, headers)))

    async def _ask(self, path, host, call_id, headers):
        """Return the status of a call, 0 if its answer broke off."""
        try:
            head, _ = await self.world.call(
                path, "POST", host, call_id, headers=headers
            )
        except SassafraskeelError:
            return 0
        return head.status

    async def start(self, records, *parts):
        """Send a call in a task of its own."""
        self._tasks.append(await curio.spawn(self.send, records, *parts))

    async def start_again(self, path, host):
        """Send a request that has no part of its own in a task."""
        self._number += 1
        call = self._ask(path, host, f"c-{self._number}", ())
        self._tasks.append(await curio.spawn(call))

    async def run(self, seconds, deadly_every=5):
        """Send ten calls a second, each `deadly_every`-th one of them deadly."""
        for step in range(int(seconds * 10)):
            shared = f"e{self.rng.randrange(4)}"
            if deadly_every and step % deadly_every == 0:
                await self.start(self.deadly, FIRST, shared, DEADLY)
            else:
                await self.start(self.sound, FIRST, shared)
            await self.world.clock.sleep(0.1)
        await self.finish()

    async def finish(self):
        """Wait for the calls that were started."""
        for task in self._tasks:
            await task.join()
        self._tasks.clear()


def answered_share(records, since):
    """Return the share of the calls sent after a time that were answered."""
    statuses = [status for at, status in records if at >= since]
    return sum(status == 200 for status in statuses) / len(statuses)


class DeadlyPartTest(TestCase):
    def check(self, load):
        crashes = load.crashes
        self.assertLessEqual(len(crashes), MAX_CRASHES, crashes)
        self.assertGreaterEqual(len(crashes), 1)
        share = answered_share(load.sound, crashes[-1] + ANSWERED_SECONDS)
        self.assertGreater(share, 0.95)
        late = [s for at, s in load.deadly if at > crashes[-1] + STABLE_SECONDS]
        self.assertEqual(set(late), {503})

    @with_routes(world_options=FLEET)
    async def test_requests_crash_replicas_without_end(self, world):
        """Guards against a deadly part that crashes replica after replica."""
        load = Load(world, "/stream/draft/")
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_resumable_streams(self, world):
        """Guards against resumptions that take the deadly part to more replicas."""
        load = Load(world, "/stream/chat/")
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_crash_after_the_first_event(self, world):
        """Guards against a first event that takes the blame off a deadly part."""
        load = Load(world, "/stream/draft/")
        for replica in world.replicas:
            replica.crash_events = 1
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_resumed_crash_after_the_first_event(self, world):
        """Guards against resumptions of streams that crash after their first event."""
        load = Load(world, "/stream/chat/")
        for replica in world.replicas:
            replica.crash_events = 1
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_crash_after_the_head_of_a_plain_answer(self, world):
        """Guards against a head that shows that a replica survived a plain call."""
        load = Load(world, "/read/")
        for replica in world.replicas:
            replica.crash_events = 1
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_plain_answers(self, world):
        """Guards against repeats of reads that take the deadly part further."""
        load = Load(world, "/read/")
        await load.run(30)
        self.check(load)

    @with_routes(world_options=FLEET)
    async def test_request_comes_again(self, world):
        """Guards against a request that comes again, with a new id, and crashes on.

        The users allow three retries later than six seconds after the third crash.
        """
        load = Load(world, "/read/")
        for replica in world.replicas:
            replica.crash_path = "/read/deadly"
        for step in range(200):
            if step % 5 == 0:
                await load.start_again("/read/deadly", step // 5 % 4)
            await load.start(load.sound, FIRST, "e1")
            await world.clock.sleep(0.1)
        await load.finish()
        late = [at for at in load.crashes if at > load.crashes[2] + STABLE_SECONDS]
        self.assertLessEqual(len(late), 3, load.crashes)
        self.assertLessEqual(len(load.crashes), MAX_CRASHES, load.crashes)
        self.assertGreater(answered_share(load.sound, load.crashes[-1] + 6), 0.95)

    @with_routes(world_options=FLEET)
    async def test_all_hosts_replaced(self, world):
        """Guards against evidence that is lost with the hosts."""
        load = Load(world, "/stream/draft/")
        await load.run(10)
        count = len(load.crashes)
        for host in world.hosts:
            await host.close()
        world.hosts = [
            world.build_host(number + 4, zone)
            for number, zone in enumerate(FLEET["zones"])
        ]
        for host in world.hosts:
            await host.start()
        await world.clock.sleep(7)
        await load.run(10)
        self.assertEqual(len(load.crashes), count)

    async def check_pause(self, world, load):
        """Send deadly calls in a pause of the sound ones, which then go on."""
        for _ in range(30):
            await load.start(load.deadly, FIRST, "e1", DEADLY)
            await world.clock.sleep(0.2)
        load.sound.clear()
        for _ in range(200):
            await load.start(load.deadly, FIRST, "e1", DEADLY)
            await load.start(load.sound, FIRST, "e1")
            await world.clock.sleep(0.1)
        await load.finish()
        crashes = load.crashes
        counted = crashes[min(4, len(crashes) - 1)]
        late = [at for at in crashes if at > counted + STABLE_SECONDS]
        self.assertLessEqual(len(late), 3, crashes)
        share = answered_share(load.sound, counted + ANSWERED_SECONDS)
        self.assertGreater(share, 0.95)

    @with_routes(world_options=FLEET)
    async def test_deadly_part_in_a_pause(self, world):
        """Guards against sound calls that are refused after crashes in their pause."""
        load = Load(world, "/stream/draft/")
        for _ in range(50):
            await load.start(load.sound, FIRST, "e1")
            await world.clock.sleep(0.1)
        await self.check_pause(world, load)

    @with_routes(world_options=FLEET)
    async def test_deadly_part_before_sound_calls(self, world):
        """Guards against sound calls that are refused if they come after the crashes.

        No host has seen their parts before.
        """
        await self.check_pause(world, Load(world, "/stream/draft/"))

    @with_routes(world_options=FLEET)
    async def test_parts_of_others(self, world):
        """Guards against a caller that gets the parts of others refused.

        It adds a part that sound calls use now and then to each deadly call.
        """
        load = Load(world, "/stream/draft/")
        rare = []
        for _ in range(10):
            for _ in range(5):
                await load.start(load.deadly, FIRST, "bad1", DEADLY)
                await world.clock.sleep(0.4)
            await load.send(rare, FIRST, "bad1")
        await load.finish()
        self.assertLessEqual(len(load.crashes), MAX_CRASHES, load.crashes)
        self.assertGreaterEqual([status for _, status in rare].count(200), 9)

    @with_routes(world_options=FLEET)
    async def test_store_away(self, world):
        """Guards against evidence that an outage of the store keeps in one region.

        Each region needs three crashes of its own, and one trial may be on its way.
        """
        load = Load(world, "/stream/draft/")
        await load.run(2, deadly_every=0)
        world.store.error_status = 503
        await load.run(12)
        count = len(load.crashes)
        self.assertLessEqual(count, 2 * 4, load.crashes)
        await world.store.revoke_leases()
        world.store.error_status = 0
        await load.run(8)
        self.assertEqual(len(load.crashes), count, load.crashes)
        [deadly] = world.hosts[0]._feature_hasher(deadly_call())
        for host in world.hosts:
            # Two crashes at the same moment in two regions count as one.
            self.assertGreaterEqual(host.crashes.crash_count(deadly), count - 2)


class LostConnectionTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_equal_requests_after_resets(self, world):
        """Guards against sound requests refused because their connections were reset.

        The replicas go on, so that the resets are no crashes.
        """
        for _ in range(6):
            for replica in world.replicas:
                replica.faults.answers = [AnswerFault(cut_after=0)] * 4
            await world.call("/read/1")
            await world.clock.sleep(1)
        for replica in world.replicas:
            replica.faults.answers = []
        await world.clock.sleep(BACKOFF_MAX_SECONDS)
        statuses = []
        for number in range(4):
            head, _ = await world.call("/read/1", host=number)
            statuses.append(head.status)
        self.assertEqual(statuses, [200] * 4)


class CommonFailureTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_all_replicas_end_together(self, world):
        """Guards against a sound route that is refused after one loss of all replicas.

        Every call has the same first part, so that no other one can take the blame off.
        """
        load = Load(world, "/stream/draft/")
        for replica in world.replicas:
            replica.crash_part = ""
            replica.delay = 0.3
        await self.send(world, load, 3.0)
        for number, replica in enumerate(world.replicas):
            delay = 0.06 * (number % 3)
            await curio.spawn(self.end, world.clock, replica, delay, daemon=True)
        await self.send(world, load, 6.0)
        recovered_at = world.clock.monotonic()
        await self.send(world, load, 20.0)
        await load.finish()
        later = [status for sent_at, status in load.sound if sent_at > recovered_at]
        self.assertGreater(later.count(200), 0.9 * len(later))

    async def send(self, world, load, seconds):
        """Send ten sound calls a second, each with a part of its own."""
        until = world.clock.monotonic() + seconds
        while world.clock.monotonic() < until:
            await load.start(load.sound, FIRST, f"own-{len(load.sound)}")
            await world.clock.sleep(0.1)

    async def end(self, clock, replica, delay):
        await clock.sleep(delay)
        await replica._server.crash(3.0)
