"""A short run of the fault soak with a seed of its own; long ones are started by hand."""

from __future__ import annotations

import unittest

from tests.soak.__main__ import SoakPlan, play

SECONDS = 45.0
SEED = 20261202
LEAST_FAULTS = 15
LEAST_ANSWERS = 50
"""Far below what a machine with other work reaches (45 faults, 880 answers in 40 s): without
faults or answers the run would show nothing."""


class ShortSoak(unittest.TestCase):
    def test_promises_hold_while_faults_overlap(self) -> None:
        result = play(SoakPlan(seed=SEED, seconds=SECONDS))
        self.assertEqual(result.broken, [], "\n".join(result.faults))
        self.assertGreaterEqual(len(result.faults), LEAST_FAULTS)
        answered = sum(count for name, count in result.outcomes.items() if name.endswith(" 200"))
        self.assertGreaterEqual(answered, LEAST_ANSWERS)
