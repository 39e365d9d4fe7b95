"""Bootstrap of the ledger's Raft group: its founders are written to the key-value service once."""

from __future__ import annotations

from yokeline.effects import Effect, LogRecord
from yokeline.ledger.members import choose_founders
from yokeline.ledger.replica import LedgerReplica
from yokeline.registry.client import RegistryClient
from yokeline.registry.nodes import (
    FOUNDERS_KEY,
    NODE_PREFIX,
    NodeRecord,
    decode_founders,
    encode_founders,
    encode_node,
    node_key,
    storage_nodes,
)
from yokeline.registry.protocol import StoredItem

REGISTRATION_WAIT_SECONDS = 0.5
"""Time for storage nodes to register before founders are chosen."""
MIN_FOUNDERS = 3
"""Registered nodes with which no further waiting is needed; a group of three tolerates a lost
disk."""
MAX_REGISTRATION_WAIT_SECONDS = 3.0
"""Time after which fewer nodes are accepted as founders. Callers arrive some 10 s after the first
start."""


class Bootstrap:
    """Registers a storage node, and bootstraps the group if the node is a founder."""

    def __init__(
        self, record: NodeRecord, replica: LedgerReplica, registry: RegistryClient
    ) -> None:
        """Create the bootstrap of ``replica`` on the node of ``record``."""
        self._record = record
        self._replica = replica
        self._registry = registry
        self._registered = False
        self._proposed = False
        self._waits_since: float | None = None

    def register(self) -> None:
        """Register this node once its replica's id is on disk.

        Registered earlier, a node could become a founder, lose power, and return under another id.
        """
        if self._registered or not self._replica.identity_saved:
            return
        self._registered = True
        self._registry.ensure(node_key(self._record.name), encode_node(self._record))

    def tick(self, now: float) -> list[Effect]:
        """Bootstrap the group if this node is a founder, or propose the founders.

        Only the first write of the founders succeeds, so all nodes bootstrap the same group. There
        are several founders, because a replica that loses its disk never returns under its id.
        """
        if not self._replica.is_empty or not self._registry.complete:
            return []
        item = self._registry.item(FOUNDERS_KEY)
        if item is not None:
            return self._bootstrap(item, now)
        if self._may_propose_founders(now):
            self._propose_founders(now)
        return []

    def _bootstrap(self, item: StoredItem, now: float) -> list[Effect]:
        founders = decode_founders(item.value or b"")
        if self._record.replica not in founders:
            return []
        addresses = {node.replica: node.address for node in self._storage_nodes()}
        for founder in founders:
            if founder in addresses:
                self._replica.learn_address(founder, addresses[founder])
        fields: dict[str, str | int | float | bool | None] = {
            "replica": self._record.replica,
            "founders": " ".join(founders),
            "revision": item.revision,
        }
        log = LogRecord(event="ledger_founded", fields=fields)
        return [log, *self._replica.bootstrap(founders, now)]

    def _may_propose_founders(self, now: float) -> bool:
        """Return whether the other nodes have had time to register."""
        if not self._replica.first_start or self._proposed:
            return False
        if self._waits_since is None:
            self._waits_since = now
        waited = now - self._waits_since
        if waited < REGISTRATION_WAIT_SECONDS:
            return False
        registered = {node.replica for node in self._storage_nodes()}
        if self._record.replica not in registered:
            return False
        return len(registered) >= MIN_FOUNDERS or waited >= MAX_REGISTRATION_WAIT_SECONDS

    def _propose_founders(self, now: float) -> None:
        self._proposed = True
        value = encode_founders(choose_founders(self._storage_nodes()))
        self._registry.write(FOUNDERS_KEY, value, now, expected=0)

    def _storage_nodes(self) -> list[NodeRecord]:
        return storage_nodes(self._registry.items(NODE_PREFIX).values())
