"""Where a watcher of a run stands, and what of an arriving event it still lacks.

A call's text may be generated anew (``attempt`` 2, 3, ...), so a position names the attempt
too: event ids are ``call.offset``, and ``call.offset.attempt`` from the second attempt on.
"""

from __future__ import annotations

import msgspec

from yokeline.runs.events import (
    CallStartedEvent,
    EventId,
    FinishedEvent,
    RestartEvent,
    RunEvent,
    TextEvent,
)

FIRST_ATTEMPT = 1
END_OF_CALL = 10**9 - 1
"""An offset (and an attempt) after every event of a call."""


class ResumePoint(msgspec.Struct, frozen=True, array_like=True):
    """Position of the last event that a watcher has; call 0 is the start of the run."""

    call: int = 0
    offset: int = 0
    attempt: int = FIRST_ATTEMPT

    @classmethod
    def before_call(cls, number: int) -> ResumePoint:
        """Return the point from which a watcher sees nothing before a call."""
        if number <= 1:
            return cls()
        return cls(number - 1, END_OF_CALL, END_OF_CALL)


class MissingEvents(Exception):  # noqa: N818 - not an error of the caller's
    """Events between the watcher's position and the next event did not arrive."""


class WatchPosition:
    """Follows what a watcher has; drops repeated events and trims repeated text."""

    def __init__(self, point: ResumePoint) -> None:
        """Start after ``point``."""
        self._call = point.call
        self._offset = point.offset
        self._attempt = point.attempt
        self._started = point.attempt
        self._restarted = point.attempt

    def identity(self) -> str:
        """Return the id of the last event, to resume from."""
        if self._attempt > FIRST_ATTEMPT:
            return f"{self._call}.{self._offset}.{self._attempt}"
        return f"{self._call}.{self._offset}"

    def watch_after(self) -> EventId:
        """Return after which event to watch anew.

        It is the end of the call before: only the start of the watcher's own call tells
        whether its text is of the attempt that goes on now.
        """
        if self._call == 0:
            return EventId(0, 0)
        return EventId(self._call - 1, END_OF_CALL)

    def news_of(self, event: RunEvent) -> tuple[RunEvent, ...]:
        """Return what a watcher here lacks of an event, and move on.

        Raises:
            MissingEvents: Text before this event is missing.
        """
        if isinstance(event, FinishedEvent):
            return (event,)
        if event.id.call < self._call:
            return ()
        if event.id.call > self._call:
            self._enter(event.id.call)
        if isinstance(event, CallStartedEvent):
            return self._news_of_start(event)
        if isinstance(event, RestartEvent):
            return self._news_of_restart(event)
        if event.id.offset <= self._offset:
            return ()
        if isinstance(event, TextEvent):
            return self._news_of_text(event)
        self._offset = event.id.offset
        return (event,)

    def _enter(self, call: int) -> None:
        self._call = call
        self._offset = 0
        self._attempt = FIRST_ATTEMPT
        self._started = 0
        self._restarted = FIRST_ATTEMPT

    def _news_of_start(self, event: CallStartedEvent) -> tuple[RunEvent, ...]:
        if event.attempt <= self._started:
            return ()
        self._started = event.attempt
        text_is_void = self._offset > 0 and event.attempt > self._restarted
        self._begin_attempt(event.attempt)
        if not text_is_void:
            return (event,)
        # The leader does not know what this watcher has; say it for it.
        self._restarted = event.attempt
        return (RestartEvent(id=event.id, attempt=event.attempt), event)

    def _news_of_restart(self, event: RestartEvent) -> tuple[RunEvent, ...]:
        if event.attempt < self._attempt or event.attempt <= self._restarted:
            return ()
        self._restarted = event.attempt
        self._begin_attempt(event.attempt)
        return (event,)

    def _begin_attempt(self, attempt: int) -> None:
        if attempt > self._attempt:
            self._attempt = attempt
            self._offset = 0

    def _news_of_text(self, event: TextEvent) -> tuple[RunEvent, ...]:
        start = event.id.offset - len(event.text)
        if start > self._offset:
            raise MissingEvents
        new_text = event.text[self._offset - start :]
        self._offset = event.id.offset
        return (msgspec.structs.replace(event, text=new_text),)
