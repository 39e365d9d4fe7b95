"""A restricted turn's reservation brings no texts through another forwarding node."""

from __future__ import annotations

import unittest

from yokeline.effects import Address, Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import LedgerClient, PeerNode
from yokeline.ledger.messages import PassedOnRequest
from yokeline.ledger.operations import OperationResult, Reserve

PEER = PeerNode(ReplicaId("edge-2~1"), Address("10.1.0.2", 1))


class RelayedReservations(unittest.TestCase):
    def relayed(self, *, may_relay_texts: bool) -> list[Reserve]:
        """Return a reservation as it is relayed while the ledger does not answer."""
        client = LedgerClient(Address("10.1.0.1", 1))
        client.set_storage({ReplicaId("s"): Address("10.0.0.1", 1)})
        client.helpful_peers = lambda: [PEER]

        def done(result: OperationResult | None, now: float) -> list[Effect]:
            return []

        operation = Reserve(request_id="r", program="p", previous="t", missing_from="t")
        effects = client.ask(operation, done, 0.0, 5.0, may_relay_texts=may_relay_texts)
        for step in range(200):
            effects.extend(client.tick(step * 0.01))
        found: list[Reserve] = []
        for effect in effects:
            if isinstance(effect, SendPeer) and isinstance(effect.message, PassedOnRequest):
                assert isinstance(effect.message.operation, Reserve)
                found.append(effect.message.operation)
        self.assertTrue(found)
        return found

    def test_an_unrestricted_turn_gets_its_history_on_that_way(self) -> None:
        self.assertEqual({item.missing_from for item in self.relayed(may_relay_texts=True)}, {"t"})

    def test_a_restricted_turn_asks_for_no_history_on_that_way(self) -> None:
        """The peer may be in any region, and its answer would carry the texts."""
        found = self.relayed(may_relay_texts=False)
        self.assertEqual({item.missing_from for item in found}, {""})
        self.assertEqual({item.previous for item in found}, {"t"})
