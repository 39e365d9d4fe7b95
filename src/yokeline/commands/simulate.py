"""The command that proves what must always hold, under failure, on a virtual clock."""

from __future__ import annotations

import sys

from yokeline.errors import EXIT_FAILURE, EXIT_OK, ErrorKind, YokelineError, YokelineException


def simulate(
    *,
    world: str = "dallim",
    first_seed: int = 1,
    count: int = 10,
    faults: str = "",
    json: bool = False,
) -> int:
    """Run whole deployments on a virtual clock under seeded faults, and check them from outside.

    Every seed runs the production code of all nodes with stand-ins, callers and operators,
    injects faults, heals, and checks what must always hold by what callers, back ends and the
    key-value service saw. Exit code 0: no violation; 1: a violation, with the seed, its
    faults and the command that replays it; 2: wrong usage.

    Args:
        world: dallim or harvest; dallim if left out.
        first_seed: The first seed; the others follow it. 1 if left out.
        count: Number of seeds; 10 if left out.
        faults: Kinds of faults with commas between them, or none; all if left out.
        json: Print the report as JSON.
    """
    # Imported here: the simulation's libraries would slow the start of every other command.
    from yokeline.simulation import faults as fault_kinds
    from yokeline.simulation import runner
    from yokeline.simulation.report import SeedReport
    from yokeline.simulation.worlds import WORLDS

    if world not in WORLDS:
        raise YokelineException(_usage_error(f"no world {world!r}", f"use {', '.join(WORLDS)}"))
    if count < 1:
        raise YokelineException(_usage_error("count is below 1", "ask for at least one seed"))
    try:
        kinds = fault_kinds.parse_faults(faults)
    except ValueError as error:
        raise YokelineException(_usage_error(str(error), "correct --faults")) from error

    def show_progress(report: SeedReport) -> None:
        line = f"seed {report.seed}: {report.violations} violations, trace {report.digest}"
        print(line, file=sys.stderr, flush=True)

    report = runner.simulate(world, first_seed, count, kinds, progress=show_progress)
    print(report.to_json().decode() if json else report.to_text())
    return EXIT_FAILURE if report.violations else EXIT_OK


def _usage_error(message: str, remedy: str) -> YokelineError:
    return YokelineError(kind=ErrorKind.BAD_SETTING, message=message, remedy=remedy)
