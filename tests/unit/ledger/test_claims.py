from __future__ import annotations

import unittest
from unittest.mock import patch

from yokeline.ledger import claims as claims_module
from yokeline.ledger.claims import (
    KIND_PRIORITY_SECONDS,
    LATE_YIELD_SECONDS,
    MAX_IDLE_SECONDS,
    MAX_TURN_SECONDS,
    MIN_IDLE_SECONDS,
    REFUSAL_CACHE_SECONDS,
    RETRY_GRACE_SECONDS,
    SWEEP_SECONDS,
    CandidateProgram,
    ClaimTracker,
)
from yokeline.ledger.state import Program
from yokeline.scheduling.program_admission import Admission, BucketState
from yokeline.scheduling.program_sizes import MIN_PROGRAMS

TENANT = "hule"
FULL = BucketState(level=1000.0, rate=100.0)
LITTLE = BucketState(level=2.0, rate=1.0)


def candidate(name: str, kind: str = "k", time_left: float | None = None) -> CandidateProgram:
    return CandidateProgram(name=name, tenant=TENANT, kind=kind, time_left=time_left)


def account(
    requests: int, began: float, active: float, *, kind: str = "k", has_open_turn: bool = False
) -> Program:
    return Program(
        tenant=TENANT,
        kind=kind,
        requests=requests,
        began_at=began,
        active_at=active,
        reserved={"r": 1} if has_open_turn else {},
    )


class ClaimCase(unittest.TestCase):
    def setUp(self) -> None:
        self.claims = ClaimTracker()
        self.now = 0.0

    def run_programs(self, requests: int = 10, kind: str = "k", count: int = MIN_PROGRAMS) -> None:
        """Let programs of a kind run and become idle."""
        for number in range(count):
            name = f"{kind}{self.now}/{number}"
            self.update(name, account(requests, self.now, self.now + 2.0, kind=kind))
        self.now += 2.0 + MAX_IDLE_SECONDS
        self.claims.sweep(self.now)

    def update(self, name: str, program: Program, *, is_complete: bool = False) -> None:
        self.claims.update(name, program, is_complete=is_complete)

    def decide(self, supply: BucketState, kind: str = "k") -> Admission | None:
        return self.claims.decide(candidate("new", kind), supply, self.now)

    def expected(self, kind: str = "k") -> float:
        size = self.claims.size_of(TENANT, kind)
        assert size is not None
        return size.requests


class ProgramSizes(ClaimCase):
    def test_no_decision_before_enough_programs_have_ended(self) -> None:
        self.run_programs(count=MIN_PROGRAMS - 1)
        self.assertIsNone(self.decide(LITTLE))

    def test_each_kind_of_a_tenant_has_its_own_size(self) -> None:
        self.run_programs(4, "short")
        self.run_programs(20, "long")
        self.assertEqual((self.expected("short"), self.expected("long")), (4.0, 20.0))

    def test_sizes_over_all_tenants_apply_until_enough_programs_of_the_tenant_have_ended(
        self,
    ) -> None:
        self.run_programs(20, "long")
        self.assertIsNone(self.claims.size_of("other", "short"))
        first = self.claims.size_of("other", "long")
        assert first is not None
        self.assertEqual(first.requests, 20.0)
        for number in range(MIN_PROGRAMS):
            own = account(4, self.now, self.now + 2.0, kind="long")
            own.tenant = "other"
            self.update(f"other{number}", own)
        self.now += 2.0 + MAX_IDLE_SECONDS
        self.claims.sweep(self.now)
        learned = self.claims.size_of("other", "long")
        assert learned is not None
        self.assertEqual(learned.requests, 4.0)

    def test_the_size_of_a_program_refused_halfway_is_ignored(self) -> None:
        self.run_programs(10)
        for number in range(20):
            self.update(f"cut{number}", account(2, self.now, self.now))
            self.claims.note_refused(f"cut{number}")
        self.now += MAX_IDLE_SECONDS
        self.claims.sweep(self.now)
        self.assertEqual(self.expected(), 10.0)

    def test_the_size_of_a_program_that_continues_after_a_refusal_counts(self) -> None:
        self.run_programs(10)
        self.update("p", account(2, self.now, self.now))
        self.claims.note_refused("p")
        self.update("p", account(30, self.now, self.now))
        self.now += MAX_IDLE_SECONDS
        self.claims.sweep(self.now)
        self.assertGreater(self.expected(), 10.0)


