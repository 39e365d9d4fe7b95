"""A node whose turns wait for an engine hears of places that fall free elsewhere.

Other nodes take and free the places, and the ledger's leader tells of them with its answers. A node
that asked for nothing else went on believing that all engines were full, and refused a turn while
places were free:

    engine_chosen load=4 (of 6 places; mean over all nodes in the same half second)
    request_ended outcome=refused reason=no_engine waited=0.05
"""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import STORAGE
from tests.unit.forwarding.test_edge_node import PlayedNode
from yokeline.effects import Effect, HttpArrived, HttpRequest, PeerMessage, SendPeer, Tick
from yokeline.identifiers import ExchangeId
from yokeline.ledger.client import ENGINES_SECONDS
from yokeline.ledger.messages import EngineTurns, LeaderAnswer, LedgerReply, LedgerRequest
from yokeline.ledger.operations import Granted

SLOTS = 4
FULL = tuple(EngineTurns(f"models-{number}", 2 * SLOTS, 0, 100) for number in range(2))
FREE = (EngineTurns("models-0", 2 * SLOTS, 0, 100), EngineTurns("models-1", 1, 0, 100))


def asks(effects: list[Effect]) -> list[LedgerRequest]:
    """Return the questions for news of engines alone."""
    messages = [effect.message for effect in effects if isinstance(effect, SendPeer)]
    return [
        item for item in messages if isinstance(item, LedgerRequest) and item.wants_engines is True
    ]


class EngineNews(PlayedNode):
    def setUp(self) -> None:
        super().setUp()
        self.hand(PeerMessage(sender=STORAGE.replica, message=LeaderAnswer(term=1, leader=STORAGE)))
        self.answer(self.asked("/versions/1"), Granted(), engines=())

    def answer(self, number: int, *results: Granted, engines: tuple[EngineTurns, ...]) -> list:
        reply = LedgerReply(number=number, results=results, leader=STORAGE, term=1, engines=engines)
        return self.hand(PeerMessage(sender=STORAGE.replica, message=reply))

    def begin_turn(self, engines: tuple[EngineTurns, ...]) -> list[Effect]:
        """Let a turn arrive whose reservation is granted with word of engines."""
        fields = {
            "host": "a.example",
            "x-yokeline-request-id": "turn",
            "x-yokeline-program-id": "p",
            "x-yokeline-session-id": "s",
            "x-yokeline-token-budget": "1000",
            "x-yokeline-token-usage": "100,50",
            "x-yokeline-deadline-ms": "3000",
        }
        event = HttpArrived(
            exchange=ExchangeId("turn"),
            method="POST",
            path="/turn/x",
            target="/turn/x",
            headers=fields,
            header_items=tuple(fields.items()),
        )
        self.hand(event)
        return self.answer(self.asked("turn"), Granted(spent=10), engines=engines)

    def asked(self, name: str) -> int:
        """Return the number of the operation whose id ends with a name."""
        return next(
            effect.message.number
            for _, effect in self.effects
            if isinstance(effect, SendPeer)
            and isinstance(effect.message, LedgerRequest)
            and effect.message.operations
            and effect.message.operations[0].request_id.endswith(name)
        )

    def test_a_turn_that_waits_is_sent_once_the_leader_tells_of_a_free_place(self) -> None:
        self.begin_turn(FULL)
        self.now += ENGINES_SECONDS
        question = asks(self.hand(Tick()))
        self.assertEqual([item.operations for item in question], [()])
        effects = self.answer(question[0].number, engines=FREE)
        self.assertTrue(any(isinstance(effect, HttpRequest) for effect in effects))

    def test_it_asks_no_more_often_than_places_fall_free(self) -> None:
        self.begin_turn(FULL)
        before = len(self.effects)
        for _ in range(10):
            self.now += ENGINES_SECONDS / 5
            self.hand(Tick())
        asked = asks([effect for _, effect in self.effects[before:]])
        self.assertIn(len(asked), (1, 2))

    def test_without_waiting_turns_nothing_is_asked(self) -> None:
        self.begin_turn(FREE)
        self.wait(0.3)
        self.assertEqual(asks([effect for _, effect in self.effects]), [])


if __name__ == "__main__":
    unittest.main()
