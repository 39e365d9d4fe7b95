"""The next membership change, chosen from the leader's view of the group."""

from __future__ import annotations

import unittest

from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId, node_name_of
from yokeline.ledger.members import (
    CATCH_UP_SILENCE_SECONDS,
    AddMember,
    GroupView,
    HandOver,
    JoinRequest,
    RemoveMember,
    next_step,
)

NOW = 100.0
MEMBERS = tuple(ReplicaId(f"{name}~1") for name in "abcde")
SPARE = ReplicaId("f~1")


def view(
    members: tuple[ReplicaId, ...] = MEMBERS,
    *,
    joins: tuple[ReplicaId, ...] = (),
    retiring: str = "",
    caught_up: frozenset[ReplicaId] | None = None,
    silence: dict[ReplicaId, float] | None = None,
    leads_for: float = 10.0,
) -> GroupView:
    requests = {
        node_name_of(replica): JoinRequest(replica, Address("10.0.0.1", 1), NOW - 0.1)
        for replica in joins
    }
    return GroupView(
        own=members[0],
        members=members,
        joins=requests,
        silence=silence or {},
        retiring=frozenset(NodeName(name) for name in retiring),
        lost=frozenset(),
        caught_up=frozenset(members) if caught_up is None else caught_up,
        leads_since=NOW - leads_for,
        has_read_orders=True,
        former=frozenset(),
    )


class Retiring(unittest.TestCase):
    def test_a_successor_joins_before_the_member_is_removed(self) -> None:
        step = next_step(view(retiring="b", joins=(SPARE,)), NOW)
        self.assertEqual(step, AddMember(SPARE))

    def test_the_member_stays_until_its_successor_has_caught_up(self) -> None:
        grown = (*MEMBERS, SPARE)
        step = next_step(view(grown, retiring="b", caught_up=frozenset(MEMBERS)), NOW)
        self.assertIsNone(step)

    def test_a_silent_successor_is_not_awaited(self) -> None:
        grown = (*MEMBERS, SPARE)
        silence = {SPARE: CATCH_UP_SILENCE_SECONDS + 0.1}
        behind = view(grown, retiring="b", caught_up=frozenset(MEMBERS), silence=silence)
        self.assertEqual(next_step(behind, NOW), RemoveMember(MEMBERS[1], "retiring"))

    def test_a_retiring_member_is_removed_before_others_join(self) -> None:
        grown = (*MEMBERS, SPARE)
        step = next_step(view(grown, retiring="b", joins=(ReplicaId("g~1"),)), NOW)
        self.assertEqual(step, RemoveMember(MEMBERS[1], "retiring"))

    def test_a_new_leader_waits_for_join_requests_of_standbys(self) -> None:
        self.assertIsNone(next_step(view(retiring="b", leads_for=1.0), NOW))

    def test_without_a_standby_the_member_is_removed_immediately(self) -> None:
        step = next_step(view(retiring="b"), NOW)
        self.assertEqual(step, RemoveMember(MEMBERS[1], "retiring"))

    def test_a_retiring_leader_waits_for_its_successor_and_transfers_leadership(self) -> None:
        self.assertEqual(next_step(view(retiring="a", joins=(SPARE,)), NOW), AddMember(SPARE))
        grown = (*MEMBERS, SPARE)
        self.assertEqual(next_step(view(grown, retiring="a"), NOW), HandOver(MEMBERS[1]))

    def test_two_retiring_members_get_a_successor_each(self) -> None:
        grown = (*MEMBERS, SPARE)
        other = ReplicaId("g~1")
        step = next_step(view(grown, retiring="bc", joins=(other,)), NOW)
        self.assertEqual(step, AddMember(other))

    def test_a_full_group_admits_no_candidate(self) -> None:
        self.assertIsNone(next_step(view(joins=(SPARE,)), NOW))


if __name__ == "__main__":
    unittest.main()
