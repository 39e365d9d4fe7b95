"""Many callers that read slowly: the slowest are cut off before they fill the memory."""

from __future__ import annotations

import unittest

from yokeline.node.unsent_bound import LOOK_SHARE, UnsentBound

BOUND = 1000


class _Reader:
    def __init__(self, unsent: int) -> None:
        self.unsent = unsent
        self.reasons: list[str] = []

    def unsent_bytes(self) -> int:
        return 0 if self.reasons else self.unsent

    def cut_off(self, reason: str) -> None:
        self.reasons.append(reason)


class Bounds(unittest.TestCase):
    def test_within_the_bound_nobody_is_cut_off(self) -> None:
        bound = UnsentBound(BOUND)
        readers = [_Reader(400), _Reader(600)]
        bound.note_written(BOUND, readers)
        self.assertEqual([reader.reasons for reader in readers], [[], []])

    def test_those_that_left_the_most_unread_go_first_and_no_more_than_must(self) -> None:
        bound = UnsentBound(BOUND)
        readers = [_Reader(size) for size in (300, 700, 500, 100)]
        bound.note_written(BOUND, readers)
        self.assertEqual([len(reader.reasons) for reader in readers], [0, 1, 0, 0])
        self.assertEqual(bound.cut_off, 1)

    def test_it_looks_only_after_a_part_of_the_bound_was_written(self) -> None:
        bound = UnsentBound(BOUND)
        slow = _Reader(2 * BOUND)
        part = int(LOOK_SHARE * BOUND)
        bound.note_written(part - 1, [slow])
        self.assertEqual(slow.reasons, [])
        bound.note_written(1, [slow])
        self.assertEqual(len(slow.reasons), 1)

    def test_however_many_read_slowly_the_rest_stays_within_the_bound(self) -> None:
        bound = UnsentBound(BOUND)
        readers = [_Reader(0) for _ in range(50)]
        for step in range(2000):
            reader = readers[step * 7 % len(readers)]
            if not reader.reasons:
                reader.unsent += 13
            bound.note_written(13, readers)
            unsent = sum(item.unsent_bytes() for item in readers)
            self.assertLessEqual(unsent, BOUND * (1 + LOOK_SHARE) + 13)


if __name__ == "__main__":
    unittest.main()
