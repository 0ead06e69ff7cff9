"""Burn rates: how fast services use up the error budgets of their objectives."""

from typing import NamedTuple

WINDOWS_MINUTES = {"5m": 5, "1h": 60}


class Objective(NamedTuple):
    """A service-level objective: a share of calls answered within `milliseconds`."""

    milliseconds: int
    share: float


class Sample(NamedTuple):
    """Counts of calls to a service in a region in one minute.

    `bad` counts the calls that missed the objective.
    """

    service: str
    region: str
    minute: int
    calls: int
    bad: int


class BurnRow(NamedTuple):
    """The burn rate of a service in a region over a window.

    At a burn rate of 1, exactly the allowed share of calls misses the objective.
    """

    service: str
    region: str
    window: str
    calls: int
    bad: int
    burn: float


def burn_rows(
    samples: list[Sample], objectives: dict[str, Objective], now_minute: int
) -> list[BurnRow]:
    """Return the burn rates of services with an objective, by region and window."""
    rows = []
    pairs = sorted({(entry.service, entry.region) for entry in samples})
    for service, region in pairs:
        objective = objectives.get(service)
        if objective is None or not 0 < objective.share < 1:
            continue
        for window, minutes in WINDOWS_MINUTES.items():
            entries = [
                entry
                for entry in samples
                if (entry.service, entry.region) == (service, region)
                and 0 <= now_minute - entry.minute < minutes
            ]
            calls = sum(entry.calls for entry in entries)
            bad = sum(entry.bad for entry in entries)
            burn = bad / calls / (1 - objective.share) if calls else 0.0
            rows.append(BurnRow(service, region, window, calls, bad, burn))
    return rows


def burn_by_minute(
    samples: list[Sample], objectives: dict[str, Objective], now_minute: int
) -> dict[tuple[str, str], list[float | None]]:
    """Return the burn rates by service and region, minute by minute.

    The last hour is covered, oldest minute first; minutes without calls are None.
    """
    span = WINDOWS_MINUTES["1h"]
    calls, bad = {}, {}
    for entry in samples:
        index = span - 1 - (now_minute - entry.minute)
        if entry.service in objectives and 0 <= index < span:
            key = entry.service, entry.region, index
            calls[key] = calls.get(key, 0) + entry.calls
            bad[key] = bad.get(key, 0) + entry.bad
    series = {}
    for service, region, index in calls:
        points = series.setdefault((service, region), [None] * span)
        total = calls[service, region, index]
        allowed = 1 - objectives[service].share
        if total and allowed > 0:
            points[index] = bad[service, region, index] / total / allowed
    return series
