from __future__ import annotations

import unittest

from yokeline.effects import Address
from yokeline.forwarding.engine_gauges import MAX_ENGINES_SHOWN, pace_gauges
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.model import Engine
from yokeline.ledger.messages import PACE_UNIT_SECONDS, EngineTurns

ENGINES = 60
PACE = round(0.04 / PACE_UNIT_SECONDS)
NOW = 10.0


def book(told: list[EngineTurns]) -> EngineTable:
    engines = EngineTable("edge")
    for number in range(ENGINES):
        address = Address("10.0.0.1", number + 1)
        engines.put(
            Engine(engine_id=f"e{number}", pool="models", address=address, zone="a", slots=4)
        )
    engines.apply_leader_report(tuple(told), NOW)
    return engines


class Gauges(unittest.TestCase):
    def test_a_slow_engine_and_one_in_a_spell_are_shown_first(self) -> None:
        told = [EngineTurns(f"e{number}", 0, 0, 100, PACE, 15) for number in range(ENGINES)]
        told[40] = EngineTurns("e40", 0, 0, 100, 2 * PACE, 15)
        told[41] = EngineTurns("e41", 0, 0, 100, PACE, 15, spell_percent=250)
        gauges = pace_gauges(book(told), NOW)
        self.assertEqual(gauges['yokeline_forwarding_engine_pace_ratio{engine="e40"}'], 2.0)
        self.assertEqual(gauges['yokeline_forwarding_engine_spell_ratio{engine="e41"}'], 2.5)
        self.assertEqual(len(gauges), 2 * MAX_ENGINES_SHOWN)

    def test_without_word_of_a_leader_nothing_is_shown(self) -> None:
        self.assertEqual(pace_gauges(book([]), NOW), {})
