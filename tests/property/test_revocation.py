"""No node relies on a key later than the bound after the key was taken away.

Nodes, the service and the ways between them are played on a virtual clock: answers come late, in
any order, twice or never, nodes stand still and wake, and the service refuses some of them.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.effects import Address, Effect, HttpRequest, HttpResponse, SendPeer
from yokeline.forwarding.configuration_lease import ConfigurationLease, LeaseState
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import ConfigurationAsk, ConfigurationProof
from yokeline.registry.protocol import FoundItem, RegistryAnswer, StoredItem

BOUND = 5.0
STEP = 0.05
SECONDS = 30.0
NODES = 4
KEY = "configuration"


class _Store:
    """Calls whose answer is the item at the moment at which they arrive."""

    def __init__(self) -> None:
        self.revision = 1
        self.answers: dict[RequestId, RegistryAnswer] = {}

    def read_call(self, request: RequestId, key: str) -> HttpRequest:
        return HttpRequest(request=request, address=Address("s", 1), method="GET", path=key)

    def read_answer(self, response: HttpResponse) -> RegistryAnswer:
        return self.answers.pop(response.request)


class _Node:
    def __init__(self, number: int, now: float, known: int) -> None:
        self.name = ReplicaId(f"n{number}")
        self.store = _Store()
        self.address = Address("10.0.0.1", number)
        self.freshness = ConfigurationLease(
            self.store,  # type: ignore[arg-type] - it reads one item and nothing else
            KEY,
            self.address,
            BOUND,
            now,
        )
        self.asleep_until = 0.0
        self.refused_until = 0.0
        self.take_over(known)

    def take_over(self, revision: int) -> None:
        self.known = revision
        item = StoredItem(KEY, str(revision).encode(), revision)
        self.freshness.set_configuration(item, has_keys=True)


class _World:
    """Events by time; what is sent arrives after a delay of its own, or not at all."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.revision = 1
        self.changed_at = {1: 0.0}
        self.events: list[tuple[float, Callable[[], None]]] = []
        self.nodes = [_Node(number, 0.0, 1) for number in range(NODES)]

    def later(self, action: Callable[[], None]) -> None:
        if self.random.random() < 0.2:
            return
        delay = self.random.choice((0.003, 0.1, 1.5, 4.0, 9.0))
        self.events.append((self.now + delay, action))

    def carry_out(self, node: _Node, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, HttpRequest):
                self.read(node, effect.request)
            elif isinstance(effect, SendPeer):
                self.send(node, effect)

    def read(self, node: _Node, request: RequestId) -> None:
        if self.now < node.refused_until:
            return

        def at_service() -> None:
            found = FoundItem(StoredItem(KEY, b"", self.revision))
            self.later(lambda: self.awake(node, lambda: self.answered(node, request, found)))

        self.later(at_service)

    def answered(self, node: _Node, request: RequestId, found: FoundItem) -> None:
        response = HttpResponse(request=request, status=200)
        if node.freshness.owns(response):
            node.store.answers[request] = found
            self.adopt(node, node.freshness.handle_read(response))

    def send(self, node: _Node, effect: SendPeer) -> None:
        receiver = next(item for item in self.nodes if item.name == effect.to)
        message = effect.message

        def arrive() -> None:
            if isinstance(message, ConfigurationAsk):
                answers = receiver.freshness.answer_query(node.name, message, self.now)
                self.carry_out(receiver, answers)
            elif isinstance(message, ConfigurationProof):
                self.adopt(receiver, receiver.freshness.handle_proof(message))

        for _ in range(self.random.choice((1, 1, 2))):
            self.later(lambda: self.awake(receiver, arrive))

    def awake(self, node: _Node, action: Callable[[], None]) -> None:
        """Do something at a node once it does not stand still."""
        if self.now < node.asleep_until:
            self.events.append((node.asleep_until, lambda: self.awake(node, action)))
        else:
            action()

    def adopt(self, node: _Node, item: StoredItem | None) -> None:
        if item is not None:
            node.take_over(item.revision)

    def step(self) -> None:
        self.now += STEP
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        for _, action in sorted(due, key=lambda event: event[0]):
            action()
        if self.random.random() < 0.01:
            self.revision += 1
            self.changed_at[self.revision] = self.now
        for number, node in enumerate(self.nodes):
            if self.random.random() < 0.004:
                node.asleep_until = self.now + self.random.choice((0.5, 3.0, 8.0))
            if self.random.random() < 0.004:
                node.refused_until = self.now + self.random.choice((2.0, 6.0))
            if self.now >= node.asleep_until:
                others = [PeerNode(item.name, item.address) for item in self.nodes if item != node]
                effects = node.freshness.tick(
                    self.now, is_reader=number == 0, is_watcher=number < 2, peers=others
                )
                self.carry_out(node, effects)

    def broken(self) -> list[str]:
        """Return the nodes that rely on a configuration whose successor is older than the bound."""
        found = []
        for node in self.nodes:
            is_current = node.freshness.state(self.now) is LeaseState.VALID
            successor = self.changed_at.get(node.known + 1)
            if is_current and successor is not None and self.now - successor > BOUND:
                found.append(f"{node.name} at {self.now:.2f} relies on {node.known}")
        return found


class Revocation(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**32))
    def test_no_node_relies_on_a_key_beyond_the_bound(self, seed: int) -> None:
        self.assertEqual(self.play(seed), [])

    def test_nodes_that_are_left_alone_stay_current(self) -> None:
        world = _World(1)
        world.random = random.Random(1)
        world.later = lambda action: world.events.append(  # type: ignore[method-assign]
            (world.now + 0.003, action)
        )
        world.random.random = lambda: 0.9  # type: ignore[method-assign]
        for _ in range(int(SECONDS / STEP)):
            world.step()
            if world.now > 1.0:
                states = {node.freshness.state(world.now) for node in world.nodes}
                self.assertEqual(states, {LeaseState.VALID})

    def play(self, seed: int) -> list[str]:
        world = _World(seed)
        for _ in range(int(SECONDS / STEP)):
            world.step()
            broken = world.broken()
            if broken:
                return broken
        return []
