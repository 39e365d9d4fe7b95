"""The simulate command: usage errors and a quiet seed."""

from __future__ import annotations

import contextlib
import io
import json
import unittest

from yokeline.cli import main
from yokeline.errors import EXIT_OK, EXIT_USAGE


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Return exit code, output and errors of ``yokeline`` with these arguments."""
    output = io.StringIO()
    errors = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = main(list(arguments))
    return code, output.getvalue(), errors.getvalue()


class SimulateTest(unittest.TestCase):
    def test_wrong_usage_is_one_line_with_the_remedy(self) -> None:
        for arguments, remedy in (
            (("--world", "nowhere"), "use dallim, harvest"),
            (("--faults", "earthquake"), "use some of"),
            (("--count", "0"), "ask for at least one seed"),
        ):
            code, output, errors = run_command("simulate", *arguments)
            self.assertEqual((EXIT_USAGE, ""), (code, output))
            self.assertEqual(1, len(errors.splitlines()))
            self.assertIn(remedy, errors)

    def test_a_quiet_seed_checks_every_point_and_finds_nothing(self) -> None:
        code, output, _ = run_command(
            "simulate", "--world", "dallim", "--count", "1", "--faults", "none", "--json"
        )
        report = json.loads(output)
        self.assertEqual(EXIT_OK, code)
        self.assertEqual(10, len(report["points"]))
        self.assertEqual(0, sum(point["violations"] for point in report["points"]))


if __name__ == "__main__":
    unittest.main()
