"""Tests of the executor without failures: model, tool, child and app calls, and callers."""

from __future__ import annotations

import json
import unittest

from returns.result import Failure, Success

from tests.unit.runs.support import (
    DONE_ITEM,
    RUN,
    TENANT,
    Bench,
    agent_spec,
    app_spec,
    chunk,
    small_budget,
    usage,
)
from yokeline.errors import ErrorKind, Execution
from yokeline.identifiers import child_run_id
from yokeline.runs.events import (
    CallFinishedEvent,
    CallStartedEvent,
    FinishedEvent,
    TextEvent,
)
from yokeline.runs.model import CallKind, CallStatus, RunStatus
from yokeline.runs.records import answer_digest
from yokeline.shards.operations import (
    AwaitRun,
    ContinueRun,
    ListRuns,
    ReadRun,
    RunList,
    StartRun,
    StopRun,
    WatchRun,
)


def texts_of(bench: Bench) -> list[str]:
    """Return the text events that the watcher received."""
    return [event.text for event in bench.events if isinstance(event, TextEvent)]


class ModelRunTest(unittest.TestCase):
    def test_plain_answer_is_streamed_and_finished(self) -> None:
        bench = Bench()
        bench.start(agent_spec(system_prompt="be brief"))
        request = bench.open_request("POST", "/v1/chat")
        body = json.loads(request.body)
        self.assertEqual([m["role"] for m in body["messages"]], ["system", "user"])
        self.assertEqual(body["call_id"], "run-1-1-1")
        self.assertEqual(body["cache_salt"], TENANT)
        self.assertEqual(body["fence"], 1)
        bench.stream(request, chunk("one ", 4), chunk("t", 5), chunk("wo", 7))
        # The first text of a call is sent immediately; later text is batched.
        self.assertEqual(texts_of(bench), ["one "])
        bench.advance(0.05)
        self.assertEqual(texts_of(bench), ["one ", "two"])
        bench.stream_more(request, chunk("!", 8), usage(12, 3), DONE_ITEM)
        self.assertEqual(
            [type(event) for event in bench.events],
            [CallStartedEvent, TextEvent, TextEvent, TextEvent, CallFinishedEvent, FinishedEvent],
        )
        final = bench.events[-1]
        assert isinstance(final, FinishedEvent)
        self.assertEqual((final.answer, final.length), ("one two!", 8))
        self.assertEqual(final.digest, answer_digest("one two!"))
        self.assertEqual(bench.result_run("WatchRun").status, RunStatus.SUCCEEDED)
        self.assertEqual(bench.run().spent.completion_tokens, 3)
        self.assertEqual(bench.engines.in_flight, {})
        self.assertEqual(len(bench.sent_requests("DELETE", "/v1/cache/entries/run-1")), 1)

    def test_event_ids_increase_and_resuming_returns_later_events(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer_model("hello you")
        ids = [event.id for event in bench.events]
        self.assertEqual(ids, sorted(set(ids)))
        bench.events.clear()
        bench.serve(WatchRun(run=RUN, tenant=TENANT, after_call=1, after_offset=6))
        self.assertEqual(texts_of(bench), ["you"])
        self.assertIsInstance(bench.events[-1], FinishedEvent)

    def test_tool_result_goes_back_to_the_model(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer_with_tool_request()
        request = bench.open_request("POST", "/v1/tools/roster")
        self.assertEqual(request.headers["idempotency-key"], "run-1/2")
        self.assertEqual(request.headers["x-yokeline-fence"], "1")
        self.assertEqual(
            json.loads(request.body), {"arguments": {"club": 1}, "run": "run-1", "call": 2}
        )
        bench.answer(request, 200, {"content": "42 members"})
        body = json.loads(bench.open_request("POST", "/v1/chat").body)
        self.assertEqual(body["messages"][-1]["content"], "42 members")
        self.assertEqual(body["messages"][-1]["tool_call_id"], "t1")
        bench.answer_model("there are 42")
        self.assertEqual(bench.run().answer, "there are 42")
        kinds = [call.kind for call in bench.run().calls]
        self.assertEqual(kinds, [CallKind.MODEL, CallKind.TOOL, CallKind.MODEL])

    def test_invalid_tool_requests_are_reported_to_the_model(self) -> None:
        for name, arguments in (("unlisted", "{}"), ("roster", "not json"), ("helper", "[]")):
            with self.subTest(name=name):
                bench = Bench()
                bench.start(agent_spec())
                bench.answer_with_tool_request(name, arguments)
                self.assertEqual(bench.sent_requests("POST", "/v1/tools"), [])
                body = json.loads(bench.open_request("POST", "/v1/chat").body)
                self.assertEqual(json.loads(body["messages"][-1]["content"])["executed"], "not_run")

    def test_child_run_answers_its_parent_and_shares_the_budget(self) -> None:
        bench = Bench()
        bench.start(agent_spec(deadline_wall=1050.0, priority=3))
        bench.answer_with_tool_request("helper", '{"input":"look it up"}')
        child = bench.run(child_run_id(RUN, 1))
        self.assertEqual((child.spec.priority, child.spec.deadline_wall), (3, 1050.0))
        body = json.loads(bench.open_request("POST", "/v1/chat").body)
        self.assertEqual(body["cache_key"], "run-1")
        bench.answer_model("found", prompt=100, completion=5)
        self.assertEqual(child.status, RunStatus.SUCCEEDED)
        bench.answer_model("done")
        root = bench.run()
        self.assertEqual(root.history[2].content, "found")
        self.assertEqual(root.spent.completion_tokens, 2 + 5 + 2)
        self.assertEqual(root.spent.calls, 4)

    def test_budget_ends_the_run(self) -> None:
        bench = Bench()
        bench.start(agent_spec(budget=small_budget(calls=2)))
        bench.answer_with_tool_request()
        bench.answer(bench.open_request("POST", "/v1/tools"), 200, {"content": "x"})
        run = bench.run()
        self.assertEqual(run.status, RunStatus.FAILED)
        assert run.error is not None
        self.assertEqual(run.error.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertEqual(run.error.execution, Execution.UNKNOWN)

    def test_answer_truncated_by_the_budget_fails_the_run(self) -> None:
        bench = Bench()
        bench.start(agent_spec(budget=small_budget(tokens=30)))
        request = bench.open_request("POST", "/v1/chat")
        limit = json.loads(request.body)["max_tokens"]
        self.assertLess(limit, 30)
        end = usage(10, limit, finish="length")
        bench.stream(request, chunk("cut", 3), end, DONE_ITEM)
        run = bench.run()
        assert run.error is not None
        self.assertEqual(run.error.kind, ErrorKind.BUDGET_EXHAUSTED)
        self.assertEqual((run.answer, run.spent.completion_tokens), ("", limit))

    def test_identical_tool_calls_end_the_run(self) -> None:
        bench = Bench()
        bench.start(agent_spec(budget=small_budget(identical_calls=2)))
        for _ in range(2):
            bench.answer_with_tool_request()
            bench.answer(bench.open_request("POST", "/v1/tools"), 200, {"content": "x"})
        bench.answer_with_tool_request()
        self.assertEqual(bench.run().status, RunStatus.FAILED)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/tools")), 2)


class AppRunTest(unittest.TestCase):
    def test_app_answer_is_the_run_answer(self) -> None:
        bench = Bench()
        bench.start(app_spec(), '{"bib": 7}')
        request = bench.open_request("POST", "/v1/requests")
        self.assertEqual(request.body, b'{"bib": 7}')
        self.assertFalse(request.allow_retry)
        bench.answer(request, 200, {"ok": True})
        self.assertEqual(json.loads(bench.run().answer), {"ok": True})

    def test_client_error_says_not_run(self) -> None:
        bench = Bench()
        bench.start(app_spec(), "{}")
        bench.answer(bench.open_request("POST", "/v1/requests"), 422, {"why": "no such bib"})
        run = bench.run()
        assert run.error is not None
        self.assertEqual((run.status, run.error.execution), (RunStatus.FAILED, Execution.NOT_RUN))
        self.assertIn("no such bib", run.error.message)

    def test_unknown_outcome_is_never_sent_again(self) -> None:
        for status in (500, None):
            with self.subTest(status=status):
                bench = Bench()
                bench.start(app_spec(), "{}")
                request = bench.open_request("POST", "/v1/requests")
                if status is None:
                    bench.fail(request, sent=True)
                else:
                    bench.answer(request, status)
                bench.advance(60)
                run = bench.run()
                assert run.error is not None
                self.assertEqual(run.status, RunStatus.OUTCOME_UNKNOWN)
                self.assertEqual(run.error.execution, Execution.UNKNOWN)
                self.assertEqual(len(bench.sent_requests("POST", "/v1/requests")), 1)

    def test_unknown_app_is_refused(self) -> None:
        bench = Bench()
        bench.start(app_spec(app="nowhere"), "{}")
        self.assertEqual(bench.run().status, RunStatus.REFUSED)


class CallerTest(unittest.TestCase):
    def test_start_is_idempotent_and_key_reuse_is_an_error(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.serve(StartRun(run=RUN, spec=agent_spec(), input="hello"), "again")
        self.assertEqual(bench.result_run("again").run, RUN)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/chat")), 1)
        bench.serve(StartRun(run=RUN, spec=agent_spec(request_digest="x"), input="other"), "reuse")
        self.assertEqual(bench.results["reuse"].failure().kind, ErrorKind.IDEMPOTENCY_KEY_REUSED)

    def test_other_tenants_run_looks_like_an_unknown_one(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        for operation in (ReadRun, AwaitRun, WatchRun, StopRun):
            bench.serve(operation(run=RUN, tenant="other"), "foreign")
            bench.serve(operation(run=child_run_id(RUN, 9), tenant="other"), "unknown")
            self.assertEqual(bench.results["foreign"], bench.results["unknown"])
            self.assertIsInstance(bench.results["foreign"], Failure)
        turn = ContinueRun(run=RUN, tenant="other", turn_key="k", input="x")
        bench.serve(turn, "turn")
        self.assertEqual(bench.results["turn"], bench.results["unknown"])
        self.assertEqual(bench.run().status, RunStatus.ACTIVE)

    def test_await_answers_at_the_end_or_at_its_deadline(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.serve(AwaitRun(run=RUN, tenant=TENANT), "short", deadline=1.0)
        bench.serve(AwaitRun(run=RUN, tenant=TENANT), "long")
        abandoned = bench.serve(AwaitRun(run=RUN, tenant=TENANT), "abandoned")
        bench.executor.abandon(abandoned)
        bench.advance(2.0)
        self.assertEqual(bench.result_run("short").status, RunStatus.ACTIVE)
        self.assertNotIn("long", bench.results)
        bench.answer_model()
        self.assertEqual(bench.result_run("long").status, RunStatus.SUCCEEDED)
        self.assertNotIn("abandoned", bench.results)

    def test_list_pages_through_a_tenants_own_runs(self) -> None:
        bench = Bench()
        for name in ("run-c", "run-a", "run-b"):
            bench.serve(StartRun(run=name, spec=agent_spec(), input="x"))  # type: ignore[arg-type]
        bench.serve(StartRun(run="run-0", spec=agent_spec(tenant="other"), input="x"))  # type: ignore[arg-type]
        bench.serve(ListRuns(tenant=TENANT, after="run-a", limit=1), "page")
        page = bench.results["page"].unwrap()
        assert isinstance(page, RunList)
        self.assertEqual([run.run for run in page.runs], ["run-b"])
        self.assertEqual(page.runs[0].history, [])

    def test_next_turn_extends_the_conversation_context(self) -> None:
        bench = Bench()
        bench.start(agent_spec(conversation=True))
        bench.answer_model("first")
        self.assertEqual(bench.run().status, RunStatus.IDLE)
        self.assertEqual(bench.sent_requests("DELETE", "/v1/cache/entries"), [])
        turn = ContinueRun(run=RUN, tenant=TENANT, turn_key="k", input="and then?")
        bench.serve(turn)
        bench.serve(turn, "again")
        self.assertIsInstance(bench.results["again"], Success)
        body = json.loads(bench.open_request("POST", "/v1/chat").body)
        self.assertEqual([m["content"] for m in body["messages"]], ["hello", "first", "and then?"])
        demand = bench.engines.demands[-1]
        self.assertEqual((demand.previous_engine, demand.previous_tokens), ("pool/e1", 12))
        bench.serve(AwaitRun(run=RUN, tenant=TENANT, turn=2), "second")
        bench.answer_model("second")
        self.assertEqual(bench.result_run("second").answer, "second")

    def test_failed_later_turn_keeps_the_conversation(self) -> None:
        bench = Bench()
        bench.start(agent_spec(conversation=True))
        bench.answer_model("first")
        bench.serve(
            ContinueRun(run=RUN, tenant=TENANT, turn_key="k", input="x", deadline_wall=1010.0)
        )
        bench.advance(11.0)
        run = bench.run()
        assert run.error is not None
        self.assertEqual(
            (run.status, run.error.kind), (RunStatus.IDLE, ErrorKind.DEADLINE_EXCEEDED)
        )
        bench.serve(ContinueRun(run=RUN, tenant=TENANT, turn_key="l", input="y"))
        bench.answer_model("third")
        self.assertEqual(bench.run().answer, "third")

    def test_stop_cancels_the_call_and_the_children(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer_with_tool_request("helper", '{"input":"x"}')
        bench.serve(StopRun(run=RUN, tenant=TENANT))
        child = bench.run(child_run_id(RUN, 1))
        self.assertEqual((bench.run().status, child.status), (RunStatus.CANCELLED,) * 2)
        self.assertEqual(len(bench.sent_requests("DELETE", "/v1/calls/run-1.1-1-1")), 1)
        self.assertEqual(bench.executor.active_runs(), 0)
        self.assertEqual(bench.engines.in_flight, {})

    def test_stop_during_an_unrepeatable_call_says_unknown(self) -> None:
        bench = Bench()
        bench.start(app_spec(), "{}")
        bench.serve(StopRun(run=RUN, tenant=TENANT))
        run = bench.run()
        assert run.error is not None
        self.assertEqual(run.status, RunStatus.OUTCOME_UNKNOWN)
        self.assertEqual(run.error.execution, Execution.UNKNOWN)
        self.assertEqual(run.calls[0].status, CallStatus.UNKNOWN)

    def test_runs_are_removed_after_their_retention(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer_model()
        bench.advance(bench.settings.runs.retention_seconds - 60)
        self.assertIn(RUN, bench.host.state.runs)
        bench.advance(120)
        self.assertNotIn(RUN, bench.host.state.runs)
