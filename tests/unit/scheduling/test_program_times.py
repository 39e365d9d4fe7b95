"""Tests of the learned share of time limits and of the correction of expected waits."""

from __future__ import annotations

import random
import unittest

from yokeline.scheduling.program_times import (
    INITIAL_SHARE,
    MAX_PROGRAMS,
    MAX_SHARE,
    MIN_SHARE,
    ProgramTimes,
)
from yokeline.scheduling.wait_correction import MAX_RATIO, WaitCorrection

TIME_LIMIT = 2.0


def learned_share(share: float, stay_probability: float, programs: int = 400) -> float:
    """Return the share learned from programs some of which continue at other nodes."""
    times, source, now = ProgramTimes(), random.Random(1), 0.0
    for number in range(programs):
        name = f"p{number}"
        times.begin(name, "route", TIME_LIMIT, now)
        taken = TIME_LIMIT * source.gauss(share, 0.05)
        moves_at = 1.0 if source.random() < stay_probability else source.random()
        times.answered(name, now + moves_at * taken)
        now += 2 * TIME_LIMIT
    return times.share("route")


class Shares(unittest.TestCase):
    def test_before_anything_was_seen_the_start_holds(self) -> None:
        self.assertEqual(ProgramTimes().share("route"), INITIAL_SHARE)

    def test_it_is_learned_where_programs_stay(self) -> None:
        self.assertAlmostEqual(learned_share(0.5, stay_probability=1.0), 0.55, delta=0.08)

    def test_it_is_learned_where_most_programs_end_at_other_nodes(self) -> None:
        for stay_probability in (0.34, 0.5, 0.75):
            self.assertAlmostEqual(
                learned_share(0.5, stay_probability=stay_probability), 0.5, delta=0.1
            )

    def test_it_stays_within_bounds(self) -> None:
        self.assertLessEqual(learned_share(3.0, stay_probability=1.0), MAX_SHARE)
        self.assertGreaterEqual(learned_share(0.01, stay_probability=1.0), MIN_SHARE)

    def test_a_program_under_way_does_not_count_yet(self) -> None:
        times = ProgramTimes()
        times.begin("p", "route", TIME_LIMIT, 0.0)
        times.answered("p", 0.1)
        times.begin("q", "route", TIME_LIMIT, 0.5)
        self.assertEqual(times.share("route"), INITIAL_SHARE)

    def test_what_it_follows_is_bounded(self) -> None:
        times = ProgramTimes()
        for number in range(MAX_PROGRAMS + 10):
            times.begin(f"p{number}", "route", TIME_LIMIT, 0.0)
        self.assertEqual(len(times._tracked), MAX_PROGRAMS)

    def test_without_a_time_given_nothing_is_learned(self) -> None:
        times = ProgramTimes()
        times.begin("p", "route", 0.0, 0.0)
        times.answered("p", 1.0)
        self.assertEqual(times.share("route"), INITIAL_SHARE)


class Errors(unittest.TestCase):
    def test_waits_that_are_twice_as_long_are_learned(self) -> None:
        errors = WaitCorrection()
        for _ in range(60):
            errors.note("pool", 0.1, 0.2, got_place=True)
        self.assertAlmostEqual(errors.ratio("pool"), 2.0, delta=0.05)

    def test_a_wait_in_vain_lowers_nothing(self) -> None:
        errors = WaitCorrection()
        errors.note("pool", 0.2, 0.01, got_place=False)
        self.assertEqual(errors.ratio("pool"), 1.0)

    def test_they_are_bounded_and_short_waits_tell_nothing(self) -> None:
        errors = WaitCorrection()
        for _ in range(100):
            errors.note("pool", 0.1, 100.0, got_place=False)
        self.assertLessEqual(errors.ratio("pool"), MAX_RATIO)
        errors.note("other", 0.001, 1.0, got_place=True)
        self.assertEqual(errors.ratio("other"), 1.0)
