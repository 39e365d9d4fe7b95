"""The report of an experiment: means with confidence intervals, and changes to the baseline."""

from __future__ import annotations

import msgspec

from yokeline.experiment.experiment import Outcomes, Plan, best_baseline
from yokeline.experiment.metrics import KindMetrics, RunMetrics
from yokeline.experiment.policies import BASELINES, PRODUCT, is_ablation
from yokeline.experiment.saturation import Saturation
from yokeline.experiment.statistics import Estimate, estimate, paired_change

MEASURES: tuple[str, ...] = RunMetrics.__struct_fields__
SHOWN = (
    "latency_alone",
    "latency_mean",
    "latency_p50",
    "latency_p95",
    "latency_p99",
    "on_time_worth",
    "rebuilt_tokens",
    "wasted_hold",
    "wasted_engine_seconds",
    "throughput",
    "utilization",
    "queue_seconds",
    "first_token_seconds",
    "decode_seconds",
    "unanswered",
)


UNCHANGED = frozenset({"latency_alone"})
"""Measures of the arrivals, which are the same for all policies."""


class Measure(msgspec.Struct, frozen=True, kw_only=True):
    """A measure of a policy.

    Attributes:
        change: Paired difference to the reference, relative to the reference's mean; None
            without a reference, and where the reference's mean is 0.
        samples: The values by seed.
    """

    value: Estimate
    change: Estimate | None = None
    samples: tuple[float, ...] = ()


class KindReport(msgspec.Struct, frozen=True, kw_only=True):
    """Mean latency (seconds) and share on time of a kind of request, over seeds with any."""

    latency_mean: Estimate
    on_time: Estimate


class PolicyReport(msgspec.Struct, frozen=True, kw_only=True):
    """All measures of a policy at a load.

    Attributes:
        reference: What changes are relative to: the product's policy for its ablations, the
            best baseline at the load for the others; None if it was not run.
    """

    load: float
    policy: str
    reference: str | None
    measures: dict[str, Measure]
    kinds: dict[str, KindReport]


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """The report of an experiment."""

    workload: str
    seeds: tuple[int, ...]
    saturation: Saturation
    policies: tuple[PolicyReport, ...]


def make_report(plan: Plan, saturation: Saturation, outcomes: Outcomes) -> Report:
    """Return the report of the results of a plan."""
    rows = [
        _policy_report(outcomes, load, name, _reference(outcomes, load, name))
        for load in plan.loads
        for name in plan.policies
    ]
    return Report(
        workload=plan.workload.name,
        seeds=plan.seeds,
        saturation=saturation,
        policies=tuple(rows),
    )


def _reference(outcomes: Outcomes, load: float, name: str) -> str | None:
    if is_ablation(name) and (load, PRODUCT) in outcomes.metrics:
        return PRODUCT
    return best_baseline(outcomes, load, BASELINES)


def _policy_report(
    outcomes: Outcomes, load: float, name: str, reference: str | None
) -> PolicyReport:
    runs = outcomes.metrics[load, name]
    others = outcomes.metrics[load, reference] if reference is not None else None
    measures = {
        field: _measure(
            [getattr(run, field) for run in runs],
            [getattr(run, field) for run in others] if others is not None else None,
        )
        for field in MEASURES
    }
    return PolicyReport(
        load=load,
        policy=name,
        reference=reference,
        measures=measures,
        kinds=_kind_reports(outcomes.kinds[load, name]),
    )


def _kind_reports(runs: list[dict[str, KindMetrics]]) -> dict[str, KindReport]:
    found: dict[str, list[KindMetrics]] = {}
    for run in runs:
        for kind, metrics in run.items():
            found.setdefault(kind, []).append(metrics)
    return {
        kind: KindReport(
            latency_mean=estimate([item.latency_mean for item in found[kind]]),
            on_time=estimate([item.on_time for item in found[kind]]),
        )
        for kind in sorted(found)
    }


def _measure(samples: list[float], reference: list[float] | None) -> Measure:
    change = paired_change(samples, reference) if reference is not None else None
    return Measure(value=estimate(samples), change=change, samples=tuple(samples))


def table_rows(report: Report) -> list[list[str]]:
    """Return the rows of the table for people: load, policy and the measures shown."""
    return [
        [
            f"{entry.load:g}",
            entry.policy,
            *(_cell(entry, field) for field in SHOWN),
        ]
        for entry in report.policies
    ]


def kind_rows(report: Report) -> list[list[str]]:
    """Return the rows of the table by kind of request: load, policy, kind, latency, on time."""
    return [
        [
            f"{entry.load:g}",
            entry.policy,
            kind,
            _with_interval(found.latency_mean, ""),
            _with_interval(found.on_time, ""),
        ]
        for entry in report.policies
        for kind, found in entry.kinds.items()
    ]


def _cell(entry: PolicyReport, field: str) -> str:
    measure = entry.measures[field]
    text = _with_interval(measure.value, "")
    unchanged = entry.policy == entry.reference or field in UNCHANGED
    if unchanged or measure.change is None:
        return text
    percent = Estimate(
        mean=measure.change.mean * 100,
        half_width=measure.change.half_width * 100 if measure.change.half_width else None,
    )
    return f"{text} ({_with_interval(percent, '%', signed=True)})"


def _with_interval(value: Estimate, unit: str, *, signed: bool = False) -> str:
    shown = f"{value.mean:+.3g}" if signed else _number(value.mean)
    if value.half_width is None:
        return f"{shown}{unit}"
    return f"{shown}±{_number(value.half_width)}{unit}"


def _number(value: float) -> str:
    return f"{value:.0f}" if abs(value) >= 100 else f"{value:.3g}"
