"""Forwarding a call to another host over a pooled call connection."""

from collections import deque
from collections.abc import Awaitable, Callable
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
    not_run,
    unknown,
)
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.tasks import Group
from sassafraskeel.core.types import (
    Call,
    CallKind,
    Head,
    HostInfo,
    Prompt,
    PromptPart,
    Terms,
)
from sassafraskeel.gateways.channel import Channel, dial
from sassafraskeel.gateways.codec import (
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
    RouteOffer,
    decode_field,
)

MAX_IDLE_SECONDS = 15.0
MAX_AGE_SECONDS = 60.0
MAX_IDLE_CONNECTIONS = 32
OFFER_TIMEOUT_SECONDS = 3.0
# Far below the largest message, so that a part and its frame always fit.
MAX_PART_BYTES = 512 * 1024
# Dialling another region takes three round trips of 160 ms, an answer to an offer one.
CONNECT_TIMEOUT_SECONDS = 1.0
ACCEPT_TIMEOUT_SECONDS = 0.8
SPARE_CONNECTIONS = 2


class CallConnection(NamedTuple):
    """An open call connection and when it was opened and last used."""

    channel: Channel
    opened_at: float
    used_at: float


class ForwardedAnswer:
    """The answer to a forwarded call, as it arrives."""

    def __init__(self, head: Head, conn: CallConnection, pool: "CallConnections"):
        self.head = head
        self._conn = conn
        self._pool = pool
        self._whole = False

    async def read(self) -> bytes:
        if self._whole:
            return b""
        message = await self._conn.channel.receive()
        if isinstance(message, AnswerData):
            return message.data
        if isinstance(message, AnswerEnd):
            self._whole = True
            return b""
        detail = message.detail if isinstance(message, AnswerFail) else "wrong message"
        raise AnswerTruncated(detail)

    async def close(self) -> None:
        if self._whole:
            await self._pool.release(self._conn)
        else:
            # Closing the connection makes the other host cancel the call.
            await self._conn.channel.close()


