"""A small world for tests, and nodes whose mechanisms are broken on purpose."""

from __future__ import annotations

import msgspec

from yokeline.effects import Effect, Event, Service
from yokeline.settings import Settings
from yokeline.simulation.checks.result import Point
from yokeline.simulation.faults import FaultKind
from yokeline.simulation.host import ProcessStart
from yokeline.simulation.report import SeedReport
from yokeline.simulation.runner import SeedRun, make_node
from yokeline.simulation.workload import Plan
from yokeline.simulation.worlds import DALLIM

SMALL_WORLD = msgspec.structs.replace(
    DALLIM, name="small", nodes=3, replicas=3, engines=2, apps=2, shards=2
)
SMALL_PLAN = Plan(
    workload_seconds=8.0,
    faults_start=1.0,
    faults_end=9.0,
    settled_at=40.0,
    postings=5,
    alerts=3,
    lookups=2,
    agents=4,
    watched=2,
    cancelled=1,
    talks=2,
    loops=1,
)


class TamperedNode:
    """A node with a hand between it and the world; it passes everything on as it is."""

    def __init__(self, settings: Settings, start: ProcessStart) -> None:
        self.node: Service = make_node(settings, start)
        self.name = settings.node.name
        self.now = start.now

    @property
    def replica(self) -> str:
        return self.node.replica  # type: ignore[attr-defined,no-any-return]

    def handle(self, event: Event, now: float) -> list[Effect]:
        self.now = now
        changed = self.incoming(event)
        if changed is None:
            return []
        effects: list[Effect] = []
        for effect in self.node.handle(changed, now):
            effects.extend(self.outgoing(effect))
        return effects

    def next_deadline(self) -> float | None:
        return self.node.next_deadline()

    def incoming(self, event: Event) -> Event | None:
        return event

    def outgoing(self, effect: Effect) -> list[Effect]:
        return [effect]


def run_small(
    seed: int = 1, kinds: tuple[FaultKind, ...] = (), factory: object = make_node
) -> SeedReport:
    run = SeedRun(SMALL_WORLD, seed, kinds, plan=SMALL_PLAN, node_factory=factory)  # type: ignore[arg-type]
    return run.run()


def violations(report: SeedReport, point: Point) -> list[str]:
    return [
        violation
        for result in report.results
        if result.point is point
        for violation in result.violations
    ]
