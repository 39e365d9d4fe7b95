"""Answers that an engine breaks off, in any framing, as callers see them on real processes."""

from __future__ import annotations

import dataclasses
import itertools
import signal
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.processes.cluster import wait_until
from tests.processes.platform.deployment import WORDS, Deployment
from tests.processes.platform.raw_callers import RawAnswer, ask_raw
from tests.processes.platform.wire import AnswerEnd, BreakOff, WireShape
from tests.soak.records import CALLS, STREAM, input_of
from yokeline.effects import BodyFraming

EVENTS = 5
ALL_EVENTS = list(range(1, EVENTS + 1))
HALF = 7
"""Bytes of an event that is broken off."""
ALWAYS = 1_000_000
OK = 200
NOT_FOUND = 404
BAD_GATEWAY = 502
CHUNKED = WireShape()
UNFRAMED = WireShape(framing=BodyFraming.CLOSE, says_close=True)
UNFRAMED_KEPT = WireShape(framing=BodyFraming.CLOSE)
OLD_VERSION = WireShape(framing=BodyFraming.CLOSE, version="1.0")
UNFRAMED_CRLF = WireShape(framing=BodyFraming.CLOSE, line_end=b"\r\n")
UNFRAMED_CR = WireShape(framing=BodyFraming.CLOSE, line_end=b"\r")
WHOLE_SHAPES = (CHUNKED, UNFRAMED, UNFRAMED_KEPT, OLD_VERSION, UNFRAMED_CRLF, UNFRAMED_CR)


@dataclass(frozen=True)
class Break:
    """A way in which an engine breaks its stream off.

    Attributes:
        after: Whole events before it.
    """

    name: str
    shape: WireShape
    after: int
    end: AnswerEnd
    partial: int = HALF


INSIDE_EVENT = (
    Break("unframed, closed inside the third event", UNFRAMED, 2, AnswerEnd.ORDERLY),
    Break("unframed, closed inside the first event", UNFRAMED, 0, AnswerEnd.ORDERLY),
    Break("unframed, closed without an event", UNFRAMED, 0, AnswerEnd.ORDERLY, 0),
    Break("unframed, last event without blank line", UNFRAMED, 4, AnswerEnd.ORDERLY, -1),
    Break("unframed, half of the last line end", UNFRAMED_CRLF, 4, AnswerEnd.ORDERLY, -1),
    Break("unframed, CR line ends, closed inside an event", UNFRAMED_CR, 2, AnswerEnd.ORDERLY),
    Break("unframed, without Connection: close", UNFRAMED_KEPT, 2, AnswerEnd.ORDERLY),
    Break("HTTP/1.0, closed inside an event", OLD_VERSION, 2, AnswerEnd.ORDERLY),
    Break("last chunk inside an event", CHUNKED, 2, AnswerEnd.ORDERLY),
)
"""Breaks that the framing alone does not show."""
LOST_CONNECTION = (
    Break("unframed, reset inside an event", UNFRAMED, 2, AnswerEnd.RESET),
    Break("unframed, reset between events", UNFRAMED, 2, AnswerEnd.RESET, 0),
    Break("chunks, closed inside an event", CHUNKED, 2, AnswerEnd.CLOSED),
    Break("chunks, closed between events", CHUNKED, 2, AnswerEnd.CLOSED, 0),
    Break("chunks, reset inside an event", CHUNKED, 2, AnswerEnd.RESET),
    Break("chunks, reset between events", CHUNKED, 2, AnswerEnd.RESET, 0),
)
"""Breaks that show in the connection."""


