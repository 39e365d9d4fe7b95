"""Look-ups and corrections need neither the ledger nor the key-value service, nor their caller."""

from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from tests.unit.forwarding.test_edge_node import PlayedNode
from yokeline.effects import HttpFailed, HttpReply, HttpRequest


class CutOff(PlayedNode):
    """A node whose ledger and key-value service do not answer."""

    prefixes = ("",)

    def cut_off(self, seconds: float) -> None:
        """Let time pass while every call to the key-value service fails."""
        end = self.now + seconds
        while self.now < end:
            before = len(self.effects)
            self.wait(0.1)
            for _, effect in self.effects[before:]:
                if isinstance(effect, HttpRequest) and effect.path.split()[0] in ("list", "watch"):
                    self.hand(HttpFailed(request=effect.request, sent=True, reason="silent"))

    def test_a_look_up_is_sent_at_once(self) -> None:
        self.cut_off(3.0)
        sent = self.request("l1", "/look/x")
        self.assertEqual(len(sent), 1)
        self.assertEqual(dict(sent[0].header_items)["x-yokeline-request-id"], "l1")

    def test_a_look_up_whose_app_cannot_be_reached_either_is_sent_to_another_one(self) -> None:
        self.cut_off(3.0)
        first = self.request("l1", "/look/x")[0]
        again = self.hand(HttpFailed(request=first.request, sent=False, reason="no connection"))
        sent = [effect for effect in again if isinstance(effect, HttpRequest)]
        self.assertEqual(len(sent), 1)
        self.assertNotEqual(sent[0].address, first.address)

    def test_a_look_up_without_any_app_is_refused_soon_and_truly(self) -> None:
        """Refused while the caller has time left, and never sent afterwards."""
        self.cut_off(1.0)
        for state in list(self.played.engines.all()):
            self.played.engines.remove(state.engine.engine_id)
        before = len(self.effects)
        self.assertEqual(self.request("l1", "/look/x"), [])
        self.cut_off(0.3)
        replies = [effect for _, effect in self.effects[before:] if isinstance(effect, HttpReply)]
        self.assertEqual([reply.status for reply in replies], [503])
        self.assertIn("retry-after", replies[0].headers)


class CallersThatMove(unittest.TestCase):
    def test_a_correction_runs_once_to_its_end_when_its_caller_goes_to_another_zone(self) -> None:
        """The caller's connection closes; the correction is neither stopped nor sent again."""
        played = Played()
        played.leave(played.request("/fix/x", b"body"))
        played.wait(0.5)
        self.assertEqual((len(played.sent), played.cancelled), (1, []))
        played.engine_answers()
        played.wait(1.0)
        self.assertEqual(len(played.sent), 1)
        self.assertEqual(played.forwarder.under_way, 0)

    def test_a_correction_that_waits_is_not_sent_after_its_caller_has_left(self) -> None:
        """Its caller sends it again elsewhere, and it would run twice."""
        played = Played(engines_per_pool=0)
        played.leave(played.request("/fix/x", b"body"))
        played.engines.put(Played().engines.in_pool("apps", 0.0)[0].engine)
        played.wait(0.5)
        self.assertEqual(played.sent, [])
