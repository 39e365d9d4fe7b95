"""Numbers of operations that an event of a forwarding node may take, however large the registry."""

from __future__ import annotations

from unittest import mock

from tests.unit.forwarding.test_edge_node import PlayedNode
from yokeline.effects import Tick
from yokeline.registry.client import RegistryClient


class EventCosts(PlayedNode):
    def test_an_event_that_changes_nothing_does_not_scan_the_registry(self) -> None:
        """Guards against a scan of all entries at each event: it grows with the fleet."""
        self.wait(0.5)
        with mock.patch.object(RegistryClient, "items", autospec=True, return_value={}) as items:
            self.hand(Tick())
            self.assertEqual(len(self.request("r1")), 1)
        self.assertEqual(items.call_count, 0)
