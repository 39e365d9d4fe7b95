"""The bound on what all buffers of a process take together."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable, Iterator

from yokeline.node.memory_budget import (
    LARGE_REQUESTS_SHARE,
    SMALL_REQUEST_BYTES,
    STALLED_SECONDS,
    Buffer,
    BufferKind,
    MemoryBudget,
)

BOUND = 1000


class Holder:
    """Holds buffers of given sizes, and notes which were freed and why.

    Attributes:
        sizes: Bytes of each buffer by name; freed ones are taken out.
        reasons: Why buffers were freed, in that order.
    """

    def __init__(self, kind: BufferKind = BufferKind.ANSWER) -> None:
        self.fixed = 0
        self.sizes: dict[str, int] = {}
        self.kinds: dict[str, BufferKind] = {}
        self.moved_at: dict[str, float] = {}
        self.freed: list[str] = []
        self.kind = kind

    def fixed_bytes(self) -> int:
        return self.fixed

    def buffers(self) -> Iterator[Buffer]:
        for name, size in self.sizes.items():
            moved_at = self.moved_at.get(name, time.monotonic())
            yield Buffer(self.kinds.get(name, self.kind), size, moved_at, self.freeing(name))

    def freeing(self, name: str) -> Callable[[str], None]:
        def free(reason: str) -> None:
            del self.sizes[name]
            self.freed.append(name)

        return free


def budget_of(*holders: Holder, bound: int = BOUND) -> MemoryBudget:
    budget = MemoryBudget(bound)
    for holder in holders:
        budget.add_source(holder)
    return budget


class Budgets(unittest.TestCase):
    def test_within_the_bound_nothing_is_freed(self) -> None:
        holder = Holder()
        holder.sizes = {"a": 400, "b": 600}
        budget_of(holder).note_growth(BOUND)
        self.assertEqual(holder.freed, [])

    def test_the_largest_goes_first_and_no_more_than_must(self) -> None:
        holder = Holder()
        holder.sizes = {"a": 300, "b": 700, "c": 500, "d": 100}
        budget = budget_of(holder)
        budget.note_growth(BOUND)
        self.assertEqual(holder.freed, ["b"])
        self.assertEqual(budget.freed[BufferKind.ANSWER], 1)
        self.assertEqual(budget.held_bytes, 900)

    def test_what_is_whole_or_has_ended_does_not_count(self) -> None:
        holder = Holder(BufferKind.REQUEST)
        budget = budget_of(holder)
        for number in range(10):
            holder.sizes = {f"message {number}": 900}
            budget.note_growth(900)
        self.assertEqual(holder.freed, [])

    def test_however_many_grow_all_stay_within_the_bound(self) -> None:
        holder = Holder()
        holder.sizes = {str(number): 0 for number in range(50)}
        budget = budget_of(holder)
        for step in range(2000):
            name = str(step * 7 % 50)
            if name in holder.sizes:
                holder.sizes[name] += 13
            budget.note_growth(13)
            self.assertLessEqual(sum(holder.sizes.values()), BOUND * (1 + 1 / 64) + 13)

    def test_it_looks_only_after_half_of_the_free_memory_may_be_taken(self) -> None:
        holder = Holder()
        holder.sizes = {"slow": 2 * BOUND}
        budget = budget_of(holder)
        budget.note_growth(BOUND // 2 - 1)
        self.assertEqual(holder.freed, [])
        budget.note_growth(1)
        self.assertEqual(holder.freed, ["slow"])

    def test_what_has_stalled_goes_before_larger_ones_that_move(self) -> None:
        holder = Holder()
        holder.sizes = {"moving": 600, "stalled answer": 200, "stalled request": 300}
        holder.kinds = dict.fromkeys(("moving", "stalled request"), BufferKind.REQUEST)
        long_ago = time.monotonic() - 2 * STALLED_SECONDS
        holder.moved_at = {"stalled answer": long_ago, "stalled request": long_ago}
        budget = budget_of(holder)
        budget.note_growth(BOUND)
        self.assertEqual(holder.freed, ["stalled request"])
        holder.sizes["new"] = 500
        budget.note_growth(BOUND)
        self.assertEqual(holder.freed, ["stalled request", "stalled answer", "moving"])

    def test_requests_that_were_sent_nowhere_go_before_answers_and_frames(self) -> None:
        holder = Holder()
        holder.sizes = {kind.value: 300 for kind in BufferKind}
        holder.kinds = {kind.value: kind for kind in BufferKind}
        budget = budget_of(holder, bound=650)
        budget.note_growth(BOUND)
        self.assertEqual(holder.freed[:2], [BufferKind.CACHE.value, BufferKind.REQUEST.value])
        self.assertIn(BufferKind.FRAME.value, holder.sizes)

    def test_buffers_of_one_kind_stay_within_a_bound_of_their_own(self) -> None:
        holder = Holder()
        holder.sizes = {"a": 60, "b": 80, "answer": 500}
        holder.kinds = {"a": BufferKind.RESPONSE, "b": BufferKind.RESPONSE}
        budget = MemoryBudget(BOUND, {BufferKind.RESPONSE: 100})
        budget.add_source(holder)
        budget.note_growth(49)
        self.assertEqual(holder.freed, [])
        budget.note_growth(1)
        self.assertEqual(holder.freed, ["b"])
        self.assertEqual(budget.held_bytes, 560)

    def test_free_memory_is_given_back_once_much_less_is_held(self) -> None:
        returned: list[int] = []
        holder = Holder()
        budget = MemoryBudget(BOUND, return_memory=lambda: returned.append(budget.held_bytes))
        budget.add_source(holder)
        for size in (800, 760, 700):
            holder.sizes = {"a": size}
            budget.look()
        self.assertEqual(returned, [])
        holder.sizes = {"a": 600}
        budget.look()
        self.assertEqual(returned, [600])
        holder.sizes = {"a": 550}
        budget.look()
        self.assertEqual(returned, [600])

    def test_small_requests_are_admitted_beside_large_ones(self) -> None:
        holder = Holder()
        bound = 100 * SMALL_REQUEST_BYTES
        budget = budget_of(holder, bound=bound)
        holder.fixed = int(LARGE_REQUESTS_SHARE * bound)
        self.assertTrue(budget.admits(2 * SMALL_REQUEST_BYTES))
        holder.fixed += 2 * SMALL_REQUEST_BYTES
        self.assertFalse(budget.admits(2 * SMALL_REQUEST_BYTES))
        self.assertFalse(budget.has_room_for(2 * SMALL_REQUEST_BYTES))
        self.assertTrue(budget.admits(SMALL_REQUEST_BYTES))
        holder.fixed = bound + 1
        budget.look()
        self.assertFalse(budget.admits(1))

    def test_requests_are_admitted_again_once_others_have_ended(self) -> None:
        holder = Holder()
        budget = budget_of(holder)
        holder.fixed = BOUND + 1
        budget.look()
        self.assertFalse(budget.admits(1))
        holder.fixed = 0
        self.assertTrue(budget.admits(1))


if __name__ == "__main__":
    unittest.main()
