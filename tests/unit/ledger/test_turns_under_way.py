from __future__ import annotations

import unittest

from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    PACE_UNIT_SECONDS,
    EngineLoad,
    EngineTurns,
    NodeTurns,
    TurnServed,
)
from yokeline.ledger.node_reports import NODE_SILENCE_SECONDS
from yokeline.ledger.own_turns import MAX_UNREPORTED_OUTCOMES, REFRESH_SECONDS, OwnTurns
from yokeline.ledger.turns_under_way import (
    IDLE_ENGINE_SECONDS,
    MAX_ENGINES_REPORTED,
    PROFILE_RETENTION_SECONDS,
    SLOWNESS_DECAY_SECONDS,
    TurnsUnderWay,
)


class Turns(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = TurnsUnderWay()
        self.now = 100.0
        self.nodes = {name: OwnTurns() for name in ("n", "m")}

    def report(self, node: str = "n") -> NodeTurns:
        """Let a node report, and return the report."""
        report = self.nodes[node].take_report(self.now)
        assert report is not None
        self.turns.take(ReplicaId(node), report, self.now)
        return report

    def begin(self, request_id: str, engine_id: str, node: str = "n") -> None:
        self.nodes[node].begin(request_id, engine_id)
        self.report(node)

    def end(
        self, request_id: str, engine_id: str, *, failed: bool = False, slowness: float = 0.0
    ) -> None:
        self.nodes["n"].end(request_id, TurnServed(engine_id, failed, slowness))
        self.report()

    def engine(self, engine_id: str) -> EngineTurns:
        return {item.engine_id: item for item in self.turns.engines(self.now)}[engine_id]

    def test_turns_of_all_nodes_add_up(self) -> None:
        self.begin("a", "e")
        self.begin("b", "e", "m")
        self.begin("c", "e")
        self.end("a", "e")
        self.assertEqual(self.engine("e").running, 2)

    def test_a_resent_turn_counts_at_its_latest_engine(self) -> None:
        self.begin("a", "e")
        self.begin("a", "f")
        self.assertEqual((self.engine("e").running, self.engine("f").running), (0, 1))

    def test_duplicate_and_unknown_ends_are_ignored(self) -> None:
        self.begin("a", "e")
        for _ in range(2):
            self.end("a", "e")
        self.end("never", "e")
        self.assertEqual(self.engine("e").running, 0)

    def test_the_next_report_makes_up_for_a_lost_one(self) -> None:
        for request_id in ("a", "b", "c"):
            self.begin(request_id, "e")
        self.nodes["n"].end("a", TurnServed("e", False, 0.0))
        self.nodes["n"].take_report(self.now)  # the message is lost
        self.end("b", "e")
        self.assertEqual(self.engine("e").running, 1)

    def test_an_outdated_report_is_ignored(self) -> None:
        self.nodes["n"].begin("a", "e")
        earlier = self.nodes["n"].take_report(self.now)
        assert earlier is not None
        self.end("a", "e")
        self.turns.take(ReplicaId("n"), earlier, self.now)
        self.assertEqual(self.engine("e").running, 0)

    def test_turns_of_a_silent_node_are_dropped(self) -> None:
        self.begin("a", "e")
        self.begin("b", "e", "m")
        self.now += NODE_SILENCE_SECONDS - 0.1
        self.nodes["m"].begin("c", "e")
        self.report("m")
        self.now += 0.2
        self.assertEqual(self.engine("e").running, 2)
        self.assertEqual(len(self.turns), 2)

    def test_running_turns_are_reported_again(self) -> None:
        node = self.nodes["n"]
        self.begin("a", "e")
        self.assertIsNone(node.take_report(self.now + 0.1))
        self.now += REFRESH_SECONDS
        self.assertEqual(self.report().loads, (EngineLoad("e", 1),))

    def test_turns_are_reported_to_a_new_leader_immediately(self) -> None:
        node = self.nodes["n"]
        self.begin("a", "e")
        node.leader_changed()
        report = node.take_report(self.now)
        assert report is not None
        self.assertEqual(report.loads, (EngineLoad("e", 1),))

    def test_unreported_outcomes_are_bounded_and_dropped_ones_counted(self) -> None:
        node = self.nodes["n"]
        for number in range(MAX_UNREPORTED_OUTCOMES + 3):
            node.end(str(number), TurnServed("e", False, 0.0))
        self.assertEqual(len(self.report().served), MAX_UNREPORTED_OUTCOMES)
        self.assertEqual(node.dropped, 3)

    def test_failures_of_all_nodes_count_and_decay(self) -> None:
        for number in range(10):
            self.begin(str(number), "grey")
            self.end(str(number), "grey", failed=number % 2 == 0)
        self.assertGreater(self.engine("grey").failed_percent, 25)
        self.now += 4 * SLOWNESS_DECAY_SECONDS
        self.assertLess(self.engine("grey").failed_percent, 2)

    def test_slowness_is_reported_and_recovers(self) -> None:
        for number in range(20):
            self.end(str(number), "slow", slowness=3.0)
        self.assertGreater(self.engine("slow").slowness_percent, 250)
        for number in range(20):
            self.end(str(number), "slow", slowness=1.0)
        self.assertLess(self.engine("slow").slowness_percent, 120)

    def serve(self, engine_id: str, seconds: float, turns: int) -> None:
        """Let turns end at an engine, one per second."""
        for number in range(turns):
            self.now += 1.0
            pace = round(seconds / PACE_UNIT_SECONDS)
            self.nodes["n"].end(str(number), TurnServed(engine_id, False, 1.0, pace=pace))
            self.report()

    def test_a_long_term_pace_is_reported_with_its_samples(self) -> None:
        self.serve("slow", 0.07, 10)
        told = self.engine("slow")
        self.assertEqual((told.pace, told.samples, told.spell_percent), (7000, 10, 100))

    def test_a_temporary_slowdown_does_not_change_the_long_term_pace(self) -> None:
        self.serve("e", 0.04, 12)
        self.serve("e", 0.10, 4)
        told = self.engine("e")
        self.assertEqual((told.pace, told.spell_percent), (4000, 250))

    def test_outcomes_without_a_pace_leave_the_profile_unchanged(self) -> None:
        self.end("a", "e", slowness=2.0)
        told = self.engine("e")
        self.assertEqual((told.pace, told.samples, told.spell_percent), (0, 0, 100))

    def test_the_profile_of_a_gone_engine_is_dropped(self) -> None:
        self.serve("gone", 0.04, 5)
        self.now += PROFILE_RETENTION_SECONDS
        self.serve("e", 0.04, 1)
        self.assertEqual([item.engine_id for item in self.turns.engines(self.now)], ["e"])

    def test_a_new_leader_starts_without_profiles(self) -> None:
        self.serve("e", 0.04, 5)
        self.turns.clear()
        self.assertEqual(self.turns.engines(self.now), ())

    def test_too_many_engines_are_not_reported(self) -> None:
        for number in range(MAX_ENGINES_REPORTED + 1):
            self.begin(str(number), f"e{number}")
        self.assertEqual(self.turns.engines(self.now), ())
        self.now += IDLE_ENGINE_SECONDS + 1
        self.begin("a", "e", "m")
        self.assertEqual(len(self.turns.engines(self.now)), 1)
