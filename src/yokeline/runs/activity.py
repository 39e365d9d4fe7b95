"""Activities of runs, and the start and outcome of a call attempt.

An **activity** is the executor's work on one step of a run: a proposal, a call or a wait. A
run has at most one activity at a time. Callbacks of an activity that has ended are ignored,
which covers late answers and lost leadership.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs.model import CallStatus, ChatMessage, Reservation, Usage
from yokeline.timers import Timer


def _no_op() -> None:
    return None


class Stage(enum.Enum):
    """Stage of an activity; not stored and not sent."""

    PROPOSING = "proposing"
    QUEUED = "queued"
    """Waiting for an engine with free capacity."""
    BACKING_OFF = "backing_off"
    """Waiting before the next attempt."""
    AWAITING_LEASE = "awaiting_lease"
    """The start of the call is committed; the leader lease does not allow sending yet."""
    CALLING = "calling"
    AWAITING_CHILD = "awaiting_child"
    """Waiting for a child run to become final."""
    AWAITING_HAND_OVER = "awaiting_hand_over"
    """Waiting for the shard's leadership to move, because this node is draining."""


class Activity:
    """The executor's work on the current step of one run.

    Attributes:
        term: Leadership term in which the activity was created.
        timer: Timer of :meth:`ExecutorCore.call_later`, if one is set.
        cancel: Cancels the external work of the activity, such as a call.
        detach: Stops following the external work and leaves it to the next leader.
        repeatable: Whether the activity may stop before the outcome of its call is known, at a
            deadline or a leadership transfer. True for idempotent calls and for a started child
            call, whose child run is replicated itself.
    """

    __slots__ = ("cancel", "detach", "repeatable", "run", "shard", "stage", "term", "timer")

    def __init__(self, shard: ShardId, run: RunId, term: int) -> None:
        self.shard = shard
        self.run = run
        self.term = term
        self.stage = Stage.PROPOSING
        self.timer: Timer | None = None
        self.cancel: Callable[[], None] = _no_op
        self.detach: Callable[[], None] = _no_op
        self.repeatable = True

    def clear_callbacks(self) -> None:
        """Reset ``cancel`` and ``detach``: the activity has no external work."""
        self.cancel = _no_op
        self.detach = _no_op


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of an attempt, to be committed as :class:`CallFinished`."""

    status: CallStatus
    usage: Usage = Usage()
    message: ChatMessage | None = None
    error: YokelineError | None = None


class AttemptSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of :class:`CallStarted` that depend on the selected back end."""

    backend: str
    reason: str
    repeatable: bool
    reserved: Reservation = Reservation()
