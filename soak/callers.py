"""Callers that send calls to hosts over persistent connections."""

import math
import random
import re
from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import ClientConnection, connect
from sassafraskeel.core.net import Address, Network
from soak.record import Outcome, Writer

STAMP_HEADER = b"x-sassafraskeel-response-stamp"
WHOLE_EVENT = re.compile(
    rb"^id: (\d+)\ndata: piece \d+ of (\S+) (\S+)\n\n", re.MULTILINE
)
KINDS = {
    "read": ("GET", "/read/lot"),
    "order": ("POST", "/order/weighing"),
    "chat": ("POST", "/stream/chat/question"),
    "draft": ("POST", "/stream/draft/summary"),
}
STREAM_EVENTS = 5
TIMEOUT_SECONDS = 4.0
MAX_PAUSE_SECONDS = 0.15
# The share of answers to chats that a caller cuts within their events, and how often it
# sends a chat.
CUT_SHARE = 0.3
CHAT_ATTEMPTS = 4
# A caller abandons a call 4 s after the deadline of the call.
MAX_CALL_SECONDS = TIMEOUT_SECONDS + 4.0


class Caller:
    """Sends calls one after another over one connection to a random host.

    If the connection is closed or an answer is incomplete, the next call opens a
    connection to a newly chosen random host. Chats that have begun and broken off are
    taken up, over a new connection to any host.
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
            outcome = await self._call(f"{self._name}-{number}", kind)
            if kind == "chat":
                await self._take_up(outcome)
            await self._clock.sleep(MAX_PAUSE_SECONDS * self._rng.random())

    async def _take_up(self, outcome: Outcome) -> None:
        """Take up a stream until it is complete or its attempts are used up."""
        call_id, resumes, last_event_id = outcome.call_id, "", 0
        for number in range(1, CHAT_ATTEMPTS):
            if outcome.event_ids:
                resumes = resumes or outcome.call_id
                last_event_id = outcome.event_ids[-1]
            is_served = outcome.status == 200 and outcome.is_complete
            if is_served or not resumes:
                return
            await self.close()
            await self._clock.sleep(MAX_PAUSE_SECONDS * self._rng.random())
            outcome = await self._call(
                f"{call_id}-{number}", "chat", resumes, last_event_id
            )

    async def _call(
        self, call_id: str, kind: str, resumes: str = "", last_event_id: int = 0
    ) -> Outcome:
        sent_at = self._clock.monotonic()
        status, has_stamp, is_complete, data = 0, False, False, b""
        cut_after = self._choose_cut(kind)
        was_cut = False
        try:
            async with self._clock.timeout(MAX_CALL_SECONDS):
                conn = await self._get_connection()
                headers = self._headers(call_id, resumes, last_event_id)
                await conn.send(*KINDS[kind], headers, b"")
                head = await conn.receive_head()
                status = head.status
                has_stamp = bool(find_header(head.headers, STAMP_HEADER))
                while not was_cut and (chunk := await conn.receive_data()):
                    data += chunk
                    was_cut = len(WHOLE_EVENT.findall(data)) >= cut_after
                is_complete = not was_cut
        except SassafraskeelError:
            is_complete = False  # The received part is recorded and checked.
        events = WHOLE_EVENT.findall(data)
        event_ids = tuple(int(event_id) for event_id, *_ in events)
        writers = tuple(Writer(*map(bytes.decode, rest)) for _, *rest in events)
        ended_at = self._clock.monotonic()
        outcome = Outcome(
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
            resumes,
            last_event_id,
            was_cut,
            writers,
        )
        self.outcomes.append(outcome)
        if not is_complete or not self._conn.prepare_for_reuse():
            await self.close()
        return outcome

    def _choose_cut(self, kind: str) -> float:
        """Return the number of events after which the caller closes its connection."""
        if kind != "chat" or self._rng.random() >= CUT_SHARE:
            return math.inf
        return self._rng.randint(1, STREAM_EVENTS - 1)

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

    def _headers(self, call_id: str, resumes: str, last_event_id: int):
        headers = (
            (b"host", b"app.example"),
            (b"x-sassafraskeel-request-id", call_id.encode()),
            (b"x-sassafraskeel-deadline-ms", str(int(TIMEOUT_SECONDS * 1000)).encode()),
        )
        if not resumes:
            return headers
        return (
            *headers,
            (b"resumes", resumes.encode()),
            (b"last-event-id", str(last_event_id).encode()),
        )
