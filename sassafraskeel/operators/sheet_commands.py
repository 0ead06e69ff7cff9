"""The sheet commands of the command line."""

from pathlib import Path
from typing import Annotated

import cappa
import curio
from pydantic import BaseModel

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import SassafraskeelError, UserError
from sassafraskeel.core.net import Address, TcpNetwork, parse_address
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.operators import sheet_actions
from sassafraskeel.operators.results import failure_result, print_result
from sassafraskeel.operators.sheet_actions import SheetFile
from sassafraskeel.store.key_value import PlatformClient

EXIT_CODES = (
    "Exit status: 0 done, 1 not done, 2 wrong input (every fault is listed and"
    " nothing is changed), 3 platform unavailable."
)

SheetPath = Annotated[
    Path,
    cappa.Arg(
        value_name="FILE", required=True, show_default=False, help="CSV sheet file."
    ),
]
PlatformAddress = Annotated[
    str,
    cappa.Arg(
        long=True,
        required=True,
        show_default=False,
        value_name="ADDRESS",
        help="Address (ip:port) of the key-value service.",
    ),
]
AsJson = Annotated[
    bool, cappa.Arg(long="--json", show_default=False, help="Print one JSON object.")
]


def read_sheet_file(path: Path) -> SheetFile:
    """Read a sheet file; raise UserError."""
    try:
        return SheetFile(str(path), path.read_bytes())
    except OSError as exc:
        raise UserError(f"cannot read {path}: {exc}") from exc


class SheetCommand(BaseModel):
    """Options of all sheet commands."""

    as_json: AsJson = False

    def __call__(self):
        try:
            result = self.run()
        except SassafraskeelError as exc:
            result = failure_result(exc)
        print_result(result, self.as_json)


class PlatformCommand(SheetCommand):
    """Options of the sheet commands that use the platform."""

    platform: PlatformAddress

    def store(self) -> PlatformClient:
        """Return a client of the platform; raise UserError."""
        cfg = PlatformSection(address=parse_address(self.platform))
        return PlatformClient(cfg, SystemClock(), TcpNetwork())


@cappa.command(
    name="check",
    help="Check a sheet file and list every fault.",
    description=f"Example: sassafraskeel sheet check morning.csv. {EXIT_CODES}",
)
class Check(SheetCommand):
    """The sheet check command."""

    file: SheetPath

    def run(self):
        return sheet_actions.check(read_sheet_file(self.file))


@cappa.command(
    name="plan",
    help="Show what a sheet file would change.",
    description=(
        "Example: sassafraskeel sheet plan morning.csv --platform 10.0.0.5:7000."
        f" {EXIT_CODES}"
    ),
)
class PlanCommand(PlatformCommand):
    """The sheet plan command."""

    file: SheetPath

    def run(self):
        file = read_sheet_file(self.file)
        return curio.run(sheet_actions.plan, self.store(), file, SystemClock().now())


@cappa.command(
    name="accept",
    help="Put a sheet file in force.",
    description=(
        "Example: sassafraskeel sheet accept morning.csv --platform 10.0.0.5:7000."
        " A repeated acceptance of the same content reports its version."
        f" {EXIT_CODES}"
    ),
)
class Accept(PlatformCommand):
    """The sheet accept command."""

    file: SheetPath
    allow_empty: Annotated[
        bool,
        cappa.Arg(
            long="--allow-empty",
            help="Allow a service without upstreams or the removal of most upstreams.",
        ),
    ] = False
    again: Annotated[
        bool,
        cappa.Arg(
            long="--again", help="Allow content that was in force and was replaced."
        ),
    ] = False

    def run(self):
        return curio.run(
            sheet_actions.accept,
            self.store(),
            read_sheet_file(self.file),
            SystemClock().now(),
            self.allow_empty,
            self.again,
        )


@cappa.command(
    name="history",
    help="List the last accepted versions.",
    description=(
        f"Example: sassafraskeel sheet history --platform 10.0.0.5:7000. {EXIT_CODES}"
    ),
)
class History(PlatformCommand):
    """The sheet history command."""

    def run(self):
        return curio.run(sheet_actions.history, self.store())


@cappa.command(
    name="status",
    help="Show which version is in force on each host.",
    description=(
        "Example: sassafraskeel sheet status --platform 10.0.0.5:7000"
        " --host 10.0.1.1:8000 --host 10.0.1.2:8000. Without --host the hosts of"
        " the platform's directory are queried. Exit status 1 if a host is behind or"
        f" does not answer. {EXIT_CODES}"
    ),
)
class Status(PlatformCommand):
    """The sheet status command."""

    host: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            default=[],
            value_name="ADDRESS",
            help="Address (ip:port) at which a host serves callers.",
        ),
    ] = []

    def run(self):
        return curio.run(self._query_hosts)

    async def _query_hosts(self):
        store = self.store()
        hosts = [parse_address(text) for text in self.host]
        if not hosts:
            hosts = _directory_addresses(await store.directory())
        return await sheet_actions.status(store, TcpNetwork(), SystemClock(), hosts)


@cappa.command(name="sheet", help="Check, plan and accept the morning sheet.")
class SheetCommands(BaseModel):
    """The sheet commands."""

    command: cappa.Subcommands[Check | PlanCommand | Accept | History | Status]


def _directory_addresses(directory: dict) -> list[Address]:
    return [
        parse_address(str(entry["address"]))
        for _, entry in sorted(directory.items())
        if isinstance(entry, dict) and "address" in entry
    ]
