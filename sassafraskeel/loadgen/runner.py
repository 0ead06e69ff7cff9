"""Makes scheduled calls to gateway hosts, one task for each call."""

import json
import random

from sassafraskeel.callers.refusals import decode_outcome
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, SassafraskeelError, TimedOut
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.net import Address, Network, parse_address
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import CallKind, ResponseHead
from sassafraskeel.loadgen.report import CallResult
from sassafraskeel.loadgen.schedule import Arrival
from sassafraskeel.loadgen.workloads import HttpCall, build_request
from sassafraskeel.sheets.model import ServiceType, Sheet

CLIENT_DELAY_SECONDS = 0.001
DIRECTORY_CACHE_SECONDS = 5.0
DIRECTORY_TIMEOUT_SECONDS = 1.0
# Time after its deadline at which a call is abandoned; the gateway answers earlier.
GRACE_SECONDS = 5.0
MAX_IN_FLIGHT = 2000
MAX_HOSTS_TRIED = 2
END_EVENT = b"data: [DONE]\n\n"


class Runner:
    """Makes the calls of a schedule, whether or not earlier calls have ended.

    Calls wait only while MAX_IN_FLIGHT calls are in flight.
    """

    def __init__(
        self,
        clock: Clock,
        network: Network,
        sheet: Sheet,
        entry_addresses: list[Address],
        rng: random.Random,
    ):
        self._clock = clock
        self._network = network
        self._sheet = sheet
        self._entry_addresses = entry_addresses
        self._rng = rng
        self._services = services_by_kind(sheet)
        self._directory_cache: dict[tuple[str, str], tuple[float, list[dict]]] = {}
        self.results: list[CallResult] = []

    async def run(self, schedule: list[Arrival]) -> list[CallResult]:
        """Make all calls when they are due, and return their results."""
        started = self._clock.monotonic()
        async with SupervisedTaskGroup() as group:
            for arrival in schedule:
                due = started + arrival.at
                await self._clock.sleep(due - self._clock.monotonic())
                while len(group) >= MAX_IN_FLIGHT:
                    await self._clock.sleep(CLIENT_DELAY_SECONDS)
                await group.spawn(self._make_call, arrival, due)
        return self.results

    async def _make_call(self, arrival: Arrival, due: float) -> None:
        template = arrival.template
        now = self._clock.now()
        request = build_request(
            template, arrival.workspace, self._services, arrival.number, now
        )
        try:
            async with self._clock.timeout(template.deadline + GRACE_SECONDS):
                head, data = await self._exchange(arrival, request)
        except TimedOut:
            self._record_result(arrival, due, "broken", "timeout", None)
            return
        except SassafraskeelError as exc:
            self._record_result(arrival, due, "broken", type(exc).__name__, None)
            return
        outcome, reason = decode_outcome(head.status, data).value, ""
        if outcome == "answered" and head.status >= 300:
            outcome, reason = "broken", f"status {head.status}"
        elif outcome == "answered" and template.stream and not data.endswith(END_EVENT):
            outcome, reason = "broken", "no end marker"
        elif outcome != "answered":
            reason = json.loads(data)["reason"]
        self._record_result(arrival, due, outcome, reason, head)

    async def _exchange(self, arrival, request: HttpCall) -> tuple[ResponseHead, bytes]:
        addresses = (await self._host_addresses(arrival))[:MAX_HOSTS_TRIED]
        if arrival.template.kind is CallKind.ORDER:
            addresses = addresses[:1]  # No retry: an order may have run.
        for address in addresses[:-1]:
            try:
                return await self._exchange_with(address, request)
            except ConnectionLost:
                continue
        return await self._exchange_with(addresses[-1], request)

    async def _exchange_with(self, address, request) -> tuple[ResponseHead, bytes]:
        await self._clock.sleep(CLIENT_DELAY_SECONDS)
        answer = await request_once(
            self._network,
            self._clock,
            address,
            request.method,
            request.path,
            request.headers,
            request.body,
        )
        await self._clock.sleep(CLIENT_DELAY_SECONDS)
        return answer

    async def _host_addresses(self, arrival) -> list[Address]:
        """Return hosts in order of preference; those of the first domain shuffled."""
        service = self._services[arrival.template.kind]
        key = (arrival.workspace, service)
        now = self._clock.monotonic()
        cached = self._directory_cache.get(key)
        if cached is None or now - cached[0] > DIRECTORY_CACHE_SECONDS:
            cached = (now, cached[1] if cached else [])
            # Calls that start during the fetch use the old list.
            self._directory_cache[key] = cached
            hosts = await self._fetch_directory(*key)
            self._directory_cache[key] = cached = (now, hosts or cached[1])
        hosts = cached[1]
        if not hosts:
            return [self._rng.choice(self._entry_addresses)]
        first_domain = [host for host in hosts if host["domain"] == hosts[0]["domain"]]
        other_domains = [host for host in hosts if host not in first_domain]
        self._rng.shuffle(first_domain)
        return [
            parse_address(host["address"]) for host in (*first_domain, *other_domains)
        ]

    async def _fetch_directory(self, workspace: str, service: str) -> list[dict]:
        path = f"/v1/directory?workspace={workspace}&service={service}"
        for address in self._rng.sample(
            self._entry_addresses, len(self._entry_addresses)
        ):
            try:
                async with self._clock.timeout(DIRECTORY_TIMEOUT_SECONDS):
                    head, data = await request_once(
                        self._network, self._clock, address, "GET", path
                    )
            except SassafraskeelError:
                continue  # Try the next entry host.
            if head.status == 200:
                return json.loads(data)["hosts"]
        return []

    def _record_result(
        self, arrival, due, outcome, reason, head: ResponseHead | None
    ) -> None:
        template = arrival.template
        headers = head.headers if head else ()
        home = self._sheet.workspaces[arrival.workspace].home
        served_by = find_header(headers, b"x-served-by") or home
        attempts = int(find_header(headers, b"x-attempts") or "0")
        self.results.append(
            CallResult(
                template.name,
                outcome,
                reason,
                self._clock.monotonic() - due,
                template.deadline,
                home,
                served_by,
                attempts,
                call_cost(self._sheet, self._services[template.kind], home, served_by),
            )
        )


def services_by_kind(sheet: Sheet) -> dict[CallKind, str]:
    """Return the first service of the sheet for each kind of call."""
    services = {}
    for service in sheet.services.values():
        if service.type is ServiceType.MODEL:
            services.setdefault(CallKind.MODEL, service.name)
        else:
            services.setdefault(CallKind.READ, service.name)
            services.setdefault(CallKind.ORDER, service.name)
    return services


def call_cost(sheet: Sheet, service: str, home: str, served_by: str) -> float:
    """Return the price of a call: its cheapest upstream plus its link."""
    prices = [
        upstream.price
        for upstream in sheet.upstreams.values()
        if upstream.service == service and upstream.domain == served_by
    ]
    link = sheet.links.get(f"{home}/{served_by}") or sheet.links.get(
        f"{served_by}/{home}"
    )
    return (min(prices) if prices else 0.0) + (link.price if link else 0.0)
