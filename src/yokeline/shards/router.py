"""Routes operations to the leaders of their shards and reports the outcomes.

A request without a reply is sent again. The same leader detects the repetition by the request
id (``shard_server``), while the request is served or its reply is cached. Another leader detects
it by the run id or turn key, which the state machine deduplicates. At the deadline, a write is
reported as not run only if every attempt got a not-leader reply.
"""

from __future__ import annotations

from returns.result import Failure, Result, Success

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import ReplicaId, RequestId, ShardId
from yokeline.messages.codec import decode_events, decode_result, encode_operation
from yokeline.messages.types import RunEvents, ShardCancel, ShardReply, ShardRequest
from yokeline.runs.events import RunEvent
from yokeline.server.context import NodeContext
from yokeline.shards.deadlines import DeadlineQueue
from yokeline.shards.host import ShardHost
from yokeline.shards.operation_server import (
    EventsReceived,
    OperationDone,
    OperationServer,
    is_leadership_error,
)
from yokeline.shards.operations import Operation, OperationResult
from yokeline.shards.pending import PendingRequest
from yokeline.shards.targets import TargetChooser

RETRY_BASE_SECONDS = 0.05
RETRY_MAX_SECONDS = 1.0
RESEND_BASE_SECONDS = 1.0
"""Silence after which a request is sent to its target again; doubles each time."""
RESEND_MAX_SECONDS = 8.0
MAX_REDIRECTS = 3
"""Leader hints followed without a pause, since two nodes may name each other as leader."""
MAX_EVENT_GAPS = 3
"""Gaps in a request's events after which its watch is no longer restarted."""
DEADLINE_MARGIN_SECONDS = 0.2
"""Time before the requester's deadline at which a leader replies, for the transfer."""
LATE_REPLIES_METRIC = "yokeline_late_replies_total"


