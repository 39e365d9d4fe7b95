"""Tests of the state that the engine state tracker derives from calls, reports and pauses."""

from __future__ import annotations

import unittest

from tests.unit.scheduling.support import RUN, demand, facts
from yokeline.identifiers import RunId
from yokeline.scheduling import engine_speed
from yokeline.scheduling.cache_types import CacheAction, CacheCause, CacheDecision, ProgramPause
from yokeline.scheduling.engine_state_tracker import (
    DEFAULT_PAUSE_SECONDS,
    CallEnd,
    EngineStateTracker,
)
from yokeline.scheduling.interface import CallDemand, EngineView, PauseKind
from yokeline.scheduling.pauses import MIN_SAMPLES, PausePredictor
from yokeline.scheduling.tracked_engine import LoadState

ENGINE = "pool/e1"
ENDED = CallEnd(ok=True, prompt_tokens=4000, completion_tokens=100)
CHILD = RunId("run-1.1")


class LedgerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = EngineStateTracker()

    def view(self, now: float, call: CallDemand | None = None) -> EngineView:
        return self.ledger.view(facts(), call or demand(), now)

    def pause(self, kind: PauseKind, now: float, action: CacheAction, run: RunId = RUN) -> None:
        pause = ProgramPause(
            run=run,
            cache_key=RUN,
            tenant="dallim",
            kind=kind,
            name="roster",
            engine=ENGINE,
            context_tokens=4100,
        )
        context = self.ledger.pause_context(pause, facts(), hold_max_seconds=60.0, now=now)
        seconds = 5.0 if action is CacheAction.HOLD else 0.0
        decision = CacheDecision(
            action=action, cause=CacheCause.BASELINE, reason="", hold_seconds=seconds
        )
        self.ledger.pause_started(context, decision, now)


