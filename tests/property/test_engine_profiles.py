"""Estimates of an engine lie within its observations, and their size is bounded."""

from __future__ import annotations

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from yokeline.scheduling.engine_profiles import (
    MAX_SAMPLES,
    MAX_SPELL_FACTOR,
    EngineProfile,
    Pace,
    merge_paces,
)

MANY = settings(derandomize=True, deadline=None, max_examples=200)
ROUNDING = 1e-9

seconds = st.floats(1e-4, 10.0)
paces = st.builds(Pace, seconds, st.floats(0.0, MAX_SAMPLES))
turns = st.lists(st.tuples(seconds, st.floats(0.0, 5.0)), min_size=1, max_size=80)
THREE_TIMES_FASTER = [(3.0, 0.0), *[(3.0, 1.0)] * 3, *[(1.0, 1.0)] * 3]


class Bounds(unittest.TestCase):
    @MANY
    @given(paces, paces, seconds)
    def test_a_merged_pace_lies_between_what_was_seen(
        self, own: Pace, told: Pace, usual: float
    ) -> None:
        known = (own.seconds, told.seconds, usual)
        result = merge_paces(own, told, usual)
        self.assertGreaterEqual(result, min(known) * (1 - ROUNDING))
        self.assertLessEqual(result, max(known) * (1 + ROUNDING))

    @MANY
    @given(turns)
    @example(THREE_TIMES_FASTER)
    def test_a_profile_lies_within_its_turns(self, observed: list[tuple[float, float]]) -> None:
        profile, now = EngineProfile(), 0.0
        for pace, pause in observed:
            now += pause
            profile.note_pace(pace, now)
        known = [pace for pace, _ in observed]
        baseline = profile.pace(now)
        self.assertGreaterEqual(baseline.seconds, min(known) * (1 - ROUNDING))
        self.assertLessEqual(baseline.seconds, max(known) * (1 + ROUNDING))
        self.assertLessEqual(baseline.samples, min(MAX_SAMPLES, len(observed)))
        self.assertLessEqual(profile.spell(now), MAX_SPELL_FACTOR)
        self.assertGreaterEqual(profile.spell(now), 1 / MAX_SPELL_FACTOR)
