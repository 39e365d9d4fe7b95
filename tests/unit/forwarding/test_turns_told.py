"""Engines chosen by what the ledger's leader knows of the turns of all nodes."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.forwarding.engines import TOLD_FRESH_SECONDS
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import (
    EngineLoad,
    EngineTurns,
    Granted,
    LoadReport,
    Settle,
    TurnBegan,
    TurnEnded,
)


def told(
    engine_id: str, running: int, *, failed: float = 0.0, slowness: float = 1.0
) -> EngineTurns:
    return EngineTurns(engine_id, running, 1000 * running, failed, slowness)


class Told(unittest.TestCase):
    def test_the_answer_to_a_reservation_decides_over_older_reports(self) -> None:
        played = Played()
        loads = (EngineLoad("models-1", 3, 0),)
        report = LoadReport(node=NodeName("other"), sequence=1, loads=loads)
        played.engines.take_report(report, played.now)
        played.turn()
        played.ledger_answers(Granted(), told("models-0", 2), told("models-1", 0))
        self.assertEqual(played.engine_of(), "models-1")

    def test_without_news_of_the_leader_reports_count_again(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(Granted(), told("models-0", 3), told("models-1", 0))
        played.wait(TOLD_FRESH_SECONDS + 0.1)
        loads = (EngineLoad("models-1", 3, 0),)
        report = LoadReport(node=NodeName("other"), sequence=1, loads=loads)
        played.engines.take_report(report, played.now)
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

    def test_the_leader_is_told_where_a_turn_runs_and_that_it_left(self) -> None:
        played = Played()
        request_id = played.turn(token_usage="100,50")
        played.ledger_answers(Granted())
        played.wait(0.02)
        self.assertEqual(played.notes, [TurnBegan(request_id, "models-0", 150)])
        played.engine_begins()
        played.engine_sends(1, 2)
        played.engine_ends()
        self.assertIsInstance(played.operations()[-1], Settle)
        ended = played.notes[-1]
        assert isinstance(ended, TurnEnded)
        self.assertEqual((ended.request_id, ended.failed), (request_id, False))

    def test_the_leader_is_told_that_an_engine_broke_off(self) -> None:
        played = Played()
        played.turn("/once/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1)
        played.engine_breaks()
        ended = played.notes[-1]
        assert isinstance(ended, TurnEnded)
        self.assertTrue(ended.failed)

    def test_calls_of_tools_are_not_told(self) -> None:
        played = Played()
        played.request("/fix/x")
        played.engine_answers()
        played.wait(0.1)
        self.assertEqual(played.notes, [])
