"""Properties of the scheduling policies and the state they decide on."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.unit.scheduling.support import CACHE_TOKENS, demand, engine, facts, pause
from yokeline.identifiers import RunId
from yokeline.scheduling.affinity import AffinityPolicy
from yokeline.scheduling.engine_state_tracker import CallEnd, EngineStateTracker
from yokeline.scheduling.forecast import BUCKET_BOUNDS_SECONDS, PauseForecast
from yokeline.scheduling.interface import CacheAction, CallDemand, EngineChoice, EngineView
from yokeline.scheduling.policies import POLICY_NAMES, make_policy

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=60)
AGING_SECONDS = 10.0
ROUNDING = 1e-9

TOKENS = st.integers(0, 2 * CACHE_TOKENS)
SECONDS = st.floats(0.0, 100.0)


@st.composite
def demands(draw: st.DrawFn) -> list[CallDemand]:
    """Draw waiting calls of different runs."""
    count = draw(st.integers(1, 8))
    return [
        demand(
            run=RunId(f"run-{number}"),
            cache_key=RunId(f"run-{number}"),
            priority=draw(st.integers(-2, 2)),
            worth=draw(st.floats(0.1, 10.0)),
            attained_service=draw(TOKENS),
            waiting_since=draw(SECONDS),
            program_since=draw(SECONDS),
            deadline=draw(st.none() | SECONDS),
            prompt_tokens=draw(TOKENS),
        )
        for number in range(count)
    ]


@st.composite
def engines(draw: st.DrawFn) -> list[EngineView]:
    """Draw engines, some of them full, crowded or unusable."""
    count = draw(st.integers(0, 5))
    return [
        engine(
            f"pool/e{number}",
            running=draw(st.integers(0, 6)),
            cached_tokens=draw(TOKENS),
            active_tokens=draw(TOKENS),
            active_programs=draw(st.integers(0, 6)),
            pending_prefill=draw(TOKENS),
            program_is_active=draw(st.booleans()),
            usable=draw(st.booleans()),
        )
        for number in range(count)
    ]


class PolicyTest(unittest.TestCase):
    @EXAMPLES
    @given(demands(), st.sampled_from(POLICY_NAMES), st.randoms(use_true_random=False))
    def test_order_is_total_and_does_not_depend_on_the_arrangement(
        self, calls: list[CallDemand], name: str, source: object
    ) -> None:
        policy = make_policy(name)
        order = policy.order(calls, 100.0)
        self.assertEqual(sorted(order), list(range(len(calls))))
        shuffled = list(calls)
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        again = policy.order(shuffled, 100.0)
        if name != "clairvoyant":
            self.assertEqual([calls[i].run for i in order], [shuffled[i].run for i in again])

    @EXAMPLES
    @given(demands(), st.integers(0, 5))
    def test_ageing_prevents_starvation(self, calls: list[CallDemand], steps: int) -> None:
        """A call that has waited long enough precedes all later arrivals."""
        policy = AffinityPolicy(aging_seconds=AGING_SECONDS)
        starved = demand(
            run=RunId("run-starved"), priority=-steps, attained_service=10**9, waiting_since=0.0
        )
        spread = max(call.priority for call in calls) - starved.priority + 1
        now = AGING_SECONDS * (spread + 1)
        fresh = [msgspec.structs.replace(call, waiting_since=now) for call in calls]
        self.assertEqual(policy.order([*fresh, starved], now)[0], len(fresh))

    @EXAMPLES
    @given(demands(), engines(), SECONDS)
    def test_choice_is_a_usable_engine_with_a_free_slot(
        self, calls: list[CallDemand], views: list[EngineView], now: float
    ) -> None:
        choice = AffinityPolicy().choose(calls[0], views, now)
        if isinstance(choice, EngineChoice):
            chosen = next(view for view in views if view.name == choice.engine)
            self.assertTrue(chosen.usable)
            self.assertLess(chosen.running, chosen.slots)

    @EXAMPLES
    @given(engines())
    def test_a_call_that_waited_long_is_kept_by_nothing_but_full_engines(
        self, views: list[EngineView]
    ) -> None:
        free = [view for view in views if view.usable and view.running < view.slots]
        choice = AffinityPolicy().choose(demand(waiting_since=0.0), views, 1000.0)
        self.assertEqual(isinstance(choice, EngineChoice), bool(free))


class CacheTest(unittest.TestCase):
    @EXAMPLES
    @given(st.floats(0.01, 500.0), st.floats(0.01, 500.0), st.integers(1, 20_000))
    def test_no_longer_pause_is_held_where_a_shorter_one_is_not(
        self, one: float, other: float, tokens: int
    ) -> None:
        policy = AffinityPolicy()
        short, long = sorted((one, other))
        held = [
            policy.cache_decision(pause(seconds, context_tokens=tokens)).action is CacheAction.HOLD
            for seconds in (short, long)
        ]
        self.assertGreaterEqual(held[0], held[1])

    @EXAMPLES
    @given(
        st.lists(st.integers(0, 9), min_size=1, max_size=len(BUCKET_BOUNDS_SECONDS)),
        SECONDS,
        SECONDS,
    )
    def test_forecast_is_a_distribution(self, counts: list[int], one: float, other: float) -> None:
        forecast = PauseForecast.of_counts([*counts, 1])
        less, more = sorted((one, other))
        self.assertAlmostEqual(sum(forecast.probabilities), 1.0)
        self.assertLessEqual(forecast.probability_within(less), forecast.probability_within(more))
        self.assertLessEqual(
            forecast.expected_seconds_within(less), forecast.expected_seconds_within(more)
        )
        self.assertLessEqual(forecast.expected_seconds_within(more), more + ROUNDING)
        self.assertGreaterEqual(forecast.probability_within(forecast.quantile(0.5)), 0.5 - ROUNDING)


class LedgerTest(unittest.TestCase):
    @EXAMPLES
    @given(st.lists(st.tuples(st.sampled_from("stedp"), st.integers(0, 3)), max_size=40))
    def test_nothing_stays_counted_once_all_is_over(self, steps: list[tuple[str, int]]) -> None:
        ledger = EngineStateTracker()
        runs = [RunId(f"run-{number}") for number in range(4)]
        for now, (step, number) in enumerate(steps):
            run, call = runs[number], f"call-{number}"
            match step:
                case "s":
                    ledger.call_sent("pool/e1", demand(run=run, cache_key=run), call, now)
                case "t":
                    ledger.text_received(call, now)
                case "e":
                    ledger.call_ended(call, CallEnd(ok=True, prompt_tokens=900), now)
                case "d":
                    ledger.context_removed("pool/e1", run)
                case "p":
                    ledger.engine("pool/e1").run_paused(run, run, 500, now + 5.0)
        end = float(len(steps))
        for number in range(4):
            ledger.call_ended(f"call-{number}", CallEnd(ok=False), end)
        view = ledger.view(facts(), demand(), end + 10.0)
        self.assertEqual((view.running, view.pending_prefill), (0, 0))
        self.assertEqual((view.active_tokens, view.active_programs), (0, 0))


if __name__ == "__main__":
    unittest.main()
