"""A short run of the fault soak with a seed of its own; long ones are started by hand."""

from __future__ import annotations

import unittest

from tests.soak.__main__ import SoakPlan, play
from tests.soak.broken_streams import truncations
from tests.soak.client_crowds import CROWDS

SECONDS = 45.0
SEED = 20261202
CROWD_SECONDS = 20.0
CROWD_SEED = 20261205
LEAST_CROWDS = 3
LEAST_FAULTS = 25
LEAST_TRUNCATIONS = 3
LEAST_ANSWERS = 50
"""Far below what a machine with other work reaches (96 faults, 1,021 answers in 45 s): without
faults or answers the run would show nothing. Orders to evacuate a zone and disks
that refuse writes count, ten and twenty at most."""
LEAST_STOPS = 4
LEAST_CALLS_AROUND_STOPS = 100
"""Without planned stops, and calls of which an engine loses the answer around them, the check of
the calls around a planned stop shows nothing."""


class ShortSoak(unittest.TestCase):
    def test_promises_hold_while_faults_overlap(self) -> None:
        result = play(SoakPlan(seed=SEED, seconds=SECONDS))
        self.assertEqual(result.broken, [], "\n".join(result.faults))
        self.assertGreaterEqual(len(result.faults), LEAST_FAULTS)
        answered = sum(count for name, count in result.outcomes.items() if name.endswith(" 200"))
        self.assertGreaterEqual(answered, LEAST_ANSWERS)
        self.assertGreaterEqual(truncations(result.outcomes), LEAST_TRUNCATIONS)
        self.assertGreaterEqual(result.outcomes.get("planned stop", 0), LEAST_STOPS)
        around = result.outcomes.get("around a stop", 0)
        self.assertGreaterEqual(around, LEAST_CALLS_AROUND_STOPS)
        self.assertGreater(result.outcomes.get("open at a silent engine at a stop", 0), 0)
        self.assertGreater(result.outcomes.get("sampled resumed on", 0), 0)
        self.assertGreater(result.outcomes.get("sampled continued on", 0), 0)

    def test_promises_hold_beside_clients_that_misuse_legal_requests(self) -> None:
        result = play(SoakPlan(seed=CROWD_SEED, seconds=CROWD_SECONDS))
        self.assertEqual(result.broken, [], "\n".join(result.faults))
        self.assertGreaterEqual(result.outcomes.get(CROWDS, 0), LEAST_CROWDS)
