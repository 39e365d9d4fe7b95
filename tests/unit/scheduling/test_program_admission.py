from __future__ import annotations

import unittest

from yokeline.scheduling.program_admission import (
    Admission,
    BucketState,
    Claims,
    claims_of,
    decide,
)
from yokeline.scheduling.program_sizes import OUTLIER_FACTOR, ProgramSize

SIZE = ProgramSize(requests=10.0, deviation=0.0, seconds=2.0)
VARIABLE = ProgramSize(requests=10.0, deviation=3.0, seconds=2.0)


def held(count: int, *, used: int = 0, size: ProgramSize = SIZE) -> list[Claims]:
    claims = claims_of(size, used, count)
    return [claims] if claims is not None else []


def decision(
    level: float, rate: float, claims: list[Claims], size: ProgramSize = SIZE
) -> Admission:
    return decide(BucketState(level=level, rate=rate), claims, size)


class Claiming(unittest.TestCase):
    def test_a_claim_shrinks_with_what_was_used_at_the_pace_of_its_kind(self) -> None:
        (claims,) = held(3, used=4)
        self.assertEqual((claims.count, claims.requests, claims.seconds), (3, 6.0, 1.2))

    def test_it_grows_with_a_program_that_asks_for_more_than_expected(self) -> None:
        (claims,) = held(1, used=12, size=VARIABLE)
        self.assertEqual(claims.requests, VARIABLE.deviation)

    def test_a_program_that_loops_holds_nothing(self) -> None:
        self.assertEqual(held(1, used=int(OUTLIER_FACTOR * 10) + 1, size=VARIABLE), [])


class Decisions(unittest.TestCase):
    def test_a_bucket_that_holds_everything_lets_in(self) -> None:
        self.assertTrue(decision(30.0, 0.001, held(2)).is_admitted)

    def test_what_comes_in_while_programs_run_counts(self) -> None:
        """Six programs of 5 requests per second, the new one included, need a refill of 30."""
        self.assertTrue(decision(0.0, 30.0, held(5)).is_admitted)
        self.assertFalse(decision(0.0, 29.0, held(5)).is_admitted)

    def test_what_is_due_sooner_than_it_comes_in_does_not_fit_though_the_sum_would(self) -> None:
        quick = Claims(count=1, requests=20.0, seconds=0.1, deviation=0.0)
        slow = Claims(count=1, requests=20.0, seconds=10.0, deviation=0.0)
        self.assertFalse(decision(10.0, 10.0, [quick, slow]).is_admitted)
        self.assertTrue(decision(25.0, 10.0, [quick, slow]).is_admitted)

    def test_a_refusal_tells_when_there_is_room(self) -> None:
        """Three programs of 5 requests per second use up a refill of 15 until they end."""
        refused = decision(0.0, 15.0, held(3))
        self.assertFalse(refused.is_admitted)
        self.assertAlmostEqual(refused.retry_after, 2.0, delta=0.05)

    def test_that_time_is_true_while_nothing_else_comes(self) -> None:
        for level, rate, count in ((0.0, 15.0, 3), (4.0, 40.0, 12), (1.0, 3.0, 5), (9.0, 60.0, 30)):
            refused = decision(level, rate, held(count))
            self.assertFalse(refused.is_admitted)
            for share in (0.8, 1.01):
                passed = refused.retry_after * share
                used = min(10.0, 5.0 * passed)
                now = level + rate * passed - count * used
                rest = Claims(
                    count=count,
                    requests=max(1e-9, 10.0 - used),
                    seconds=max(1e-9, 2.0 - passed),
                    deviation=0.0,
                )
                again = decision(now, rate, [rest])
                self.assertEqual(again.is_admitted, share > 1.0, (level, rate, count, share))

    def test_the_margin_grows_with_the_root_of_the_number_of_claims(self) -> None:
        few = decision(0.0, 1.0, held(4, size=VARIABLE), VARIABLE).margin
        many = decision(0.0, 1.0, held(16, size=VARIABLE), VARIABLE).margin
        self.assertAlmostEqual(many / few, (17 / 5) ** 0.5)

    def test_an_unsure_estimate_lets_in_fewer(self) -> None:
        def most(size: ProgramSize) -> int:
            return next(
                count
                for count in range(1, 100)
                if not decision(20.0, 100.0, held(count, size=size), size).is_admitted
            )

        self.assertLess(most(VARIABLE), most(SIZE))

    def test_the_only_program_of_a_tenant_is_let_in_however_large(self) -> None:
        huge = ProgramSize(requests=500.0, deviation=10.0, seconds=1.0)
        self.assertTrue(decision(5.0, 1.0, [], huge).is_admitted)
        self.assertFalse(decision(5.0, 1.0, held(1), huge).is_admitted)

    def test_a_lowered_limit_lets_nothing_in_until_claims_fit(self) -> None:
        self.assertTrue(decision(20.0, 100.0, held(15)).is_admitted)
        lowered = decision(20.0, 10.0, held(15))
        self.assertFalse(lowered.is_admitted)
        self.assertGreater(lowered.retry_after, 10.0)
        self.assertTrue(decision(20.0, 10.0, held(1)).is_admitted)

    def test_a_bucket_in_debt_lets_nothing_in(self) -> None:
        self.assertFalse(decision(-1.0, 100.0, held(1)).is_admitted)
