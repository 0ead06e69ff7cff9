"""Runs one seed: starts a deployment, sends calls, injects faults and checks."""

import json
import math
import signal
from pathlib import Path
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.tasks import SupervisedTaskGroup
from soak.callers import STREAM_EVENTS, Caller
from soak.checks import DRAIN_SECONDS, EVACUATE_SECONDS, find_problems
from soak.plan import Step, Targets, make_plan
from soak.processes import ProcessWatch
from soak.proxy import NO_FAULT, Fault, Proxy
from soak.record import LimitedSpan, Record, Span
from soak.replicas import SoakReplicas
from soak.requests import Requests, StoreWriter
from soak.streams import describe_streams
from tools.cluster import free_address
from tools.route_cluster import RouteCluster

# The directory may list a stopped or killed host for this long.
MAX_STALE_ENTRY_SECONDS = 9.0
# Calls are sent for this long after the last fault, to check the recovery.
RECOVERY_PHASE_SECONDS = 8.0
DIRECTORY_POLL_SECONDS = 0.5
# The software versions of replicas, in turn: two, and entries without one.
VERSIONS = ("v1", "v2", "v1", "v2", "")
LINK_FAULTS = {
    "delay": Fault(delay=0.4),
    "silence": Fault(forward=False, back=False),
    "one_way": Fault(back=False),
    "refuse": Fault(refuse=True),
}


class RunSize(NamedTuple):
    """The duration of the faults in seconds, and the size of the deployment.

    `zones` gives the numbers of hosts and replicas of each zone. `delay_ms` is how long
    a replica takes for an answer and for each event of a stream. Replicas have the
    software `versions`, of which "" stands for entries without one.
    """

    seconds: float
    callers: int
    zones: dict[str, tuple[int, int]]
    delay_ms: float = 20.0
    versions: tuple[str, ...] = ("v1",)


