"""Command line of the soak test: `python -m soak --first N --count N`."""

import signal
import sys
from pathlib import Path
from typing import Annotated

import cappa
import curio
from pydantic import BaseModel

from soak.run import VERSIONS, RunSize, SoakRun

ZONES = {"north-a": (2, 4), "south-a": (2, 3)}
LARGE_ZONES = {f"z{number}-a": (4, 4) for number in range(6)}


class Soak(BaseModel):
    """Run seeds one after another; the exit status is 1 if a check failed.

    The logs of a failed seed are stored in `target/soak/SEED`.
    """

    first: Annotated[int, cappa.Arg(long=True)] = 1
    count: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    callers: Annotated[int, cappa.Arg(long=True)] = 12
    delay_ms: Annotated[float, cappa.Arg(long=True)] = 20.0
    versions: Annotated[list[str], cappa.Arg(long=True)] = list(VERSIONS)
    large: Annotated[bool, cappa.Arg(long=True)] = False

    def __call__(self):
        # Exit through the `finally` clauses, which end the started processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
        zones = LARGE_ZONES if self.large else ZONES
        size = RunSize(
            self.seconds, self.callers, zones, self.delay_ms, tuple(self.versions)
        )
        failed = 0
        for seed in range(self.first, self.first + self.count):
            failed += self._run_seed(seed, size)
        print(f"{self.count - failed} of {self.count} seeds passed all checks")
        sys.exit(1 if failed else 0)

    def _run_seed(self, seed: int, size: RunSize) -> bool:
        run, passed = SoakRun(seed, size), False
        try:
            problems = curio.run(run.run)
            passed = not problems
        finally:
            if not passed:
                run.save_logs(Path("target/soak") / str(seed))
            run.close()
        result = "FAILED" if problems else "passed"
        print(f"seed {seed} {result}: {run.call_count} calls", flush=True)
        print(f"  {run.stream_counts}", flush=True)
        for problem in problems[:20]:
            print(f"  {problem}", flush=True)
        return not passed


if __name__ == "__main__":
    cappa.invoke(Soak)
