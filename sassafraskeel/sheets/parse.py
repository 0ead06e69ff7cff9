"""Parses and validates a sheet in CSV, and reports all faults at once."""

import csv
import difflib
import hashlib
import io
from datetime import UTC, datetime
from typing import Annotated, NamedTuple

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from sassafraskeel.core.errors import Fault, InvalidInput, UserError
from sassafraskeel.core.net import Address, parse_address
from sassafraskeel.sheets.model import (
    Domain,
    Fencing,
    Link,
    Policy,
    Service,
    ServiceType,
    Sheet,
    Upstream,
    Workspace,
)

MAX_SHEET_BYTES = 900_000
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
COLUMNS = (
    "kind",
    "name",
    "domain",
    "address",
    "service",
    "type",
    "regions",
    "home",
    "model",
    "slots",
    "price",
    "until",
    "fencing",
    "share",
    "objective_ms",
    "objective",
    "weight_tail",
    "weight_cost",
    "weight_away",
)
MAX_FOUND_CHARACTERS = 80
DEFAULT_POLICY = Policy(1.0, 1.0, 1.0)

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


def _parse_regions(value):
    return frozenset(str(value).split())


def _parse_address(value):
    try:
        return parse_address(str(value))
    except UserError as exc:
        raise AssertionError("an address of the form ip:port") from exc


def _parse_until(value):
    if value in (None, ""):
        return None
    try:
        until = datetime.fromisoformat(str(value))
    except ValueError as exc:
        raise AssertionError("a time such as 2026-12-31T18:00:00+00:00") from exc
    return until if until.tzinfo else until.replace(tzinfo=UTC)


class Row(BaseModel):
    """The columns of a kind of row; a value in any other column is a fault."""

    model_config = ConfigDict(frozen=True, extra="forbid", allow_inf_nan=False)

    name: Name


class DomainRow(Row):
    regions: Name


class ServiceRow(Row):
    type: ServiceType
    regions: Annotated[
        frozenset[str], BeforeValidator(_parse_regions), Field(min_length=1)
    ]
    home: str = ""
    model: str = ""
    objective_ms: int = Field(2000, ge=1)
    objective: float = Field(0.95, gt=0, lt=1)


class WorkspaceRow(Row):
    home: Name
    regions: Annotated[
        frozenset[str], BeforeValidator(_parse_regions), Field(min_length=1)
    ]
    share: float = Field(1.0, gt=0, le=1000)


class UpstreamRow(Row):
    domain: Name
    address: Annotated[Address, BeforeValidator(_parse_address)]
    service: Name
    slots: int = Field(8, ge=1, le=100_000)
    price: float = Field(1.0, ge=0)
    until: Annotated[datetime | None, BeforeValidator(_parse_until)] = None
    fencing: Fencing = Fencing.IGNORED


class LinkRow(Row):
    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]+/[A-Za-z0-9._-]+$")]
    price: float = Field(ge=0)


class PolicyRow(Row):
    name: str = ""
    weight_tail: float = Field(1.0, ge=0)
    weight_cost: float = Field(1.0, ge=0)
    weight_away: float = Field(1.0, ge=0)


ROW_MODELS = {
    "domain": DomainRow,
    "service": ServiceRow,
    "workspace": WorkspaceRow,
    "upstream": UpstreamRow,
    "link": LinkRow,
    "policy": PolicyRow,
}


def _build_domain(name: str, regions: str) -> Domain:
    return Domain(name, regions)


def _build_policy(name: str, **weights: float) -> Policy:
    return Policy(**weights)


ENTRY_BUILDERS = {
    "domain": _build_domain,
    "service": Service,
    "workspace": Workspace,
    "upstream": Upstream,
    "link": Link,
    "policy": _build_policy,
}


class ParsedRow(NamedTuple):
    """A valid row: its kind, its columns and its entry in the sheet."""

    kind: str
    row: Row
    entry: Domain | Service | Workspace | Upstream | Link | Policy


def compute_digest(text: str) -> str:
    """Return the content hash that identifies a sheet."""
    return hashlib.sha256(text.encode()).hexdigest()


def decode_sheet(data: bytes, file: str) -> str:
    """Decode a sheet file; raise InvalidInput unless it is UTF-8."""
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        found = f"byte {data[exc.start]:#04x}"
        raise InvalidInput([Fault(file, line, "", found, "UTF-8")]) from exc


class RowCache:
    """The valid rows of the sheet that was parsed last.

    Validating a row costs about fifty times as much as splitting it, and most rows
    of a new sheet are unchanged. The cache holds the rows of one sheet only.
    """

    def __init__(self):
        self._header: list[str] = []
        self._old: dict[tuple[str, ...], ParsedRow] = {}
        self._new: dict[tuple[str, ...], ParsedRow] = {}

    def start_sheet(self, header: list[str]) -> None:
        """Start a new sheet; rows cached under another header are dropped."""
        self._old = self._new if header == self._header else {}
        self._header = header
        self._new = {}

    def find(self, cells: tuple[str, ...]) -> ParsedRow | None:
        """Return the cached row with these cells, and keep it for the next sheet."""
        row = self._new.get(cells) or self._old.get(cells)
        if row is not None:
            self._new[cells] = row
        return row

    def add(self, cells: tuple[str, ...], row: ParsedRow) -> None:
        """Add a valid row of the current sheet."""
        self._new[cells] = row


