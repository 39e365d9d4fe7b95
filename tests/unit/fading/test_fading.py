from __future__ import annotations

import math
import unittest

from yokeline.fading import FadingAverage


class FadingAverages(unittest.TestCase):
    def test_nothing_is_known_before_the_first_observation(self) -> None:
        average = FadingAverage(rest=1.0, weight=0.5, fade_seconds=4.0)
        self.assertEqual(average.value(1000.0), 1.0)

    def test_observations_move_it_by_their_weight(self) -> None:
        average = FadingAverage(rest=1.0, weight=0.5, fade_seconds=4.0)
        average.observe(3.0, 10.0)
        self.assertEqual(average.value(10.0), 2.0)
        average.observe(3.0, 10.0)
        self.assertEqual(average.value(10.0), 2.5)

    def test_it_fades_to_its_resting_value(self) -> None:
        average = FadingAverage(rest=1.0, weight=0.5, fade_seconds=4.0)
        average.observe(3.0, 10.0)
        self.assertAlmostEqual(average.value(14.0), 1.0 + math.exp(-1.0))
        average.observe(1.0, 14.0)
        self.assertAlmostEqual(average.value(14.0), 1.0 + 0.5 * math.exp(-1.0))
