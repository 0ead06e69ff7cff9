"""Callers that send calls to hosts over persistent connections."""

import random
import re
from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import ClientConnection, connect
from sassafraskeel.core.net import Address, Network
from soak.record import Outcome

STAMP_HEADER = b"x-sassafraskeel-response-stamp"
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)
KINDS = {
    "read": ("GET", "/read/lot"),
    "order": ("POST", "/order/weighing"),
    "chat": ("POST", "/stream/chat/question"),
    "draft": ("POST", "/stream/draft/summary"),
}
TIMEOUT_SECONDS = 4.0
MAX_PAUSE_SECONDS = 0.15
# A caller abandons a call 4 s after the deadline of the call.
MAX_CALL_SECONDS = TIMEOUT_SECONDS + 4.0


class Caller:
    """Sends calls one after another over one connection to a random host.

    If the connection is closed or an answer is incomplete, the next call opens a
    connection to a newly chosen random host.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        hosts: dict[str, Address],
        clock: Clock,
        network: Network,
    ):
        self._name = f"s{seed}-{number}"
        self._rng = random.Random(f"{seed}/{number}")
        self._hosts = hosts
        self._host = ""
        self._clock = clock
        self._network = network
        self._conn: ClientConnection | None = None
        self.outcomes: list[Outcome] = []

    async def run(self, get_end_time: Callable[[], float]) -> None:
        """Send calls until the monotonic time that `get_end_time` returns."""
        number = 0
        while self._clock.monotonic() < get_end_time():
            number += 1
            kind = self._rng.choice(list(KINDS))
            await self._call(f"{self._name}-{number}", kind)
            await self._clock.sleep(MAX_PAUSE_SECONDS * self._rng.random())

    async def _call(self, call_id: str, kind: str) -> None:
        sent_at = self._clock.monotonic()
        status, has_stamp, is_complete, chunks = 0, False, False, []
        try:
            async with self._clock.timeout(MAX_CALL_SECONDS):
                conn = await self._get_connection()
                await conn.send(*KINDS[kind], self._headers(call_id), b"")
                head = await conn.receive_head()
                status = head.status
                has_stamp = bool(find_header(head.headers, STAMP_HEADER))
                while data := await conn.receive_data():
                    chunks.append(data)
                is_complete = True
        except SassafraskeelError:
            is_complete = False  # The received part is recorded and checked.
        event_ids = tuple(int(text) for text in EVENT_ID.findall(b"".join(chunks)))
        ended_at = self._clock.monotonic()
        self.outcomes.append(
            Outcome(
                call_id,
                kind,
                self._host,
                status,
                has_stamp,
                is_complete,
                event_ids,
                sent_at,
                ended_at,
                TIMEOUT_SECONDS,
            )
        )
        if not is_complete or not self._conn.prepare_for_reuse():
            await self.close()

    async def close(self) -> None:
        """Close the open connection, if any."""
        if self._conn is not None:
            await self._conn.close()
            self._conn = None

    async def _get_connection(self) -> ClientConnection:
        if self._conn is None:
            self._host = self._rng.choice(list(self._hosts))
            address = self._hosts[self._host]
            self._conn = await connect(self._network, address, self._clock)
        return self._conn

    def _headers(self, call_id: str):
        return (
            (b"host", b"app.example"),
            (b"x-sassafraskeel-request-id", call_id.encode()),
            (b"x-sassafraskeel-deadline-ms", str(int(TIMEOUT_SECONDS * 1000)).encode()),
        )
