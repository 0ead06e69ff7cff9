"""Forwards calls to other hosts over pooled connections."""

from collections import deque
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    Outcome,
    ProtocolError,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.types import (
    STOP_SECONDS,
    Call,
    CallKind,
    HostInfo,
    ResponseHead,
)
from sassafraskeel.gateways.channel import Channel, dial
from sassafraskeel.gateways.messages import (
    Accept,
    AnswerData,
    AnswerEnd,
    AnswerFail,
    AnswerHead,
    Body,
    BodyPart,
    Hello,
    Offer,
    Refuse,
    RouteAnswerHead,
    RouteOffer,
)

MAX_CONNECTION_IDLE_SECONDS = 15.0
MAX_CONNECTION_AGE_SECONDS = 60.0
MAX_IDLE_CONNECTIONS = 32
OFFER_TIMEOUT_SECONDS = 3.0
# An offer of the sheet interface does not tell for how long a stream may last.
MAX_FORWARDED_ANSWER_SECONDS = 3600.0
# Far below MAX_MESSAGE_BYTES, so that a part always fits into a message.
MAX_PART_BYTES = 512 * 1024


class CallConnection(NamedTuple):
    """An open call connection; the times are in monotonic seconds."""

    channel: Channel
    opened_at: float
    used_at: float


class ForwardedAnswer:
    """The answer to a forwarded call, read while it arrives.

    `peer` is the name of the host that answers. `software_version` is that of the
    replica that writes the answer, "" if it is unknown.
    """

    def __init__(
        self,
        peer: str,
        head: ResponseHead,
        conn: CallConnection,
        pool: "CallConnectionPool",
        clock: Clock,
        expires: float,
        software_version: str = "",
    ):
        self.head = head
        self.software_version = software_version
        self._peer = peer
        self._conn = conn
        self._pool = pool
        self._clock = clock
        self._expires = expires
        self._complete = False

    async def read(self) -> bytes:
        if self._complete:
            return b""
        try:
            message = await self._receive()
        except ConnectionLost as exc:
            raise AnswerTruncated(f"{self._peer}: {exc}") from exc
        if isinstance(message, AnswerData):
            return message.data
        if isinstance(message, AnswerEnd):
            self._complete = True
            return b""
        detail = (
            message.detail if isinstance(message, AnswerFail) else "unexpected message"
        )
        raise AnswerTruncated(f"{self._peer}: {detail}")

    async def _receive(self):
        # A host that is suspended does not end its calls at their deadline.
        remaining = self._expires - self._clock.monotonic()
        if remaining <= 0:
            # A read that need not wait does not notice that its time is over.
            raise TimedOut(0.0)
        async with self._clock.timeout(remaining):
            return await self._conn.channel.receive()

    async def stop(self) -> None:
        """Close the channel once the peer has closed its end, or time is up."""
        if not self._complete:
            remaining = max(self._expires - self._clock.monotonic(), 0.0)
            await self._conn.channel.stop(self._clock, min(STOP_SECONDS, remaining))
        await self.close()

    async def close(self) -> None:
        if self._complete:
            await self._pool.release(self._conn)
        else:
            # The peer cancels the call when its connection is closed.
            await self._conn.channel.close()