class HeldClaims(ClaimCase):
    def test_an_idle_program_releases_its_claim(self) -> None:
        self.update("p", account(3, 0.0, 1.0))
        self.claims.sweep(1.0 + MAX_IDLE_SECONDS - SWEEP_SECONDS)
        self.assertEqual(len(self.claims), 1)
        self.claims.sweep(1.0 + MAX_IDLE_SECONDS)
        self.assertEqual(len(self.claims), 0)

    def test_a_program_of_a_fast_kind_releases_its_claim_sooner(self) -> None:
        """Claims of ended programs must not keep others out of a partly unused limit."""
        self.run_programs(40, "fast")
        self.update("p", account(39, self.now - 2.0, self.now, kind="fast"))
        self.update("slow", account(3, self.now, self.now, kind="unknown"))
        self.now += MIN_IDLE_SECONDS
        self.claims.sweep(self.now)
        self.assertFalse(self.claims.has_claim("p"))
        self.assertTrue(self.claims.has_claim("slow"))

    def test_a_program_with_an_open_turn_keeps_its_claim_for_a_limited_time(
        self,
    ) -> None:
        self.update("p", account(3, 0.0, 1.0, has_open_turn=True))
        self.claims.sweep(1.0 + MAX_TURN_SECONDS - SWEEP_SECONDS)
        self.assertEqual(len(self.claims), 1)
        self.claims.sweep(1.0 + MAX_TURN_SECONDS)
        self.assertEqual(len(self.claims), 0)

    def test_a_program_that_continues_claims_again_and_its_size_counts_once(self) -> None:
        self.run_programs(10)
        self.update("p", account(10, self.now, self.now))
        self.now += MAX_IDLE_SECONDS
        self.claims.sweep(self.now)
        before = self.expected()
        self.update("p", account(40, 0.0, self.now), is_complete=True)
        self.assertEqual(len(self.claims), 1)
        self.now += MAX_IDLE_SECONDS
        self.claims.sweep(self.now)
        self.assertEqual((len(self.claims), self.expected()), (0, before))

    def test_an_admitted_program_has_a_claim_before_its_turn_is_committed(self) -> None:
        self.run_programs(10)
        admitted = 0
        for number in range(50):
            decision = self.decide(BucketState(level=35.0, rate=0.01))
            assert decision is not None
            if decision.is_admitted:
                self.claims.add_provisional(candidate(f"p{number}"), self.now)
                admitted += 1
        self.assertEqual(admitted, 3)

    def test_the_claim_is_cancelled_if_the_turn_is_not_committed(self) -> None:
        self.claims.add_provisional(candidate("p"), 0.0)
        self.claims.cancel_provisional("p")
        self.assertEqual(len(self.claims), 0)
        self.update("q", account(1, 0.0, 0.0))
        self.claims.cancel_provisional("q")
        self.assertEqual(len(self.claims), 1)

    def test_claims_tenants_and_kinds_are_bounded(self) -> None:
        with (
            patch.object(claims_module, "MAX_CLAIMS", 10),
            patch.object(claims_module, "MAX_TENANTS", 5),
            patch.object(claims_module, "MAX_KINDS_PER_TENANT", 3),
            patch.object(claims_module, "MAX_SHARED_KINDS", 7),
        ):
            self.claims = ClaimTracker()
            for number in range(100):
                program = account(1, 0.0, 0.0, kind=f"k{number}")
                program.tenant = f"t{number}"
                self.update(f"p{number}", program)
                self.assertLessEqual(len(self.claims), 10)
            self.claims.sweep(100.0)
            for number in range(100):
                self.update(f"q{number}", account(1, 100.0, 100.0, kind=f"k{number}"))
                self.claims.sweep(200.0 + number)
        self.assertLessEqual(len(self.claims._tenants), 5 + 10)
        self.assertLessEqual(len(self.claims._tenants[TENANT].sizes), 3)
        self.assertLessEqual(len(self.claims._tenants[TENANT].time_shares), 3)
        self.assertLessEqual(len(self.claims._shared_sizes), 7)