class AnswersOfEngines(unittest.TestCase):
    """Engines whose answers take any form, and callers that judge by the bytes."""

    def setUp(self) -> None:
        self.numbers = itertools.count(1)
        self.deployment = Deployment(models=4)
        self.deployment.__enter__()
        self.addCleanup(self.deployment.__exit__)

    def break_streams(self, how: Break, *, breaks: int) -> None:
        """Let each engine break its next streams off in one way."""
        for model in self.deployment.models:
            model.shape = how.shape
            model.break_after = how.after
            model.break_off = BreakOff(how.end, how.partial)
            model.breaks = breaks

    def serve_whole(self, shape: WireShape) -> None:
        for engine in (*self.deployment.models, self.deployment.app):
            engine.shape = shape
            engine.break_after = None

    def ask(
        self, path: str, *, version: str = "1.1", program: str = "", previous: str = ""
    ) -> tuple[str, RawAnswer]:
        """Ask for a turn, of a program of its own by default; return its id as well."""
        request_id = f"t{next(self.numbers)}"
        fields = {"X-Yokeline-Program-Id": program or f"p-{request_id}"}
        if not path.startswith(CALLS):
            fields.update({"X-Yokeline-Token-Budget": "200", "X-Yokeline-Token-Usage": "100,50"})
        if previous:
            fields["X-Yokeline-Previous-Turn"] = previous
        front = self.deployment.fronts[0]
        return request_id, ask_raw(front, path, request_id, fields, version=version)

    def bodies_run(self, request_id: str) -> list[bytes]:
        """Return the bodies with which a request reached engines."""
        return [
            body
            for model in self.deployment.models
            for name, body, _ in model.runs
            if name == request_id
        ]

    def assert_broken(self, answer: RawAnswer, how: Break) -> None:
        """Check that an answer looks broken and holds whole events only."""
        if answer.status == OK:
            self.assertFalse(answer.looks_whole, f"looks whole with {answer.event_ids}")
            self.assertEqual(answer.event_ids, ALL_EVENTS[: how.after])
        else:
            self.assertEqual((answer.status, how.after), (BAD_GATEWAY, 0))


class BrokenAnswers(AnswersOfEngines):
    def test_an_answer_broken_off_inside_an_event_does_not_look_whole(self) -> None:
        for how in (*INSIDE_EVENT, *LOST_CONNECTION):
            for path in ("/kept/x", "/turn/x"):
                with self.subTest(f"{path}: {how.name}"):
                    self.break_streams(how, breaks=ALWAYS)
                    _, answer = self.ask(path)
                    self.assert_broken(answer, how)

    def test_a_broken_turn_is_in_no_chain(self) -> None:
        for number, how in enumerate(INSIDE_EVENT):
            with self.subTest(how.name):
                program = f"line-{number}"
                self.serve_whole(CHUNKED)
                first, answer = self.ask("/kept/x", program=program)
                self.assertEqual(answer.body, STREAM)
                self.break_streams(how, breaks=ALWAYS)
                broken, _ = self.ask("/kept/x", program=program, previous=first)
                self.serve_whole(CHUNKED)
                next_turn, answer = self.ask("/kept/x", program=program, previous=broken)
                self.assertEqual((answer.status, self.bodies_run(next_turn)), (NOT_FOUND, []))
                again, answer = self.ask("/kept/x", program=program, previous=first)
                self.assertTrue(answer.looks_whole)
                self.assertEqual(
                    self.bodies_run(again), [input_of(first) + WORDS + input_of(again)]
                )

    def test_a_stream_goes_on_after_its_last_whole_event(self) -> None:
        for how in (*INSIDE_EVENT, *LOST_CONNECTION):
            for path in ("/pair/x", "/turn/x"):
                with self.subTest(f"{path}: {how.name}"):
                    self.break_streams(how, breaks=1)
                    _, answer = self.ask(path)
                    self.serve_whole(how.shape)
                    self.assertEqual(answer.status, OK)
                    self.assertTrue(answer.looks_whole)
                    self.assertEqual(answer.event_ids, ALL_EVENTS)


