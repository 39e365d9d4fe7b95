"""Replays of a tenant above its limit against the ledger's state, without a network."""

from __future__ import annotations

import unittest
from collections.abc import Iterable
from unittest.mock import patch

from benchmarks.program_admission import Kind, Ledger, Load, Outcome, Replay, play
from msgspec.structs import replace

from yokeline.ledger.claims import _TenantClaims

SEEDS = (1, 2, 3)
LOST_SHARE = 0.01
"""Maximum share of admitted programs that are refused later."""
USED_SHARE = 0.95
"""Minimum share of the limit that is used at high demand."""
STARVED_SHARE = 0.25
"""A kind is starved if it begins less often than this, relative to all kinds."""

LONG = Kind(name="long", weight=0.3, requests=18, step_seconds=0.4, fan_out=2)
SHORT = Kind(name="short", weight=0.7, requests=4, step_seconds=0.4)
HOT = Load(usual=80.0, kinds=(SHORT, LONG))


def outcomes(load: Load, way: str = "by time") -> Iterable[Outcome]:
    return (play(way, replace(load, seed=seed)) for seed in SEEDS)


class AdmittedLoads(unittest.TestCase):
    def assert_carried(self, load: Load, used: float = USED_SHARE) -> None:
        for outcome in outcomes(load):
            self.assertGreater(len(outcome.began), 50)
            self.assertLessEqual(len(outcome.lost), LOST_SHARE * len(outcome.began))
            self.assertGreaterEqual(outcome.limit_used, used)

    def test_admitted_programs_of_a_hot_tenant_end(self) -> None:
        self.assert_carried(HOT)

    def test_admitted_programs_that_fan_out_end(self) -> None:
        fan_out = replace(LONG, requests=24, fan_out=5)
        self.assert_carried(replace(HOT, kinds=(SHORT, fan_out)))

    def test_admitted_programs_beside_looping_ones_end(self) -> None:
        self.assert_carried(replace(HOT, kinds=(SHORT, replace(LONG, loop_share=0.05))))

    def test_admitted_programs_end_after_the_limit_is_lowered(self) -> None:
        lowered = replace(HOT, lowered_at=35.0, lowered_to=0.7)
        self.assert_carried(lowered, used=0.7)

    def test_programs_of_a_tenant_within_its_limit_are_admitted(self) -> None:
        for outcome in outcomes(replace(HOT, hot=1.0)):
            self.assertGreaterEqual(len(outcome.ended), 0.98 * len(outcome.offered))

    def test_programs_of_a_tenant_within_its_limit_are_admitted_beside_a_hot_tenant(self) -> None:
        """Both tenants share one leader and its claims."""
        ledger = Ledger(has_gate=True)
        hot = Replay(HOT, ledger)
        calm = Replay(replace(HOT, tenant="calm", hot=1.0), ledger)
        ledger.run()
        served, offered = calm.outcome().ended, calm.outcome().offered
        self.assertGreaterEqual(len(served), 0.98 * len(offered))
        self.assertGreaterEqual(len(hot.outcome().ended), 0.99 * len(hot.outcome().began))


class AdmissionPolicies(unittest.TestCase):
    """The policies of ``benchmarks.program_admission``, each with one sequence of arrivals."""

    def test_by_time_loses_fewer_programs_and_uses_more_of_the_limit(self) -> None:
        slow = replace(
            HOT, kinds=(replace(SHORT, step_seconds=0.6), replace(LONG, step_seconds=0.6))
        )
        lost = {
            way: sum(len(outcome.lost) for outcome in outcomes(slow, way))
            for way in ("first come", "kept share", "by time")
        }
        self.assertLess(lost["kept share"], lost["first come"])
        self.assertLessEqual(lost["by time"], 0.1 * lost["kept share"])
        for by_time, in_full in zip(outcomes(slow), outcomes(slow, "in full"), strict=True):
            self.assertGreater(by_time.limit_used, in_full.limit_used + 0.1)


class LargePrograms(unittest.TestCase):
    """A kind that needs many tokens at once, beside one that takes tokens as they accrue."""

    def served_share(self, seed: int) -> float:
        """Return how often large programs begin, relative to all programs."""
        slow = Kind(name="slow", weight=0.9, requests=10, step_seconds=0.5)
        large = Kind(name="large", weight=0.1, requests=40, step_seconds=0.2, fan_out=10)
        load = Load(kinds=(slow, large), hot_until=60.0, ends=70.0, seed=seed)
        outcome = play("by time", load)
        offered = [name for name in outcome.offered if outcome.kinds[name] == "large"]
        began = [name for name in outcome.began if outcome.kinds[name] == "large"]
        all_share = len(outcome.began) / len(outcome.offered)
        return len(began) / len(offered) / all_share

    def test_large_programs_are_not_starved(self) -> None:
        for seed in (1, 2):
            self.assertGreater(self.served_share(seed), STARVED_SHARE)

    def test_large_programs_starve_without_priority_of_refused_kinds(self) -> None:
        with patch.object(_TenantClaims, "claims_of_refused_kinds", lambda book, kind, now: []):
            self.assertTrue(any(self.served_share(seed) < STARVED_SHARE for seed in (1, 2)))


if __name__ == "__main__":
    unittest.main()
