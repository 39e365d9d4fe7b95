"""Events that a run's watchers receive, each with an id from which to resume."""

from __future__ import annotations

import msgspec

from yokeline.errors import YokelineError
from yokeline.runs.model import CallKind, CallStatus, RunStatus, Usage


class EventId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Position in a run: a call number and an offset within the call's answer in characters.

    ``call_started`` has offset 0, a text event the offset of its end, and ``call_finished`` the
    length of the whole answer plus 1.
    """

    call: int
    offset: int

    def __str__(self) -> str:
        """Return ``call.offset``, the form used in ``Last-Event-ID``."""
        return f"{self.call}.{self.offset}"


class CallStartedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="call_started"):
    """A call has started; ``reason`` says why its back end was selected."""

    id: EventId
    attempt: int
    kind: CallKind
    backend: str
    reason: str


class TextEvent(msgspec.Struct, frozen=True, kw_only=True, tag="text"):
    """A part of a model's answer; ``id.offset`` is the offset of its end."""

    id: EventId
    text: str


class RestartEvent(msgspec.Struct, frozen=True, kw_only=True, tag="restart"):
    """The call's earlier text is invalid; a new attempt generates it again from offset 0."""

    id: EventId
    attempt: int


class CallFinishedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="call_finished"):
    """A call has its final outcome; no other attempt follows."""

    id: EventId
    status: CallStatus
    usage: Usage
    error: YokelineError | None = None


class FinishedEvent(msgspec.Struct, frozen=True, kw_only=True, tag="finished"):
    """The last event of a stream: the run is final, or idle after a turn of a conversation.

    Attributes:
        answer: The complete answer.
        length: Length of the answer in characters.
        digest: Hex XXH3-64 digest of the answer's UTF-8 bytes.
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
