from __future__ import annotations

import unittest

from yokeline.ledger.messages import EngineTurns, TurnBegan, TurnEnded
from yokeline.ledger.turns_under_way import (
    FADE_SECONDS,
    FORGET_SECONDS,
    MAX_ENGINES_TOLD,
    TurnsUnderWay,
)


class Turns(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = TurnsUnderWay()
        self.now = 100.0

    def begin(self, request_id: str, engine_id: str, tokens: int = 1000) -> None:
        self.turns.take(TurnBegan(request_id, engine_id, tokens), self.now)

    def end(
        self, request_id: str, engine_id: str, *, failed: bool = False, slowness: float = 0.0
    ) -> None:
        self.turns.take(TurnEnded(request_id, engine_id, failed, slowness), self.now)

    def engine(self, engine_id: str) -> EngineTurns:
        return {item.engine_id: item for item in self.turns.engines(self.now)}[engine_id]

    def test_turns_of_all_nodes_add_up_with_their_contexts(self) -> None:
        self.begin("a", "e", 1000)
        self.begin("b", "e", 500)
        self.end("a", "e")
        self.assertEqual((self.engine("e").running, self.engine("e").tokens), (1, 500))

    def test_a_turn_that_is_sent_again_counts_where_it_is_now(self) -> None:
        self.begin("a", "e")
        self.begin("a", "f")
        self.assertEqual((self.engine("e").running, self.engine("f").running), (0, 1))

    def test_an_end_that_is_told_twice_or_of_an_unknown_turn_changes_nothing(self) -> None:
        self.begin("a", "e")
        for _ in range(2):
            self.end("a", "e")
        self.end("never", "e")
        self.assertEqual((self.engine("e").running, self.engine("e").tokens), (0, 0))

    def test_a_turn_whose_end_nobody_tells_is_forgotten(self) -> None:
        self.begin("a", "e")
        self.now += FORGET_SECONDS + 1
        self.assertEqual(self.engine("e").running, 0)
        self.assertEqual(len(self.turns), 0)

    def test_failures_of_all_nodes_count_and_fade(self) -> None:
        for number in range(10):
            self.begin(str(number), "grey")
            self.end(str(number), "grey", failed=number % 2 == 0)
        self.assertGreater(self.engine("grey").failed, 0.25)
        self.now += 4 * FADE_SECONDS
        self.assertLess(self.engine("grey").failed, 0.02)

    def test_a_slow_engine_is_told_and_forgiven(self) -> None:
        for number in range(20):
            self.end(str(number), "slow", slowness=3.0)
        self.assertGreater(self.engine("slow").slowness, 2.5)
        for number in range(20):
            self.end(str(number), "slow", slowness=1.0)
        self.assertLess(self.engine("slow").slowness, 1.2)

    def test_too_many_engines_are_not_told(self) -> None:
        for number in range(MAX_ENGINES_TOLD + 1):
            self.begin(str(number), f"e{number}")
        self.assertEqual(self.turns.engines(self.now), ())
        self.now += FORGET_SECONDS + 1
        self.begin("a", "e")
        self.assertEqual(len(self.turns.engines(self.now)), 1)
