"""Tests of the executor under engine and tool failures, deadlines, load and failover."""

from __future__ import annotations

import json
import unittest
from collections import deque

from tests.unit.runs.support import (
    DONE_ITEM,
    RUN,
    SHARD,
    TENANT,
    Bench,
    agent_spec,
    app_spec,
    chunk,
    fail_over,
    usage,
)
from yokeline.errors import ErrorKind, Execution
from yokeline.identifiers import RunId, child_run_id
from yokeline.labels.objects import Lookup
from yokeline.runs.events import FinishedEvent, RestartEvent, TextEvent
from yokeline.runs.model import CallStatus, RunStatus
from yokeline.settings import SchedulingSection
from yokeline.shards.operations import AwaitRun, StartRun, WatchRun


class EngineFailureTest(unittest.TestCase):
    def test_refused_call_goes_to_another_engine_and_costs_nothing(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer(bench.open_request("POST", "/v1/chat"), 429, retry_after="30")
        bench.advance(1.0)
        request = bench.open_request("POST", "/v1/chat")
        self.assertEqual(request.address, bench.engines.addresses["pool/e2"])
        self.assertEqual(bench.run().spent.calls, 0)
        self.assertEqual(json.loads(request.body)["call_id"], "run-1-1-2")

    def test_retry_after_is_honoured_where_no_other_engine_is_left(self) -> None:
        bench = Bench()
        del bench.engines.addresses["pool/e2"]
        bench.start(agent_spec())
        bench.answer(bench.open_request("POST", "/v1/chat"), 503, retry_after="7")
        bench.advance(6.5)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/chat")), 1)
        bench.advance(1.0)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/chat")), 2)

    def test_lost_connection_is_resumed_at_the_offset(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        request = bench.open_request("POST", "/v1/chat")
        bench.stream(request, chunk("hello ", 6))
        bench.fail(request, sent=True)
        bench.advance(0.2)
        resumed = bench.open_request("GET", "/v1/calls/run-1-1-1/events?offset=6")
        bench.stream(resumed, chunk("you", 9), usage(5, 2), DONE_ITEM)
        self.assertEqual(bench.run().answer, "hello you")
        self.assertEqual(len(bench.sent_requests("POST", "/v1/chat")), 1)

    def test_dead_engine_leads_to_a_restart_at_another_one(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        request = bench.open_request("POST", "/v1/chat")
        bench.stream(request, chunk("hello ", 6))
        bench.advance(0.05)
        bench.fail(request, sent=True)
        for _ in range(2):
            bench.advance(0.3)
            bench.fail(bench.open_request("GET", "/events?offset=6"), sent=False)
        bench.advance(1.0)
        bench.answer_model("bonjour")
        kinds = [type(event) for event in bench.events]
        restart = kinds.index(RestartEvent)
        texts = [event.text for event in bench.events[restart:] if isinstance(event, TextEvent)]
        self.assertEqual("".join(texts), "bonjour")
        self.assertEqual(bench.run().answer, "bonjour")
        self.assertEqual(bench.run().calls[0].attempt, 2)
        self.assertGreater(bench.run().spent.prompt_tokens, 10)

    def test_attempts_are_bounded(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        for _ in range(bench.settings.runs.call_attempts):
            bench.advance(10.0)
            bench.answer(bench.open_request("POST", "/v1/chat"), 500)
            bench.advance(0.2)
            bench.answer(bench.open_request("GET", "/v1/calls"), 404)
        bench.advance(60.0)
        run = bench.run()
        assert run.error is not None
        self.assertEqual((run.status, run.error.execution), (RunStatus.FAILED, Execution.UNKNOWN))
        # 4 is the default of the setting ``call_attempts``.
        self.assertEqual(len(bench.sent_requests("POST", "/v1/chat")), 4)

    def test_malformed_stream_never_becomes_an_answer(self) -> None:
        for bad in (b"{", b'{"choices": 3}', b"\xff", DONE_ITEM.data):
            with self.subTest(bad=bad):
                bench = Bench()
                bench.start(agent_spec())
                request = bench.open_request("POST", "/v1/chat")
                item = chunk("", 0)
                bench.stream(request, type(item)(request=item.request, data=bad))
                self.assertEqual(bench.run().status, RunStatus.ACTIVE)
                self.assertEqual(bench.run().calls[0].status, CallStatus.STARTED)


class ToolFailureTest(unittest.TestCase):
    def _with_tool_call(self, *, repeatable: bool, lookup: Lookup = Lookup.NONE) -> Bench:
        bench = Bench()
        bench.configuration.tool_repeatable = repeatable
        bench.configuration.lookup = lookup
        bench.start(agent_spec())
        bench.answer_with_tool_request()
        return bench

    def test_repeatable_tool_is_tried_again_with_the_same_key(self) -> None:
        bench = self._with_tool_call(repeatable=True)
        for _ in range(bench.settings.runs.call_attempts):
            bench.answer(bench.open_request("POST", "/v1/tools"), 500)
            bench.advance(5.0)
        keys = [r.headers["idempotency-key"] for r in bench.sent_requests("POST", "/v1/tools")]
        # 4 is the default of the setting ``call_attempts``.
        self.assertEqual(keys, ["run-1/2"] * 4)
        content = json.loads(bench.open_request("POST", "/v1/chat").body)["messages"][-1]["content"]
        self.assertEqual(json.loads(content)["error"], "backend_failed")

    def test_unanswered_tool_call_ends_without_a_transport_timeout(self) -> None:
        bench = self._with_tool_call(repeatable=False)
        # Just below the tool's timeout of 5 s plus ``ANSWER_GRACE_SECONDS``.
        bench.advance(9.9)
        self.assertEqual(bench.run().status, RunStatus.ACTIVE)
        bench.advance(0.2)
        self.assertEqual(bench.run().status, RunStatus.OUTCOME_UNKNOWN)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/tools")), 1)

    def test_lookup_returns_the_outcome_of_an_unrepeatable_call(self) -> None:
        bench = self._with_tool_call(repeatable=False, lookup=Lookup.FENCED)
        bench.fail(bench.open_request("POST", "/v1/tools"), sent=True)
        path = "/v1/tools/roster/requests/run-1/2?fence=1"
        bench.answer(bench.open_request("GET", path), 200, {"status": "running"})
        bench.advance(0.5)
        done = {"status": "done", "response": {"content": "42"}}
        bench.answer(bench.open_request("GET", path), 200, done)
        self.assertEqual(bench.run().history[-1].content, "42")
        self.assertEqual(len(bench.sent_requests("POST", "/v1/tools")), 1)

    def test_fenced_lookup_proves_that_nothing_was_run(self) -> None:
        bench = self._with_tool_call(repeatable=False, lookup=Lookup.FENCED)
        bench.fail(bench.open_request("POST", "/v1/tools"), sent=True)
        bench.answer(
            bench.open_request("GET", "/requests/"), 404, {"status": "not_seen", "fenced": True}
        )
        self.assertEqual(bench.run().calls[1].status, CallStatus.FAILED)
        self.assertIn("not_run", bench.run().history[-1].content)

    def test_unfenced_not_seen_proves_nothing(self) -> None:
        bench = self._with_tool_call(repeatable=False, lookup=Lookup.RECORDED)
        bench.fail(bench.open_request("POST", "/v1/tools"), sent=True)
        for _ in range(200):
            if bench.run().status is not RunStatus.ACTIVE:
                break
            body = {"status": "not_seen", "fenced": False}
            bench.answer(bench.open_request("GET", "/requests/"), 404, body)
            bench.advance(0.3)
        self.assertEqual(bench.run().status, RunStatus.OUTCOME_UNKNOWN)


class DeadlineTest(unittest.TestCase):
    def test_run_past_its_deadline_is_refused_at_once(self) -> None:
        bench = Bench()
        bench.start(agent_spec(deadline_wall=999.0))
        run = bench.result_run("WatchRun")
        assert run.error is not None
        self.assertEqual((run.status, run.error.execution), (RunStatus.REFUSED, Execution.NOT_RUN))
        self.assertIsNotNone(run.error.retry_after)
        self.assertEqual(bench.requests, [])

    def test_deadline_ends_a_model_call_and_frees_the_engine(self) -> None:
        bench = Bench()
        bench.start(agent_spec(deadline_wall=1005.0))
        bench.advance(5.1)
        run = bench.run()
        assert run.error is not None
        self.assertEqual(run.error.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertEqual(run.status, RunStatus.FAILED)
        self.assertEqual(len(bench.sent_requests("DELETE", "/v1/calls/run-1-1-1")), 1)

    def test_deadline_during_a_sent_call_does_not_claim_that_it_did_not_run(self) -> None:
        for spec in (
            app_spec(deadline_wall=1001.0, repeatable=True),
            agent_spec(deadline_wall=1001.0),
        ):
            bench = Bench()
            bench.start(spec, "{}")
            bench.advance(2.0)
            run = bench.run()
            assert run.error is not None
            self.assertEqual(run.status, RunStatus.FAILED)
            self.assertEqual(run.error.execution, Execution.UNKNOWN)

    def test_deadline_leaves_an_unrepeatable_call_to_end_by_itself(self) -> None:
        bench = Bench()
        bench.start(app_spec(deadline_wall=1001.0), "{}")
        bench.advance(2.0)
        self.assertEqual(bench.run().status, RunStatus.ACTIVE)
        bench.answer(bench.open_request("POST", "/v1/requests"), 200, {"ok": True})
        self.assertEqual(bench.run().status, RunStatus.SUCCEEDED)

    def test_deadline_ends_a_waiting_run(self) -> None:
        bench = Bench()
        bench.engines.has_capacity = False
        bench.start(agent_spec(deadline_wall=1003.0))
        # The bench's clock starts at Unix time 1000, so the deadline is at 3 s.
        bench.advance(4.0)
        self.assertEqual(bench.run().status, RunStatus.REFUSED)
        self.assertEqual(bench.executor.waiting_calls(), 0)


class QueueTest(unittest.TestCase):
    def test_waiting_calls_start_by_priority_and_then_least_served(self) -> None:
        bench = Bench()
        bench.engines.has_capacity = False
        for name, priority in (("low", 0), ("high", 5), ("mid", 1)):
            spec = agent_spec(priority=priority)
            bench.serve(StartRun(run=RunId(f"run-{name}"), spec=spec, input="x"))
        self.assertEqual(bench.executor.waiting_calls(), 3)
        bench.engines.has_capacity = True
        bench.advance(1.0)
        order = [json.loads(r.body)["cache_key"] for r in bench.sent_requests("POST", "/v1/chat")]
        self.assertEqual(order, ["run-high", "run-mid", "run-low"])

    def test_aging_raises_a_call_above_newer_calls(self) -> None:
        bench = Bench()
        bench.engines.has_capacity = False
        bench.serve(StartRun(run=RunId("run-old"), spec=agent_spec(), input="x"))
        bench.advance(25.0)
        bench.serve(StartRun(run=RunId("run-new"), spec=agent_spec(priority=1), input="x"))
        bench.engines.has_capacity = True
        bench.advance(1.0)
        order = [json.loads(r.body)["cache_key"] for r in bench.sent_requests("POST", "/v1/chat")]
        self.assertEqual(order, ["run-old", "run-new"])

    def test_full_queue_sheds_a_new_run_as_refused_immediately(self) -> None:
        bench = Bench(scheduling=SchedulingSection(queue_limit=1))
        bench.engines.has_capacity = False
        bench.serve(StartRun(run=RunId("run-a"), spec=agent_spec(priority=1), input="x"))
        bench.serve(StartRun(run=RunId("run-b"), spec=agent_spec(), input="x"))
        bench.serve(AwaitRun(run=RunId("run-b"), tenant=TENANT), "b")
        shed = bench.result_run("b")
        assert shed.error is not None
        self.assertEqual((shed.status, shed.error.kind), (RunStatus.REFUSED, ErrorKind.OVERLOADED))
        self.assertIsNotNone(shed.error.retry_after)
        self.assertEqual(bench.run(RunId("run-a")).status, RunStatus.ACTIVE)


class LeadershipTest(unittest.TestCase):
    def test_nothing_is_sent_while_the_lease_is_invalid(self) -> None:
        bench = Bench()
        bench.host.lease_valid = False
        bench.start(app_spec(), "{}")
        bench.advance(1.0)
        self.assertEqual(bench.requests, [])
        self.assertEqual(bench.run().calls[0].status, CallStatus.STARTED)
        bench.host.lease_valid = True
        bench.advance(0.1)
        self.assertEqual(len(bench.sent_requests("POST", "/v1/requests")), 1)

    def test_lost_leadership_before_sending_sends_nothing(self) -> None:
        bench = Bench()
        bench.host.lease_valid = False
        bench.start(app_spec(), "{}")
        successor = fail_over(bench)
        bench.host.lease_valid = True
        bench.advance(5.0)
        self.assertEqual(bench.requests, [])
        self.assertEqual(successor.run().status, RunStatus.OUTCOME_UNKNOWN)

    def test_callers_are_sent_to_the_next_leader(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        fail_over(bench)
        self.assertEqual(bench.results["WatchRun"].failure().kind, ErrorKind.UNAVAILABLE)
        bench.serve(AwaitRun(run=RUN, tenant=TENANT), "late")
        self.assertEqual(bench.results["late"].failure().kind, ErrorKind.UNAVAILABLE)

    def test_new_leader_reads_the_stream_from_its_start_and_callers_miss_nothing(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.stream(bench.open_request("POST", "/v1/chat"), chunk("hello ", 6))
        bench.advance(0.1)
        self.assertEqual(bench.events[-1].id.offset, 6)
        successor = fail_over(bench)
        self.assertEqual(bench.sent_requests("DELETE", "/v1/calls"), [])
        successor.serve(WatchRun(run=RUN, tenant=TENANT, after_call=1, after_offset=6))
        request = successor.open_request("GET", "/v1/calls/run-1-1-1/events?offset=0")
        successor.stream(request, chunk("hello ", 6), chunk("you", 9), usage(5, 2), DONE_ITEM)
        texts = [event.text for event in successor.events if isinstance(event, TextEvent)]
        self.assertEqual(texts, ["you"])
        self.assertEqual(successor.run().answer, "hello you")

    def test_generation_unknown_at_its_engine_is_restarted(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.stream(bench.open_request("POST", "/v1/chat"), chunk("hello ", 6))
        successor = fail_over(bench)
        successor.serve(WatchRun(run=RUN, tenant=TENANT, after_call=1, after_offset=6))
        successor.answer(successor.open_request("GET", "/v1/calls"), 404)
        successor.advance(1.0)
        successor.answer_model("bonjour")
        self.assertIsInstance(successor.events[0], RestartEvent)
        last = successor.events[-1]
        assert isinstance(last, FinishedEvent)
        self.assertEqual(last.answer, "bonjour")

    def test_unrepeatable_call_is_looked_up_and_never_sent_again(self) -> None:
        bench = Bench()
        bench.configuration.lookup = Lookup.FENCED
        bench.start(app_spec(), "{}")
        successor = fail_over(bench)
        lookup = successor.open_request("GET", "/v1/requests/run-1/1?fence=2")
        successor.answer(lookup, 200, {"status": "done", "response": {"place": 3}})
        self.assertEqual(json.loads(successor.run().answer), {"place": 3})
        self.assertEqual(successor.sent_requests("POST", ""), [])

    def test_unrepeatable_call_without_lookup_is_unknown(self) -> None:
        bench = Bench()
        bench.start(app_spec(), "{}")
        successor = fail_over(bench)
        successor.advance(30.0)
        self.assertEqual(successor.run().status, RunStatus.OUTCOME_UNKNOWN)
        self.assertEqual(successor.sent_requests("POST", ""), [])

    def test_late_answer_at_the_old_leader_changes_nothing(self) -> None:
        bench = Bench()
        bench.start(app_spec(), "{}")
        request = bench.open_request("POST", "/v1/requests")
        entries = len(bench.host.log)
        fail_over(bench)
        bench.answer(request, 200, {"ok": True})
        self.assertEqual(len(bench.host.log), entries)

    def test_child_continues_under_the_new_leader(self) -> None:
        bench = Bench()
        bench.start(agent_spec())
        bench.answer_with_tool_request("helper", '{"input":"x"}')
        successor = fail_over(bench)
        request = successor.open_request("GET", "/v1/calls/run-1.1-1-1/events")
        successor.stream(request, chunk("found", 5), usage(5, 1), DONE_ITEM)
        successor.answer_model("done")
        self.assertEqual(successor.run().answer, "done")
        self.assertEqual(successor.run(child_run_id(RUN, 1)).answer, "found")

    def test_nothing_is_sent_before_the_start_is_committed(self) -> None:
        bench = Bench()
        bench.host.pending_commits = deque()
        bench.serve(StartRun(run=RUN, spec=app_spec(), input="{}"))
        bench.host.pending_commits.popleft()()
        bench.process_outbox()
        bench.advance(5.0)
        self.assertEqual(bench.requests, [])
        bench.host.pending_commits.popleft()()
        bench.process_outbox()
        self.assertEqual(len(bench.sent_requests("POST", "/v1/requests")), 1)

    def test_draining_waits_for_unrepeatable_calls_and_starts_no_new_ones(self) -> None:
        bench = Bench()
        bench.start(app_spec(), "{}")
        bench.executor.begin_drain()
        self.assertTrue(bench.executor.blocks_transfer(SHARD))
        bench.serve(StartRun(run=RunId("run-2"), spec=app_spec(), input="{}"))
        self.assertEqual(len(bench.sent_requests("POST", "/v1/requests")), 1)
        bench.answer(bench.open_request("POST", "/v1/requests"), 200, {"ok": True})
        self.assertFalse(bench.executor.blocks_transfer(SHARD))
        successor = fail_over(bench)
        self.assertEqual(len(successor.sent_requests("POST", "/v1/requests")), 1)