class Refusals(ClaimCase):
    def test_a_refusal_is_cached_and_its_retry_time_counts_down(
        self,
    ) -> None:
        self.run_programs(10)
        self.update("p", account(1, self.now, self.now))
        with patch.object(claims_module, "decide", wraps=claims_module.decide) as decision:
            first = self.decide(LITTLE)
            self.now += REFUSAL_CACHE_SECONDS / 2
            second = self.decide(LITTLE)
            self.assertEqual(decision.call_count, 1)
            self.now += REFUSAL_CACHE_SECONDS
            self.decide(LITTLE)
            self.assertEqual(decision.call_count, 2)
        assert first is not None and second is not None
        self.assertAlmostEqual(second.retry_after, first.retry_after - REFUSAL_CACHE_SECONDS / 2)

    def test_a_refused_kind_gets_priority(self) -> None:
        self.run_programs(2, "small")
        self.run_programs(20, "large")
        supply = BucketState(level=15.0, rate=1.0)
        self.update("p", account(1, self.now, self.now, kind="small", has_open_turn=True))
        large, small = self.decide(supply, "large"), self.decide(supply, "small")
        assert large is not None and small is not None
        self.assertEqual((large.is_admitted, small.is_admitted), (False, True))
        self.now += KIND_PRIORITY_SECONDS + 0.1
        large, small = self.decide(supply, "large"), self.decide(supply, "small")
        assert large is not None and small is not None
        self.assertEqual((large.is_admitted, small.is_admitted), (False, False))
        self.now += REFUSAL_CACHE_SECONDS
        later = self.decide(BucketState(level=40.0, rate=1.0), "large")
        assert later is not None
        self.assertTrue(later.is_admitted)
        self.now += REFUSAL_CACHE_SECONDS
        small = self.decide(supply, "small")
        assert small is not None
        self.assertTrue(small.is_admitted)

    def test_a_refused_kind_loses_priority_without_retries(self) -> None:
        self.run_programs(2, "small")
        self.run_programs(20, "large")
        supply = BucketState(level=15.0, rate=1.0)
        self.update("p", account(1, self.now, self.now, kind="small", has_open_turn=True))
        large = self.decide(supply, "large")
        assert large is not None
        self.now += large.retry_after + RETRY_GRACE_SECONDS + 0.1
        small = self.decide(supply, "small")
        assert small is not None
        self.assertTrue(small.is_admitted)

    def test_two_large_kinds_do_not_wait_for_each_other(self) -> None:
        self.run_programs(200, "one")
        self.run_programs(200, "two")
        supply = BucketState(level=15.0, rate=1.0)
        self.update("p", account(1, self.now, self.now, kind="one"))
        for _ in range(5):
            for kind in ("one", "two"):
                self.decide(supply, kind)
            self.now += MAX_IDLE_SECONDS / 4
        self.now += MAX_IDLE_SECONDS
        decision = [self.decide(supply, kind) for kind in ("one", "two")]
        self.assertTrue(any(item is not None and item.is_admitted for item in decision))


