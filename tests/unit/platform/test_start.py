from __future__ import annotations

import subprocess
import sys
import unittest

PROGRAM = "import sys, yokeline.platform.__main__; print('pkg_resources' in sys.modules)"


class Start(unittest.TestCase):
    def test_a_role_starts_without_an_import_that_takes_half_of_its_time(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=True
        )
        self.assertEqual(ended.stdout.strip(), "False")
