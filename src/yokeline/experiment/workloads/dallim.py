"""Dallim Records: race results, with bursts at finishes. Units: tokens and seconds.

The kinds of requests, their chains, bursts at finishes and the six engines are the users'
(BRIEF-yokeline.md). No traces were given: every number below is an assumption, chosen before
any policy was measured, with these orientations:

- lengths of prompts and answers are lognormal, as in the traces of Wang et al. 2024
  ("BurstGPT") and of the Azure LLM inference traces (Patel et al. 2024, "Splitwise":
  medians near 1,000 prompt and 100 to 200 answer tokens);
- numbers of steps are geometric: an agent goes on or answers, with no memory (assumption);
- tool times are lognormal with a heavy tail (assumption: reads of a results database).

One number was changed after the first trials and before the published figures: the number of
races was Poisson and is three, since seeds with one race were 2.5 times overloaded.

Arrivals: 40% are a Poisson process over the whole horizon of 25 minutes; 60% belong to three
races, whose first finishers come at a random time in each third of the horizon. A race's
requests spread over 6 minutes after its first finisher, beta(2, 4): a quick rise and a slow
fall (assumption). The number of races is fixed, so that a load means the same on every seed.
The horizon is a part of a working day; the other days have no arrivals and are not simulated.

Kinds (share of arrivals, worth, deadline):

- ``lookup`` (50%, 1, 30 s): a runner asks for a placing; a read by a tool, then the answer.
- ``posting`` (20%, 5, 60 s): a director posts finishes; parse, check, store.
- ``correction`` (15%, 8, 90 s): a secretary corrects an entry; two to six steps with tools.
- ``reconciliation`` (15%, 20, 240 s): finish times, bib lists and rosters are reconciled; a
  chain of 4 to 25 steps (mean 9), a quarter of which are child runs that check one club.
"""

from __future__ import annotations

import random

from yokeline.experiment.script import (
    Arrival,
    ChildUse,
    FollowUp,
    ModelStep,
    ProgramScript,
    ToolUse,
    Turn,
)
from yokeline.experiment.workloads.arrivals import poisson_times, with_scripts
from yokeline.experiment.workloads.distributions import burst_time, geometric, lognormal, tokens
from yokeline.experiment.workloads.workload import Workload

TENANT = "dallim"
HORIZON_SECONDS = 1500.0
STEADY_SHARE = 0.4
RACES = 3
RACE_SECONDS = 360.0
RACE_SHAPE = 4.0
CHILD_SHARE = 0.25


def _tool(source: random.Random, name: str, median: float) -> ToolUse:
    return ToolUse(tool=name, seconds=lognormal(source, median, 0.8, (0.05, 60.0)))


def _step(
    source: random.Random, input_median: float, answer_median: float, follow_up: FollowUp | None
) -> ModelStep:
    return ModelStep(
        input_tokens=tokens(source, input_median, 0.7, 6000),
        answer_tokens=tokens(source, answer_median, 0.6, 1000),
        follow_up=follow_up,
    )


def _lookup(source: random.Random) -> ProgramScript:
    steps = (
        _step(source, 60, 40, _tool(source, "read_placings", 0.4)),
        _step(source, 400, 90, None),
    )
    return ProgramScript(
        kind="lookup",
        tenant=TENANT,
        program="placing-lookup",
        system_tokens=600,
        turns=(Turn(steps=steps),),
        worth=1.0,
        deadline_seconds=30.0,
    )


def _posting(source: random.Random) -> ProgramScript:
    steps = (
        _step(source, 900, 250, _tool(source, "check_bibs", 0.8)),
        _step(source, 300, 120, _tool(source, "store_finishes", 0.6)),
        _step(source, 80, 60, None),
    )
    return ProgramScript(
        kind="posting",
        tenant=TENANT,
        program="finish-posting",
        system_tokens=1000,
        turns=(Turn(steps=steps),),
        worth=5.0,
        deadline_seconds=60.0,
    )


def _correction(source: random.Random) -> ProgramScript:
    count = geometric(source, 3.0, 2, 6)
    steps = [_step(source, 200, 80, _tool(source, "read_entry", 0.6))]
    for _ in range(count - 2):
        steps.append(_step(source, 500, 120, _tool(source, "read_roster", 1.0)))
    steps.append(_step(source, 300, 120, None))
    return ProgramScript(
        kind="correction",
        tenant=TENANT,
        program="entry-correction",
        system_tokens=1000,
        turns=(Turn(steps=tuple(steps)),),
        worth=8.0,
        deadline_seconds=90.0,
    )


def _club_check(source: random.Random) -> ProgramScript:
    count = geometric(source, 3.0, 2, 8)
    steps = [_step(source, 700, 120, _tool(source, "read_roster", 1.0)) for _ in range(count - 1)]
    steps.append(_step(source, 400, 200, None))
    return ProgramScript(
        kind="club_check",
        tenant=TENANT,
        program="club-check",
        system_tokens=900,
        turns=(Turn(steps=tuple(steps)),),
    )


def _reconciliation(source: random.Random) -> ProgramScript:
    count = geometric(source, 9.0, 4, 25)
    steps = [_step(source, 1500, 150, _tool(source, "read_finish_times", 2.0))]
    for _ in range(count - 2):
        follow_up: FollowUp = _tool(source, "read_bib_list", 2.0)
        if source.random() < CHILD_SHARE:
            follow_up = ChildUse(child=_club_check(source))
        steps.append(_step(source, 900, 150, follow_up))
    steps.append(_step(source, 500, 400, None))
    return ProgramScript(
        kind="reconciliation",
        tenant=TENANT,
        program="reconciliation",
        system_tokens=1500,
        turns=(Turn(steps=tuple(steps)),),
        worth=20.0,
        deadline_seconds=240.0,
    )


_MAKERS = (_lookup, _posting, _correction, _reconciliation)
_SHARES = (0.50, 0.20, 0.15, 0.15)


def make_script(source: random.Random) -> ProgramScript:
    """Draw the script of a request."""
    return source.choices(_MAKERS, _SHARES)[0](source)


def arrivals(seed: int, rate: float) -> tuple[Arrival, ...]:
    """Return the arrivals of a seed at a mean rate, requests a second."""
    races = _race_starts(random.Random(f"dallim/races/{seed}"))
    source = random.Random(f"dallim/times/{seed}")
    steady = poisson_times(source, rate * STEADY_SHARE, 0.0, HORIZON_SECONDS)
    bursts = poisson_times(source, rate * (1.0 - STEADY_SHARE), 0.0, HORIZON_SECONDS)
    burst_times = [
        burst_time(source, source.choice(races), RACE_SECONDS, RACE_SHAPE) for _ in bursts
    ]
    return with_scripts(seed, steady + burst_times, make_script)


def _race_starts(source: random.Random) -> list[float]:
    part = (HORIZON_SECONDS - RACE_SECONDS) / RACES
    return [source.uniform(number * part, (number + 1) * part) for number in range(RACES)]


WORKLOAD = Workload(
    name="dallim",
    engines=6,
    warmup_seconds=0.0,
    horizon_seconds=HORIZON_SECONDS,
    drain_seconds=900.0,
    start_rate=1.0,
    tool_timeout_seconds=30.0,
    arrivals=arrivals,
)
