"""INI settings of a gateway host; all faults of a file are reported together."""

import configparser
import re
from datetime import timedelta
from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from sassafraskeel.core.errors import Fault, InvalidInput, UserError
from sassafraskeel.core.net import Address, parse_address

DURATION_UNITS = {"ms": 0.001, "s": 1, "m": 60, "h": 3600}
ROUTING_PATTERN = "^(cost|no_affinity|round_robin|least_requests)$"
DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*(ms|s|m|h)")


def parse_duration(value) -> timedelta:
    """Return a duration that is written like `250 ms`, `3 s`, `10 m` or `24 h`."""
    if isinstance(value, timedelta):
        return value
    match = DURATION_PATTERN.fullmatch(str(value).strip())
    if match is None:
        raise AssertionError("a duration such as 250 ms, 3 s, 10 m or 24 h")
    return timedelta(seconds=float(match[1]) * DURATION_UNITS[match[2]])


def _parse_address_field(value):
    if isinstance(value, tuple):
        return value
    try:
        return parse_address(str(value))
    except UserError as exc:
        raise AssertionError("an address of the form ip:port") from exc


def _parse_address_list(value):
    if isinstance(value, tuple):
        return value
    return tuple(_parse_address_field(word) for word in str(value).split())


Duration = Annotated[timedelta, BeforeValidator(parse_duration)]
AddressField = Annotated[Address, BeforeValidator(_parse_address_field)]
AddressList = Annotated[tuple[Address, ...], BeforeValidator(_parse_address_list)]


class Section(BaseModel):
    """A section of the settings file; unknown keys are faults."""

    # A process uses the models of one of the two settings files only.
    model_config = ConfigDict(frozen=True, extra="forbid", defer_build=True)


class HostSection(Section):
    """Identity and logging of the host, and what its machine has.

    The limits on connections, and on what they may hold, follow from `memory_mb` and
    `descriptors` where those of the section `callers` are higher (see core.capacity).
    """

    name: str = Field(min_length=1, max_length=64)
    domain: str = Field(min_length=1, max_length=64)
    memory_mb: float = Field(1000, ge=100)
    descriptors: int = Field(8192, ge=400)
    log_level: str = Field("info", pattern="^(info|debug)$")
    log_format: str = Field("json", pattern="^(json|console)$")


class CallerSection(Section):
    """The interface to callers."""

    listen: AddressField
    max_body_bytes: int = Field(4 * 1024 * 1024, ge=1024, le=64 * 1024 * 1024)
    max_connections: int = Field(2000, ge=1)
    # For the bodies of all requests together.
    max_held_bytes: int = Field(128 * 1024 * 1024, ge=1024 * 1024)
    head_timeout: Duration = timedelta(seconds=10)
    body_timeout: Duration = timedelta(seconds=30)
    idle_timeout: Duration = timedelta(seconds=60)
    default_deadline: Duration = timedelta(seconds=60)
    max_deadline: Duration = timedelta(minutes=10)
    directory_ttl: Duration = timedelta(seconds=5)


class UpstreamSection(Section):
    """The interface to upstreams."""

    connect_timeout: Duration = timedelta(seconds=1)
    stall_timeout: Duration = timedelta(seconds=5)
    report_interval: Duration = timedelta(milliseconds=500)
    pool_max_age: Duration = timedelta(seconds=60)
    pool_max_idle: Duration = timedelta(seconds=10)
    pool_size: int = Field(64, ge=1)


class PlatformSection(Section):
    """The platform's key-value service, host list and directory."""

    address: AddressField
    timeout: Duration = timedelta(seconds=2)
    poll_interval: Duration = timedelta(seconds=2)


class GatewaySection(Section):
    """Links to the other gateway hosts."""

    listen: AddressField
    token: str = Field(min_length=8)
    seeds: AddressList = ()
    ping_interval: Duration = timedelta(seconds=1)
    connect_timeout: Duration = timedelta(seconds=2)
    remote_links: int = Field(4, ge=1, le=64)
    max_call_connections: int = Field(512, ge=1)


class OperatorSection(Section):
    """The interface to operators.

    `hosts` are the operators' addresses of all hosts. If it is empty, the machines of
    the seeds are assumed to serve operators on the same port as the local host.
    """

    listen: AddressField
    token: str = Field(min_length=8)
    hosts: AddressList = ()


