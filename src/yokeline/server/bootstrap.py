"""The first placement: read from the key-value service, or written there once.

The key is created by compare-and-swap, so of several nodes that try only one succeeds and all
take part by what the store holds. After that the groups themselves are the authority; a node
that starts later learns leaders from heartbeats and replicas are added by the groups.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Result, Success

from yokeline.errors import YokelineError
from yokeline.membership.view import MemberState, PeerView
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.shards.host import ShardHost
from yokeline.shards.placement import (
    Placement,
    decode_placement,
    encode_placement,
    initial_placement,
)
from yokeline.store.client import KeyValueClient
from yokeline.store.protocol import RangeResult, SwapResult

PLACEMENT_KEY = "placement"
READ_PERIOD_SECONDS = 0.5
SLOW_READ_PERIOD_SECONDS = 5.0
MUST_NOT_EXIST = 0


class PlacementBootstrap:
    """Finds the first placement; idle once it is known or a shard's leader is."""

    def __init__(
        self,
        context: NodeContext,
        settings: Settings,
        store: KeyValueClient,
        peers: PeerView,
        host: ShardHost,
        any_leader_known: Callable[[], bool],
    ) -> None:
        """Create the component; it reads the store at its first tick."""
        self._context = context
        self._settings = settings
        self._store = store
        self._peers = peers
        self._host = host
        self._any_leader_known = any_leader_known
        self._key = settings.platform.store_prefix + PLACEMENT_KEY
        self._next_read = context.now
        self._waiting = False
        self.known = False

    def tick(self) -> None:
        """Read the placement if it is time."""
        if self.known or self._waiting or self._context.now < self._next_read:
            return
        self._waiting = True
        slow = self._any_leader_known()
        self._next_read = self._context.now + (
            SLOW_READ_PERIOD_SECONDS if slow else READ_PERIOD_SECONDS
        )
        self._store.get(self._key, self._read)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return None if self.known or self._waiting else self._next_read

    def _read(self, result: Result[RangeResult, YokelineError]) -> None:
        self._waiting = False
        if not isinstance(result, Success):
            return
        items = result.unwrap().items
        if items:
            self._take(items[0].value)
        elif self._may_write():
            self._write()

    def _take(self, value: bytes) -> None:
        decoded = decode_placement(value.decode(errors="replace"), self._settings)
        if not isinstance(decoded, Success):
            self._context.warn("placement_refused", error=decoded.failure().line())
            return
        self.known = True
        placement: Placement = decoded.unwrap()
        self._context.log("placement_known", shards=len(placement.groups))
        self._host.start_groups(placement)

    def _may_write(self) -> bool:
        """Return whether this node is the one to write: all are here, and its id is first.

        Not once a leader is known: then groups exist, and the store has lost the key.
        """
        if self._any_leader_known():
            return False
        alive = [m for m in self._peers.alive() if m.state is MemberState.ALIVE]
        if len(alive) < self._settings.cluster.expected_nodes:
            return False
        return min(member.replica for member in alive) == self._context.replica

    def _write(self) -> None:
        alive = [m for m in self._peers.alive() if m.state is MemberState.ALIVE]
        text = encode_placement(initial_placement(alive, self._settings))
        self._waiting = True
        self._store.compare_and_swap(self._key, MUST_NOT_EXIST, text.encode(), self._written)

    def _written(self, _result: Result[SwapResult, YokelineError]) -> None:
        # Whatever became of the write, what the store holds now is read back and counts.
        self._waiting = False
        self._next_read = self._context.now
