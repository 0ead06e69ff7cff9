"""Forwards calls of routes: header and body together, on spare connections."""

from collections import Counter, deque
from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionClosed,
    ConnectionLost,
    ProtocolError,
    Reason,
    SassafraskeelError,
    TimedOut,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import (
    STOP_SECONDS,
    Call,
    CallKind,
    HostInfo,
    Prompt,
    PromptPart,
    RoutePolicy,
)
from sassafraskeel.gateways.codec import decode_field
from sassafraskeel.gateways.forwarding import (
    CallConnection,
    CallConnectionPool,
    Forwarder,
    message_to_refusal,
    send_body,
)
from sassafraskeel.gateways.messages import Accept, Refuse, RouteOffer

# Between regions, dialling takes three round trips of 160 ms and the reply to an offer
# takes one.
CONNECT_TIMEOUT_SECONDS = 1.0
ACCEPT_TIMEOUT_SECONDS = 0.8
# Opening a connection to another region takes 0.5 to 0.7 s. Therefore this many spare
# connections are kept open to the hosts of a region, plus as many as were used in the
# last second.
SPARE_CONNECTIONS = 4
MAX_SPARE_CONNECTIONS = 24
RECENT_SECONDS = 1.0
# For all hosts together; bounds the memory of a host with links to many regions.
MAX_TOTAL_SPARES = 96


class RouteForwarder(Forwarder):
    """Forwards calls of routes to other hosts; sends the body right after the header.

    The local host has checked that the peer's region may process the call, and waiting
    for the acceptance would cost a round trip: between regions, that is a third of the
    target time of an answer. `on_spare_used` is called when the use of a connection
    leaves fewer spare ones than wanted.
    """

    def __init__(
        self,
        cfg: GatewaySection,
        local_host: HostInfo,
        clock: Clock,
        network: Network,
        manifest_version,
        log: LogSink,
        on_spare_used: Callable[[], Awaitable[None]],
    ):
        super().__init__(cfg, local_host, clock, network, manifest_version)
        self._log = log
        self._on_spare_used = on_spare_used
        self._dialling: Counter[HostInfo] = Counter()
        self._acquired_at: dict[HostInfo, deque[float]] = {}
        self._spares_per_host = SPARE_CONNECTIONS
        self._max_spares_per_host = MAX_SPARE_CONNECTIONS

    def spare_count(self, host: HostInfo) -> int:
        """Return how many connections to a host are open and not in use."""
        pool = self._pools.get(host)
        return pool.count_available() if pool else 0

    def preferred_hosts(self, hosts: list[HostInfo]) -> list[HostInfo]:
        """Return those of some hosts to which connections are kept open.

        If some of them have spare connections, only these are returned.
        """
        kept = [host for host in self._pools if host in hosts]
        return [host for host in kept if self.spare_count(host)] or kept

    async def maintain_spares(
        self,
        hosts: list[HostInfo],
        spares_per_host: int,
        group: SupervisedTaskGroup,
    ) -> None:
        """Open missing spare connections to hosts and close those to any other host."""
        self._spares_per_host = max(spares_per_host, 1)
        for host in [host for host in self._pools if host not in hosts]:
            self._acquired_at.pop(host, None)
            await self._pools.pop(host).close()
        self._max_spares_per_host = max(MAX_TOTAL_SPARES // max(len(hosts), 1), 1)
        for host in hosts:
            pool = self._pools.setdefault(host, CallConnectionPool(self._clock))
            ready = pool.count_available() + self._dialling[host]
            for _ in range(ready, self._spare_target(host)):
                self._dialling[host] += 1
                await group.spawn(self._open_spare, host, pool)

    def _spare_target(self, host: HostInfo) -> int:
        acquired_at = self._acquired_at.setdefault(host, deque())
        now = self._clock.monotonic()
        while acquired_at and now - acquired_at[0] >= RECENT_SECONDS:
            acquired_at.popleft()
        target = self._spares_per_host + len(acquired_at)
        return min(target, MAX_SPARE_CONNECTIONS, self._max_spares_per_host)

    async def _open_spare(self, host: HostInfo, pool: CallConnectionPool) -> None:
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_SECONDS):
                conn = await self._connect(host)
        except (ConnectionLost, ProtocolError, TimedOut) as exc:
            self._log.emit(Event.SPARE_FAILED, peer=host.name, detail=str(exc))
            return
        finally:
            self._dialling -= Counter((host,))
        await pool.release(conn)

    async def send(self, host: HostInfo, call: Call, body: bytes):
        """Forward a call to a host and return the answer.

        Raises Refusal: not run if the host is unreachable or closed the connection
        without a reply, the refusal of the host if it sent one, and an unknown outcome
        if the connection failed otherwise after dialling.
        """
        conn = await self._acquire_connection(host, call)
        # Dialling may have taken much of the remaining time.
        remaining = call.expires - self._clock.monotonic()
        offer = call_to_route_offer(call, self._clock.monotonic())
        try:
            async with self._clock.timeout(min(remaining, ACCEPT_TIMEOUT_SECONDS)):
                await send_body(conn.channel, body, offer)
                reply = await conn.channel.receive()
        except ConnectionClosed as exc:
            # A host sends Accept before it runs a call, and nothing that it sent was
            # lost, so that it did not run this one.
            await conn.channel.close()
            raise not_run_refusal(
                Reason.PEER_UNREACHABLE, f"{host.name}: {exc}"
            ) from exc
        except SassafraskeelError as exc:
            if call.route_policy.resumable:
                # The call may go on elsewhere. The host may have sent it to a replica.
                await conn.channel.stop(self._clock, STOP_SECONDS)
            await conn.channel.close()
            raise self._unknown_outcome(call, host, exc) from exc
        except BaseException:
            await conn.channel.close()
            raise
        if isinstance(reply, Refuse):
            pool = self._pools.setdefault(host, CallConnectionPool(self._clock))
            await pool.release(conn)
            raise message_to_refusal(reply)
        if not isinstance(reply, Accept):
            await conn.channel.close()
            raise self._unknown_outcome(call, host, "unexpected message")
        return await self._receive_answer(host, call, conn, None)

    async def _acquire_connection(self, host: HostInfo, call: Call) -> CallConnection:
        pool = self._pools.setdefault(host, CallConnectionPool(self._clock))
        conn = pool.acquire()
        while conn is not None and not await conn.channel.is_open(self._clock):
            await conn.channel.close()
            conn = pool.acquire()
        self._acquired_at.setdefault(host, deque()).append(self._clock.monotonic())
        if pool.count_available() + self._dialling[host] < self._spare_target(host):
            await self._on_spare_used()
        if conn is not None:
            return conn
        remaining = call.expires - self._clock.monotonic()
        try:
            async with self._clock.timeout(min(remaining, CONNECT_TIMEOUT_SECONDS)):
                return await self._connect(host)
        except (ConnectionLost, ProtocolError, TimedOut) as exc:
            raise not_run_refusal(
                Reason.PEER_UNREACHABLE, f"{host.name}: {exc}"
            ) from exc


