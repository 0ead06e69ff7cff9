"""Runs gateway hosts, upstreams and the platform as processes on loopback."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
import uuid
from pathlib import Path
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tools.deployments import Deployment

READY_SECONDS = 20.0
SHEET_HEADER = (
    "kind,name,domain,address,service,type,regions,home,model,slots,price,"
    "weight_tail,weight_cost,weight_away"
)
SETTINGS = """[host]
name = {name}
domain = {domain}
[callers]
listen = {callers}
[gateways]
listen = {gateways}
token = gateway-token
seeds = {seeds}
[operators]
listen = {operators}
token = operator-token
[platform]
address = {platform}
[orders]
clock_skew = 1 s
"""


class GatewayProcess(NamedTuple):
    """The name, failure domain and addresses of a gateway host."""

    name: str
    domain: str
    callers: str
    gateways: str
    operators: str
    control: str


class UpstreamProcess(NamedTuple):
    """The name, failure domain, service and address of an upstream emulator."""

    name: str
    domain: str
    service: str
    address: str


def free_address(used_addresses: set[str]) -> str:
    """Return a free loopback address that is not in `used_addresses`, and add it."""
    while True:
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{sock.getsockname()[1]}"
        if address not in used_addresses:
            used_addresses.add(address)
            return address


def request_json(method: str, address: str, path: str, content=None, headers=None):
    """Send a request with a JSON body and return the decoded JSON answer.

    Raise OSError if the host cannot be reached or answers with an error status.
    """
    data = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method, headers=headers or {}
    )
    with urllib.request.urlopen(request, timeout=10) as answer:
        return json.loads(answer.read())


def new_order_id() -> str:
    """Return a random UUIDv7 (RFC 9562) for the current time."""
    milliseconds = int(time.time() * 1000)
    random_bits = uuid.uuid4().int & ((1 << 74) - 1)
    value = milliseconds << 80 | 7 << 76 | (random_bits >> 62) << 64
    return str(uuid.UUID(int=value | 2 << 62 | random_bits & ((1 << 62) - 1)))


def accept_sheet_text(platform: str, text: str) -> None:
    """Accept a sheet through the platform at an address."""
    cfg = PlatformSection(address=parse_address(platform))
    store = PlatformClient(cfg, SystemClock(), TcpNetwork())
    curio.run(accept_sheet, store, text)


class Cluster:
    """The processes of a deployment; a context manager that starts and ends them."""

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self._folder = tempfile.TemporaryDirectory(prefix="sassafraskeel-")
        self.folder = Path(self._folder.name)
        self._used_addresses: set[str] = set()
        self.processes: dict[str, subprocess.Popen] = {}
        self.platform = free_address(self._used_addresses)
        self.gateways = [
            self._plan_gateway(domain, number)
            for domain, count in deployment.hosts.items()
            for number in range(1, count + 1)
        ]
        self.upstreams = [
            self._plan_upstream(group, number)
            for group in deployment.replicas
            for number in range(1, group.count + 1)
        ]

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, exc_type, exc, traceback):
        self.close()

    def close(self) -> None:
        """End all processes that this object started."""
        for _ in range(2):  # The second signal stops a draining gateway immediately.
            for process in self.processes.values():
                process.terminate()
            time.sleep(0.2)
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if not os.environ.get("KEEP_LOGS"):
            self._folder.cleanup()

    def sheet(self) -> str:
        """Return the deployment's sheet as CSV."""
        deployment = self.deployment
        regions = " ".join(deployment.regions.values())
        rows = [SHEET_HEADER]
        for domain, region in deployment.regions.items():
            rows.append(f"domain,{domain},,,,,{region},,,,,,,")
        rows.append(
            f"service,{deployment.model_service},,,,model,{regions},,"
            f"{deployment.model},,,,,"
        )
        rows.append(f"service,{deployment.plain_service},,,,plain,{regions},,,,,,,")
        for workspace, home in deployment.workspaces.items():
            rows.append(f"workspace,{workspace},,,,,{regions},{home},,,,,,")
        for upstream in self.upstreams:
            rows.append(
                f"upstream,{upstream.name},{upstream.domain},{upstream.address},"
                f"{upstream.service},,,,,8,1.0,,,"
            )
        tail, cost, away = deployment.weights
        rows.append(f"policy,weights,,,,,,,,,,{tail},{cost},{away}")
        return "\n".join(rows) + "\n"

    def accept_sheet(self) -> None:
        """Accept the deployment's sheet as the first version."""
        accept_sheet_text(self.platform, self.sheet())

    def can_place_order(self, workspace: str) -> bool:
        """Place an order at the workspace's home and return True if it is answered.

        Raise OSError if it is refused.
        """
        home = self.deployment.workspaces[workspace]
        gateway = next(gw for gw in self.gateways if gw.domain == home)
        path = f"/w/{workspace}/{self.deployment.plain_service}/orders"
        headers = {"Idempotency-Key": new_order_id()}
        request_json("POST", gateway.callers, path, {}, headers)
        return True

    def cut(self, domain: str) -> None:
        """Cut a failure domain off from the others and the platform, both ways."""
        inside = [gw for gw in self.gateways if gw.domain == domain]
        outside = [gw for gw in self.gateways if gw.domain != domain]
        others = [*(set(self.deployment.regions) - {domain}), "platform"]
        for gateway in inside:
            cuts = {"cut_in": others, "cut_out": others}
            request_json("POST", gateway.control, "/", cuts)
        for gateway in outside:
            cuts = {"cut_in": [domain], "cut_out": [domain]}
            request_json("POST", gateway.control, "/", cuts)

    def heal(self) -> None:
        """Remove all cuts."""
        for gateway in self.gateways:
            request_json("POST", gateway.control, "/", {})

    def start_gateway(self, gateway: GatewayProcess) -> None:
        """Start the process of a gateway host."""
        settings = self.folder / f"{gateway.name}.ini"
        wan = self.folder / f"{gateway.name}.wan.ini"
        settings.write_text(self._settings(gateway), encoding="utf-8")
        wan.write_text(self._wan_settings(gateway), encoding="utf-8")
        self._spawn(gateway.name, "gateway", str(settings), str(wan))

    def wait_for(self, condition, seconds: float = READY_SECONDS) -> None:
        """Wait until a condition is true without an OSError.

        Exit with the name of the condition after `seconds`.
        """
        expires = time.monotonic() + seconds
        while time.monotonic() < expires:
            try:
                if condition():
                    return
            except OSError:
                pass  # The process is not listening yet, or answers with an error.
            time.sleep(0.1)
        sys.exit(f"not true after {seconds:g} s: {condition.__name__}")

    def _plan_gateway(self, domain, number) -> GatewayProcess:
        name = f"{domain}-{number}"
        addresses = [free_address(self._used_addresses) for _ in range(4)]
        return GatewayProcess(name, domain, *addresses)

    def _plan_upstream(self, group, number) -> UpstreamProcess:
        name = f"{group.service}-{group.domain}-{number}"
        address = free_address(self._used_addresses)
        return UpstreamProcess(name, group.domain, group.service, address)

    def _start_all(self):
        self._spawn("platform", "platform", self.platform)
        for upstream in self.upstreams:
            is_model = upstream.service == self.deployment.model_service
            self._spawn(
                upstream.name, "engine" if is_model else "service", upstream.address
            )
        for gateway in self.gateways:
            self.start_gateway(gateway)

        def processes_answer():
            request_json("GET", self.platform, "/hosts")
            for gateway in self.gateways:
                request_json("GET", gateway.callers, "/health")
            return True

        self.wait_for(processes_answer)

    def _spawn(self, name, *args):
        log = (self.folder / f"{name}.log").open("ab")
        command = [sys.executable, "-m", "sassafraskeel.emulators", *args]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def _settings(self, gateway) -> str:
        return SETTINGS.format(
            name=gateway.name,
            domain=gateway.domain,
            callers=gateway.callers,
            gateways=gateway.gateways,
            operators=gateway.operators,
            seeds=" ".join(other.gateways for other in self.gateways),
            platform=self.platform,
        )

    def _wan_settings(self, gateway) -> str:
        deployment = self.deployment
        region = deployment.regions[gateway.domain]
        delays = {
            domain: deployment.domain_delay_ms
            if other == region
            else deployment.region_delay_ms
            for domain, other in deployment.regions.items()
            if domain != gateway.domain
        }
        in_store_region = region == deployment.store_region
        delays["platform"] = (
            deployment.domain_delay_ms
            if in_store_region
            else deployment.region_delay_ms
        )
        place_by_address = {
            other.gateways: other.domain
            for other in self.gateways
            if other.domain != gateway.domain
        }
        place_by_address[self.platform] = "platform"
        lines = ["[places]"]
        lines += [f"{address} = {place}" for address, place in place_by_address.items()]
        lines += ["[delays]"]
        lines += [f"{place} = {delay}" for place, delay in delays.items()]
        lines += ["[control]", f"listen = {gateway.control}"]
        return "\n".join(lines) + "\n"