class LoadTest(LedgerTest):
    def test_own_calls_count_at_once_and_others_by_the_report(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        # Taken at 1.5: one of the three calls at the engine is this node's.
        report = LoadState(running=2, waiting=1)
        self.ledger.call_sent(ENGINE, demand(run=RunId("run-2")), "b", 1.8)
        self.ledger.report_received(ENGINE, report, 1.5)
        self.assertEqual(self.view(2.0).running, 4)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.assertEqual(self.view(2.0).running, 3)

    def test_report_of_a_call_that_ended_meanwhile_is_not_counted_again(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 1.6)
        self.ledger.report_received(ENGINE, LoadState(running=1), 1.5)
        self.assertEqual(self.view(2.0).running, 0)

    def test_prefill_is_pending_until_the_first_text(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.assertEqual(self.view(1.0).pending_prefill, 4000)
        self.ledger.text_received("a", 1.5)
        self.ledger.text_received("a", 1.6)
        self.assertEqual(self.view(1.6).pending_prefill, 0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.assertEqual(self.view(2.0).pending_prefill, 0)

    def test_pace_is_observed(self) -> None:
        self.assertEqual(self.view(0.0).prefill_rate, engine_speed.DEFAULT_PREFILL_RATE)
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.text_received("a", 1.2)
        self.ledger.call_ended("a", ENDED, 6.2)
        view = self.view(7.0)
        self.assertAlmostEqual(view.prefill_rate, 20_000.0)
        self.assertAlmostEqual(view.decode_seconds, 0.05)

    def test_rate_of_a_prefill_behind_others_is_not_observed(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_sent(ENGINE, demand(run=RunId("run-2")), "b", 1.0)
        self.ledger.text_received("b", 9.0)
        self.ledger.call_ended("b", ENDED, 9.0)
        self.assertEqual(self.view(9.0).prefill_rate, engine_speed.DEFAULT_PREFILL_RATE)


class ContextTest(LedgerTest):
    def test_context_is_where_the_last_call_ended_well(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.assertEqual(self.view(2.0).cached_tokens, 4100)
        self.assertEqual(self.view(2.0, demand(run=CHILD)).cached_tokens, 0)
        self.ledger.call_sent(ENGINE, demand(), "b", 3.0)
        self.ledger.call_ended("b", CallEnd(ok=False), 4.0)
        self.assertEqual(self.view(4.0).cached_tokens, 0)

    def test_log_tells_a_new_leader_where_the_context_is(self) -> None:
        call = demand(previous_engine=ENGINE, previous_tokens=3000)
        self.assertEqual(self.view(0.0, call).cached_tokens, 3000)

    def test_lost_context_is_not_believed_because_of_the_log(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.assertEqual(self.ledger.idle_contexts_at(ENGINE), (RUN,))
        self.ledger.context_removed(ENGINE, RUN)
        call = demand(previous_engine=ENGINE, previous_tokens=4100)
        self.assertEqual(self.view(2.0, call).cached_tokens, 0)

    def test_ended_program_is_forgotten_and_its_engines_are_named(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.pause(PauseKind.TOOL, 2.0, CacheAction.HOLD)
        self.assertEqual(self.ledger.program_ended(RUN), (ENGINE,))
        self.assertEqual(self.ledger.program_ended(RUN), ())
        self.assertEqual(self.view(2.0).active_tokens, 0)
        self.assertEqual(self.ledger.engine(ENGINE).held_tokens(2.0), 0)


class ActiveProgramTest(LedgerTest):
    def test_program_is_active_during_calls_and_tool_pauses(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.assertEqual(self.view(1.0).active_tokens, 4100)
        self.assertTrue(self.view(1.0).program_is_active)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.pause(PauseKind.TOOL, 2.0, CacheAction.LEAVE)
        self.assertEqual(self.view(3.0).active_tokens, 4100)
        after = 2.0 + DEFAULT_PAUSE_SECONDS
        self.assertEqual(
            (self.view(after).active_tokens, self.view(after).program_is_active), (0, False)
        )

    def test_conversation_between_turns_is_not_active(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.pause(PauseKind.TURN, 2.0, CacheAction.LEAVE)
        self.assertEqual(self.view(2.0).active_programs, 0)

    def test_parent_and_child_need_their_contexts_together(self) -> None:
        self.ledger.call_sent(ENGINE, demand(), "a", 1.0)
        self.ledger.call_ended("a", ENDED, 2.0)
        self.pause(PauseKind.CHILD, 2.0, CacheAction.LEAVE)
        self.ledger.call_sent(ENGINE, demand(run=CHILD, prompt_tokens=900), "b", 2.0)
        self.assertEqual(self.view(2.0).active_tokens, 4100 + 1000)
        self.ledger.call_ended("b", CallEnd(ok=True, prompt_tokens=900, completion_tokens=9), 3.0)
        self.pause(PauseKind.END, 3.0, CacheAction.LEAVE, CHILD)
        self.assertEqual(self.view(3.0).active_tokens, 4100)

    def test_hold_counts_until_its_end(self) -> None:
        self.pause(PauseKind.TOOL, 1.0, CacheAction.HOLD)
        account = self.ledger.engine(ENGINE)
        self.assertEqual((account.held_tokens(5.9), account.held_tokens(6.0)), (4100, 0))


class PredictorTest(unittest.TestCase):
    def test_forecast_needs_samples_of_the_same_cause(self) -> None:
        predictor = PausePredictor()
        for _ in range(MIN_SAMPLES - 1):
            predictor.observe(PauseKind.TOOL, "roster", 3.0)
        self.assertIsNone(predictor.forecast(PauseKind.TOOL, "roster"))
        predictor.observe(PauseKind.TOOL, "roster", 3.0)
        forecast = predictor.forecast(PauseKind.TOOL, "roster")
        assert forecast is not None
        self.assertGreaterEqual(forecast.quantile(0.9), 3.0)
        self.assertLess(forecast.quantile(0.9), 3.0 * 1.5)
        self.assertIsNone(predictor.forecast(PauseKind.CHILD, "roster"))

    def test_old_pauses_fade_out(self) -> None:
        predictor = PausePredictor()
        for seconds in [1.0] * 500 + [60.0] * 3000:
            predictor.observe(PauseKind.TOOL, "roster", seconds)
        forecast = predictor.forecast(PauseKind.TOOL, "roster")
        assert forecast is not None
        self.assertLess(forecast.probability_within(2.0), 0.01)


if __name__ == "__main__":
    unittest.main()
