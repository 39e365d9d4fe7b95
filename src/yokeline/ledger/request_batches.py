"""Operations of forwarding nodes: queued, proposed in batches, and answered.

A duplicate of a queued or proposed operation is answered together with the first copy. A duplicate
of an applied operation is answered from the state. Duplicates therefore cost no log entry.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.admission_controller import AdmissionController
from yokeline.ledger.kept_text_budget import KeptTextBudget
from yokeline.ledger.leader_load import LeaderLoad
from yokeline.ledger.messages import EngineTurns, LedgerReply, LedgerRequest, PoolShares
from yokeline.ledger.operations import (
    Drawn,
    Granted,
    KeptTurn,
    Operation,
    OperationResult,
    QuotaSpent,
    Settle,
    approximate_size,
)
from yokeline.ledger.quotas import LeadershipClock
from yokeline.ledger.replica import LedgerReplica
from yokeline.ledger.tenant_places import TenantPlaces
from yokeline.ledger.turns_under_way import TurnsUnderWay

MAX_QUEUED_OPERATIONS = 1024
"""Operations that wait for the entry in flight; the oldest are dropped, as their senders have given
up."""
MAX_BATCH_BYTES = 64 * 1024
"""Size after which an entry is closed; heartbeats queue behind the entry on its way to
followers."""

MAX_RECENT_DRAWS = 4096
"""Draws whose results are remembered, so that a duplicate takes no second token; covers the time
for which draws are retried. A new leader remembers none. At 200 draws per second it holds those of
the last 20 s."""

OperationKey = tuple[str, str]
"""Type and request id; operations with the same key are duplicates."""


class Requester(msgspec.Struct, frozen=True):
    """A process that waits for the result of an operation.

    Attributes:
        number: Number of the request at that process.
    """

    process: ReplicaId
    address: Address
    number: int


class _QueuedOperation(msgspec.Struct):
    """An operation without a result, the time of its arrival, and its requesters.

    Attributes:
        is_copied: Its node has sent its text to the followers.
    """

    operation: Operation
    since: float
    requesters: list[Requester]
    is_copied: bool = False

    def add_requester(self, requester: Requester) -> None:
        if requester not in self.requesters:
            self.requesters.append(requester)


class RequestBatches:
    """Proposes the operations that arrive during one entry together in the next.

    Attributes:
        turns: The nodes' reports of turns at engines.
        places: The tenants' loads and shares.
        operations: Operations received so far.
        load: Counters of the leader's load, for the log.
        admission: Refuses new programs that their tenants' limits cannot carry.
        kept_texts: Refuses turns whose texts do not fit into the memory.
    """

    def __init__(
        self,
        replica: LedgerReplica,
        wall: Callable[[], float],
        now: float,
        memory_bytes: float = 0.0,
    ) -> None:
        """Propose to ``replica``.

        ``wall`` returns seconds since the epoch, ``memory_bytes`` is what the process may use; 0 if
        not known.
        """
        self.kept_texts = KeptTextBudget(memory_bytes)
        self.turns = TurnsUnderWay()
        self.places = TenantPlaces()
        self.operations = 0
        self.load = LeaderLoad(now)
        self.admission = AdmissionController()
        self._replica = replica
        self._wall = wall
        self._now = now
        self._queued: dict[OperationKey, _QueuedOperation] = {}
        self._proposed: dict[OperationKey, _QueuedOperation] = {}
        self._engines: tuple[EngineTurns, ...] | None = None
        self._leadership_clock = LeadershipClock()
        self._recent_draws: OrderedDict[OperationKey, None] = OrderedDict()

    def note_time(self, now: float) -> None:
        """Set the time of the event being handled, which answers and proposals use."""
        self._now = now
        self._engines = None

    def take(self, sender: ReplicaId, request: LedgerRequest, now: float) -> list[Effect]:
        """Handle a request and its report of turns.

        A request without operations gets no answer, unless it asks for engine data.
        """
        self.note_time(now)
        self._take_turns(sender, request, now)
        self._take_relayed_turns(request, now)
        requester = Requester(sender, request.asker, request.number)
        effects: list[Effect] = []
        if request.wants_engines is True and self._replica.leads:
            effects.append(self._engines_reply(requester))
        for operation in request.operations:
            self.operations += 1
            self.load.note_operation(operation)
            effects.extend(self._take_operation(requester, operation, request.is_copied))
        return [*effects, *self.propose(now)]

    def tick(self, now: float) -> list[Effect]:
        """Propose queued operations, and log the load if due."""
        self._now = now
        if self._replica.leads:
            self.admission.tick(self._replica.state(), self._leader_time())
        else:
            self.admission.reset()
        lines = self.load.report(now, len(self._queued))
        return [*self.propose(now), *lines, *self.places.report(now)]

    def propose(self, now: float) -> list[Effect]:
        """Propose queued operations up to the size limit, unless an entry is in flight."""
        self._now = now
        if self._proposed or not self._queued:
            return []
        oldest_wait = now - next(iter(self._queued.values())).since
        batch = self._take_batch()
        operations = tuple(item.operation for item in batch)
        size = sum(approximate_size(operation) for operation in operations)

        def answer(results: tuple[OperationResult, ...] | None) -> list[Effect]:
            self._proposed.clear()
            self.load.note_entry(self._now - now, size, oldest_wait)
            return self._answer(batch, results)

        copied = tuple(turn for item in batch if (turn := _copied_turn(item)) is not None)
        return self._replica.propose(
            operations, answer, now, self._wall(), copied, self._leader_time()
        )

    def _leader_time(self) -> float:
        """Return the current leadership time in seconds."""
        applied = self._replica.state().quotas.time
        return self._leadership_clock.time(self._replica.group.term, applied, self._now)

    # ------------------------------------------------------------ requests

    def _take_turns(self, sender: ReplicaId, request: LedgerRequest, now: float) -> None:
        if not self._replica.leads:
            self.turns.clear()
            self.places.clear()
        elif request.turns is not None:
            self.turns.take(sender, request.turns, now)
            if not isinstance(request.tenant_loads, UnsetType):
                self.places.take(sender, request.turns.sequence, request.tenant_loads, now)

    def _take_relayed_turns(self, request: LedgerRequest, now: float) -> None:
        """Handle the report of a node that reaches the leader through another node."""
        relayed = request.passed_turns
        if isinstance(relayed, UnsetType) or not self._replica.leads:
            return
        self.turns.take(relayed.process, relayed.turns, now)
        if relayed.tenant_loads is not None:
            self.places.take(relayed.process, relayed.turns.sequence, relayed.tenant_loads, now)

    def _take_operation(
        self, requester: Requester, operation: Operation, is_copied: bool
    ) -> list[Effect]:
        key = _key_of(operation)
        for stage, known in (("waiting", self._queued), ("proposed", self._proposed)):
            if key in known:
                known[key].add_requester(requester)
                self.load.note_duplicate(stage)
                return []
        result = (
            Drawn() if key in self._recent_draws else self._replica.state().known_result(operation)
        )
        if result is not None and self._replica.leads:
            self.load.note_duplicate("applied")
            return [self._reply(requester, result)]
        if self._replica.leads:
            spent, lines = self._refusal(operation)
            if spent is not None:
                return [*lines, self._reply(requester, spent)]
            self.kept_texts.note_ended(operation)
            no_room, lines = self.kept_texts.refusal(operation, self._replica.state(), self._now)
            if no_room is not None:
                self.admission.cancel(operation)
                return [*lines, self._reply(requester, no_room)]
        self._queued[key] = _QueuedOperation(operation, self._now, [requester], is_copied)
        if len(self._queued) > MAX_QUEUED_OPERATIONS:
            oldest = self._queued.pop(next(iter(self._queued)))
            self.admission.cancel(oldest.operation)
        return []

    def _refusal(self, operation: Operation) -> tuple[QuotaSpent | None, list[LogRecord]]:
        """Return the refusal of a new operation by its tenant's limit, and log lines.

        Duplicates were answered before.
        """
        replica = self._replica
        return self.admission.refusal(
            operation, replica.state(), replica.group.term, self._leader_time()
        )

    def _take_batch(self) -> list[_QueuedOperation]:
        """Take the oldest operations that fit into one entry from the queue."""
        size = 0
        while self._queued and size < MAX_BATCH_BYTES:
            key = next(iter(self._queued))
            self._proposed[key] = self._queued.pop(key)
            size += approximate_size(self._proposed[key].operation)
        return list(self._proposed.values())

    # ------------------------------------------------------------ answers

    def _answer(
        self, batch: list[_QueuedOperation], results: tuple[OperationResult, ...] | None
    ) -> list[Effect]:
        effects: list[Effect] = []
        for number, item in enumerate(batch):
            result = results[number] if results else None
            self._note_result(item.operation, result)
            if isinstance(result, Drawn):
                self._note_drawn(item.operation)
            effects.extend(self._reply(requester, result) for requester in item.requesters)
        return effects

    def _note_result(self, operation: Operation, result: OperationResult | None) -> None:
        replica = self._replica
        self.admission.note_result(operation, result, replica.state(), replica.group.term)

    def _note_drawn(self, operation: Operation) -> None:
        self._recent_draws[_key_of(operation)] = None
        if len(self._recent_draws) > MAX_RECENT_DRAWS:
            self._recent_draws.popitem(last=False)

    def _reply(self, requester: Requester, result: OperationResult | None) -> Effect:
        is_granted = isinstance(result, Granted)
        reply = LedgerReply(
            number=requester.number,
            results=() if result is None else (result,),
            leader=self._replica.leader_hint(),
            term=self._replica.group.term,
            engines=self._current_engines() if is_granted else (),
            copies_to=self._replica.copies_to(self._now) if is_granted else (),
            shares=self._current_shares() if is_granted else UNSET,
        )
        self.load.note_reply(reply)
        return SendPeer(to=requester.process, address=requester.address, message=reply)

    def _engines_reply(self, requester: Requester) -> Effect:
        """Return the answer to a request for engine data alone."""
        reply = LedgerReply(
            number=requester.number,
            leader=self._replica.leader_hint(),
            term=self._replica.group.term,
            engines=self._current_engines(),
            shares=self._current_shares(),
        )
        self.load.note_reply(reply)
        return SendPeer(to=requester.process, address=requester.address, message=reply)

    def _current_engines(self) -> tuple[EngineTurns, ...]:
        """Return the data on engines, computed once per event."""
        if self._engines is None:
            self._engines = self.turns.engines(self._now)
        return self._engines

    def _current_shares(self) -> tuple[PoolShares, ...] | UnsetType:
        """Return the tenants' shares; unset until a node has reported loads of tenants."""
        return self.places.shares(self._now) if self.places.is_used else UNSET


def _key_of(operation: Operation) -> OperationKey:
    return (type(operation).__name__, operation.request_id)


def _copied_turn(item: _QueuedOperation) -> KeptTurn | None:
    """Return the turn of an operation whose text followers receive from its node."""
    if not item.is_copied or not isinstance(item.operation, Settle):
        return None
    return item.operation.turn
