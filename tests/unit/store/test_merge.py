"""Deletions that a node cannot know of are passed on as gaps, so that nobody keeps the object."""

from __future__ import annotations

import unittest

from yokeline.identifiers import ReplicaId
from yokeline.labels.objects import ObjectKind, StoredObject
from yokeline.messages.types import ConfigurationPull
from yokeline.store.merge import ConfigurationState
from yokeline.store.transfer import DeltaOutcome, DeltaReceiver


def tenant(name: str, revision: int) -> StoredObject:
    body = f'{{"name":"{name}"}}'
    return StoredObject(kind=ObjectKind.TENANT, name=name, revision=revision, body=body)


class GapTest(unittest.TestCase):
    def test_a_gap_travels_with_the_delta(self) -> None:
        lister, middle, holder = (ConfigurationState() for _ in range(3))
        for state in (lister, middle, holder):
            state.apply_changes([], 1)
        holder.apply_changes([tenant("gone", 6)], 7)
        lister.apply_listing([tenant("kept", 9)], 10)  # "gone" was deleted at 8
        middle.apply_delta(lister.delta_since(1))
        delta = middle.answer(ConfigurationPull(after=7))
        self.assertEqual(delta.after, 0)
        holder.apply_delta(delta)
        self.assertEqual([item.name for item in holder.view.tenants()], ["kept"])

    def test_a_delta_beyond_what_is_known_is_not_merged(self) -> None:
        sender, state = ConfigurationState(), ConfigurationState()
        sender.apply_changes([tenant("a", 5)], 5)
        sender.apply_changes([tenant("b", 6)], 6)
        receiver = DeltaReceiver(state)
        outcome = receiver.receive(ReplicaId("s"), sender.delta_since(5), 0.0)
        self.assertIs(outcome, DeltaOutcome.GAP)
        self.assertEqual(state.revision, 0)
        pull = receiver.pull_for(ReplicaId("s"))
        outcome = receiver.receive(ReplicaId("s"), sender.answer(pull), 0.0)
        self.assertIs(outcome, DeltaOutcome.MERGED)
        self.assertEqual(len(state.view.tenants()), 2)


if __name__ == "__main__":
    unittest.main()
