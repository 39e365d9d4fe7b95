"""A run's events as server-sent events."""

from __future__ import annotations

import unittest

from returns.result import Success

from tests.unit.gateway.support import Answer, Bench, run_of
from yokeline.errors import ErrorKind, YokelineError
from yokeline.gateway.event_stream import EVENT_STREAM_HEADERS
from yokeline.gateway.watch_position import END_OF_CALL
from yokeline.identifiers import ExchangeId
from yokeline.runs.events import (
    CallFinishedEvent,
    CallStartedEvent,
    EventId,
    FinishedEvent,
    RestartEvent,
    TextEvent,
)
from yokeline.runs.model import CallKind, CallStatus, RunStatus, Usage
from yokeline.shards.operations import RunResult, StartRun, WatchRun

RUN = "run-" + "c" * 32
GONE = YokelineError(kind=ErrorKind.UNAVAILABLE, message="no leader", remedy="retry")


def started(call: int, attempt: int = 1) -> CallStartedEvent:
    return CallStartedEvent(
        id=EventId(call, 0), attempt=attempt, kind=CallKind.MODEL, backend="e", reason="r"
    )


def text(call: int, end: int, value: str) -> TextEvent:
    return TextEvent(id=EventId(call, end), text=value)


def finished(call: int, offset: int, answer: str, turn: int = 1) -> FinishedEvent:
    return FinishedEvent(
        id=EventId(call, offset),
        status=RunStatus.SUCCEEDED,
        turn=turn,
        answer=answer,
        length=len(answer),
        digest="d",
        spent=Usage(),
    )


class StreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(keepalive_seconds=10.0)

    def watch(self, last: str = "") -> ExchangeId:
        headers = {"last-event-id": last} if last else {}
        return self.bench.send("GET", f"/v1/runs/{RUN}/events", headers=headers)

    def push(self, *events: object) -> None:
        on_events = self.bench.router.last().on_events
        assert on_events is not None
        on_events(events)

    def ids(self, exchange: ExchangeId) -> list[str]:
        return [f"{kind} {identity}" for identity, kind, _ in self.bench.answer(exchange).events()]

    def watched_after(self) -> tuple[int, int]:
        operation = self.bench.router.last().operation
        assert isinstance(operation, WatchRun)
        return operation.after_call, operation.after_offset

    def test_events_come_in_order_and_the_last_one_ends_the_stream(self) -> None:
        exchange = self.watch()
        self.push(started(1), text(1, 3, "abc"))
        self.push(
            text(1, 5, "de"),
            CallFinishedEvent(id=EventId(1, 6), status=CallStatus.SUCCEEDED, usage=Usage()),
        )
        self.assertFalse(self.bench.answer(exchange).ended)
        self.push(finished(1, 7, "abcde"), text(1, 9, "zz"))
        answer = self.bench.answer(exchange)
        self.assertEqual(EVENT_STREAM_HEADERS["content-type"], answer.headers["content-type"])
        expected = ["call_started 1.0", "text 1.3", "text 1.5", "call_finished 1.6", "finished 1.6"]
        self.assertEqual(expected, self.ids(exchange))
        last = answer.events()[-1][2]
        self.assertEqual(("abcde", 5, "d"), (last["answer"], last["length"], last["digest"]))
        self.assertTrue(answer.ended and not answer.aborted)
        self.assertEqual(0, self.bench.gateway.waiting())
        self.assertIsNone(self.bench.gateway.next_deadline())

    def test_silence_is_filled_with_comments(self) -> None:
        exchange = self.watch()
        self.push(started(1))
        self.bench.advance(25)
        self.assertEqual(2, self.bench.answer(exchange).body.count(b": keep-alive\n\n"))

    def test_an_unknown_run_is_404_as_long_as_the_head_is_not_sent(self) -> None:
        exchange = self.watch()
        self.bench.fail(YokelineError(kind=ErrorKind.NOT_FOUND, message="no", remedy="check"))
        self.assertEqual(404, self.bench.answer(exchange).status)

    def test_a_new_leader_repeats_and_the_watcher_gets_each_piece_once(self) -> None:
        exchange = self.watch()
        self.push(started(1), text(1, 3, "abc"))
        self.bench.fail(GONE)
        self.bench.advance(1)
        self.assertEqual((0, END_OF_CALL), self.watched_after())
        self.push(started(1), text(1, 5, "abcde"), started(1), text(1, 2, "ab"))
        texts = [
            data["text"] for _, kind, data in self.bench.answer(exchange).events() if kind == "text"
        ]
        self.assertEqual(["abc", "de"], texts)

    def test_a_new_attempt_voids_the_text_even_if_the_leader_does_not_say_so(self) -> None:
        for repeated in (
            (started(1, 2),),
            (RestartEvent(id=EventId(1, 0), attempt=2), started(1, 2)),
        ):
            with self.subTest(str(len(repeated))):
                exchange = self.watch()
                self.push(started(1), text(1, 3, "abc"), *repeated, text(1, 2, "xy"))
                expected = [
                    "call_started 1.0",
                    "text 1.3",
                    "restart 1.0.2",
                    "call_started 1.0.2",
                    "text 1.2.2",
                ]
                self.assertEqual(expected, self.ids(exchange))

    def test_a_watcher_comes_back_with_its_last_id(self) -> None:
        exchange = self.watch("2.3.1")
        self.assertEqual((1, END_OF_CALL), self.watched_after())
        self.push(started(2), text(2, 5, "abcde"))
        self.assertEqual(["text 2.5"], self.ids(exchange))
        exchange = self.watch("2.3")
        self.push(started(2, 2), text(2, 5, "vwxyz"))
        self.assertEqual(["restart 2.0.2", "call_started 2.0.2", "text 2.5.2"], self.ids(exchange))

    def test_a_missing_piece_is_asked_for_again(self) -> None:
        exchange = self.watch()
        self.push(started(1), text(1, 3, "abc"), text(1, 9, "ghi"))
        self.assertEqual([self.bench.router.last().request], self.bench.router.cancelled)
        self.bench.advance(1)
        self.push(started(1), text(1, 9, "abcdefghi"))
        texts = [
            data["text"] for _, kind, data in self.bench.answer(exchange).events() if kind == "text"
        ]
        self.assertEqual(["abc", "defghi"], texts)

    def test_a_watcher_who_has_all_gets_the_last_event(self) -> None:
        exchange = self.watch("1.6")
        run = run_of(self.bench.router.last().operation, RunStatus.IDLE, answer="abcde")
        self.bench.router.last().done(Success(RunResult(run=run)))
        self.assertEqual("abcde", self.bench.answer(exchange).events()[-1][2]["answer"])

    def test_a_stream_that_cannot_go_on_is_aborted(self) -> None:
        exchange = self.watch()
        self.push(started(1))
        for _ in range(100):
            if self.bench.answer(exchange).ended:
                break
            self.bench.fail(GONE)
            self.bench.advance(1)
        answer: Answer = self.bench.answer(exchange)
        self.assertTrue(answer.ended and answer.aborted)
        self.assertEqual("error", answer.events()[-1][1])

    def test_a_new_run_is_streamed_and_earlier_turns_are_not(self) -> None:
        accept = {"accept": "text/event-stream", "idempotency-key": "k"}
        exchange = self.bench.send(
            "POST", "/v1/programs/reconcile/runs", {"input": "x"}, headers=accept
        )
        operation = self.bench.router.last().operation
        assert isinstance(operation, StartRun)
        self.bench.reply_run(run_of(operation))
        self.push(started(1), finished(1, 1, "a"))
        self.assertEqual(operation.run, self.bench.answer(exchange).headers["yokeline-run"])
        path = f"/v1/runs/{RUN}/turns"
        exchange = self.bench.send("POST", path, {"input": "y"}, headers=accept)
        run = run_of(self.bench.router.last().operation, turn=2, turn_first_call=3, turn_keys=["k"])
        self.bench.reply_run(run)
        self.push(
            started(2, 2),
            text(2, 1, "q"),
            finished(2, 2, "q"),
            started(3),
            finished(3, 1, "b", turn=2),
        )
        self.assertEqual(["call_started 3.0", "finished 3.0"], self.ids(exchange))
