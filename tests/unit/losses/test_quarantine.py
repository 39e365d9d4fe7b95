"""Requests are not sent again once engines have ended under them, whichever attempt it was.

Up to twelve engines ended under one request of one caller: every bound counted an attempt at one
node, and each attempt of the caller had an id of its own.
"""

from __future__ import annotations

import itertools
import json
import unittest

import msgspec
from msgspec import UNSET, UnsetType

from tests.unit.forwarding.support import STORAGE, Played
from yokeline.effects import HttpReply
from yokeline.ledger.messages import LeaderAnswer
from yokeline.ledger.operations import EngineLoss, Granted, Reserve, line_of_turn
from yokeline.ledger.state import LedgerState
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import (
    END_DETECTION_SECONDS,
    MAX_ENDED_ENGINES,
)
from yokeline.losses.quarantine import FATES_UNKNOWN, LEDGER_WAIT_SECONDS, QUARANTINED

NOT_RUN = 503
LEADER = LeaderAnswer(term=1, leader=STORAGE)
FAILED = 502
STARTED_MS = 1_790_000_000_000
BODY = b"the same in each attempt"


class Node(Played):
    """A node with six engines of each kind, and a ledger that may be shared with other nodes."""

    numbers = itertools.count(1)

    def __init__(
        self,
        ledger_state: LedgerState | None = None,
        engines: int = 6,
        starts: int | None = STARTED_MS,
    ) -> None:
        super().__init__(engines_per_pool=engines, process=f"edge-{next(self.numbers)}")
        self.ledger_state = ledger_state or self.ledger_state
        if starts is not None:
            self.engines_start_at(starts)

    def begin(self, path: str = "/turn/x", body: bytes = BODY, **headers: str) -> str:
        """Let an attempt of a program's turn arrive; the ledger grants it."""
        request_id = self.turn(path, body, session_id="s", **headers)
        operation = self.operations()[-1]
        assert isinstance(operation, Reserve)
        line = line_of_turn(operation.program, operation.session, operation.previous)
        losses = self.ledger_state.losses.of_line(line, self.now)
        self.ledger_answers(Granted(losses=losses or UNSET))
        return request_id

    def call(self, path: str = "/look-twice/x", body: bytes = BODY, **headers: str) -> str:
        """Let an attempt of a program's call arrive."""
        return self.request(path, body, **{"program_id": "p", "session_id": "s", **headers})

    def end_engine(self) -> None:
        """End the engine that has the request; its entry goes."""
        engine = self.engines.get(self.engine_of())
        assert engine is not None
        self.engine_breaks()
        self.engines.remove(engine.engine.engine_id)
        self.forwarder.engine_ended(engine.engine, self.now)
        self.wait(0.01)

    def lose_engine(self) -> None:
        """Let the connection fail; nothing is known of the engine."""
        self.engine_breaks()
        self.wait(0.01)

    def wait_while_engines_run(self, seconds: float) -> None:
        """Wait; all engines that are asked for their state answer as themselves."""
        for _ in range(round(seconds / 0.1)):
            self.wait(0.1)
            self.engines_tell_state(STARTED_MS)

    def loss_rows(self) -> list[EngineLoss]:
        """Return the records that the node has sent to the ledger."""
        rows = []
        for operation in self.loss_records:
            assert not isinstance(operation.side, UnsetType)
            rows.extend(operation.side.losses)
        return rows

    def report_to(self, other: Node) -> None:
        rows = self.forwarder.losses.reported_rows()
        other.forwarder.losses.apply_report(rows, other.now)

    @property
    def refusal(self) -> tuple[int, str]:
        """Status and reason of the last answer of the node's own."""
        reply = self.replies[-1]
        assert isinstance(reply, HttpReply)
        return reply.status, json.loads(reply.body)["error"]


