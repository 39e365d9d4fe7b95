"""A watcher's position in a run, and the events that follow it.

Events are computed from the run's state and the partial text of its in-flight call. A watcher
can therefore connect to any node with the id of the last event that it has seen.
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
from yokeline.runs.model import CallKind, CallRecord, CallStatus, Role, Run, RunStatus
from yokeline.runs.partial_text import PartialText

FIRST_ATTEMPT = 1


class RunCursor:
    """Position of one watcher in a run's event stream.

    Attributes:
        call: Number of the current call; 0 before the first call.
        offset: Offset of the last event within that call.
        ended: Whether the :class:`FinishedEvent` was returned.
    """

    def __init__(self, call: int, offset: int) -> None:
        """Create a cursor after the last event seen; ``(0, 0)`` means none."""
        self.call = call
        self.offset = offset
        self.ended = False
        self._attempt = FIRST_ATTEMPT
        self._closed = False

    def advance(self, run: Run, partial: PartialText | None) -> list[RunEvent]:
        """Return the events since the previous call, in order, and move past them.

        Args:
            run: The run's current state.
            partial: Partial text of the run's in-flight call, if this node reads its stream.
        """
        if self.ended:
            return []
        events: list[RunEvent] = []
        for record in run.calls[max(self.call - 1, 0) :]:
            events.extend(self._events_of_call(run, record, partial))
        if run.status is not RunStatus.ACTIVE:
            events.append(self._finished_event(run))
        return events

    def _events_of_call(
        self, run: Run, record: CallRecord, partial: PartialText | None
    ) -> list[RunEvent]:
        text = call_text(run, record, partial)
        closed = is_closed(run, record)
        if record.number == self.call and self._fully_seen(text, closed):
            return []
        events = self._start_events(record)
        if len(text) > self.offset:
            events.append(self._text_event(record, text))
        if closed:
            events.append(self._call_finished_event(record, text))
        return events

    def _fully_seen(self, text: str, closed: bool) -> bool:
        if self._closed:
            return True
        # An offset beyond the text is the id of ``call_finished``; see ``EventId``.
        self._closed = closed and bool(text) and self.offset > len(text)
        return self._closed

    def _start_events(self, record: CallRecord) -> list[RunEvent]:
        """Return the events that announce a call or attempt the watcher has not seen."""
        same_call = record.number == self.call
        if same_call and record.attempt == self._attempt:
            return []
        events: list[RunEvent] = []
        if same_call and self.offset > 0:
            restart_id = EventId(record.number, 0)
            events.append(RestartEvent(id=restart_id, attempt=record.attempt))
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

    def _text_event(self, record: CallRecord, text: str) -> TextEvent:
        new = text[self.offset :]
        self.offset = len(text)
        return TextEvent(id=EventId(record.number, self.offset), text=new)

    def _call_finished_event(self, record: CallRecord, text: str) -> CallFinishedEvent:
        self.offset = max(self.offset, len(text)) + 1
        self._closed = True
        return CallFinishedEvent(
            id=EventId(record.number, self.offset),
            status=record.status,
            usage=record.usage,
            error=record.error,
        )

    def _finished_event(self, run: Run) -> FinishedEvent:
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
    """Return whether a call will have no further attempt."""
    if record.status in {CallStatus.SUCCEEDED, CallStatus.UNKNOWN} or record.answered:
        return True
    if record.number < len(run.calls):
        return True
    return run.status is not RunStatus.ACTIVE


def call_text(run: Run, record: CallRecord, partial: PartialText | None) -> str:
    """Return the text of a model call so far, from the history or the partial text."""
    if record.kind is not CallKind.MODEL:
        return ""
    if record.answered:
        return _answer_in_history(run, record)
    if partial is None or (partial.number, partial.attempt) != (record.number, record.attempt):
        return ""
    return partial.text()


def _answer_in_history(run: Run, record: CallRecord) -> str:
    """Return a model call's answer; answered model calls and answers have the same order."""
    earlier = run.calls[: record.number - 1]
    position = sum(1 for call in earlier if call.kind is CallKind.MODEL and call.answered)
    answers = (message for message in run.history if message.role is Role.ASSISTANT)
    for index, message in enumerate(answers):
        if index == position:
            return message.content
    return ""
