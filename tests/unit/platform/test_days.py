"""The day files in ``deploy/days`` are valid, and independent of a deployment."""

from __future__ import annotations

import hashlib
import tomllib
import unittest
from pathlib import Path

FOLDER = Path(__file__).parents[3] / "deploy" / "days"
AS_HANDED_OVER = {
    "rejoined.toml": "179e92f58c27bdb7c0e9764a9cab8d3ce841a0477917c6237917843e3a5d874a"
}
"""Days that are kept word for word as users wrote them, with the digests of their texts."""
DAYS = sorted(path for path in FOLDER.glob("*.toml") if path.name not in AS_HANDED_OVER)
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0"}
"""Placeholders for the first request class, service and zone of a deployment."""


class Days(unittest.TestCase):
    def test_each_file_has_one_comment_in_its_first_line(self) -> None:
        self.assertTrue(DAYS)
        for path in DAYS:
            with self.subTest(path.name):
                lines = path.read_text().splitlines()
                comments = [line for line in lines if line.startswith("#")]
                self.assertEqual(comments, lines[:1])

    def test_names_match_the_files_and_seeds_are_unique(self) -> None:
        days = [tomllib.loads(path.read_text()) for path in DAYS]
        self.assertEqual([day["name"] for day in days], [path.stem for path in DAYS])
        self.assertEqual(len({day["seed"] for day in days}), len(days))

    def test_plans_refer_to_a_deployment_only_by_placeholders(self) -> None:
        for path in DAYS:
            day = tomllib.loads(path.read_text())
            for entry in [*day["plan"], *day["faults"]]:
                with self.subTest(path.name, entry=entry):
                    self.assertGreaterEqual(entry["at"], 0)
                    named = {key: entry[key] for key in PLACEHOLDERS if key in entry}
                    self.assertLessEqual(named.items(), PLACEHOLDERS.items())

    def test_days_that_were_handed_over_are_unchanged(self) -> None:
        for name, digest in AS_HANDED_OVER.items():
            path = FOLDER / name
            self.assertEqual(hashlib.sha256(path.read_bytes()).hexdigest(), digest, name)
            self.assertEqual(tomllib.loads(path.read_text())["name"], path.stem)

    def test_the_upgrade_starts_from_a_commit(self) -> None:
        text = (DAYS[0].parent / "upgrade.toml").read_text()
        self.assertRegex(text, r'production = "[0-9a-f]{7,40}"')
