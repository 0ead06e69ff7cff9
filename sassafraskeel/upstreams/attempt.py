"""One attempt of a call at an upstream, over one connection."""

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    ProtocolError,
    SassafraskeelError,
    TimedOut,
    UpstreamStalled,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import ClientConnection, request_once
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import UpstreamSection
from sassafraskeel.core.types import Call, CallKind, ResponseHead
from sassafraskeel.sheets.model import Upstream

ATTEMPT_HEADER = b"x-attempt-id"
# Bytes that the upstream sent before it answered a progress request arrive within
# this time. Otherwise the connection counts as silent.
TRANSIT_SECONDS = 1.0
# The attempt fails after this many stalls of an upstream that reports no progress.
MAX_UNEXPLAINED_STALLS = 2
MAX_PROGRESS_BYTES = 4096


class Progress(NamedTuple):
    """The state of an attempt at its upstream; `sent` counts bytes of the body."""

    running: bool
    sent: int


class Attempt:
    """Sends a call on a connection and receives its answer under a stall timeout.

    When nothing arrives for that time, the upstream is asked over a new connection
    whether it still works on the attempt.
    """

    def __init__(
        self,
        cfg: UpstreamSection,
        clock: Clock,
        network: Network,
        upstream: Upstream,
        call: Call,
        number: int,
        conn: ClientConnection,
    ):
        self._cfg = cfg
        self._clock = clock
        self._network = network
        self.upstream = upstream
        self._call = call
        self._id = f"{call.call_id}-{number}"
        self.conn = conn
        self._received = 0
        self._complete = False

    @property
    def is_complete(self) -> bool:
        """Return whether the complete answer has arrived."""
        return self._complete

    async def exchange(self, body: bytes, check=None) -> ResponseHead:
        """Send the call and return the head of its answer.

        `check` is called right before the first byte is sent; it may raise Refusal.
        """
        call = self._call
        headers = tuple(pair for pair in call.headers if pair[0] != ATTEMPT_HEADER)
        headers = (*headers, (ATTEMPT_HEADER, self._id.encode()))
        async with self._clock.timeout(call.expires - self._clock.monotonic()):
            if check is not None:
                check()
            await self.conn.send(call.method, call.path, headers, body)
            head = await self._receive(self.conn.receive_head)
        echoed_id = find_header(head.headers, ATTEMPT_HEADER)
        if echoed_id and echoed_id != self._id:
            raise ProtocolError("the answer belongs to another attempt")
        headers = tuple(pair for pair in head.headers if pair[0] != ATTEMPT_HEADER)
        return ResponseHead(head.status, headers)

    async def read(self) -> bytes:
        """Return the next bytes of the answer, or b"" after its end."""
        if self._complete:
            return b""
        remaining = self._call.ends_by - self._clock.monotonic()
        if remaining <= 0:
            # A read that need not wait does not notice that its time is over.
            raise TimedOut(0.0)
        async with self._clock.timeout(remaining):
            data = await self._receive(self.conn.receive_data)
        self._received += len(data)
        self._complete = not data
        return data

    async def _receive(self, receive: Callable[[], Awaitable]):
        stall = self._cfg.stall_timeout.total_seconds()
        unexplained = 0
        while True:
            try:
                async with self._clock.timeout(stall):
                    return await receive()
            except TimedOut:
                progress = await self._request_progress(stall)
            if progress is None:
                unexplained += 1
            elif not progress.running or progress.sent > self._received:
                return await self._receive_in_transit(receive)
            if self._should_give_up(unexplained):
                raise UpstreamStalled(f"no progress for {stall:g} s")

    async def _receive_in_transit(self, receive):
        try:
            async with self._clock.timeout(TRANSIT_SECONDS):
                return await receive()
        except TimedOut as exc:
            raise UpstreamStalled("the connection is silent") from exc

    def _should_give_up(self, unexplained) -> bool:
        if self._clock.monotonic() >= self._call.expires:
            return True
        # An order cannot be retried, so it waits until its deadline.
        is_order = self._call.kind is CallKind.ORDER
        return unexplained >= MAX_UNEXPLAINED_STALLS and not is_order

    async def _request_progress(self, stall) -> Progress | None:
        """Return the progress of the attempt, or None if the upstream reports none.

        The request uses a new connection. Raises UpstreamStalled if the upstream
        does not answer it.
        """
        timeout = self._cfg.connect_timeout.total_seconds()
        try:
            async with self._clock.timeout(timeout):
                head, body = await request_once(
                    self._network,
                    self._clock,
                    self.upstream.address,
                    "GET",
                    f"/progress?attempt={self._id}",
                    max_bytes=MAX_PROGRESS_BYTES,
                )
        except (ConnectionLost, TimedOut) as exc:
            raise UpstreamStalled(f"no progress for {stall:g} s: {exc}") from exc
        except SassafraskeelError:
            return None
        return parse_progress(head, body)


def parse_progress(head: ResponseHead, body: bytes) -> Progress | None:
    """Return the progress in an answer to `/progress`, or None if it has none."""
    if head.status != 200:
        return None
    try:
        content = json.loads(body)
        return Progress(bool(content["running"]), int(content["sent"]))
    except (ValueError, KeyError, TypeError):
        return None  # The upstream does not implement progress reports.
