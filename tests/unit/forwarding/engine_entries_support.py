"""A node that hears of engines through entries of the key-value service."""

from __future__ import annotations

import json

from tests.unit.forwarding.test_edge_node import PlayedNode
from yokeline.effects import LogRecord, PeerMessage
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import RegistryItem, RegistryNews

FIRST_START_MS = 1_790_000_000_000
SECOND_START_MS = FIRST_START_MS + 60_000


class NodeWithEntries(PlayedNode):
    """A node with no engine but those whose entries the test writes."""

    prefixes = ("",)

    def setUp(self) -> None:
        super().setUp()
        self.revision = 10
        for state in list(self.played.engines.all()):
            self.played.engines.remove(state.engine.engine_id)

    def entry(self, number: int = 0, **fields: object) -> bytes:
        document: dict[str, object] = {
            "service": "models",
            "address": f"10.5.0.{number}:80",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 7,
            **fields,
        }
        return json.dumps({key: item for key, item in document.items() if item is not ...}).encode()

    def write(self, engine: str, value: bytes | None) -> None:
        """Let an entry change, or go."""
        self.write_item(f"servers/{engine}", value)

    def write_item(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        since = self.revision - 1 if self.node._registry.complete else 0
        items = (RegistryItem(key, value, self.revision),)
        news = RegistryNews(revision=self.revision, since=since, items=items)
        self.hand(PeerMessage(sender=ReplicaId("edge-0~7"), message=news))

    def known(self) -> set[str]:
        return {state.engine.engine_id for state in self.played.engines.all()}

    def usable(self, pool: str = "models") -> list[str]:
        """Return the wire names of the engines of a pool that take new work."""
        return [item.engine.instance for item in self.played.engines.in_pool(pool, self.now)]

    def lines(self, event: str) -> list[LogRecord]:
        records = [effect for _, effect in self.effects if isinstance(effect, LogRecord)]
        return [record for record in records if record.event == event]
