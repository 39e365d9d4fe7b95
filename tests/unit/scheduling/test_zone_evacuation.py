"""Orders by revision, which sessions may stay for a while, and what counts as capacity."""

from __future__ import annotations

import math
import unittest

from tests.unit.scheduling.evacuation_replay import Move, Replay, Result
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility
from yokeline.scheduling.zone_evacuation import (
    MAX_WITHDRAWN,
    MIN_KEPT_TOKENS,
    ZoneEvacuations,
)

BOUND = 5.0
NEW = EngineQuery(engine_id="e", zone="a", is_new_program=True, cached_tokens=9_000)
CACHED = EngineQuery(engine_id="e", zone="a", session="s", cached_tokens=9_000)
SHARED_PROMPT = EngineQuery(engine_id="e", zone="a", cached_tokens=MIN_KEPT_TOKENS - 1)
OTHER = EngineQuery(engine_id="f", zone="b", session="s", cached_tokens=9_000)
EVACUATED = Ineligibility.ZONE_EVACUATED


class Orders(unittest.TestCase):
    def setUp(self) -> None:
        self.zones = ZoneEvacuations(BOUND)

    def test_an_order_leaves_out_its_zone_and_no_other(self) -> None:
        self.assertFalse(self.zones.is_active)
        self.zones.apply("a", 5, True, 10.0)
        self.assertTrue(self.zones.is_active)
        self.assertIs(self.zones.check(NEW, 10.0), EVACUATED)
        self.assertIsNone(self.zones.check(OTHER, 10.0))
        self.assertEqual(self.zones.zones, ("a",))

    def test_orders_of_two_zones_are_independent(self) -> None:
        self.zones.apply("a", 5, True, 10.0)
        self.zones.apply("b", 6, True, 10.0)
        self.zones.apply("a", 7, False, 11.0)
        self.assertIsNone(self.zones.check(CACHED, 11.0))
        self.assertIs(self.zones.check(OTHER, 11.0), EVACUATED)

    def test_without_a_bound_orders_are_ignored(self) -> None:
        """Deployments without evacuations are served as before."""
        zones = ZoneEvacuations(0.0)
        self.assertIsNone(zones.apply("a", 5, True, 10.0))
        self.assertFalse(zones.is_active)

    def test_a_key_without_a_zone_is_no_order(self) -> None:
        """Engines whose entries name no zone must not be left out by it."""
        self.assertIsNone(self.zones.apply("", 5, True, 10.0))

    def test_order_end_and_order_within_a_second_are_one_sequence(self) -> None:
        self.zones.apply("a", 5, True, 10.0)
        self.zones.apply("a", 6, False, 10.1)
        self.assertFalse(self.zones.is_active)
        self.zones.apply("a", 7, True, 10.2)
        self.assertIs(self.zones.check(NEW, 10.2), EVACUATED)

    def test_an_older_change_that_arrives_late_undoes_nothing(self) -> None:
        """Changes come from the service and from other nodes, in any order."""
        self.zones.apply("a", 7, True, 10.0)
        self.assertIsNone(self.zones.apply("a", 6, False, 10.1))
        self.assertTrue(self.zones.is_active)
        self.zones.apply("a", 8, False, 10.2)
        self.assertIsNone(self.zones.apply("a", 7, True, 10.3))
        self.assertFalse(self.zones.is_active)

    def test_an_order_that_is_written_again_outlives_an_end_in_between(self) -> None:
        """A list after lost history shows the second order only."""
        self.zones.apply("a", 5, True, 10.0)
        self.assertIsNone(self.zones.apply("a", 9, True, 11.0, max_age=0.0))
        self.assertIsNone(self.zones.apply("a", 8, False, 11.1))
        self.assertIs(self.zones.check(CACHED, 11.1), EVACUATED)

    def test_the_order_is_returned_when_it_begins_and_when_it_is_withdrawn(self) -> None:
        began = self.zones.apply("a", 5, True, 10.0)
        ended = self.zones.apply("a", 6, False, 12.0)
        assert began is not None and ended is not None
        self.assertEqual((began.zone, began.revision, began.seen_at), ("a", 5, 10.0))
        self.assertEqual(ended, began)

    def test_what_is_kept_of_withdrawn_orders_is_bounded(self) -> None:
        for number in range(2 * MAX_WITHDRAWN):
            self.zones.apply(f"z{number}", 2 * number, True, 10.0)
            self.zones.apply(f"z{number}", 2 * number + 1, False, 10.0)
        self.assertEqual(len(self.zones._withdrawn), MAX_WITHDRAWN)


