"""Nodes that learn the configuration in any order, repeated and late, agree and never go back.

A history of writes and real deletions is made; nodes learn of it from the store (listings and
changes) and from each other (deltas, whole or in parts, lost, repeated, reordered). After each
step each node's view must be exactly the configuration at its revision.
"""

from __future__ import annotations

import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.identifiers import ReplicaId
from yokeline.labels.objects import ObjectKind, StoredObject
from yokeline.messages.types import ConfigurationDelta, ConfigurationPull
from yokeline.store import merge
from yokeline.store.merge import ConfigurationState
from yokeline.store.transfer import TRANSFER_TIMEOUT_SECONDS, DeltaReceiver

NODES = 3
NAMES = ("a", "b", "c", "d")
STEPS = 150
WEIGHTS = {
    "write": 6,
    "write_two": 2,
    "delete": 5,
    "foreign": 2,
    "list": 1,
    "watch": 4,
    "own": 3,
    "push": 2,
    "pull": 12,
    "deliver": 14,
}


class World:
    """The store's history, the nodes and the deltas under way."""

    def __init__(self, part_bytes: int, max_tombstones: int) -> None:
        self.revision = 1
        self.changes: list[StoredObject] = []
        self.states = [ConfigurationState(max_tombstones, part_bytes) for _ in range(NODES)]
        self.receivers = [DeltaReceiver(state) for state in self.states]
        self.under_way: list[tuple[int, int, ConfigurationDelta]] = []
        self.seen = [0] * NODES
        self.now = 0.0

    def at(self, revision: int) -> dict[str, int]:
        """Return the live objects (name to revision) of the store at a revision."""
        live: dict[str, int] = {}
        for change in self.changes:
            if change.revision <= revision:
                live.pop(change.name, None)
                if not change.deleted:
                    live[change.name] = change.revision
        return live

    def change(self, *names: str, body: bool = True) -> None:
        self.revision += 1
        for name in names:
            self._record(name, f'{{"name":"{name}"}}' if body else "")

    def _record(self, name: str, body: str) -> None:
        self.changes.append(
            StoredObject(kind=ObjectKind.TENANT, name=name, revision=self.revision, body=body)
        )

    def step(self, action: str, one: int, two: int, number: int) -> None:
        name = NAMES[number % len(NAMES)]
        state = self.states[one]
        if action == "write":
            self.change(name)
        elif action == "write_two":
            self.change(name, NAMES[(number + 1) % len(NAMES)])
        elif action == "delete" and name in self.at(self.revision):
            self.change(name, body=False)
        elif action == "foreign":
            self.revision += 1
        elif action == "list":
            live = self.at(self.revision)
            found = [c for c in self.changes if live.get(c.name) == c.revision]
            state.apply_listing(found, self.revision)
        elif action == "watch":
            upto = min(self.revision, state.revision + number)
            if state.revision:
                news = [c for c in self.changes if state.revision < c.revision <= upto]
                state.apply_changes(news, upto)
        elif action == "own" and self.changes and state.revision:
            state.apply_written(self.changes[-1])
        elif action == "pull" and one != two:
            self.pull(one, two, self.receivers[one].pull_for(ReplicaId(str(two))))
        elif action == "push" and one != two:
            delta = state.delta_since(max(0, state.revision - number))
            self.under_way.append((one, two, delta))
        elif action == "deliver" and self.under_way:
            self.deliver(number % len(self.under_way), keep=number % 2 == 0)

    def pull(self, asker: int, source: int, pull: ConfigurationPull) -> None:
        self.under_way.append((source, asker, self.states[source].answer(pull)))

    def deliver(self, position: int, *, keep: bool) -> None:
        source, to, delta = self.under_way[position]
        if not keep:
            del self.under_way[position]
        self.receivers[to].receive(ReplicaId(str(source)), delta, self.now)

    def check(self, test: unittest.TestCase) -> None:
        for number, state in enumerate(self.states):
            test.assertGreaterEqual(state.revision, self.seen[number])
            self.seen[number] = state.revision
            held = {o.name: o.revision for o in state.view.listed(ObjectKind.TENANT)}
            ahead = {o.name for o in state.view.stored_objects() if o.revision > state.revision}
            expected = self.at(state.revision)
            for name in NAMES:
                if name not in ahead:
                    test.assertEqual(held.get(name), expected.get(name), (number, name))


class MergeProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        st.integers(0, 2**64 - 1),
        st.sampled_from([1, 400, 1_000_000]),
        st.sampled_from([1, 100]),
        st.sampled_from([1, 64]),
    )
    def test_a_view_is_the_configuration_at_its_revision_whatever_happens(
        self, seed: int, part_bytes: int, max_tombstones: int, max_gaps: int
    ) -> None:
        with mock.patch.object(merge, "MAX_GAPS", max_gaps):
            self.play(seed, World(part_bytes, max_tombstones))

    def play(self, seed: int, world: World) -> None:
        source = random.Random(seed)
        actions = list(WEIGHTS)
        for action in source.choices(actions, WEIGHTS.values(), k=STEPS):
            one, two = source.randrange(NODES), source.randrange(NODES)
            world.step(action, one, two, source.randrange(12))
            world.check(self)
        self.settle(world)
        for state in world.states:
            self.assertEqual(state.revision, world.states[0].revision)
        world.check(self)

    def settle(self, world: World) -> None:
        """Let one node read the store and the others pull from it until they have it all."""
        world.now += 2 * TRANSFER_TIMEOUT_SECONDS
        world.step("list", 0, 0, 0)
        for asker in range(1, NODES):
            for _ in range(40):
                if world.states[asker].revision >= world.states[0].revision:
                    break
                pull = world.receivers[asker].pull_for(ReplicaId("0"))
                world.pull(asker, 0, pull)
                world.deliver(len(world.under_way) - 1, keep=False)


if __name__ == "__main__":
    unittest.main()
