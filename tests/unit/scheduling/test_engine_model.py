from __future__ import annotations

import random
import unittest

from yokeline.scheduling.engine_model import (
    EngineLatencyModel,
    LinearFit,
    ObservedPace,
    Prediction,
    PriorPoint,
    ServedTurn,
)
from yokeline.scheduling.engine_profiles import ReportedProfile

PREFILL_SECONDS_PER_TOKEN = 1 / 40_000
PACE = 0.015
SLOWDOWN_PER_TURN = 0.0005


def served_turn(
    source: random.Random, engine_id: str = "e", *, slowdown: float = 1.0, noise: float = 0.1
) -> ServedTurn:
    uncached_tokens = source.choice((300, 600, 1500, 4000))
    concurrent_turns = source.randint(0, 12)
    noise_factor = 1 + noise * (2 * source.random() - 1)
    return ServedTurn(
        engine_id=engine_id,
        uncached_tokens=uncached_tokens,
        concurrent_turns=concurrent_turns,
        first_event_seconds=noise_factor
        * slowdown
        * (0.02 + uncached_tokens * PREFILL_SECONDS_PER_TOKEN),
        event_seconds=noise_factor * slowdown * (PACE + SLOWDOWN_PER_TURN * concurrent_turns),
        events=source.randint(4, 16),
    )


class Observer:
    """A model whose clock advances by a second with each turn."""

    def __init__(self) -> None:
        self.model = EngineLatencyModel()
        self.now = 100.0

    def observe(
        self, turn: ServedTurn, reported_profile: ReportedProfile | None = None
    ) -> ObservedPace:
        self.now += 1.0
        return self.model.observe(turn, self.now, reported_profile)

    def predict(
        self,
        engine_id: str,
        *,
        uncached_tokens: int,
        concurrent_turns: int,
        reported_profile: ReportedProfile | None = None,
        reported_slowness: float = 1.0,
        hinted_events: float | None = None,
    ) -> Prediction:
        return self.model.predict(
            engine_id,
            uncached_tokens=uncached_tokens,
            concurrent_turns=concurrent_turns,
            now=self.now,
            reported_profile=reported_profile,
            reported_slowness=reported_slowness,
            hinted_events=hinted_events,
        )

    def slowdown_factor(self, engine_id: str) -> float:
        return self.model.slowdown_factor(engine_id, self.now)

    def reported(self, pace: float, *, samples: float = 15, spell: float = 1.0) -> ReportedProfile:
        return ReportedProfile(
            pace_seconds=pace, samples=samples, spell=spell, reported_at=self.now
        )

    @property
    def events(self) -> float:
        return self.model.events

    @property
    def prefill_seconds_per_token(self) -> float:
        return self.model.prefill_seconds_per_token

    @property
    def typical_turn_seconds(self) -> float:
        return self.model.typical_turn_seconds


