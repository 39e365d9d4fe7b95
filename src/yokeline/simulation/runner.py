"""Runs seeds of a world: deployment, workload, faults, settling, audit, checks."""

from __future__ import annotations

import functools
from collections import Counter
from collections.abc import Callable

from yokeline.effects import Service
from yokeline.server.node import Node
from yokeline.settings import Settings
from yokeline.simulation.auditor import Auditor
from yokeline.simulation.callers import Caller
from yokeline.simulation.checks.answers import (
    check_answers,
    check_at_most_once,
    check_refusals,
)
from yokeline.simulation.checks.calls import check_budget, check_order
from yokeline.simulation.checks.configuration import check_configuration
from yokeline.simulation.checks.history import check_history
from yokeline.simulation.checks.platform import (
    check_engine_memory,
    check_leaving,
    check_planned_stops,
)
from yokeline.simulation.checks.result import CheckResult
from yokeline.simulation.deployment import Deployment, NodeFactory
from yokeline.simulation.faults import (
    DEFAULT_FAULTS,
    FaultEvent,
    FaultKind,
    make_schedule,
)
from yokeline.simulation.host import ProcessStart
from yokeline.simulation.injector import Injector
from yokeline.simulation.kernel import Simulation
from yokeline.simulation.objects import caller_token
from yokeline.simulation.observer import BackendObserver
from yokeline.simulation.operators import Operator
from yokeline.simulation.port import ClientPort, Steps
from yokeline.simulation.records import AppliedRequest, Books
from yokeline.simulation.recovery import RecoveryMeter, RecoveryTimes
from yokeline.simulation.report import SeedReport, SimulationReport, summarize
from yokeline.simulation.workload import DEFAULT_PLAN, Plan, requests_of
from yokeline.simulation.worlds import WORLDS, World

LOAD_LIMIT_SECONDS = 90.0
WARM_UP_SECONDS = 3.0
AUDIT_LIMIT_SECONDS = 60.0
OPERATORS_PER_TENANT = 2


CHECKS: tuple[Callable[[Books], CheckResult], ...] = (
    check_order,
    check_history,
    check_budget,
    check_engine_memory,
    check_answers,
    check_refusals,
    check_at_most_once,
    check_leaving,
    check_planned_stops,
    check_configuration,
)


