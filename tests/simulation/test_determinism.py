import os
import subprocess
import sys
import unittest

from tests.simulation.planted import run_small
from yokeline.simulation.faults import DEFAULT_FAULTS

SCRIPT = """
from tests.simulation.planted import run_small
from yokeline.simulation.faults import DEFAULT_FAULTS
print(run_small(seed=7, kinds=DEFAULT_FAULTS).digest)
"""


class DeterminismTest(unittest.TestCase):
    def digest_in_process(self, hash_seed: str) -> str:
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        done = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            env=environment,
            capture_output=True,
            text=True,
            check=True,
        )
        return done.stdout.strip()

    def test_a_seed_gives_the_same_trace_in_every_process(self) -> None:
        first = self.digest_in_process("1")
        self.assertEqual(first, self.digest_in_process("2"))
        self.assertEqual(first, run_small(seed=7, kinds=DEFAULT_FAULTS).digest)
        self.assertNotEqual(first, run_small(seed=8, kinds=DEFAULT_FAULTS).digest)


class QuietTest(unittest.TestCase):
    def test_a_quiet_run_answers_everything_without_violations(self) -> None:
        report = run_small()
        self.assertEqual([r.violations for r in report.results if r.violations], [])
        self.assertEqual(report.outcomes["posting done"], 16)