class CallConnections:
    """The idle call connections to one host."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._idle: deque[CallConnection] = deque()

    def take(self) -> CallConnection | None:
        """Return an idle connection that is neither old nor long unused."""
        now = self._clock.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if (
                now - conn.used_at < MAX_IDLE_SECONDS
                and now - conn.opened_at < MAX_AGE_SECONDS
            ):
                return conn
        return None

    def fresh(self) -> int:
        """Return how many idle connections can be taken."""
        now = self._clock.monotonic()
        return sum(now - conn.used_at < MAX_IDLE_SECONDS for conn in self._idle)

    async def release(self, conn: CallConnection) -> None:
        """Keep a connection whose last call is over, up to a bound."""
        if len(self._idle) >= MAX_IDLE_CONNECTIONS:
            await conn.channel.close()
        else:
            self._idle.append(conn._replace(used_at=self._clock.monotonic()))

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().channel.close()


class Forwarder:
    """Sends calls to other hosts; header first, body after acceptance."""

    def __init__(
        self,
        cfg: GatewaySection,
        own: HostInfo,
        clock: Clock,
        network: Network,
        sheet_version,
    ):
        self._cfg = cfg
        self._own = own
        self._clock = clock
        self._network = network
        self._sheet_version = sheet_version
        self._pools: dict[HostInfo, CallConnections] = {}

    async def send(self, host: HostInfo, call: Call, body: bytes):
        """Return the answer of another host to a call.

        Raises Refusal: not run if the other host did not take the body, else as
        the other host says, or unknown where it can no longer say.
        """
        remaining = call.expires - self._clock.monotonic()
        try:
            async with self._clock.timeout(min(remaining, OFFER_TIMEOUT_SECONDS)):
                conn = await self._offer(host, call, remaining)
        except (ConnectionLost, ProtocolError, TimedOut) as exc:
            raise not_run(Reason.PEER_UNREACHABLE, f"{host.name}: {exc}") from exc
        return await self._finish(host, call, conn, body)

    async def _finish(self, host, call, conn, body: bytes | None):
        """Send the body, unless it went with the offer, and return the answer."""
        try:
            async with self._clock.timeout(call.expires - self._clock.monotonic()):
                if body is not None:
                    await _send_body(conn.channel, body)
                head = await conn.channel.receive()
        except SassafraskeelError as exc:
            await conn.channel.close()
            raise self._lost(call, host, exc) from exc
        except BaseException:
            await conn.channel.close()
            raise
        pool = self._pools.setdefault(host, CallConnections(self._clock))
        if isinstance(head, Refuse):
            await pool.release(conn)
            raise refusal_of(head)
        if not isinstance(head, AnswerHead):
            await conn.channel.close()
            raise self._lost(call, host, "wrong message")
        return ForwardedAnswer(Head(head.status, head.headers), conn, pool)

    async def close(self) -> None:
        """Close all idle connections."""
        for pool in self._pools.values():
            await pool.close()

    async def _offer(self, host, call, timeout) -> CallConnection:
        pool = self._pools.setdefault(host, CallConnections(self._clock))
        offer = offer_of(call, timeout, self._sheet_version())
        conn = pool.take()
        if conn is not None:
            try:
                return await self._offer_on(conn, pool, offer)
            except (ConnectionLost, ProtocolError):
                pass  # The idle connection had been closed; nothing was sent yet.
        return await self._offer_on(await self._connect(host), pool, offer)

    async def _connect(self, host) -> CallConnection:
        hello = Hello(self._own, self._cfg.token, self._sheet_version(), "calls")
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
            raise refusal_of(reply)
        if not isinstance(reply, Accept):
            await conn.channel.close()
            raise ProtocolError("an offer was answered by a wrong message")
        return conn

    def _lost(self, call, host, detail) -> Refusal:
        text = f"{host.name}: {detail}"
        return unknown(Reason.PEER_UNREACHABLE, text)


class RouteForwarder(Forwarder):
    """Sends calls of routes to other hosts, with the body right behind the header.

    The sender has checked that the receiver's region may hold the call, and a round
    trip between regions takes a third of the time in which an answer is wanted.
    `wake` is called when a spare connection was used.
    """

    def __init__(
        self,
        cfg: GatewaySection,
        own: HostInfo,
        clock: Clock,
        network: Network,
        version,
        wake: Callable[[], Awaitable[None]],
    ):
        super().__init__(cfg, own, clock, network, version)
        self._wake = wake
        self._dialling: set[HostInfo] = set()

    def spares(self, host: HostInfo) -> int:
        """Return how many open connections to a host are not in use."""
        pool = self._pools.get(host)
        return pool.fresh() if pool else 0

    async def keep_spares(self, hosts: list[HostInfo], group: Group) -> None:
        """Open a spare connection to each host that has none, and drop other hosts.

        Opening one while a call waits would take three round trips between regions.
        """
        for host in [host for host in self._pools if host not in hosts]:
            await self._pools.pop(host).close()
        for host in hosts:
            pool = self._pools.setdefault(host, CallConnections(self._clock))
            if pool.fresh() < SPARE_CONNECTIONS and host not in self._dialling:
                self._dialling.add(host)
                await group.spawn(self._open_spare, host, pool)

    async def _open_spare(self, host: HostInfo, pool: CallConnections) -> None:
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_SECONDS):
                conn = await self._connect(host)
        except (ConnectionLost, ProtocolError, TimedOut):
            return  # The control link to the host shows and logs its loss.
        finally:
            self._dialling.discard(host)
        await pool.release(conn)

    async def send(self, host: HostInfo, call: Call, body: bytes):
        """Return the answer of another host to a call; raise Refusal."""
        conn = await self._take(host, call)
        # Dialling may have taken a good part of the time that was left.
        remaining = call.expires - self._clock.monotonic()
        offer = route_offer_of(call, self._clock.monotonic())
        try:
            async with self._clock.timeout(min(remaining, ACCEPT_TIMEOUT_SECONDS)):
                await conn.channel.send(offer)
                await _send_body(conn.channel, body)
                reply = await conn.channel.receive()
        except SassafraskeelError as exc:
            await conn.channel.close()
            raise self._lost(call, host, exc) from exc
        except BaseException:
            await conn.channel.close()
            raise
        if isinstance(reply, Refuse):
            pool = self._pools.setdefault(host, CallConnections(self._clock))
            await pool.release(conn)
            raise refusal_of(reply)
        if not isinstance(reply, Accept):
            await conn.channel.close()
            raise self._lost(call, host, "wrong message")
        return await self._finish(host, call, conn, None)

    async def _take(self, host: HostInfo, call: Call) -> CallConnection:
        pool = self._pools.setdefault(host, CallConnections(self._clock))
        conn = pool.take()
        if pool.fresh() < SPARE_CONNECTIONS:
            await self._wake()
        if conn is not None:
            return conn
        remaining = call.expires - self._clock.monotonic()
        try:
            async with self._clock.timeout(min(remaining, CONNECT_TIMEOUT_SECONDS)):
                return await self._connect(host)
        except (ConnectionLost, ProtocolError, TimedOut) as exc:
            raise not_run(Reason.PEER_UNREACHABLE, f"{host.name}: {exc}") from exc


async def _send_body(channel: Channel, body: bytes) -> None:
    start = 0
    while len(body) - start > MAX_PART_BYTES:
        await channel.send(BodyPart(body[start : start + MAX_PART_BYTES]))
        start += MAX_PART_BYTES
    await channel.send(Body(body[start:]))


def offer_of(call: Call, timeout: float, sheet_version: int) -> Offer:
    """Return the offer of a call."""
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


def call_of(offer: Offer, now: float) -> Call:
    """Return the call of an offer; raise ProtocolError if its kind is not known."""
    if offer.kind not in set(CallKind):
        raise ProtocolError(f"call kind {offer.kind!r} is not known")
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
    )


def route_offer_of(call: Call, now: float) -> RouteOffer:
    """Return the offer of a call of a route."""
    timeout = call.expires - now
    terms = call.terms
    prompt = terms.prompt
    rows = None
    if prompt is not None:
        parts = [list(part) for part in prompt.parts]
        rows = [prompt.model, prompt.tokens_in, prompt.max_tokens_out, parts]
    return RouteOffer(
        call_id=call.call_id,
        service=call.service,
        kind=call.kind.value,
        method=call.method,
        path=call.path,
        headers=call.headers,
        timeout=timeout,
        priority=call.priority,
        hops=call.hops,
        resume_after=call.resume_after,
        terms=[*terms._replace(homes=sorted(terms.homes), prompt=rows)],
        start_within=max(min(call.start_by - now, timeout), 0.0),
    )


def call_of_route(offer: RouteOffer, now: float) -> Call:
    """Return the call of an offer; raise ProtocolError if it is malformed."""
    if offer.kind not in set(CallKind):
        raise ProtocolError(f"call kind {offer.kind!r} is not known")
    return Call(
        call_id=offer.call_id,
        workspace="",
        service=offer.service,
        kind=CallKind(offer.kind),
        method=offer.method,
        path=offer.path,
        headers=offer.headers,
        expires=now + offer.timeout,
        priority=offer.priority,
        hops=offer.hops,
        terms=_terms(offer.terms),
        resume_after=offer.resume_after,
        start_by=now + offer.start_within,
    )


def _terms(fields: list) -> Terms:
    if len(fields) != len(Terms._fields):
        raise ProtocolError("the terms of an offer have missing fields")
    *plain, homes, prompt = fields
    kinds = list(Terms.__annotations__.values())
    values = [
        decode_field(value, kind) for value, kind in zip(plain, kinds, strict=False)
    ]
    regions = frozenset(decode_field(region, str) for region in homes)
    return Terms(*values, regions, _prompt(prompt))


def _prompt(fields) -> Prompt | None:
    if fields is None:
        return None
    try:
        model, tokens_in, max_out, rows = decode_field(fields, list)
        parts = [
            PromptPart(decode_field(name, str), decode_field(tokens, int))
            for name, tokens in rows
        ]
    except (TypeError, ValueError) as exc:
        raise ProtocolError("the prompt of an offer is malformed") from exc
    return Prompt(
        decode_field(model, str),
        decode_field(tokens_in, int),
        decode_field(max_out, int),
        tuple(parts),
    )


def refuse_of(refusal: Refusal) -> Refuse:
    """Return the message of a refusal."""
    retry_after = refusal.retry_after if refusal.retry_after is not None else -1.0
    return Refuse(
        refusal.outcome.value, refusal.reason.value, refusal.detail, retry_after
    )


def refusal_of(message: Refuse) -> Refusal:
    """Return the refusal of a message; raise ProtocolError if it is malformed."""
    if message.outcome not in set(Outcome) or message.reason not in set(Reason):
        raise ProtocolError("a refusal has an outcome or reason that is not known")
    retry_after = message.retry_after if message.retry_after >= 0 else None
    return Refusal(
        Outcome(message.outcome), Reason(message.reason), message.detail, retry_after
    )
