"""Client of the ledger: sends operations to the leader and retries until answered or given up.

Operations are idempotent by request id, and the leader answers a duplicate of a pending operation
together with the first copy. While the leader does not answer, the client queries storage replicas
for the leader and also relays operations through other forwarding nodes, in case only this node is
partitioned from the leader or from all storage nodes.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.histogram import Histogram
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client_report import ClientCounts
from yokeline.ledger.leader_search import LeaderSearch
from yokeline.ledger.messages import (
    EngineTurns,
    LeaderAnswer,
    LeaderHint,
    LedgerReply,
    LedgerRequest,
    NodeTurns,
    PassedOnRequest,
    PassedTurns,
    PoolLoad,
    PoolShares,
    TextCopy,
)
from yokeline.ledger.operations import Granted, Operation, OperationResult, Reserve, Settle
from yokeline.ledger.own_turns import OwnTurns
from yokeline.ledger.response_times import ResponseTimeEstimator
from yokeline.ledger.text_copies import MIN_TEXT_BYTES

QUERY_TIMEOUT_FACTOR = 0.5
"""Silence after which the client queries for the leader, as a multiple of the response timeout;
below 1, so that a reachable leader answers the query before it counts as unreachable."""
RETRY_TIMEOUT_FACTOR = 2.0
"""Silence after which an operation is resent to the same leader, as a multiple of the response
timeout; doubled with each attempt."""
MAX_RETRY_DELAY_SECONDS = 1.2
NOT_LEADING_RETRY_SECONDS = 0.03
"""Delay after an answer without results, from a replica that does not lead or that hands leadership
over; doubled with each attempt."""
MAX_NOT_LEADING_RETRY_SECONDS = 0.1
START_SEARCH_SECONDS = 3.0
"""Time after its start in which a node that restarts looks for the leader without being asked to;
about the time in which all storage nodes are back after a loss of power."""
START_QUERY_SECONDS = 0.1
"""Time between two rounds of queries of that search. All nodes may restart together and each round
asks all replicas, so it is slower than a search for which operations wait."""
RELAY_TIMEOUT_SECONDS = 1.0
"""Time for which an operation of another node is retried; that node retries it as well."""
ENGINES_SECONDS = 0.05
"""Age of the engine data after which a node with requests waiting for an engine asks for an update;
short in comparison with the duration of a turn."""
MAX_RELAYED_OPERATIONS = 256
"""Pending operations of other nodes; further ones are dropped, and their nodes retry."""

OperationDone = Callable[[OperationResult | None, float], list[Effect]]
"""Called with the result of an operation and the time. The result is None if the operation was
given up; it may still have been applied."""


class PeerNode(msgspec.Struct, frozen=True):
    """Another forwarding node that can relay operations to the ledger."""

    process: ReplicaId
    address: Address


EnginesCallback = Callable[[tuple[EngineTurns, ...], float], None]
"""Called with the leader's data on engines and the time."""

SharesCallback = Callable[[tuple[PoolShares, ...], float], None]
"""Called with the shares of tenants by pool and the time."""

PeerProvider = Callable[[], list[PeerNode]]
"""Returns the nodes that report the ledger as reachable, the nearest first."""


class _PendingOperation(msgspec.Struct, kw_only=True):
    """An operation without a result.

    Attributes:
        sent_to: The replica to which it was sent; None while no leader is known.
        sent_at: When it was first sent to that replica.
        retry_at: When it is due to be sent again.
        is_relayed: The operation is relayed for another node.
        relayed_turns: That node's report of turns.
        may_relay_texts: Another node may relay the texts of earlier turns.
        is_background: No request waits for it.
    """

    operation: Operation
    done: OperationDone
    give_up_at: float
    submitted_at: float
    sent_to: ReplicaId | None = None
    sent_at: float = 0.0
    retry_at: float = float("inf")
    attempts: int = 0
    is_relayed: bool = False
    relayed_turns: PassedTurns | UnsetType = UNSET
    may_relay_texts: bool = True
    is_background: bool = False


