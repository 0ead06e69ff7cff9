"""The HTTP client of upstreams."""

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
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import ClientConnection
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import UpstreamSection
from sassafraskeel.core.types import Call, CallKind, ResponseHead
from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.sheets.model import Upstream
from sassafraskeel.upstreams.attempt import Attempt
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.reports import Health, PollResult

NOT_RUN_HEADER = b"x-not-run"
PROBE_PATH = "/load"


class UpstreamStates(Protocol):
    """The load and health of the upstreams."""

    def report(self, upstream: str) -> LoadReport | None:
        """Return the latest load report of an upstream, or None without one."""

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be sent new calls, including retries."""

    async def probe(self, upstream: Upstream) -> PollResult:
        """Poll an upstream immediately on a new connection."""


class UpstreamAnswer:
    """The answer of an upstream, read as it arrives."""

    def __init__(
        self, head: ResponseHead, attempt: Attempt, client: "HttpUpstreamClient"
    ):
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
    """Sends calls to upstreams and counts the calls in flight."""

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
        """Return how many calls of the local host are in flight at an upstream."""
        return self._in_flight[upstream]

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream may be sent new calls, including retries."""
        return self._states.accepts_work(upstream)

    async def send(self, upstream: Upstream, call: Call, body: bytes, check=None):
        """Return the answer of an upstream; raise Refusal.

        For an order, `check` is called on the open connection right before the first
        byte is sent; it may raise Refusal. The outcome of a Refusal is "not run"
        while no byte can have been sent, and "unknown" afterwards unless the
        upstream states that it did not run the call.
        """
        self._in_flight[upstream.name] += 1
        try:
            return await self._send(upstream, call, body, check)
        except BaseException:
            self._decrement_in_flight(upstream)
            raise

    async def finish(self, attempt: Attempt) -> None:
        """Release the connection of an answer that is complete or abandoned."""
        self._decrement_in_flight(attempt.upstream)
        if attempt.is_complete:
            await self._pool.release(attempt.conn)
        else:
            # This discards a late answer and lets the upstream cancel its work.
            await attempt.conn.close()

    def _decrement_in_flight(self, upstream):
        self._in_flight[upstream.name] -= 1
        if not self._in_flight[upstream.name]:
            del self._in_flight[upstream.name]

    async def _send(self, upstream, call, body, check):
        # An order gets a new connection: a pooled one may be silent or closed, and
        # an order cannot be retried.
        if call.kind is not CallKind.ORDER:
            conn = await self._pool.take(upstream.address)
            if conn is not None:
                report = self._states.report(upstream.name)
                try:
                    return await self._exchange(upstream, conn, call, body)
                except UpstreamLost:
                    if conn.answer_started or not await self._is_same_instance(
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
            raise not_run_refusal(
                Reason.UPSTREAM_FAILED, f"{upstream.name}: {exc}"
            ) from exc

    async def _verify_connection(self, upstream, conn) -> None:
        """Poll over a new connection, so that no order is sent on a silent one."""
        try:
            async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
                await conn.send("GET", PROBE_PATH, (), b"")
                head = await conn.receive_head()
                while await conn.receive_data():
                    pass
            if _is_not_run(head):
                # A late copy of the rejection would pass for that of the order.
                raise ConnectionLost("the upstream rejected the poll")
            if not conn.prepare_for_reuse():
                raise ConnectionLost("the upstream closed the connection")
        except BaseException as exc:
            await conn.close()
            if not isinstance(exc, SassafraskeelError):
                raise
            raise not_run_refusal(
                Reason.UPSTREAM_FAILED, f"{upstream.name}: {exc}"
            ) from exc

    async def _exchange(self, upstream, conn, call, body, check=None) -> UpstreamAnswer:
        try:
            if not self._states.accepts_work(upstream):
                detail = f"{upstream.name} takes no new work"
                raise not_run_refusal(Reason.NO_UPSTREAM, detail, 1.0)
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

    async def _receive_head(self, attempt, call, body, check) -> ResponseHead:
        name = attempt.upstream.name
        if call.expires <= self._clock.monotonic():
            raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
        try:
            head = await attempt.exchange(body, check)
        except Refusal:
            raise  # `check` refused before anything was sent.
        except TimedOut as exc:
            raise unknown_outcome_refusal(Reason.DEADLINE, f"{name}: {exc}") from exc
        except (ConnectionLost, AnswerTruncated) as exc:
            detail = f"{name}: {exc}"
            raise UpstreamLost(Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, detail) from exc
        except SassafraskeelError as exc:
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, f"{name}: {exc}"
            ) from exc
        if _is_not_run(head):
            raise not_run_refusal(Reason.UPSTREAM_REFUSED, name, 1.0)
        return head

    async def _is_same_instance(self, upstream, report: LoadReport | None) -> bool:
        """Return whether the instance that closed an idle connection still runs.

        If it does not, the call may have crashed it and is not retried.
        """
        probe = await self._states.probe(upstream)
        if probe.health is not Health.ALIVE:
            return False
        return report is None or report.instance == probe.instance


def _is_not_run(head: ResponseHead) -> bool:
    """Return whether an upstream states that it did not run a request."""
    return head.status == 429 or find_header(head.headers, NOT_RUN_HEADER) == "1"
