"""Events of a run as its watchers see them, in order, each with an id to resume from."""

from __future__ import annotations

import msgspec

from yokeline.errors import YokelineError
from yokeline.runs.model import CallKind, CallStatus, RunStatus, Usage


class EventId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Position in a run: call number, then offset in that call; written ``call.offset``.

    A call's ``call_started`` has offset 0; text ending at character ``n`` of the call's
    answer has offset ``n``; its ``call_finished`` has the offset of its whole length plus 1.
    """

    call: int
    offset: int

    def __str__(self) -> str:
        """Return the form used in ``Last-Event-ID``."""
        return f"{self.call}.{self.offset}"


class CallStartedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="call_started"):
    """A call is about to be sent; ``reason`` says why this back end."""

    id: EventId
    attempt: int
    kind: CallKind
    backend: str
    reason: str


class TextEvent(msgspec.Struct, frozen=True, kw_only=True, tag="text"):
    """Text of a model's answer; ``id.offset`` is the offset after it."""

    id: EventId
    text: str


class RestartEvent(msgspec.Struct, frozen=True, kw_only=True, tag="restart"):
    """The call's text so far is void: it is being generated anew from offset 0."""

    id: EventId
    attempt: int


class CallFinishedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="call_finished"):
    """A call ended."""

    id: EventId
    status: CallStatus
    usage: Usage
    error: YokelineError | None = None


class FinishedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="finished"):
    """The run (or, for a conversation, its turn) is answered; always the last event.

    Attributes:
        answer: The whole answer.
        length: Characters of the whole answer.
        digest: xxh3 64 hex of the answer's UTF-8.
    """

    id: EventId
    status: RunStatus
    turn: int
    answer: str
    length: int
    digest: str
    spent: Usage
    error: YokelineError | None = None


RunEvent = CallStartedEvent | TextEvent | RestartEvent | CallFinishedEvent | FinishedEvent
