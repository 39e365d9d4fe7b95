"""Attempts of nodes that go are kept by others, and told once their engines end."""

from __future__ import annotations

import unittest

from tests.property.test_attempt_orders import KEY, Node, attempt_at
from yokeline.effects import Address, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import AttemptsEntrusted
from yokeline.ledger.operations import EntrustedAttempt
from yokeline.losses.attempt_custody import AttemptCustody, entrusted_attempt
from yokeline.losses.attempt_entrusting import AttemptEntrusting
from yokeline.losses.left_attempts import LeftAttempt

EDGE = ReplicaId("edge-1~1")
TRUSTEE = PeerNode(ReplicaId("edge-2~1"), Address("10.0.0.2", 9))
SILENT_SECONDS = 1.0


def entrusted(number: int, now: float = 100.0) -> EntrustedAttempt:
    return entrusted_attempt(LeftAttempt(KEY, attempt_at(number, now)), now)


class Custody(unittest.TestCase):
    def setUp(self) -> None:
        self.custody = AttemptCustody()

    def taken(self, now: float, *heard: ReplicaId) -> list[str]:
        found = self.custody.take_gone(heard, SILENT_SECONDS, now)
        return [item.loss.loss_id for item in found]

    def test_attempts_of_a_node_that_is_heard_are_only_kept(self) -> None:
        self.custody.entrust(EDGE, [entrusted(0)], 100.0)
        self.assertEqual(self.taken(105.0, EDGE), [])
        self.assertEqual(self.taken(100.5), [])
        self.assertEqual(len(self.custody), 1)

    def test_attempts_of_a_node_that_has_gone_are_taken_once(self) -> None:
        self.custody.entrust(EDGE, [entrusted(0), entrusted(1)], 100.0)
        self.assertEqual(self.taken(101.5), ["0", "1"])
        self.assertEqual(self.taken(101.5), [])

    def test_the_latest_message_counts(self) -> None:
        self.custody.entrust(EDGE, [entrusted(0)], 100.0)
        self.custody.entrust(EDGE, [entrusted(1)], 100.3)
        self.assertEqual(self.taken(102.0), ["1"])
        self.custody.entrust(EDGE, [entrusted(1)], 103.0)
        self.custody.entrust(EDGE, [], 103.3)
        self.assertEqual(self.taken(106.0), [])

    def test_the_end_of_an_engine_counts_before_and_after_its_attempt_is_adopted(self) -> None:
        for is_first in (True, False):
            with self.subTest(end_is_first=is_first):
                node = Node()
                self.custody.entrust(EDGE, [entrusted(0)], 100.0)
                node.now = 101.5
                if is_first:
                    node.end(0)
                for item in self.custody.take_gone((), SILENT_SECONDS, node.now):
                    node.book.adopt(item.key, item.loss, node.now)
                if not is_first:
                    node.end(0)
                self.assertEqual(node.ended(), 1)


class Losses:
    """Attempts of a node, as the part that entrusts them sees them."""

    def __init__(self) -> None:
        self.silent: list[LeftAttempt] = []
        self.adopted: list[LeftAttempt] = []

    def silent_attempts(self, _now: float) -> list[LeftAttempt]:
        return self.silent

    def adopt(self, attempts: list[LeftAttempt], _now: float) -> list[object]:
        self.adopted.extend(attempts)
        return []


class Entrusting(unittest.TestCase):
    def setUp(self) -> None:
        self.losses = Losses()
        self.entrusting = AttemptEntrusting(self.losses)  # type: ignore[arg-type]
        self.entrusting.trustees = lambda _now: [TRUSTEE]
        self.entrusting.silent_seconds = lambda: SILENT_SECONDS

    def told(self, now: float) -> list[int]:
        """Return the numbers of attempts in the messages that are sent."""
        effects = self.entrusting.tick(now)
        return [len(item.message.attempts) for item in effects if isinstance(item, SendPeer)]  # type: ignore[union-attr]

    def test_nothing_is_sent_without_silent_attempts(self) -> None:
        self.assertEqual([self.told(100.0 + number) for number in range(3)], [[], [], []])

    def test_attempts_are_told_until_they_are_over_and_then_none(self) -> None:
        self.losses.silent = [LeftAttempt(KEY, attempt_at(0, 100.0))]
        self.assertEqual(self.told(100.0), [1])
        self.assertEqual(self.told(100.4), [], "the same ones")
        self.assertEqual(self.told(101.1), [1], "again, since a message may be lost")
        self.losses.silent.append(LeftAttempt(KEY, attempt_at(1, 101.2)))
        self.assertEqual(self.told(101.4), [2])
        self.losses.silent = []
        self.assertEqual(self.told(102.0), [0])
        self.assertEqual(self.told(103.0), [])

    def test_attempts_of_a_node_that_has_gone_are_adopted(self) -> None:
        self.entrusting.take(EDGE, AttemptsEntrusted(attempts=(entrusted(0),)), 100.0)
        self.entrusting.heard = lambda _now: {EDGE}
        self.told(101.0)
        self.assertEqual(self.losses.adopted, [])
        self.entrusting.heard = lambda _now: set()
        self.told(102.0)
        self.assertEqual([item.loss.loss_id for item in self.losses.adopted], ["0"])


if __name__ == "__main__":
    unittest.main()
