from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.forwarding.model import PromptPart
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.ledger.operations import CachedContext, Granted, Reserve


class LinesOfTurns(unittest.TestCase):
    def test_a_turn_goes_where_its_line_was_read_though_another_node_sent_it_there(self) -> None:
        for engine_id in ("models-0", "models-1"):
            played = Played()
            played.turn(token_usage="20000,50", session_id="s")
            context = CachedContext(engine_id=engine_id, tokens=19_000)
            played.ledger_answers(Granted(spent=40, context=context))
            self.assertEqual(played.engine_of(), engine_id)

    def test_the_ledger_is_asked_for_the_line_of_turns(self) -> None:
        played = Played()
        played.turn(session_id="s")
        reserve = played.operations()[0]
        assert isinstance(reserve, Reserve)
        self.assertEqual(reserve.session, "s")

    def test_a_turn_that_broke_off_leaves_no_context(self) -> None:
        played = Played()
        played.turn("/once/x")
        played.ledger_answers(Granted())
        played.engine_begins()
        played.engine_sends(1)
        played.engine_breaks()
        settle = played.operations()[-1]
        self.assertIsNone(getattr(settle, "context", None))

    def test_a_line_leaves_an_engine_whose_places_are_all_taken(self) -> None:
        played = Played(slots=4)
        state = played.engines.get("models-0")
        assert state is not None
        state.running_elsewhere = 20
        played.turn(token_usage="20000,50", session_id="s")
        context = CachedContext(engine_id="models-0", tokens=19_000)
        played.ledger_answers(Granted(spent=40, context=context))
        self.assertEqual(played.engine_of(), "models-1")


class FailingEngines(unittest.TestCase):
    def test_an_engine_that_answers_with_failures_is_avoided_and_tried_again_later(self) -> None:
        """Its own word that it is healthy counts for nothing."""
        played = Played()
        for _ in range(6):
            played.request("/fix/x")
            played.engine_answers(status=500 if played.engine_of() == "apps-0" else 200)
        chosen = []
        for _ in range(6):
            played.request("/fix/x")
            chosen.append(played.engine_of())
            played.engine_answers()
        self.assertEqual(set(chosen), {"apps-1"})
        state = played.engines.get("apps-0")
        assert state is not None
        self.assertGreater(state.failure_rate(played.now), 0.1)
        self.assertLess(state.failure_rate(played.now + 20.0), 0.01)


class GrowingParts(unittest.TestCase):
    def test_only_what_was_read_of_a_part_that_grew_is_believed_to_be_cached(self) -> None:
        beliefs = PrefixCacheIndex()
        beliefs.record_prompt("e", (PromptPart("shared", 100), PromptPart("line", 10)), 1000)
        longer = (PromptPart("shared", 100), PromptPart("line", 50), PromptPart("child", 5))
        self.assertEqual(beliefs.cached_tokens("e", longer), 110)
