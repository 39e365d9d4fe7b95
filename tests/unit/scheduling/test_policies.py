"""Tests of the policies' decisions."""

from __future__ import annotations

import unittest

from tests.unit.scheduling.support import CACHE_TOKENS, demand, engine, pause
from yokeline.identifiers import RunId
from yokeline.scheduling.affinity import (
    ADMISSION_TIMEOUT_SECONDS,
    MAX_ACTIVE_CACHE_RATIO,
    AffinityPolicy,
    Mechanisms,
)
from yokeline.scheduling.clairvoyant import ClairvoyantPolicy
from yokeline.scheduling.interface import (
    CacheAction,
    CacheCause,
    CallDemand,
    EngineChoice,
    EngineView,
    PauseKind,
    WaitCause,
    WaitForEngine,
)
from yokeline.scheduling.policies import POLICY_NAMES, make_policy


def chosen(*engines: EngineView, call: CallDemand | None = None, now: float = 0.0) -> str:
    """Return the chosen engine's name, or the cause of waiting."""
    choice = AffinityPolicy().choose(call or demand(), engines, now)
    return choice.engine if isinstance(choice, EngineChoice) else choice.cause.value


class ChoiceTest(unittest.TestCase):
    def test_engine_with_the_context_goes_before_an_idle_one(self) -> None:
        call = demand(prompt_tokens=16_000)
        busy = engine("pool/e2", cached_tokens=15_900, running=2, program_is_active=True)
        self.assertEqual(chosen(engine(), busy, call=call), "pool/e2")

    def test_short_context_is_left_for_an_idle_engine(self) -> None:
        busy = engine("pool/e2", cached_tokens=50, running=3)
        self.assertEqual(chosen(engine(), busy), "pool/e1")

    def test_call_waits_for_a_full_engine_if_a_rebuild_takes_longer(self) -> None:
        call = demand(prompt_tokens=90_000, expected_completion_tokens=10)
        holder = engine("pool/e2", cached_tokens=90_000, running=4, program_is_active=True)
        self.assertEqual(chosen(engine(), holder, call=call), WaitCause.CONTEXT_ELSEWHERE.value)
        self.assertEqual(
            chosen(engine(), holder, call=call, now=ADMISSION_TIMEOUT_SECONDS), "pool/e1"
        )

    def test_new_program_waits_for_memory_and_an_active_one_does_not(self) -> None:
        full = int(MAX_ACTIVE_CACHE_RATIO * CACHE_TOKENS)
        crowded = engine(active_tokens=full - 4000, active_programs=9)
        self.assertEqual(chosen(crowded), WaitCause.MEMORY.value)
        roomy = engine(active_tokens=full - 4200, active_programs=9)
        self.assertEqual(chosen(roomy), "pool/e1")
        active = engine(active_tokens=2 * CACHE_TOKENS, active_programs=9, program_is_active=True)
        self.assertEqual(chosen(active), "pool/e1")

    def test_nothing_is_too_large_for_an_engine_without_programs(self) -> None:
        self.assertEqual(chosen(engine(), call=demand(prompt_tokens=CACHE_TOKENS)), "pool/e1")

    def test_memory_cap_ends_with_patience(self) -> None:
        crowded = engine(active_tokens=2 * CACHE_TOKENS, active_programs=9)
        self.assertEqual(
            chosen(crowded, now=ADMISSION_TIMEOUT_SECONDS - 1.0), WaitCause.MEMORY.value
        )
        self.assertEqual(chosen(crowded, now=ADMISSION_TIMEOUT_SECONDS), "pool/e1")

    def test_full_and_unusable_engines_are_told_apart(self) -> None:
        self.assertEqual(chosen(engine(running=4)), WaitCause.SLOTS.value)
        self.assertEqual(chosen(engine(usable=False)), WaitCause.NO_ENGINE.value)

    def test_mechanisms_can_be_switched_off(self) -> None:
        crowded = engine(active_tokens=2 * CACHE_TOKENS, active_programs=9, running=4)
        off = Mechanisms(admission=False, queue=False)
        choice = make_policy("affinity", mechanisms=off).choose(demand(), [crowded], 0.0)
        self.assertIsInstance(choice, EngineChoice)


