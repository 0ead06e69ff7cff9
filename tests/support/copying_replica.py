"""A replica that sends the copy of a refusal where the next answer is due."""

import json
from typing import NamedTuple

from tests.support.raw_server import RawServer, answer_head
from tests.support.routes import ANY_PORT

NOT_EXECUTED = b"x-sassafraskeel-not-executed: 1"
EMPTY = b"content-length: 0"
RUN_SECONDS = 0.3
STREAM_TYPE = b"content-type: text/event-stream"
EVENT = b"id: 1\ndata: a\n\n"


class Run(NamedTuple):
    """A request that a replica ran from `began_at` on, in monotonic seconds."""

    replica: str
    call_id: str
    began_at: float


class CopyingReplica:
    """Replaces a replica of a world; each refusal on a connection is sent twice.

    It refuses any request for another name with 421. The copy comes before the answer
    to the next request on the connection. A stream ends after its first event with the
    connection, and the rest of it is refused. With
    `anonymous`, copies do not have the id of the refused request. `sends` are the pairs
    of connection and request id. `runs` may be shared by replicas.
    """

    def __init__(self, world, number, runs, anonymous=False):
        self.name = world.replicas[number].name
        self.runs = runs
        self.sends = []
        self.anonymous = anonymous
        self._world = world
        self._replica = world.replicas[number]
        self._copies = {}
        network = world.network.for_node(f"raw-{self.name}")
        self._server = RawServer(world.clock, network, ANY_PORT, self._answer)

    async def start(self):
        """Serve at a new address and register it."""
        await self._server.start()
        await self.register(self.name)

    async def register(self, name):
        """Write an entry with the address of this replica under a name."""
        entry = self._replica.store_entry("desk", address=str(self._server.address))
        value = json.dumps(entry).encode()
        await self._world.store.write(f"servers/{name}", value)

    async def close(self):
        await self._server.close()

    async def _answer(self, server, stream, request_id):
        if not request_id:
            name = b"x-sassafraskeel-instance-id: " + self.name.encode()
            await stream.write(answer_head(b"", b"200 OK", name, EMPTY))
            return
        self.sends.append((stream, request_id.decode()))
        copy = self._copies.pop(stream, b"")
        if copy:
            await stream.write(copy)
        refusal = self._refusal(server)
        if refusal:
            await stream.write(answer_head(request_id, refusal, NOT_EXECUTED, EMPTY))
            self._copies[stream] = self._copy(request_id, refusal)
            return
        if server.path.startswith("/stream/"):
            await stream.write(answer_head(request_id, b"200 OK", STREAM_TYPE) + EVENT)
            await stream.reset()
            return
        now = self._world.clock.monotonic()
        self.runs.append(Run(self.name, request_id.decode(), now))
        await self._world.clock.sleep(RUN_SECONDS)
        if self.anonymous:
            # The copy of a refusal on another connection, or of a health check.
            self._copies[stream] = self._copy(b"", b"503 Service Unavailable")
        await stream.write(answer_head(request_id, b"200 OK", EMPTY))

    def _refusal(self, server):
        if server.expected != self.name:
            return b"421 Misdirected Request"
        if server.resumed_after:
            return b"503 Service Unavailable"
        return b""

    def _copy(self, request_id, status):
        if not self.anonymous:
            return answer_head(request_id, status, NOT_EXECUTED, EMPTY)
        lines = (b"HTTP/1.1 " + status, NOT_EXECUTED, EMPTY)
        return b"\r\n".join(lines) + b"\r\n\r\n"
