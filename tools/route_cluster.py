"""Runs route hosts, replicas and a store as processes on loopback."""

import http.client
import itertools
import json
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import NamedTuple
from urllib.parse import quote

from sassafraskeel.emulators.replica import LEDGER_PATH, Boot
from tools.cluster import free_address

READY_SECONDS = 20.0
STOP_SECONDS = 15.0
HOST_NAME = "app.example"
ENTRY_NUMBERS = itertools.count(1)
SETTINGS = """[host]
name = {name}
domain = {zone}
[listen]
callers = {callers}
directory = {directory}
readiness = {readiness}
gateways = {gateways}
metrics = {metrics}
[store]
address = {store}
[regions]
"""
LISTENERS = ("callers", "directory", "readiness", "gateways", "metrics")
ROUTES = (
    {"name": "lookups", "pathPrefix": "/read/", "kind": "safe", "attempts": 2},
    {"name": "records", "pathPrefix": "/order/", "kind": "non_idempotent"},
    {
        "name": "questions",
        "pathPrefix": "/stream/chat/",
        "kind": "streaming",
        "canResume": True,
        "attempts": 2,
    },
    {"name": "summaries", "pathPrefix": "/stream/draft/", "kind": "streaming"},
)


class HostProcess(NamedTuple):
    """The name, zone and listener addresses of a host."""

    name: str
    zone: str
    listen: dict[str, str]


class ReplicaProcess(NamedTuple):
    """The name, zone and address of an emulated replica, and its software version."""

    name: str
    zone: str
    address: str
    version: str = "v1"


class Answer(NamedTuple):
    """An HTTP answer; `status` is 0 if the connection failed or was lost."""

    status: int
    headers: dict[str, str]
    body: bytes


def fetch(address, method, path, headers=None, body=None, timeout=10.0) -> Answer:
    """Send one request on a new connection and return the answer."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return Answer(answer.status, dict(answer.headers), answer.read())
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, dict(exc.headers), exc.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b"")


def call(
    host: HostProcess,
    path,
    method="GET",
    call_id="c",
    deadline_ms=5000,
    headers=None,
    body=None,
):
    """Send a call with an id and a deadline to a host and return the answer."""
    headers = _call_headers(call_id, deadline_ms) | (headers or {})
    return fetch(host.listen["callers"], method, path, headers, body)


def begin_stream(host: HostProcess, path, call_id="c", deadline_ms=5000) -> int:
    """Close a stream after its first event; return the event's id, 0 without one."""
    conn = http.client.HTTPConnection(host.listen["callers"], timeout=10.0)
    try:
        conn.request("POST", path, headers=_call_headers(call_id, deadline_ms))
        answer = conn.getresponse()
        event = re.match(rb"id: (\d+)\n", answer.readline())
        is_whole = answer.readline() and answer.readline() == b"\n"
        return int(event[1]) if event and is_whole else 0
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def _call_headers(call_id: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST_NAME,
        "X-Sassafraskeel-Request-Id": call_id,
        "X-Sassafraskeel-Deadline-Ms": str(deadline_ms),
    }


