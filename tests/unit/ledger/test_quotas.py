from __future__ import annotations

import unittest

from yokeline.ledger.operations import Draw, Drawn, Granted, QuotaSpent, RateLimit, Reserve
from yokeline.ledger.quotas import RESERVED_SHARE, LeadershipClock
from yokeline.ledger.state import LedgerCommand, LedgerState

LIMIT = RateLimit("hule", rate=10.0, burst=20.0, version=1)


class Quotas(unittest.TestCase):
    def setUp(self) -> None:
        self.state = LedgerState()
        self.leader_time = 0.0
        self.numbers = 0

    def apply(self, operation: Draw | Reserve) -> object:
        command = LedgerCommand(time=1e9, operations=(operation,), passed=self.leader_time)
        return self.state.transition_apply(command)[0]

    def draw(self, limit: RateLimit = LIMIT) -> object:
        self.numbers += 1
        return self.apply(Draw(request_id=f"r{self.numbers}", limit=limit))

    def turn(self, program: str, request_id: str = "") -> object:
        self.numbers += 1
        name = request_id or f"r{self.numbers}"
        return self.apply(
            Reserve(request_id=name, program=program, budget=100, tokens=1, limit=LIMIT)
        )

    def drain(self) -> int:
        """Draw until the bucket is empty; return the number of draws."""
        for count in range(1000):
            if isinstance(self.draw(), QuotaSpent):
                return count
        raise AssertionError("the bucket never empties")


class Buckets(Quotas):
    def test_a_tenant_gets_its_burst_and_then_its_rate(self) -> None:
        self.assertEqual(self.drain(), 20)
        self.leader_time += 1.0
        self.assertEqual(self.drain(), 10)

    def test_a_refusal_gives_the_time_of_the_next_token(self) -> None:
        self.drain()
        spent = self.draw()
        assert isinstance(spent, QuotaSpent)
        self.assertTrue(spent.is_empty)
        self.leader_time += spent.retry_after - 0.001
        self.assertIsInstance(self.draw(), QuotaSpent)
        self.leader_time += 0.002
        self.assertEqual(self.draw(), Drawn())

    def test_one_tenant_takes_nothing_from_another(self) -> None:
        self.drain()
        other = RateLimit("mira", rate=1.0, burst=3.0, version=1)
        self.assertEqual(self.draw(other), Drawn())

    def test_a_lowered_limit_applies_immediately_and_replaces_the_older_one(self) -> None:
        self.draw()
        lowered = RateLimit("hule", rate=1.0, burst=2.0, version=2)
        self.assertEqual(self.draw(lowered), Drawn())
        self.assertEqual(self.drain(), 1)
        self.leader_time += 1.0
        self.assertEqual(self.drain(), 1)

    def test_a_tenant_without_a_burst_gets_single_requests(self) -> None:
        bare = RateLimit("bare", rate=2.0, burst=0.0, version=1)
        self.assertEqual(self.draw(bare), Drawn())
        self.assertIsInstance(self.draw(bare), QuotaSpent)

    def test_a_bucket_that_was_full_for_long_is_deleted_and_starts_full(self) -> None:
        self.draw()
        self.leader_time += 120.0
        self.state.quotas.transition_advance(self.leader_time)
        self.state.quotas.transition_forget()
        self.assertEqual(self.state.quotas.accounts, {})
        self.drain()
        self.state.quotas.transition_forget()
        self.assertIn("hule", self.state.quotas.accounts)


class OwedDraws(Quotas):
    def test_an_owed_draw_counts_although_the_bucket_is_empty(self) -> None:
        self.drain()
        for number in range(5):
            owed = Draw(request_id=f"again{number}", limit=LIMIT, is_owed=True)
            self.assertIsNone(self.state.known_refusal(owed, self.leader_time))
            self.assertEqual(self.apply(owed), Drawn())
        self.leader_time += 1.0
        self.assertEqual(self.drain(), 5)


class Programs(Quotas):
    def test_at_the_limit_begun_programs_continue_and_new_ones_are_refused(self) -> None:
        self.assertIsInstance(self.turn("begun"), Granted)
        for _ in range(int(20 * (1 - RESERVED_SHARE)) - 1):
            self.draw()
        spent = self.turn("new")
        assert isinstance(spent, QuotaSpent)
        self.assertFalse(spent.is_empty)
        self.assertIsInstance(self.turn("begun"), Granted)

    def test_a_repeated_reservation_counts_once(self) -> None:
        self.turn("p", "same")
        level = self.state.quotas.accounts["hule"].level
        self.assertIsInstance(self.turn("p", "same"), Granted)
        self.assertEqual(self.state.quotas.accounts["hule"].level, level)

    def test_a_turn_beyond_its_budget_takes_no_token(self) -> None:
        self.turn("p")
        level = self.state.quotas.accounts["hule"].level
        over = Reserve(request_id="x", program="p", budget=1, tokens=9, limit=LIMIT)
        self.apply(over)
        self.assertEqual(self.state.quotas.accounts["hule"].level, level)

    def test_a_known_refusal_changes_nothing(self) -> None:
        self.drain()
        operation = Draw(request_id="x", limit=LIMIT)
        before = self.state.quotas.accounts["hule"].level
        known = self.state.known_refusal(operation, self.leader_time)
        self.assertIsInstance(known, QuotaSpent)
        self.assertEqual(self.state.quotas.accounts["hule"].level, before)
        self.assertIsNone(self.state.known_refusal(operation, self.leader_time + 1.0))


class Clocks(unittest.TestCase):
    def test_successive_leaders_add_no_more_than_real_time(self) -> None:
        first, second = LeadershipClock(), LeadershipClock()
        first_time = first.time(term=1, applied=0.0, now=1000.0)
        first_time = first.time(term=1, applied=first_time, now=1003.0)
        self.assertEqual(first_time, 3.0)
        taken_over = second.time(term=2, applied=first_time, now=55.0)
        self.assertEqual(taken_over, 3.0)
        self.assertEqual(second.time(term=2, applied=taken_over, now=56.5), 4.5)

    def test_a_leader_asked_before_it_has_applied_its_log_catches_up(self) -> None:
        """Buckets would otherwise not refill until the new leader's time had caught up."""
        clock = LeadershipClock()
        self.assertEqual(clock.time(term=3, applied=0.0, now=10.0), 0.0)
        self.assertEqual(clock.time(term=3, applied=45.0, now=10.1), 45.0)
        self.assertAlmostEqual(clock.time(term=3, applied=45.0, now=11.1), 46.0)

    def test_a_replica_that_leads_again_starts_from_the_applied_time(self) -> None:
        clock = LeadershipClock()
        clock.time(term=1, applied=0.0, now=10.0)
        self.assertEqual(clock.time(term=3, applied=2.0, now=60.0), 2.0)
