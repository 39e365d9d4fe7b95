"""The command that measures scheduling policies."""

from __future__ import annotations

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from yokeline.errors import ErrorKind, YokelineError, YokelineException
from yokeline.experiment import policies
from yokeline.experiment.experiment import Outcomes, Plan, run_plan
from yokeline.experiment.report import SHOWN, Report, make_report, table_rows
from yokeline.experiment.saturation import Saturation, find_saturation
from yokeline.experiment.workloads import WORKLOADS
from yokeline.experiment.workloads.workload import Workload

SEPARATOR = ","
DEFAULT_POLICIES = (*policies.BASELINES, policies.PRODUCT, policies.CLAIRVOYANT)
GIVEN = "given"
TABLE_WIDTH = 320
"""Characters; the table is not folded, so that it can be pasted and searched."""


def experiment(
    *,
    workload: str = "dallim",
    policies: str = SEPARATOR.join(DEFAULT_POLICIES),  # noqa: A002
    seeds: int = 20,
    first_seed: int = 1,
    load: str = "0.85",
    saturation: float = 0.0,
    ablate: bool = False,
    json: bool = False,
    plot: str = "",
) -> int:
    """Measure scheduling policies on a workload, on a virtual clock.

    Every policy serves the same arrivals. Changes are given against the best baseline, the
    one with the least mean latency at the load.

    Args:
        workload: dallim, harvest or stress; dallim if left out.
        policies: Names with commas between them; all baselines, the product's policy and the
            clairvoyant reference if left out.
        seeds: Number of seeds; 20 if left out.
        first_seed: The first seed; the others follow it. 1 if left out.
        load: Multiples of the best baseline's saturation, with commas between them; 0.85 if
            left out.
        saturation: Programs a second that count as load 1, from an earlier report; searched
            if left out.
        ablate: Measure also the product's policy with each mechanism switched off alone.
        json: Print the report as JSON.
        plot: Folder for plots.
    """
    console = Console(stderr=True)
    plan_of = _checked_workload(workload)
    names = _names(policies, ablate)
    found = _saturation(plan_of, saturation, console)
    plan = Plan(
        workload=plan_of,
        policies=names,
        seeds=tuple(range(first_seed, first_seed + seeds)),
        loads=_loads(load),
        saturation_rate=found.rate,
    )
    outcomes = _run(plan, console)
    report = make_report(plan, found, outcomes)
    _show(report, as_json=json)
    return 0


def _checked_workload(name: str) -> Workload:
    if name not in WORKLOADS:
        raise _wrong(f"there is no workload {name!r}", f"use one of {', '.join(WORKLOADS)}")
    return WORKLOADS[name]


def _names(text: str, ablate: bool) -> tuple[str, ...]:
    names = [name.strip() for name in text.split(SEPARATOR) if name.strip()]
    if ablate:
        names += policies.ablation_names()
    for name in names:
        policies.make(name)
    return tuple(dict.fromkeys(names))


def _loads(text: str) -> tuple[float, ...]:
    try:
        loads = tuple(float(part) for part in text.split(SEPARATOR))
    except ValueError:
        loads = ()
    if not loads or min(loads) <= 0:
        raise _wrong(f"{text!r} is no list of loads", "give numbers above 0, such as 0.6,0.85")
    return loads


def _saturation(workload: Workload, given: float, console: Console) -> Saturation:
    if given > 0:
        return Saturation(rate=given, baseline=GIVEN)
    with console.status("searching the saturation"):
        return find_saturation(workload, progress=console.log)


def _run(plan: Plan, console: Console) -> Outcomes:
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task("runs", total=plan.runs)

        def finished(line: str) -> None:
            progress.update(task, advance=1, description=line)

        return run_plan(plan, finished)


def _show(report: Report, *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode())
        return
    found = report.saturation
    print(
        f"workload {report.workload}, seeds {report.seeds[0]} to {report.seeds[-1]}, load 1 = "
        f"{found.rate:.3f} programs/s ({found.baseline}); seconds, tokens and token-seconds per "
        "request; ± is the 95% confidence interval, in brackets the paired change to the best "
        "baseline"
    )
    table = Table("load", "policy", *SHOWN, box=None, pad_edge=False, header_style="bold")
    for row in table_rows(report):
        table.add_row(*row)
    Console(width=TABLE_WIDTH).print(table)


def _wrong(message: str, remedy: str) -> YokelineException:
    return YokelineException(
        YokelineError(kind=ErrorKind.BAD_SETTING, message=message, remedy=remedy)
    )