class CallConnectionPool:
    """The idle call connections to one host."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: deque[CallConnection] = deque()

    def acquire(self) -> CallConnection | None:
        """Return the most recently used connection, or None if none is usable.

        Connections that exceed the maximum age or idle time are dropped.
        """
        now = self._clock.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if (
                now - conn.used_at < MAX_CONNECTION_IDLE_SECONDS
                and now - conn.opened_at < MAX_CONNECTION_AGE_SECONDS
            ):
                return conn
        return None

    def count_available(self) -> int:
        """Return how many connections have not exceeded the maximum idle time."""
        now = self._clock.monotonic()
        return sum(
            now - conn.used_at < MAX_CONNECTION_IDLE_SECONDS for conn in self._idle
        )

    async def release(self, conn: CallConnection) -> None:
        """Return a connection after its call, or close it if the pool is full."""
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            await conn.channel.close()
        else:
            self._idle.append(conn._replace(used_at=self._clock.monotonic()))

    async def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            await self._idle.pop().channel.close()


class Forwarder:
    """Forwards calls to other hosts; sends the body after the header is accepted."""

    def __init__(
        self,
        cfg: GatewaySection,
        local_host: HostInfo,
        clock: Clock,
        network: Network,
        sheet_version,
    ):
        self._cfg = cfg
        self._local_host = local_host
        self._clock = clock
        self._network = network
        self._sheet_version = sheet_version
        self._pools: dict[HostInfo, CallConnectionPool] = {}

    async def send(self, host: HostInfo, call: Call, body: bytes):
        """Forward a call to a host and return the answer.

        Raises Refusal: not run if the host did not reply to the offer, the refusal of
        the host if it sent one, and an unknown outcome if the connection failed after
        the host had accepted the offer.
        """
        remaining = call.expires - self._clock.monotonic()
        try:
            async with self._clock.timeout(min(remaining, OFFER_TIMEOUT_SECONDS)):
                conn = await self._offer(host, call, remaining)
        except (ConnectionLost, ProtocolError, TimedOut) as exc:
            raise not_run_refusal(
                Reason.PEER_UNREACHABLE, f"{host.name}: {exc}"
            ) from exc
        return await self._receive_answer(host, call, conn, body)

    async def _receive_answer(self, host, call, conn, body: bytes | None):
        """Send the body, unless it is None, and return the answer.

        The body is None if it has been sent with the offer.
        """
        try:
            async with self._clock.timeout(call.expires - self._clock.monotonic()):
                if body is not None:
                    await send_body(conn.channel, body)
                head = await conn.channel.receive()
        except SassafraskeelError as exc:
            await conn.channel.close()
            raise self._unknown_outcome(call, host, exc) from exc
        except BaseException:
            await conn.channel.close()
            raise
        pool = self._pools.setdefault(host, CallConnectionPool(self._clock))
        if isinstance(head, Refuse):
            await pool.release(conn)
            raise message_to_refusal(head)
        if not isinstance(head, AnswerHead | RouteAnswerHead):
            await conn.channel.close()
            raise self._unknown_outcome(call, host, "unexpected message")
        version = head.software_version if isinstance(head, RouteAnswerHead) else ""
        return ForwardedAnswer(
            host.name,
            ResponseHead(head.status, head.headers),
            conn,
            pool,
            self._clock,
            call.ends_by,
            version,
        )

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close()

    async def _offer(self, host, call, timeout) -> CallConnection:
        pool = self._pools.setdefault(host, CallConnectionPool(self._clock))
        offer = call_to_offer(call, timeout, self._sheet_version())
        conn = pool.acquire()
        if conn is not None:
            try:
                return await self._offer_on(conn, pool, offer)
            except (ConnectionLost, ProtocolError):
                pass  # The peer may have closed the idle connection; no body was sent.
        return await self._offer_on(await self._connect(host), pool, offer)

    async def _connect(self, host) -> CallConnection:
        hello = Hello(self._local_host, self._cfg.token, self._sheet_version(), "calls")
        channel, peer = await dial(self._network, host.gateways, hello)
        if peer.host.incarnation != host.incarnation:
            await channel.close()
            raise ConnectionLost(f"{host.name} was replaced")
        now = self._clock.monotonic()
        return CallConnection(channel, now, now)

    async def _offer_on(self, conn, pool, offer) -> CallConnection:
        try:
            await conn.channel.send(offer)
            reply = await conn.channel.receive()
        except BaseException:
            await conn.channel.close()
            raise
        if isinstance(reply, Refuse):
            await pool.release(conn)
            raise message_to_refusal(reply)
        if not isinstance(reply, Accept):
            await conn.channel.close()
            raise ProtocolError("unexpected reply to an offer")
        return conn

    def _unknown_outcome(self, call, host, detail) -> Refusal:
        text = f"{host.name}: {detail}"
        return unknown_outcome_refusal(Reason.PEER_UNREACHABLE, text)


async def send_body(channel: Channel, body: bytes, offer: RouteOffer | None = None):
    """Send a body in parts of at most MAX_PART_BYTES.

    An offer goes into the same write as the first part, because a write fails after
    the peer has closed the connection, and its reply is then lost.
    """
    messages = () if offer is None else (offer,)
    start = 0
    while len(body) - start > MAX_PART_BYTES:
        part = BodyPart(body[start : start + MAX_PART_BYTES])
        await channel.send(*messages, part)
        messages = ()
        start += MAX_PART_BYTES
    await channel.send(*messages, Body(body[start:]))


def call_to_offer(call: Call, timeout: float, sheet_version: int) -> Offer:
    """Return the offer that forwards a call.

    `timeout` is the remaining time of the call in seconds.
    """
    return Offer(
        call_id=call.call_id,
        workspace=call.workspace,
        service=call.service,
        kind=call.kind.value,
        method=call.method,
        path=call.path,
        headers=call.headers,
        timeout=timeout,
        priority=call.priority,
        hops=call.hops,
        order_id=call.order_id,
        stream=call.stream,
        sheet_version=sheet_version,
    )


def offer_to_call(offer: Offer, now: float) -> Call:
    """Return the call in an offer; raise ProtocolError if its kind is unknown.

    `now` is a reading of the local monotonic clock in seconds. The host of the caller
    ends an answer that has begun; its connection then closes.
    """
    if offer.kind not in set(CallKind):
        raise ProtocolError(f"unknown call kind {offer.kind!r}")
    return Call(
        call_id=offer.call_id,
        workspace=offer.workspace,
        service=offer.service,
        kind=CallKind(offer.kind),
        method=offer.method,
        path=offer.path,
        headers=offer.headers,
        expires=now + offer.timeout,
        priority=offer.priority,
        hops=offer.hops,
        order_id=offer.order_id,
        stream=offer.stream,
        answer_expires=now + offer.timeout + MAX_FORWARDED_ANSWER_SECONDS,
    )


def refusal_to_message(refusal: Refusal) -> Refuse:
    """Return the message that encodes a refusal."""
    retry_after = refusal.retry_after if refusal.retry_after is not None else -1.0
    return Refuse(
        refusal.outcome.value, refusal.reason.value, refusal.detail, retry_after
    )


def message_to_refusal(message: Refuse) -> Refusal:
    """Return the refusal in a message; raise ProtocolError if it is malformed."""
    if message.outcome not in set(Outcome) or message.reason not in set(Reason):
        raise ProtocolError("a refusal has an unknown outcome or reason")
    retry_after = message.retry_after if message.retry_after >= 0 else None
    return Refusal(
        Outcome(message.outcome), Reason(message.reason), message.detail, retry_after
    )
