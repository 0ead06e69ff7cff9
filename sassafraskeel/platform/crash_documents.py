"""Encodes the crashes of replicas that a host publishes in the platform's store.

`features` lists each feature once; crashes and clearances refer to it by position.
Times are ages in seconds, since the clocks of hosts differ.
"""

import json

from sassafraskeel.core.errors import MalformedDocument
from sassafraskeel.decisions.crash_evidence import (
    EXPIRY_SECONDS,
    MAX_CLEARED,
    MAX_CRASHES,
    MAX_FEATURES,
    Crash,
    CrashTable,
)
from sassafraskeel.platform.document_fields import (
    MAX_TEXT_LENGTH,
    is_text,
    shorten_detail,
)

# Features are hashes of 16 characters, and the ids of crashes are short, too.
MAX_HASH_LENGTH = 64


def encode_crash_table(table: CrashTable, now: float) -> bytes:
    """Return the document for a table; `now` is a reading of the monotonic clock."""
    positions: dict[str, int] = {}

    def refer(features) -> list[int]:
        return [positions.setdefault(name, len(positions)) for name in sorted(features)]

    crashes = [
        [
            crash.crash_id,
            crash.service,
            crash.replica,
            round(max(now - crash.at, 0.0), 3),
            refer(crash.features),
        ]
        for crash in table.crashes
    ]
    cleared = [[key, refer(names)] for key, names in table.cleared.items()]
    content = {"features": list(positions), "crashes": crashes, "cleared": cleared}
    return json.dumps(content, separators=(",", ":")).encode()


def decode_crash_table(value: bytes, now: float) -> CrashTable:
    """Decode the table of a host; raise MalformedDocument.

    `now` is a reading of the monotonic clock.
    """
    try:
        content = json.loads(value)
        names = [_text(name, MAX_HASH_LENGTH) for name in content["features"]]
        crashes = tuple(_decode_crash(row, names, now) for row in content["crashes"])
        cleared = {
            _text(key, MAX_HASH_LENGTH): _features(found, names)
            for key, found in content["cleared"]
        }
    except (
        ValueError,
        KeyError,
        TypeError,
        IndexError,
        ArithmeticError,
        RecursionError,
    ) as exc:
        detail = shorten_detail(f"{type(exc).__name__} {exc}")
        raise MalformedDocument(f"crashes: {detail}") from exc
    if len(crashes) > MAX_CRASHES or len(cleared) > MAX_CLEARED:
        raise MalformedDocument("crashes: too many entries")
    if sum(map(len, cleared.values())) > 2 * MAX_CLEARED:
        raise MalformedDocument("crashes: too many features are cleared")
    return CrashTable(crashes, cleared)


def _decode_crash(row, names: list[str], now: float) -> Crash:
    crash_id, service, replica, age, found = row
    if isinstance(age, bool) or not isinstance(age, int | float):
        raise MalformedDocument("crashes: an age is not a number")
    if not 0 <= age <= EXPIRY_SECONDS:
        raise MalformedDocument("crashes: an age is out of range")
    features = _features(found, names)
    if len(features) > MAX_FEATURES:
        raise MalformedDocument("crashes: a crash has too many features")
    return Crash(
        _text(crash_id, MAX_HASH_LENGTH),
        _text(service),
        _text(replica),
        now - age,
        features,
    )


def _features(found, names: list[str]) -> frozenset[str]:
    if not isinstance(found, list) or any(type(n) is not int or n < 0 for n in found):
        raise MalformedDocument("crashes: features are not a list of positions")
    return frozenset(names[number] for number in found)


def _text(value, max_length: int = MAX_TEXT_LENGTH) -> str:
    if not is_text(value, max_length):
        raise MalformedDocument("crashes: a text is missing or malformed")
    return value
