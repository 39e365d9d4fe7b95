"""Stress: Dallim's mix with programs that loop and tools that hang. All shares are assumptions.

- 5% of the programs loop: they go on with small steps until the executor ends them at their
  limit of 40 model calls. Their requests count as late.
- In 5% of the other programs one tool call hangs until its time-out (30 s).
"""

from __future__ import annotations

import random

import msgspec

from yokeline.experiment.script import Arrival, ModelStep, ProgramScript, ToolUse, Turn
from yokeline.experiment.workloads import dallim
from yokeline.experiment.workloads.arrivals import with_scripts
from yokeline.experiment.workloads.workload import Workload

LOOP_SHARE = 0.05
HANG_SHARE = 0.05
LOOP_CALL_LIMIT = 40
HANG_SECONDS = 3600.0


def _loop(source: random.Random) -> ProgramScript:
    step = ModelStep(
        input_tokens=200,
        answer_tokens=source.randint(40, 120),
        follow_up=ToolUse(tool="read_roster", seconds=0.5),
    )
    return ProgramScript(
        kind="loop",
        tenant=dallim.TENANT,
        program="entry-correction",
        system_tokens=1000,
        turns=(Turn(steps=(step,) * (LOOP_CALL_LIMIT + 1)),),
        worth=1.0,
        deadline_seconds=90.0,
        call_limit=LOOP_CALL_LIMIT,
    )


def _with_hang(source: random.Random, script: ProgramScript) -> ProgramScript:
    turn = script.turns[0]
    places = [place for place, step in enumerate(turn.steps) if isinstance(step.follow_up, ToolUse)]
    if not places:
        return script
    place = source.choice(places)
    steps = list(turn.steps)
    follow_up = steps[place].follow_up
    assert isinstance(follow_up, ToolUse)
    hang = ToolUse(tool=follow_up.tool, seconds=HANG_SECONDS)
    steps[place] = msgspec.structs.replace(steps[place], follow_up=hang)
    changed = msgspec.structs.replace(turn, steps=tuple(steps))
    return msgspec.structs.replace(script, turns=(changed, *script.turns[1:]))


def make_script(source: random.Random) -> ProgramScript:
    """Draw the script of a request."""
    if source.random() < LOOP_SHARE:
        return _loop(source)
    hangs = source.random() < HANG_SHARE
    script = dallim.make_script(source)
    return _with_hang(source, script) if hangs else script


def arrivals(seed: int, rate: float) -> tuple[Arrival, ...]:
    """Return Dallim's arrival times with this mix of scripts."""
    times = [arrival.at for arrival in dallim.arrivals(seed, rate)]
    return with_scripts(seed, times, make_script)


WORKLOAD = msgspec.structs.replace(dallim.WORKLOAD, name="stress", arrivals=arrivals)
assert isinstance(WORKLOAD, Workload)
