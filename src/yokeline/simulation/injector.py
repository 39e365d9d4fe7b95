"""Carries a fault schedule out, and heals every fault."""

from __future__ import annotations

import random
from collections.abc import Callable

from yokeline.effects import Tick
from yokeline.emulator.etcd.limits import StoreFaults
from yokeline.emulator.request_books import FaultKind as RequestFault
from yokeline.emulator.settings import MachineState
from yokeline.emulator.store_service import StoreService
from yokeline.simulation.deployment import MACHINE_LIST_LAG_SECONDS, Deployment
from yokeline.simulation.faults import FaultEvent, FaultKind
from yokeline.simulation.host import Host
from yokeline.simulation.network import Cut, Disturbance
from yokeline.simulation.port import Steps
from yokeline.simulation.records import Books, FaultRecord, Leaving, PlannedStop
from yokeline.simulation.schedule import Action

LOSS = Disturbance(loss=0.08, duplication=0.05, reordering=0.2)
STORE_SLOW = StoreFaults(slow_seconds=2.0)
STORE_DOWN = StoreFaults(down=True)
STORE_LOSES_ANSWERS = StoreFaults(lose_answers=1000)
SECOND_CRASH_SECONDS = (0.0, 2.0)
STOP_POLL_SECONDS = 0.25
STOP_PATIENCE_SECONDS = 60.0
RESTART_SECONDS = 1.0
PLANNED_REQUEST_FAULTS = 6
REQUEST_FAULTS = (
    RequestFault.FAIL_BEFORE,
    RequestFault.FAIL_AFTER,
    RequestFault.LOSE_ANSWER,
    RequestFault.HANG_BEFORE,
    RequestFault.HANG_AFTER,
)

Heal = Callable[[], None]


