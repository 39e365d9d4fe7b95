"""An experiment: several policies on the same arrivals, over seeds and loads."""

from __future__ import annotations

import gc
from collections.abc import Callable, Iterator, Sequence

import msgspec

from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.experiment import policies
from yokeline.experiment.engines import AGENT_ENGINE
from yokeline.experiment.metrics import KindMetrics, RunMetrics
from yokeline.experiment.workloads.workload import Workload
from yokeline.experiment.world import RunResult, World

Cell = tuple[float, str]
"""Load and policy."""


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """What to run.

    Attributes:
        loads: Multiples of the saturation rate.
        saturation_rate: Programs a second that count as load 1.0.
    """

    workload: Workload
    policies: tuple[str, ...]
    seeds: tuple[int, ...]
    loads: tuple[float, ...]
    saturation_rate: float
    parameters: EngineParameters = AGENT_ENGINE

    @property
    def runs(self) -> int:
        """Return the number of runs."""
        return len(self.policies) * len(self.seeds) * len(self.loads)


class Outcomes:
    """The results of an experiment, by load and policy, in the order of the seeds."""

    def __init__(self) -> None:
        """Create empty results."""
        self.metrics: dict[Cell, list[RunMetrics]] = {}
        self.kinds: dict[Cell, list[dict[str, KindMetrics]]] = {}
        self.latencies: dict[Cell, list[float]] = {}

    def add(self, load: float, policy: str, result: RunResult) -> None:
        """Add a run's result."""
        self.metrics.setdefault((load, policy), []).append(result.metrics)
        self.kinds.setdefault((load, policy), []).append(result.kinds)
        self.latencies.setdefault((load, policy), []).extend(result.latencies)


def run_plan(plan: Plan, finished: Callable[[str], None] = lambda _line: None) -> Outcomes:
    """Run a plan; ``finished`` is told of each run."""
    outcomes = Outcomes()
    for load, seed in _points(plan):
        arrivals = plan.workload.arrivals(seed, load * plan.saturation_rate)
        for name in plan.policies:
            clairvoyant = policies.is_clairvoyant(name)
            policy = policies.make(name)
            world = World(
                plan.workload,
                policy,
                arrivals,
                seed,
                clairvoyant=clairvoyant,
                parameters=plan.parameters,
            )
            outcomes.add(load, name, _run_uncollected(world))
            finished(f"load {load:g}, seed {seed}, {name}")
    return outcomes


def _run_uncollected(world: World) -> RunResult:
    """Run without the collector of reference cycles, which costs a tenth of the time."""
    gc.disable()
    try:
        return world.run()
    finally:
        gc.enable()


def _points(plan: Plan) -> Iterator[tuple[float, int]]:
    for load in plan.loads:
        for seed in plan.seeds:
            yield load, seed


def best_baseline(outcomes: Outcomes, load: float, names: Sequence[str]) -> str | None:
    """Return the baseline with the least mean latency at a load, None if none was run."""
    found = [name for name in names if (load, name) in outcomes.metrics]
    return min(found, key=lambda name: _mean_latency(outcomes.metrics[load, name]), default=None)


def _mean_latency(metrics: Sequence[RunMetrics]) -> float:
    return sum(run.latency_mean for run in metrics) / len(metrics)
