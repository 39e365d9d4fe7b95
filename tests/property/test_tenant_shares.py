"""Shares are max-min fair, whatever the demands, their order and the scale of the weights."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from yokeline.scheduling.passing_over import LEAST_PART, MOST_AHEAD, PassingOver
from yokeline.scheduling.tenant_shares import (
    LEAST_SHARE,
    MAX_BEYOND,
    TenantDemand,
    fair_level,
    shares_of,
)

ROUNDING = 1e-6

rows = st.tuples(
    st.sampled_from([0.01, 0.5, 1.0, 1.7, 3.0, 20.0, 533.0]),
    st.integers(min_value=0, max_value=40),
    st.integers(min_value=0, max_value=40),
)
demand_lists = st.lists(rows, min_size=1, max_size=16).map(
    lambda items: [
        TenantDemand(f"t{number}", weight, running, waiting)
        for number, (weight, running, waiting) in enumerate(items)
    ]
)
place_counts = st.integers(min_value=0, max_value=400)


def cut(demands: list[TenantDemand], level: float) -> list[float]:
    return [min(item.wanted, level * item.weight) if item.wanted else 0.0 for item in demands]


class Levels(unittest.TestCase):
    @given(demand_lists, place_counts)
    def test_the_shares_add_up_to_the_places_or_to_all_that_is_wanted(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        total = sum(cut(demands, fair_level(demands, places)))
        wanted = sum(item.wanted for item in demands)
        self.assertAlmostEqual(total, min(places, wanted), delta=ROUNDING * (1 + wanted))

    @given(demand_lists, place_counts)
    def test_nobody_gets_more_for_its_weight_than_one_who_lacks_something(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        """Max-min: to give more to one that lacks, one with no more for its weight must lose."""
        shares = cut(demands, fair_level(demands, places))
        for item, share in zip(demands, shares, strict=True):
            if share >= item.wanted - ROUNDING:
                continue
            for other, others_share in zip(demands, shares, strict=True):
                self.assertLessEqual(
                    others_share / other.weight, share / item.weight * (1 + ROUNDING) + ROUNDING
                )

    @given(demand_lists, place_counts, st.randoms(use_true_random=False))
    def test_the_order_of_tenants_does_not_matter(
        self, demands: list[TenantDemand], places: int, source: random.Random
    ) -> None:
        mixed = list(demands)
        source.shuffle(mixed)
        first, second = fair_level(demands, places), fair_level(mixed, places)
        self.assertTrue(math.isclose(first, second, rel_tol=ROUNDING))

    @given(demand_lists, place_counts, st.sampled_from([0.25, 4.0, 1024.0]))
    def test_only_the_proportion_of_weights_matters(
        self, demands: list[TenantDemand], places: int, factor: float
    ) -> None:
        scaled = [
            TenantDemand(item.tenant, item.weight * factor, item.running, item.waiting)
            for item in demands
        ]
        first, second = shares_of(demands, places), shares_of(scaled, places)
        self.assertTrue(math.isclose(first.level, second.level * factor, rel_tol=ROUNDING))
        self.assertEqual(
            [item.tenant for item in first.beyond], [item.tenant for item in second.beyond]
        )


class Beyond(unittest.TestCase):
    @given(demand_lists, place_counts)
    def test_only_who_holds_more_than_its_share_is_beyond_and_only_if_another_lacks_places(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        shares = shares_of(demands, places)
        lacking = [item for item in demands if item.waiting and item.running < item.wanted]
        for item in shares.beyond:
            self.assertGreater(item.running, shares.share_of(item))
            self.assertTrue(any(other.tenant != item.tenant for other in lacking))

    @given(demand_lists, place_counts)
    def test_the_largest_excesses_are_named_and_the_least_share_is_never_beyond(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        shares = shares_of(demands, places)
        self.assertLessEqual(len(shares.beyond), MAX_BEYOND)
        excesses = [item.running - shares.share_of(item) for item in shares.beyond]
        self.assertEqual(excesses, sorted(excesses, reverse=True))
        for item in shares.beyond:
            self.assertGreater(item.running, min(LEAST_SHARE, item.wanted))

    @given(st.integers(0, 500), st.integers(0, 500), place_counts)
    def test_who_is_alone_is_never_beyond(self, running: int, waiting: int, places: int) -> None:
        demands = [TenantDemand("a", 1.0, running, waiting)]
        self.assertEqual(shares_of(demands, places).beyond, ())


class Bound(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=400))
    def test_a_third_of_any_run_of_requests_competes_as_an_equal(
        self, verdicts: list[bool]
    ) -> None:
        passing = PassingOver()
        equals = [not passing.may_hold("a", is_beyond=verdict) for verdict in verdicts]
        for start in range(0, len(equals), 7):
            part = equals[start:]
            self.assertGreaterEqual(sum(part), LEAST_PART * len(part) - MOST_AHEAD - 1)

    @given(st.lists(st.sampled_from(["a", "b", "c"]), max_size=60))
    def test_tenants_are_counted_apart(self, names: list[str]) -> None:
        together = PassingOver()
        mixed = [together.may_hold(name, is_beyond=True) for name in names]
        for name in set(names):
            alone = PassingOver()
            own = [held for item, held in zip(names, mixed, strict=True) if item == name]
            self.assertEqual(own, [alone.may_hold(name, is_beyond=True) for _ in own])