class SoakRun:
    """Runs one seed.

    After a run, `call_count` is the number of calls, and `stream_counts` says how many
    streams went on.
    """

    def __init__(self, seed: int, size: RunSize):
        self._seed, self._size = seed, size
        self._clock, self._network = SystemClock(), TcpNetwork()
        self._cluster = cluster = RouteCluster(size.zones, size.delay_ms, size.versions)
        self._requests = Requests(self._clock, self._network)
        self._store = StoreWriter(self._requests, cluster.store)
        self._group = SupervisedTaskGroup()
        self._proxies: dict[str, Proxy] = {}
        self._proxy_addresses: dict[str, str] = {}
        self._replicas = SoakReplicas(
            cluster.replicas, self._proxy_addresses, self._requests, self._store
        )
        self._processes = ProcessWatch(cluster)
        self._down_since: dict[str, float] = {}
        self._down_spans: list[Span] = []
        self._drained_spans: list[Span] = []
        self._paused_spans: list[Span] = []
        self._link_faults: list[Span] = []
        self._stale_directory_entries: list[str] = []
        self._limited: list[LimitedSpan] = []
        self._version = 1
        self._faults_ended_at = 0.0
        # Unknown until the last fault has ended.
        self._calls_end_at = math.inf
        self.call_count = 0
        self.stream_counts = ""

    async def run(self) -> list[str]:
        """Run the seed and return the problems that the checks found."""
        try:
            await self._start()
            record = await self._run_schedule()
            self.stream_counts = describe_streams(record)
            return find_problems(record)
        finally:
            await self._group.close()

    def close(self) -> None:
        """End all processes; safe after an interrupted run."""
        self._cluster.close()

    def save_logs(self, folder: Path) -> None:
        """Write the logs of the processes into a folder, before `close`."""
        folder.mkdir(parents=True, exist_ok=True)
        for name in self._cluster.processes:
            text = self._cluster.log(name)
            (folder / f"{name}.log").write_text(text, encoding="utf-8")

    async def _start(self) -> None:
        cluster = self._cluster
        cluster.start_store()
        for replica in cluster.replicas:
            cluster.start_replica(replica)
            await self._add_proxy(replica.name, replica.address)
        await self._add_proxy("store", cluster.store)
        await self._store.write_surely("op/config", self._manifest())
        for replica in cluster.replicas:
            await self._replicas.register(replica.name)
        for host in cluster.hosts:
            cluster.store_addresses[host.name] = self._proxy_addresses["store"]
            cluster.start_host(host)
        for host in cluster.hosts:
            await self._requests.wait_until(
                host.name, lambda host=host: self._is_ready(host)
            )

    async def _run_schedule(self) -> Record:
        started = self._clock.monotonic()
        targets = Targets(
            [host.name for host in self._cluster.hosts],
            [replica.name for replica in self._cluster.replicas],
            list(self._size.zones),
            self._size.versions,
        )
        hosts = {
            host.name: parse_address(host.listen["callers"])
            for host in self._cluster.hosts
        }
        callers = [
            Caller(number, self._seed, hosts, self._clock, self._network)
            for number in range(self._size.callers)
        ]
        tasks = [
            await curio.spawn(caller.run, lambda: self._calls_end_at)
            for caller in callers
        ]
        directory_watcher = await curio.spawn(self._watch_directory, daemon=True)
        async with SupervisedTaskGroup() as steps:
            for step in make_plan(self._seed, self._size.seconds, targets):
                await self._clock.sleep(started + step.at - self._clock.monotonic())
                await steps.spawn(self._apply, step)
        self._faults_ended_at = self._clock.monotonic()
        self._calls_end_at = self._faults_ended_at + RECOVERY_PHASE_SECONDS
        for task in tasks:
            await task.join()
        await directory_watcher.cancel()
        for caller in callers:
            await caller.close()
        outcomes = [outcome for caller in callers for outcome in caller.outcomes]
        self.call_count = len(outcomes)
        runs = await self._replicas.runs()
        return Record(
            outcomes,
            runs,
            self._drained_spans,
            self._paused_spans,
            self._faults_ended_at,
            STREAM_EVENTS,
            self._stale_directory_entries,
            self._limited,
            self._link_faults,
            self._down_spans,
            self._replicas.serving_spans(),
            self._processes.faults(),
        )

    async def _apply(self, step: Step) -> None:
        if step.kind in ("kill", "stop"):
            await self._restart_host(step)
        elif step.kind == "pause":
            await self._pause(step)
        elif step.kind in ("evacuate", "drain", "manifest"):
            await self._run_operation(step)
        elif step.kind == "limit":
            self._limited.append(await self._replicas.limit(step))
        elif step.kind == "refuse_some":
            await self._replicas.refuse(step)
        elif step.kind == "take_over":
            await self._replicas.take_over(step)
        elif step.kind == "roll":
            await self._replicas.roll(step)
        elif step.kind == "restart":
            await self._replicas.restart(step)
        elif step.kind == "restore":
            await self._store.restore(step.duration)
        elif step.kind == "reset":
            await self._proxies[step.target].reset()
        else:
            proxy, since = self._proxies[step.target], self._clock.monotonic()
            proxy.fault = LINK_FAULTS[step.kind]
            await self._clock.sleep(step.duration)
            proxy.fault = NO_FAULT
            self._link_faults.append(Span(step.target, since, self._clock.monotonic()))
            # Connections that lost bytes cannot be used any more.
            await proxy.reset()

    async def _restart_host(self, step: Step) -> None:
        process = self._cluster.processes[step.target]
        if step.target in self._down_since or process.poll() is not None:
            return
        since = self._down_since[step.target] = self._clock.monotonic()
        signal_number = signal.SIGKILL if step.kind == "kill" else signal.SIGTERM
        process.send_signal(signal_number)
        while process.poll() is None:
            await self._clock.sleep(0.05)
        if signal_number == signal.SIGTERM:
            self._processes.stopped(step.target, process.poll())
        self._down_since[step.target] = self._clock.monotonic()
        await self._clock.sleep(step.duration)
        host = next(h for h in self._cluster.hosts if h.name == step.target)
        del self._down_since[step.target]
        self._cluster.start_host(host)
        await self._requests.wait_until(host.name, lambda: self._is_ready(host))
        self._down_spans.append(Span(host.name, since, self._clock.monotonic()))

    async def _pause(self, step: Step) -> None:
        process = self._cluster.processes[step.target]
        if process.poll() is not None:
            return
        since = self._clock.monotonic()
        process.send_signal(signal.SIGSTOP)
        await self._clock.sleep(step.duration)
        process.send_signal(signal.SIGCONT)
        self._paused_spans.append(Span(step.target, since, self._clock.monotonic()))

    async def _run_operation(self, step: Step) -> None:
        if step.kind == "manifest":
            self._version += 1
            await self._store.write("op/config", self._manifest())
            return
        replica_names = [step.target]
        max_seconds = DRAIN_SECONDS
        if step.kind == "evacuate":
            max_seconds = EVACUATE_SECONDS
            zone = step.target
            replicas = self._cluster.replicas
            replica_names = [
                replica.name for replica in replicas if replica.zone == zone
            ]
        if self._replicas.reserved.intersection(replica_names):
            return  # The end of this operation would undo the one in progress.
        self._replicas.reserved.update(replica_names)
        if step.kind == "evacuate":
            for name in replica_names:
                self._replicas.set_serving(name, False)
            await self._store.write(f"op/evacuate/{step.target}", b"{}")
        else:
            await self._replicas.register(step.target, "draining")
        since = self._clock.monotonic() + max_seconds
        await self._clock.sleep(max_seconds + step.duration)
        until = self._clock.monotonic()
        self._drained_spans += [Span(name, since, until) for name in replica_names]
        if step.kind == "evacuate":
            await self._store.write(f"op/evacuate/{step.target}", None)
            for name in replica_names:
                self._replicas.set_serving(name, True)
        else:
            await self._replicas.register(step.target)
        self._replicas.reserved.difference_update(replica_names)

    async def _watch_directory(self) -> None:
        while True:
            await self._clock.sleep(DIRECTORY_POLL_SECONDS)
            running = [
                host
                for host in self._cluster.hosts
                if host.name not in self._down_since
            ]
            self._processes.check_running(host.name for host in running)
            for host in running:
                await self._check_directory(host)

    async def _check_directory(self, host) -> None:
        path = f"/api/resolve?name=app.example&region={host.zone}&zone={host.zone}"
        asked_at = self._clock.monotonic()
        head, body = await self._requests.fetch(host.listen["directory"], "GET", path)
        if head is None or head.status != 200:
            return
        listed = set(json.loads(body)["addresses"])
        for other in self._cluster.hosts:
            dead_since = self._down_since.get(other.name)
            is_stale = (
                dead_since is not None
                and asked_at - dead_since > MAX_STALE_ENTRY_SECONDS
            )
            if is_stale and other.listen["callers"] in listed:
                self._stale_directory_entries.append(f"{host.name} lists {other.name}")

    def _manifest(self) -> bytes:
        return self._cluster.manifest(self._version)

    async def _add_proxy(self, name: str, target: str) -> None:
        listen = parse_address(free_address(self._cluster.used_addresses))
        proxy = Proxy(self._clock, self._network, listen, parse_address(target))
        await proxy.start(self._group)
        self._proxies[name] = proxy
        self._proxy_addresses[name] = str(listen)

    async def _is_ready(self, host) -> bool:
        address = host.listen["readiness"]
        return await self._requests.succeeds(address, "GET", "/api/ready")
