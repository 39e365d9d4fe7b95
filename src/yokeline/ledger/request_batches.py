"""Operations of forwarding nodes on their way into the log: batched, proposed, answered."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    LeaderHint,
    LedgerReply,
    LedgerRequest,
    OperationResult,
    Reserve,
    size_of,
)
from yokeline.ledger.replica import LedgerReplica
from yokeline.ledger.turns_under_way import TurnsUnderWay

MAX_BATCHED_REQUESTS = 1024
"""Requests that may wait for an entry under way; the oldest give way, as their askers have."""
MAX_BATCH_BYTES = 64 * 1024
"""Bytes of an entry after which the next request goes into the next one: heartbeats wait behind
an entry on its way to the followers."""

_Asked = tuple[ReplicaId, LedgerRequest]


class RequestBatches:
    """Proposes what came while the last entry was under way as one entry.

    Attributes:
        turns: What nodes have told of the turns under way.
        operations: Operations asked for so far.
    """

    def __init__(self, replica: LedgerReplica, wall: Callable[[], float], now: float) -> None:
        """Propose to ``replica``; ``wall`` reads the time of day (seconds since the epoch)."""
        self.turns = TurnsUnderWay()
        self.operations = 0
        self._replica = replica
        self._wall = wall
        self._now = now
        self._waiting: dict[tuple[ReplicaId, int], LedgerRequest] = {}
        self._is_under_way = False

    def take(self, asker: ReplicaId, request: LedgerRequest, now: float) -> list[Effect]:
        """Take a request in, with its notes; one without operations gets no answer."""
        self._now = now
        self._take_notes(request, now)
        if not request.operations:
            return []
        self.operations += len(request.operations)
        # A request that is repeated while it waits takes its place, and is proposed once.
        self._waiting[asker, request.number] = request
        if len(self._waiting) > MAX_BATCHED_REQUESTS:
            del self._waiting[next(iter(self._waiting))]
        return self.propose(now)

    def propose(self, now: float) -> list[Effect]:
        """Propose what waits, up to a size, unless an entry is under way."""
        self._now = now
        batch = [] if self._is_under_way else self._take_batch()
        if not batch:
            return []
        self._is_under_way = True
        operations = tuple(item for _, request in batch for item in request.operations)

        def answer(results: tuple[OperationResult, ...] | None) -> list[Effect]:
            self._is_under_way = False
            return self._answer(batch, results)

        return self._replica.propose(operations, answer, now, self._wall())

    def _take_notes(self, request: LedgerRequest, now: float) -> None:
        if self._replica.leads:
            for note in request.notes:
                self.turns.take(note, now)
        elif len(self.turns):
            self.turns.clear()

    def _take_batch(self) -> list[_Asked]:
        batch: list[_Asked] = []
        size = 0
        while self._waiting and size < MAX_BATCH_BYTES:
            key = next(iter(self._waiting))
            request = self._waiting.pop(key)
            batch.append((key[0], request))
            size += sum(size_of(operation) for operation in request.operations)
        return batch

    def _answer(
        self, batch: list[_Asked], results: tuple[OperationResult, ...] | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        start = 0
        for asker, request in batch:
            end = start + len(request.operations)
            own = None if results is None else results[start:end]
            effects.append(self._reply(asker, request, own))
            start = end
        return effects

    def _reply(
        self,
        asker: ReplicaId,
        request: LedgerRequest,
        results: tuple[OperationResult, ...] | None,
    ) -> Effect:
        leader = self._replica.group.leader
        address = self._replica.leader_address()
        hint = LeaderHint(leader, address) if leader is not None and address else None
        is_asked = any(isinstance(operation, Reserve) for operation in request.operations)
        engines = self.turns.engines(self._now) if results and is_asked else ()
        reply = LedgerReply(
            number=request.number, results=results or (), leader=hint, engines=engines
        )
        return SendPeer(to=asker, address=request.asker, message=reply)
