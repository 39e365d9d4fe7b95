"""Turns whose texts the leader's memory cannot keep are refused before they run."""

from __future__ import annotations

import unittest

from yokeline.ledger.kept_text_budget import (
    ALL_TEXTS_SHARE,
    LARGE_TEXT_BYTES,
    LARGE_TEXTS_SHARE,
    MAX_TURN_SECONDS,
    MEBIBYTE,
    KeptTextBudget,
)
from yokeline.ledger.operations import KeptTurn, NoRoom, Reserve, Settle, SideReport
from yokeline.ledger.state import LedgerCommand, LedgerState

MEMORY = 120 * MEBIBYTE
LARGE = 4 * MEBIBYTE


def reserve(name: str, size: int) -> Reserve:
    return Reserve(request_id=name, program=name, side=SideReport(line=name, text_bytes=size))


def settle(name: str, size: int) -> Settle:
    turn = KeptTurn(turn_id=name, previous="", text=b"t" * size, retention=60.0)
    return Settle(request_id=name, program=name, turn=turn)


class Budgets(unittest.TestCase):
    def setUp(self) -> None:
        self.state = LedgerState()
        self.budget = KeptTextBudget(MEMORY)
        self.now = 0.0

    def is_admitted(self, name: str, size: int) -> bool:
        refused, _ = self.budget.refusal(reserve(name, size), self.state, self.now)
        return refused is None

    def end(self, name: str, size: int) -> None:
        operation = settle(name, size)
        self.budget.note_ended(operation)
        self.state.transition_apply(LedgerCommand(time=self.now, operations=(operation,)))

    def test_large_texts_fill_their_share_and_no_more(self) -> None:
        admitted = 0
        while self.is_admitted(f"turn-{admitted}", LARGE):
            admitted += 1
        self.assertEqual(admitted, int(LARGE_TEXTS_SHARE * MEMORY) // LARGE)
        for number in range(admitted):
            self.end(f"turn-{number}", LARGE)
        self.now += 10.0
        self.assertFalse(self.is_admitted("another", LARGE))
        self.assertGreater(self.budget.refused, 0)

    def test_small_texts_are_kept_beside_large_ones(self) -> None:
        for number in range(int(LARGE_TEXTS_SHARE * MEMORY) // LARGE):
            self.assertTrue(self.is_admitted(f"turn-{number}", LARGE))
        self.assertFalse(self.is_admitted("large", LARGE))
        self.assertTrue(self.is_admitted("small", LARGE_TEXT_BYTES))
        admitted = 0
        while self.is_admitted(f"small-{admitted}", LARGE_TEXT_BYTES):
            admitted += 1
        self.assertLessEqual(self.budget._admitted_bytes, ALL_TEXTS_SHARE * MEMORY)

    def test_a_turn_that_keeps_nothing_gives_its_share_back(self) -> None:
        while self.is_admitted(f"turn-{self.budget._admitted_bytes}", LARGE):
            pass
        self.budget.note_ended(Settle(request_id="turn-0"))
        self.assertTrue(self.is_admitted("next", LARGE))

    def test_turns_that_never_end_no_longer_count_after_a_time(self) -> None:
        while self.is_admitted(f"turn-{self.budget._admitted_bytes}", LARGE):
            pass
        self.now = MAX_TURN_SECONDS + 1.0
        self.assertTrue(self.is_admitted("next", LARGE))

    def test_a_duplicate_counts_once(self) -> None:
        for _ in range(100):
            self.assertTrue(self.is_admitted("turn", LARGE))

    def test_turns_without_a_size_and_nodes_without_a_bound_refuse_nothing(self) -> None:
        unbound = KeptTextBudget(0.0)
        for number in range(100):
            refused, _ = unbound.refusal(reserve(f"t{number}", LARGE), self.state, 0.0)
            self.assertIsNone(refused)
            refused, _ = self.budget.refusal(Reserve(request_id="r"), self.state, 0.0)
            self.assertIsNone(refused)

    def test_a_refusal_is_told_with_a_time_to_return_and_at_most_a_line_a_second(self) -> None:
        lines = 0
        while self.is_admitted(f"turn-{self.budget._admitted_bytes}", LARGE):
            pass
        for step in range(100):
            self.now = 0.01 * step
            refused, logged = self.budget.refusal(reserve("x", LARGE), self.state, self.now)
            assert isinstance(refused, NoRoom)
            self.assertGreater(refused.retry_after, 0.0)
            lines += len(logged)
        self.assertLessEqual(lines, 1)


if __name__ == "__main__":
    unittest.main()
