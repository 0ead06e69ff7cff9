"""The status and drain commands."""

from pathlib import Path
from typing import Annotated

import cappa
import curio
from pydantic import BaseModel

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import SassafraskeelError, UserError
from sassafraskeel.core.net import Address, TcpNetwork, parse_address
from sassafraskeel.core.settings import Settings, load_settings
from sassafraskeel.operators.client import (
    HostAnswers,
    OperatorClient,
    operator_addresses,
)
from sassafraskeel.operators.results import (
    EXIT_DONE,
    EXIT_NOT_DONE,
    CommandResult,
    failure_result,
    print_result,
)

EXIT_CODES = "Exit status: 0 done, 1 not done or a host unreachable, 2 wrong input."
COLUMNS = (
    *("host", "domain", "sheet", "state", "in-flight"),
    *("view", "platform", "members", "upstreams"),
)
WIDTHS = (16, 14, 6, 9, 10, 5, 9, 8, 9)

SettingsPath = Annotated[
    Path,
    cappa.Arg(
        long=True, required=True, help="Settings file with the token and the hosts."
    ),
]
HostList = Annotated[
    list[str],
    cappa.Arg(
        long=True,
        default=[],
        value_name="ADDRESS",
        help="Operators' address (ip:port) of a host; replaces those in the settings.",
    ),
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]


class OperatorCommand(BaseModel):
    """Options of the commands that send requests to hosts."""

    settings: SettingsPath
    host: HostList = []
    json_output: AsJson = False

    def __call__(self):
        try:
            cfg = load_settings(self.settings)
            hosts = [parse_address(text) for text in self.host]
            client = OperatorClient(cfg.operators.token, SystemClock(), TcpNetwork())
            result = curio.run(self.run, cfg, client, operator_addresses(cfg, hosts))
        except SassafraskeelError as exc:
            result = failure_result(exc)
        print_result(result, self.json_output)

    async def run(
        self, cfg: Settings, client: OperatorClient, hosts: list[Address]
    ) -> CommandResult:
        """Return the result of the command."""


@cappa.command(
    name="status",
    help="Show the state of all hosts.",
    description=(
        "Example: sassafraskeel status --settings host.ini. Hosts that do not answer"
        f" are named. {EXIT_CODES}"
    ),
)
class Status(OperatorCommand):
    """The status command."""

    async def run(self, cfg, client, hosts):
        return status_result(await client.request_all(hosts, "/status"))


@cappa.command(
    name="drain",
    help="Stop a host without interrupting a call.",
    description=(
        "Example: sassafraskeel drain serra-a-1 --settings host.ini. The host accepts"
        " no new calls, finishes those in flight and exits; `status` shows the drain."
        f" {EXIT_CODES}"
    ),
)
class Drain(BaseModel):
    """The drain command."""

    name: Annotated[
        str,
        cappa.Arg(required=True, value_name="HOST", help="Name or operators' address."),
    ]
    settings: SettingsPath
    host: HostList = []
    json_output: AsJson = False

    def __call__(self):
        command = _DrainHostCommand(
            settings=self.settings,
            host=self.host,
            json_output=self.json_output,
            name=self.name,
        )
        command()


class _DrainHostCommand(OperatorCommand):
    name: str

    async def run(self, cfg, client, hosts):
        address = await self._find_address(client, hosts)
        try:
            await client.request(address, "POST", "/drain")
        except SassafraskeelError as exc:
            text = f"the drain request to {self.name} failed: {exc}"
            return CommandResult(
                EXIT_NOT_DONE, {"host": self.name, "error": str(exc)}, (text,)
            )
        content = {"host": self.name, "address": str(address), "draining": True}
        return CommandResult(EXIT_DONE, content, (f"{self.name} drains",))

    async def _find_address(self, client, hosts) -> Address:
        if ":" in self.name:
            return parse_address(self.name)
        answers = await client.request_all(hosts, "/status")
        for address, content in answers.received.items():
            if content["host"] == self.name:
                return address
        known = ", ".join(sorted(entry["host"] for entry in answers.received.values()))
        unreachable = ", ".join(map(str, answers.missing)) or "none"
        raise UserError(
            f"no host {self.name!r}; hosts: {known or 'none'}; no answer: {unreachable}"
        )


def status_result(answers: HostAnswers) -> CommandResult:
    """Return the state of hosts as a table and as JSON."""
    rows = sorted(
        answers.received.values(), key=lambda row: (row["domain"], row["host"])
    )
    lines = [_format_row(COLUMNS)]
    lines += [_format_row(_row_cells(row)) for row in rows]
    lines += [
        f"{address}: no answer: {reason}" for address, reason in answers.missing.items()
    ]
    missing = {str(address): reason for address, reason in answers.missing.items()}
    exit_status = EXIT_NOT_DONE if missing else EXIT_DONE
    return CommandResult(
        exit_status, {"hosts": rows, "unreachable": missing}, tuple(lines)
    )


def _row_cells(row: dict) -> list[str]:
    live_members = sum(member["liveness"] == "live" for member in row["members"])
    reporting = sum(entry["running"] is not None for entry in row["upstreams"])
    return [
        row["host"],
        row["domain"],
        str(row["sheet_version"]),
        "draining" if row["draining"] else "serving",
        str(row["in_flight"]),
        str(row["view"]),
        "answers" if row["platform_available"] else "down",
        f"{live_members}/{len(row['members'])}",
        f"{reporting}/{len(row['upstreams'])}",
    ]


def _format_row(cells) -> str:
    pairs = zip(cells, WIDTHS, strict=True)
    return " ".join(cell.ljust(width) for cell, width in pairs).rstrip()
