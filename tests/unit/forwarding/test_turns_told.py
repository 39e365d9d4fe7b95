"""Engines chosen by what the ledger's leader knows of the turns of all nodes."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.forwarding.engines import LEADER_REPORT_TTL_SECONDS
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import (
    PACE_UNIT_SECONDS,
    EngineLoad,
    EngineTurns,
    LoadReport,
    TurnServed,
)
from yokeline.ledger.node_reports import NODE_SILENCE_SECONDS
from yokeline.ledger.operations import Granted, Settle


def told(
    engine_id: str, running: int, *, failed: float = 0.0, slowness: float = 1.0
) -> EngineTurns:
    return EngineTurns(engine_id, running, round(100 * failed), round(100 * slowness))


def paced(engine_id: str, running: int, seconds: float) -> EngineTurns:
    pace = round(seconds / PACE_UNIT_SECONDS)
    return EngineTurns(engine_id, running, 0, 100, pace=pace, samples=10)


class Told(unittest.TestCase):
    def test_the_answer_to_a_reservation_decides_over_older_reports(self) -> None:
        played = Played()
        loads = (EngineLoad("models-1", 3),)
        report = LoadReport(node=NodeName("other"), sequence=1, loads=loads)
        played.engines.apply_node_report(report, played.now)
        played.turn()
        played.ledger_answers(Granted(), told("models-0", 2), told("models-1", 0))
        self.assertEqual(played.engine_of(), "models-1")

    def test_without_news_of_the_leader_reports_count_again(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(Granted(), told("models-0", 3), told("models-1", 0))
        played.wait(LEADER_REPORT_TTL_SECONDS + 0.1)
        loads = (EngineLoad("models-1", 3),)
        report = LoadReport(node=NodeName("other"), sequence=1, loads=loads)
        played.engines.apply_node_report(report, played.now)
        played.turn()
        played.ledger_answers(Granted())
        self.assertEqual(played.engine_of(), "models-0")

    def test_an_engine_that_failed_other_nodes_is_avoided(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(
            Granted(), told("models-0", 0, failed=0.6), told("models-1", 1, failed=0.0)
        )
        self.assertEqual(played.engine_of(), "models-1")

    def test_a_node_that_has_just_started_goes_by_the_told_paces(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(Granted(), paced("models-0", 0, 0.070), paced("models-1", 0, 0.028))
        self.assertEqual(played.engine_of(), "models-1")

    def test_told_paces_are_kept_while_no_leader_tells(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(Granted(), paced("models-0", 0, 0.070), paced("models-1", 0, 0.028))
        played.wait(LEADER_REPORT_TTL_SECONDS + 0.1)
        played.turn()
        played.ledger_answers(Granted(), EngineTurns("other", 0, 0, 100))
        self.assertEqual(played.engine_of(), "models-1")

    def test_the_leader_is_told_where_a_turn_runs_and_that_it_left(self) -> None:
        played = Played()
        played.turn(token_usage="100,50")
        played.ledger_answers(Granted())
        played.wait(0.02)
        self.assertEqual(played.told[-1].loads, (EngineLoad("models-0", 1),))
        played.engine_begins()
        played.engine_sends(1, 2)
        played.engine_ends()
        self.assertIsInstance(played.operations()[-1], Settle)
        self.assertEqual(played.told[-1].loads, ())
        self.assertEqual(played.told[-1].served, (TurnServed("models-0", False, 0.0),))

    def test_the_leader_is_told_that_an_engine_broke_off(self) -> None:
        played = Played()
        played.turn("/once/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1)
        played.engine_breaks()
        self.assertEqual([item.failed for item in played.told[-1].served], [True])

    def test_turns_that_go_on_are_told_again_and_again(self) -> None:
        """So a report that was lost is made good, and a node that died is told from a calm one."""
        played = Played()
        played.turn()
        played.ledger_answers(Granted())
        played.wait(0.02)
        before = len(played.told)
        played.wait(1.5 * NODE_SILENCE_SECONDS)
        again = played.told[before:]
        self.assertGreaterEqual(len(again), 4)
        self.assertEqual({item.loads for item in again}, {(EngineLoad("models-0", 1),)})

    def test_calls_of_tools_are_not_told(self) -> None:
        played = Played()
        played.request("/fix/x")
        played.engine_answers()
        played.wait(0.1)
        self.assertEqual(played.told, [])
