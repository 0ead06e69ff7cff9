"""Results of operators' commands, as text or JSON, and their exit statuses."""

import json
import sys
from typing import NamedTuple

from sassafraskeel.core.errors import (
    HomeMoved,
    InvalidInput,
    SassafraskeelError,
    SheetConflict,
    SheetEmpties,
    SheetReplaced,
    SheetTextMissing,
    UserError,
)

EXIT_DONE = 0
EXIT_NOT_DONE = 1
EXIT_WRONG_INPUT = 2
EXIT_PLATFORM_UNAVAILABLE = 3
NOT_DONE_ERRORS = (
    SheetConflict,
    SheetReplaced,
    SheetEmpties,
    HomeMoved,
    SheetTextMissing,
)


class CommandResult(NamedTuple):
    """The result of a command; `content` is the JSON form of `lines`."""

    exit_status: int
    content: dict
    lines: tuple[str, ...]


def failure_result(exc: SassafraskeelError) -> CommandResult:
    """Return the result of a command that failed."""
    content = {"error": type(exc).__name__, "detail": str(exc)}
    exit_status = EXIT_PLATFORM_UNAVAILABLE
    if isinstance(exc, NOT_DONE_ERRORS):
        exit_status = EXIT_NOT_DONE
    elif isinstance(exc, UserError):
        exit_status = EXIT_WRONG_INPUT
    if isinstance(exc, InvalidInput):
        content["faults"] = [fault._asdict() for fault in exc.faults]
    return CommandResult(exit_status, content, (str(exc),))


def print_result(result: CommandResult, as_json: bool) -> None:
    """Print a result; exit with its status unless that is EXIT_DONE."""
    output = sys.stdout if as_json or result.exit_status == EXIT_DONE else sys.stderr
    if as_json:
        content = {"ok": result.exit_status == EXIT_DONE, **result.content}
        print(json.dumps(content, default=str), file=output)
    else:
        for line in result.lines:
            print(line, file=output)
    if result.exit_status != EXIT_DONE:
        sys.exit(result.exit_status)