class CallersWithoutChunks(AnswersOfEngines):
    """Callers of HTTP/1.0, to whom a closed connection is the end of a whole answer."""

    def test_a_broken_answer_does_not_look_whole_without_chunks(self) -> None:
        for how in (*INSIDE_EVENT, *LOST_CONNECTION):
            with self.subTest(how.name):
                self.break_streams(how, breaks=ALWAYS)
                _, answer = self.ask("/kept/x", version="1.0")
                self.assert_broken(answer, how)

    def test_a_whole_answer_looks_whole_without_chunks(self) -> None:
        for shape in WHOLE_SHAPES:
            with self.subTest(f"{shape}"):
                self.serve_whole(shape)
                _, answer = self.ask("/kept/x", version="1.0")
                self.assertTrue(answer.looks_whole)
                self.assertEqual(answer.event_ids, ALL_EVENTS)

    def test_an_answer_that_its_node_gives_up_does_not_look_whole(self) -> None:
        """Guards against answers of a killed or stopped node, or one without its ledger."""
        for model in self.deployment.models:
            model.event_seconds = 0.3
        edge, storage = self.deployment.edges[0], self.deployment.storage
        faults: dict[str, Callable[[], None]] = {
            "killed": edge.kill,
            "stopped while its engine is silent": lambda: edge.send(signal.SIGTERM),
            "its ledger is gone": lambda: [process.kill() for process in storage].clear(),
        }
        for name, fault in faults.items():
            for version in ("1.0", "1.1"):
                with self.subTest(f"HTTP/{version}: {name}"), ThreadPoolExecutor(1) as pool:
                    if name.startswith("stopped"):
                        for model in self.deployment.models:
                            model.break_after = 2
                            model.break_off = BreakOff(AnswerEnd.SILENT)
                    asked = pool.submit(lambda: self.ask("/kept/x", version=version))  # noqa: B023
                    time.sleep(1.0)
                    fault()
                    _, answer = asked.result()
                    self.assertFalse(answer.looks_whole)
                    if name.startswith("stopped"):
                        edge.wait()
                    self.start_again()

    def start_again(self) -> None:
        """Start the processes that have ended, and serve."""
        for process in (*self.deployment.storage, *self.deployment.edges):
            if not process.is_running:
                process.start()
        self.serve_whole(CHUNKED)
        wait_until(self.is_served, "a turn is served")

    def is_served(self) -> bool:
        try:
            return self.ask("/kept/x")[1].status == OK
        except OSError:
            return False


class WholeAnswers(AnswersOfEngines):
    def test_a_whole_answer_looks_whole_in_every_shape(self) -> None:
        for shape in WHOLE_SHAPES:
            for piece_bytes in (0, 1, 7):
                cut = dataclasses.replace(shape, piece_bytes=piece_bytes)
                for path in ("/turn/x", "/pair/x", "/kept/x"):
                    with self.subTest(f"{path}: {cut}"):
                        self.serve_whole(cut)
                        _, answer = self.ask(path)
                        self.assertTrue(answer.looks_whole)
                        self.assertEqual(answer.event_ids, ALL_EVENTS)
                        self.assertEqual(answer.body.replace(shape.line_end, b"\n"), STREAM)

    def test_a_stream_that_closes_between_two_events_cannot_be_told_from_a_whole_one(self) -> None:
        self.break_streams(Break("", UNFRAMED, 2, AnswerEnd.ORDERLY, 0), breaks=1)
        _, answer = self.ask("/kept/x")
        self.assertTrue(answer.looks_whole)
        self.assertEqual(answer.event_ids, [1, 2])

    def test_a_body_without_a_length_is_whole_if_closed_and_not_if_reset(self) -> None:
        for path in ("/fix/x", "/look/x"):
            for shape in (UNFRAMED, UNFRAMED_KEPT, OLD_VERSION):
                with self.subTest(f"{path}: {shape}"):
                    self.serve_whole(shape)
                    _, answer = self.ask(path)
                    self.assertEqual((answer.status, answer.body), (OK, b"done"))
                    self.assertTrue(answer.looks_whole)
        self.deployment.app.reset_answers = True
        _, answer = self.ask("/fix/x")
        self.assertEqual(answer.status, BAD_GATEWAY)


if __name__ == "__main__":
    unittest.main()
