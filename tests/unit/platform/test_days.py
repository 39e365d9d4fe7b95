"""The day files in ``deploy/days`` can be read and hang on no deployment."""

from __future__ import annotations

import tomllib
import unittest
from pathlib import Path

DAYS = sorted((Path(__file__).parents[3] / "deploy" / "days").glob("*.toml"))
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0"}
"""What stands for a deployment's first kind of request, service and zone."""


class Days(unittest.TestCase):
    def test_each_begins_with_one_line_on_what_it_shows(self) -> None:
        self.assertTrue(DAYS)
        for path in DAYS:
            with self.subTest(path.name):
                lines = path.read_text().splitlines()
                comments = [line for line in lines if line.startswith("#")]
                self.assertEqual(comments, lines[:1])

    def test_each_has_its_own_name_and_seed(self) -> None:
        days = [tomllib.loads(path.read_text()) for path in DAYS]
        self.assertEqual([day["name"] for day in days], [path.stem for path in DAYS])
        self.assertEqual(len({day["seed"] for day in days}), len(days))

    def test_none_names_a_part_of_a_deployment(self) -> None:
        for path in DAYS:
            day = tomllib.loads(path.read_text())
            for entry in [*day["plan"], *day["faults"]]:
                with self.subTest(path.name, entry=entry):
                    self.assertGreaterEqual(entry["at"], 0)
                    named = {key: entry[key] for key in PLACEHOLDERS if key in entry}
                    self.assertLessEqual(named.items(), PLACEHOLDERS.items())

    def test_the_upgrade_names_a_commit_to_begin_with(self) -> None:
        text = (DAYS[0].parent / "upgrade.toml").read_text()
        self.assertRegex(text, r'production = "[0-9a-f]{7,40}"')
