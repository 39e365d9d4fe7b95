"""The pages that state what the code has: settings, objects, metrics, links."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from tools.write_configuration_page import PAGE, page

from yokeline.metric_help import METRIC_HELP

ROOT = Path(__file__).resolve().parents[3]
SOURCE = ROOT / "src" / "yokeline"
OPERATIONS = ROOT / "docs" / "OPERATIONS.md"
LABELS_OF_THE_MACHINE_LIST = {"yokeline_state"}
COMPOSED = {
    "yokeline_": {"yokeline_replica_added_total", "yokeline_replica_removed_total"},
    "yokeline_scheduling_": {
        "yokeline_scheduling_choices_total",
        "yokeline_scheduling_waits_total",
        "yokeline_scheduling_cache_decisions_total",
    },
}
"""Names that the code puts together, by the part that stands in the code."""
HELP_MODULE = SOURCE / "metric_help.py"
"""Names metrics without emitting them."""

_NAME = re.compile(r"""["']{1,2}(yokeline_[a-z_]*)[{"']""")
_LISTED = re.compile(r"`(yokeline_[a-z_]+)[`{]")
_LINK = re.compile(r"\]\(([^)#]+)(#[^)]*)?\)")


def emitted_names() -> set[str]:
    names: set[str] = set()
    for file in sorted(SOURCE.rglob("*.py")):
        if file == HELP_MODULE:
            continue
        for found in _NAME.findall(file.read_text()):
            names |= COMPOSED.get(found, {found})
    return names - LABELS_OF_THE_MACHINE_LIST


class Pages(unittest.TestCase):
    def test_configuration_page_is_current(self) -> None:
        self.assertEqual(
            PAGE.read_text(encoding="utf-8"),
            page(),
            "run: python -m tools.write_configuration_page",
        )

    def test_every_metric_has_its_question_and_alert(self) -> None:
        emitted = emitted_names()
        self.assertGreater(len(emitted), 40)
        rows = [line for line in OPERATIONS.read_text().splitlines() if "| `yokeline_" in line]
        listed = {name for row in rows for name in _LISTED.findall(row.split("|")[1])}
        self.assertEqual(listed - emitted, set(), "listed, but not in the code")
        self.assertEqual(emitted - listed, set(), "in the code, but not listed")
        for row in rows:
            cells = [cell.strip() for cell in row.strip("|").split("|")]
            self.assertEqual(len(cells), 3, row)
            self.assertTrue(all(cells), row)

    def test_every_metric_has_a_help_line_that_names_its_unit(self) -> None:
        self.assertEqual(emitted_names(), set(METRIC_HELP))
        for name, line in METRIC_HELP.items():
            self.assertRegex(line, r"^[A-Z][^\n]+ [^\n]+\.$", name)
            self.assertEqual(name.endswith("_seconds"), line.startswith("Seconds "), name)
        self.assertEqual(len(METRIC_HELP), len(set(METRIC_HELP.values())))

    def test_links_between_pages_lead_somewhere(self) -> None:
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
        self.assertGreater(len(pages), 5)
        for file in pages:
            for target, _ in _LINK.findall(file.read_text()):
                if "://" not in target:
                    self.assertTrue((file.parent / target).exists(), f"{file.name}: {target}")


if __name__ == "__main__":
    unittest.main()
