from __future__ import annotations

import unittest

from yokeline.identifiers import ReplicaId
from yokeline.ledger.leadership import MAX_FORMER_MEMBERS, LeadershipTracker

A, B, C = ReplicaId("a"), ReplicaId("b"), ReplicaId("c")


class LeadershipTracking(unittest.TestCase):
    def test_leadership_restarts_with_each_term(self) -> None:
        tenure = LeadershipTracker()
        tenure.observe(is_leader=True, term=2, members=(A, B), now=10.0)
        tenure.observe(is_leader=True, term=2, members=(A, B), now=11.0)
        self.assertEqual(tenure.since, 10.0)
        tenure.observe(is_leader=True, term=3, members=(A, B), now=12.0)
        self.assertEqual(tenure.since, 12.0)
        tenure.observe(is_leader=False, term=4, members=(A, B), now=13.0)
        self.assertEqual(tenure.since, float("inf"))
        tenure.observe(is_leader=True, term=4, members=(A, B), now=14.0)
        self.assertEqual(tenure.since, 14.0)

    def test_a_former_member_is_remembered_until_it_rejoins(self) -> None:
        tenure = LeadershipTracker()
        tenure.observe(is_leader=False, term=1, members=(A, B, C), now=1.0)
        tenure.observe(is_leader=False, term=1, members=(A, C), now=2.0)
        self.assertEqual(tenure.former_members, {B})
        tenure.observe(is_leader=False, term=1, members=(A, B, C), now=3.0)
        self.assertEqual(tenure.former_members, set())

    def test_former_members_are_bounded(self) -> None:
        tenure = LeadershipTracker()
        for number in range(2 * MAX_FORMER_MEMBERS):
            replica = ReplicaId(f"r{number}")
            tenure.observe(is_leader=True, term=1, members=(A, replica), now=float(number))
        self.assertEqual(len(tenure.former_members), MAX_FORMER_MEMBERS)
