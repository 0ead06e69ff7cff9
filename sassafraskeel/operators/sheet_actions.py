"""The actions of the sheet commands, which use the platform and the hosts."""

import json
from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.net import Address, Network
from sassafraskeel.operators.results import EXIT_DONE, EXIT_NOT_DONE, CommandResult
from sassafraskeel.sheets.parse import decode_sheet, parse_sheet
from sassafraskeel.sheets.plan import Plan, check_plan, plan_change
from sassafraskeel.store.key_value import KeyValueStore
from sassafraskeel.store.sheet_store import accept_sheet, read_head, read_sheet

HEALTH_TIMEOUT_SECONDS = 3.0
MAX_ROWS_PRINTED = 200


class SheetFile(NamedTuple):
    """The name and the content of a sheet file."""

    name: str
    data: bytes

    def text(self) -> str:
        """Return the text; raise InvalidInput."""
        return decode_sheet(self.data, self.name)


def check(file: SheetFile) -> CommandResult:
    """Check a file without the platform; raise InvalidInput."""
    sheet = parse_sheet(file.text(), file.name)
    content = {
        "digest": sheet.digest,
        "services": len(sheet.services),
        "workspaces": len(sheet.workspaces),
        "upstreams": len(sheet.upstreams),
    }
    line = (
        f"{file.name}: correct: {content['services']} services,"
        f" {content['workspaces']} workspaces, {content['upstreams']} upstreams"
    )
    return CommandResult(EXIT_DONE, content, (line,))


async def plan(store: KeyValueStore, file: SheetFile, now: datetime) -> CommandResult:
    """Compare a file with the sheet in force."""
    sheet = parse_sheet(file.text(), file.name)
    head = await read_head(store)
    change = plan_change(await read_sheet(store, head), sheet, now)
    content = {"version": head.version, "digest": sheet.digest, **_plan_to_json(change)}
    lines = [f"against version {head.version}:", *_format_plan(change)]
    try:
        check_plan(change)
    except SassafraskeelError as exc:
        content["blocked"] = str(exc)
        lines.append(f"accept will refuse: {exc}")
    return CommandResult(EXIT_DONE, content, tuple(lines))


async def accept(
    store: KeyValueStore, file: SheetFile, now: datetime, allow_empty: bool, again: bool
) -> CommandResult:
    """Accept a file as the next version; raise UserError or PlatformUnavailable."""
    text = file.text()
    previous_head = await read_head(store)
    version = await accept_sheet(
        store, text, allow_empty=allow_empty, again=again, now=now, file=file.name
    )
    state = "already accepted" if version <= previous_head.version else "accepted"
    content = {"version": version, "already": version <= previous_head.version}
    return CommandResult(EXIT_DONE, content, (f"{state} as {version}",))


async def history(store: KeyValueStore) -> CommandResult:
    """List the versions that the head names, newest first."""
    head = await read_head(store)
    versions = [
        {"version": item.version, "digest": item.digest}
        for item in reversed(head.lineage)
    ]
    lines = [f"{item['version']:>8}  {item['digest']}" for item in versions]
    return CommandResult(
        EXIT_DONE, {"versions": versions}, tuple(lines or ["no sheet was accepted"])
    )


async def status(
    store: KeyValueStore, network: Network, clock: Clock, hosts: list[Address]
) -> CommandResult:
    """Compare the sheets in force on hosts with the head."""
    head = await read_head(store)
    rows = []
    for address in hosts:
        version = await _fetch_sheet_version(network, clock, address)
        rows.append({"host": str(address), "sheet_version": version})
    behind = [row for row in rows if row["sheet_version"] != head.version]
    lines = [f"head: version {head.version}"]
    for row in rows:
        version = row["sheet_version"]
        state = "no answer" if version is None else f"version {version}"
        lines.append(f"{row['host']:<24} {state}{' *' if row in behind else ''}")
    content = {"version": head.version, "hosts": rows, "behind": len(behind)}
    return CommandResult(EXIT_NOT_DONE if behind else EXIT_DONE, content, tuple(lines))


async def _fetch_sheet_version(network, clock, address) -> int | None:
    try:
        async with clock.timeout(HEALTH_TIMEOUT_SECONDS):
            _, data = await request_once(network, clock, address, "GET", "/health")
        return int(json.loads(data)["sheet_version"])
    except (SassafraskeelError, ValueError, KeyError, TypeError):
        return None  # The host is listed as not answering.


def _plan_to_json(change: Plan) -> dict:
    content = change._asdict()
    content["rows"] = [row._asdict() for row in change.rows]
    return content


def _format_plan(change: Plan) -> list[str]:
    lines = [
        f"  {row.change} {row.kind} {row.name} {' '.join(row.keys)}".rstrip()
        for row in change.rows[:MAX_ROWS_PRINTED]
    ]
    if len(change.rows) > MAX_ROWS_PRINTED:
        lines.append(f"  and {len(change.rows) - MAX_ROWS_PRINTED} more rows")
    lines += [f"  upstream {name} leaves" for name in change.leaving]
    lines += [
        f"  service {name} is left without an upstream" for name in change.emptied
    ]
    lines += [f"  {text}" for text in change.narrowed]
    lines += [f"  home moves: {text}" for text in change.moved_homes]
    return lines or ["  no change"]
