"""Activities of runs, and what starts and ends an attempt of a call.

An **activity** is the one thing that the executor does for a run at a time: a proposal under
way, a call under way, or a wait. Its callbacks do nothing once it is over, so late answers
and lost leadership need no further care.
"""

from __future__ import annotations

import enum
from collections.abc import Callable

import msgspec

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, ShardId
from yokeline.runs.model import CallStatus, ChatMessage, Reservation, Usage
from yokeline.timers import Timer


def _nothing() -> None:
    return None


class Stage(enum.Enum):
    """What an activity is doing."""

    PROPOSING = "proposing"
    WAITING = "waiting"
    """For an engine with room."""
    PAUSED = "paused"
    """Until the next attempt."""
    SENDING = "sending"
    """Its start is committed; the lease does not allow to send yet."""
    CALLING = "calling"
    CHILD = "child"
    """For a child run to end."""
    HELD = "held"
    """For a while, since leadership is about to be handed over and the next leader goes on."""


class Activity:
    """What the executor does for one run now.

    Attributes:
        cancel: Stops what is under way outside this node, as far as that is harmless.
        detach: Forgets what is under way and leaves it to the next leader.
        repeatable: The call under way may be given up and repeated.
    """

    __slots__ = ("cancel", "detach", "repeatable", "run", "shard", "stage", "term", "timer")

    def __init__(self, shard: ShardId, run: RunId, term: int) -> None:
        """Create the activity of ``run`` under leadership term ``term``."""
        self.shard = shard
        self.run = run
        self.term = term
        self.stage = Stage.PROPOSING
        self.timer: Timer | None = None
        self.cancel: Callable[[], None] = _nothing
        self.detach: Callable[[], None] = _nothing
        self.repeatable = True

    def clear(self) -> None:
        """Note that nothing is under way outside this node."""
        self.cancel = _nothing
        self.detach = _nothing


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt ended, to be committed as :class:`CallFinished`."""

    status: CallStatus
    usage: Usage = Usage()
    message: ChatMessage | None = None
    error: YokelineError | None = None


class CallStart(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of :class:`CallStarted` that depend on the back end."""

    backend: str
    reason: str
    repeatable: bool
    reserved: Reservation = Reservation()
