"""Nodes that start, stood still or were cut off learn what others have lost."""

from __future__ import annotations

import unittest

import msgspec

from tests.unit.forwarding.test_edge_node import PlayedNode
from tests.unit.losses.test_quarantine import NOT_RUN, Node
from yokeline.effects import Address, DatagramArrived, LogRecord, PeerMessage, SendPeer
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.messages import LoadReport, LossesQuery, LossesReply
from yokeline.losses.engine_fates import MAX_ENDED_ENGINES
from yokeline.losses.engine_losses import (
    MIN_RETENTION_SECONDS,
    RECORD_TIMEOUT_SECONDS,
    REPORTED_SECONDS,
)
from yokeline.losses.loss_synchronization import (
    MAX_ASKED_NODES,
    ROUND_SECONDS,
    START_WAIT_SECONDS,
    LossSynchronization,
)
from yokeline.losses.quarantine import (
    FATES_UNKNOWN,
    QUARANTINED,
    SYNCHRONIZATION_WAIT_SECONDS,
)

OWN = Address("10.0.0.1", 1)
OTHER = Address("10.0.0.2", 1)
EDGE = ReplicaId("edge-2~1")


def synchronization_of(node: Node) -> LossSynchronization:
    return node.forwarder.loss_synchronization


def tell(source: Node, node: Node) -> None:
    """Let one node ask another one, and be told all that it knows."""
    own = ReplicaId("asker")
    (ask,) = synchronization_of(node).ask_node(ReplicaId("other"), OTHER, OWN, node.now)
    assert isinstance(ask, SendPeer)
    assert isinstance(ask.message, LossesQuery)
    (answer,) = synchronization_of(source).answer_query(own, ask.message, source.now)
    assert isinstance(answer, SendPeer)
    assert isinstance(answer.message, LossesReply)
    node.take(synchronization_of(node).apply_reply(ReplicaId("other"), answer.message, node.now))
    node.wait(0.01)


class StartingNodes(unittest.TestCase):
    """The ledger is silent in all of them."""

    def setUp(self) -> None:
        self.node = self.silent_node()

    def silent_node(self) -> Node:
        node = Node()
        node.is_ledger_silent = True
        return node

    def started(self) -> Node:
        """Return a node that starts now, with the engines of the first one."""
        other = self.silent_node()
        other.now = self.node.now
        for state in list(other.engines.all()):
            if self.node.engines.get(state.engine.engine_id) is None:
                other.engines.remove(state.engine.engine_id)
        synchronization_of(other).start(other.now)
        return other

    def end_engines(self, count: int) -> None:
        """Let engines end under attempts of one call."""
        ended = 0
        while ended < count:
            sent = len(self.node.sent)
            self.node.call()
            self.node.wait(1.5)
            while ended < count and len(self.node.sent) > sent:
                sent = len(self.node.sent)
                self.node.end_engine()
                ended += 1
                self.node.wait(1.5)

    def test_a_node_that_starts_learns_losses_that_a_dead_node_had_told(self) -> None:
        """Guards against a loss that is gone with the node that told it."""
        serving = self.silent_node()
        serving.now = self.node.now
        self.node.call()
        self.node.lose_engine()
        self.node.report_to(serving)
        started = self.started()
        tell(serving, started)
        known = {row.loss_id for row in self.node.forwarder.losses.reported_rows()}
        told = {row.loss_id for row in started.forwarder.losses.all_rows()}
        self.assertEqual(told, known)
        self.assertTrue(synchronization_of(started).is_informed(started.now))

    def test_calls_wait_until_an_informed_node_has_told(self) -> None:
        started = self.started()
        started.call()
        self.assertEqual(started.sent, [])
        tell(self.node, started)
        self.assertEqual(len(started.sent), 1)

    def test_calls_are_sent_when_nobody_tells(self) -> None:
        started = self.started()
        started.call()
        started.wait(SYNCHRONIZATION_WAIT_SECONDS - 0.1)
        self.assertEqual(started.sent, [])
        started.wait(0.2)
        self.assertEqual(len(started.sent), 1)

    def test_an_uninformed_node_does_not_send_again_what_may_have_ended_an_engine(self) -> None:
        """Guards against several engines under one request at each node that can ask nobody."""
        started = self.started()
        started.wait(START_WAIT_SECONDS)
        started.call()
        started.end_engine()
        started.wait(1.5)
        self.assertEqual(len(started.sent), 1)
        started.call()
        started.wait(1.5)
        self.assertEqual(len(started.sent), 1)
        self.assertEqual(started.refusal, (NOT_RUN, FATES_UNKNOWN))

    def test_an_answer_of_an_uninformed_node_informs_nobody(self) -> None:
        started, another = self.started(), self.started()
        tell(another, started)
        self.assertFalse(synchronization_of(started).is_informed(started.now))

    def test_losses_count_for_as_long_as_a_caller_may_return(self) -> None:
        """Guards against records that expire between two attempts at a slow route."""
        losses = self.node.forwarder.losses
        self.assertEqual(losses.retention, MIN_RETENTION_SECONDS)
        table = self.node.forwarder.table
        assert table is not None
        slow = msgspec.structs.replace(table.routes[0], timeout=MIN_RETENTION_SECONDS)
        self.node.forwarder.table = msgspec.structs.replace(table, routes=(slow,))
        self.assertEqual(losses.retention, 2 * MIN_RETENTION_SECONDS)

    def test_what_others_knew_at_a_start_expires(self) -> None:
        started = self.started()
        late = started.now + MIN_RETENTION_SECONDS
        self.assertFalse(synchronization_of(started).is_informed(late - 0.1))
        self.assertTrue(synchronization_of(started).is_informed(late))

    def test_an_informed_node_judges_by_what_it_was_told(self) -> None:
        self.end_engines(MAX_ENDED_ENGINES)
        started = self.started()
        tell(self.node, started)
        started.call()
        started.wait(0.3)
        started.engines_refuse_connections()
        self.assertEqual(started.sent, [])
        self.assertEqual(started.refusal, (NOT_RUN, QUARANTINED))

    def test_answered_requests_are_told(self) -> None:
        """Guards against losses in the ledger that an answer cleared while it was silent."""
        self.node.call()
        self.node.lose_engine()
        started = self.started()
        started.forwarder.losses.apply_report(self.node.forwarder.losses.all_rows(), started.now)
        for node in (self.node, started):
            node.wait(0.5)
        self.node.engine_answers()
        tell(self.node, started)
        started.call()
        self.assertEqual(len(started.sent), 1)


