"""Seeded open-loop arrivals with daily peaks that are offset between regions."""

import math
import random
from typing import NamedTuple

from sassafraskeel.loadgen.workloads import CallTemplate

# Amplitude of the daily variation, as a share of the mean rate.
PEAK_SHARE = 0.4


class Arrival(NamedTuple):
    """A call due `at` seconds after the start, whether or not earlier calls have ended.

    `number` determines the content of the call.
    """

    at: float
    workspace: str
    template: CallTemplate
    number: int


class LoadShape(NamedTuple):
    """Load of a run with compressed days: mean calls per second, times in seconds."""

    mean_rate: float
    run_seconds: float
    day_seconds: float


def rate_at(shape: LoadShape, peak_offset: float, at: float) -> float:
    """Return the rate at a time; `peak_offset` is the peak as a fraction of a day."""
    phase = 2 * math.pi * (at / shape.day_seconds - peak_offset)
    return shape.mean_rate * (1 + PEAK_SHARE * math.cos(phase))


def draw_arrivals(
    shape: LoadShape,
    workspaces: dict[str, float],
    templates: tuple[CallTemplate, ...],
    seed: int,
) -> list[Arrival]:
    """Return the arrivals of a run in order of time.

    `workspaces` maps each workspace to its share of the rate; the daily peaks of
    workspaces are spread evenly over the day. Arrivals form a Poisson process, drawn
    by thinning a process with the constant peak rate.
    """
    rng = random.Random(seed)
    drawn = []
    for index, (workspace, share) in enumerate(workspaces.items()):
        workspace_shape = shape._replace(mean_rate=shape.mean_rate * share)
        peak = workspace_shape.mean_rate * (1 + PEAK_SHARE)
        peak_offset = index / len(workspaces)
        at = rng.expovariate(peak)
        while at < shape.run_seconds:
            if rng.random() * peak < rate_at(workspace_shape, peak_offset, at):
                template = rng.choices(
                    templates, [template.weight for template in templates]
                )[0]
                drawn.append(Arrival(at, workspace, template, rng.getrandbits(32)))
            at += rng.expovariate(peak)
    return sorted(drawn, key=lambda arrival: arrival.at)
