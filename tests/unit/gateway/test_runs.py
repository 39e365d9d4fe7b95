"""Starting, continuing, reading and cancelling runs."""

from __future__ import annotations

import unittest

from returns.result import Failure, Success

from tests.unit.gateway.support import Bench, run_of
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.gateway.answers import execution_of
from yokeline.identifiers import RunId, run_id_for_key, shard_of_run
from yokeline.runs.model import (
    CallKind,
    CallRecord,
    CallStatus,
    ChatMessage,
    Reservation,
    Role,
    RunStatus,
    ToolRequest,
)
from yokeline.runs.spec import request_digest
from yokeline.shards.operations import (
    AwaitRun,
    ContinueRun,
    ReadRun,
    RunList,
    StartRun,
    StopRun,
)

KEY = {"idempotency-key": "k"}
ERROR = YokelineError(
    kind=ErrorKind.DEADLINE_EXCEEDED, message="late", remedy="ask earlier", retry_after=2.5
)


def call_of(status: CallStatus, **fields: object) -> CallRecord:
    record = {
        "number": 1,
        "attempt": 1,
        "kind": CallKind.APP,
        "backend": "results",
        "repeatable": False,
        "fence": 3,
        "reserved": Reservation(),
        "started_wall": 1.0,
        "reason": "only one",
    }
    return CallRecord(status=status, **{**record, **fields})  # type: ignore[arg-type]