def call_to_route_offer(call: Call, now: float) -> RouteOffer:
    """Return the offer that forwards a call of a route.

    `now` is a reading of the local monotonic clock in seconds.
    """
    timeout = call.expires - now
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
        route_policy=encode_route_policy(call.route_policy),
        start_within=max(min(call.queue_deadline - now, timeout), 0.0),
        needed_within=min(call.needed_until - now, timeout),
        run_seconds=min(call.run_seconds, timeout),
        software_version=call.software_version,
    )


def encode_route_policy(route_policy: RoutePolicy) -> list:
    """Return the fields of a route policy, with the prompt as a list."""
    prompt = route_policy.prompt
    encoded_prompt = None
    if prompt is not None:
        parts = [list(part) for part in prompt.parts]
        encoded_prompt = [
            prompt.model,
            prompt.input_tokens,
            prompt.max_output_tokens,
            parts,
        ]
    return [
        *route_policy._replace(
            home_regions=sorted(route_policy.home_regions), prompt=encoded_prompt
        )
    ]


def route_offer_to_call(offer: RouteOffer, now: float) -> Call:
    """Return the call in an offer; raise ProtocolError if it is malformed."""
    if offer.kind not in set(CallKind):
        raise ProtocolError(f"unknown call kind {offer.kind!r}")
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
        route_policy=decode_route_policy(offer.route_policy),
        resume_after=offer.resume_after,
        queue_deadline=now + offer.start_within,
        needed_until=now + offer.needed_within,
        run_seconds=offer.run_seconds,
        software_version=offer.software_version,
    )


def decode_route_policy(fields: list) -> RoutePolicy:
    """Return the route policy in a list; raise ProtocolError if it is malformed."""
    if len(fields) != len(RoutePolicy._fields):
        raise ProtocolError("the route policy of an offer has a wrong number of fields")
    *scalars, home_regions, prompt = fields
    annotations = list(RoutePolicy.__annotations__.values())
    values = [
        decode_field(value, annotation)
        for value, annotation in zip(scalars, annotations, strict=False)
    ]
    regions = frozenset(decode_field(region, str) for region in home_regions)
    return RoutePolicy(*values, regions, _decode_prompt(prompt))


def _decode_prompt(fields) -> Prompt | None:
    if fields is None:
        return None
    try:
        model, input_tokens, max_out, encoded_parts = decode_field(fields, list)
        parts = [
            PromptPart(decode_field(name, str), decode_field(tokens, int))
            for name, tokens in encoded_parts
        ]
    except (TypeError, ValueError) as exc:
        raise ProtocolError("the prompt of an offer is malformed") from exc
    return Prompt(
        decode_field(model, str),
        decode_field(input_tokens, int),
        decode_field(max_out, int),
        tuple(parts),
    )
