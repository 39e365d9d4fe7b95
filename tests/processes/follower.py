"""Follows a run's event stream as a caller would, and checks that it is whole and in order."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import msgspec
import xxhash

from tests.processes.cluster import PATIENCE_SECONDS, POLL_SECONDS
from yokeline.commands.client import Client, ServerSentEvent, path_of
from yokeline.errors import ErrorKind, YokelineException
from yokeline.runs.events import (
    CallFinishedEvent,
    CallStartedEvent,
    FinishedEvent,
    RestartEvent,
    RunEvent,
    TextEvent,
)

PASSING = frozenset({ErrorKind.OUTCOME_UNKNOWN, ErrorKind.UNAVAILABLE, ErrorKind.OVERLOADED})


class Transcript:
    """What the events of one run said; raises ``AssertionError`` at the first that is wrong.

    Attributes:
        texts: Text of each model call so far.
        restarts: Restart events seen.
        backends: Back end of each call's last attempt.
        finished: The last event, once it came.
    """

    def __init__(self) -> None:
        """Start without events."""
        self.texts: dict[int, str] = {}
        self.backends: dict[int, str] = {}
        self.restarts = 0
        self.finished: FinishedEvent | None = None
        self.last_id = ""

    @property
    def last_call(self) -> int:
        """Return the number of the call that started last; 0 before the first."""
        return max(self.backends, default=0)

    def take(self, received: ServerSentEvent) -> None:
        """Check an event against those before it."""
        assert self.finished is None, "an event came after the last one"
        event = msgspec.json.decode(received.data, type=RunEvent)
        self.last_id = received.id
        match event:
            case CallStartedEvent():
                started = event.id.call
                assert started in (self.last_call, self.last_call + 1), "calls are out of order"
                self.backends[started] = event.backend
            case TextEvent():
                text = self.texts.get(event.id.call, "") + event.text
                assert len(text) == event.id.offset, "the text has a hole or an overlap"
                self.texts[event.id.call] = text
            case RestartEvent():
                self.texts[event.id.call] = ""
                self.restarts += 1
            case CallFinishedEvent():
                assert event.id.call == self.last_call, "a call ended out of order"
            case FinishedEvent():
                self._check_whole(event)
                self.finished = event

    def _check_whole(self, event: FinishedEvent) -> None:
        assert event.length == len(event.answer)
        assert event.digest == xxhash.xxh3_64_hexdigest(event.answer.encode())
        assert self.texts.get(self.last_call) == event.answer, "the streamed text is not the answer"


class Follower:
    """Watches a run at one node, and at the next one when the stream there is cut.

    Attributes:
        transcript: What came so far.
        cuts: Streams that ended before the run's last event.
    """

    def __init__(self, run: str, clients: list[Client]) -> None:
        """Prepare to watch at the first of ``clients``; the others are for reconnects."""
        self.run = run
        self.transcript = Transcript()
        self.cuts = 0
        self._clients = clients
        self._stream: Iterator[ServerSentEvent] | None = None

    def until(self, condition: Callable[[Transcript], object]) -> Transcript:
        """Take events until a condition on the transcript holds."""
        end = time.monotonic() + PATIENCE_SECONDS
        while not condition(self.transcript):
            assert self.transcript.finished is None, "the run ended before the condition held"
            assert time.monotonic() < end, f"the stream stood still at {self.transcript.last_id}"
            self._next()
        return self.transcript

    def until_streaming(self, call: int) -> Transcript:
        """Take events until the answer of a call is coming in."""
        return self.until(lambda seen: seen.texts.get(call))

    def to_end(self) -> FinishedEvent:
        """Take all events; return the last."""
        finished = self.until(lambda seen: seen.finished).finished
        assert finished is not None
        return finished

    def _next(self) -> None:
        """Take one event, or connect anew if the stream is cut."""
        if self._stream is None:
            self._stream = self._connect()
        try:
            event = next(self._stream, None)
        except YokelineException as error:
            if error.error.kind not in PASSING:
                raise
            event = None
        if event is None or event.kind == "error":
            self._cut()
            return
        self.transcript.take(event)

    def _connect(self) -> Iterator[ServerSentEvent]:
        last = self.transcript.last_id
        headers = {"last-event-id": last} if last else {}
        path = path_of("v1", "runs", self.run, "events")
        return self._clients[0].events(
            "GET", path, headers=headers, silence_seconds=PATIENCE_SECONDS
        )

    def _cut(self) -> None:
        self.cuts += 1
        self._stream = None
        self._clients = [*self._clients[1:], self._clients[0]]
        time.sleep(POLL_SECONDS)
