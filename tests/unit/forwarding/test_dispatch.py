"""What waits for engines: looked at once, in order, and nobody is passed over who has room."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.unit.forwarding.support import Played
from yokeline.forwarding.placement import Placement
from yokeline.identifiers import NodeName
from yokeline.ledger.messages import EngineLoad, LoadReport
from yokeline.ledger.operations import Granted


class Looks(unittest.TestCase):
    def fill(self, played: Played, running: int) -> None:
        """Let another node report what every model engine has under way."""
        loads = tuple(EngineLoad(f"models-{number}", running) for number in range(2))
        report = LoadReport(node=NodeName("edge-9"), sequence=1, loads=loads, waiting={})
        played.engines.apply_node_report(report, played.now)

    def turn(self, played: Played, name: str, *, begun: bool, finish_ms: str) -> None:
        played.turn(program_id=name, session_id=name, finish_ms=finish_ms)
        played.ledger_answers(Granted(spent=10 if begun else 0))

    def test_full_engines_are_looked_at_once_however_many_requests_wait(self) -> None:
        played = Played(slots=10)
        self.fill(played, 20)
        for number in range(30):
            self.turn(played, f"p{number}", begun=number % 2 == 0, finish_ms="3000")
        self.assertEqual(played.sent, [])
        with patch.object(
            Placement, "choose", autospec=True, side_effect=Placement.choose
        ) as choose:
            played.take(played.forwarder.tick(played.now))
        self.assertEqual(choose.call_count, 1)

    def test_a_program_that_has_begun_finds_room_behind_one_that_has_not(self) -> None:
        """Engines keep places for programs that have begun; those are not full for all."""
        played = Played(slots=10)
        self.fill(played, 10)
        self.turn(played, "new", begun=False, finish_ms="3000")
        self.assertEqual(played.sent, [])
        self.turn(played, "late", begun=True, finish_ms="-1")
        self.assertEqual(
            [dict(item.header_items)["x-yokeline-program-id"] for item in played.sent], ["late"]
        )

    def test_what_waits_is_sent_in_the_order_of_urgency(self) -> None:
        played = Played(engines_per_pool=1, slots=10)
        self.fill(played, 20)
        for name, finish in (("c", "3000"), ("a", "1000"), ("b", "2000")):
            self.turn(played, name, begun=True, finish_ms=finish)
        played.engines.apply_node_report(
            LoadReport(node=NodeName("edge-9"), sequence=2, loads=(), waiting={}), played.now
        )
        played.take(played.forwarder.tick(played.now))
        order = [dict(item.header_items)["x-yokeline-program-id"] for item in played.sent]
        self.assertEqual(order, ["a", "b", "c"])
