"""Operations during partitions, leader changes and high load, sent directly or relayed."""

from __future__ import annotations

import unittest

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import MAX_RELAYED_OPERATIONS, LedgerClient, PeerNode
from yokeline.ledger.messages import (
    LeaderAnswer,
    LeaderHint,
    LeaderQuery,
    LedgerReply,
    LedgerRequest,
    PassedOnRequest,
    PassedTurns,
    TurnServed,
)
from yokeline.ledger.operations import Granted, Operation, OperationResult, Reserve, Settle, Settled
from yokeline.ledger.response_times import MIN_TIMEOUT_SECONDS
from yokeline.ledger.state import LedgerCommand, LedgerState
from yokeline.ledger.turns_under_way import TurnsUnderWay

STEP = 0.01
STORAGE = {ReplicaId(f"s{number}"): Address(f"10.0.0.{number}", 1) for number in range(3)}
LEADER = LeaderHint(ReplicaId("s0"), STORAGE[ReplicaId("s0")])


class Edge:
    def __init__(self, name: str, number: int) -> None:
        self.process = ReplicaId(name)
        self.address = Address(f"10.1.0.{number}", 1)
        self.client = LedgerClient(self.address)
        self.client.set_storage(STORAGE)
        self.unreachable: set[ReplicaId] = set()
        self.unheard: set[ReplicaId] = set()
        self.logged: list[str] = []


class Fleet:
    """Forwarding nodes and a ledger with one leader; each message takes one step."""

    def __init__(self, edges: int = 3) -> None:
        self.now = 100.0
        self.ledger = LedgerState()
        self.leads = True
        self.leader = LEADER
        self.term = 1
        self.failed_replicas: set[ReplicaId] = set()
        self.answer_seconds = STEP
        self.edges = [Edge(f"edge-{number}", number) for number in range(edges)]
        self.in_flight: list[tuple[float, Edge | None, ReplicaId, SendPeer]] = []
        self.received_operations: list[Operation] = []
        self.turns = TurnsUnderWay()
        self.through_peers = 0
        for edge in self.edges:
            edge.client.helpful_peers = lambda own=edge: [
                PeerNode(other.process, other.address)
                for other in self.edges
                if other is not own and other.client.reaches_ledger
            ]

    def ask(self, edge: Edge, operation: Operation, limit: float = 2.0) -> OperationResult | None:
        answers: list[OperationResult | None] = []

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            answers.append(result)
            return []

        self.carry_out(edge, edge.client.ask(operation, done, self.now, self.now + limit))
        while not answers:
            self.step()
        return answers[0]

    def partition(self, edge: Edge, *replicas: ReplicaId, answers_only: bool = False) -> None:
        edge.unheard = set(replicas)
        edge.unreachable = set() if answers_only else set(replicas)

    def step(self) -> None:
        self.now += STEP
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, source, sender, effect in due:
            self.deliver(source, sender, effect)
        for edge in self.edges:
            self.carry_out(edge, edge.client.tick(self.now))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP)):
            self.step()

    def carry_out(self, edge: Edge, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, LogRecord):
                edge.logged.append(effect.event)
            if isinstance(effect, SendPeer) and effect.to not in edge.unreachable:
                self.in_flight.append((self.now + STEP, edge, edge.process, effect))

    def deliver(self, source: Edge | None, sender: ReplicaId, effect: SendPeer) -> None:
        message = effect.message
        if isinstance(message, LedgerRequest):
            assert source is not None
            self.handle_request(source, effect.to, message)
            return
        if isinstance(message, LeaderQuery):
            assert source is not None
            self.handle_leader_query(source, effect.to)
            return
        edge = next(item for item in self.edges if item.process == effect.to)
        if sender in edge.unheard:
            return
        if isinstance(message, LeaderAnswer):
            self.carry_out(edge, edge.client.take_leader(sender, message, self.now))
        elif isinstance(message, LedgerReply):
            self.carry_out(edge, edge.client.take_reply(message, self.now))
        elif isinstance(message, PassedOnRequest):
            self.through_peers += 1
            self.pass_on(edge, sender, message)

    def pass_on(self, edge: Edge, sender: ReplicaId, request: PassedOnRequest) -> None:
        def answered(result: OperationResult | None, now: float) -> list[Effect]:
            if result is None:
                return []
            reply = LedgerReply(number=request.number, results=(result,), passed_on=True)
            return [SendPeer(to=sender, address=request.asker, message=reply)]

        self.carry_out(edge, edge.client.pass_on(sender, request, answered, self.now))

    def handle_leader_query(self, asker: Edge, replica: ReplicaId) -> None:
        if replica in self.failed_replicas:
            return
        answer = LeaderAnswer(term=self.term, leader=self.leader if self.leads else None)
        effect = SendPeer(to=asker.process, address=asker.address, message=answer)
        self.in_flight.append((self.now + STEP, None, replica, effect))

    def handle_request(self, asker: Edge, replica: ReplicaId, request: LedgerRequest) -> None:
        if replica in self.failed_replicas:
            return
        results: tuple[OperationResult, ...] = ()
        if replica == self.leader.replica and self.leads:
            if request.turns is not None:
                self.turns.take(asker.process, request.turns, self.now)
            relayed = request.passed_turns
            if isinstance(relayed, PassedTurns):
                self.turns.take(relayed.process, relayed.turns, self.now)
            self.received_operations.extend(request.operations)
            command = LedgerCommand(time=self.now, operations=request.operations)
            results = self.ledger.transition_apply(command)
        hint = self.leader if self.leads else None
        reply = LedgerReply(number=request.number, results=results, leader=hint, term=self.term)
        effect = SendPeer(to=asker.process, address=asker.address, message=reply)
        self.in_flight.append((self.now + self.answer_seconds, None, replica, effect))


