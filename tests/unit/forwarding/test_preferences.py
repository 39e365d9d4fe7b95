from __future__ import annotations

import unittest

from tests.unit.forwarding.support import Played
from yokeline.effects import Address
from yokeline.forwarding.engine_choice import ChoiceInputs, choose_engine
from yokeline.forwarding.engines import IDLE_CONNECTION_TTL_SECONDS, EngineTable
from yokeline.forwarding.model import Call, Engine
from yokeline.forwarding.prefix_cache import PrefixCacheIndex
from yokeline.scheduling.engine_subsets import MIN_ENGINES, ZoneMember

ENGINES = 12
NODES = 30


def book(node: str) -> EngineTable:
    engines = EngineTable(node)
    for number in range(ENGINES):
        address = Address(f"10.1.0.{number}", 80)
        engine = Engine(engine_id=f"e{number:02}", pool="apps", address=address, zone="a", slots=6)
        engines.put(engine)
    return engines


def chosen(engines: EngineTable) -> str:
    inputs = ChoiceInputs(call=Call(request_id="r", deadline=1.0), traits=None, zone="a")
    choice = choose_engine(engines.in_pool("apps", 0.0), PrefixCacheIndex(), inputs, 0.0)
    assert choice is not None
    return choice.state.engine.engine_id


def shared_book() -> EngineTable:
    """Return the engines as a node knows them that shares them with others."""
    engines = book("edge-0")
    engines.set_nodes("a", [ZoneMember(f"edge-{number}", "a") for number in range(NODES)])
    chosen(engines)
    return engines


class Preferences(unittest.TestCase):
    def test_nodes_that_know_the_same_do_not_all_choose_the_same_engine(self) -> None:
        self.assertGreater(len({chosen(book(f"edge-{number}")) for number in range(NODES)}), 7)

    def test_a_node_keeps_to_its_engine_while_nothing_speaks_against_it(self) -> None:
        engines = book("edge-1")
        first = chosen(engines)
        self.assertEqual({chosen(engines) for _ in range(5)}, {first})

    def test_a_node_keeps_to_the_engines_that_it_prefers(self) -> None:
        engines = shared_book()
        preferred = {state.engine.engine_id for state in engines.all() if state.is_preferred}
        self.assertIn(len(preferred), range(MIN_ENGINES, ENGINES // 2 + 1))
        self.assertIn(chosen(engines), preferred)

    def test_an_engine_with_an_idle_connection_comes_first_while_the_engine_keeps_it(self) -> None:
        engines = shared_book()
        used = next(state for state in engines.all() if not state.is_preferred)
        engines.record_sent(used)
        engines.record_released(used, 0.0)
        self.assertEqual(chosen(engines), used.engine.engine_id)
        self.assertTrue(used.has_idle_connection(IDLE_CONNECTION_TTL_SECONDS))
        self.assertFalse(used.has_idle_connection(IDLE_CONNECTION_TTL_SECONDS + 0.1))

    def test_a_connection_that_broke_is_not_counted_on(self) -> None:
        played = Played()
        played.request("/fix/x")
        first = played.engines.get(played.engine_of())
        assert first is not None
        played.engine_breaks()
        self.assertFalse(first.has_idle_connection(played.now))

    def test_the_connection_of_an_answered_request_is(self) -> None:
        played = Played()
        played.request("/look/x")
        first = played.engines.get(played.engine_of())
        assert first is not None
        played.engine_answers()
        self.assertTrue(first.has_idle_connection(played.now))

    def test_a_request_takes_the_idle_connection(self) -> None:
        engines = shared_book()
        used = next(iter(engines.all()))
        engines.record_sent(used)
        engines.record_released(used, 0.0)
        engines.record_sent(used)
        self.assertFalse(used.has_idle_connection(0.0))

    def test_a_node_goes_beyond_them_when_they_are_loaded(self) -> None:
        engines = shared_book()
        for state in engines.all():
            state.record_call_seconds(0.1)
            state.running_elsewhere = 2 if state.is_preferred else 0
        state = engines.get(chosen(engines))
        assert state is not None
        self.assertFalse(state.is_preferred)

    def test_a_node_goes_beyond_them_when_they_fail(self) -> None:
        engines = shared_book()
        for state in engines.all():
            state.record_call_seconds(0.1)
            if state.is_preferred:
                state.record_failure(0.0)
        state = engines.get(chosen(engines))
        assert state is not None
        self.assertFalse(state.is_preferred)

    def test_a_node_prefers_others_at_once_when_they_are_all_gone(self) -> None:
        engines = shared_book()
        for state in list(engines.all()):
            if state.is_preferred:
                engines.remove(state.engine.engine_id)
        state = engines.get(chosen(engines))
        assert state is not None
        self.assertTrue(state.is_preferred)

    def test_one_call_more_decides_over_any_preference(self) -> None:
        engines = book("edge-1")
        for state in engines.all():
            state.record_call_seconds(0.1)
        first = engines.get(chosen(engines))
        assert first is not None
        first.running = 1
        self.assertNotEqual(chosen(engines), first.engine.engine_id)
