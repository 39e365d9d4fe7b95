"""The pages that state what the code has: settings, objects, metrics, links."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from tools.write_configuration_page import PAGE, page

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
COUNTERS_WITHOUT_SUFFIX = {"yokeline_configuration_deltas", "yokeline_configuration_writes"}
"""``metrics.render`` adds ``_total`` to these."""

_NAME = re.compile(r"""["']{1,2}(yokeline_[a-z_]*)[{"']""")
_LISTED = re.compile(r"`(yokeline_[a-z_]+)[`{]")
_LINK = re.compile(r"\]\(([^)#]+)(#[^)]*)?\)")


def emitted_names() -> set[str]:
    names: set[str] = set()
    for file in sorted(SOURCE.rglob("*.py")):
        for found in _NAME.findall(file.read_text()):
            names |= COMPOSED.get(found, {found})
    renamed = {name + "_total" if name in COUNTERS_WITHOUT_SUFFIX else name for name in names}
    return renamed - LABELS_OF_THE_MACHINE_LIST


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

    def test_links_between_pages_lead_somewhere(self) -> None:
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").glob("*.md")]
        self.assertGreater(len(pages), 5)
        for file in pages:
            for target, _ in _LINK.findall(file.read_text()):
                if "://" not in target:
                    self.assertTrue((file.parent / target).exists(), f"{file.name}: {target}")


if __name__ == "__main__":
    unittest.main()