def reserve(name: str, budget: int = 100) -> Reserve:
    return Reserve(request_id=name, program="p", budget=budget, tokens=60)


class Partitions(unittest.TestCase):
    def test_a_node_partitioned_from_all_storage_nodes_uses_a_relay(self) -> None:
        for answers_only in (False, True):
            fleet = Fleet()
            edge = fleet.edges[0]
            self.assertIsInstance(fleet.ask(edge, reserve("a", 1000)), Granted)
            fleet.partition(edge, *STORAGE, answers_only=answers_only)
            self.assertIsInstance(fleet.ask(edge, reserve("b", 1000)), Granted)
            began = fleet.now
            self.assertIsInstance(fleet.ask(edge, reserve("c", 1000)), Granted)
            self.assertLess(fleet.now - began, MIN_TIMEOUT_SECONDS, "the relay is known")
            self.assertIn("ledger_path_lost", edge.logged)

    def test_turns_of_a_partitioned_node_are_still_counted(self) -> None:
        """Nodes would otherwise underestimate the load of engines during a partition."""
        fleet = Fleet()
        edge = fleet.edges[0]
        fleet.ask(edge, reserve("a", 1000))
        fleet.partition(edge, *STORAGE)
        fleet.ask(edge, reserve("b", 1000))
        for number in range(8):
            edge.client.turns.begin(f"t{number}", "engine")
        fleet.ask(edge, reserve("c", 1000))
        self.assertEqual(len(fleet.turns), 8)
        edge.client.turns.end("t0", TurnServed("engine", False, 0.0))
        fleet.ask(edge, reserve("d", 1000))
        self.assertEqual(len(fleet.turns), 7)

    def test_a_node_partitioned_from_the_leader_uses_a_relay(self) -> None:
        fleet = Fleet()
        edge = fleet.edges[0]
        fleet.partition(edge, LEADER.replica)
        self.assertIsInstance(fleet.ask(edge, reserve("a")), Granted)

    def test_the_budget_holds_over_direct_and_relayed_operations(self) -> None:
        fleet = Fleet()
        edge = fleet.edges[0]
        fleet.partition(edge, *STORAGE)
        self.assertIsInstance(fleet.ask(edge, reserve("a")), Granted)
        self.assertIsInstance(
            fleet.ask(edge, Settle(request_id="a", program="p", tokens=50)), Settled
        )
        self.assertNotIsInstance(fleet.ask(fleet.edges[1], reserve("b")), Granted)

    def test_a_settlement_that_arrives_directly_and_relayed_counts_once(self) -> None:
        fleet = Fleet()
        edge = fleet.edges[0]
        fleet.ask(edge, reserve("before"))  # so that operations are sent to a known leader
        fleet.ask(edge, Settle(request_id="before", program="p", tokens=0))
        fleet.partition(edge, *STORAGE, answers_only=True)
        fleet.ask(edge, reserve("a"))
        settle = Settle(request_id="a", program="p", tokens=40)
        self.assertIsInstance(fleet.ask(edge, settle), Settled)
        fleet.run(1.0)
        self.assertGreater(fleet.received_operations.count(settle), 1, "sent directly and relayed")
        self.assertEqual(fleet.ledger.programs["p"].committed_tokens(), 40)

    def test_a_reservation_that_arrives_after_its_release_reserves_nothing(self) -> None:
        fleet = Fleet()
        late = reserve("a")
        for operation in (late, Settle(request_id="a", program="p", tokens=0), late):
            fleet.ask(fleet.edges[1], operation)
        self.assertEqual(fleet.ledger.programs["p"].committed_tokens(), 0)

    def test_a_direct_answer_ends_relaying(self) -> None:
        fleet = Fleet()
        edge = fleet.edges[0]
        fleet.partition(edge, *STORAGE)
        fleet.ask(edge, reserve("a", 1000))
        fleet.partition(edge)
        fleet.ask(edge, reserve("b", 1000))
        fleet.run(0.5)
        before = fleet.through_peers
        fleet.ask(edge, reserve("c", 1000))
        self.assertEqual(fleet.through_peers, before)
        self.assertIn("ledger_path_found", edge.logged)