class LedgerClient:
    """Pending operations of one forwarding node; a state machine without I/O.

    Attributes:
        turns: This node's turns at engines, reported to the leader.
        counts: Counters of retries, late answers and relayed operations.
        answer_seconds: Time from submitting an operation to its result.
        has_answered: The ledger has answered this process at least once.
        helpful_peers: Returns the forwarding nodes that reach the ledger, and can relay operations
            to it; none by default.
        engines_told: Called with the data on engines of each answer that has some; does nothing by
            default.
        engines: The leader's latest data on engines.
        wants_engines: Requests are waiting for an engine, so the client asks the leader for engine
            data when no other answer brings it.
        shares_told: Called with the tenants' shares of each answer that has them; does nothing by
            default.
    """

    def __init__(self, own_address: Address, *, searches_at_start: bool = False) -> None:
        """Create a client that receives answers at ``own_address``.

        With ``searches_at_start`` it looks for the leader before the first operation, so that the
        connections both ways are there when one comes.
        """
        self._own_address = own_address
        self._search = LeaderSearch(own_address)
        self._searches_at_start = searches_at_start
        self._start_search_until: float | None = None
        self._next_start_query = float("-inf")
        self._response_times = ResponseTimeEstimator()
        self._next_peer = 0
        self._pending: dict[int, _PendingOperation] = {}
        self._relayed: set[tuple[ReplicaId, int]] = set()
        self._last_number = 0
        self._is_unreachable = False
        self._copy_targets: tuple[LeaderHint, ...] = ()
        self.turns = OwnTurns()
        self.helpful_peers: PeerProvider = list
        self.engines_told: EnginesCallback = _ignore_engines
        self.engines: tuple[EngineTurns, ...] = ()
        self.wants_engines = False
        self._engines_query_due = float("-inf")
        self.shares_told: SharesCallback = _ignore_shares
        self.answer_seconds = Histogram()
        self.counts = ClientCounts()
        self.has_answered = False

    def set_storage(self, storage: dict[ReplicaId, Address]) -> None:
        """Set the known storage replicas."""
        self._search.set_storage(storage)

    @property
    def leader(self) -> ReplicaId | None:
        """The known leader, if any."""
        return self._search.leader.replica if self._search.leader is not None else None

    @property
    def reaches_ledger(self) -> bool:
        """Whether the ledger answered the latest operations, or none was sent."""
        return not self._is_unreachable

    @property
    def under_way(self) -> int:
        """Number of operations without a result that requests wait for."""
        return sum(not pending.is_background for pending in self._pending.values())

    # ------------------------------------------------------------ operations

    def ask(
        self,
        operation: Operation,
        done: OperationDone,
        now: float,
        give_up_at: float,
        *,
        may_relay_texts: bool = True,
        is_background: bool = False,
    ) -> list[Effect]:
        """Submit an operation; ``done`` is called once, unless the operation is forgotten.

        Without ``may_relay_texts``, an answer through another forwarding node, which may be in any
        region, brings no texts. A stop of the node does not wait for one in the background.
        """
        pending = _PendingOperation(
            operation=operation,
            done=done,
            give_up_at=give_up_at,
            submitted_at=now,
            may_relay_texts=may_relay_texts,
            is_background=is_background,
        )
        return self._add(pending, now)

    def pass_on(
        self, sender: ReplicaId, request: PassedOnRequest, done: OperationDone, now: float
    ) -> list[Effect]:
        """Submit an operation of another node; a duplicate of a pending one is ignored.

        A relayed operation is not relayed again.
        """
        key = (sender, request.number)
        if key in self._relayed or len(self._relayed) >= MAX_RELAYED_OPERATIONS:
            return []

        def ended(result: OperationResult | None, ended_at: float) -> list[Effect]:
            self._relayed.discard(key)
            return done(result, ended_at)

        pending = _PendingOperation(
            operation=request.operation,
            done=ended,
            give_up_at=now + RELAY_TIMEOUT_SECONDS,
            submitted_at=now,
            is_relayed=True,
            relayed_turns=_relayed_turns(sender, request),
        )
        self.counts.for_peers += 1
        self._relayed.add(key)
        return self._add(pending, now)

    def forget(self, operation: Operation) -> None:
        """Stop retrying an operation; ``done`` is not called."""
        for number, pending in list(self._pending.items()):
            if pending.operation is operation:
                del self._pending[number]

    def _add(self, pending: _PendingOperation, now: float) -> list[Effect]:
        self._last_number += 1
        self._pending[self._last_number] = pending
        effects = self._send(self._last_number, pending, now)
        if self._is_unreachable:
            effects.extend(self._send_via_peer(self._last_number, pending, now))
        if self._search.leader is None:
            effects.extend(self._search.send_queries(now))
        return effects

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = [min(item.retry_at, item.give_up_at) for item in self._pending.values()]
        silent_since = self._silent_since()
        if silent_since is not None:
            query_at = silent_since + QUERY_TIMEOUT_FACTOR * self._response_times.timeout
            dues.append(max(query_at, self._search.next_query_at()))
            if not self._is_unreachable:
                dues.append(silent_since + self._response_times.timeout)
        if self._is_searching_at_start():
            dues.append(self._next_start_query)
        report_due = self.turns.report_due()
        if report_due is not None and self._search.leader is not None:
            dues.append(report_due)
        if self.wants_engines and self._search.leader is not None:
            dues.append(self._engines_query_due)
        return min(dues, default=None)

    def tick(self, now: float) -> list[Effect]:
        """Retry unanswered operations, give up expired ones, and check the leader."""
        effects: list[Effect] = []
        for number, pending in list(self._pending.items()):
            if now >= pending.give_up_at:
                del self._pending[number]
                effects.extend(pending.done(None, now))
            elif now >= pending.retry_at:
                effects.extend(self._retry(number, pending, now))
        effects.extend(self._check_leader(now))
        effects.extend(self._search_at_start(now))
        effects.extend(self._send_turn_report(now))
        effects.extend(self._report_counts(now))
        return effects

    def _is_searching_at_start(self) -> bool:
        return self._searches_at_start and self._search.has_storage

    def _search_at_start(self, now: float) -> list[SendPeer]:
        """Query replicas until the leader itself has answered, or for a bounded time."""
        if not self._is_searching_at_start() or now < self._next_start_query:
            return []
        if self._start_search_until is None:
            self._start_search_until = now + START_SEARCH_SECONDS
        has_heard_leader = self._search.heard_at > float("-inf")
        if has_heard_leader or now >= self._start_search_until:
            self._searches_at_start = False
            return []
        self._next_start_query = now + START_QUERY_SECONDS
        return self._search.query_all()

    def _silent_since(self) -> float | None:
        """Return since when operations wait without an answer of the leader; None if none wait."""
        if not self._pending:
            return None
        if self._search.leader is None:
            return min(item.submitted_at for item in self._pending.values())
        first = min(
            item.sent_at if item.sent_to is not None else item.submitted_at
            for item in self._pending.values()
        )
        return max(first, self._search.heard_at)

    def _check_leader(self, now: float) -> list[Effect]:
        """Query for the leader while operations wait; after the timeout, mark it unreachable."""
        silent_since = self._silent_since()
        if silent_since is None:
            return []
        silence = now - silent_since
        timeout = self._response_times.timeout
        effects: list[Effect] = []
        if silence >= QUERY_TIMEOUT_FACTOR * timeout or self._search.leader is None:
            effects.extend(self._search.send_queries(now))
        if silence >= timeout and not self._is_unreachable:
            effects.extend(self._mark_unreachable(silence, now))
        return effects

    def _mark_unreachable(self, silence: float, now: float) -> list[Effect]:
        """Relay all pending operations through peers."""
        self._is_unreachable = True
        fields: dict[str, str | int | float | bool | None] = {
            "silent": round(silence, 3),
            "patience": round(self._response_times.timeout, 3),
            "under_way": len(self._pending),
        }
        effects: list[Effect] = [
            LogRecord(event="ledger_path_lost", fields=fields, level="warning")
        ]
        for number, pending in self._pending.items():
            effects.extend(self._send_via_peer(number, pending, now))
        return effects

    def _send_turn_report(self, now: float) -> list[Effect]:
        """Report turns that no operation carried to the leader, and ask for engine data."""
        leader = self._search.leader
        if leader is None:
            return []
        report = self.turns.take_report(now)
        wants_engines = self.wants_engines and now >= self._engines_query_due
        if report is None and not wants_engines:
            return []
        if wants_engines:
            self._engines_query_due = now + ENGINES_SECONDS
            self.counts.engine_asks += 1
        message = LedgerRequest(
            number=0,
            asker=self._own_address,
            operations=(),
            turns=report,
            wants_engines=wants_engines or UNSET,
            tenant_loads=self._tenant_loads_due(report, now),
        )
        return [SendPeer(to=leader.replica, address=leader.address, message=message)]

    def _report_counts(self, now: float) -> list[LogRecord]:
        if not self.counts.is_due(now):
            return []
        oldest = max((now - item.submitted_at for item in self._pending.values()), default=0.0)
        return self.counts.report(
            now,
            under_way=len(self._pending),
            oldest_seconds=oldest,
            timeout=self._response_times.timeout,
        )

    # ------------------------------------------------------------ answers

    def take_leader(self, sender: ReplicaId, answer: LeaderAnswer, now: float) -> list[Effect]:
        """Handle a storage node's answer to a leader query."""
        is_new_leader = self._search.take_answer(sender, answer, now)
        effects: list[Effect] = []
        if answer.leader is not None and answer.leader.replica == sender:
            effects.extend(self._mark_reachable())
        if is_new_leader:
            effects.extend(self._switch_leader(now))
        elif self._search.leader is None:
            self._unassign_all()
        return effects

    def take_reply(self, reply: LedgerReply, now: float) -> list[Effect]:
        """Handle a reply to an operation or to a request for engine data."""
        effects: list[Effect] = []
        pending = self._pending.get(reply.number)
        if not reply.passed_on:
            effects.extend(self._note_leader_reply(reply, pending, now))
        if reply.engines:
            self._engines_query_due = now + ENGINES_SECONDS
            self.engines = reply.engines
            self.engines_told(reply.engines, now)
        if not isinstance(reply.shares, UnsetType):
            self.shares_told(reply.shares, now)
        if pending is None:
            self.counts.late_answers += bool(reply.results)
            return effects
        if reply.results:
            del self._pending[reply.number]
            self.answer_seconds.observe(now - pending.submitted_at)
            effects.extend(pending.done(reply.results[0], now))
        return effects

    def _note_leader_reply(
        self, reply: LedgerReply, pending: _PendingOperation | None, now: float
    ) -> list[Effect]:
        """Update the leader and its response time from a reply that was not relayed."""
        effects: list[Effect] = []
        is_new_leader = reply.leader is not None and self._search.update_leader(
            reply.leader, reply.term
        )
        if reply.results:
            self.has_answered = True
            self._search.heard_at = now
            if isinstance(reply.results[0], Granted):
                self._copy_targets = reply.copies_to
            effects.extend(self._mark_reachable())
            if pending is not None and pending.sent_to is not None and not is_new_leader:
                self._response_times.observe(now - pending.sent_at)
        if is_new_leader:
            effects.extend(self._switch_leader(now))
        elif pending is not None and not reply.results:
            effects.extend(self._handle_not_leading(reply, pending, now))
        return effects

    def _handle_not_leading(
        self, reply: LedgerReply, pending: _PendingOperation, now: float
    ) -> list[Effect]:
        """Retry after a reply without results: the replica does not lead, or is handing over."""
        leader = self._search.leader
        if reply.leader is None and leader is not None and leader.replica == pending.sent_to:
            self._search.forget()
            self._unassign_all()
            return list(self._search.send_queries(now))
        if leader is None or leader.replica == pending.sent_to:
            delay = min(
                MAX_NOT_LEADING_RETRY_SECONDS,
                NOT_LEADING_RETRY_SECONDS * 2.0 ** min(pending.attempts, 8),
            )
            pending.retry_at = min(pending.retry_at, now + delay)
            return []
        self.counts.repetitions["redirected"] += 1
        return self._send(reply.number, pending, now)

    def _unassign_all(self) -> None:
        """Mark all operations as not sent, so that they wait for the next leader."""
        for pending in self._pending.values():
            pending.sent_to = None

    def _mark_reachable(self) -> list[Effect]:
        if not self._is_unreachable:
            return []
        self._is_unreachable = False
        return [LogRecord(event="ledger_path_found", fields={"under_way": len(self._pending)})]

    def _switch_leader(self, now: float) -> list[Effect]:
        """Send all pending operations to a new leader."""
        leader = self._search.leader
        assert leader is not None
        self.turns.leader_changed()
        self._response_times = ResponseTimeEstimator()
        self._copy_targets = ()
        fields: dict[str, str | int | float | bool | None] = {
            "leader": leader.replica,
            "term": self._search.term,
            "under_way": len(self._pending),
        }
        effects: list[Effect] = [LogRecord(event="ledger_leader_known", fields=fields)]
        if self._searches_at_start and self._search.heard_at == float("-inf"):
            # The leader connects to this node now, and not only when an entry is committed.
            effects.extend(self._search.query_leader())
        for number, pending in self._pending.items():
            self.counts.repetitions["new_leader"] += pending.sent_to is not None
            pending.attempts = 0
            effects.extend(self._send(number, pending, now))
        return effects

    # ------------------------------------------------------------ sending

    def _retry(self, number: int, pending: _PendingOperation, now: float) -> list[Effect]:
        self.counts.repetitions["silence"] += self._search.leader is not None
        effects = self._send(number, pending, now)
        if self._is_unreachable:
            effects.extend(self._send_via_peer(number, pending, now))
        return effects

    def _send(self, number: int, pending: _PendingOperation, now: float) -> list[Effect]:
        """Send an operation to the leader; without a known leader, schedule a retry."""
        leader = self._search.leader
        if leader is None:
            pending.sent_to = None
            self._schedule_retry(pending, now)
            return []
        if pending.sent_to != leader.replica or not pending.attempts:
            pending.sent_to = leader.replica
            pending.sent_at = now
        copies = self._text_copies(pending.operation) if not pending.attempts else []
        self._schedule_retry(pending, now)
        turns = self.turns.take_report(now)
        message = LedgerRequest(
            number=number,
            asker=self._own_address,
            operations=(pending.operation,),
            turns=turns,
            is_copied=bool(copies),
            passed_turns=pending.relayed_turns,
            tenant_loads=self._tenant_loads_due(turns, now),
        )
        # Copies are sent first, so that they arrive before the log entry that omits the texts.
        return [*copies, SendPeer(to=leader.replica, address=leader.address, message=message)]

    def _tenant_loads_due(
        self, turns: NodeTurns | None, now: float
    ) -> tuple[PoolLoad, ...] | UnsetType:
        """Return the tenants' loads that accompany a report of turns to the leader.

        While the leader is unreachable, they are left for relayed operations.
        """
        if turns is None or self._is_unreachable:
            return UNSET
        return self.turns.take_rows(now)

    def _text_copies(self, operation: Operation) -> list[Effect]:
        """Return the messages that carry a turn's text to the followers named by the leader."""
        turn = operation.turn if isinstance(operation, Settle) else None
        if turn is None or len(turn.text) < MIN_TEXT_BYTES:
            return []
        self.counts.texts_copied += bool(self._copy_targets)
        copy = TextCopy(turn_id=turn.turn_id, text=turn.text)
        return [
            SendPeer(to=item.replica, address=item.address, message=copy)
            for item in self._copy_targets
        ]

    def _schedule_retry(self, pending: _PendingOperation, now: float) -> None:
        delay = (
            RETRY_TIMEOUT_FACTOR * self._response_times.timeout * 2.0 ** min(pending.attempts, 8)
        )
        pending.retry_at = now + min(MAX_RETRY_DELAY_SECONDS, delay)
        pending.attempts += 1

    def _send_via_peer(self, number: int, pending: _PendingOperation, now: float) -> list[Effect]:
        """Relay an operation through a reachable peer, a different one with each attempt."""
        peers = [] if pending.is_relayed else self.helpful_peers()
        if not peers:
            return []
        peer = peers[self._next_peer % len(peers)]
        if pending.attempts > 1:
            self._next_peer += 1
        self.counts.through_peers += 1
        operation = pending.operation
        if not pending.may_relay_texts and isinstance(operation, Reserve):
            operation = msgspec.structs.replace(operation, missing_from="")
        message = PassedOnRequest(
            number=number,
            asker=self._own_address,
            operation=operation,
            turns=self.turns.report_for_peer(now),
            tenant_loads=self.turns.take_rows(now),
        )
        return [SendPeer(to=peer.process, address=peer.address, message=message)]


def _relayed_turns(sender: ReplicaId, request: PassedOnRequest) -> PassedTurns | UnsetType:
    """Return the report of turns that accompanies a relayed operation."""
    if isinstance(request.turns, UnsetType):
        return UNSET
    rows = None if isinstance(request.tenant_loads, UnsetType) else request.tenant_loads
    return PassedTurns(sender, request.turns, rows)


def _ignore_shares(shares: tuple[PoolShares, ...], now: float) -> None:
    """Ignore the shares."""


def _ignore_engines(engines: tuple[EngineTurns, ...], now: float) -> None:
    """Ignore the engines."""