class ShardRouter:
    """Sends requests, follows redirects, retries, and drops late replies."""

    def __init__(self, context: NodeContext, host: ShardHost, server: OperationServer) -> None:
        """Route by the leaders that ``host`` knows; ``server`` serves the shards led here."""
        self._context = context
        self._host = host
        self._server = server
        self._targets = TargetChooser(context.replica, host)
        self._pending: dict[RequestId, PendingRequest] = {}
        self._by_attempt_id: dict[RequestId, PendingRequest] = {}
        self._by_shard: dict[ShardId, dict[RequestId, PendingRequest]] = {}
        self._deadlines: DeadlineQueue[RequestId] = DeadlineQueue()
        host.observe_leaders(self._leader_changed)
        host.observe_deaths(self._node_died)

    # ------------------------------------------------------------ requests

    def request(
        self,
        shard: ShardId,
        operation: Operation,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> RequestId:
        """Send an operation; ``done`` is called once, possibly before this returns.

        Args:
            shard: Shard of the operation.
            operation: The operation.
            deadline_seconds: Remaining seconds, after which ``done`` is called at the latest.
            done: Receives the result, or an error whose ``execution`` holds for all attempts.
            on_events: Receives the events of a watched run.
        """
        request = self._context.new_request_id()
        deadline = self._context.now + deadline_seconds
        pending = PendingRequest(request, shard, operation, deadline, done, on_events)
        self._pending[request] = pending
        self._by_attempt_id[request] = pending
        self._by_shard.setdefault(shard, {})[request] = pending
        self._dispatch(pending)
        return request

    def cancel(self, request: RequestId) -> None:
        """Cancel a request: its callbacks are not called again. Committed changes remain."""
        pending = self._pending.get(request)
        if pending is None:
            return
        self._forget(pending)
        self._cancel_at_target(pending)

    def pending_requests(self) -> int:
        """Return how many requests wait for a reply."""
        return len(self._pending)

    # ------------------------------------------------------------ sending

    def _dispatch(self, pending: PendingRequest) -> None:
        """Send a request to its target, or back off if there is none."""
        target = self._targets.choose(pending)
        pending.target = target
        if target is None:
            self._back_off(pending)
        elif target == self._context.replica:
            self._serve_locally(pending)
        else:
            self._send(pending, target)

    def _send(self, pending: PendingRequest, target: ReplicaId) -> None:
        pending.note_sent(target)
        message = ShardRequest(
            request=pending.attempt_id,
            shard=pending.shard,
            operation=encode_operation(pending.current_operation()),
            deadline=self._leader_timeout_seconds(pending),
        )
        self._context.send_peer(target, message)
        wait = min(RESEND_BASE_SECONDS * 2.0**pending.resends, RESEND_MAX_SECONDS)
        self._set_due(pending, wait)

    def _serve_locally(self, pending: PendingRequest) -> None:
        own = self._context.replica
        attempt = pending.attempts
        pending.note_sent(own)
        self._deadlines.set(pending.request, pending.deadline)

        def done(result: Result[OperationResult, YokelineError]) -> None:
            if attempt == pending.attempts:
                pending.ticket = None
            self._handle_result(pending, own, result)

        def push(events: tuple[RunEvent, ...]) -> None:
            if attempt == pending.attempts and pending.target == own:
                self._deliver(pending, events)

        ticket = self._server.serve(
            pending.current_operation(),
            pending.shard,
            deadline_seconds=self._leader_timeout_seconds(pending),
            done=done,
            on_events=push,
        )
        if attempt == pending.attempts and pending.request in self._pending:
            pending.ticket = ticket

    def _leader_timeout_seconds(self, pending: PendingRequest) -> float:
        """Return the remaining seconds until the leader has to reply."""
        left = max(0.0, pending.deadline - self._context.now)
        return left - min(DEADLINE_MARGIN_SECONDS, left / 2.0)

    def _back_off(self, pending: PendingRequest) -> None:
        """Wait before the next attempt: exponential backoff with jitter."""
        pending.target = None
        pending.redirects = 0
        longest = min(RETRY_BASE_SECONDS * 2.0**pending.attempts, RETRY_MAX_SECONDS)
        pending.attempts += 1
        self._set_due(pending, longest * (0.5 + 0.5 * self._context.random.random()))

    def _set_due(self, pending: PendingRequest, seconds: float) -> None:
        self._deadlines.set(pending.request, min(pending.deadline, self._context.now + seconds))

    # ------------------------------------------------------------ timers

    def tick(self) -> None:
        """Retry or expire the requests that are due."""
        for request in self._deadlines.take_due(self._context.now):
            pending = self._pending[request]
            if self._context.now >= pending.deadline:
                self._expire(pending)
            else:
                self._retry(pending)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._deadlines.next()

    def _expire(self, pending: PendingRequest) -> None:
        self._context.counters["yokeline_requests_expired_total"] += 1
        self._cancel_at_target(pending)
        self._finish(pending, Failure(pending.timeout_error()))

    def _retry(self, pending: PendingRequest) -> None:
        """Send a request again, after a backoff or after silence of its target."""
        pending.not_leader_node = None
        if pending.target is not None:
            pending.resends += 1
            self._context.counters["yokeline_requests_resent_total"] += 1
        self._dispatch(pending)

    def _leader_changed(self, shard: ShardId) -> None:
        """Send the pending requests of a shard to its new leader immediately."""
        leader = self._host.leader_of(shard)
        if leader is None:
            return
        own = self._context.replica
        if leader.leader == own and not self._host.leads(shard):
            return
        for pending in list(self._by_shard.get(shard, {}).values()):
            if pending.target != leader.leader:
                self._reroute(pending)

    def _node_died(self, replica: ReplicaId) -> None:
        """Send the requests that are pending at a dead node to another one."""
        for pending in list(self._pending.values()):
            if pending.target == replica:
                self._reroute(pending)

    def _reroute(self, pending: PendingRequest) -> None:
        if self._pending.get(pending.request) is not pending:
            return
        self._abandon_local_operation(pending)
        pending.not_leader_node = None
        pending.resends = 0
        pending.attempts += 1
        self._dispatch(pending)

    def _abandon_local_operation(self, pending: PendingRequest) -> None:
        if pending.ticket is not None:
            self._server.abandon(pending.ticket)
            pending.ticket = None

    def _cancel_at_target(self, pending: PendingRequest) -> None:
        """Tell the node that serves a request that no reply is wanted."""
        if pending.ticket is not None:
            self._abandon_local_operation(pending)
        elif pending.target not in (None, self._context.replica):
            self._context.send_peer(pending.target, ShardCancel(request=pending.attempt_id))

    # ------------------------------------------------------------ replies

    def receive_reply(self, sender: ReplicaId, reply: ShardReply) -> None:
        """Process the reply of another node."""
        pending = self._by_attempt_id.get(reply.request)
        if pending is None:
            self._context.counters[LATE_REPLIES_METRIC] += 1
            return
        if reply.leader is not None:
            self._host.receive_leader_update(sender, reply.leader)
        if self._pending.get(pending.request) is not pending:
            return
        if reply.not_leader:
            self._handle_not_leader(pending, sender)
        elif reply.error is not None:
            self._handle_result(pending, sender, Failure(reply.error))
        else:
            self._handle_result(pending, sender, decode_result(reply.result))

    def _handle_not_leader(self, pending: PendingRequest, sender: ReplicaId) -> None:
        """Handle a not-leader reply: the node does not lead the shard and did nothing."""
        pending.note_not_leader_reply(sender)
        if pending.target != sender:
            return
        leader = self._host.leader_of(pending.shard)
        known = leader is not None and leader.leader not in (sender, self._context.replica)
        if known and pending.redirects < MAX_REDIRECTS:
            pending.redirects += 1
            pending.attempts += 1
            self._dispatch(pending)
        else:
            self._back_off(pending)

    def _handle_result(
        self,
        pending: PendingRequest,
        sender: ReplicaId,
        result: Result[OperationResult, YokelineError],
    ) -> None:
        if self._pending.get(pending.request) is not pending:
            self._context.counters[LATE_REPLIES_METRIC] += 1
            return
        if isinstance(result, Success):
            self._finish(pending, result)
            return
        error = result.failure()
        if not is_leadership_error(error):
            self._finish(pending, Failure(pending.error_across_attempts(sender, error)))
        elif error.execution is Execution.NOT_RUN:
            self._handle_not_leader(pending, sender)
        else:
            pending.note_outcome_unknown(sender)
            if pending.target == sender:
                self._back_off(pending)

    def _finish(
        self, pending: PendingRequest, result: Result[OperationResult, YokelineError]
    ) -> None:
        self._forget(pending)
        pending.done(result)

    def _forget(self, pending: PendingRequest) -> None:
        del self._pending[pending.request]
        del self._by_attempt_id[pending.attempt_id]
        shard_requests = self._by_shard[pending.shard]
        del shard_requests[pending.request]
        if not shard_requests:
            del self._by_shard[pending.shard]
        self._deadlines.remove(pending.request)

    # ------------------------------------------------------------ events

    def receive_events(self, sender: ReplicaId, message: RunEvents) -> None:
        """Process events of a watched run."""
        pending = self._by_attempt_id.get(message.request)
        if pending is None or pending.target != sender:
            self._context.counters["yokeline_late_events_total"] += 1
            return
        decoded = decode_events(message.events)
        if isinstance(decoded, Success):
            self._deliver(pending, decoded.unwrap())
        else:
            self._context.warn("events_malformed", reason=decoded.failure().line())

    def _deliver(self, pending: PendingRequest, events: tuple[RunEvent, ...]) -> None:
        fresh, gap = pending.accept_events(events)
        if fresh and pending.on_events is not None:
            pending.on_events(fresh)
        if gap and self._pending.get(pending.request) is pending:
            self._restart_watch(pending)

    def _restart_watch(self, pending: PendingRequest) -> None:
        """Restart a watch after the last event received, because text is missing."""
        self._context.counters["yokeline_event_gaps_total"] += 1
        pending.gaps += 1
        if pending.gaps > MAX_EVENT_GAPS:
            return
        self._cancel_at_target(pending)
        del self._by_attempt_id[pending.attempt_id]
        pending.attempt_id = self._context.new_request_id()
        self._by_attempt_id[pending.attempt_id] = pending
        pending.attempts += 1
        self._dispatch(pending)
