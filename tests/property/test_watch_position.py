"""Whatever a stream repeats, restarts or cuts, its watcher has the text of one attempt."""

from __future__ import annotations

import contextlib
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.gateway.requests import parse_last_event_id
from yokeline.gateway.watch_position import MissingEvents, ResumePoint, WatchPosition
from yokeline.identifiers import RunId
from yokeline.runs.cursor import RunCursor
from yokeline.runs.events import CallStartedEvent, EventId, RestartEvent, RunEvent, TextEvent
from yokeline.runs.model import (
    CallKind,
    CallRecord,
    CallStatus,
    Reservation,
    Run,
    RunSpec,
    RunStatus,
)
from yokeline.runs.partial_text import PartialText

GROW = st.tuples(st.just("grow"), st.text(alphabet="abc", min_size=1, max_size=4))
STEPS = st.lists(
    st.one_of(
        GROW, st.sampled_from([("restart", ""), ("lead", ""), ("reconnect", ""), ("call", "")])
    ),
    max_size=30,
)


class Caller:
    """Puts a stream together the way its documentation says."""

    def __init__(self) -> None:
        self.texts: dict[int, str] = {}
        self.last_id = ""

    def take(self, event: RunEvent, identity: str) -> None:
        self.last_id = identity
        if isinstance(event, RestartEvent):
            self.texts[event.id.call] = ""
        elif isinstance(event, TextEvent):
            self.texts[event.id.call] = self.texts.get(event.id.call, "") + event.text


class Leader:
    """A run whose last call is generating, and the cursor of its one watcher."""

    def __init__(self) -> None:
        self.run = Run(
            run=RunId("run"),
            spec=RunSpec(tenant="t", program="p"),
            status=RunStatus.ACTIVE,
            created_wall=0.0,
        )
        self.begin_call()

    def begin_call(self) -> None:
        number = len(self.run.calls) + 1
        if self.run.calls:
            # An earlier call needs no text here: its watcher has it or gets the answer.
            self.run.calls[-1].status = CallStatus.FAILED
        self.run.calls.append(_record(number, 1))
        self.live = PartialText(number, 1)

    def restart(self) -> None:
        last = self.run.calls[-1]
        self.run.calls[-1] = _record(last.number, last.attempt + 1)
        self.live = PartialText(last.number, last.attempt + 1)


def _record(number: int, attempt: int) -> CallRecord:
    return CallRecord(
        number=number,
        attempt=attempt,
        kind=CallKind.MODEL,
        backend="e",
        status=CallStatus.STARTED,
        repeatable=True,
        fence=1,
        reserved=Reservation(),
        started_wall=0.0,
    )


class WatchPositionProperty(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(steps=STEPS)
    def test_the_text_is_that_of_the_last_attempt(self, steps: list[tuple[str, str]]) -> None:
        leader = Leader()
        caller = Caller()
        position = WatchPosition(ResumePoint())
        after = position.watch_after()
        cursor = RunCursor(after.call, after.offset)
        for step, value in steps:
            if step == "grow":
                leader.live.append(value)
            elif step == "restart":
                leader.restart()
            elif step == "call":
                leader.begin_call()
            else:
                if step == "reconnect":
                    point = parse_last_event_id({"last-event-id": caller.last_id}).unwrap()
                    position = WatchPosition(point)
                after = position.watch_after()
                cursor = RunCursor(after.call, after.offset)
            for event in cursor.advance(leader.run, leader.live):
                for news in position.news_of(event):
                    caller.take(news, position.identity())
            last = leader.run.calls[-1].number
            self.assertEqual(leader.live.text(), caller.texts.get(last, ""))

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 6)), max_size=20))
    def test_pieces_in_any_order_never_leave_a_hole(self, pieces: list[tuple[int, int]]) -> None:
        whole = "abcdef"
        position = WatchPosition(ResumePoint())
        got = ""
        start = CallStartedEvent(
            id=EventId(1, 0), attempt=1, kind=CallKind.MODEL, backend="e", reason=""
        )
        position.news_of(start)
        for first, last in pieces:
            event = TextEvent(
                id=EventId(1, max(first, last)), text=whole[min(first, last) : max(first, last)]
            )
            with contextlib.suppress(MissingEvents):
                got += "".join(news.text for news in position.news_of(event))  # type: ignore[union-attr]
            self.assertTrue(whole.startswith(got))