class Injector:
    """Injects the faults of a schedule into a deployment."""

    def __init__(self, deployment: Deployment, books: Books, source: random.Random) -> None:
        """Work on ``deployment`` and note everything in ``books``."""
        self._deployment = deployment
        self._simulation = deployment.simulation
        self._schedule = deployment.simulation.schedule
        self._books = books
        self._source = source
        self._actions: dict[FaultKind, Callable[[FaultEvent], Heal]] = {
            FaultKind.CRASH: self._crash_node,
            FaultKind.DOUBLE_CRASH: self._crash_two_nodes,
            FaultKind.FREEZE: self._freeze_node,
            FaultKind.CUT: self._cut_node,
            FaultKind.ONE_WAY_CUT: self._cut_node_one_way,
            FaultKind.ZONE_CUT: self._cut_zone,
            FaultKind.LOSS: self._lose_packets,
            FaultKind.STORE_DOWN: lambda event: self._break_store(STORE_DOWN),
            FaultKind.STORE_SLOW: lambda event: self._break_store(STORE_SLOW),
            FaultKind.STORE_LOST_ANSWER: lambda event: self._break_store(STORE_LOSES_ANSWERS),
            FaultKind.LIST_DOWN: lambda event: self._freeze(self._deployment.machine_list),
            FaultKind.ENGINE_CRASH: lambda event: self._crash(self._engine(event)),
            FaultKind.ENGINE_HANG: lambda event: self._freeze(self._engine(event)),
            FaultKind.TOOL_HANG: lambda event: self._freeze(self._tool(event)),
            FaultKind.TOOL_CRASH: lambda event: self._crash(self._tool(event)),
            FaultKind.APP_HANG: lambda event: self._freeze(self._app(event)),
            FaultKind.APP_CRASH: lambda event: self._crash(self._app(event)),
            FaultKind.BACKEND_ERRORS: self._plan_request_faults,
            FaultKind.LEAVING: self._mark_engine_leaving,
            FaultKind.DRAIN: self._stop_node,
        }

    def arm(self, schedule: list[FaultEvent], start: float) -> None:
        """Let the faults of a schedule happen; their times count from ``start``."""
        for event in schedule:
            self._at(start + event.at, self._injection(event))

    def _injection(self, event: FaultEvent) -> Action:
        def inject() -> None:
            record = FaultRecord(
                kind=event.kind.value, target=str(event.target), started_at=self._schedule.now
            )
            self._books.faults.append(record)
            self._simulation.trace.add(self._schedule.now, "faults", "inject", event.line())
            heal = self._actions[event.kind](event)
            self._schedule.after(event.seconds, lambda: self._heal(record, heal))

        return inject

    def _heal(self, record: FaultRecord, heal: Heal) -> None:
        heal()
        record.ended_at = self._schedule.now
        self._simulation.trace.add(self._schedule.now, "faults", "heal", record.kind)

    # ------------------------------------------------------------ processes

    def _crash_node(self, event: FaultEvent) -> Heal:
        return self._crash(self._node(event))

    def _crash_two_nodes(self, event: FaultEvent) -> Heal:
        nodes = self._deployment.nodes
        first = self._node(event)
        second = nodes[(event.target + 1) % len(nodes)]
        heal_first = self._crash(first)
        delay = self._source.uniform(*SECOND_CRASH_SECONDS)
        self._schedule.after(min(delay, event.seconds / 2), second.crash)

        def heal() -> None:
            heal_first()
            second.start()

        return heal

    def _freeze_node(self, event: FaultEvent) -> Heal:
        host = self._node(event)
        host.freeze(before_effects=bool(event.variant))
        return host.wake

    def _crash(self, host: Host) -> Heal:
        host.crash()
        return host.start

    def _freeze(self, host: Host) -> Heal:
        host.freeze()
        return host.wake

    def _stop_node(self, event: FaultEvent) -> Heal:
        host = self._node(event)
        stop = PlannedStop(node=host.name, asked_at=self._schedule.now)
        self._books.stops.append(stop)
        host.stop()
        self._schedule.environment.process(self._await_stop(host, stop))
        return lambda: None

    def _await_stop(self, host: Host, stop: PlannedStop) -> Steps:
        environment = self._schedule.environment
        while host.running and environment.now < stop.asked_at + STOP_PATIENCE_SECONDS:
            yield environment.timeout(STOP_POLL_SECONDS)
        stop.exit_code = host.exit_code
        stop.ended_at = host.ended_at
        host.crash()
        yield environment.timeout(RESTART_SECONDS)
        host.start()

    # ------------------------------------------------------------ network

    def _cut_node(self, event: FaultEvent) -> Heal:
        host = self._node(event)
        others = self._others({host.name})
        return self._cut(
            Cut(sources=frozenset({host.name}), targets=others),
            Cut(sources=others, targets=frozenset({host.name})),
        )

    def _cut_node_one_way(self, event: FaultEvent) -> Heal:
        host = self._node(event)
        own, others = frozenset({host.name}), self._others({host.name})
        if event.variant:
            return self._cut(Cut(sources=own, targets=others))
        return self._cut(Cut(sources=others, targets=own))

    def _cut_zone(self, event: FaultEvent) -> Heal:
        zones = self._deployment.world.zones
        zone = zones[event.target % len(zones)]
        nodes = {host.name for host in self._deployment.nodes}
        inside = frozenset(name for name in nodes if self._simulation.network.zone_of(name) == zone)
        outside = frozenset(nodes - inside)
        return self._cut(Cut(sources=inside, targets=outside), Cut(sources=outside, targets=inside))

    def _cut(self, *cuts: Cut) -> Heal:
        network = self._simulation.network
        for cut in cuts:
            network.cut(cut)

        def heal() -> None:
            for cut in cuts:
                network.heal(cut)

        return heal

    def _lose_packets(self, event: FaultEvent) -> Heal:
        network = self._simulation.network
        network.disturbance = LOSS

        def heal() -> None:
            network.disturbance = Disturbance()

        return heal

    # ------------------------------------------------------------ platform

    def _break_store(self, faults: StoreFaults) -> Heal:
        host = self._deployment.store
        service = host.service
        assert isinstance(service, StoreService)

        def switch(wanted: StoreFaults) -> None:
            service.set_faults(wanted)
            host.deliver(Tick())

        switch(faults)
        return lambda: switch(StoreFaults())

    def _plan_request_faults(self, event: FaultEvent) -> Heal:
        services = self._deployment.request_services
        names = sorted(services)
        service = services[names[event.target % len(names)]]
        planned = [self._source.choice(REQUEST_FAULTS) for _ in range(PLANNED_REQUEST_FAULTS)]
        service.plan_faults(*planned)
        return lambda: None

    def _mark_engine_leaving(self, event: FaultEvent) -> Heal:
        host = self._engine(event)
        machines = self._deployment.machines
        address = str(host.http)
        machines.set_state(address, MachineState.LEAVING, self._schedule.now)
        leaving = Leaving(
            host=host.name,
            since=self._schedule.now + MACHINE_LIST_LAG_SECONDS,
            until=self._schedule.now + event.seconds,
        )
        self._books.leaving.append(leaving)
        return lambda: machines.set_state(address, MachineState.LIVE, self._schedule.now)

    # ------------------------------------------------------------ helpers

    def _at(self, time: float, action: Action) -> None:
        self._schedule.after(time - self._schedule.now, action)

    def _others(self, names: set[str]) -> frozenset[str]:
        return frozenset(self._simulation.hosts) - names

    def _node(self, event: FaultEvent) -> Host:
        return self._deployment.nodes[event.target % len(self._deployment.nodes)]

    def _engine(self, event: FaultEvent) -> Host:
        return self._deployment.engines[event.target % len(self._deployment.engines)]

    def _tool(self, event: FaultEvent) -> Host:
        return self._deployment.tools[event.target % len(self._deployment.tools)]

    def _app(self, event: FaultEvent) -> Host:
        return self._deployment.apps[event.target % len(self._deployment.apps)]
