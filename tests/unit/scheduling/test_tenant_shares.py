"""Tests of which tenants exceed their share of the slots."""

from __future__ import annotations

import math
import unittest

from yokeline.scheduling.service_deficits import MAX_DEFICIT, MAX_TENANTS, ServiceDeficits
from yokeline.scheduling.tenant_shares import MAX_BEYOND, Shares, TenantDemand, shares_of


def names(shares: Shares) -> list[str]:
    return [item.tenant for item in shares.beyond]


class Shared(unittest.TestCase):
    def test_enough_places_for_all_leave_nobody_beyond(self) -> None:
        demands = [TenantDemand("hot", 1.0, 50, 10), TenantDemand("calm", 1.0, 1, 2)]
        self.assertEqual(shares_of(demands, 63), Shares(math.inf))

    def test_what_others_do_not_ask_for_is_lent(self) -> None:
        """The hot tenant holds nearly all slots, and no other tenant waits."""
        demands = [TenantDemand("hot", 1.0, 58, 40), TenantDemand("calm", 1.0, 2, 0)]
        self.assertEqual(names(shares_of(demands, 60)), [])

    def test_who_holds_others_shares_is_beyond_its_own_once_they_wait(self) -> None:
        demands = [TenantDemand("hot", 1.0, 58, 40), TenantDemand("calm", 1.0, 2, 1)]
        shares = shares_of(demands, 60)
        self.assertEqual(names(shares), ["hot"])
        self.assertEqual(shares.level, 57.0)

    def test_who_waits_with_its_whole_share_holds_nobody_back(self) -> None:
        demands = [TenantDemand("a", 1.0, 35, 9), TenantDemand("b", 1.0, 30, 30)]
        self.assertEqual(names(shares_of(demands, 60)), [])

    def test_a_larger_weight_is_a_larger_share(self) -> None:
        demands = [TenantDemand("large", 3.0, 40, 40), TenantDemand("small", 1.0, 20, 40)]
        self.assertEqual(names(shares_of(demands, 60)), ["small"])

    def test_a_tenant_with_a_tiny_weight_may_hold_a_place(self) -> None:
        demands = [TenantDemand("tiny", 0.001, 1, 5), TenantDemand("large", 1000.0, 5, 40)]
        self.assertEqual(names(shares_of(demands, 10)), [])

    def test_a_part_of_a_place_is_no_excess(self) -> None:
        """At a share of 1.5 slots, a tenant that holds two slots does not exceed its share."""
        demands = [TenantDemand(f"t{number}", 1.0, 2, 0) for number in range(3)]
        demands += [TenantDemand(f"w{number}", 1.0, 1, 1) for number in range(3)]
        shares = shares_of(demands, 9)
        self.assertEqual((shares.level, names(shares)), (1.5, []))

    def test_those_with_the_largest_excess_are_named(self) -> None:
        demands = [TenantDemand(f"t{number}", 1.0, 10 + number, 0) for number in range(20)]
        demands.append(TenantDemand("waits", 1.0, 0, 50))
        expected = [f"t{number}" for number in range(19, 19 - MAX_BEYOND, -1)]
        self.assertEqual(names(shares_of(demands, 100)), expected)


class Bounds(unittest.TestCase):
    def test_who_is_passed_over_is_owed_a_place_in_the_end(self) -> None:
        passing = ServiceDeficits()
        for _ in range(50):
            passing.note("calm", 0.0, is_served=True)
        passed_over = 0
        while not passing.has_deficit("hot"):
            passing.note("hot", 0.0, is_served=False)
            passed_over += 1
        self.assertLessEqual(passed_over, 4)

    def test_a_place_that_was_got_is_owed_no_more(self) -> None:
        passing = ServiceDeficits()
        for _ in range(4):
            passing.note("hot", 0.0, is_served=False)
        self.assertTrue(passing.has_deficit("hot"))
        passing.note("hot", 0.0, is_served=True)
        self.assertFalse(passing.has_deficit("hot"))

    def test_places_owed_are_bounded(self) -> None:
        passing = ServiceDeficits()
        for _ in range(2000):
            passing.note("calm", 0.0, is_served=True)
            passing.note("hot", 0.0, is_served=False)
        for _ in range(int(1.5 * MAX_DEFICIT)):
            passing.note("hot", 0.0, is_served=True)
        self.assertFalse(passing.has_deficit("hot"))

    def test_where_nobody_is_served_nobody_is_owed_a_place(self) -> None:
        passing = ServiceDeficits()
        for _ in range(300):
            passing.note("calm", 0.0, is_served=False)
        for _ in range(8):
            passing.note("hot", 0.0, is_served=False)
        self.assertFalse(passing.has_deficit("hot"))

    def test_the_tenants_counted_are_bounded(self) -> None:
        passing = ServiceDeficits()
        for number in range(MAX_TENANTS + 5):
            passing.note(f"t{number}", 0.0, is_served=True)
        self.assertEqual(len(passing), MAX_TENANTS)