class StartTest(unittest.TestCase):
    def test_app_request_is_handed_on_as_sent_and_waited_for(self) -> None:
        bench = Bench()
        body = b'{"input": {"bib": 1.10, "name":"A\\u00e9"}, "labels": {"race": "r1"}}'
        exchange = bench.send("POST", "/v1/programs/post/runs", body, headers=KEY)
        asked = bench.router.last()
        operation = asked.operation
        assert isinstance(operation, StartRun)
        self.assertEqual(run_id_for_key("dallim", "k"), operation.run)
        self.assertEqual(shard_of_run(operation.run, 20), asked.shard)
        self.assertEqual('{"bib": 1.10, "name":"A\\u00e9"}', operation.input)
        spec = operation.spec
        self.assertEqual(request_digest("post", operation.input), spec.request_digest)
        self.assertEqual(
            ("results", False, 7, 3.0), (spec.app, spec.repeatable, spec.priority, spec.worth)
        )
        self.assertEqual({"race": "r1", "work": "post"}, spec.labels)
        self.assertEqual(("site=n", 1020.0), (spec.engine_selector, spec.deadline_wall))
        bench.reply_run(run_of(operation))
        self.assertEqual(0, bench.answer(exchange).replies)
        bench.advance(5)
        self.assertEqual(
            AwaitRun(run=operation.run, tenant="dallim", turn=1), bench.router.last().operation
        )
        done = run_of(operation, RunStatus.SUCCEEDED, answer='{"place": 1.50}', answer_digest="d")
        done.calls.append(call_of(CallStatus.SUCCEEDED))
        bench.reply_run(done)
        answer = bench.answer(exchange)
        self.assertEqual(200, answer.status)
        self.assertIn(b'"answer":{"place": 1.50}', answer.body)
        shown = answer.json()
        self.assertEqual(("done", 15, "d"), (shown["execution"], shown["length"], shown["digest"]))
        self.assertEqual(
            ("results", "only one"), (shown["calls"][0]["backend"], shown["calls"][0]["reason"])
        )

    def test_agent_is_answered_at_once_unless_the_caller_waits(self) -> None:
        bench = Bench()
        exchange = bench.send("POST", "/v1/programs/reconcile/runs", {"input": "hi"})
        operation = bench.router.last().operation
        assert isinstance(operation, StartRun)
        self.assertEqual("hi", operation.input)
        bench.reply_run(run_of(operation))
        answer = bench.answer(exchange)
        self.assertEqual((202, "unknown"), (answer.status, answer.json()["execution"]))
        self.assertEqual(f"/v1/runs/{operation.run}", answer.headers["location"])
        bench.send("POST", "/v1/programs/reconcile/runs", {"input": "hi", "wait": True})
        self.assertNotEqual(operation.run, bench.router.last().operation.run)  # type: ignore[union-attr]
        bench.reply_run(run_of(bench.router.last().operation))
        self.assertIsInstance(bench.router.last().operation, AwaitRun)

    def test_policy_bounds_the_callers_deadline(self) -> None:
        for asked, wall in ((5.0, 1005.0), (500.0, 1020.0)):
            bench = Bench()
            bench.send("POST", "/v1/programs/post/runs", {"input": {}, "deadline_seconds": asked})
            self.assertEqual(wall, bench.router.last().operation.spec.deadline_wall)  # type: ignore[union-attr]

    def test_a_final_run_without_answer_is_a_problem_that_tells_the_truth(self) -> None:
        cases = (
            (RunStatus.REFUSED, [], "not_run"),
            (RunStatus.FAILED, [], "not_run"),
            (RunStatus.FAILED, [call_of(CallStatus.FAILED)], "not_run"),
            (RunStatus.FAILED, [call_of(CallStatus.FAILED, may_have_run=True)], "unknown"),
            (RunStatus.FAILED, [call_of(CallStatus.SUCCEEDED)], "done"),
            (RunStatus.CANCELLED, [call_of(CallStatus.STARTED)], "unknown"),
            (RunStatus.OUTCOME_UNKNOWN, [call_of(CallStatus.UNKNOWN)], "unknown"),
        )
        for status, calls, execution in cases:
            with self.subTest(f"{status} {execution}"):
                bench = Bench()
                exchange = bench.send("POST", "/v1/programs/post/runs", {"input": {}}, headers=KEY)
                operation = bench.router.last().operation
                bench.reply_run(run_of(operation, status, calls=calls, error=ERROR))
                answer = bench.answer(exchange)
                problem = answer.json()
                self.assertEqual((504, "3"), (answer.status, answer.headers["retry-after"]))
                self.assertEqual(execution, problem["execution"])
                self.assertEqual(
                    (operation.run, status.value), (problem["run"], problem["run_status"])
                )  # type: ignore[union-attr]

    def test_a_run_without_calls_that_is_active_is_not_called_not_run(self) -> None:
        self.assertIs(Execution.UNKNOWN, execution_of(run_of(ReadRun(run=RunId("r"), tenant="t"))))

    def test_an_unanswered_wait_after_the_start_never_says_not_run(self) -> None:
        bench = Bench()
        exchange = bench.send("POST", "/v1/programs/post/runs", {"input": {}})
        bench.reply_run(run_of(bench.router.last().operation))
        bench.fail(YokelineError(kind=ErrorKind.UNAVAILABLE, message="lost", remedy="retry"))
        self.assertEqual("unknown", bench.answer(exchange).json()["execution"])

    def test_a_caller_who_left_gets_no_answer_and_frees_its_place(self) -> None:
        bench = Bench()
        exchange = bench.send("POST", "/v1/programs/post/runs", {"input": {}})
        bench.close(exchange)
        self.assertEqual([bench.router.last().request], bench.router.cancelled)
        bench.reply_run(run_of(bench.router.last().operation, RunStatus.SUCCEEDED))
        self.assertEqual((0, 0), (bench.answer(exchange).replies, bench.gateway.waiting()))
        self.assertIsNone(bench.gateway.next_deadline())

    def test_a_stopping_node_takes_no_runs_but_answers_for_old_ones(self) -> None:
        bench = Bench()
        waiting = bench.send("POST", "/v1/programs/post/runs", {"input": {}})
        bench.gateway.stop_accepting()
        refused = bench.answer(bench.send("POST", "/v1/programs/post/runs", {"input": {}}))
        self.assertEqual((503, "not_run"), (refused.status, refused.json()["execution"]))
        read = bench.answer(bench.send("GET", f"/v1/runs/{ReadTest.RUN}"))
        self.assertEqual((503, "unknown"), (read.status, read.json()["execution"]))
        self.assertEqual(503, bench.answer(bench.send("GET", "/readyz", token=None)).status)
        self.assertEqual(200, bench.answer(bench.send("GET", "/healthz", token=None)).status)
        self.assertEqual(1, bench.gateway.waiting())
        bench.reply_run(run_of(bench.router.last().operation, RunStatus.SUCCEEDED, answer="1"))
        self.assertEqual(200, bench.answer(waiting).status)