class Quarantine(unittest.TestCase):
    def setUp(self) -> None:
        self.node = Node()

    def end_engines(self, node: Node, count: int, body: bytes = BODY) -> None:
        """Let engines end under attempts of one turn."""
        ended = 0
        while ended < count:
            sent = len(node.sent)
            node.begin(body=body)
            while ended < count and len(node.sent) > sent:
                sent = len(node.sent)
                node.end_engine()
                ended += 1
                node.wait(1.1)

    def test_a_turn_is_refused_after_its_bound_of_ended_engines(self) -> None:
        self.end_engines(self.node, MAX_ENDED_ENGINES)
        sent = len(self.node.sent)
        self.node.begin()
        self.assertEqual(len(self.node.sent), sent)
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))
        line = next(item for item in self.node.logs if item.event == "request_quarantined")
        self.assertEqual(line.fields["ended"], MAX_ENDED_ENGINES)

    def test_an_attempt_ends_when_the_bound_is_reached_under_it(self) -> None:
        self.end_engines(self.node, MAX_ENDED_ENGINES - 1)
        sent = len(self.node.sent)
        self.node.begin()
        self.node.wait(1.1)
        self.assertEqual(len(self.node.sent), sent + 1)
        self.node.end_engine()
        self.node.wait(1.1)
        self.assertEqual(len(self.node.sent), sent + 1)
        self.assertEqual(self.node.refusal, (FAILED, QUARANTINED))

    def test_other_turns_of_the_program_are_served(self) -> None:
        self.end_engines(self.node, MAX_ENDED_ENGINES)
        sent = len(self.node.sent)
        self.node.begin(body=b"another input")
        self.node.begin(program_id="another program")
        self.assertEqual(len(self.node.sent), sent + 2)

    def test_another_node_knows_it_from_the_reservation(self) -> None:
        other = Node(self.node.ledger_state)
        self.end_engines(self.node, MAX_ENDED_ENGINES)
        other.now = self.node.now
        for engine in list(other.engines.all()):
            if self.node.engines.get(engine.engine.engine_id) is None:
                other.engines.remove(engine.engine.engine_id)
                other.forwarder.engine_ended(engine.engine, other.now)
        other.begin()
        self.assertEqual(other.sent, [])
        self.assertEqual(other.refusal, (NOT_RUN, QUARANTINED))

    def test_another_node_asks_the_ledger_for_a_call_of_which_it_was_told(self) -> None:
        other = Node(self.node.ledger_state)
        other.now = self.node.now
        self.node.call()
        self.node.lose_engine()
        self.node.report_to(other)
        before = len(other.loss_records)
        other.call()
        self.assertEqual(len(other.loss_records), before + 1)
        self.assertEqual(other.sent, [])
        other.wait(1.1)
        self.assertEqual(len(other.sent), 1)
        before = len(other.loss_records)
        other.call(body=b"another")
        self.assertEqual(len(other.loss_records), before)

    def test_a_node_that_hears_no_others_asks_the_ledger_for_calls(self) -> None:
        """Guards against a fourth engine at a node that was told of no loss (soak 458570857)."""
        other = Node(self.node.ledger_state)
        other.now = self.node.now
        self.node.call()
        self.node.lose_engine()
        other.call(body=b"another")
        self.assertEqual(other.loss_records, [])
        other.forwarder.loss_synchronization.hears_others = lambda _now: False
        other.call()
        self.assertEqual(len(other.loss_records), 2)
        self.assertEqual(len(other.sent), 1)
        other.wait(1.1)
        self.assertEqual(len(other.sent), 2)

    def test_a_send_that_waits_for_room_is_judged_again(self) -> None:
        """Guards against a loss that becomes known while the send is queued (soak 458570857)."""
        other = Node(self.node.ledger_state)
        for node in (self.node, other):
            node.now = 100.0
        for index in range(2):
            self.node.begin("/once/x")
            self.node.wait(0.1)
            self.node.end_engine()
            self.assertEqual(len(self.node.sent), index + 1)
        self.node.wait(1.2)
        full = [state for state in self.node.engines.all() if state.engine.pool == "models"]
        for state in full:
            state.running += 100
        self.node.begin("/once/x")
        self.node.wait(0.02)
        self.assertEqual(len(self.node.sent), 2)
        self.assertEqual(self.node.forwarder.waiting(), {"models": 1})
        digest = self.node.forwarder.losses.all_rows()[0].request
        row = EngineLoss(digest, "elsewhere/1", "models-9", "models-9", 0.1, 0.0)
        self.node.forwarder.losses.ends.record_end("models-9", "models-9", self.node.now)
        self.node.forwarder.losses.apply_report((row,), self.node.now)
        for state in full:
            state.running -= 100
        self.node.wait(0.5)
        self.assertEqual(len(self.node.sent), 2)
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))

    def test_calls_are_bounded_over_nodes(self) -> None:
        nodes = [Node(self.node.ledger_state) for _ in range(3)]
        ended: set[str] = set()
        for number in range(9):
            node = nodes[number % 3]
            sent = len(node.sent)
            node.call()
            while len(node.sent) > sent:
                sent = len(node.sent)
                ended.add(node.engine_of())
                gone = node.engines.get(node.engine_of())
                assert gone is not None
                for item in nodes:
                    item.engines.remove(gone.engine.engine_id)
                    item.forwarder.engine_ended(gone.engine, item.now)
                node.lose_engine()
                for item in nodes:
                    node.report_to(item)
                node.wait(1.1)
            for item in nodes:
                item.now = node.now
        self.assertEqual(len(ended), MAX_ENDED_ENGINES)

    def test_a_turn_whose_engines_run_on_is_served(self) -> None:
        for _ in range(2 * MAX_ENDED_ENGINES):
            sent = len(self.node.sent)
            self.node.begin()
            self.node.wait_while_engines_run(1.1)
            self.assertGreater(len(self.node.sent), sent)
            self.node.lose_engine()
            self.node.wait_while_engines_run(1.1)
            self.node.engine_breaks()
            self.node.wait_while_engines_run(1.0)

    def test_engines_of_unknown_fate_are_asked_before_the_next_send(self) -> None:
        for _ in range(2):
            self.node.begin("/once/x")
            self.node.lose_engine()
        self.node.begin("/once/x")
        self.node.wait(1.1)
        self.node.lose_engine()
        sent = len(self.node.sent)
        self.node.begin("/once/x")
        self.assertEqual((len(self.node.sent), len(self.node.state_requests)), (sent, 3))
        self.node.engines_refuse_connections()
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))

    def test_a_request_waits_for_fates_that_cannot_be_known_yet(self) -> None:
        for _ in range(MAX_ENDED_ENGINES):
            self.node.begin("/once/x")
            self.node.wait(1.1)
            self.node.lose_engine()
        sent = len(self.node.sent)
        self.node.begin("/once/x")
        self.node.wait(0.3)
        self.assertEqual(self.node.refusal, (NOT_RUN, FATES_UNKNOWN))
        self.assertEqual(len(self.node.sent), sent)
        self.node.wait(END_DETECTION_SECONDS)
        self.node.begin("/once/x")
        self.assertEqual(len(self.node.sent), sent + 1)

    def test_an_answered_request_is_not_suspected_any_more(self) -> None:
        self.end_engines(self.node, MAX_ENDED_ENGINES - 1)
        self.node.begin()
        self.node.wait(1.1)
        self.node.engine_begins()
        self.node.engine_sends(1)
        self.node.engine_ends()
        self.assertEqual(self.node.ledger_state.losses.lines, {})
        sent = len(self.node.sent)
        self.node.begin()
        self.assertEqual(len(self.node.sent), sent + 1)

    def test_an_engine_that_ends_after_its_caller_left_counts(self) -> None:
        request = self.node.begin()
        engine = self.node.engines.get(self.node.engine_of())
        assert engine is not None
        self.node.leave(request)
        self.assertEqual(self.node.loss_records, [])
        self.node.engines.remove(engine.engine.engine_id)
        self.node.forwarder.engine_ended(engine.engine, self.node.now)
        self.node.wait(0.01)
        self.assertEqual(len(self.node.loss_records), 1)

    def test_an_attempt_of_a_suspect_that_runs_out_of_time_counts_at_once(self) -> None:
        """Its next attempt may come before the end of its engine is noticed."""
        self.end_engines(self.node, 1)
        self.node.wait(3.0)
        before = len(self.node.loss_records)
        self.node.begin()
        self.node.wait(3.1)
        told = [row for row in self.node.loss_rows()[before:] if row.engine_id]
        self.assertEqual([row.stage for row in told], [AttemptStage.AT_ENGINE])
        self.assertEqual([row.engine_id for row in told], [self.node.engine_of()])

    def test_engines_that_state_no_start_run_on_if_they_answer(self) -> None:
        """Guards against refusals while such engines reset connections."""
        node = Node(starts=None)
        for _ in range(MAX_ENDED_ENGINES):
            node.begin("/once/x")
            node.wait(1.1)
            node.lose_engine()
        sent = len(node.sent)
        node.begin("/once/x")
        node.engines_tell_state(None)
        self.assertEqual(len(node.sent), sent + 1)

    def test_an_engine_whose_address_another_one_has_taken_has_ended(self) -> None:
        node = Node(starts=None)
        for _ in range(MAX_ENDED_ENGINES):
            node.begin("/once/x")
            node.wait(1.1)
            known = node.engines.get(node.engine_of())
            assert known is not None
            successor = msgspec.structs.replace(
                known.engine, engine_id=f"new-{known.engine.engine_id}", instance="", slots=0
            )
            node.engines.put(msgspec.structs.replace(successor, instance=successor.engine_id))
            node.lose_engine()
        sent = len(node.sent)
        node.begin("/once/x")
        node.engines_tell_state(None)
        self.assertEqual(len(node.sent), sent)
        self.assertEqual(node.refusal, (NOT_RUN, QUARANTINED))

    def test_an_engine_beside_the_entry_of_its_predecessor_runs_on(self) -> None:
        node = Node(starts=None)
        engines = [state.engine for state in node.engines.all()]
        for engine in engines:
            name = f"new-{engine.engine_id}"
            successor = msgspec.structs.replace(engine, engine_id=name, instance=name)
            node.engines.put(successor)
            node.engines.put(msgspec.structs.replace(engine, draining=True))
        for _ in range(MAX_ENDED_ENGINES):
            node.begin("/once/x")
            node.wait(1.1)
            node.lose_engine()
        sent = len(node.sent)
        node.begin("/once/x")
        node.engines_tell_state(None)
        self.assertEqual(len(node.sent), sent + 1)

    def test_a_late_state_of_an_engine_does_not_send_a_request_twice(self) -> None:
        for _ in range(MAX_ENDED_ENGINES):
            self.node.begin("/once/x")
            self.node.wait(1.1)
            self.node.lose_engine()
        sent = len(self.node.sent)
        self.node.begin("/once/x")
        self.assertEqual(len(self.node.state_requests), MAX_ENDED_ENGINES)
        digest = self.node.forwarder.losses.all_rows()[0].request
        self.node.forwarder.losses.apply_report((EngineLoss(digest),), self.node.now)
        self.node.wait(0.3)
        self.assertEqual(len(self.node.sent), sent + 1)
        self.node.engines_tell_state(STARTED_MS)
        self.node.wait(0.3)
        self.assertEqual(len(self.node.sent), sent + 1)

    def test_losses_count_as_long_as_the_ledger_has_them(self) -> None:
        """A program that was stopped may return within the retention of its route."""
        self.end_engines(self.node, MAX_ENDED_ENGINES)
        rows = tuple(
            msgspec.structs.replace(row, age=100.0)
            for line in self.node.ledger_state.losses.lines
            for row in self.node.ledger_state.losses.of_line(line, self.node.now)
        )
        other = Node()
        for row in rows:
            other.engines.remove(row.engine_id)
        sent = len(other.sent)
        other.turn("/turn/x", BODY, session_id="s")
        other.ledger_answers(Granted(losses=rows))
        other.engines_refuse_connections()
        self.assertEqual(len(other.sent), sent)
        self.assertEqual(other.refusal, (NOT_RUN, QUARANTINED))

    def test_requests_without_losses_cost_nothing(self) -> None:
        self.node.begin()
        exchange = next(iter(self.node.forwarder._state.exchanges.values()))
        self.assertIsNone(exchange.loss_key)
        self.assertEqual(self.node.loss_records, [])

    def call_as_stranger(self) -> None:
        self.node.call("/look/x", program_id="", session_id="")

    def end_listed(self, engine_id: str) -> None:
        """End an engine; its connections break later."""
        engine = self.node.engines.get(engine_id)
        assert engine is not None
        self.node.engines.remove(engine_id)
        self.node.forwarder.engine_ended(engine.engine, self.node.now)

    def end_under_stranger(self) -> None:
        self.end_listed(self.node.engine_of())
        self.node.engine_breaks()
        self.node.wait(0.02)

    def test_strangers_whose_engines_end_together_are_served(self) -> None:
        """Guards against a common request that is refused since several engines end at once."""
        self.call_as_stranger()
        self.node.engine_answers()
        self.end_together()
        sent = len(self.node.sent)
        self.call_as_stranger()
        self.assertEqual(len(self.node.sent), sent + 1)

    def test_strangers_whose_request_nobody_answered_are_not_sent_on(self) -> None:
        """Guards against attempts at a time that count as one: four engines ended, and one more."""
        self.end_together()
        sent = len(self.node.sent)
        self.call_as_stranger()
        self.node.wait(1.1)
        self.assertEqual(len(self.node.sent), sent)
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))

    def end_together(self) -> None:
        """End the engines of more attempts at one time than may be lost."""
        first = len(self.node.sent)
        for _ in range(MAX_ENDED_ENGINES + 1):
            self.call_as_stranger()
        indexes = range(first, len(self.node.sent))
        ended = {self.node.engine_of(index) for index in indexes}
        self.assertGreaterEqual(len(ended), MAX_ENDED_ENGINES)
        self.node.wait(0.1)
        for engine_id in ended:
            self.end_listed(engine_id)
        for index in indexes:
            self.node.engine_breaks(index=index)
        self.node.wait(0.02)

    def test_strangers_are_served_as_soon_as_one_of_them_is_answered(self) -> None:
        for _ in range(2):
            self.call_as_stranger()
            self.node.wait(0.1)
            self.end_under_stranger()
        self.call_as_stranger()
        self.node.wait(1.05)
        sent = len(self.node.sent)
        for _ in range(3):
            self.call_as_stranger()
        self.assertEqual(len(self.node.sent), sent)
        self.node.engine_answers()
        self.node.wait(0.02)
        self.assertEqual(len(self.node.sent), sent + 3)

    def test_a_node_that_starts_waits_for_the_losses_of_strangers(self) -> None:
        """Guards against a fourth engine at a node that was told of no loss (soak 954866692)."""
        for _ in range(MAX_ENDED_ENGINES):
            self.call_as_stranger()
            self.node.wait(1.1)
            self.end_under_stranger()
        other = Node(self.node.ledger_state)
        other.now = self.node.now
        for state in list(other.engines.all()):
            if self.node.engines.get(state.engine.engine_id) is None:
                other.engines.remove(state.engine.engine_id)
                other.forwarder.engine_ended(state.engine, other.now)
        other.forwarder.loss_synchronization.start(other.now)
        other.call("/look/x", program_id="", session_id="")
        self.assertEqual(other.sent, [])
        other.take(other.ledger.take_leader(STORAGE.replica, LEADER, other.now))
        other.forwarder.loss_synchronization.tick(other.now)
        other.take(other.forwarder.tick(other.now))
        self.assertEqual(other.sent, [])
        self.assertEqual(other.refusal, (NOT_RUN, QUARANTINED))

    def test_an_answer_to_a_stranger_that_was_sent_before_the_losses_clears_them(self) -> None:
        self.call_as_stranger()
        for seconds in (0.1, 1.05):
            self.call_as_stranger()
            self.node.wait(seconds)
            self.end_under_stranger()
        self.node.engine_answers(index=0)
        sent = len(self.node.sent)
        self.call_as_stranger()
        self.assertEqual(len(self.node.sent), sent + 1)

    def test_a_suspect_that_is_left_at_once_is_told_with_its_engine(self) -> None:
        self.end_engines(self.node, 1)
        self.node.wait(3.0)
        request = self.node.begin()
        before = len(self.node.loss_records)
        self.node.leave(request)
        told = self.node.loss_rows()[before:]
        self.assertEqual([row.engine_id for row in told], [self.node.engine_of()])

    def test_attempts_in_turn_of_a_request_without_a_program_are_bounded(self) -> None:
        for _ in range(3 * MAX_ENDED_ENGINES):
            sent = len(self.node.sent)
            self.call_as_stranger()
            self.node.wait(1.2)
            if len(self.node.sent) > sent:
                self.end_under_stranger()
        self.assertEqual(len(self.node.sent), MAX_ENDED_ENGINES)
        self.assertEqual(self.node.refusal, (NOT_RUN, QUARANTINED))

    def test_a_silent_ledger_delays_a_send_by_a_bounded_time(self) -> None:
        self.node.is_ledger_silent = True
        self.node.call()
        self.node.engine_breaks()
        self.assertEqual(len(self.node.sent), 1)
        self.node.wait(LEDGER_WAIT_SECONDS + 0.02)
        self.assertEqual(len(self.node.sent), 2)

    def test_the_third_send_goes_to_an_engine_without_another_such_request(self) -> None:
        node = Node(engines=8)
        bodies = (b"one", b"two", b"three")
        for body in bodies:
            self.end_engines(node, MAX_ENDED_ENGINES - 1, body)
        sent = len(node.sent)
        for body in bodies[:2]:
            node.begin(body=body)
            node.wait(1.1)
        self.assertEqual(len(node.sent), sent + 2)
        self.assertNotEqual(node.engine_of(sent), node.engine_of(sent + 1))

    def test_the_third_send_goes_to_the_engine_with_the_fewest_requests(self) -> None:
        node = Node(engines=4)
        self.end_engines(node, MAX_ENDED_ENGINES - 1)
        node.begin(body=b"plain")
        taken = node.engine_of()
        for _ in range(3):
            node.begin(body=b"plain", prompt_prefix="aa:90", token_usage="90,50")
        left = {state.engine.engine_id: state.load for state in node.engines.all()}
        least = min(load for name, load in left.items() if name.startswith("models"))
        node.begin()
        node.wait(1.1)
        self.assertEqual(left[node.engine_of()], least)
        self.assertIn(taken, left)


if __name__ == "__main__":
    unittest.main()