class RouteCluster:
    """The processes of a deployment; a context manager that starts and ends them.

    `zones` gives the numbers of hosts and replicas of each zone. Each zone is a
    separate region. `delay_ms` is how long replicas take for an answer, and for each
    event of a stream. The replicas have the software `versions` in turn. `settings` are
    further sections of the settings of hosts, `limits` those of the manifest, and
    `engine` is the one of its service.
    The answers of replicas to calls below the long paths of emulators.replica have
    `answer_bytes` more than others, and replicas have `slots`.
    """

    def __init__(
        self,
        zones: dict[str, tuple[int, int]],
        delay_ms: float = 20.0,
        versions: tuple[str, ...] = ("v1",),
        settings: str = "",
        limits: dict[str, int] | None = None,
        engine: dict[str, int] | None = None,
        answer_bytes: int = 0,
        slots: int = 8,
    ):
        self._folder = tempfile.TemporaryDirectory(prefix="sassafraskeel-")
        self.folder = Path(self._folder.name)
        self.used_addresses: set[str] = set()
        self.processes: dict[str, subprocess.Popen] = {}
        self.store = free_address(self.used_addresses)
        # Overrides the store's address by host name, for example with a proxy's.
        self.store_addresses: dict[str, str] = {}
        self.hosts: list[HostProcess] = []
        self.replicas: list[ReplicaProcess] = []
        self._zones = zones
        self._delay_ms = delay_ms
        self._settings = settings
        self._limits = limits or {}
        self._engine = engine
        self._answer_bytes = answer_bytes
        self._slots = slots
        versions_in_turn = itertools.cycle(versions)
        for zone, (hosts, replicas) in zones.items():
            for number in range(hosts):
                listen = {name: free_address(self.used_addresses) for name in LISTENERS}
                self.hosts.append(HostProcess(f"{zone}-{number}", zone, listen))
            for number in range(replicas):
                address = free_address(self.used_addresses)
                self.replicas.append(
                    ReplicaProcess(
                        f"r-{zone}-{number}", zone, address, next(versions_in_turn)
                    )
                )

    def __enter__(self):
        try:
            self._start_all()
        except BaseException:
            self.close()
            raise
        return self

    def _start_all(self) -> None:
        self.start_store()
        for replica in self.replicas:
            self.start_replica(replica)
        self._wait("the store", lambda: self.write("op/config", self.manifest()))
        for replica in self.replicas:
            entry = replica_entry(replica, slots=self._slots)
            self.write(f"servers/{replica.name}", entry)
        for host in self.hosts:
            self.start_host(host)
        for replica in self.replicas:
            self._wait(replica.name, lambda replica=replica: _is_listening(replica))
        for host in self.hosts:
            self.wait_ready(host)

    def __exit__(self, *exc_info):
        self.close()

    def start_store(self) -> None:
        """Start the store process."""
        self._start("store", "sassafraskeel.emulators", "store", self.store)

    def start_replica(self, replica: ReplicaProcess) -> None:
        """Start a replica process."""
        version = (f"--software-version={replica.version}",) if replica.version else ()
        self._start(
            replica.name,
            "sassafraskeel.emulators",
            "replica",
            replica.address,
            replica.name,
            replica.zone,
            f"--delay-ms={self._delay_ms:g}",
            f"--answer-bytes={self._answer_bytes}",
            *version,
        )

    def close(self) -> None:
        """End all processes and delete their settings and logs."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._folder.cleanup()

    def start_host(self, host: HostProcess) -> None:
        """Write the settings of a host and start its process."""
        text = SETTINGS.format(
            name=host.name,
            zone=host.zone,
            store=self.store_addresses.get(host.name, self.store),
            **host.listen,
        )
        text += "".join(f"{zone} = {zone}\n" for zone in self._zones) + self._settings
        path = self.folder / f"{host.name}.ini"
        path.write_text(text, encoding="utf-8")
        self._start(host.name, "sassafraskeel.platform", str(path))

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a process and return its exit status."""
        self.processes[name].send_signal(signal_number)
        return self.processes[name].wait(STOP_SECONDS)

    def wait_ready(self, host: HostProcess) -> None:
        """Wait until the readiness check of a host succeeds."""
        address = host.listen["readiness"]
        self._wait(host.name, lambda: fetch(address, "GET", "/api/ready").status == 200)

    def write(self, key: str, value: bytes | None) -> bool:
        """Write a key of the store, or delete it for None; return whether it worked."""
        method = "DELETE" if value is None else "PUT"
        path = f"/test/key?key={quote(key)}"
        return fetch(self.store, method, path, body=value or b"").status == 200

    def manifest(self, version: int = 1) -> bytes:
        """Return a manifest with one service and all routes, as JSON."""
        defaults = {
            "host": HOST_NAME,
            "service": "desk",
            "timeoutMs": 8000,
            "targetLatencyMs": 500,
            "priority": 1,
            "attempts": 1,
        }
        content = {
            "version": version,
            "routes": [defaults | route for route in ROUTES],
            "services": [
                {"name": "desk", "healthPath": "/healthz", "engine": self._engine}
            ],
            "limits": self._limits,
        }
        return json.dumps(content).encode()

    def directory(self, host: HostProcess) -> list[str]:
        """Return the addresses in a host's directory for callers of its region."""
        path = f"/api/resolve?name={HOST_NAME}&region={host.zone}&zone={host.zone}"
        answer = fetch(host.listen["directory"], "GET", path)
        return json.loads(answer.body)["addresses"] if answer.status == 200 else []

    def runs(self) -> dict[str, int]:
        """Return the number of runs of each call id over all replicas."""
        return {name: len(versions) for name, versions in self.run_versions().items()}

    def run_versions(self) -> dict[str, list[str]]:
        """Return the software version of each run of each call id."""
        found: dict[str, list[str]] = {}
        for replica in self.replicas:
            answer = fetch(replica.address, "GET", LEDGER_PATH)
            log = json.loads(answer.body)["log"] if answer.status == 200 else []
            for run in log:
                version = Boot(*run["boot"]).version
                found.setdefault(run["request_id"], []).append(version)
        return found

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8")

    def wait_for(self, description: str, condition) -> None:
        """Wait until a condition is true; raise TimeoutError after READY_SECONDS."""
        self._wait(description, condition)

    def _start(self, name: str, module: str, *arguments: str) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def _wait(self, description: str, condition) -> None:
        expires = time.monotonic() + READY_SECONDS
        while not condition():
            if time.monotonic() > expires:
                raise TimeoutError(f"{description}: not ready in {READY_SECONDS:g} s")
            time.sleep(0.05)


def _is_listening(replica: ReplicaProcess) -> bool:
    return fetch(replica.address, "GET", LEDGER_PATH).status == 200


def replica_entry(
    replica: ReplicaProcess,
    state: str = "ready",
    boot: Boot | None = None,
    slots: int = 8,
) -> bytes:
    """Return the store's entry of a replica, as JSON."""
    boot = boot or Boot(replica.name, replica.version)
    content = {
        "service": "desk",
        "address": replica.address,
        "zone": replica.zone,
        "slots": slots,
        "state": state,
        "coldRemainingMs": 0,
        "seqNo": next(ENTRY_NUMBERS),
        "born": boot.born,
    }
    if boot.version:
        content["version"] = boot.version
    return json.dumps(content).encode()