class OrderSection(Section):
    """At-most-once orders.

    A member of a view dispatches orders only while the promises of the other members
    are valid, each for `promise`. A member that does not agree to its removal is
    removed `promise` plus `margin` after the change was seen. A host that has not read
    the view from the platform for `orphan_grace` dispatches no orders. Order ids are
    accepted for `lifetime`, and up to `clock_skew` ahead of the local clock.
    """

    promise: Duration = timedelta(seconds=3)
    margin: Duration = timedelta(seconds=2)
    orphan_grace: Duration = timedelta(minutes=90)
    lifetime: Duration = timedelta(hours=24)
    clock_skew: Duration = timedelta(seconds=10)
    max_records: int = Field(200_000, ge=1)


class LimitSection(Section):
    """Admission, routing and retries."""

    queue_length: int = Field(512, ge=1)
    retry_budget: float = Field(0.1, ge=0, le=1)
    max_attempts: int = Field(2, ge=1, le=5)
    max_hops: int = Field(3, ge=1, le=8)
    spill_start: float = Field(0.9, gt=0, le=4)
    spill_stop: float = Field(0.75, gt=0, le=4)
    ramp: Duration = timedelta(seconds=30)
    prefill: Duration = timedelta(milliseconds=50)
    routing: str = Field("cost", pattern=ROUTING_PATTERN)
    retries: str = Field("budget", pattern="^(budget|unlimited)$")


class Settings(Section):
    """All settings of a gateway host."""

    host: HostSection
    callers: CallerSection
    platform: PlatformSection
    gateways: GatewaySection
    operators: OperatorSection
    upstreams: UpstreamSection = UpstreamSection()
    orders: OrderSection = OrderSection()
    limits: LimitSection = LimitSection()


def load_settings(path: Path, model: type[Section] = Settings):
    """Read a settings file; raise UserError, or InvalidInput with every fault."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UserError(f"cannot read {path}: {exc}") from exc
    return parse_settings(text, str(path), model)


def parse_settings(text: str, file: str, model: type[Section] = Settings):
    """Return the settings written in `text`; raise InvalidInput with every fault."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as exc:
        line = getattr(exc, "lineno", None) or 1
        allowed = "an INI file with sections and key = value lines"
        raise InvalidInput([Fault(file, line, "", str(exc), allowed)]) from exc
    values = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return model.model_validate(values)
    except ValidationError as exc:
        lines = _find_key_lines(text)
        raise InvalidInput(
            [
                _convert_error(error, values, lines, file, model)
                for error in exc.errors()
            ]
        ) from exc


def _convert_error(error, values, lines, file, model) -> Fault:
    section, *rest = (str(part) for part in error["loc"])
    key = rest[0] if rest else ""
    name = f"{section}.{key}" if key else section
    found = values.get(section, {}).get(key, "") if key else ""
    line = lines.get((section, key)) or lines.get((section, "")) or 1
    allowed = error["msg"].removeprefix("Assertion failed, ")
    if error["type"] == "missing":
        allowed = "required"
    elif error["type"] == "extra_forbidden":
        allowed = _suggest_names(section, key, model)
    return Fault(file, line, name, str(found), allowed)


def _suggest_names(section: str, key: str, model: type[Section]) -> str:
    fields = model.model_fields
    if key and section in fields:
        known_names = list(fields[section].annotation.model_fields)
        unknown_name = key
    else:
        known_names = list(fields)
        unknown_name = section
    # Only faulty settings need it, and it delays every start.
    import difflib

    matches = difflib.get_close_matches(unknown_name, known_names, 1)
    hint = f"did you mean {matches[0]!r}? " if matches else ""
    return f"{hint}one of {', '.join(known_names)}"


def _find_key_lines(text: str) -> dict[tuple[str, str], int]:
    lines = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if line.startswith("[") and "]" in line:
            section = line[1 : line.index("]")]
            lines[section, ""] = number
        elif line and line[0] not in "#;":
            key = re.split(r"[=:]", line, maxsplit=1)[0].strip().lower()
            lines.setdefault((section, key), number)
    return lines
