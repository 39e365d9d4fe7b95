from __future__ import annotations

import unittest

from yokeline.identifiers import ReplicaId, ShardId
from yokeline.shards.placement import CandidateNode
from yokeline.shards.repair import (
    AddMember,
    GroupCondition,
    MemberCondition,
    RemoveMember,
    RepairStep,
    next_step,
)

HEALTHY = MemberCondition.HEALTHY
LEAVING = MemberCondition.LEAVING
DEAD = MemberCondition.DEAD
DOUBTFUL = MemberCondition.DOUBTFUL


def step(
    members: dict[str, MemberCondition],
    spares: dict[str, str] | None = None,
    zones: dict[str, str] | None = None,
    replicas: int = 5,
) -> RepairStep | None:
    return next_step(
        GroupCondition(
            shard=ShardId(0),
            leader=ReplicaId("a"),
            members={ReplicaId(name): condition for name, condition in members.items()},
            zones={ReplicaId(name): zone for name, zone in (zones or {}).items()},
            spares=tuple(
                CandidateNode(replica=ReplicaId(name), zone=zone)
                for name, zone in (spares or {}).items()
            ),
            loads={},
            replicas=replicas,
        )
    )


def group(**other: MemberCondition) -> dict[str, MemberCondition]:
    return {**dict.fromkeys("abcde", HEALTHY), **other}


class RepairTest(unittest.TestCase):
    def test_order_of_the_steps(self) -> None:
        spare = {"s": "zone"}
        cases = {
            "healthy": (group(), {}, None),
            "one dead of five: a replacement is added first": (
                group(c=DEAD),
                spare,
                AddMember("s"),
            ),
            "one dead of six: the dead member is removed": (
                {**group(c=DEAD), "s": HEALTHY},
                {},
                RemoveMember("c"),
            ),
            "one dead of five without a spare: no change": (group(c=DEAD), {}, None),
            "one dead of four: the dead member is removed first": (
                {"a": HEALTHY, "b": HEALTHY, "c": DEAD, "d": HEALTHY},
                spare,
                RemoveMember("c"),
            ),
            "two dead: one is removed before a replacement is added": (
                group(c=DEAD, d=DEAD),
                spare,
                RemoveMember("c"),
            ),
            "two dead without a spare: one is removed": (
                group(c=DEAD, d=DEAD),
                {},
                RemoveMember("c"),
            ),
            "one doubtful: no change": (group(c=DOUBTFUL), spare, None),
            "one leaving: a replacement is added first": (
                group(c=LEAVING),
                spare,
                AddMember("s"),
            ),
            "one leaving and its replacement added: it is removed": (
                {**group(c=LEAVING), "s": HEALTHY},
                {},
                RemoveMember("c"),
            ),
            "one leaving without a spare: it is removed": (group(c=LEAVING), {}, RemoveMember("c")),
            "leader leaving: it does not remove itself": (group(a=LEAVING), {}, None),
        }
        for name, (members, spares, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(step(members, spares), expected)

    def test_missing_member_is_added_and_a_surplus_one_removed(self) -> None:
        three = dict.fromkeys("abc", HEALTHY)
        self.assertEqual(step(three, {"s": "zone"}), AddMember("s"))
        crowded = dict.fromkeys("abcdef", "zone-1") | {"b": "zone-2", "c": "zone-2"}
        surplus = step({**group(), "f": HEALTHY}, zones=crowded)
        self.assertIsInstance(surplus, RemoveMember)
        self.assertIn(surplus.member, {"d", "e", "f"})

    def test_members_return_to_a_zone_that_has_recovered(self) -> None:
        zones = dict(zip("abcde", ("z1", "z1", "z1", "z2", "z2"), strict=True))
        self.assertEqual(step(group(), {"s": "z3", "t": "z2"}, zones), AddMember("s"))
        even = dict(zip("abcde", ("z1", "z1", "z2", "z2", "z3"), strict=True))
        self.assertIsNone(step(group(), {"s": "z3", "t": "z2"}, even))


if __name__ == "__main__":
    unittest.main()