class SilentLedgers(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node()
        self.node.is_ledger_silent = True

    def test_what_a_silent_ledger_missed_is_recorded_once_it_answers(self) -> None:
        """Guards against losses that die with their node although the ledger is back."""
        self.node.call()
        self.node.lose_engine()
        self.node.wait(RECORD_TIMEOUT_SECONDS + 1.0)
        self.assertEqual(self.node.ledger_state.losses.lines, {})
        self.node.is_ledger_silent = False
        synchronization_of(self.node).tick(self.node.now)
        self.node.wait(0.5)
        recorded = {
            key for line in self.node.ledger_state.losses.lines.values() for key in line.losses
        }
        told = {row.loss_id for row in self.node.forwarder.losses.all_rows()}
        self.assertEqual(recorded, told)

    def test_nothing_is_recorded_again_that_the_ledger_has(self) -> None:
        self.node.is_ledger_silent = False
        self.node.call()
        self.node.lose_engine()
        self.node.wait(RECORD_TIMEOUT_SECONDS + 1.0)
        records = len(self.node.loss_records)
        synchronization_of(self.node).tick(self.node.now)
        self.node.wait(0.5)
        self.assertEqual(len(self.node.loss_records), records)


class Gaps(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node()
        self.node.is_ledger_silent = True
        self.synchronization = synchronization_of(self.node)
        self.synchronization.has_others = lambda: True
        self.hears = True
        self.synchronization.hears_others = lambda _now: self.hears

    def pass_time(self, seconds: float, step: float = 0.2) -> None:
        for _ in range(round(seconds / step)):
            self.node.now += step
            self.synchronization.tick(self.node.now)

    def asks(self, process: str = "other") -> bool:
        return bool(self.synchronization.ask_node(ReplicaId(process), OTHER, OWN, self.node.now))

    def test_a_node_that_hears_others_all_the_time_asks_nobody(self) -> None:
        self.pass_time(30.0)
        self.assertFalse(self.asks())
        self.assertTrue(self.synchronization.is_informed(self.node.now))

    def test_a_node_that_hears_nobody_is_not_informed(self) -> None:
        self.pass_time(1.0)
        self.hears = False
        self.assertFalse(self.synchronization.is_informed(self.node.now))

    def test_a_node_that_was_cut_off_shortly_asks_and_stays_informed(self) -> None:
        self.pass_time(1.0)
        self.hears = False
        self.pass_time(3.0)
        self.hears = True
        self.pass_time(0.2)
        self.assertTrue(self.synchronization.is_informed(self.node.now))
        self.assertTrue(self.synchronization.is_waiting(self.node.now))
        self.assertTrue(self.asks())

    def test_a_node_that_was_cut_off_for_longer_than_reports_cover_is_not_informed(self) -> None:
        self.pass_time(1.0)
        self.hears = False
        self.pass_time(REPORTED_SECONDS)
        self.hears = True
        self.pass_time(0.2)
        self.assertFalse(self.synchronization.is_informed(self.node.now))

    def test_a_second_gap_is_unknown_for_as_long_as_the_first(self) -> None:
        self.pass_time(1.0)
        for _ in range(2):
            self.hears = False
            self.pass_time(REPORTED_SECONDS)
            self.hears = True
            self.pass_time(MIN_RETENTION_SECONDS - 1.0)
        self.assertFalse(self.synchronization.is_informed(self.node.now))

    def test_a_frozen_node_that_goes_on_asks(self) -> None:
        self.pass_time(1.0)
        self.node.now += REPORTED_SECONDS
        self.synchronization.tick(self.node.now)
        self.assertFalse(self.synchronization.is_informed(self.node.now))
        self.assertTrue(self.asks())

    def test_a_frozen_node_without_others_waits_for_nobody(self) -> None:
        self.synchronization.has_others = lambda: False
        self.pass_time(1.0)
        self.node.now += REPORTED_SECONDS
        self.synchronization.tick(self.node.now)
        self.assertTrue(self.synchronization.is_informed(self.node.now))
        self.assertFalse(self.synchronization.is_waiting(self.node.now))

    def test_an_answer_from_before_a_gap_informs_nobody(self) -> None:
        self.pass_time(1.0)
        self.node.now += REPORTED_SECONDS
        self.synchronization.tick(self.node.now)
        early = LossesReply(number=0, is_informed=True)
        self.synchronization.apply_reply(ReplicaId("other"), early, self.node.now)
        self.assertFalse(self.synchronization.is_informed(self.node.now))

    def test_asked_nodes_are_bounded_and_asked_again(self) -> None:
        self.synchronization.start(self.node.now)
        asked = [self.asks(f"e{number}") for number in range(MAX_ASKED_NODES + 2)]
        self.assertEqual(asked, [True] * MAX_ASKED_NODES + [False] * 2)
        self.node.now += ROUND_SECONDS
        self.assertTrue(self.asks("e0"))

    def test_sends_wait_for_a_bounded_time_after_a_gap(self) -> None:
        self.pass_time(1.0)
        self.hears = False
        self.pass_time(3.0)
        self.hears = True
        self.pass_time(0.2)
        self.node.call()
        self.assertEqual(self.node.sent, [])
        self.node.wait(SYNCHRONIZATION_WAIT_SECONDS + 0.1)
        self.assertEqual(len(self.node.sent), 1)


class Messages(PlayedNode):
    def test_a_node_that_starts_asks_the_first_nodes_that_it_hears(self) -> None:
        self.played.forwarder.loss_synchronization.start(self.now)
        report = LoadReport(
            node=NodeName("edge-2"),
            sequence=1,
            loads=(),
            process=EDGE,
            address=OTHER,
        )
        effects = self.hand(DatagramArrived(source=OTHER, message=report))
        asks = [item for item in effects if isinstance(item, SendPeer)]
        asks = [item for item in asks if isinstance(item.message, LossesQuery)]
        self.assertEqual([(item.to, item.address) for item in asks], [(EDGE, OTHER)])
        self.assertEqual(asks[0].message.asker, Address("10.0.0.1", 1))  # type: ignore[attr-defined]

    def test_a_node_answers_and_logs_what_it_was_told(self) -> None:
        query = PeerMessage(sender=EDGE, message=LossesQuery(number=3, asker=OTHER))
        sent = [item.message for item in self.hand(query) if isinstance(item, SendPeer)]
        self.assertIn(LossesReply(number=3, is_informed=True), sent)
        reply = PeerMessage(sender=EDGE, message=LossesReply(number=1))
        lines = [item for item in self.hand(reply) if isinstance(item, LogRecord)]
        self.assertIn("losses_told", [line.event for line in lines])


if __name__ == "__main__":
    unittest.main()
