"""How far predicted turns are from real ones, at 72 nodes that each see few turns of an engine."""

from __future__ import annotations

import unittest
import unittest.mock

from tests.unit.scheduling import profile_replay
from tests.unit.scheduling.profile_replay import (
    Fleet,
    OwnFactors,
    ToldProfiles,
    Way,
    replay,
)

SETTLED = 10.0
"""Seconds after which each node has seen some turns."""
END = 25.0


def three_ways() -> dict[str, Way]:
    return {
        "own": OwnFactors(),
        "lasting": ToldProfiles(with_spell=False),
        "spell": ToldProfiles(with_spell=True),
    }


class Predictions(unittest.TestCase):
    def test_told_paces_halve_the_error_of_own_factors_in_short_spells(self) -> None:
        ways = three_ways()
        replay(Fleet(1), ways, END)
        errors = {name: way.error(SETTLED) for name, way in ways.items()}
        self.assertLess(errors["lasting"], 0.6 * errors["own"])
        self.assertLess(errors["spell"], 0.6 * errors["own"])
        self.assertLess(errors["spell"], 1.05 * errors["lasting"])

    def test_a_spell_that_lasts_for_seconds_is_told_apart_from_the_lasting_pace(self) -> None:
        with unittest.mock.patch.object(profile_replay, "SPELL_SECONDS", 4.0):
            ways = three_ways()
            replay(Fleet(2), ways, END)
        self.assertLess(ways["spell"].error(SETTLED), 0.95 * ways["lasting"].error(SETTLED))

    def test_without_spells_the_lasting_pace_is_nearly_exact(self) -> None:
        ways = three_ways()
        replay(Fleet(3, spell_share=0.0), ways, END)
        self.assertLess(ways["spell"].error(SETTLED), 0.05)

    def test_engines_of_one_speed_are_predicted_no_worse_than_by_own_factors(self) -> None:
        with unittest.mock.patch.object(profile_replay, "SPEEDS", (1.0, 1.0, 1.0)):
            ways = three_ways()
            replay(Fleet(8, spell_share=0.0), ways, END)
        self.assertLess(ways["spell"].error(SETTLED), 1.05 * ways["own"].error(SETTLED))
        self.assertLess(ways["spell"].error(0.0, SETTLED), 1.05 * ways["own"].error(0.0, SETTLED))


class Changes(unittest.TestCase):
    def test_a_third_of_the_engines_replaced_at_once_is_known_again_in_seconds(self) -> None:
        fleet, ways = Fleet(4), three_ways()
        replay(fleet, ways, END)
        fleet.replace(1 / 3)
        replay(fleet, ways, 8.0, begin=END)
        way = ways["spell"]
        self.assertLess(way.error(END + 3, END + 8), 0.6 * ways["own"].error(END + 3, END + 8))
        self.assertLess(way.error(END + 3, END + 8), 1.25 * way.error(SETTLED, END))

    def test_a_leader_that_falls_silent_leaves_what_it_told(self) -> None:
        fleet, ways = Fleet(5), three_ways()
        replay(fleet, ways, END)
        for way in ways.values():
            way.silent_leader = True
        replay(fleet, ways, 10.0, begin=END)
        self.assertLess(ways["spell"].error(END), 1.2 * ways["spell"].error(SETTLED, END))

    def test_a_new_leader_that_knows_nothing_is_whole_again_in_seconds(self) -> None:
        fleet, way = Fleet(6), ToldProfiles(with_spell=True)
        replay(fleet, {"spell": way}, END)
        way.leader.clear()
        replay(fleet, {"spell": way}, 8.0, begin=END)
        self.assertLess(way.error(END), 1.25 * way.error(SETTLED, END))

    def test_without_any_word_a_node_goes_by_its_own_turns(self) -> None:
        ways = three_ways()
        for way in ways.values():
            way.silent_leader = True
        replay(Fleet(7), ways, END)
        self.assertLess(ways["spell"].error(SETTLED), ways["own"].error(SETTLED))
