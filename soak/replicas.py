"""What a run does with its replicas."""

from sassafraskeel.emulators.replica import (
    BOOT_PATH,
    LEDGER_PATH,
    LIMIT_PATH,
    REFUSALS_PATH,
    Boot,
    RandomRefusals,
)
from soak.plan import Step
from soak.record import LimitedSpan, ReplicaRun, ServingSpan
from soak.requests import Requests, StoreWriter
from tools.route_cluster import ReplicaProcess, replica_entry

# Of the refusals, the share that is copied; of the copies, the share without an id.
COPIED_SHARE = 0.5
WITHOUT_ID_SHARE = 0.3


class SoakReplicas:
    """The replicas of a run, by the names of their processes.

    `addresses` are those in the store's entries, by process. `reserved` holds the
    processes whose entries an operation is changing.
    """

    def __init__(
        self,
        processes: list[ReplicaProcess],
        addresses: dict[str, str],
        requests: Requests,
        store: StoreWriter,
    ):
        self._processes = {process.name: process for process in processes}
        self._addresses = addresses
        self._requests, self._store = requests, store
        self._clock = requests.clock
        self._boots = {
            process.name: Boot(process.name, process.version) for process in processes
        }
        self._serving_since: dict[str, float] = {}
        self._serving: list[ServingSpan] = []
        self.reserved: set[str] = set()

    async def register(self, name: str, state: str = "ready") -> None:
        """Write the entry of a replica."""
        self.set_serving(name, state == "ready")
        await self._store.write(self._key(name), self._entry(name, state))

    async def limit(self, step: Step) -> LimitedSpan:
        """Let a replica name a limit for a while."""
        await self._ask(step.target, "PUT", LIMIT_PATH, step.rate)
        since = self._clock.monotonic()
        await self._clock.sleep(step.duration)
        ledger = await self._ask(step.target, "GET", LEDGER_PATH)
        until = self._clock.monotonic()
        await self._ask(step.target, "PUT", LIMIT_PATH)
        times = ledger["arrival_times"]
        return LimitedSpan(step.target, step.rate, since, until, times)

    async def refuse(self, step: Step) -> None:
        """Let a replica refuse requests and copy its refusals for a while."""
        refusals = RandomRefusals(step.rate, COPIED_SHARE, WITHOUT_ID_SHARE)
        await self._ask(step.target, "PUT", REFUSALS_PATH, refusals)
        await self._clock.sleep(step.duration)
        await self._ask(step.target, "PUT", REFUSALS_PATH, RandomRefusals())

    async def take_over(self, step: Step) -> None:
        """Replace a replica by one at its address, and list its entry for a while."""
        name = step.target
        if name in self.reserved:
            return
        self.reserved.add(name)
        former_key = self._key(name)
        await self._start_other(name, self._boots[name].version)
        await self._clock.sleep(step.duration)
        await self._store.write_surely(former_key, None)
        self.reserved.discard(name)

    async def roll(self, step: Step) -> None:
        """Drain a replica and replace it by one of the step's version."""
        name = step.target
        if name in self.reserved:
            return
        self.reserved.add(name)
        await self.register(name, "draining")
        await self._clock.sleep(step.duration)
        await self._store.write_surely(self._key(name), None)
        await self._start_other(name, step.version)
        self.reserved.discard(name)

    async def restart(self, step: Step) -> None:
        """Start a replica again under its id, with the step's version."""
        name = step.target
        if name in self.reserved:
            return
        self.reserved.add(name)
        boot = self._boots[name]
        started_at_ms = int(self._clock.now().timestamp() * 1000)
        born = max(boot.born + 1, started_at_ms)
        boot = boot._replace(version=step.version, born=born)
        await self._boot(name, boot)
        self.reserved.discard(name)

    def set_serving(self, name: str, serving: bool) -> None:
        """Record whether a replica is listed as ready, in a zone that is used."""
        now = self._clock.monotonic()
        since = self._serving_since.pop(name, None)
        if since is not None:
            version = self._boots[name].software
            self._serving.append(ServingSpan(name, version, since, now))
        if serving:
            self._serving_since[name] = now

    def serving_spans(self) -> list[ServingSpan]:
        """Return when which replica served; call it at the end of a run."""
        for name in list(self._serving_since):
            self.set_serving(name, False)
        return self._serving

    async def runs(self) -> list[ReplicaRun]:
        """Return the runs of all replicas."""
        found = []
        for name in self._processes:
            ledger = await self._ask(name, "GET", LEDGER_PATH)
            found += [
                ReplicaRun(run["request_id"], name, run["started_at"], run["ended_at"])
                for run in ledger["log"]
            ]
        return found

    async def _start_other(self, name: str, version: str) -> None:
        """Start a replica with another id at the address of one that ends."""
        born = self._boots[name].born + 1
        await self._boot(name, Boot(f"{name}.{born}", version, born))

    async def _boot(self, name: str, boot: Boot) -> None:
        self.set_serving(name, False)
        await self._ask(name, "PUT", BOOT_PATH, boot)
        self._boots[name] = boot
        await self._store.write_surely(self._key(name), self._entry(name))
        self.set_serving(name, True)

    async def _ask(self, name: str, method: str, path: str, content=None):
        address = self._processes[name].address
        return await self._requests.ask(address, method, path, content)

    def _key(self, name: str) -> str:
        return f"servers/{self._boots[name].name}"

    def _entry(self, name: str, state: str = "ready") -> bytes:
        process = self._processes[name]._replace(address=self._addresses[name])
        return replica_entry(process, state, self._boots[name])
