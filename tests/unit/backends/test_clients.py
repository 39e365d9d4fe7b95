"""Clients of back ends: what is sent, and what each answer says about the request."""

from __future__ import annotations

import json
import random
import unittest

from returns.result import Result, Success

from yokeline.backends.app import AppAnswer, AppCall, AppClient
from yokeline.backends.engine import EngineClient
from yokeline.backends.engine_messages import CacheInventory, EngineLoad
from yokeline.backends.keyed import LookupAnswer, LookupStatus
from yokeline.backends.outcomes import retry_after_of
from yokeline.backends.tool import ToolAnswer, ToolCall, ToolClient, arguments_valid
from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse
from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import NodeName, ReplicaId, RequestId, RunId
from yokeline.server.context import HttpAnswer, NodeContext

ADDRESS = Address("10.0.0.1", 80)


def new_context() -> NodeContext:
    return NodeContext(
        name=NodeName("n"),
        replica=ReplicaId("n~1"),
        zone="z",
        source=random.Random(1),
        wall_offset=0.0,
    )


def sent(context: NodeContext) -> HttpRequest:
    request = context.take_outbox()[-1]
    assert isinstance(request, HttpRequest)
    return request


def response(request: HttpRequest, status: int, body: bytes, **headers: str) -> HttpResponse:
    return HttpResponse(request=request.request, status=status, headers=headers, body=body)


TOOL_CALL = ToolCall(
    tool="roster",
    address=ADDRESS,
    path="/v1/tools",
    arguments='{"a": [1]}',
    run=RunId("run-1"),
    call=4,
    fence=9,
    timeout=3.0,
    repeatable=False,
)
APP_CALL = AppCall(
    app="results",
    address=ADDRESS,
    path="/v1/requests",
    body='{"bib": 1}',
    run=RunId("run-1"),
    call=1,
    fence=9,
    timeout=3.0,
    repeatable=False,
)


class KeyedRequestTest(unittest.TestCase):
    def _tool(self, status: int, body: bytes) -> Result[ToolAnswer, YokelineError]:
        context = new_context()
        results: list[Result[ToolAnswer, YokelineError]] = []
        ToolClient(context).call(TOOL_CALL, results.append)
        context.dispatch_http(response(sent(context), status, body))
        return results[0]

    def test_request_carries_key_fence_and_arguments(self) -> None:
        context = new_context()
        ToolClient(context).call(TOOL_CALL, lambda _result: None)
        request = sent(context)
        self.assertEqual((request.method, request.path), ("POST", "/v1/tools/roster"))
        self.assertEqual(request.headers["idempotency-key"], "run-1/4")
        self.assertEqual(request.headers["x-yokeline-fence"], "9")
        self.assertEqual(
            json.loads(request.body), {"arguments": {"a": [1]}, "run": "run-1", "call": 4}
        )
        self.assertFalse(request.allow_retry)

    def test_statuses_say_whether_the_request_ran(self) -> None:
        self.assertEqual(self._tool(200, b'{"content":"x"}'), Success(ToolAnswer(content="x")))
        for status, execution in (
            (400, Execution.NOT_RUN),
            (409, Execution.NOT_RUN),
            (429, Execution.NOT_RUN),
            (302, Execution.UNKNOWN),
            (500, Execution.UNKNOWN),
            (503, Execution.UNKNOWN),
            (504, Execution.UNKNOWN),
        ):
            with self.subTest(status=status):
                self.assertEqual(self._tool(status, b"why").failure().execution, execution)

    def test_malformed_answer_of_a_request_that_ran(self) -> None:
        for body in (b"", b"{", b'{"content": 3}', b"[]", b"\xff\xfe", b"[" * 100_000):
            with self.subTest(body=body[:10]):
                self.assertEqual(self._tool(200, body).failure().execution, Execution.DONE)

    def test_failed_connection_is_not_run_only_if_nothing_was_sent(self) -> None:
        for was_sent, execution in ((False, Execution.NOT_RUN), (True, Execution.UNKNOWN)):
            context = new_context()
            results: list[Result[AppAnswer, YokelineError]] = []
            AppClient(context).call(APP_CALL, results.append)
            failure = HttpFailed(request=sent(context).request, sent=was_sent, reason="reset")
            context.dispatch_http(failure)
            self.assertEqual(results[0].failure().execution, execution)

    def test_app_answer_is_any_json(self) -> None:
        for status, body, good in ((200, b"[1]", True), (201, b"3", True), (200, b"<html>", False)):
            context = new_context()
            results: list[Result[AppAnswer, YokelineError]] = []
            AppClient(context).call(APP_CALL, results.append)
            request = sent(context)
            self.assertEqual(request.body, b'{"bib": 1}')
            context.dispatch_http(response(request, status, body))
            self.assertEqual(isinstance(results[0], Success), good)

    def test_arguments_must_be_an_object(self) -> None:
        self.assertTrue(arguments_valid('{"a": 1}'))
        for text in ("", "[]", "null", "{", "[" * 100_000):
            self.assertFalse(arguments_valid(text))


