"""Settings that the node hands to its components."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from yokeline.scheduling import policies
from yokeline.server import node as node_module
from yokeline.settings import NodeSection, SchedulingSection, Settings


class SchedulingSettingsTest(unittest.TestCase):
    def test_the_policy_gets_its_name_and_its_ageing(self) -> None:
        settings = Settings(
            node=NodeSection(name="node-1"),
            scheduling=SchedulingSection(policy="least_loaded", aging_seconds=3.0),
        )
        with mock.patch.object(
            node_module, "make_policy", side_effect=policies.make_policy
        ) as made:
            node_module.Node(settings, source=random.Random(1), now=1.0, wall_offset=0.0)
        made.assert_called_once_with("least_loaded", aging_seconds=3.0)


if __name__ == "__main__":
    unittest.main()
