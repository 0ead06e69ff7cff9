"""Client of the platform's key-value service: JSON over HTTP."""

import json
from typing import NamedTuple, Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    CompareFailed,
    PlatformRefused,
    PlatformUnavailable,
    SassafraskeelError,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import PlatformSection

MAX_VALUE_BYTES = 1_000_000
MAX_ANSWER_BYTES = 4 * MAX_VALUE_BYTES
EPOCH_HEADER = b"store-epoch"
# A restored store gives out the fencing numbers of its copy again. With the epoch in
# the upper bits, a number never repeats, and engines compare a single integer.
FENCE_BITS = 32


class Revision(NamedTuple):
    """The epoch of the store and the number of a key's writes; ordered as a pair.

    A restored store gives out the numbers after its copy again, in a later epoch.
    Number 0 means that the key does not exist.
    """

    epoch: int
    number: int


class Entry(NamedTuple):
    """A value with its revision."""

    value: object
    revision: Revision


class Lease(NamedTuple):
    """A granted lease; its `seconds` run from the time of the request.

    `fence` is unique and increases also over restores of the store.
    """

    name: str
    holder: str
    fence: int
    seconds: float


class StoreAnswer(NamedTuple):
    """An answer of the platform; `epoch` rises with each restore of its store."""

    status: int
    content: object
    epoch: int


class KeyValueStore(Protocol):
    """The key-value service; every method may raise PlatformUnavailable."""

    async def get(self, key: str) -> Entry:
        """Return the value and the revision of a key."""

    async def put(self, key: str, value: object, revision: Revision) -> Revision:
        """Write a key that is at `revision` and return the new revision.

        Raises CompareFailed if the key is at another revision.
        """

    async def watch(self, key: str, revision: Revision, seconds: float) -> Entry:
        """Return the entry once the key is past `revision`, or after `seconds`."""

    async def acquire_lease(self, name: str, holder: str, seconds: float) -> Lease:
        """Acquire or renew a lease; raise PlatformRefused while another holds it."""


class PlatformClient:
    """The platform's services over HTTP, one connection for each call."""

    def __init__(self, cfg: PlatformSection, clock: Clock, network: Network):
        self._cfg = cfg
        self._clock = clock
        self._network = network

    async def get(self, key: str) -> Entry:
        return self._decode_entry(await self._call("GET", f"/kv/{key}"))

    async def put(self, key: str, value: object, revision: Revision) -> Revision:
        path = f"/kv/{key}?revision={revision.number}&epoch={revision.epoch}"
        answer = await self._call("PUT", path, value)
        if answer.status == 409:
            raise CompareFailed(key, answer.content["revision"])
        return Revision(answer.epoch, self._content_of(answer)["revision"])

    async def watch(self, key: str, revision: Revision, seconds: float) -> Entry:
        query = f"after={revision.number}&epoch={revision.epoch}&wait={seconds:g}"
        path = f"/kv/{key}?{query}"
        return self._decode_entry(await self._call("GET", path, wait=seconds))

    async def acquire_lease(self, name: str, holder: str, seconds: float) -> Lease:
        request = {"holder": holder, "seconds": seconds}
        answer = await self._call("POST", f"/leases/{name}", request)
        number = self._content_of(answer)["fence"]
        return Lease(name, holder, answer.epoch << FENCE_BITS | number, seconds)

    async def hosts(self) -> dict[str, str]:
        """Return the state (`live` or `leaving`) of the listed hosts.

        The list lags behind the actual state.
        """
        return self._content_of(await self._call("GET", "/hosts"))

    async def reserve_weights(self, model: str) -> float:
        """Reserve one load of a model; return 0, or the seconds to wait if busy."""
        answer = await self._call("POST", f"/weights/{model}", {})
        if answer.status == 429:
            return float(answer.content["retry_after_s"])
        self._content_of(answer)
        return 0.0

    async def set_directory_entry(self, name: str, entry: dict | None) -> None:
        """Set or remove the directory entry of a host."""
        self._content_of(await self._call("PUT", f"/directory/{name}", entry))

    async def directory(self) -> dict[str, dict]:
        """Return the directory entries of the hosts."""
        return self._content_of(await self._call("GET", "/directory"))

    def _decode_entry(self, answer: StoreAnswer) -> Entry:
        content = self._content_of(answer)
        revision = Revision(answer.epoch, content["revision"])
        return Entry(content["value"], revision)

    def _content_of(self, answer: StoreAnswer):
        if answer.status != 200:
            raise PlatformRefused(answer.status, str(answer.content))
        return answer.content

    async def _call(self, method, path, value=None, wait=0.0) -> StoreAnswer:
        body = b"" if method == "GET" else json.dumps(value).encode()
        seconds = self._cfg.timeout.total_seconds() + wait
        try:
            async with self._clock.timeout(seconds):
                head, data = await request_once(
                    self._network,
                    self._clock,
                    self._cfg.address,
                    method,
                    path,
                    body=body,
                    max_bytes=MAX_ANSWER_BYTES,
                )
            content = json.loads(data)
            epoch = int(find_header(head.headers, EPOCH_HEADER) or 0)
        except (SassafraskeelError, ValueError) as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc}") from exc
        if head.status >= 500:
            raise PlatformUnavailable(f"{method} {path}: status {head.status}")
        return StoreAnswer(head.status, content, epoch)
