from __future__ import annotations

import random
import unittest

from yokeline.scheduling.program_sizes import MIN_PROGRAMS, OUTLIER_FACTOR, SizeEstimate


def estimate_from(*requests: int, seconds: float = 2.0) -> SizeEstimate:
    estimate = SizeEstimate()
    for number in requests:
        estimate.observe(number, seconds)
    return estimate


class Sizes(unittest.TestCase):
    def test_nothing_is_known_until_some_programs_have_ended(self) -> None:
        self.assertIsNone(estimate_from(*[11] * (MIN_PROGRAMS - 1)).size)
        size = estimate_from(*[11] * MIN_PROGRAMS).size
        assert size is not None
        self.assertEqual((size.requests, size.deviation, size.seconds), (11.0, 0.0, 2.0))
        self.assertEqual(size.rate, 5.5)

    def test_mean_and_deviation_follow_what_programs_ask_for(self) -> None:
        source = random.Random(3)
        size = estimate_from(*(source.randint(6, 16) for _ in range(400))).size
        assert size is not None
        self.assertAlmostEqual(size.requests, 11.0, delta=1.5)
        self.assertAlmostEqual(size.deviation, 2.7, delta=1.0)

    def test_it_follows_a_kind_that_has_changed(self) -> None:
        size = estimate_from(*[4] * 100, *[20] * 150).size
        assert size is not None
        self.assertGreater(size.requests, 19.0)

    def test_programs_that_loop_do_not_distort_it_neither_at_first_nor_later(self) -> None:
        first = estimate_from(1000, 1000, 10, 10, 10).size
        assert first is not None
        self.assertLessEqual(first.requests, 10 * (3 + 2 * OUTLIER_FACTOR) / 5)
        later = estimate_from(*([10] * 19 + [5000]) * 20).size
        assert later is not None
        self.assertLess(later.requests, 13.0)

    def test_programs_that_send_all_at_once_have_a_pace(self) -> None:
        size = estimate_from(*[5] * MIN_PROGRAMS, seconds=0.0).size
        assert size is not None
        self.assertLess(size.rate, 1000.0)
