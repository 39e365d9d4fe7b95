"""Recovery of a ledger leader with a nearly full link after a burst of load."""

from __future__ import annotations

import unittest

from tests.unit.ledger.cluster import Cluster, EdgeClient
from yokeline.effects import Effect
from yokeline.ledger.client import OperationDone
from yokeline.ledger.messages import TurnServed
from yokeline.ledger.operations import Granted, KeptTurn, OperationResult, Reserve, Settle

LINK_BYTES_PER_SECOND = 400_000.0
TEXT_BYTES = 5_000
TURN_SECONDS = 0.2
TURNS_PER_PROGRAM = 5
PROGRAMS_PER_SECOND = 5.0
"""25 turns per second; their texts, the answers and the heartbeats fill three quarters of the
link."""
BURST_FACTOR = 1.6
RESERVATION_TIMEOUT_SECONDS = 2.0
"""Timeout of a reservation at a forwarding node."""
ENGINES = 4


class Load:
    """Programs whose turns are reserved, generated and retained by different forwarding nodes."""

    def __init__(self, cluster: Cluster, edges: list[EdgeClient]) -> None:
        self.cluster = cluster
        self.edges = edges
        self.answers: list[tuple[float, float, bool]] = []
        """For each operation: submission time, time to the result, whether there was a result."""
        self.retained: list[str] = []
        """Turns acknowledged as retained."""
        self.under_way = 0
        self._programs = 0
        self._turns = 0

    def arrive(self, start: float, end: float, per_second: float) -> None:
        """Let programs begin at regular intervals."""
        for number in range(int((end - start) * per_second)):
            self.cluster.at(start + number / per_second, self._begin)

    def _begin(self) -> None:
        self._programs += 1
        self._reserve(f"p{self._programs}", "", TURNS_PER_PROGRAM)

    def _next_edge(self) -> EdgeClient:
        self._turns += 1
        return self.edges[self._turns % len(self.edges)]

    def _reserve(self, program: str, previous: str, turns_left: int) -> None:
        edge = self._next_edge()
        name = f"{program}-{turns_left}"
        operation = Reserve(
            request_id=name,
            program=program,
            budget=10_000,
            tokens=100,
            previous=previous,
        )
        asked_at = self.cluster.now

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            self.answers.append((asked_at, now - asked_at, result is not None))
            if isinstance(result, Granted):
                engine = f"engine-{self._turns % ENGINES}"
                edge.client.turns.begin(name, engine)
                self.under_way += 1
                self.cluster.at(
                    now + TURN_SECONDS * (0.5 + self.cluster.random.random()),
                    lambda: self._settle(edge, engine, program, name, previous, turns_left),
                )
            return []

        self._ask(edge, operation, done)

    def _settle(
        self, edge: EdgeClient, engine: str, program: str, name: str, previous: str, turns_left: int
    ) -> None:
        turn = KeptTurn(turn_id=name, previous=previous, text=b"x" * TEXT_BYTES, retention=60.0)
        operation = Settle(request_id=name, program=program, tokens=50, turn=turn)
        asked_at = self.cluster.now
        edge.client.turns.end(name, TurnServed(engine, False, 1.0))
        self.under_way -= 1

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            self.answers.append((asked_at, now - asked_at, result is not None))
            if result is not None:
                self.retained.append(name)
            if result is not None and turns_left > 1:
                self._reserve(program, name, turns_left - 1)
            return []

        self._ask(edge, operation, done)

    def _ask(self, edge: EdgeClient, operation: Reserve | Settle, done: OperationDone) -> None:
        now = self.cluster.now
        effects = edge.client.ask(operation, done, now, now + RESERVATION_TIMEOUT_SECONDS)
        self.cluster.carry_out_edge(edge.process, effects)

    def seconds(self, start: float, end: float) -> list[float]:
        """Return the sorted response times of the operations submitted in an interval."""
        return sorted(took for asked, took, _ in self.answers if start <= asked < end)

    def median(self, start: float, end: float) -> float:
        """Return the median response time."""
        times = self.seconds(start, end)
        return times[len(times) // 2]


class Burst(unittest.TestCase):
    def loaded(self, seed: int) -> tuple[Load, float]:
        """Run five seconds of load, three of a burst and eight of the original load."""
        cluster = Cluster(3, seed)
        self.assertTrue(cluster.run_until(cluster.all_members, 10.0))
        cluster.run(0.5)
        for machine in cluster.machines:
            machine.link_bytes_per_second = LINK_BYTES_PER_SECOND
        load = Load(cluster, [cluster.add_edge(f"edge-{number}~1") for number in range(8)])
        start = cluster.now
        load.arrive(start, start + 5.0, PROGRAMS_PER_SECOND)
        load.arrive(start + 5.0, start + 8.0, PROGRAMS_PER_SECOND * BURST_FACTOR)
        load.arrive(start + 8.0, start + 16.0, PROGRAMS_PER_SECOND)
        return load, start

    def test_response_times_recover_after_a_burst(self) -> None:
        for seed in range(3):
            load, start = self.loaded(seed)
            load.cluster.run(17.0)
            before = load.median(start + 2.0, start + 5.0)
            after = load.median(start + 13.0, start + 16.0)
            self.assertLess(after, 3 * before + 0.05, f"seed {seed}: {before:.3f} before")

    def test_no_running_turns_are_reported_once_all_have_ended(self) -> None:
        """Nodes would otherwise refuse calls while the engines are idle."""
        for seed in range(3):
            load, start = self.loaded(seed)
            load.cluster.run(16.0)
            load.cluster.run(6.0)
            self.assertEqual(load.under_way, 0)
            leader = load.cluster.leader()
            assert leader is not None and leader.node is not None
            told = leader.node.batches.turns.engines(load.cluster.now)
            running = {item.engine_id: item.running for item in told if item.running}
            self.assertEqual(running, {}, f"seed {seed}")
