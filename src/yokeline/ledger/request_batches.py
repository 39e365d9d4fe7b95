"""Operations of forwarding nodes on their way into the log: batched, proposed, answered."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.leader_load import LeaderLoad, RequestKey
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


class _Waiting(msgspec.Struct, frozen=True):
    """A request that waits for an entry, and when it came first."""

    request: LedgerRequest
    since: float


class RequestBatches:
    """Proposes what came while the last entry was under way as one entry.

    Attributes:
        turns: What nodes have told of the turns under way.
        operations: Operations asked for so far.
        load: What is logged of the leader's work.
    """

    def __init__(self, replica: LedgerReplica, wall: Callable[[], float], now: float) -> None:
        """Propose to ``replica``; ``wall`` reads the time of day (seconds since the epoch)."""
        self.turns = TurnsUnderWay()
        self.operations = 0
        self._replica = replica
        self._wall = wall
        self._now = now
        self.load = LeaderLoad(now)
        self._waiting: dict[RequestKey, _Waiting] = {}
        self._proposed: set[RequestKey] = set()
        self._is_under_way = False

    def note_time(self, now: float) -> None:
        """Note the time of the event that is being handled; answers may come of it."""
        self._now = now

    def take(self, asker: ReplicaId, request: LedgerRequest, now: float) -> list[Effect]:
        """Take a request in, with its notes; one without operations gets no answer."""
        self._now = now
        self._take_notes(request, now)
        if not request.operations:
            return []
        self.operations += len(request.operations)
        self._note_request((asker, request.number), request)
        # A request that is repeated while it waits takes its place, and is proposed once.
        known = self._waiting.get((asker, request.number))
        since = now if known is None else known.since
        self._waiting[asker, request.number] = _Waiting(request, since)
        if len(self._waiting) > MAX_BATCHED_REQUESTS:
            del self._waiting[next(iter(self._waiting))]
        return self.propose(now)

    def propose(self, now: float) -> list[Effect]:
        """Propose what waits, up to a size, unless an entry is under way."""
        self._now = now
        if self._is_under_way or not self._waiting:
            return []
        oldest_wait = now - next(iter(self._waiting.values())).since
        batch = self._take_batch()
        self._is_under_way = True
        operations = tuple(item for _, request in batch for item in request.operations)
        size = sum(size_of(operation) for operation in operations)
        self._proposed.update((asker, request.number) for asker, request in batch)

        def answer(results: tuple[OperationResult, ...] | None) -> list[Effect]:
            self._is_under_way = False
            self._proposed.clear()
            self.load.note_entry(self._now - now, size, oldest_wait)
            return self._answer(batch, results)

        return self._replica.propose(operations, answer, now, self._wall())

    def tick(self, now: float) -> list[Effect]:
        """Propose what waits, and log the load if it is time."""
        effects = self.propose(now)
        effects.extend(self.load.report(now, len(self._waiting)))
        return effects

    def _note_request(self, key: RequestKey, request: LedgerRequest) -> None:
        self.load.note_request(request)
        if key in self._waiting:
            self.load.note_repetition("waiting")
        elif key in self._proposed:
            self.load.note_repetition("proposed")
        elif self.load.was_answered(key):
            self.load.note_repetition("answered")

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
            request = self._waiting.pop(key).request
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
        self.load.note_reply((asker, request.number), reply)
        return SendPeer(to=asker, address=request.asker, message=reply)