class Learning(unittest.TestCase):
    def trained(self, turns: int = 150, slowdowns: dict[str, float] | None = None) -> Observer:
        source = random.Random(1)
        model = Observer()
        for _ in range(turns):
            for engine_id, slowdown in (slowdowns or {"e": 1.0}).items():
                model.observe(served_turn(source, engine_id, slowdown=slowdown))
        return model

    def test_known_paces_are_found_in_noise(self) -> None:
        model = self.trained()
        self.assertAlmostEqual(
            model.prefill_seconds_per_token / PREFILL_SECONDS_PER_TOKEN, 1.0, delta=0.1
        )
        expected = (
            0.02 + 1000 * PREFILL_SECONDS_PER_TOKEN + model.events * (PACE + 6 * SLOWDOWN_PER_TURN)
        )
        predicted = model.predict("e", uncached_tokens=1000, concurrent_turns=6).seconds
        self.assertAlmostEqual(predicted / expected, 1.0, delta=0.1)

    def test_an_engine_that_turns_slow_is_known_after_few_turns_and_forgiven(self) -> None:
        model = self.trained(slowdowns={"a": 1.0, "b": 1.0, "c": 1.0})
        source = random.Random(2)
        for _ in range(20):
            model.observe(served_turn(source, "a"))
            model.observe(served_turn(source, "b", slowdown=4.0))
            model.observe(served_turn(source, "c"))
        slow, usual = (
            model.predict(name, uncached_tokens=0, concurrent_turns=2).seconds
            for name in ("b", "a")
        )
        self.assertGreater(slow, 1.8 * usual)
        for _ in range(30):
            for name in ("a", "b", "c"):
                model.observe(served_turn(source, name))
        self.assertLess(model.slowdown_factor("b"), 1.2)

    def test_a_slower_kind_in_a_pool_costs_more(self) -> None:
        model = self.trained(slowdowns={"fast": 1.0, "fast-2": 1.0, "slow": 1.3})
        ratio = model.slowdown_factor("slow") / model.slowdown_factor("fast")
        self.assertAlmostEqual(ratio, 1.3, delta=0.1)

    def test_what_other_nodes_saw_counts_where_this_one_saw_nothing(self) -> None:
        model = self.trained()
        told = model.predict(
            "e", uncached_tokens=0, concurrent_turns=0, reported_slowness=3.0
        ).seconds
        self.assertGreater(
            told, 2 * model.predict("e", uncached_tokens=0, concurrent_turns=0).seconds
        )

    def test_one_wild_turn_bends_nothing(self) -> None:
        model = self.trained()
        before = model.predict("e", uncached_tokens=1000, concurrent_turns=3).seconds
        source = random.Random(3)
        model.observe(served_turn(source, slowdown=200.0))
        after = model.predict("e", uncached_tokens=1000, concurrent_turns=3).seconds
        self.assertLess(after, 1.3 * before)

    def test_events_that_all_came_at_once_divide_by_nothing(self) -> None:
        observer = Observer()
        turn = ServedTurn(
            engine_id="e",
            uncached_tokens=0,
            concurrent_turns=0,
            first_event_seconds=0.0,
            event_seconds=0.0,
            events=5,
        )
        for _ in range(20):
            observer.observe(turn)
        self.assertGreater(observer.predict("e", uncached_tokens=0, concurrent_turns=0).seconds, 0)

    def test_a_guess_of_the_length_counts_within_bounds(self) -> None:
        model = self.trained()
        usual = model.predict("e", uncached_tokens=0, concurrent_turns=2).seconds
        longer, absurd = (
            model.predict(
                "e", uncached_tokens=0, concurrent_turns=2, hinted_events=factor * model.events
            ).seconds
            for factor in (3.0, 1000.0)
        )
        self.assertGreater(longer, 2 * usual)
        self.assertLess(absurd, 5 * usual)

    def test_before_anything_is_seen_reading_is_dear_and_nothing_is_zero(self) -> None:
        model = Observer()
        cached = model.predict("e", uncached_tokens=0, concurrent_turns=3)
        moved = model.predict("e", uncached_tokens=5000, concurrent_turns=0)
        self.assertGreater(moved.cost, cached.cost)
        self.assertGreater(model.typical_turn_seconds, 0)

    def test_a_change_of_the_whole_pool_is_followed(self) -> None:
        model = self.trained()
        source = random.Random(4)
        for _ in range(150):
            model.observe(served_turn(source, slowdown=3.0))
        expected = 3.0 * (0.02 + model.events * (PACE + 2 * SLOWDOWN_PER_TURN))
        predicted = model.predict("other", uncached_tokens=0, concurrent_turns=2).seconds
        self.assertAlmostEqual(predicted / expected, 1.0, delta=0.25)


