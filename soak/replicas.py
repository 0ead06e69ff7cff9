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
from soak.record import LimitedSpan, ReplicaRun
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
        self._boots = {process.name: Boot(process.name) for process in processes}
        self.reserved: set[str] = set()

    async def register(self, name: str, state: str = "ready") -> None:
        """Write the entry of a replica."""
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
        former_key, boot = self._key(name), self._boots[name]
        born = boot.born + 1
        await self._boot(name, boot._replace(name=f"{name}.{born}", born=born))
        await self._store.write_surely(self._key(name), self._entry(name))
        await self._clock.sleep(step.duration)
        await self._store.write_surely(former_key, None)
        self.reserved.discard(name)

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

    async def _boot(self, name: str, boot: Boot) -> None:
        await self._ask(name, "PUT", BOOT_PATH, boot)
        self._boots[name] = boot

    async def _ask(self, name: str, method: str, path: str, content=None):
        address = self._processes[name].address
        return await self._requests.ask(address, method, path, content)

    def _key(self, name: str) -> str:
        return f"servers/{self._boots[name].name}"

    def _entry(self, name: str, state: str = "ready") -> bytes:
        process = self._processes[name]._replace(address=self._addresses[name])
        return replica_entry(process, state, self._boots[name])
