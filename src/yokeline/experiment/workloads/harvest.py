"""Harvest Records: long lot-history conversations, tally lookups, alerts. Tokens and seconds.

The kinds of requests, the long conversations with long pauses and the seven engines are the
users' (BRIEF-yokeline.md). No traces were given: every number below is an assumption, chosen
before any policy was measured. Lengths are lognormal, as in the published traces of language
model services (Wang et al. 2024, "BurstGPT"); pauses between turns are lognormal with a heavy
tail, since people read, talk and come back.

Arrivals: a Poisson process over warm-up and horizon. The warm-up (600 s) fills the system with
conversations under way and is not measured.

Kinds (share of the programs that start, worth, deadline of each turn):

- ``lot_history`` (15%, 3, 60 s): the cellar master or an auditor talks about a lot. The first
  turn brings 2 to 4 reads of logs of about 2,500 tokens each; 5 to 14 turns (mean 8); later
  turns have a read of about 900 tokens with chance 0.6. Pauses between turns: median 40 s,
  spread 1 (mean 66 s; one in ten over 144 s), at most 600 s.
- ``tally`` (60%, 1, 20 s): a row foreman asks for a tally; one read, then the answer.
- ``alert`` (25%, 10, 20 s): a gate weigh-in is to be recorded and the right people told; two
  tool calls.
"""

from __future__ import annotations

import random

from yokeline.experiment.script import Arrival, ModelStep, ProgramScript, ToolUse, Turn
from yokeline.experiment.workloads.arrivals import poisson_times, with_scripts
from yokeline.experiment.workloads.distributions import geometric, lognormal, tokens
from yokeline.experiment.workloads.workload import Workload

TENANT = "harvest"
WARMUP_SECONDS = 600.0
HORIZON_SECONDS = 1800.0
PAUSE_MEDIAN_SECONDS = 40.0
PAUSE_SPREAD = 1.0
LATER_READ_SHARE = 0.6


def _read(source: random.Random, tool: str, median: float) -> ToolUse:
    return ToolUse(tool=tool, seconds=lognormal(source, median, 0.8, (0.05, 60.0)))


def _lot_history(source: random.Random) -> ProgramScript:
    count = geometric(source, 8.0, 5, 14)
    turns = [_first_turn(source), *(_later_turn(source) for _ in range(count - 1))]
    return ProgramScript(
        kind="lot_history",
        tenant=TENANT,
        program="lot-history",
        system_tokens=1200,
        turns=tuple(turns),
        worth=3.0,
        deadline_seconds=60.0,
        conversation=True,
    )


def _first_turn(source: random.Random) -> Turn:
    steps = [
        ModelStep(
            input_tokens=tokens(source, 120, 0.5, 1000),
            answer_tokens=tokens(source, 60, 0.5, 400),
            follow_up=_read(source, "read_lot_log", 1.5),
        )
    ]
    for _ in range(source.randint(1, 3)):
        steps.append(
            ModelStep(
                input_tokens=tokens(source, 2500, 0.5, 8000),
                answer_tokens=tokens(source, 60, 0.5, 400),
                follow_up=_read(source, "read_lot_log", 1.5),
            )
        )
    steps.append(
        ModelStep(
            input_tokens=tokens(source, 2500, 0.5, 8000),
            answer_tokens=tokens(source, 250, 0.6, 1000),
        )
    )
    return Turn(steps=tuple(steps))


def _later_turn(source: random.Random) -> Turn:
    steps: list[ModelStep] = []
    question = tokens(source, 80, 0.6, 1000)
    if source.random() < LATER_READ_SHARE:
        steps.append(
            ModelStep(
                input_tokens=question,
                answer_tokens=tokens(source, 60, 0.5, 400),
                follow_up=_read(source, "read_lot_log", 1.5),
            )
        )
        question = tokens(source, 900, 0.6, 6000)
    steps.append(ModelStep(input_tokens=question, answer_tokens=tokens(source, 220, 0.6, 1000)))
    pause = lognormal(source, PAUSE_MEDIAN_SECONDS, PAUSE_SPREAD, (3.0, 600.0))
    return Turn(steps=tuple(steps), pause_seconds=pause)


def _tally(source: random.Random) -> ProgramScript:
    steps = (
        ModelStep(
            input_tokens=tokens(source, 50, 0.5, 400),
            answer_tokens=tokens(source, 40, 0.5, 200),
            follow_up=_read(source, "read_tally", 0.4),
        ),
        ModelStep(
            input_tokens=tokens(source, 300, 0.6, 3000),
            answer_tokens=tokens(source, 80, 0.5, 400),
        ),
    )
    return ProgramScript(
        kind="tally",
        tenant=TENANT,
        program="picker-tally",
        system_tokens=700,
        turns=(Turn(steps=steps),),
        worth=1.0,
        deadline_seconds=20.0,
    )


def _alert(source: random.Random) -> ProgramScript:
    steps = (
        ModelStep(
            input_tokens=tokens(source, 120, 0.5, 600),
            answer_tokens=tokens(source, 60, 0.5, 300),
            follow_up=_read(source, "record_weigh_in", 0.5),
        ),
        ModelStep(
            input_tokens=tokens(source, 100, 0.5, 600),
            answer_tokens=tokens(source, 60, 0.5, 300),
            follow_up=_read(source, "notify", 0.5),
        ),
        ModelStep(
            input_tokens=tokens(source, 60, 0.5, 300),
            answer_tokens=tokens(source, 40, 0.5, 200),
        ),
    )
    return ProgramScript(
        kind="alert",
        tenant=TENANT,
        program="weigh-in-alert",
        system_tokens=800,
        turns=(Turn(steps=steps),),
        worth=10.0,
        deadline_seconds=20.0,
    )


_MAKERS = (_lot_history, _tally, _alert)
_SHARES = (0.15, 0.60, 0.25)


def make_script(source: random.Random) -> ProgramScript:
    """Draw the script of a program."""
    return source.choices(_MAKERS, _SHARES)[0](source)


def arrivals(seed: int, rate: float) -> tuple[Arrival, ...]:
    """Return the arrivals of a seed at a mean rate, programs a second."""
    times = poisson_times(random.Random(f"harvest/times/{seed}"), rate, 0.0, HORIZON_SECONDS)
    return with_scripts(seed, times, make_script)


WORKLOAD = Workload(
    name="harvest",
    engines=7,
    warmup_seconds=WARMUP_SECONDS,
    horizon_seconds=HORIZON_SECONDS,
    drain_seconds=900.0,
    start_rate=1.0,
    tool_timeout_seconds=30.0,
    arrivals=arrivals,
)
