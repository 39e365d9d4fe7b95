"""A watcher's position in a run, and the events that bring it up to date.

Events are computed from the run's state and the live text of the call under way, so that a
watcher may connect at any node, at any time, with the id of the last event that it has seen.
"""

from __future__ import annotations

from yokeline.runs.events import (
    CallFinishedEvent,
    CallStartedEvent,
    EventId,
    FinishedEvent,
    RestartEvent,
    RunEvent,
    TextEvent,
)
from yokeline.runs.live_text import LiveText
from yokeline.runs.model import CallKind, CallRecord, CallStatus, Role, Run, RunStatus

FIRST_ATTEMPT = 1


class RunCursor:
    """What one watcher has seen.

    Attributes:
        call: Number of the call it is at; 0 before the first.
        offset: Offset of its last event in that call.
        ended: The :class:`FinishedEvent` was sent.
    """

    def __init__(self, call: int, offset: int) -> None:
        """Create a cursor at the id of the last event seen (0, 0 for none)."""
        self.call = call
        self.offset = offset
        self.ended = False
        self._attempt = FIRST_ATTEMPT
        self._closed = False

    def advance(self, run: Run, live: LiveText | None) -> list[RunEvent]:
        """Return the events since the last time, in order.

        Args:
            run: The run as it stands.
            live: Text of its call under way, if this node follows it.
        """
        if self.ended:
            return []
        events: list[RunEvent] = []
        for record in run.calls[max(self.call - 1, 0) :]:
            events.extend(self._events_of_call(run, record, live))
        if run.status is not RunStatus.ACTIVE:
            events.append(self._finished(run))
        return events

    def _events_of_call(
        self, run: Run, record: CallRecord, live: LiveText | None
    ) -> list[RunEvent]:
        text = call_text(run, record, live)
        closed = is_closed(run, record)
        if record.number == self.call and self._seen_to_its_end(text, closed):
            return []
        events = self._start_events(record)
        if len(text) > self.offset:
            events.append(self._text(record, text))
        if closed:
            events.append(self._call_finished(record, text))
        return events

    def _seen_to_its_end(self, text: str, closed: bool) -> bool:
        if self._closed:
            return True
        self._closed = closed and bool(text) and self.offset > len(text)
        return self._closed

    def _start_events(self, record: CallRecord) -> list[RunEvent]:
        """Return the events that say which attempt of which call the next text is of."""
        same_call = record.number == self.call
        if same_call and record.attempt == self._attempt:
            return []
        events: list[RunEvent] = []
        if same_call and self.offset > 0:
            void = EventId(record.number, 0)
            events.append(RestartEvent(id=void, attempt=record.attempt))
        self.call = record.number
        self.offset = 0
        self._attempt = record.attempt
        self._closed = False
        events.append(
            CallStartedEvent(
                id=EventId(record.number, 0),
                attempt=record.attempt,
                kind=record.kind,
                backend=record.backend,
                reason=record.reason,
            )
        )
        return events

    def _text(self, record: CallRecord, text: str) -> TextEvent:
        new = text[self.offset :]
        self.offset = len(text)
        return TextEvent(id=EventId(record.number, self.offset), text=new)

    def _call_finished(self, record: CallRecord, text: str) -> CallFinishedEvent:
        self.offset = max(self.offset, len(text)) + 1
        self._closed = True
        return CallFinishedEvent(
            id=EventId(record.number, self.offset),
            status=record.status,
            usage=record.usage,
            error=record.error,
        )

    def _finished(self, run: Run) -> FinishedEvent:
        self.ended = True
        self.offset += 1
        return FinishedEvent(
            id=EventId(self.call, self.offset),
            status=run.status,
            turn=run.turn,
            answer=run.answer,
            length=len(run.answer),
            digest=run.answer_digest,
            spent=run.spent,
            error=run.error,
        )


def is_closed(run: Run, record: CallRecord) -> bool:
    """Return whether no further attempt of a call will follow."""
    if record.status in {CallStatus.SUCCEEDED, CallStatus.UNKNOWN} or record.answered:
        return True
    if record.number < len(run.calls):
        return True
    return run.status is not RunStatus.ACTIVE


def call_text(run: Run, record: CallRecord, live: LiveText | None) -> str:
    """Return the text of a model call so far: live, or from the history."""
    if record.kind is not CallKind.MODEL:
        return ""
    if record.answered:
        return _answer_in_history(run, record)
    if live is None or (live.number, live.attempt) != (record.number, record.attempt):
        return ""
    return live.text()


def _answer_in_history(run: Run, record: CallRecord) -> str:
    """Return the answer of a model call: answered calls and answers are in the same order."""
    earlier = run.calls[: record.number - 1]
    position = sum(1 for call in earlier if call.kind is CallKind.MODEL and call.answered)
    answers = (message for message in run.history if message.role is Role.ASSISTANT)
    for index, message in enumerate(answers):
        if index == position:
            return message.content
    return ""