class TurnTest(unittest.TestCase):
    RUN = "run-" + "a" * 32

    def test_a_turn_has_its_key_and_a_repeated_one_gets_its_own_answer(self) -> None:
        bench = Bench()
        path = f"/v1/runs/{self.RUN}/turns"
        exchange = bench.send("POST", path, {"input": "two", "wait": True}, headers=KEY)
        operation = bench.router.last().operation
        assert isinstance(operation, ContinueRun)
        self.assertEqual(("k", "two"), (operation.turn_key, operation.input))
        history = [
            ChatMessage(role=Role.USER, content="one"),
            ChatMessage(role=Role.ASSISTANT, content="first"),
            ChatMessage(role=Role.USER, content="two"),
            ChatMessage(
                role=Role.ASSISTANT,
                content="looking",
                tool_requests=(ToolRequest(identity="t", name="n", arguments="{}"),),
            ),
            ChatMessage(role=Role.TOOL, content="found"),
            ChatMessage(role=Role.ASSISTANT, content="second"),
            ChatMessage(role=Role.USER, content="three"),
        ]
        run = run_of(operation, turn=3, turn_keys=["k", "l"], history=history)
        bench.reply_run(run)
        shown = bench.answer(exchange).json()
        self.assertEqual(("second", 2, 6), (shown["answer"], shown["turn"], shown["length"]))
        again = bench.send(
            "POST", path, {"input": "three", "wait": True}, headers={"idempotency-key": "l"}
        )
        bench.reply_run(run)
        self.assertEqual(
            AwaitRun(run=RunId(self.RUN), tenant="dallim", turn=3), bench.router.last().operation
        )
        bench.reply_run(run_of(operation, RunStatus.IDLE, turn=3, answer="third"))
        self.assertEqual("third", bench.answer(again).json()["answer"])

    def test_a_failed_turn_is_a_problem_although_the_conversation_goes_on(self) -> None:
        bench = Bench()
        exchange = bench.send("POST", f"/v1/runs/{self.RUN}/turns", {"input": "x", "wait": True})
        late = YokelineError(kind=ErrorKind.DEADLINE_EXCEEDED, message="late", remedy="retry")
        operation = bench.router.last().operation
        bench.reply_run(run_of(operation, RunStatus.IDLE, turn=2, error=late, turn_keys=["k"]))
        reply = bench.answer(exchange)
        self.assertEqual(
            (504, "deadline_exceeded", "idle"),
            (reply.status, reply.json()["kind"], reply.json()["run_status"]),
        )

    def test_a_turn_without_key_gets_one(self) -> None:
        bench = Bench()
        for _ in range(2):
            bench.send("POST", f"/v1/runs/{self.RUN}/turns", {"input": "x"})
        keys = [asked.operation.turn_key for asked in bench.router.asked]  # type: ignore[union-attr]
        self.assertEqual(2, len(set(keys)))


class ReadTest(unittest.TestCase):
    RUN = "run-" + "b" * 32

    def test_read_wait_and_cancel(self) -> None:
        bench = Bench()
        exchange = bench.send("GET", f"/v1/runs/{self.RUN}.2")
        self.assertEqual(
            ReadRun(run=RunId(self.RUN + ".2"), tenant="dallim"), bench.router.last().operation
        )
        bench.reply_run(run_of(bench.router.last().operation, RunStatus.IDLE, answer="hello"))
        self.assertEqual(
            (200, "hello"), (bench.answer(exchange).status, bench.answer(exchange).json()["answer"])
        )
        exchange = bench.send("GET", f"/v1/runs/{self.RUN}?wait=7")
        self.assertEqual(7.0, bench.router.last().seconds)
        bench.fail(YokelineError(kind=ErrorKind.OUTCOME_UNKNOWN, message="late", remedy="retry"))
        self.assertIsInstance(bench.router.last().operation, ReadRun)
        bench.reply_run(run_of(bench.router.last().operation))
        self.assertEqual(202, bench.answer(exchange).status)
        exchange = bench.send("DELETE", f"/v1/runs/{self.RUN}")
        self.assertIsInstance(bench.router.last().operation, StopRun)
        bench.reply_run(run_of(bench.router.last().operation, RunStatus.CANCELLED, error=ERROR))
        answer = bench.answer(exchange)
        self.assertEqual((200, "cancelled"), (answer.status, answer.json()["status"]))

    def test_lists_run_over_all_shards_page_by_page(self) -> None:
        bench = Bench()
        held = {3: ["run-c", "run-d", "run-e"], 17: ["run-f"], 18: ["run-g"]}
        found: list[str] = []
        pages = 0
        after = ""
        while True:
            exchange = bench.send("GET", f"/v1/runs?limit=2&after={after}")
            served = 0
            while not bench.answer(exchange).replies:
                for asked in bench.router.asked[served:]:
                    served += 1
                    operation = asked.operation
                    names = [n for n in held.get(asked.shard, []) if n > operation.after]  # type: ignore[union-attr]
                    runs = [run_of(ReadRun(run=RunId(n), tenant="dallim")) for n in names]
                    asked.done(Success(RunList(runs=tuple(runs[: operation.limit]))))  # type: ignore[union-attr]
            bench.router.asked.clear()
            page = bench.answer(exchange).json()
            found += [run["run"] for run in page["runs"]]
            pages += 1
            after = page["next"]
            if after is None:
                break
        self.assertEqual(["run-c", "run-d", "run-e", "run-f", "run-g"], found)
        self.assertLessEqual(pages, 4)

    def test_a_list_names_the_shards_that_it_lacks(self) -> None:
        bench = Bench()
        exchange = bench.send("GET", "/v1/runs")
        while not bench.answer(exchange).replies:
            for asked in list(bench.router.asked):
                bench.router.asked.remove(asked)
                if asked.shard == 4:
                    asked.done(Failure(ERROR))
                else:
                    asked.done(Success(RunList(runs=())))
        self.assertEqual([4], bench.answer(exchange).json()["unavailable_shards"])
