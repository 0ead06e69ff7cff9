"""Callers that take up streams of a service with several software versions."""

from collections import defaultdict
from typing import NamedTuple

import curio

from sassafraskeel.core.errors import SassafraskeelError

STREAM_COUNT = 24
EVENT_COUNT = 6
EVENT_SECONDS = 0.2
# More than all streams of a test, so that none is refused for lack of a slot.
SLOTS = 64
WHOLE_REST = list(range(2, EVENT_COUNT + 1))


class Attempt(NamedTuple):
    """What a caller got for one attempt, and after how many seconds it had all of it.

    `status` is 0 without an answer.
    """

    call_id: str
    status: int
    events: list[int]
    ended: bool
    seconds: float = 0.0


async def prepare_replicas(world) -> None:
    """Let streams last for a while, and replicas have slots for all of them."""
    for replica in world.replicas:
        replica.event_count = EVENT_COUNT
        replica.delay = EVENT_SECONDS
        replica.slots = SLOTS
        await world.register_replica(replica)
    await world.clock.sleep(1.0)


async def read_events(conn, count=EVENT_COUNT):
    """Return up to `count` ids of events, and whether the answer has ended."""
    ids = []
    try:
        while len(ids) < count:
            data = await conn.receive_data()
            if not data:
                return ids, True
            lines = data.decode().splitlines()
            ids += [int(line[3:]) for line in lines if line.startswith("id:")]
    except SassafraskeelError:
        pass
    return ids, False


async def read_answer(conn, call_id, count=EVENT_COUNT):
    """Return what an attempt brings, up to `count` events."""
    try:
        status = (await conn.receive_head()).status
    except SassafraskeelError:
        return Attempt(call_id, 0, [], False)
    ids, ended = await read_events(conn, count)
    return Attempt(call_id, status, ids, ended)


async def run_all(function, arguments) -> list:
    """Return the results of a coroutine function that runs for all arguments at once.

    Raises the first exception of a task.
    """
    tasks = [await curio.spawn(function, *args) for args in arguments]
    return [await task.join() for task in tasks]


class StreamCallers:
    """Callers of streams that break off after their first event.

    Stream number N begins with the attempt c-N and is taken up with PREFIX-N.
    `began_at` holds the versions that ran the first attempt of each stream before
    `note_versions` was last called.
    """

    def __init__(self, world, count=STREAM_COUNT):
        self.world = world
        self.numbers = range(count)
        self.began_at: dict[int, set[str]] = {}
        self._conns = {}

    async def begin(self, *hosts, interval=0.0) -> None:
        """Begin all streams, host after host, and read their first events."""
        arguments = [(n, hosts[n % len(hosts)], n * interval) for n in self.numbers]
        began = await run_all(self._begin_one, arguments)
        failed = [attempt for attempt in began if attempt.events != [1]]
        assert not failed, failed
        self.note_versions()

    async def _begin_one(self, number, host, delay):
        await self.world.clock.sleep(delay)
        path = f"/stream/chat/{number}"
        conn = await self.world.open_call(path, host=host, call_id=f"c-{number}")
        self._conns[number] = conn
        return await read_answer(conn, f"c-{number}", 1)

    def note_versions(self) -> None:
        """Remember at which versions the streams began, by the replicas' ledgers."""
        found = self.versions("c")
        self.began_at = {number: found[number] for number in self.numbers}

    async def leave(self) -> None:
        """Close the connections of the first attempts."""
        for conn in self._conns.values():
            await conn.close()
        self._conns.clear()

    async def read_on(self) -> list[Attempt]:
        """Read the streams to their ends without taking them up."""
        return await run_all(self._read_on, [(n,) for n in self.numbers])

    async def _read_on(self, number):
        ids, ended = await read_events(self._conns[number])
        return Attempt(f"c-{number}", 200, ids, ended)

    async def take_up(
        self, *hosts, prefix="t", numbers=None, after=1, count=EVENT_COUNT, resumes="c-"
    ) -> list[Attempt]:
        """Take streams up at the hosts in turn; return what came.

        At most `count` events are read. `resumes` begins the id in `Resumes`, which is
        left out if it is None.
        """
        await self.leave()
        numbers = self.numbers if numbers is None else numbers
        arguments = [
            (n, hosts[n % len(hosts)], f"{prefix}-{n}", after, count, resumes)
            for n in numbers
        ]
        return await run_all(self._take_up_one, arguments)

    async def _take_up_one(self, number, host, call_id, after, count, resumes):
        headers = [(b"last-event-id", str(after).encode())]
        if resumes is not None:
            headers.append((b"resumes", f"{resumes}{number}".encode()))
        started_at = self.world.clock.monotonic()
        conn = await self.world.open_call(
            f"/stream/chat/{number}", host=host, call_id=call_id, headers=headers
        )
        try:
            attempt = await read_answer(conn, call_id, count)
        finally:
            await conn.close()
        seconds = self.world.clock.monotonic() - started_at
        return attempt._replace(seconds=seconds)

    def versions(self, prefix) -> dict[int, set[str]]:
        """Return the versions that ran the attempts with a prefix, by stream."""
        found = defaultdict(set)
        for replica in self.world.replicas:
            for run in replica.runs:
                name, _, number = run.request_id.partition("-")
                if name == prefix:
                    found[int(number)].add(software_of(replica))
        return found

    def mixed(self, *prefixes) -> list[int]:
        """Return the streams that ran at two versions, over all their attempts."""
        found = [self.versions(prefix) for prefix in prefixes]
        return [
            number
            for number in self.numbers
            if len(self.began_at[number].union(*(v[number] for v in found))) > 1
        ]

    def numbers_at(self, version) -> list[int]:
        """Return the streams that began at a version."""
        return [n for n in self.numbers if self.began_at[n] == {version}]


def software_of(replica) -> str:
    """Return the version of a replica, one of its own without a usable one."""
    if isinstance(replica.version, str) and replica.version:
        return replica.version
    return f"that of {replica.name}"


def whole(attempts) -> list[Attempt]:
    """Return the attempts that brought all events after the first one."""
    return [
        a for a in attempts if a.status == 200 and a.ended and a.events == WHOLE_REST
    ]
