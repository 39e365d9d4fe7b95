"""One app reset a third of its calls for 5 s, and 37 programs failed by a call.

Each of 57 nodes learnt of it from its own calls alone, one or two a second at that app, and a
failure weighed no more for a call that ends its program than for one that is simply sent again.
"""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.messages import (
    NOT_COUNTED,
    EngineLoad,
    EngineTurns,
    LoadReport,
    NodeTurns,
    TurnServed,
)
from yokeline.ledger.operations import Granted
from yokeline.ledger.turns_under_way import TurnsUnderWay


def failing(percent: int) -> EngineTurns:
    return EngineTurns("apps-0", NOT_COUNTED, percent, 100)


class ToldByTheLeader(unittest.TestCase):
    def setUp(self) -> None:
        self.played = Played()

    def hear(self, *told: EngineTurns) -> None:
        self.played.turn()
        self.played.ledger_answers(Granted(), *told)

    def crowd(self, running: int) -> None:
        """Let another node report what the second app has under way."""
        loads = (EngineLoad("apps-1", running),)
        report = LoadReport(node=NodeName("edge-9"), sequence=1, loads=loads)
        self.played.engines.apply_node_report(report, self.played.now)

    def test_a_call_that_may_not_be_repeated_avoids_an_app_that_fails_others(self) -> None:
        self.hear(failing(30))
        self.crowd(3)
        self.played.request("/fix/x")
        self.assertEqual(self.played.engine_of(), "apps-1")

    def test_one_that_may_be_repeated_goes_on_trying_it(self) -> None:
        self.hear(failing(30))
        self.crowd(7)
        self.played.request("/look/x")
        self.assertEqual(self.played.engine_of(), "apps-0")

    def test_what_is_told_of_an_app_leaves_its_load_to_the_reports(self) -> None:
        self.crowd(3)
        self.hear(EngineTurns("apps-1", NOT_COUNTED, 0, 100))
        state = self.played.engines.get("apps-1")
        assert state is not None
        self.assertEqual(state.load, 3)


class Telling(unittest.TestCase):
    def test_a_failed_call_is_told_at_once_and_a_served_one_with_the_next_report(self) -> None:
        played = Played()
        played.turn()
        played.ledger_answers(Granted())
        played.wait(0.02)
        played.request("/look/x")
        played.engine_answers()
        before = len(played.told)
        played.wait(0.02)
        self.assertEqual(len(played.told), before)
        played.request("/fix/x")
        failed = played.engine_of()
        played.engine_breaks()
        played.wait(0.02)
        served = played.told[-1].served
        self.assertEqual([item.failed for item in served], [False, True])
        self.assertEqual(served[-1], TurnServed(failed, True, 0.0, is_call=True))

    def test_the_leader_tells_failures_of_an_app_and_no_load(self) -> None:
        turns = TurnsUnderWay()
        served = tuple(TurnServed("app", number % 3 == 0, 0.0, is_call=True) for number in range(9))
        turns.take(ReplicaId("edge~1"), NodeTurns(1, (EngineLoad("model", 2),), served), 1.0)
        by_id = {item.engine_id: item for item in turns.engines(1.0)}
        self.assertEqual(by_id["app"].running, NOT_COUNTED)
        self.assertGreater(by_id["app"].failed_percent, 15)
        self.assertEqual(by_id["model"].running, 2)
