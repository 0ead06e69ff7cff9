"""In-memory key-value store with fault injection."""

from collections import Counter

from sassafraskeel.core.errors import CompareFailed, PlatformUnavailable
from sassafraskeel.store.key_value import Entry, Revision


class MemoryStore:
    """Implements KeyValueStore; requests and answers take up to `max_delay` seconds.

    `down` fails every call and `silent` leaves watches without an answer.
    `lose_requests` counts the next writes that are lost before they take effect, and
    `lose_answers` the next writes that take effect without an answer. `restore` brings
    earlier values back in a new epoch.
    """

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self.values = {}
        self.epoch = 1
        self.calls = Counter()
        self.down = False
        self.silent = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.max_delay = 0.05

    def restore(self, values):
        self.values = dict(values)
        self.epoch += 1

    def entry(self, key):
        value, revision = self.values.get(key, Entry(None, Revision(0, 0)))
        return Entry(value, revision._replace(epoch=self.epoch))

    async def get(self, key):
        await self._delay_request("get")
        entry = self.entry(key)
        await self._delay_answer()
        return entry

    async def put(self, key, value, revision):
        await self._delay_request("put")
        if self.lose_requests:
            self.lose_requests -= 1
            raise PlatformUnavailable("request lost")
        current_revision = self.entry(key).revision
        if current_revision != revision:
            raise CompareFailed(key, current_revision.number)
        new_revision = revision._replace(number=revision.number + 1)
        self.values[key] = Entry(value, new_revision)
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformUnavailable("answer lost")
        await self._delay_answer()
        return new_revision

    async def watch(self, key, revision, seconds):
        await self._delay_request("watch")
        expires = self._clock.monotonic() + seconds
        while True:
            if self.down:
                raise PlatformUnavailable("down")
            entry = self.entry(key)
            over = entry.revision > revision or self._clock.monotonic() >= expires
            if over and not self.silent:
                return entry
            await self._clock.sleep(0.1)

    def client(self, is_cut):
        """Return the store as seen by a host, cut off while `is_cut()` is true."""
        return PartitionedStore(self, is_cut)

    async def _delay_request(self, name):
        self.calls[name] += 1
        await self._clock.sleep(self._rng.random() * self.max_delay)
        if self.down:
            raise PlatformUnavailable("down")

    async def _delay_answer(self):
        await self._clock.sleep(self._rng.random() * self.max_delay)
        if self.down:
            raise PlatformUnavailable("down")


class PartitionedStore:
    """Implements KeyValueStore; calls fail while the host is cut off."""

    def __init__(self, store, is_cut):
        self._store = store
        self._is_cut = is_cut

    async def get(self, key):
        return await self._call(self._store.get, key)

    async def put(self, key, value, revision):
        return await self._call(self._store.put, key, value, revision)

    async def watch(self, key, revision, seconds):
        return await self._call(self._store.watch, key, revision, seconds)

    async def _call(self, function, *args):
        if self._is_cut():
            raise PlatformUnavailable("cut off")
        result = await function(*args)
        if self._is_cut():
            raise PlatformUnavailable("cut off")
        return result