class LookupTest(unittest.TestCase):
    def _lookup(self, answer: HttpAnswer) -> Result[LookupAnswer, YokelineError]:
        context = new_context()
        results: list[Result[LookupAnswer, YokelineError]] = []
        AppClient(context).lookup(APP_CALL, results.append)
        request = sent(context)
        self.assertEqual(request.path, "/v1/requests/run-1/1?fence=9")
        if isinstance(answer, HttpResponse):
            answer = response(request, answer.status, answer.body)
        context.dispatch_http(answer)
        return results[0]

    def _answer(self, status: int, body: bytes) -> Result[LookupAnswer, YokelineError]:
        return self._lookup(HttpResponse(request=RequestId(""), status=status, body=body))

    def test_answers(self) -> None:
        done = self._answer(200, b'{"status":"done","response":{"x":1}}').unwrap()
        self.assertEqual((done.status, bytes(done.response)), (LookupStatus.DONE, b'{"x":1}'))
        self.assertEqual(
            self._answer(200, b'{"status":"running"}').unwrap().status, LookupStatus.RUNNING
        )
        missing = self._answer(404, b'{"status":"not_seen","fenced":true}').unwrap()
        self.assertEqual((missing.status, missing.fenced), (LookupStatus.NOT_SEEN, True))

    def test_answers_that_say_nothing(self) -> None:
        for status, body in (
            (404, b"no such path"),
            (404, b'{"status":"done"}'),
            (200, b'{"status":"not_seen","fenced":true}'),
            (200, b'{"status":"maybe"}'),
            (500, b'{"status":"not_seen","fenced":true}'),
        ):
            with self.subTest(status=status, body=body):
                self.assertNotIsInstance(self._answer(status, body), Success)


class EngineClientTest(unittest.TestCase):
    def test_typed_answers_and_malformed_ones(self) -> None:
        context = new_context()
        client = EngineClient(context)
        inventories: list[Result[CacheInventory, YokelineError]] = []
        client.inventory(ADDRESS, inventories.append)
        entry = {"cache_key": "run-1", "cache_salt": "t", "tokens": 5, "held_seconds": None}
        body = json.dumps({"entries": [entry], "sequence": 3}).encode()
        context.dispatch_http(response(sent(context), 200, body))
        self.assertEqual(inventories[0].unwrap().entries[0].tokens, 5)
        loads: list[Result[EngineLoad, YokelineError]] = []
        client.load(ADDRESS, loads.append)
        context.dispatch_http(response(sent(context), 200, b'{"running": "many"}'))
        self.assertNotIsInstance(loads[0], Success)

    def test_cancel_of_an_unknown_call_counts_as_done(self) -> None:
        for status, good in ((204, True), (404, True), (500, False)):
            context = new_context()
            results: list[object] = []
            EngineClient(context).cancel(ADDRESS, "run-1-1-1", results.append)
            request = sent(context)
            self.assertEqual((request.method, request.path), ("DELETE", "/v1/calls/run-1-1-1"))
            context.dispatch_http(response(request, status, b""))
            self.assertEqual(isinstance(results[0], Success), good)

    def test_retry_after(self) -> None:
        for text, seconds in (
            ("3", 3.0),
            ("0.5", 0.5),
            ("-1", None),
            ("nan", None),
            ("Wed, 21 Oct 2015 07:28:00 GMT", None),
            ("1e9", 300.0),
            ("inf", 300.0),
            ("", None),
        ):
            answer = HttpResponse(request=RequestId(""), status=503, headers={"retry-after": text})
            self.assertEqual(retry_after_of(answer), seconds, text)
