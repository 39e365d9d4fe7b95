"""The reader of a generation's stream: whole answers only, over any number of connections."""

from __future__ import annotations

import json
import unittest

from yokeline.backends.chat import ChatCall, encode_body
from yokeline.backends.stream import (
    AnswerComplete,
    ModelStream,
    StreamBroken,
    StreamEvent,
    TextReceived,
)
from yokeline.effects import HttpFailed, HttpResponse, HttpStreamEnded, HttpStreamItem
from yokeline.errors import Execution
from yokeline.identifiers import RequestId, RunId
from yokeline.runs.model import ChatMessage, Role, ToolRequest

REQUEST = RequestId("r")
USAGE = {"prompt_tokens": 9, "completion_tokens": 2, "prompt_tokens_details": {"cached_tokens": 4}}


def item(
    delta: object = None, finish: str | None = None, event_id: str = "", **more: object
) -> HttpStreamItem:
    data = {"choices": [{"delta": delta or {}, "finish_reason": finish}], **more}
    return HttpStreamItem(request=REQUEST, data=json.dumps(data).encode(), event_id=event_id)


END = HttpStreamItem(request=REQUEST, data=b"[DONE]")
LAST = item(finish="stop", usage=USAGE)


class ModelStreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[StreamEvent] = []
        self.stream = ModelStream("engine e", self.events.append)

    def test_whole_answer(self) -> None:
        self.stream.receive(HttpResponse(request=REQUEST, status=200))
        self.stream.receive(item({"content": "añ"}, event_id="2"))
        self.stream.receive(item({"content": "o"}, event_id="3"))
        self.stream.receive(LAST)
        self.stream.receive(END)
        self.stream.receive(HttpStreamEnded(REQUEST))
        self.assertEqual(self.events[0], TextReceived(text="añ", offset=2))
        last = self.events[-1]
        assert isinstance(last, AnswerComplete)
        self.assertEqual((last.answer.text, last.answer.usage.cached_tokens), ("año", 4))
        self.assertEqual(len(self.events), 3)

    def test_tool_calls_in_order_and_once_after_a_resume(self) -> None:
        calls = [
            {
                "index": 1,
                "id": "b",
                "type": "function",
                "function": {"name": "y", "arguments": "{}"},
            },
            {
                "index": 0,
                "id": "a",
                "type": "function",
                "function": {"name": "x", "arguments": "{}"},
            },
        ]
        self.stream.receive(item({"tool_calls": calls}, "tool_calls", "0"))
        self.stream.receive(HttpFailed(request=REQUEST, sent=True, reason="reset"))
        self.stream.reopen()
        self.stream.receive(item({"tool_calls": calls}, "tool_calls", "0"))
        self.stream.receive(LAST)
        self.stream.receive(END)
        last = self.events[-1]
        assert isinstance(last, AnswerComplete)
        self.assertEqual([request.name for request in last.answer.tool_requests], ["x", "y"])

    def test_gap_or_overlap_breaks_the_stream(self) -> None:
        for event_id in ("7", "2", "x"):
            with self.subTest(event_id=event_id):
                self.setUp()
                self.stream.receive(item({"content": "abc"}, event_id=event_id))
                self.assertEqual(self.stream.length, 0)
                self.assertIsInstance(self.events[-1], StreamBroken)

    def test_end_without_usage_or_last_event_is_no_answer(self) -> None:
        for ending in (END, HttpStreamEnded(REQUEST)):
            self.setUp()
            self.stream.receive(item({"content": "abc"}, event_id="3"))
            self.stream.receive(ending)
            self.assertIsInstance(self.events[-1], StreamBroken)

    def test_cancelled_generation_is_no_answer(self) -> None:
        for reason, lost in (("cancelled", True), ("tool_calls", False)):
            self.setUp()
            self.stream.receive(item({"content": "abc"}, event_id="3"))
            self.stream.receive(item(finish=reason, usage=USAGE))
            self.stream.receive(END)
            broken = self.events[-1]
            assert isinstance(broken, StreamBroken)
            self.assertEqual(broken.lost, lost)

    def test_refusals_and_losses(self) -> None:
        for status, refused, lost, execution in (
            (429, True, False, Execution.NOT_RUN),
            (503, True, False, Execution.NOT_RUN),
            (400, True, False, Execution.NOT_RUN),
            (404, False, True, Execution.UNKNOWN),
            (500, False, False, Execution.UNKNOWN),
        ):
            with self.subTest(status=status):
                self.setUp()
                self.stream.receive(HttpResponse(request=REQUEST, status=status))
                broken = self.events[-1]
                assert isinstance(broken, StreamBroken)
                self.assertEqual((broken.refused, broken.lost), (refused, lost))
                self.assertEqual(broken.error.execution, execution)

    def test_closed_stream_takes_nothing_in(self) -> None:
        self.stream.close()
        self.stream.receive(item({"content": "abc"}, event_id="3"))
        self.assertEqual(self.events, [])


class ChatBodyTest(unittest.TestCase):
    def test_history_in_the_protocols_form(self) -> None:
        request = ToolRequest(identity="t1", name="roster", arguments='{"a":1}')
        call = ChatCall(
            call_id="run-1-1-1",
            model="m",
            messages=(
                ChatMessage(role=Role.USER, content="hi"),
                ChatMessage(role=Role.ASSISTANT, content="", tool_requests=(request,)),
                ChatMessage(role=Role.TOOL, content="42", tool_request="t1"),
            ),
            max_tokens=5,
            cache_key=RunId("run-1"),
            cache_salt="dallim",
            fence=3,
            tools=("roster",),
        )
        body = json.loads(encode_body(call))
        user, assistant, tool = body["messages"]
        self.assertEqual(user, {"role": "user", "content": "hi"})
        function = {"name": "roster", "arguments": '{"a":1}'}
        self.assertEqual(assistant["tool_calls"][0]["function"], function)
        self.assertEqual(tool, {"role": "tool", "content": "42", "tool_call_id": "t1"})
        self.assertEqual(body["tools"], [{"function": {"name": "roster"}, "type": "function"}])
        self.assertTrue(body["stream"])