class BaselineTest(unittest.TestCase):
    def test_round_robin_takes_turns(self) -> None:
        policy = make_policy("round_robin")
        engines = [engine("pool/e2"), engine("pool/e1")]
        names = [policy.choose(demand(), engines, 0.0) for _ in range(3)]
        self.assertEqual(
            [choice.engine for choice in names if isinstance(choice, EngineChoice)],
            ["pool/e1", "pool/e2", "pool/e1"],
        )

    def test_least_loaded_and_prefix(self) -> None:
        engines = [engine("pool/e1", running=2, cached_tokens=10), engine("pool/e2", running=1)]
        least = make_policy("least_loaded").choose(demand(), engines, 0.0)
        prefix = make_policy("prefix_fcfs").choose(demand(), engines, 0.0)
        assert isinstance(least, EngineChoice) and isinstance(prefix, EngineChoice)
        self.assertEqual((least.engine, prefix.engine), ("pool/e2", "pool/e1"))

    def test_baselines_serve_by_arrival_and_leave_the_cache(self) -> None:
        late, early = demand(waiting_since=2.0, worth=9.0), demand(waiting_since=1.0)
        for name in ("round_robin", "least_loaded", "prefix_fcfs"):
            policy = make_policy(name)
            self.assertEqual(policy.order([late, early], 5.0), (1, 0))
            self.assertEqual(policy.cache_decision(pause()).cause, CacheCause.BASELINE)
            waits = policy.choose(late, [engine(usable=False)], 0.0)
            self.assertIsInstance(waits, WaitForEngine)

    def test_every_name_makes_a_policy_of_that_name(self) -> None:
        self.assertEqual([make_policy(name).name for name in POLICY_NAMES], list(POLICY_NAMES))


class OrderTest(unittest.TestCase):
    def first(self, *calls: CallDemand, now: float = 100.0) -> int:
        return AffinityPolicy(aging_seconds=10.0).order(calls, now)[0]

    def test_priority_goes_before_service(self) -> None:
        served = demand(priority=1, attained_service=50_000, waiting_since=100.0)
        self.assertEqual(self.first(demand(waiting_since=100.0), served), 1)

    def test_least_served_program_goes_first_weighted_by_worth(self) -> None:
        little = demand(attained_service=3000, waiting_since=100.0)
        much = demand(attained_service=30_000, waiting_since=100.0)
        worthy = demand(attained_service=30_000, worth=100.0, waiting_since=100.0)
        self.assertEqual(self.first(much, little), 1)
        self.assertEqual(self.first(little, worthy), 1)

    def test_started_program_goes_before_a_new_one(self) -> None:
        started = demand(attained_service=50_000, waiting_since=100.0)
        self.assertEqual(self.first(demand(waiting_since=100.0), started), 1)

    def test_program_past_its_deadline_goes_behind(self) -> None:
        late = demand(attained_service=10, deadline=99.0, waiting_since=100.0)
        timely = demand(attained_service=50_000, deadline=101.0, waiting_since=100.0)
        self.assertEqual(self.first(late, timely), 1)

    def test_waiting_lifts_a_call(self) -> None:
        old = demand(attained_service=30_000, waiting_since=85.0)
        self.assertEqual(self.first(demand(waiting_since=100.0), old), 1)

    def test_clairvoyant_serves_the_shortest_rest_first(self) -> None:
        long = demand(remaining_service=9000, waiting_since=100.0)
        short = demand(remaining_service=10, attained_service=99_999, waiting_since=100.0)
        self.assertEqual(ClairvoyantPolicy().order([long, short], 100.0), (1, 0))


class CacheDecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = AffinityPolicy()

    def test_ended_program_is_dropped_and_a_child_is_not(self) -> None:
        ended = self.policy.cache_decision(pause(kind=PauseKind.END))
        self.assertEqual((ended.action, ended.cause), (CacheAction.DROP, CacheCause.ENDED))
        child = self.policy.cache_decision(pause(kind=PauseKind.END, run=RunId("run-1.1")))
        self.assertEqual(child.action, CacheAction.LEAVE)

    def test_short_pause_at_a_crowded_engine_is_held_through(self) -> None:
        decision = self.policy.cache_decision(pause(2.0))
        self.assertEqual(decision.action, CacheAction.HOLD)
        self.assertGreater(decision.hold_seconds, 2.0)

    def test_long_or_unknown_pause_is_not_held(self) -> None:
        self.assertEqual(self.policy.cache_decision(pause(100.0)).action, CacheAction.LEAVE)
        unknown = self.policy.cache_decision(pause(None))
        self.assertEqual(unknown.cause, CacheCause.UNKNOWN_PAUSE)

    def test_context_that_eviction_will_outrun_is_dropped_for_the_others(self) -> None:
        long = self.policy.cache_decision(pause(500.0))
        self.assertEqual((long.action, long.cause), (CacheAction.DROP, CacheCause.LONG_PAUSE))
        empty = self.policy.cache_decision(pause(500.0, cache_used=1000, active_tokens=1000))
        self.assertEqual(empty.cause, CacheCause.ROOM)
        child = self.policy.cache_decision(pause(500.0, run=RunId("run-1.1")))
        self.assertEqual(child.action, CacheAction.LEAVE)

    def test_nothing_is_held_where_there_is_room(self) -> None:
        roomy = pause(2.0, active_tokens=1000)
        self.assertEqual(self.policy.cache_decision(roomy).cause, CacheCause.ROOM)

    def test_holds_take_no_more_than_their_share(self) -> None:
        full = pause(2.0, held_tokens=CACHE_TOKENS // 2)
        self.assertEqual(self.policy.cache_decision(full).action, CacheAction.LEAVE)


if __name__ == "__main__":
    unittest.main()
