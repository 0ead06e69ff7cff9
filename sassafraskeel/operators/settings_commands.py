"""The settings commands of the command line."""

from pathlib import Path
from typing import Annotated

import cappa
from pydantic import BaseModel

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.settings import Settings, load_settings
from sassafraskeel.operators.results import (
    EXIT_DONE,
    CommandResult,
    failure_result,
    print_result,
)

SECRET_KEYS = frozenset(("token",))
EXIT_CODES = "Exit status: 0 done, 2 wrong input (every fault is listed)."

SettingsPath = Annotated[
    Path,
    cappa.Arg(
        value_name="FILE",
        required=True,
        show_default=False,
        help="INI settings file of a host.",
    ),
]
AsJson = Annotated[
    bool, cappa.Arg(long="--json", show_default=False, help="Print one JSON object.")
]


def check(path: Path) -> CommandResult:
    """Check a settings file; raise UserError."""
    cfg = load_settings(path)
    content = {"host": cfg.host.name, "domain": cfg.host.domain}
    line = f"{path}: correct: host {cfg.host.name} in {cfg.host.domain}"
    return CommandResult(EXIT_DONE, content, (line,))


def show(path: Path) -> CommandResult:
    """Show all settings with their defaults, without secrets; raise UserError."""
    content = _printable_settings(load_settings(path))
    lines = []
    for section, values in content.items():
        lines.append(f"[{section}]")
        lines += [f"{key} = {value}" for key, value in values.items()]
    return CommandResult(EXIT_DONE, content, tuple(lines))


def _printable_settings(cfg: Settings) -> dict:
    return {
        section: {
            key: "(not shown)" if key in SECRET_KEYS else _format_value(value)
            for key, value in getattr(cfg, section)
        }
        for section in type(cfg).model_fields
    }


def _format_value(value) -> str:
    if hasattr(value, "total_seconds"):
        return f"{value.total_seconds():g} s"
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return " ".join(map(str, value))
    return str(value)


class SettingsCommand(BaseModel):
    """Options of all settings commands."""

    file: SettingsPath
    as_json: AsJson = False

    def __call__(self):
        try:
            result = self.run()
        except SassafraskeelError as exc:
            result = failure_result(exc)
        print_result(result, self.as_json)


@cappa.command(
    name="check",
    help="Check a settings file and list every fault.",
    description=f"Example: sassafraskeel settings check host.ini. {EXIT_CODES}",
)
class Check(SettingsCommand):
    """The settings check command."""

    def run(self):
        return check(self.file)


@cappa.command(
    name="show",
    help="Show all settings of a file with their defaults.",
    description=f"Example: sassafraskeel settings show host.ini. {EXIT_CODES}",
)
class Show(SettingsCommand):
    """The settings show command."""

    def run(self):
        return show(self.file)


@cappa.command(name="settings", help="Check and show settings files.")
class SettingsCommands(BaseModel):
    """The settings commands."""

    command: cappa.Subcommands[Check | Show]
