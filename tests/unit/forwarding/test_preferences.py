from __future__ import annotations

import unittest

from yokeline.effects import Address
from yokeline.forwarding.choice import ChoiceInputs, choose
from yokeline.forwarding.engines import EngineBook
from yokeline.forwarding.model import Call, Engine
from yokeline.forwarding.prefixes import PrefixBeliefs

ENGINES = 12
NODES = 30


def book(node: str) -> EngineBook:
    engines = EngineBook(node)
    for number in range(ENGINES):
        address = Address(f"10.1.0.{number}", 80)
        engine = Engine(engine_id=f"e{number:02}", pool="apps", address=address, zone="a", slots=6)
        engines.put(engine)
    return engines


def chosen(engines: EngineBook) -> str:
    inputs = ChoiceInputs(call=Call(request_id="r", deadline=1.0), traits=None, zone="a")
    choice = choose(engines.in_pool("apps", 0.0), PrefixBeliefs(), inputs, 0.0)
    assert choice is not None
    return choice.state.engine.engine_id


class Preferences(unittest.TestCase):
    def test_nodes_that_know_the_same_do_not_all_choose_the_same_engine(self) -> None:
        self.assertGreater(len({chosen(book(f"edge-{number}")) for number in range(NODES)}), 7)

    def test_a_node_keeps_to_its_engine_while_nothing_speaks_against_it(self) -> None:
        engines = book("edge-1")
        first = chosen(engines)
        self.assertEqual({chosen(engines) for _ in range(5)}, {first})

    def test_one_call_more_decides_over_any_preference(self) -> None:
        engines = book("edge-1")
        for state in engines.all():
            state.note_pace(0.1)
        first = engines.get(chosen(engines))
        assert first is not None
        first.running = 1
        self.assertNotEqual(chosen(engines), first.engine.engine_id)
