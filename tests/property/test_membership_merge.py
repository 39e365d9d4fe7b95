import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.membership.member_table import MemberTable
from yokeline.membership.view import Member, MemberState, merge_claims

ADDRESS = Address("10.0.0.1", 1)


def claims(replicas: list[str]) -> st.SearchStrategy[Member]:
    return st.builds(
        lambda replica, state, incarnation, wall: Member(
            replica=ReplicaId(replica),
            name=NodeName(replica.partition("~")[0]),
            zone="zone",
            region="region",
            address=ADDRESS,
            http_address=ADDRESS,
            state=state,
            incarnation=incarnation,
            started_wall=wall,
        ),
        st.sampled_from(replicas),
        st.sampled_from(MemberState),
        st.integers(0, 3),
        st.sampled_from([1.0, 2.0]),
    )


ONE = claims(["a~1"])
MANY = st.lists(claims(["a~1", "a~2", "a~3", "b~1"]), max_size=12)


def view(merged: list[Member]) -> list[Member]:
    table = MemberTable()
    for claim in merged:
        table.merge(claim, 0.0)
    return table.members()


class MergeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(ONE, ONE, ONE)
    def test_merge_is_a_semilattice(self, a: Member, b: Member, c: Member) -> None:
        self.assertEqual(merge_claims(a, a), a)
        self.assertEqual(merge_claims(a, b), merge_claims(b, a))
        left = merge_claims(merge_claims(a, b), c)
        self.assertEqual(left, merge_claims(a, merge_claims(b, c)))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(MANY, st.randoms(use_true_random=False))
    def test_order_and_repetition_of_claims_have_no_effect(self, merged, source) -> None:
        shuffled = merged + merged[: len(merged) // 2]
        source.shuffle(shuffled)
        self.assertEqual(view(merged), view(shuffled))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(MANY)
    def test_one_start_of_a_node_at_most_is_not_dead(self, merged) -> None:
        names = [m.name for m in view(merged) if m.state is not MemberState.DEAD]
        self.assertEqual(len(names), len(set(names)))

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(MANY)
    def test_changes_reported_are_the_changes_of_the_view(self, merged) -> None:
        table = MemberTable()
        seen: dict[ReplicaId, Member] = {}
        for claim in merged:
            seen.update({member.replica: member for member in table.merge(claim, 0.0)})
        self.assertEqual(sorted(seen.values(), key=lambda m: m.replica), table.members())
