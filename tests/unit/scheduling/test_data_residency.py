"""Which regions may serve a request, and which engines its restriction leaves."""

from __future__ import annotations

import unittest

from yokeline.scheduling.data_residency import RegionRestriction, allowed_regions, both
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility


class AllowedRegions(unittest.TestCase):
    def test_without_lists_every_region_is_allowed(self) -> None:
        self.assertIsNone(allowed_regions((), ()))

    def test_a_single_list_restricts_alone(self) -> None:
        self.assertEqual(allowed_regions(("east",), ()), frozenset({"east"}))
        self.assertEqual(allowed_regions((), ("west",)), frozenset({"west"}))

    def test_both_lists_restrict(self) -> None:
        """Guards against the list of the tenant replacing that of the route, or the reverse."""
        self.assertEqual(allowed_regions(("a", "b"), ("b", "c")), frozenset({"b"}))

    def test_lists_without_a_common_region_allow_none(self) -> None:
        """Guards against an empty intersection being read as an absent restriction."""
        self.assertEqual(allowed_regions(("a",), ("b",)), frozenset())

    def test_a_combination_with_no_restriction_keeps_the_other(self) -> None:
        self.assertIsNone(both(None, None))
        self.assertEqual(both(None, frozenset()), frozenset())
        self.assertEqual(both(frozenset({"a"}), None), frozenset({"a"}))
        self.assertEqual(both(frozenset({"a"}), frozenset({"b"})), frozenset())


class Engines(unittest.TestCase):
    def setUp(self) -> None:
        self.restriction = RegionRestriction({"a1": "a", "b1": "b", "unset": ""})

    def check(self, zone: str, regions: frozenset[str] | None) -> Ineligibility | None:
        query = EngineQuery(engine_id="e", zone=zone, allowed_regions=regions)
        return self.restriction.check(query, 0.0)

    def test_an_unrestricted_request_may_go_anywhere(self) -> None:
        self.assertIsNone(self.check("b1", None))
        self.assertIsNone(self.check("unknown", None))

    def test_a_restricted_request_stays_in_its_regions(self) -> None:
        self.assertIsNone(self.check("a1", frozenset({"a"})))
        cause = Ineligibility.REGION_NOT_ALLOWED
        self.assertIs(self.check("b1", frozenset({"a"})), cause)
        self.assertIs(self.check("a1", frozenset()), cause)

    def test_a_zone_without_a_known_region_is_outside_of_all_regions(self) -> None:
        """Guards against an empty region name in a list or in the settings allowing it."""
        for zone in ("unknown", "unset"):
            for regions in (frozenset({"a"}), frozenset({"a", ""})):
                self.assertIs(self.check(zone, regions), Ineligibility.REGION_NOT_ALLOWED)

    def test_it_is_inactive_until_a_configuration_restricts(self) -> None:
        self.assertFalse(self.restriction.is_active)

    def test_it_takes_no_capacity_from_other_requests(self) -> None:
        self.assertEqual(self.restriction.usable_slots("e", "b1", 4.0, 0.1, 0.0), 4.0)
        self.assertIsNone(self.restriction.next_change(0.0))
