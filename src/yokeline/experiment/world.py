"""One run of an experiment: a policy, a workload's arrivals and the engines on a virtual clock."""

from __future__ import annotations

from collections.abc import Generator, Sequence

import msgspec
import simpy

from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.experiment.cache_actions import CacheActions
from yokeline.experiment.dispatcher import Dispatcher
from yokeline.experiment.engines import AGENT_ENGINE
from yokeline.experiment.fleet import Fleet
from yokeline.experiment.metrics import (
    CacheTotals,
    KindMetrics,
    RequestRecord,
    RunMetrics,
    Window,
    latencies_of,
    measure,
    measure_kinds,
    measured_records,
)
from yokeline.experiment.program_run import ProgramRuns
from yokeline.experiment.script import Arrival
from yokeline.experiment.workloads.workload import Workload
from yokeline.scheduling.interface import SchedulingPolicy
from yokeline.settings import RunsSection, SchedulingSection


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """What one run gave: its measures, and the latencies behind them (seconds)."""

    metrics: RunMetrics
    kinds: dict[str, KindMetrics]
    latencies: tuple[float, ...]
    records: tuple[RequestRecord, ...] = ()


class World:
    """The parts of one run, put together."""

    def __init__(
        self,
        workload: Workload,
        policy: SchedulingPolicy,
        arrivals: Sequence[Arrival],
        seed: int,
        *,
        clairvoyant: bool = False,
        parameters: EngineParameters = AGENT_ENGINE,
    ) -> None:
        """Prepare a run; a clairvoyant policy is told what the scripts say."""
        self._workload = workload
        self._parameters = parameters
        self._environment = simpy.Environment()
        scheduling = SchedulingSection()
        self._load_period_seconds = scheduling.load_period_seconds
        self._fleet = Fleet(
            self._environment, parameters, workload.engines, seed, self._take_output
        )
        self._actions = CacheActions(
            self._environment, policy, self._fleet, scheduling.hold_max_seconds
        )
        self._dispatcher = Dispatcher(self._environment, policy, self._fleet, self._actions)
        self._runs = ProgramRuns(
            self._environment,
            self._dispatcher,
            self._actions,
            parameters=parameters,
            tool_timeout_seconds=workload.tool_timeout_seconds,
            horizon_seconds=workload.horizon_seconds,
            idle_seconds=RunsSection().idle_seconds,
            clairvoyant=clairvoyant,
        )
        self._take_output_to = self._dispatcher.output
        self._environment.process(self._report_load())
        self._programs = [
            self._environment.process(self._runs.program(arrival)) for arrival in arrivals
        ]

    def run(self) -> RunResult:
        """Run to the end and measure."""
        workload = self._workload
        before = CacheTotals()
        if workload.warmup_seconds:
            self._environment.run(until=workload.warmup_seconds)
            before = self._fleet.cache_totals()
        self._environment.run(until=workload.horizon_seconds)
        cache = self._fleet.cache_totals().since(before)
        drained = self._environment.all_of(self._programs)
        limit = self._environment.timeout(workload.drain_seconds)
        self._environment.run(until=drained | limit)
        return self._result(cache)

    def cache_totals(self) -> CacheTotals:
        """Return what the engines did so far."""
        return self._fleet.cache_totals()

    def _result(self, cache: CacheTotals) -> RunResult:
        workload = self._workload
        window = Window(
            start=workload.warmup_seconds,
            end=workload.horizon_seconds,
            closed=self._environment.now,
            engines=workload.engines,
            prefill_rate=self._parameters.prefill_tokens_per_second,
            cache_tokens=self._parameters.cache_tokens,
        )
        records = tuple(self._runs.records)
        return RunResult(
            metrics=measure(records, cache, window, self._dispatcher.seconds),
            kinds=measure_kinds(records, window),
            latencies=tuple(latencies_of(measured_records(records, window), window.closed)),
            records=records,
        )

    def _take_output(self, engine: str, output: object) -> None:
        self._take_output_to(engine, output)  # type: ignore[arg-type]

    def _report_load(self) -> Generator[simpy.Event, None, None]:
        while True:
            self._fleet.read_load()
            self._dispatcher.pump_soon()
            yield self._environment.timeout(self._load_period_seconds)