class Told(unittest.TestCase):
    """Profiles reported by the leader."""

    def test_a_node_that_has_just_started_predicts_with_what_it_was_told(self) -> None:
        observer = Observer()
        observer.model.set_typical_pace(PACE)
        fast = observer.predict(
            "f",
            uncached_tokens=0,
            concurrent_turns=0,
            reported_profile=observer.reported(0.7 * PACE),
        )
        slow = observer.predict(
            "s",
            uncached_tokens=0,
            concurrent_turns=0,
            reported_profile=observer.reported(1.7 * PACE),
        )
        self.assertAlmostEqual(slow.seconds / fast.seconds, 1.7 / 0.7, delta=0.1)

    def test_an_engine_of_which_nothing_is_known_is_taken_for_a_usual_one(self) -> None:
        observer = Observer()
        observer.model.set_typical_pace(PACE)
        known = observer.predict(
            "u", uncached_tokens=0, concurrent_turns=0, reported_profile=observer.reported(PACE)
        ).seconds
        unknown = observer.predict("new", uncached_tokens=0, concurrent_turns=0).seconds
        self.assertAlmostEqual(unknown / known, 1.0, delta=0.01)

    def test_much_that_was_seen_elsewhere_outweighs_one_turn_here_and_little_does_not(self) -> None:
        observer = Observer()
        observer.model.set_typical_pace(PACE)
        source = random.Random(6)
        for _ in range(10):
            observer.observe(served_turn(source, "known"))
        observer.observe(served_turn(source, "e", slowdown=2.5))
        much, little = (
            observer.model.slowdown_factor(
                "e", observer.now, observer.reported(PACE, samples=samples)
            )
            for samples in (15, 0.2)
        )
        self.assertLess(much, 1.2)
        self.assertGreater(little, 1.6)

    def test_a_told_spell_fades_and_a_lasting_pace_stays(self) -> None:
        observer = Observer()
        observer.model.set_typical_pace(PACE)
        in_spell, slow = observer.reported(PACE, spell=2.5), observer.reported(2.5 * PACE)
        observer.now += 3.0
        usual = observer.predict("u", uncached_tokens=0, concurrent_turns=0).seconds
        after = observer.predict(
            "u", uncached_tokens=0, concurrent_turns=0, reported_profile=in_spell
        ).seconds
        lasting = observer.predict(
            "u", uncached_tokens=0, concurrent_turns=0, reported_profile=slow
        ).seconds
        self.assertLess(after, 1.15 * usual)
        self.assertGreater(lasting, 2.2 * usual)

    def test_nodes_that_use_other_engines_tell_the_same_pace_of_one(self) -> None:
        """One node also uses fast engines, the other one slow engines."""
        told = []
        for speed in (0.7, 1.7):
            observer, source = Observer(), random.Random(7)
            for _ in range(60):
                observer.observe(served_turn(source, "others", slowdown=speed))
            observed = [observer.observe(served_turn(source, "e", noise=0.0)) for _ in range(9)]
            told.append(sorted(item.pace_seconds for item in observed)[4])
        self.assertAlmostEqual(told[0] / told[1], 1.0, delta=0.05)
        self.assertAlmostEqual(told[0] / PACE, 1.0, delta=0.1)

    def test_a_node_that_has_seen_too_little_tells_no_pace(self) -> None:
        observer = Observer()
        self.assertEqual(observer.observe(served_turn(random.Random(8))).pace_seconds, 0.0)


class Lines(unittest.TestCase):
    def test_observations_at_one_place_divide_by_nothing(self) -> None:
        line = LinearFit((PriorPoint(0.0, 1.0, 0.5), PriorPoint(10.0, 2.0, 0.5)))
        for _ in range(1000):
            line.observe(5.0, 3.0)
        self.assertAlmostEqual(line.predict(5.0), 3.0, delta=0.1)

    def test_a_line_never_falls_nor_begins_below_nothing(self) -> None:
        source = random.Random(5)
        for _ in range(50):
            line = LinearFit((PriorPoint(0.0, 1.0, 0.5), PriorPoint(10.0, 2.0, 0.5)))
            for _ in range(100):
                line.observe(10 * source.random(), source.random() ** 4)
            self.assertGreaterEqual(line.slope, 0.0)
            self.assertGreaterEqual(line.intercept, 0.0)
            self.assertGreater(line.predict(0.0), 0.0)
