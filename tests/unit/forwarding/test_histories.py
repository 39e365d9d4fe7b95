"""A turn whose earlier turns come from a replica, from the leader, or from nowhere."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import STORAGE, Played
from yokeline.effects import Address
from yokeline.forwarding.http_statuses import UNAVAILABLE
from yokeline.identifiers import ReplicaId
from yokeline.ledger.history_fetches import FETCH_SECONDS, NearReplica
from yokeline.ledger.messages import HistoryAsk, HistoryReply, LeaderAnswer
from yokeline.ledger.operations import Granted, KeptTurn, Reserve

FOLLOWER = NearReplica(ReplicaId("follower~1"), Address("10.0.0.8", 1), True)
T1 = KeptTurn(turn_id="t1", previous="", text=b"one\n", retention=60.0)
T2 = KeptTurn(turn_id="t2", previous="t1", text=b"two\n", retention=60.0)


class Histories(unittest.TestCase):
    def setUp(self) -> None:
        self.played = Played()
        known = LeaderAnswer(term=1, leader=STORAGE)
        self.played.ledger.take_leader(STORAGE.replica, known, self.played.now)
        leader = NearReplica(STORAGE.replica, STORAGE.address, True)
        self.played.histories.set_replicas([leader, FOLLOWER])
        self.played.turn("/kept/x", b"new", previous_turn="t2", session_id="s")
        self.ask = self.played.peers[-1]

    def replica_answers(self, *turns: KeptTurn) -> None:
        assert isinstance(self.ask.message, HistoryAsk)
        reply = HistoryReply(number=self.ask.message.number, turns=turns)
        self.played.take(self.played.histories.take_reply(reply, self.played.now))

    def missing_from(self) -> list[str]:
        return [item.missing_from for item in self.played.operations() if isinstance(item, Reserve)]

    def test_the_replica_is_asked_for_the_texts_and_the_leader_for_none(self) -> None:
        self.assertEqual(self.ask.to, FOLLOWER.replica)
        self.assertEqual(self.missing_from(), [""])

    def test_texts_may_come_before_or_after_the_grant(self) -> None:
        for texts_first in (True, False):
            self.setUp()
            if texts_first:
                self.replica_answers(T1, T2)
            self.assertEqual(self.played.sent, [])
            self.played.ledger_answers(Granted(spent=10))
            if not texts_first:
                self.assertEqual(self.played.sent, [])
                self.replica_answers(T1, T2)
            self.assertEqual([item.body for item in self.played.sent], [b"one\ntwo\nnew"])
            self.assertEqual(self.missing_from(), [""])

    def test_without_help_the_leader_sends_the_texts_with_the_same_reservation(self) -> None:
        for grant_first in (True, False):
            self.setUp()
            if grant_first:
                self.played.ledger_answers(Granted(spent=10))
                self.played.wait(FETCH_SECONDS + 0.02)
            else:
                self.replica_answers()
                self.played.ledger_answers(Granted(spent=10))
            self.assertEqual(self.missing_from(), ["", "t2"])
            asked = [item.request_id for item in self.played.operations()]
            self.assertEqual(len(set(asked)), 1, "it is the same reservation")
            self.played.ledger_answers(Granted(spent=10, turns=(T1, T2)))
            self.assertEqual([item.body for item in self.played.sent], [b"one\ntwo\nnew"])

    def test_texts_that_nobody_has_end_in_a_refusal_that_is_settled(self) -> None:
        self.replica_answers()
        self.played.ledger_answers(Granted(spent=10))
        self.played.ledger_answers(Granted(spent=10))
        self.assertEqual([reply.status for reply in self.played.replies], [UNAVAILABLE])
        self.assertEqual(self.played.refusal()["error"], "history_incomplete")
        self.assertEqual(self.played.sent, [])
        self.assertNotIsInstance(self.played.operations()[-1], Reserve)

    def test_a_caller_that_leaves_before_the_texts_come_has_its_reservation_released(self) -> None:
        self.played.ledger_answers(Granted(spent=10))
        self.played.leave("id1")
        self.assertNotIsInstance(self.played.operations()[-1], Reserve)
        self.replica_answers(T1, T2)
        self.assertEqual(self.played.sent, [])

    def test_what_a_line_has_here_is_not_fetched_again(self) -> None:
        self.replica_answers(T1, T2)
        self.played.ledger_answers(Granted(spent=10))
        self.played.turn("/kept/x", b"more", previous_turn="t4", session_id="s")
        asked = [item.message for item in self.played.peers]
        self.assertEqual(
            [(item.last, item.known) for item in asked if isinstance(item, HistoryAsk)],
            [("t2", ""), ("t4", "t2")],
        )
