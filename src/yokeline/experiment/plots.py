"""Plots of an experiment: latency distribution, and wasted cache over load."""

from __future__ import annotations

from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402  (the backend must be chosen before)

from yokeline.experiment.experiment import Outcomes, Plan  # noqa: E402
from yokeline.experiment.report import Report  # noqa: E402

SIZE_INCHES = (8.0, 5.0)
RESOLUTION = 120
WASTE_MEASURES = ("rebuilt_tokens", "wasted_hold", "wasted_engine_seconds")
WASTE_LABELS = (
    "tokens prefilled again, per request",
    "token-seconds held for nothing, per request",
    "wasted engine seconds, per request",
)


def write_plots(folder: Path, plan: Plan, report: Report, outcomes: Outcomes) -> list[Path]:
    """Write all plots of an experiment; return their files."""
    folder.mkdir(parents=True, exist_ok=True)
    files = [_latency_plot(folder, plan, outcomes, load) for load in plan.loads]
    files.append(_waste_plot(folder, plan, report))
    return files


def _latency_plot(folder: Path, plan: Plan, outcomes: Outcomes, load: float) -> Path:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for name in plan.policies:
        latencies = sorted(outcomes.latencies[load, name])
        shares = [(position + 1) / len(latencies) for position in range(len(latencies))]
        axes.plot(latencies, shares, label=name)
    axes.set_xscale("log")
    axes.set_xlabel("program latency, s")
    axes.set_ylabel("share of requests")
    axes.set_title(f"{plan.workload.name}, load {load:g}, {len(plan.seeds)} seeds")
    axes.grid(visible=True, alpha=0.3)
    axes.legend()
    return _save(figure, folder / f"{plan.workload.name}-latency-{load:g}.png")


def _waste_plot(folder: Path, plan: Plan, report: Report) -> Path:
    figure, all_axes = pyplot.subplots(1, len(WASTE_MEASURES), figsize=(16.0, 5.0))
    for axes, measure, label in zip(all_axes, WASTE_MEASURES, WASTE_LABELS, strict=True):
        for name in plan.policies:
            values = [
                entry.measures[measure].value for entry in report.policies if entry.policy == name
            ]
            means = [value.mean for value in values]
            errors = [value.half_width or 0.0 for value in values]
            axes.errorbar(plan.loads, means, yerr=errors, marker="o", capsize=3, label=name)
        axes.set_xlabel("load (1 = the best baseline's saturation)")
        axes.set_ylabel(label)
        axes.set_ylim(bottom=0.0)
        axes.grid(visible=True, alpha=0.3)
    all_axes[0].legend()
    figure.suptitle(f"{plan.workload.name}: wasted cache, {len(plan.seeds)} seeds, 95% intervals")
    return _save(figure, folder / f"{plan.workload.name}-waste.png")


def _save(figure: pyplot.Figure, file: Path) -> Path:
    figure.tight_layout()
    figure.savefig(file, dpi=RESOLUTION)
    pyplot.close(figure)
    return file