class NewLeader(unittest.TestCase):
    def test_pending_operations_are_answered_soon_after_an_election(self) -> None:
        """Retries back off, and operations sent to the failed leader have waited the longest."""
        fleet = Fleet(2)
        edge = fleet.edges[0]
        fleet.ask(edge, reserve("first", 10_000))
        fleet.leads = False
        fleet.failed_replicas = {LEADER.replica}
        answers: list[OperationResult | None] = []

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            answers.append(result)
            return []

        for number in range(8):
            operation = reserve(f"r{number}", 10_000)
            effects = edge.client.ask(operation, done, fleet.now, fleet.now + 2.0)
            fleet.carry_out(edge, effects)
            fleet.run(0.01)
        fleet.run(1.3)
        fleet.leader = LeaderHint(ReplicaId("s2"), STORAGE[ReplicaId("s2")])
        fleet.term = 2
        fleet.leads = True
        began = fleet.now
        while len(answers) < 8 and fleet.now < began + 3:
            fleet.step()
        self.assertTrue(all(isinstance(answer, Granted) for answer in answers))
        self.assertLess(fleet.now - began, 0.4)

    def test_a_slow_leader_gets_few_duplicates(self) -> None:
        fleet = Fleet(1)
        edge = fleet.edges[0]
        fleet.answer_seconds = 2.5 * MIN_TIMEOUT_SECONDS
        for number in range(40):
            operation = reserve(f"r{number}", 10_000)
            effects = edge.client.ask(operation, lambda result, now: [], fleet.now, fleet.now + 5)
            fleet.carry_out(edge, effects)
            fleet.run(0.05)
        fleet.run(2.0)
        self.assertLess(len(fleet.received_operations), 3.5 * 40)


class Relaying(unittest.TestCase):
    def test_an_operation_is_relayed_only_once(self) -> None:
        fleet = Fleet()
        for edge in fleet.edges:
            fleet.partition(edge, *STORAGE)
            edge.client.helpful_peers = lambda own=edge: [
                PeerNode(other.process, other.address) for other in fleet.edges if other is not own
            ]
        self.assertIsNone(fleet.ask(fleet.edges[0], reserve("a"), limit=1.5))
        fleet.run(3.0)
        self.assertLess(fleet.through_peers, 6)
        self.assertEqual([edge.client.under_way for edge in fleet.edges], [0, 0, 0])

    def test_relayed_operations_are_bounded(self) -> None:
        client = LedgerClient(Address("10.1.0.1", 1))
        for number in range(2 * MAX_RELAYED_OPERATIONS):
            request = PassedOnRequest(
                number=number, asker=Address("10.1.0.2", 1), operation=reserve(str(number))
            )
            client.pass_on(ReplicaId("other"), request, lambda result, now: [], 100.0)
        self.assertEqual(client.under_way, MAX_RELAYED_OPERATIONS)

    def test_without_a_leader_no_operation_is_relayed_and_nodes_recover(self) -> None:
        fleet = Fleet()
        fleet.leads = False
        for edge in fleet.edges:
            edge.client.ask(reserve(edge.process), lambda result, now: [], fleet.now, fleet.now + 9)
        fleet.run(0.5)
        before = fleet.through_peers
        fleet.run(1.0)
        self.assertEqual(fleet.through_peers, before, "no node reports the ledger as reachable")
        fleet.leads = True
        fleet.run(1.0)
        self.assertTrue(all(edge.client.reaches_ledger for edge in fleet.edges))

    def test_a_slow_ledger_does_not_count_as_unreachable(self) -> None:
        fleet = Fleet(1)
        edge = fleet.edges[0]
        fleet.ask(edge, reserve("first", 10_000))
        fleet.answer_seconds = 3 * MIN_TIMEOUT_SECONDS
        for number in range(60):
            operation = reserve(f"r{number}", 10_000)
            fleet.carry_out(
                edge,
                edge.client.ask(operation, lambda result, now: [], fleet.now, fleet.now + 5),
            )
            fleet.run(0.05)
        self.assertLessEqual(edge.logged.count("ledger_path_lost"), 1)
