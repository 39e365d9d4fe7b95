"""The order and the combination of restrictions on the engines that a request may be sent to."""

from __future__ import annotations

import unittest

from tests.unit.scheduling.fake_restriction import FakeRestriction
from yokeline.scheduling.eligibility import EligibilityPolicy, EngineQuery, Ineligibility

QUERY = EngineQuery(engine_id="e", zone="a")


class Policies(unittest.TestCase):
    def test_the_first_restriction_that_applies_is_the_cause(self) -> None:
        policy = EligibilityPolicy(
            (
                FakeRestriction(None),
                FakeRestriction(Ineligibility.ZONE_EVACUATED),
                FakeRestriction(Ineligibility.COLD_RATE),
            )
        )
        self.assertIs(policy.check(QUERY, 0.0), Ineligibility.ZONE_EVACUATED)

    def test_an_inactive_restriction_is_not_asked(self) -> None:
        inactive = FakeRestriction(Ineligibility.COLD_RATE, is_active=False)
        policy = EligibilityPolicy((inactive,))
        self.assertFalse(policy.is_active)
        self.assertIsNone(policy.check(QUERY, 0.0))
        policy.record_send("e", 0.0)
        self.assertEqual(inactive.sends, [])
        self.assertEqual(policy.usable_slots("e", "a", 4, 0.1, 0.0), 4)

    def test_capacity_is_what_all_restrictions_leave(self) -> None:
        policy = EligibilityPolicy(
            (FakeRestriction(slots_share=0.5), FakeRestriction(slots_share=0.5))
        )
        self.assertEqual(policy.usable_slots("e", "a", 8, 0.1, 0.0), 2)

    def test_the_queue_is_woken_at_the_earliest_change(self) -> None:
        policy = EligibilityPolicy(
            (
                FakeRestriction(changes_at=None),
                FakeRestriction(changes_at=3.0),
                FakeRestriction(changes_at=2.0),
            )
        )
        self.assertEqual(policy.next_change(1.0), 2.0)
        self.assertIsNone(EligibilityPolicy().next_change(1.0))