class LatePrograms(ClaimCase):
    """Refused programs that retry too late are refused in favor of programs that meet deadlines."""

    time_limit = 4.0

    def run_timed_programs(self, seconds: float) -> None:
        """Let programs with a time limit of four seconds run and become idle."""
        for number in range(MIN_PROGRAMS):
            name = f"t{number}"
            self.claims.add_provisional(candidate(name, time_left=self.time_limit), self.now)
            self.update(name, account(10, self.now, self.now + seconds))
        self.now += seconds + MAX_IDLE_SECONDS
        self.claims.sweep(self.now)

    def ask(self, name: str, time_left: float, supply: BucketState) -> Admission:
        decision = self.claims.decide(candidate(name, time_left=time_left), supply, self.now)
        assert decision is not None
        return decision

    def exhaust_limit(self) -> None:
        """Let a program claim all tokens in the bucket."""
        self.update("held", account(1, self.now, self.now, has_open_turn=True))

    def test_a_late_program_yields_to_others(self) -> None:
        self.run_timed_programs(3.0)
        self.exhaust_limit()
        self.assertFalse(self.ask("late", self.time_limit, LITTLE).is_admitted)
        self.now += 2 * REFUSAL_CACHE_SECONDS
        late = self.ask("late", 2.0, FULL)
        self.assertTrue(late.cannot_end_in_time)
        self.assertFalse(late.is_admitted)
        self.assertTrue(self.ask("fresh", self.time_limit, FULL).is_admitted)

    def test_a_retry_that_can_meet_its_deadline_is_treated_as_new(self) -> None:
        self.run_timed_programs(2.0)
        self.exhaust_limit()
        self.ask("p", self.time_limit, LITTLE)
        self.now += 2 * REFUSAL_CACHE_SECONDS
        self.assertTrue(self.ask("p", 2.5, FULL).is_admitted)

    def test_a_late_program_is_admitted_once_no_other_is_refused(self) -> None:
        self.run_timed_programs(3.0)
        self.exhaust_limit()
        self.ask("late", self.time_limit, LITTLE)
        self.now += LATE_YIELD_SECONDS
        self.assertTrue(self.ask("late", 2.0, FULL).is_admitted)

    def test_programs_without_a_deadline_are_never_late(self) -> None:
        self.run_programs(10)
        self.exhaust_limit()
        self.ask("p", self.time_limit, LITTLE)
        self.now += 2 * REFUSAL_CACHE_SECONDS
        self.assertTrue(self.ask("p", 0.1, FULL).is_admitted)

    def test_admitted_programs_of_a_tenant_at_twice_its_limit_meet_their_deadlines(self) -> None:
        """Refused programs retry up to five times; few programs are admitted too late."""
        in_time, let_in = self.replay(knows_time=True)
        before, let_in_before = self.replay(knows_time=False)
        self.assertGreater(in_time, 0.95 * let_in)
        self.assertGreater(in_time, 1.2 * before)
        self.assertGreater(let_in, 0.95 * let_in_before)

    def replay(self, *, knows_time: bool) -> tuple[int, int]:
        """Return how many programs of ten requests began in time, and how many began, in 40 s."""
        self.claims, self.now = ClaimTracker(), 0.0
        self.run_timed_programs(3.0)
        rate, level, began = 20.0, 0.0, self.now
        retries: list[tuple[float, int, str, float]] = []
        """Time of the request, attempt, name, time of the first request."""
        running: list[tuple[float, str, int, float]] = []
        """Time of the next request, name, requests so far, time of the beginning."""
        in_time = let_in = number = 0
        while self.now < began + 40.0:
            self.now += 0.05
            level = min(rate, level + rate * 0.05)
            for item in [item for item in running if item[0] <= self.now]:
                running.remove(item)
                _, name, used, begin = item
                level -= 1.0
                self.update(name, account(used + 1, begin, self.now, has_open_turn=used < 9))
                if used < 9:
                    running.append((self.now + 0.3, name, used + 1, begin))
            if number * 0.25 < self.now - began:
                number += 1
                retries.append((self.now, 1, f"n{number}", self.now))
            for asked in [item for item in retries if item[0] <= self.now]:
                retries.remove(asked)
                _, tries, name, first = asked
                time_left = self.time_limit - (self.now - first)
                known_time_left = time_left if knows_time else None
                supply = BucketState(level=max(0.0, level), rate=rate)
                decision = self.claims.decide(
                    candidate(name, time_left=known_time_left), supply, self.now
                )
                assert decision is not None
                if decision.is_admitted:
                    self.claims.add_provisional(
                        candidate(name, time_left=known_time_left), self.now
                    )
                    running.append((self.now, name, 0, self.now))
                    let_in += 1
                    in_time += time_left >= 2.7
                elif tries < 6:
                    wait = 0.25 + min(1.0, decision.retry_after)
                    retries.append((self.now + wait, tries + 1, name, first))
        return in_time, let_in


if __name__ == "__main__":
    unittest.main()
