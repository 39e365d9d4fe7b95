"""Shares are max-min fair for all demands, orders and scales of the weights."""

from __future__ import annotations

import math
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.scheduling.service_deficits import MIN_SERVICE_RATIO, ServiceDeficits
from yokeline.scheduling.tenant_shares import (
    MAX_BEYOND,
    MIN_EXCESS,
    MIN_SHARE,
    TenantDemand,
    fair_level,
    shares_of,
)

ROUNDING = 1e-6
EXAMPLES = settings(derandomize=True, deadline=None, max_examples=100)
LONG_RUN = 20_000
"""New programs at a node, about ten minutes."""

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


def allocations(demands: list[TenantDemand], level: float) -> list[float]:
    return [min(item.wanted, level * item.weight) if item.wanted else 0.0 for item in demands]


class Levels(unittest.TestCase):
    @EXAMPLES
    @given(demand_lists, place_counts)
    def test_the_shares_add_up_to_the_places_or_to_all_that_is_wanted(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        total = sum(allocations(demands, fair_level(demands, places)))
        wanted = sum(item.wanted for item in demands)
        self.assertAlmostEqual(total, min(places, wanted), delta=ROUNDING * (1 + wanted))

    @EXAMPLES
    @given(demand_lists, place_counts)
    def test_nobody_gets_more_for_its_weight_than_one_who_lacks_something(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        """Any increase for one tenant would take from another with no more for its weight."""
        shares = allocations(demands, fair_level(demands, places))
        for item, share in zip(demands, shares, strict=True):
            if share >= item.wanted - ROUNDING:
                continue
            for other, others_share in zip(demands, shares, strict=True):
                self.assertLessEqual(
                    others_share / other.weight, share / item.weight * (1 + ROUNDING) + ROUNDING
                )

    @EXAMPLES
    @given(demand_lists, place_counts, st.randoms(use_true_random=False))
    def test_the_order_of_tenants_does_not_matter(
        self, demands: list[TenantDemand], places: int, source: random.Random
    ) -> None:
        mixed = list(demands)
        source.shuffle(mixed)
        first, second = fair_level(demands, places), fair_level(mixed, places)
        self.assertTrue(math.isclose(first, second, rel_tol=ROUNDING))

    @EXAMPLES
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
    @EXAMPLES
    @given(demand_lists, place_counts)
    def test_only_who_holds_more_than_its_share_is_beyond_and_only_if_another_lacks_places(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        shares = shares_of(demands, places)
        lacking = [item for item in demands if item.waiting and item.running < item.wanted]
        for item in shares.beyond:
            self.assertGreaterEqual(item.running, shares.share_of(item) + MIN_EXCESS)
            self.assertTrue(any(other.tenant != item.tenant for other in lacking))

    @EXAMPLES
    @given(demand_lists, place_counts)
    def test_the_largest_excesses_are_named_and_the_least_share_is_never_beyond(
        self, demands: list[TenantDemand], places: int
    ) -> None:
        shares = shares_of(demands, places)
        self.assertLessEqual(len(shares.beyond), MAX_BEYOND)
        excesses = [item.running - shares.share_of(item) for item in shares.beyond]
        self.assertEqual(excesses, sorted(excesses, reverse=True))
        for item in shares.beyond:
            self.assertGreater(item.running, min(MIN_SHARE, item.wanted))

    @EXAMPLES
    @given(st.integers(0, 500), st.integers(0, 500), place_counts)
    def test_who_is_alone_is_never_beyond(self, running: int, waiting: int, places: int) -> None:
        demands = [TenantDemand("a", 1.0, running, waiting)]
        self.assertEqual(shares_of(demands, places).beyond, ())


class Bound(unittest.TestCase):
    @settings(EXAMPLES, max_examples=30)
    @given(st.integers(1, 12), st.integers(1, 12), st.integers(0, 2**32))
    def test_a_tenant_that_is_always_held_back_is_served_a_quarter_as_often_as_all(
        self, hot_part: int, rate: int, seed: int
    ) -> None:
        """It is served only once it has a deficit, and then as often as the others.

        Checked over a long run, since a tenant may be a few slots behind at any moment.
        """
        source = random.Random(seed)
        passing = ServiceDeficits()
        asked = {"hot": 0, "calm": 0}
        served = {"hot": 0, "calm": 0}
        for step in range(LONG_RUN):
            tenant = "hot" if source.random() < hot_part / 13 else "calm"
            may_have = tenant == "calm" or passing.has_deficit(tenant)
            is_served = may_have and source.random() < rate / 12
            asked[tenant] += 1
            served[tenant] += is_served
            passing.note(tenant, 0.01 * step, is_served=is_served)
        all_part = sum(served.values()) / sum(asked.values())
        self.assertGreaterEqual(served["hot"] / asked["hot"], 0.25 * all_part)

    @EXAMPLES
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=80))
    def test_places_got_are_counted_for_each_tenant_alone(
        self, ends: list[tuple[str, bool]]
    ) -> None:
        """A tenant without a deficit has been served at the minimum rate, less one slot."""
        passing = ServiceDeficits()
        for step, (tenant, is_served) in enumerate(ends):
            passing.note(tenant, 0.01 * step, is_served=is_served)
        for tenant in "abc":
            own = [is_served for name, is_served in ends if name == tenant]
            if sum(own) >= MIN_SERVICE_RATIO * len(own):
                self.assertFalse(passing.has_deficit(tenant))
