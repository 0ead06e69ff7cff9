"""A deployment under one routing policy, with its capacity limited by slots."""

import json
import subprocess
import sys

from sassafraskeel.core.types import CallKind
from sassafraskeel.loadgen.workloads import WORKLOADS
from tools.cluster import Cluster, request_json
from tools.deployments import Deployment

# Few slots and slow tokens keep the processors mostly idle, so that a run measures
# the routing policy and not the speed of the machine.
SLOTS = 4
TOKEN_MS = 10.0
# The emulated engine takes twice as long for a token while all slots are in use.
FULL_BATCH_SLOWDOWN = 2.0
PREFILL_SECONDS = 0.05
# Long enough for load reports and summaries, which are seconds old, to follow the
# load peaks.
DAY_SECONDS = 60.0
LINK_PRICE = 0.5
# The region with the most replicas is the cheapest one.
PRICES = (1.0, 1.1, 1.3)


class BenchCluster(Cluster):
    """The processes of a deployment; `limits` are the settings that select a policy."""

    def __init__(self, deployment: Deployment, limits: dict[str, str]):
        self.limits = limits
        super().__init__(deployment)
        self.sheet_file = self.folder / "sheet.csv"

    def start(self) -> "BenchCluster":
        """Start the processes and wait until the sheet is in force on all hosts."""
        self.__enter__()
        self.sheet_file.write_text(self.sheet(), encoding="utf-8")
        self.accept_sheet()
        entry = self.deployment
        query = (
            f"workspace={next(iter(entry.workspaces))}&service={entry.model_service}"
        )

        def sheet_in_force():
            for gateway in self.gateways:
                request_json("GET", gateway.callers, f"/v1/directory?{query}")
            return True

        self.wait_for(sheet_in_force)
        return self

    def sheet(self) -> str:
        """Return the deployment's sheet with slots, prices and links."""
        domains = list(self.deployment.regions)
        rows = []
        for row in super().sheet().splitlines():
            if row.startswith("upstream,"):
                cells = row.split(",")
                price = PRICES[domains.index(cells[2])]
                cells[9], cells[10] = str(SLOTS), str(price)
                row = ",".join(cells)
            rows.append(row)
        for number, left in enumerate(domains):
            for right in domains[number + 1 :]:
                rows.append(f"link,{left}/{right},,,,,,,,,{LINK_PRICE},,,")
        return "\n".join(rows) + "\n"

    def capacity(self) -> float:
        """Return the calls per second that fill all slots with warm KV caches."""
        kinds = WORKLOADS[self.deployment.name]
        per_call = sum(
            kind.weight
            * (
                kind.tokens * FULL_BATCH_SLOWDOWN * TOKEN_MS / 1000
                + 0.1 * PREFILL_SECONDS
            )
            for kind in kinds
            if kind.kind is CallKind.MODEL
        )
        return SLOTS * len(self.engines()) / per_call * sum(k.weight for k in kinds)

    def engines(self, domain: str = "") -> list:
        """Return all engines, or those of one failure domain."""
        service = self.deployment.model_service
        return [
            upstream
            for upstream in self.upstreams
            if upstream.service == service and domain in ("", upstream.domain)
        ]

    def stop_engines(self, engines) -> None:
        """Kill the processes of engines."""
        for engine in engines:
            self.processes[engine.name].kill()
            self.processes[engine.name].wait()

    def restart_engines(self, engines, token_ms: float = TOKEN_MS) -> None:
        """Kill engines and start them again with empty KV caches."""
        self.stop_engines(engines)
        for engine in engines:
            self._spawn(
                engine.name, "engine", engine.address, "--token-ms", str(token_ms)
            )

    def start_load(self, rate: float, seconds: float, seed: int) -> subprocess.Popen:
        """Start the load command, which sends calls at a rate to all hosts."""
        command = [sys.executable, "-m", "sassafraskeel", "load"]
        command += [self.deployment.name, str(self.sheet_file), "--json"]
        command += ["--rate", f"{rate:.3f}", "--seconds", f"{seconds:g}"]
        command += ["--seed", str(seed), "--day", f"{DAY_SECONDS:g}"]
        for gateway in self.gateways:
            command += ["--entry", gateway.callers]
        log = (self.folder / "load.log").open("ab")
        return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=log)

    def _spawn(self, name, kind, *args):
        if kind == "engine":
            args += ("--slots", str(SLOTS))
            if "--token-ms" not in args:
                args += ("--token-ms", str(TOKEN_MS))
        super()._spawn(name, kind, *args)

    def _settings(self, gateway) -> str:
        lines = [f"{key} = {value}" for key, value in self.limits.items()]
        return super()._settings(gateway) + "\n".join(["[limits]", *lines]) + "\n"


def finish_load(process: subprocess.Popen, seconds: float) -> dict:
    """Return the report of a load command; exit if it fails or takes too long."""
    try:
        output, _ = process.communicate(timeout=seconds)
    except subprocess.TimeoutExpired:
        process.kill()
        process.communicate()
        sys.exit("the load command did not end in time")
    if process.returncode:
        sys.exit(f"the load command failed with status {process.returncode}")
    return json.loads(output)
