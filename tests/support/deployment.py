"""A deployment of hosts in three failure domains, in memory and virtual time."""

import json
import random
from collections import Counter
from typing import NamedTuple

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.emulators.engine import EngineEmulator, token_at
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.emulators.service import ServiceEmulator
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.network import MemoryNetwork
from tests.support.orders import order_id
from tests.support.settings import ORDER_SETTINGS

ANY_PORT = Address("127.0.0.1", 0)
DOMAINS = ("fes-a", "casa-a", "agadir-a")
HOSTS = tuple(f"{domain}-{number}" for domain in DOMAINS for number in (1, 2))
GATEWAYS = {name: f"127.0.0.1:{30001 + number}" for number, name in enumerate(HOSTS)}
CALL_SECONDS = 30.0
TOKENS = 6


class Outcome(NamedTuple):
    """The result of one call.

    `result` is "answered", "broken" if the connection failed, "no_host" if the host is
    not running, or the outcome of a refusal.
    """

    kind: str
    result: str
    detail: str = ""


def domain_of(host: str) -> str:
    """Return the failure domain of a host, given the name of the host."""
    return host.rpartition("-")[0]


class Deployment:
    """Hosts, upstreams and the platform, with checks of the answers of calls.

    `violations` collects the failed checks.
    """

    def __init__(self, clock, seed: int, network: MemoryNetwork | None = None):
        self.clock = clock
        self.rng = random.Random(seed)
        self.network = network or MemoryNetwork()
        self.faults = self.network.faults
        platform_network = self.network.for_node("platform")
        self.platform = PlatformEmulator(clock, platform_network, ANY_PORT)
        self.engines = {}
        self.services = {}
        for domain in DOMAINS:
            upstream_network = self.network.for_node(f"upstreams-{domain}")
            self.engines[domain] = EngineEmulator(clock, upstream_network, ANY_PORT)
            self.services[domain] = ServiceEmulator(clock, upstream_network, ANY_PORT)
        self.hosts: dict[str, Host] = {}
        self._start_count = 0
        self._id_count = 0
        self.sheet_count = 0
        self.highest_versions = Counter()
        self.violations: list[str] = []
        self.refused_ids: dict[str, bool] = {}

    async def start(self, settle: float = 25) -> None:
        """Start all components and wait, by default until orders are accepted."""
        for component in (
            self.platform,
            *self.engines.values(),
            *self.services.values(),
        ):
            await component.start()
        for name in HOSTS:
            await self.start_host(name)
        await self.accept()
        await self.clock.sleep(settle)

    async def close(self) -> None:
        """Stop all hosts, upstreams and the platform."""
        for component in (
            *self.hosts.values(),
            self.platform,
            *self.engines.values(),
            *self.services.values(),
        ):
            await component.close()

    async def start_host(self, name: str) -> None:
        """Start a host at its address, with a new incarnation if it ran before."""
        self._start_count += 1
        text = ORDER_SETTINGS.format(
            name=name,
            domain=domain_of(name),
            gateways=GATEWAYS[name],
            seeds=" ".join(GATEWAYS.values()),
            platform=self.platform.address,
        )
        cfg = parse_settings(text, "test.ini")
        network = self.network.for_node(name)
        store = PlatformClient(cfg.platform, self.clock, network)
        rng = random.Random(self._start_count)
        turns = TurnTimer(self.clock, NullLog())
        env = Environment(self.clock, network, rng, NullLog(), store, turns)
        self.hosts[name] = Host(cfg, env)
        self.highest_versions[name] = 0
        await self.hosts[name].start()

    async def accept(self) -> None:
        """Accept the next sheet as an operator."""
        self.sheet_count += 1
        cfg = next(iter(self.hosts.values())).cfg.platform
        store = PlatformClient(cfg, self.clock, self.network.for_node("operator"))
        await accept_sheet(store, self._sheet(self.sheet_count))

    def runs(self, key: str) -> int:
        """Return the number of executions of an order id by the plain services."""
        return sum(service.ledger[key] for service in self.services.values())

    async def call(self, name: str, kind: str, key: str = "") -> Outcome:
        """Send a call to a host and check its answer."""
        host = self.hosts.get(name)
        if host is None:
            return Outcome(kind, "no_host")
        home = domain_of(name)
        number = self.rng.randrange(20)
        method, path, headers, body = self._request(kind, home, number, key)
        network = self.network.for_node(f"callers-{home}")
        try:
            async with self.clock.timeout(CALL_SECONDS):
                head, data = await request_once(
                    network,
                    self.clock,
                    host.callers_address,
                    method,
                    path,
                    headers,
                    body,
                )
        except SassafraskeelError as exc:
            return Outcome(kind, "broken", str(exc))
        if head.status >= 400:
            content = json.loads(data)
            return Outcome(kind, content["outcome"], content["reason"])
        self._check_answer(kind, number, key, data)
        return Outcome(kind, "answered")

    async def order(self, name: str, key: str = "") -> Outcome:
        """Place an order at a host and check its executions.

        The order has a new id unless one is given. The detail of the outcome starts
        with the id.
        """
        if not key:
            self._id_count += 1
            key = order_id(self.clock.now(), self._id_count)
        runs = self.runs(key)
        outcome = await self.call(name, "order", key)
        if outcome.result == "not_run" and runs + self.runs(key):
            self.violations.append(f"{key} ran but was refused as not run")
        if self.runs(key) > 1:
            self.violations.append(f"{key} ran {self.runs(key)} times")
        return outcome._replace(detail=f"{key} {outcome.detail}")

    def check_versions(self) -> None:
        """Check that no host has an older sheet in force than before."""
        for name, host in self.hosts.items():
            version = host.installed.version
            if version < self.highest_versions[name]:
                self.violations.append(f"{name} went back to sheet {version}")
            self.highest_versions[name] = version

    def _request(self, kind, home, number, key):
        if kind == "read":
            return "GET", f"/w/shop-{home}/desk/items/{number}", (), b""
        if kind == "order":
            headers = ((b"idempotency-key", key.encode()),)
            return "POST", f"/w/shop-{home}/desk/orders", headers, b"{}"
        content = {
            "messages": [{"role": "user", "content": f"question {number}"}],
            "max_tokens": TOKENS,
            "stream": kind == "stream",
        }
        path = f"/w/shop-{home}/chat/v1/chat/completions"
        return "POST", path, (), json.dumps(content).encode()

    def _check_answer(self, kind, number, key, data) -> None:
        expected = [token_at(f"question {number}", index) for index in range(TOKENS)]
        if kind == "stream":
            lines = [line for line in data.split(b"\n\n") if line]
            is_complete = lines[-1] == b"data: [DONE]"
            deltas = [json.loads(line[6:])["choices"][0] for line in lines[:-1]]
            got = [choice["delta"]["content"] for choice in deltas]
            correct = is_complete and got == expected
        elif kind == "chat":
            message = json.loads(data)["choices"][0]["message"]
            correct = message["content"].split() == expected
        elif kind == "read":
            correct = json.loads(data)["path"] == f"/items/{number}"
        else:
            correct = json.loads(data)["order"] == key and self.runs(key) == 1
        if not correct:
            self.violations.append(f"{kind}: wrong answer {data[:200]!r}")

    def _sheet(self, number: int) -> str:
        regions = " ".join(domain.removesuffix("-a") for domain in DOMAINS)
        lines = ["kind,name,domain,address,service,type,regions,home,price"]
        for domain in DOMAINS:
            lines.append(f"domain,{domain},,,,,{domain.removesuffix('-a')},,")
            lines.append(f"workspace,shop-{domain},,,,,{regions},{domain},")
            engine, service = self.engines[domain], self.services[domain]
            lines.append(f"upstream,llm-{domain},{domain},{engine.address},chat,,,,1")
            lines.append(f"upstream,desk-{domain},{domain},{service.address},desk,,,,1")
        lines.append(f"service,chat,,,,model,{regions},,")
        lines.append(f"service,desk,,,,plain,{regions},,")
        lines.append(f"link,fes-a/casa-a,,,,,,,{number}")
        return "\n".join(lines) + "\n"
