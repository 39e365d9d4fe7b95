"""Runs experiments for the command line: progress on standard error, report on standard output."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec
from returns.result import Failure
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from yokeline.commands.output import Output
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.settings import EngineSettings, StandInKind, parse_settings
from yokeline.errors import EXIT_FAILURE, EXIT_OK, ErrorKind, YokelineError, YokelineException
from yokeline.experiment import policies as known_policies
from yokeline.experiment.engines import AGENT_ENGINE, for_experiments
from yokeline.experiment.experiment import Outcomes, Plan, run_plan
from yokeline.experiment.live import LivePlan, run_live
from yokeline.experiment.report import SHOWN, Report, kind_rows, make_report, table_rows
from yokeline.experiment.saturation import Saturation, find_saturation
from yokeline.experiment.workloads import WORKLOADS
from yokeline.experiment.workloads.workload import Workload

SEPARATOR = ","
DEFAULT_POLICIES = (
    *known_policies.BASELINES,
    known_policies.PRODUCT,
    known_policies.CLAIRVOYANT,
)
GIVEN = "given"
KIND_COLUMNS = ("load", "policy", "kind", "latency_mean", "on_time")
TABLE_WIDTH = 400
"""Characters; the table is not folded, so that it can be pasted and searched."""


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """What the command line asks for; see the command's arguments."""

    workload: str
    policies: str
    seeds: int
    first_seed: int
    load: str
    saturation: float
    ablate: bool
    as_json: bool
    plot: str
    engine: str


def run_simulated(choice: Choice) -> int:
    """Measure policies on a virtual clock; return the exit code.

    Raises:
        YokelineException: A value cannot be used.
    """
    workload = _checked_workload(choice.workload)
    loads = _loads(choice.load)
    names = _names(choice.policies, choice.ablate)
    if choice.seeds < 1:
        raise _wrong(f"--seeds is {choice.seeds}", "give at least 1")
    console = Console(stderr=True)
    parameters = _parameters(choice.engine)
    found = _saturation(workload, parameters, choice.saturation, console)
    plan = Plan(
        workload=workload,
        policies=names,
        seeds=tuple(range(choice.first_seed, choice.first_seed + choice.seeds)),
        loads=loads,
        saturation_rate=found.rate,
        parameters=parameters,
    )
    outcomes = _run(plan, console)
    report = make_report(plan, found, outcomes)
    _show(report, as_json=choice.as_json)
    if choice.plot:
        _plot(Path(choice.plot), plan, report, outcomes, console)
    return EXIT_OK


def run_against(plan: LivePlan, choice: Choice) -> int:
    """Send the workload's first requests to a deployment; return the exit code.

    Raises:
        YokelineException: A value cannot be used.
    """
    workload = _checked_workload(choice.workload)
    rate = _loads(choice.load)[0] * (choice.saturation or 1.0)
    if not plan.program:
        raise _wrong("--live needs a program", "give its name with --program")
    if plan.time_scale <= 0:
        raise _wrong(f"--time-scale is {plan.time_scale}", "give a number above 0")
    summary = run_live(plan, workload.arrivals(choice.first_seed, rate))
    Output(as_json=choice.as_json).value(msgspec.to_builtins(summary))
    return EXIT_OK if summary.answered else EXIT_FAILURE


def _plot(folder: Path, plan: Plan, report: Report, outcomes: Outcomes, console: Console) -> None:
    # Imported here: it takes long, and few ask for plots.
    from yokeline.experiment.plots import write_plots

    for file in write_plots(folder, plan, report, outcomes):
        console.print(f"written: {file}")


def _checked_workload(name: str) -> Workload:
    if name not in WORKLOADS:
        raise _wrong(f"there is no workload {name!r}", f"use one of {', '.join(WORKLOADS)}")
    return WORKLOADS[name]


def _names(text: str, ablate: bool) -> tuple[str, ...]:
    names = [name.strip() for name in text.split(SEPARATOR) if name.strip()]
    names = names or list(DEFAULT_POLICIES)
    if ablate:
        names += known_policies.ablation_names()
    for name in names:
        known_policies.make(name)
    return tuple(dict.fromkeys(names))


def _loads(text: str) -> tuple[float, ...]:
    try:
        loads = tuple(float(part) for part in text.split(SEPARATOR))
    except ValueError:
        loads = ()
    if not loads or min(loads) <= 0:
        raise _wrong(f"{text!r} is no list of loads", "give numbers above 0, such as 0.6,0.85")
    return loads


def _parameters(file: str) -> EngineParameters:
    if not file:
        return AGENT_ENGINE
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise _wrong(f"{file} cannot be read: {error}", "check its name") from error
    parsed = parse_settings(StandInKind.ENGINE, text)
    if isinstance(parsed, Failure):
        raise YokelineException(parsed.failure())
    settings = parsed.unwrap()
    assert isinstance(settings, EngineSettings)
    return for_experiments(settings.parameters)


def _saturation(
    workload: Workload, parameters: EngineParameters, given: float, console: Console
) -> Saturation:
    if given > 0:
        return Saturation(rate=given, baseline=GIVEN)
    return find_saturation(
        workload,
        progress=lambda line: console.print(line, highlight=False),
        parameters=parameters,
    )


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
        "baseline (of ablations: to the product's policy)"
    )
    _print_table(("load", "policy", *SHOWN), table_rows(report))
    _print_table(KIND_COLUMNS, kind_rows(report))


def _print_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    table = Table(*columns, box=None, pad_edge=False, header_style="bold")
    for row in rows:
        table.add_row(*row)
    Console(width=TABLE_WIDTH).print(table)


def _wrong(message: str, remedy: str) -> YokelineException:
    return YokelineException(
        YokelineError(kind=ErrorKind.BAD_SETTING, message=message, remedy=remedy)
    )
