"""State of one routed request: its attempts and its position in the events."""

from __future__ import annotations

from collections import Counter

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import ReplicaId, RequestId, ShardId
from yokeline.runs.events import EventId, RunEvent, TextEvent
from yokeline.shards.errors import no_leader, read_timed_out, write_timed_out
from yokeline.shards.operation_server import EventsReceived, OperationDone, is_write
from yokeline.shards.operations import Operation, WatchRun

_ATTEMPT_INDEPENDENT_KINDS = (
    ErrorKind.BAD_REQUEST,
    ErrorKind.FORBIDDEN,
    ErrorKind.IDEMPOTENCY_KEY_REUSED,
)
"""Kinds that depend on the request and on committed state only, so that they hold for every
attempt of the request.
"""


class PendingRequest:
    """A request and what is known of its attempts.

    Attributes:
        request: Id that the caller knows the request by.
        attempt_id: Request id in messages to other nodes. Resends keep it; a watch that restarts
            after a gap gets a new one.
        target: Node that is to reply; None while none is known.
        ticket: Ticket of the local executor, while this node serves the request itself.
        attempts: Number of attempts, which determines the backoff. It is also the version of the
            current attempt: callbacks of attempts with another number are ignored.
        deadline: Monotonic time at which the request expires.
        redirects: Leader hints followed without a pause since the last backoff.
        outcome_unknown: A leader has replied that it does not know the outcome of an attempt.
        not_leader_node: The node that sent the last not-leader reply; None after a retry.
    """

    def __init__(
        self,
        request: RequestId,
        shard: ShardId,
        operation: Operation,
        deadline: float,
        done: OperationDone,
        on_events: EventsReceived | None,
    ) -> None:
        """Create a request without attempts."""
        self.request = request
        self.attempt_id = request
        self.shard = shard
        self.operation = operation
        self.deadline = deadline
        self.done = done
        self.on_events = on_events
        self.target: ReplicaId | None = None
        self.ticket: str | None = None
        self.attempts = 0
        self.resends = 0
        self.redirects = 0
        self.gaps = 0
        self.outcome_unknown = False
        self.not_leader_node: ReplicaId | None = None
        self._unanswered: Counter[ReplicaId] = Counter()
        self._position = _first_position(operation)

    # ------------------------------------------------------------ attempts

    def note_sent(self, to: ReplicaId) -> None:
        """Record that an attempt was sent to a node."""
        self._unanswered[to] += 1

    def note_not_leader_reply(self, sender: ReplicaId) -> None:
        """Record a not-leader reply: the node did not execute the attempt."""
        self._unanswered[sender] -= 1
        self.not_leader_node = sender

    def note_outcome_unknown(self, sender: ReplicaId) -> None:
        """Record that a node does not know the outcome of an attempt."""
        self._unanswered[sender] -= 1
        self.outcome_unknown = True

    @property
    def may_have_run(self) -> bool:
        """Whether an attempt may have changed state, or may still do so."""
        return self.outcome_unknown or any(count > 0 for count in self._unanswered.values())

    def error_across_attempts(self, sender: ReplicaId, error: YokelineError) -> YokelineError:
        """Return a leader's error with an ``execution`` that holds for all attempts."""
        self._unanswered[sender] -= 1
        if error.execution is not Execution.NOT_RUN or error.kind in _ATTEMPT_INDEPENDENT_KINDS:
            return error
        if not is_write(self.operation) or not self.may_have_run:
            return error
        return msgspec.structs.replace(error, execution=Execution.UNKNOWN)

    def timeout_error(self) -> YokelineError:
        """Return the error for a request whose deadline passes without a reply."""
        if not is_write(self.operation):
            return read_timed_out(self.shard)
        return write_timed_out(self.shard) if self.may_have_run else no_leader(self.shard)

    # ------------------------------------------------------------ events

    def current_operation(self) -> Operation:
        """Return the operation to send; a watch resumes after the last event received."""
        if not isinstance(self.operation, WatchRun):
            return self.operation
        return msgspec.structs.replace(
            self.operation,
            after_call=self._position.call,
            after_offset=self._position.offset,
        )

    def accept_events(self, events: tuple[RunEvent, ...]) -> tuple[tuple[RunEvent, ...], bool]:
        """Return the events that are new, and whether text is missing after them."""
        fresh: list[RunEvent] = []
        for event in events:
            if isinstance(event, TextEvent):
                if self._has_gap_before(event):
                    return tuple(fresh), True
                new_text = self._unseen_part(event)
                if new_text is None:
                    continue
                event = new_text
            self._position = event.id
            fresh.append(event)
        return tuple(fresh), False

    def _has_gap_before(self, event: TextEvent) -> bool:
        start = event.id.offset - len(event.text)
        seen = self._position.offset if event.id.call == self._position.call else 0
        return start > seen

    def _unseen_part(self, event: TextEvent) -> TextEvent | None:
        """Return the part of a text that was not received before, None if there is none."""
        if event.id.call != self._position.call:
            return event
        length = event.id.offset - self._position.offset
        if length <= 0:
            return None
        return TextEvent(id=event.id, text=event.text[-length:])


def _first_position(operation: Operation) -> EventId:
    if isinstance(operation, WatchRun):
        return EventId(operation.after_call, operation.after_offset)
    return EventId(0, 0)