def parse_sheet(
    text: str, file: str, version: int = 0, cache: RowCache | None = None
) -> Sheet:
    """Parse the text of a sheet; raise InvalidInput with all faults."""
    try:
        size = len(text.encode())
    except UnicodeEncodeError as exc:
        raise InvalidInput([Fault(file, 1, "", "a surrogate", "UTF-8")]) from exc
    if size > MAX_SHEET_BYTES:
        allowed = f"at most {MAX_SHEET_BYTES} bytes"
        raise InvalidInput([Fault(file, 1, "", f"{size} bytes", allowed)])
    rows, faults = _read_rows(text, file, cache or RowCache())
    tables = {kind: {} for kind in ROW_MODELS}
    lines = {}
    for line, (kind, row, _) in rows:
        if row.name in tables[kind]:
            faults.append(Fault(file, line, f"{kind}.name", row.name, "a new name"))
        tables[kind][row.name] = row
        lines[kind, row.name] = line
    faults += _check_references(tables, lines, file)
    if faults:
        raise InvalidInput(sorted(faults, key=lambda fault: fault.line))
    entries = {kind: {} for kind in ROW_MODELS}
    for _, (kind, row, entry) in rows:
        entries[kind][row.name] = entry
    return _build_sheet(entries, text, version)


def _read_rows(text, file, cache):
    faults = []
    rows = []
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    try:
        header = [name.strip() for name in next(reader, [])]
        faults = _check_header(header, file)
        if faults:
            return [], faults
        cache.start_sheet(header)
        for cells in reader:
            line = reader.line_num
            if not any(cells) or cells[0].startswith("#"):
                continue
            if len(cells) > len(header):
                allowed = f"at most {len(header)} cells"
                faults.append(Fault(file, line, "row", f"{len(cells)} cells", allowed))
                continue
            cells = tuple(cells)
            row = cache.find(cells)
            if row is None:
                filled = {
                    key: cell.strip()
                    for key, cell in zip(header, cells, strict=False)
                    if cell.strip()
                }
                row = _read_row(filled, file, line, faults)
                if row is None:
                    continue
                cache.add(cells, row)
            rows.append((line, row))
    except csv.Error as exc:
        faults.append(Fault(file, reader.line_num, "row", str(exc), "CSV (RFC 4180)"))
    return rows, faults


def _check_header(header, file):
    faults = []
    for index, name in enumerate(header):
        if name not in COLUMNS:
            allowed = _describe_allowed(name, COLUMNS)
            faults.append(Fault(file, 1, "header", _shorten(name), allowed))
        elif name in header[:index]:
            faults.append(Fault(file, 1, "header", name, "each column once"))
    for name in ("kind", "name"):
        if name not in header:
            found = _shorten(",".join(header))
            faults.append(Fault(file, 1, "header", found, f"a column {name!r}"))
    return faults


def _describe_allowed(found, allowed) -> str:
    matches = difflib.get_close_matches(found[:MAX_FOUND_CHARACTERS], allowed, 1)
    hint = f"did you mean {matches[0]!r}? " if matches else ""
    return f"{hint}one of {', '.join(allowed)}"


def _shorten(found: str) -> str:
    if len(found) <= MAX_FOUND_CHARACTERS:
        return found
    return f"{found[:MAX_FOUND_CHARACTERS]}…"


def _read_row(entry, file, line, faults) -> ParsedRow | None:
    kind = entry.pop("kind", "")
    if kind not in ROW_MODELS:
        allowed = _describe_allowed(kind, tuple(ROW_MODELS))
        faults.append(Fault(file, line, "kind", _shorten(kind), allowed))
        return None
    try:
        row = ROW_MODELS[kind].model_validate(entry)
        return ParsedRow(kind, row, ENTRY_BUILDERS[kind](**dict(row)))
    except ValidationError as exc:
        for error in exc.errors():
            key = str(error["loc"][0])
            allowed = error["msg"].removeprefix("Assertion failed, ")
            if error["type"] == "extra_forbidden":
                allowed = f"empty: a {kind} row has no such column"
            elif error["type"] == "missing":
                allowed = "required"
            found = _shorten(entry.get(key, ""))
            faults.append(Fault(file, line, f"{kind}.{key}", found, allowed))
    return None


def _check_references(tables, lines, file):
    faults = []

    def check(kind, name, key, found, allowed):
        for value in sorted(found - allowed - {""}):
            described = (
                _describe_allowed(value, sorted(allowed)) if allowed else "none defined"
            )
            line = lines[kind, name]
            faults.append(Fault(file, line, f"{kind}.{key}", value, described))

    domains = set(tables["domain"])
    regions = {row.regions for row in tables["domain"].values()}
    for name, row in tables["service"].items():
        check("service", name, "regions", row.regions, regions)
        check("service", name, "home", {row.home}, domains)
    for name, row in tables["workspace"].items():
        check("workspace", name, "regions", row.regions, regions)
        check("workspace", name, "home", {row.home}, domains)
    services = set(tables["service"])
    for name, row in tables["upstream"].items():
        check("upstream", name, "domain", {row.domain}, domains)
        check("upstream", name, "service", {row.service}, services)
    for name in tables["link"]:
        check("link", name, "name", set(name.split("/")), domains)
    return faults


def _build_sheet(entries, text, version) -> Sheet:
    return Sheet(
        version=version,
        digest=compute_digest(text),
        domains=entries["domain"],
        services=entries["service"],
        workspaces=entries["workspace"],
        upstreams=entries["upstream"],
        links=entries["link"],
        policy=next(iter(entries["policy"].values()), DEFAULT_POLICY),
        text=text,
    )
