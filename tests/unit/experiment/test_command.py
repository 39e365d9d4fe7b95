import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from yokeline import cli

QUICK = ["experiment", "--seeds", "2", "--saturation", "0.02", "--policies"]


def command(arguments: list[str]) -> tuple[int, str, str]:
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = cli.main(arguments)
    return code, output.getvalue(), errors.getvalue()


class ExperimentCommandTest(unittest.TestCase):
    def test_report_names_what_changes_are_relative_to(self) -> None:
        names = "prefix_fcfs,affinity,affinity-holds"
        code, output, _errors = command([*QUICK, names, "--load", "0.5,1", "--json"])
        self.assertEqual(code, 0)
        report = json.loads(output)
        self.assertEqual(report["saturation"]["rate"], 0.02)
        found = [(row["load"], row["policy"], row["reference"]) for row in report["policies"]]
        expected = [
            (load, policy, reference)
            for load in (0.5, 1.0)
            for policy, reference in (
                ("prefix_fcfs", "prefix_fcfs"),
                ("affinity", "prefix_fcfs"),
                ("affinity-holds", "affinity"),
            )
        ]
        self.assertEqual(found, expected)
        latency = report["policies"][0]["measures"]["latency_mean"]
        self.assertEqual(len(latency["samples"]), 2)
        self.assertEqual(latency["change"]["mean"], 0.0)

    def test_table_and_plots(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            code, output, _errors = command(
                [*QUICK, "prefix_fcfs", "--workload", "harvest", "--plot", folder, "--load", "1"]
            )
            files = sorted(file.name for file in Path(folder).iterdir())
        self.assertEqual(code, 0)
        self.assertIn("latency_mean", output)
        self.assertEqual(files, ["harvest-latency-1.png", "harvest-waste.png"])

    def test_wrong_values_name_the_remedy(self) -> None:
        for arguments, remedy in (
            (["--workload", "none"], "dallim, harvest, stress"),
            (["--policies", "none"], "prefix_fcfs"),
            (["--load", "-1"], "above 0"),
            (["--seeds", "0"], "at least 1"),
            (["--engine", "/nonexistent/engine.toml"], "check its name"),
            (["--live", "http://192.0.2.1:80", "--program", "p"], "127.0.0.1"),
            (["--live", "http://127.0.0.1:1"], "--program"),
        ):
            with self.subTest(arguments):
                code, _output, errors = command(["experiment", *arguments])
                self.assertEqual(code, 2)
                self.assertIn(remedy, errors)


if __name__ == "__main__":
    unittest.main()
