"""The platform's names occur only in ``yokeline.platform``."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parents[3] / "src" / "yokeline"
PLATFORM_NAMES = re.compile(
    r"x-yokeline-(?!fence)|/-/|private-key|path-prefix|op/config|op/retire|"
    r"['\"]servers/|target-latency-ms|traffic-split|YOKELINE_NODE_FILE",
    re.IGNORECASE,
)


class Boundary(unittest.TestCase):
    def test_platform_names_occur_only_in_the_adapter(self) -> None:
        found = [
            f"{path.relative_to(SOURCE)}: {line.strip()}"
            for path in sorted(SOURCE.rglob("*.py"))
            if "platform" not in path.relative_to(SOURCE).parts
            for line in path.read_text().splitlines()
            if PLATFORM_NAMES.search(line)
        ]
        self.assertEqual(found, [])

    def test_the_adapter_imports_no_forwarding_or_consensus_logic(self) -> None:
        text = "".join(path.read_text() for path in (SOURCE / "platform").glob("*.py"))
        for module in ("forwarding.forwarder", "forwarding.choice", "ledger.replica", "consensus"):
            self.assertNotIn(f"yokeline.{module}", text)
