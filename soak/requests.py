"""Requests of a run to its processes, and its writes to the store."""

import json
from urllib.parse import quote

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.net import Network, parse_address
from sassafraskeel.emulators.store import COPY_PATH

READY_SECONDS = 30.0
REQUEST_TIMEOUT_SECONDS = 2.0
POLL_SECONDS = 0.1


class Requests:
    """Sends requests to processes that may be paused or gone."""

    def __init__(self, clock: Clock, network: Network):
        self.clock, self._network = clock, network

    async def fetch(self, address: str, method: str, path: str, body: bytes = b""):
        """Return the head and the body of an answer; the head is None without one."""
        target = parse_address(address)
        try:
            async with self.clock.timeout(REQUEST_TIMEOUT_SECONDS):
                return await request_once(
                    self._network, self.clock, target, method, path, body=body
                )
        except SassafraskeelError:
            return None, b""

    async def succeeds(self, address: str, method: str, path: str, body=b"") -> bool:
        """Return whether the status of an answer is 200."""
        head, _ = await self.fetch(address, method, path, body)
        return head is not None and head.status == 200

    async def ask(self, address: str, method: str, path: str, content=None):
        """Return the decoded answer of a process, which may be paused for seconds."""
        body = b"" if content is None else json.dumps(content).encode()
        expires = self.clock.monotonic() + READY_SECONDS
        while True:
            head, answer = await self.fetch(address, method, path, body)
            if head is not None:
                return json.loads(answer)
            if self.clock.monotonic() > expires:
                raise TimeoutError(f"{address}: no answer in {READY_SECONDS:g} s")

    async def wait_until(self, description: str, condition) -> None:
        """Wait until an async condition is true; raise TimeoutError."""
        expires = self.clock.monotonic() + READY_SECONDS
        while not await condition():
            if self.clock.monotonic() > expires:
                raise TimeoutError(f"{description}: not ready in {READY_SECONDS:g} s")
            await self.clock.sleep(POLL_SECONDS)


class StoreWriter:
    """Writes what operators and replicas write to the store."""

    def __init__(self, requests: Requests, address: str):
        self._requests, self._address = requests, address
        # The last writes, by key.
        self._written: dict[str, bytes | None] = {}

    async def write(self, key: str, value: bytes | None) -> bool:
        """Write a key, or delete it for None; return whether that succeeded."""
        self._written[key] = value
        method = "DELETE" if value is None else "PUT"
        path = f"/test/key?key={quote(key)}"
        return await self._requests.succeeds(self._address, method, path, value or b"")

    async def write_surely(self, key: str, value: bytes | None) -> None:
        """Write a key again and again until that succeeds."""
        await self._requests.wait_until(key, lambda: self.write(key, value))

    async def restore(self, copy_age: float) -> None:
        """Restore the store from a copy, and write again what was written since."""
        await self._use_copy("PUT")
        await self._requests.clock.sleep(copy_age)
        await self._use_copy("POST")
        for key in list(self._written):
            await self._requests.wait_until(
                key, lambda key=key: self.write(key, self._written[key])
            )

    async def _use_copy(self, method: str) -> None:
        await self._requests.wait_until(
            "copy of the store",
            lambda: self._requests.succeeds(self._address, method, COPY_PATH),
        )