class SeedRun:
    """One seed of a world.

    Attributes:
        simulation: The virtual world; its trace is kept if asked for.
        books: What was seen from outside.
        schedule: The faults.
    """

    def __init__(
        self,
        world: World,
        seed: int,
        kinds: tuple[FaultKind, ...] = DEFAULT_FAULTS,
        *,
        plan: Plan = DEFAULT_PLAN,
        node_factory: NodeFactory | None = None,
        keep_trace: bool = False,
    ) -> None:
        """Prepare a seed; nothing happens before :meth:`run`."""
        self.world = world
        self.seed = seed
        self.kinds = kinds
        self.plan = plan
        self.recovery = RecoveryTimes()
        self.simulation = Simulation(seed, world.latencies, keep_trace=keep_trace)
        self.books = Books()
        self.deployment = Deployment(self.simulation, world, node_factory or make_node)
        source = self.simulation.new_source("schedule")
        self.schedule: list[FaultEvent] = make_schedule(
            kinds, plan.faults_start, plan.faults_end, source
        )
        self._environment = self.simulation.schedule.environment
        self._source = self.simulation.new_source("workload")
        observer = BackendObserver(self.simulation.schedule, self.books)
        for host in self.deployment.backends():
            host.observers.append(observer)

    def run(self) -> SeedReport:
        """Run the seed to its end and check what was seen."""
        self.deployment.start()
        self._load_configuration()
        start = self.simulation.schedule.now + WARM_UP_SECONDS
        self._start_workload(start)
        self._start_operators(start)
        Injector(self.deployment, self.books, self.simulation.new_source("injector")).arm(
            self.schedule, start
        )
        meter = RecoveryMeter(self.simulation.schedule, self.world, self.deployment.nodes)
        settled = start + self.plan.settled_at
        self._environment.process(meter.sample_until(settled))
        self.simulation.schedule.run_until(settled)
        self.recovery = meter.times
        self._audit()
        self._collect_applied()
        self.books.ended_at = self.simulation.schedule.now
        return self._report()

    # ------------------------------------------------------------ phases

    def _load_configuration(self) -> None:
        operator = Operator(
            ClientPort(self.simulation, "loader"),
            self.deployment.public_nodes(),
            self.books,
            self.simulation.new_source("loader"),
        )
        process = self._environment.process(operator.load(self.deployment.objects()))
        limit = self._environment.timeout(LOAD_LIMIT_SECONDS)
        self._environment.run(until=process | limit)
        if process.is_alive:
            raise RuntimeError("the configuration could not be loaded")

    def _start_workload(self, start: float) -> None:
        for tenant in self.world.tenants:
            port = ClientPort(self.simulation, f"callers-{tenant}")
            for number, request in enumerate(requests_of(self.plan), start=1):
                caller = self._caller(port, tenant, number)
                time = start + self._source.uniform(0, self.plan.workload_seconds)
                self._start_later(functools.partial(request, caller), time)

    def _caller(self, port: ClientPort, tenant: str, number: int) -> Caller:
        return Caller(
            port,
            tenant=tenant,
            number=number,
            token=caller_token(tenant),
            nodes=self.deployment.public_nodes(),
            books=self.books,
            source=self.simulation.new_source(f"caller/{tenant}/{number}"),
        )

    def _start_later(self, make: Callable[[], Steps], time: float) -> None:
        def begin() -> None:
            self._environment.process(make())

        self.simulation.schedule.after(time - self.simulation.schedule.now, begin)

    def _start_operators(self, start: float) -> None:
        nodes = self.deployment.public_nodes()
        end = start + self.plan.settled_at - 1.0
        for tenant in self.world.tenants:
            for number in range(OPERATORS_PER_TENANT):
                name = f"operator-{tenant}-{number}"
                port = ClientPort(self.simulation, name)
                operator = Operator(port, nodes, self.books, self.simulation.new_source(name))
                self._environment.process(operator.race(tenant, end))
        watcher_port = ClientPort(self.simulation, "configuration-watcher")
        watcher = Operator(
            watcher_port, nodes, self.books, self.simulation.new_source("configuration-watcher")
        )
        for node in nodes:
            for tenant in self.world.tenants:
                self._environment.process(watcher.watch_node(node, tenant, end))

    def _audit(self) -> None:
        auditor = Auditor(
            ClientPort(self.simulation, "auditor"),
            self.deployment.public_nodes(),
            self.books,
            self.simulation.new_source("auditor"),
        )
        engines = {host.name: host.http for host in self.deployment.engines if host.http}
        runs = self._environment.process(auditor.audit_runs(self.world.tenants))
        memory = self._environment.process(auditor.audit_engines(engines))
        limit = self._environment.timeout(AUDIT_LIMIT_SECONDS)
        self._environment.run(until=(runs & memory) | limit)

    def _collect_applied(self) -> None:
        for name, service in sorted(self.deployment.request_services.items()):
            for request in service.books.applied():
                assert request.applied_at is not None
                self.books.applied.append(
                    AppliedRequest(
                        host=name,
                        key=request.key,
                        operation=request.operation,
                        body=request.body,
                        applied_at=request.applied_at,
                    )
                )

    def _report(self) -> SeedReport:
        faults = Counter(fault.kind for fault in self.books.faults)
        outcomes = Counter(
            f"{record.kind.value} {turn.execution or 'silent'}"
            for record in self.books.runs
            for turn in record.turns
        )
        return SeedReport(
            world=self.world.name,
            seed=self.seed,
            digest=self.simulation.trace.digest(),
            records=self.simulation.trace.count,
            virtual_seconds=self.simulation.schedule.now,
            schedule=tuple(event.line() for event in self.schedule),
            faults=dict(sorted(faults.items())),
            outcomes=dict(sorted(outcomes.items())),
            recovery=self.recovery,
            results=tuple(check(self.books) for check in CHECKS),
            replay=self._replay(),
        )

    def _replay(self) -> str:
        kinds = "" if self.kinds == DEFAULT_FAULTS else _kinds_flag(self.kinds)
        return (
            f"yokeline simulate --world {self.world.name} --first-seed {self.seed} --count 1{kinds}"
        )


def run_seed(world: World, seed: int, kinds: tuple[FaultKind, ...] = DEFAULT_FAULTS) -> SeedReport:
    """Run one seed and return its report."""
    return SeedRun(world, seed, kinds).run()


def simulate(
    world: str,
    first_seed: int,
    count: int,
    kinds: tuple[FaultKind, ...] = DEFAULT_FAULTS,
    *,
    progress: Callable[[SeedReport], None] | None = None,
) -> SimulationReport:
    """Run some seeds of a world, one after the other.

    Args:
        world: Name of a world in ``worlds.WORLDS``.
        first_seed: The first seed; the others follow it.
        count: Number of seeds.
        kinds: Faults to draw from (``faults.parse_faults``); none for a quiet run.
        progress: Called after each seed.

    Raises:
        KeyError: There is no such world.
    """
    reports = []
    for seed in range(first_seed, first_seed + count):
        report = run_seed(WORLDS[world], seed, kinds)
        reports.append(report)
        if progress is not None:
            progress(report)
    return summarize(world, first_seed, reports)


def make_node(settings: Settings, start: ProcessStart) -> Service:
    """Return a production node for a process start."""
    return Node(
        settings,
        source=start.source,
        now=start.now,
        wall_offset=start.wall_offset,
        files=start.files,
    )


def _kinds_flag(kinds: tuple[FaultKind, ...]) -> str:
    names = ",".join(kind.value for kind in kinds) or "none"
    return f" --faults {names}"
