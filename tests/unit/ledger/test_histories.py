"""Texts of retained turns served by replicas that do not lead."""

from __future__ import annotations

import unittest

from tests.unit.ledger.cluster import Cluster, Machine
from tests.unit.ledger.test_storage_nodes import StorageCase, turn
from yokeline.effects import Address, Effect, PeerMessage, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.history_fetches import (
    FETCH_SECONDS,
    NON_MEMBER_BACKOFF_SECONDS,
    SILENT_BACKOFF_SECONDS,
    HistoryFetches,
    NearReplica,
)
from yokeline.ledger.history_service import MISSING_TURN_WAIT_SECONDS
from yokeline.ledger.messages import HistoryAsk, HistoryReply
from yokeline.ledger.operations import KeptTurn

OWN = Address("10.0.9.9", 1)
READER = ReplicaId("reader~1")
KEPT = KeptTurn(turn_id="t", previous="", text=b"text", retention=60.0)


class HistoryFetching(unittest.TestCase):
    def setUp(self) -> None:
        self.fetches = HistoryFetches("edge", OWN)
        self.fetches.set_replicas(
            [
                NearReplica(ReplicaId(name), Address(f"10.0.0.{number}", 1), name == "near")
                for number, name in enumerate(("far", "leader", "near"))
            ]
        )
        self.got: list[tuple[KeptTurn, ...]] = []

    def fetch(self, now: float) -> SendPeer | None:
        def done(turns: tuple[KeptTurn, ...], at: float) -> list[Effect]:
            self.got.append(turns)
            return []

        effects = self.fetches.fetch("t", "", ReplicaId("leader"), done, now)
        if effects is None:
            return None
        (sent,) = effects
        assert isinstance(sent, SendPeer)
        return sent

    def answer(self, sent: SendPeer, now: float, *turns: KeptTurn, is_member: bool = True) -> None:
        assert isinstance(sent.message, HistoryAsk)
        reply = HistoryReply(number=sent.message.number, turns=turns, is_member=is_member)
        self.fetches.take_reply(reply, now)

    def test_a_replica_of_the_same_zone_is_preferred_and_the_leader_is_never_asked(self) -> None:
        first = self.fetch(0.0)
        assert first is not None
        self.assertEqual(first.to, "near")
        self.answer(first, 0.01, KEPT)
        self.assertEqual(self.got, [(KEPT,)])

    def test_non_members_and_silent_replicas_are_avoided_for_a_while(self) -> None:
        first = self.fetch(0.0)
        assert first is not None
        self.answer(first, 0.01, is_member=False)
        second = self.fetch(0.02)
        assert second is not None
        self.assertEqual(second.to, "far")
        self.fetches.tick(0.03 + FETCH_SECONDS)
        self.assertEqual(self.got, [(), ()])
        self.assertIsNone(self.fetch(0.2))
        third = self.fetch(0.03 + FETCH_SECONDS + SILENT_BACKOFF_SECONDS)
        assert third is not None
        self.assertEqual(third.to, "far")
        fourth = self.fetch(0.01 + NON_MEMBER_BACKOFF_SECONDS)
        assert fourth is not None
        self.assertEqual(fourth.to, "near")

    def test_a_member_that_lags_is_asked_again(self) -> None:
        for _ in range(2):
            sent = self.fetch(0.0)
            assert sent is not None
            self.assertEqual(sent.to, "near")
            self.answer(sent, 0.1)

    def test_a_late_answer_is_ignored(self) -> None:
        first = self.fetch(0.0)
        assert first is not None
        self.fetches.tick(FETCH_SECONDS)
        self.answer(first, 0.3, KEPT)
        self.assertEqual(self.got, [()])


class HistoryServing(StorageCase):
    def followers(self, cluster: Cluster) -> list[Machine]:
        leader = self.leader(cluster)
        return [machine for machine in cluster.machines if machine is not leader]

    def ask(self, cluster: Cluster, machine: Machine, last: str, known: str = "") -> None:
        message = HistoryAsk(number=1, asker=OWN, last=last, known=known)
        cluster.deliver_event(machine, PeerMessage(sender=READER, message=message))

    def texts(self, cluster: Cluster) -> list[list[bytes]]:
        return [[item.text for item in reply.turns] for reply in cluster.histories]

    def test_a_follower_serves_a_chain_after_a_known_turn(self) -> None:
        cluster = self.cluster()
        for name, previous in (("t1", ""), ("t2", "t1"), ("t3", "t2")):
            cluster.ask(turn(name, previous, name.encode()))
        cluster.run(0.2)
        follower = self.followers(cluster)[0]
        self.ask(cluster, follower, "t3")
        self.ask(cluster, follower, "t3", "t1")
        self.assertEqual(self.texts(cluster), [[b"t1", b"t2", b"t3"], [b"t2", b"t3"]])

    def test_a_follower_answers_when_a_missing_turn_arrives(self) -> None:
        cluster = self.cluster()
        follower = self.followers(cluster)[0]
        self.ask(cluster, follower, "t1")
        self.assertEqual(self.texts(cluster), [])
        cluster.ask(turn("t1"))
        cluster.run(MISSING_TURN_WAIT_SECONDS)
        self.assertEqual(self.texts(cluster), [[b"text"]])

    def test_a_turn_that_does_not_arrive_is_answered_as_missing(self) -> None:
        cluster = self.cluster()
        self.ask(cluster, self.followers(cluster)[0], "never")
        cluster.run(MISSING_TURN_WAIT_SECONDS + 0.05)
        self.assertEqual(self.texts(cluster), [[]])

    def test_a_non_member_answers_immediately(self) -> None:
        cluster = self.cluster(5)
        spare = cluster.add_machine()
        cluster.run(1.0)
        cluster.ask(turn("t1"))
        self.ask(cluster, spare, "t1")
        self.assertEqual(self.texts(cluster), [[]])
