"""The command line for operators."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from pydantic import BaseModel

from sassafraskeel import daemon
from sassafraskeel.core.errors import UserError
from sassafraskeel.core.settings import load_settings
from sassafraskeel.operators.burn_report import ReportCommands
from sassafraskeel.operators.load_command import Load
from sassafraskeel.operators.settings_commands import SettingsCommands
from sassafraskeel.operators.sheet_commands import SheetCommands
from sassafraskeel.operators.status_commands import Drain, Status


@cappa.command(name="serve", help="Run a gateway host until it is stopped.")
class Serve(BaseModel):
    """The serve command."""

    settings: Annotated[
        Path, cappa.Arg(required=True, help="INI settings file of the host.")
    ]

    def __call__(self):
        daemon.run(load_settings(self.settings))


@cappa.command(name="sassafraskeel", help="Multi-region inference gateway.")
class Sassafraskeel(BaseModel):
    """The top-level command."""

    command: cappa.Subcommands[
        Serve
        | SheetCommands
        | SettingsCommands
        | Load
        | Status
        | Drain
        | ReportCommands
    ]


def main(argv: list[str] | None = None) -> None:
    """Run one command; print a UserError without a traceback and exit with 2."""
    try:
        cappa.invoke(Sassafraskeel, argv=argv)
    except UserError as exc:
        print(exc, file=sys.stderr)
        sys.exit(2)
