from __future__ import annotations

import unittest

from yokeline.scheduling.engine_profiles import (
    MAX_SAMPLES,
    SAMPLE_SECONDS,
    SILENCE_FADE_SECONDS,
    SPELL_FADE_SECONDS,
    UNKNOWN_PACE,
    EngineProfile,
    Pace,
    merge_paces,
    typical_pace,
)

PACE = 0.02


class Profiles(unittest.TestCase):
    def setUp(self) -> None:
        self.profile = EngineProfile()
        self.now = 100.0

    def serve(self, turns: int, *, slowdown: float = 1.0, every: float = 1.0) -> None:
        for _ in range(turns):
            self.now += every
            self.profile.note_pace(slowdown * PACE, self.now)

    def baseline(self) -> float:
        return self.profile.pace(self.now).seconds / PACE

    def test_one_turn_says_something(self) -> None:
        self.assertEqual(self.profile.pace(self.now), UNKNOWN_PACE)
        self.serve(1, slowdown=1.7)
        self.assertAlmostEqual(self.baseline(), 1.7)
        self.assertAlmostEqual(self.profile.pace(self.now).samples, 1.0)

    def test_a_spell_of_a_busy_engine_does_not_bend_its_lasting_pace(self) -> None:
        self.serve(200, every=0.03)
        self.serve(70, slowdown=2.5, every=0.03)
        self.assertAlmostEqual(self.baseline(), 1.0, delta=0.01)
        self.assertGreater(self.profile.spell(self.now), 2.0)

    def test_a_lasting_speed_is_told_as_no_spell(self) -> None:
        self.serve(20, slowdown=1.7)
        self.assertAlmostEqual(self.profile.spell(self.now), 1.0, delta=0.01)

    def test_a_spell_fades_in_moments(self) -> None:
        self.serve(15)
        self.serve(4, slowdown=2.5)
        self.assertGreater(self.profile.spell(self.now), 2.0)
        self.now += 3 * SPELL_FADE_SECONDS
        self.assertLess(self.profile.spell(self.now), 1.1)

    def test_one_wild_turn_is_no_spell(self) -> None:
        self.serve(15)
        self.serve(1, slowdown=200.0)
        self.assertEqual(self.profile.spell(self.now), 1.0)

    def test_an_engine_that_changes_for_good_is_followed(self) -> None:
        self.serve(30, every=0.25)
        self.serve(30, slowdown=3.0, every=0.25)
        self.assertAlmostEqual(self.baseline(), 3.0, delta=0.1)
        self.serve(30, every=0.25)
        self.assertAlmostEqual(self.baseline(), 1.0, delta=0.1)

    def test_turns_that_end_together_count_as_one_sample(self) -> None:
        self.serve(10, every=SAMPLE_SECONDS / 100)
        self.assertAlmostEqual(self.profile.pace(self.now).samples, 1.0)

    def test_what_was_seen_is_bounded_and_weighs_less_after_silence(self) -> None:
        self.serve(10 * MAX_SAMPLES)
        self.assertAlmostEqual(self.profile.pace(self.now).samples, MAX_SAMPLES)
        self.now += 2 * SILENCE_FADE_SECONDS
        self.assertLess(self.profile.pace(self.now).samples, MAX_SAMPLES / 6)

    def test_failures_are_kept_apart(self) -> None:
        self.profile.note_outcome(self.now, failed=True)
        self.assertGreater(self.profile.failure_rate.value(self.now), 0.1)
        self.assertEqual(self.profile.pace(self.now), UNKNOWN_PACE)


class Merging(unittest.TestCase):
    def test_what_has_seen_more_counts_more(self) -> None:
        result = merge_paces(Pace(1.0, 1.0), Pace(2.0, 10.0), 1.0)
        self.assertGreater(result, 1.7)
        self.assertLess(result, 2.0)

    def test_without_knowledge_an_engine_is_usual(self) -> None:
        self.assertAlmostEqual(merge_paces(UNKNOWN_PACE, UNKNOWN_PACE, 3.0), 3.0)

    def test_engines_that_differ_by_noise_alone_are_alike(self) -> None:
        paces = [
            merge_paces(UNKNOWN_PACE, Pace(1 + noise, 15.0), 1.0) for noise in (-0.03, 0.0, 0.04)
        ]
        self.assertEqual(paces, [1.0, 1.0, 1.0])
        self.assertGreater(merge_paces(UNKNOWN_PACE, Pace(1.3, 15.0), 1.0), 1.25)

    def test_the_usual_pace_is_the_median_of_what_is_known(self) -> None:
        self.assertEqual(typical_pace([0.7, 0.0, 0.7, 1.7]), 0.7)
        self.assertEqual(typical_pace([]), 0.0)
