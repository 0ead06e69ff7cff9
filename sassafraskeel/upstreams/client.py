"""Carrying a call to an upstream over HTTP."""

import itertools
from collections import Counter
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    Outcome,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    UpstreamLost,
    not_run,
    unknown,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import ClientConnection
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import UpstreamSection
from sassafraskeel.core.types import Call, CallKind, Head
from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.sheets.model import Upstream
from sassafraskeel.upstreams.attempt import Attempt
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.reports import Health, PollResult

NOT_RUN_HEADER = b"x-not-run"
PROBE_PATH = "/load"


class UpstreamStates(Protocol):
    """What is known of the upstreams."""

    def report(self, upstream: str) -> LoadReport | None:
        """Return the latest load report."""

    def takes_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get new work, retries included."""

    async def probe(self, upstream: Upstream) -> PollResult:
        """Poll an upstream at once on a new connection."""


class UpstreamAnswer:
    """The answer of an upstream, as it arrives."""

    def __init__(self, head: Head, attempt: Attempt, client: "HttpUpstreamClient"):
        self.head = head
        self._attempt = attempt
        self._client = client
        self._closed = False

    async def read(self) -> bytes:
        return await self._attempt.read()

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            await self._client.finish(self._attempt)


class HttpUpstreamClient:
    """Sends calls to upstreams and counts those in flight."""

    def __init__(
        self,
        cfg: UpstreamSection,
        clock: Clock,
        network: Network,
        pool: ConnectionPool,
        states: UpstreamStates,
    ):
        self._cfg = cfg
        self._clock = clock
        self._network = network
        self._pool = pool
        self._states = states
        self._attempt_numbers = itertools.count(1)
        self._in_flight = Counter()

    def in_flight(self, upstream: str) -> int:
        """Return how many calls this host has open at an upstream."""
        return self._in_flight[upstream]

    def takes_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may get new work, retries included."""
        return self._states.takes_work(upstream)

    async def send(self, upstream: Upstream, call: Call, body: bytes, check=None):
        """Return the answer of an upstream.

        `check` is called after the connection was opened and right before the first
        byte; it may raise Refusal. Raises Refusal: not run before the first byte may
        have left, unknown after.
        """
        self._in_flight[upstream.name] += 1
        try:
            return await self._send(upstream, call, body, check)
        except BaseException:
            self._decrement_in_flight(upstream)
            raise

    async def finish(self, attempt: Attempt) -> None:
        """Release the connection of an answer that is over or abandoned."""
        self._decrement_in_flight(attempt.upstream)
        if attempt.is_complete:
            await self._pool.release(attempt.conn)
        else:
            # A late answer is dropped with its connection, and the upstream sees
            # that its work is no longer wanted.
            await attempt.conn.close()

    def _decrement_in_flight(self, upstream):
        self._in_flight[upstream.name] -= 1
        if not self._in_flight[upstream.name]:
            del self._in_flight[upstream.name]

    async def _send(self, upstream, call, body, check):
        # An order opens its own connection: a pooled one may be silent or closed,
        # and the order could not be sent again.
        if call.kind is not CallKind.ORDER:
            conn = await self._pool.take(upstream.address)
            if conn is not None:
                report = self._states.report(upstream.name)
                try:
                    return await self._exchange(upstream, conn, call, body)
                except UpstreamLost:
                    if conn.answer_begun or not await self._is_same_instance(
                        upstream, report
                    ):
                        raise
        conn = await self._open(upstream)
        if call.kind is CallKind.ORDER:
            await self._verify_connection(upstream, conn)
        return await self._exchange(upstream, conn, call, body, check)

    async def _open(self, upstream) -> ClientConnection:
        try:
            return await self._pool.open(upstream.address)
        except (ConnectionLost, TimedOut) as exc:
            raise not_run(Reason.UPSTREAM_FAILED, f"{upstream.name}: {exc}") from exc

    async def _verify_connection(self, upstream, conn) -> None:
        """Get an answer over a new connection, so that a silent one is not used."""
        try:
            async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
                await conn.send("GET", PROBE_PATH, (), b"")
                await conn.receive_head()
                while await conn.receive_data():
                    pass
            if not conn.reuse():
                raise ConnectionLost("the upstream closed the connection")
        except BaseException as exc:
            await conn.close()
            if not isinstance(exc, SassafraskeelError):
                raise
            raise not_run(Reason.UPSTREAM_FAILED, f"{upstream.name}: {exc}") from exc

    async def _exchange(self, upstream, conn, call, body, check=None) -> UpstreamAnswer:
        try:
            if not self._states.takes_work(upstream):
                detail = f"{upstream.name} takes no new work"
                raise not_run(Reason.NO_UPSTREAM, detail, 1.0)
            attempt = Attempt(
                self._cfg,
                self._clock,
                self._network,
                upstream,
                call,
                next(self._attempt_numbers),
                conn,
            )
            head = await self._receive_head(attempt, call, body, check)
        except BaseException:
            await conn.close()
            raise
        return UpstreamAnswer(head, attempt, self)

    async def _receive_head(self, attempt, call, body, check) -> Head:
        name = attempt.upstream.name
        if call.expires <= self._clock.monotonic():
            raise not_run(Reason.DEADLINE, "the deadline has passed")
        try:
            head = await attempt.exchange(body, check)
        except Refusal:
            raise  # The check refused; nothing was sent.
        except TimedOut as exc:
            raise unknown(Reason.DEADLINE, f"{name}: {exc}") from exc
        except (ConnectionLost, AnswerTruncated) as exc:
            detail = f"{name}: {exc}"
            raise UpstreamLost(Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, detail) from exc
        except SassafraskeelError as exc:
            raise unknown(Reason.UPSTREAM_FAILED, f"{name}: {exc}") from exc
        if head.status == 429 or find_header(head.headers, NOT_RUN_HEADER) == "1":
            raise not_run(Reason.UPSTREAM_REFUSED, name, 1.0)
        return head

    async def _is_same_instance(self, upstream, report: LoadReport | None) -> bool:
        """Return whether an upstream still runs that closed an idle connection.

        Otherwise the call may be what ended it, and is not repeated here.
        """
        probe = await self._states.probe(upstream)
        if probe.health is not Health.ALIVE:
            return False
        return report is None or report.instance == probe.instance
