"""Calls of the services of a sheet: checks, attempts, retries and orders."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple, Protocol

from sassafraskeel.calls.answers import (
    ATTEMPTS_HEADER,
    SERVED_BY_HEADER,
    ReleasingAnswer,
)
from sassafraskeel.calls.attempts import AttemptHistory, Target, run_attempts
from sassafraskeel.calls.orders import OrderExecutor, OrderTransport
from sassafraskeel.calls.policies import retry_policy
from sassafraskeel.calls.sheet_placement import SheetPlacement
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Outcome,
    Reason,
    Refusal,
    TimedOut,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.types import Answer, Call, CallKind, HostInfo
from sassafraskeel.decisions.affinity import call_profile
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.residency import check_residency, home_domain
from sassafraskeel.sheets.model import Sheet, Upstream


class UpstreamSender(Protocol):
    """Sends calls to the upstreams of the local failure domain."""

    def in_flight(self, upstream: str) -> int:
        """Return the number of calls of this host in flight at an upstream."""

    async def send(
        self, upstream: Upstream, call: Call, body: bytes, check=None
    ) -> Answer:
        """Return the answer of an upstream; raise Refusal.

        `check` is called right before the first byte of an order is sent and may raise
        Refusal.
        """


class HostSender(Protocol):
    """Sends calls to other hosts."""

    async def send(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        """Return the answer of a host; raise Refusal."""


class SheetSenders(NamedTuple):
    """The senders for the two kinds of targets."""

    upstreams: UpstreamSender
    hosts: HostSender


class SheetCalls:
    """Checks calls and sends them to an upstream or another host.

    Implements CallDispatcher and AttemptPolicy.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        membership: Membership,
        senders: SheetSenders,
        sheet: Callable[[], Sheet | None],
        placement: SheetPlacement,
        orders: OrderExecutor,
    ):
        self._cfg = cfg
        self._clock = clock
        self._membership = membership
        self._senders = senders
        self._sheet = sheet
        self._placement = placement
        self._orders = orders
        self._retries = retry_policy(cfg.limits)
        self._prefix_key = hashlib.sha256(cfg.gateways.token.encode()).digest()

    def sheet(self) -> Sheet:
        """Return the sheet in force; raise Refusal if there is none."""
        sheet = self._sheet()
        if sheet is None:
            raise not_run_refusal(Reason.NO_SHEET, "no sheet is installed yet", 1.0)
        return sheet

    def known_hosts(self) -> list[HostInfo]:
        """Return the remote hosts of all domains that accept new work."""
        return self._placement.domains.all_hosts(self._clock.monotonic())

    def sheet_version(self) -> int:
        """Return the version of the sheet in force, 0 if there is none."""
        sheet = self._sheet()
        return sheet.version if sheet else 0

    def check(self, call: Call) -> None:
        """Raise Refusal unless this host may run the call; the body is not needed."""
        local_host = self._membership.local_host
        if local_host.name in call.hops or len(call.hops) >= self._cfg.limits.max_hops:
            raise not_run_refusal(
                Reason.LOOP, " > ".join((*call.hops, local_host.name))
            )
        check_residency(self.sheet(), call, local_host.domain)
        if call.expires <= self._clock.monotonic():
            raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")

    async def run(self, call: Call, body: bytes) -> Answer:
        """Return the answer to a call that passed `check`; raise Refusal."""
        if call.kind is CallKind.ORDER:
            return await self._run_order(call, body)
        self._retries.record_call()
        return await run_attempts(self, call, body, AttemptHistory())

    async def find_target(
        self, call: Call, body: bytes, history: AttemptHistory
    ) -> Target:
        profile = call_profile(call, body, self._prefix_key)
        target = await self._placement.find_target(
            self.sheet, call, profile, history.excluded
        )
        return target._replace(work_class=profile.work_class)

    async def send_attempt(
        self, target: Target, call: Call, body: bytes, history: AttemptHistory
    ) -> Answer:
        return await self._send_tracked(target, call, body, history.attempts)

    def may_retry(self, call: Call, refusal: Refusal, history: AttemptHistory) -> bool:
        in_time = call.expires > self._clock.monotonic()
        return in_time and self._retries.allows(call, refusal, history.attempts)

    def may_retry_answer(
        self, call: Call, answer: Answer, history: AttemptHistory
    ) -> bool:
        """Return False: the answer of an upstream is returned whatever its status."""
        return False

    async def _run_order(self, call: Call, body: bytes) -> Answer:
        home = home_domain(self.sheet(), call.workspace, call.service)
        domain = self._membership.local_host.domain
        if home != domain:
            return await self._forward_to_home(home, call, body)
        transport = OrderTransport(
            self._dispatch_order, self._forward_order, self._find_member
        )
        answer = await self._orders.run(call, body, transport)

        async def release(is_complete: bool) -> None:
            pass  # The answer of the attempt releases the slot.

        return ReleasingAnswer(answer, ((SERVED_BY_HEADER, domain.encode()),), release)

    async def _forward_to_home(self, home: str, call: Call, body: bytes) -> Answer:
        try:
            target = self._placement.find_host(home, call)
            return await self._send_order(target, call, body)
        except Refusal as refusal:
            if refusal.reason not in (Reason.NO_UPSTREAM, Reason.PEER_UNREACHABLE):
                raise
            # An earlier call with the same order id may have run in its home domain.
            detail = refusal.detail
            raise unknown_outcome_refusal(
                Reason.OWNER_UNREACHABLE, detail, 1.0
            ) from refusal

    async def _dispatch_order(self, call: Call, body: bytes, check) -> Answer:
        profile = call_profile(call, body, self._prefix_key)
        target = await self._placement.find_local_slot(self.sheet, call, profile)
        return await self._send_order(target, call, body, check)

    async def _forward_order(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        target = Target(host.domain, None, host)
        return await self._send_order(target, call, body)

    async def _send_order(self, target, call, body, check=None) -> Answer:
        target = target._replace(work_class=call.kind.value)
        return await self._send_tracked(target, call, body, 1, check)

    def _find_member(self, name: str, incarnation: str) -> HostInfo | None:
        member = self._membership.member(name)
        known = member is not None and member.info.incarnation == incarnation
        return member.info if known else None

    async def _send_tracked(
        self,
        target: Target,
        call: Call,
        body: bytes,
        attempts: int,
        check=None,
    ) -> Answer:
        started = self._clock.monotonic()
        try:
            answer, headers = await self._send(target, call, body, check)
        except BaseException as exc:
            self._record_failure(target, exc)
            await self._placement.release(target)
            raise

        async def release(is_complete: bool) -> None:
            if is_complete:
                seconds = self._clock.monotonic() - started
                self._record_success(target, call, seconds)
            await self._placement.release(target)

        if not call.hops:
            headers += ((ATTEMPTS_HEADER, str(attempts).encode()),)
        return ReleasingAnswer(answer, headers, release)

    async def _send(self, target: Target, call: Call, body: bytes, check=None):
        local_host = self._membership.local_host
        # A newer sheet may have been installed while the call was queued.
        sheet = self.sheet()
        check_residency(sheet, call, local_host.domain)
        if target.upstream is not None:
            send = self._senders.upstreams.send
            answer = await send(target.upstream, call, body, check)
            return answer, ((SERVED_BY_HEADER, local_host.domain.encode()),)
        check_residency(sheet, call, target.host.domain)
        if call.hops and target.host.domain != local_host.domain:
            # Hosts with different sheets could forward a call back and forth.
            raise not_run_refusal(Reason.LOOP, f"already forwarded by {call.hops[-1]}")
        forwarded = call._replace(hops=(*call.hops, local_host.name))
        return await self._senders.hosts.send(target.host, forwarded, body), ()

    def _record_failure(self, target: Target, exc: BaseException) -> None:
        if not isinstance(exc, Refusal) or _is_call_timeout(exc):
            return
        now = self._clock.monotonic()
        if target.upstream is not None and exc.reason is Reason.UPSTREAM_FAILED:
            self._placement.estimates.health.failed(target.name, now)
        elif target.host is not None and exc.reason is Reason.PEER_UNREACHABLE:
            silent = isinstance(exc.__cause__, TimedOut)
            self._placement.domains.failed(target.host, silent, now)

    def _record_success(self, target: Target, call: Call, seconds: float) -> None:
        now = self._clock.monotonic()
        if target.host is not None:
            self._placement.domains.succeeded(target.host, now)
        else:
            self._placement.estimates.health.succeeded(target.name, now)
            self._placement.service_times.record(
                call.service, target.work_class, seconds
            )


def _is_call_timeout(refusal: Refusal) -> bool:
    """Return whether a refusal is due to the call's deadline, not to the target."""
    timed_out = isinstance(refusal.__cause__, TimedOut)
    return refusal.outcome is Outcome.UNKNOWN and timed_out
