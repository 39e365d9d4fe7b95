"""Arrival times and scripts, drawn independently of one another.

The script of arrival ``n`` depends only on the seed and ``n``; the load changes only how many
arrivals there are and when.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from yokeline.experiment.script import Arrival, ProgramScript

ScriptMaker = Callable[[random.Random], ProgramScript]


def poisson_times(source: random.Random, rate: float, start: float, end: float) -> list[float]:
    """Draw the times of a Poisson process of ``rate`` events a second."""
    times: list[float] = []
    time = start
    while rate > 0:
        time += source.expovariate(rate)
        if time >= end:
            break
        times.append(time)
    return times


def with_scripts(seed: int, times: list[float], make: ScriptMaker) -> tuple[Arrival, ...]:
    """Return the arrivals at some times, each with its script."""
    return tuple(
        Arrival(at=at, number=number, script=make(random.Random(f"script/{seed}/{number}")))
        for number, at in enumerate(sorted(times))
    )
