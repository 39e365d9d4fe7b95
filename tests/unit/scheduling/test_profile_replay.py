"""Errors of predicted turn durations, with 72 nodes that each see few turns of an engine."""

from __future__ import annotations

import unittest
import unittest.mock

from tests.unit.scheduling import profile_replay
from tests.unit.scheduling.profile_replay import (
    Fleet,
    OwnFactorPredictor,
    Predictor,
    ReportedProfilePredictor,
    replay,
)

WARM_UP_SECONDS = 10.0
"""Time after which each node has seen some turns."""
END_SECONDS = 25.0


def all_predictors() -> dict[str, Predictor]:
    return {
        "own": OwnFactorPredictor(),
        "lasting": ReportedProfilePredictor(with_spell=False),
        "spell": ReportedProfilePredictor(with_spell=True),
    }


class Predictions(unittest.TestCase):
    def test_told_paces_halve_the_error_of_own_factors_in_short_spells(self) -> None:
        predictors = all_predictors()
        replay(Fleet(1), predictors, END_SECONDS)
        errors = {
            name: predictor.mean_error(WARM_UP_SECONDS) for name, predictor in predictors.items()
        }
        self.assertLess(errors["lasting"], 0.6 * errors["own"])
        self.assertLess(errors["spell"], 0.6 * errors["own"])
        self.assertLess(errors["spell"], 1.05 * errors["lasting"])

    def test_a_spell_that_lasts_for_seconds_is_told_apart_from_the_lasting_pace(self) -> None:
        with unittest.mock.patch.object(profile_replay, "SPELL_SECONDS", 4.0):
            predictors = all_predictors()
            replay(Fleet(2), predictors, END_SECONDS)
        self.assertLess(
            predictors["spell"].mean_error(WARM_UP_SECONDS),
            0.95 * predictors["lasting"].mean_error(WARM_UP_SECONDS),
        )

    def test_without_spells_the_lasting_pace_is_nearly_exact(self) -> None:
        predictors = all_predictors()
        replay(Fleet(3, spell_share=0.0), predictors, END_SECONDS)
        self.assertLess(predictors["spell"].mean_error(WARM_UP_SECONDS), 0.05)

    def test_engines_of_one_speed_are_predicted_no_worse_than_by_own_factors(self) -> None:
        with unittest.mock.patch.object(profile_replay, "SLOWDOWNS", (1.0, 1.0, 1.0)):
            predictors = all_predictors()
            replay(Fleet(8, spell_share=0.0), predictors, END_SECONDS)
        self.assertLess(
            predictors["spell"].mean_error(WARM_UP_SECONDS),
            1.05 * predictors["own"].mean_error(WARM_UP_SECONDS),
        )
        self.assertLess(
            predictors["spell"].mean_error(0.0, WARM_UP_SECONDS),
            1.05 * predictors["own"].mean_error(0.0, WARM_UP_SECONDS),
        )


class Changes(unittest.TestCase):
    def test_a_third_of_the_engines_replaced_at_once_is_known_again_in_seconds(self) -> None:
        fleet, predictors = Fleet(4), all_predictors()
        replay(fleet, predictors, END_SECONDS)
        fleet.restart_engines(1 / 3)
        replay(fleet, predictors, 8.0, begin=END_SECONDS)
        predictor = predictors["spell"]
        self.assertLess(
            predictor.mean_error(END_SECONDS + 3, END_SECONDS + 8),
            0.6 * predictors["own"].mean_error(END_SECONDS + 3, END_SECONDS + 8),
        )
        self.assertLess(
            predictor.mean_error(END_SECONDS + 3, END_SECONDS + 8),
            1.25 * predictor.mean_error(WARM_UP_SECONDS, END_SECONDS),
        )

    def test_a_leader_that_falls_silent_leaves_what_it_told(self) -> None:
        fleet, predictors = Fleet(5), all_predictors()
        replay(fleet, predictors, END_SECONDS)
        for predictor in predictors.values():
            predictor.leader_is_unreachable = True
        replay(fleet, predictors, 10.0, begin=END_SECONDS)
        self.assertLess(
            predictors["spell"].mean_error(END_SECONDS),
            1.2 * predictors["spell"].mean_error(WARM_UP_SECONDS, END_SECONDS),
        )

    def test_a_new_leader_that_knows_nothing_is_whole_again_in_seconds(self) -> None:
        fleet, predictor = Fleet(6), ReportedProfilePredictor(with_spell=True)
        replay(fleet, {"spell": predictor}, END_SECONDS)
        predictor.leader.clear()
        replay(fleet, {"spell": predictor}, 8.0, begin=END_SECONDS)
        self.assertLess(
            predictor.mean_error(END_SECONDS),
            1.25 * predictor.mean_error(WARM_UP_SECONDS, END_SECONDS),
        )

    def test_without_any_word_a_node_goes_by_its_own_turns(self) -> None:
        predictors = all_predictors()
        for predictor in predictors.values():
            predictor.leader_is_unreachable = True
        replay(Fleet(7), predictors, END_SECONDS)
        self.assertLess(
            predictors["spell"].mean_error(WARM_UP_SECONDS),
            predictors["own"].mean_error(WARM_UP_SECONDS),
        )
