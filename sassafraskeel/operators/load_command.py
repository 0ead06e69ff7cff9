"""The load command: sends load to a deployment and reports the results."""

import json
import random
from pathlib import Path
from typing import Annotated

import cappa
import curio
from pydantic import BaseModel

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import UserError
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.loadgen.report import Report, build_report, format_report
from sassafraskeel.loadgen.runner import Runner
from sassafraskeel.loadgen.schedule import LoadShape, draw_arrivals
from sassafraskeel.loadgen.workloads import WORKLOADS
from sassafraskeel.sheets.parse import parse_sheet

MAX_CALLS = 200_000


@cappa.command(name="load", help="Drive a deployment with seeded open-loop load.")
class Load(BaseModel):
    """The load command."""

    workload: Annotated[
        str, cappa.Arg(required=True, help=f"One of {', '.join(WORKLOADS)}.")
    ]
    sheet: Annotated[Path, cappa.Arg(required=True, help="The sheet in force, as CSV.")]
    entry: Annotated[
        list[str],
        cappa.Arg(long=True, required=True, help="Address of a host; repeatable."),
    ]
    rate: Annotated[float, cappa.Arg(long=True, help="Mean calls per second.")] = 20.0
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Length of the run in seconds.")
    ] = 30.0
    day: Annotated[
        float,
        cappa.Arg(long=True, help="Length of a day in seconds; 0 for the whole run."),
    ] = 0.0
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the schedule.")] = 1
    json_output: Annotated[
        bool, cappa.Arg(long="--json", help="Print the report as JSON.")
    ] = False

    def __call__(self):
        if self.workload not in WORKLOADS:
            raise UserError(
                f"workload {self.workload!r} is not one of: {', '.join(WORKLOADS)}"
            )
        if not 0 < self.rate * self.seconds <= MAX_CALLS:
            raise UserError(f"rate times seconds is not within 1 to {MAX_CALLS} calls")
        report = curio.run(self._run)
        print(
            json.dumps(report) if self.json_output else "\n".join(format_report(report))
        )

    async def _run(self) -> Report:
        try:
            text = self.sheet.read_text(encoding="utf-8")
        except OSError as exc:
            raise UserError(f"cannot read {self.sheet}: {exc}") from exc
        sheet = parse_sheet(text, str(self.sheet))
        shares = {name: 1 / len(sheet.workspaces) for name in sheet.workspaces}
        shape = LoadShape(self.rate, self.seconds, self.day or self.seconds)
        schedule = draw_arrivals(shape, shares, WORKLOADS[self.workload], self.seed)
        rng = random.Random(self.seed)
        entries = [parse_address(entry) for entry in self.entry]
        runner = Runner(SystemClock(), TcpNetwork(), sheet, entries, rng)
        results = await runner.run(schedule)
        return build_report(results, self.seconds, sheet.region_of, sheet.region_of)