class Sessions(unittest.TestCase):
    def evacuated(self, max_age: float, bound: float = BOUND) -> ZoneEvacuations:
        zones = ZoneEvacuations(bound)
        zones.apply("a", 5, True, 10.0, max_age=max_age)
        return zones

    def test_a_session_with_cached_context_stays_for_a_short_part_of_the_bound(self) -> None:
        zones = self.evacuated(0.0)
        self.assertIsNone(zones.check(CACHED, 10.0))
        self.assertIsNone(zones.check(CACHED, 10.7))
        self.assertIs(zones.check(CACHED, 10.81), EVACUATED)

    def test_new_programs_and_sessions_with_little_context_move_at_once(self) -> None:
        zones = self.evacuated(0.0)
        for query in (NEW, SHARED_PROMPT):
            self.assertIs(zones.check(query, 10.0), EVACUATED)

    def test_a_node_that_may_have_learned_late_sends_nothing_after_half_the_bound(self) -> None:
        for age in (0.0, 0.8, 1.5, 1.9, 2.4, 4.0, math.inf):
            zones = self.evacuated(age)
            for step in range(500):
                now = 10.0 + step / 100
                if max(age, 1.5) + now - 10.0 >= BOUND / 2:
                    self.assertIs(zones.check(CACHED, now), EVACUATED, (age, now))

    def test_sessions_move_at_once_if_the_bound_leaves_no_time(self) -> None:
        self.assertIs(self.evacuated(0.0, bound=3.0).check(CACHED, 10.0), EVACUATED)

    def test_an_order_of_unknown_age_moves_sessions_at_once(self) -> None:
        """After a restart the order may be as old as the bound."""
        self.assertIs(self.evacuated(math.inf).check(CACHED, 10.0), EVACUATED)

    def test_a_repeated_order_gives_sessions_no_further_time(self) -> None:
        zones = self.evacuated(0.0)
        zones.apply("a", 6, True, 10.5, max_age=0.0)
        self.assertIs(zones.check(CACHED, 10.9), EVACUATED)

    def test_the_queue_is_checked_again_when_sessions_have_to_move(self) -> None:
        zones = self.evacuated(0.0)
        change = zones.next_change(10.0)
        assert change is not None
        self.assertAlmostEqual(change, 10.8)
        self.assertIs(zones.check(CACHED, change), EVACUATED)
        self.assertIsNone(zones.next_change(change))

    def test_the_zone_is_no_capacity_from_the_order_on_though_sessions_stay(self) -> None:
        zones = self.evacuated(0.0)
        self.assertEqual(zones.usable_slots("e", "a", 6, 0.1, 10.0), 0)
        self.assertEqual(zones.usable_slots("f", "b", 6, 0.1, 10.0), 6)
        zones.apply("a", 6, False, 10.1)
        self.assertEqual(zones.usable_slots("e", "a", 6, 0.1, 10.1), 6)


class Replays(unittest.TestCase):
    """A third of the engines is evacuated under load; ``python -m benchmarks.zone_evacuation``."""

    SEEDS = (1, 2, 3)
    LOAD = 1.3

    def results(self, move: Move) -> list[Result]:
        return [Replay(move, seed, self.LOAD).run() for seed in self.SEEDS]

    def test_sessions_that_stay_for_a_while_cost_callers_least(self) -> None:
        at_once, spread, kept = (
            self.results(move) for move in (Move.AT_ONCE, Move.BY_CONTEXT, Move.AT_WINDOW_END)
        )
        for other in (at_once, spread):
            self.assertLess(sum(r.seconds for r in kept), sum(r.seconds for r in other))
            self.assertLessEqual(sum(r.late for r in kept), sum(r.late for r in other))

    def test_the_last_sends_are_within_half_the_bound(self) -> None:
        for result in self.results(Move.AT_WINDOW_END):
            self.assertTrue(result.sends_after)
            within = sum(after <= BOUND / 2 for after in result.sends_after)
            self.assertGreaterEqual(within, 0.999 * len(result.sends_after))
