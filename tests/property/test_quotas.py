"""In no window does a tenant get more than its rate and the depth of its bucket.

Leaders change at random, also while the old one still proposes. A new leader has applied only part
of its log, processes pause, and each has a monotonic clock with a different origin.
"""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.ledger.operations import Draw, Drawn, RateLimit
from yokeline.ledger.quotas import LeadershipClock
from yokeline.ledger.state import LedgerCommand, LedgerState

WINDOW = 5.0
STEPS = 600
LONGEST_PAUSE = 0.4
ROUNDING = 1e-6
RESTART_SHARE = 0.3
"""Share of new leaders that have just started and have applied nothing."""


class _Leader:
    """A replica that leads in a term, with the log that it started with."""

    def __init__(self, term: int, log: list[LedgerCommand], applied: int, offset: float) -> None:
        self.term = term
        self.log = log
        self.offset = offset
        self.clock = LeadershipClock()
        self.state = LedgerState()
        for command in log[:applied]:
            self.state.transition_apply(command)
        self.applied = applied

    def apply(self, end_index: int) -> None:
        for command in self.log[self.applied : end_index]:
            self.state.transition_apply(command)
        self.applied = end_index


class _Simulation:
    def __init__(self, seed: int, limit: RateLimit) -> None:
        self.random = random.Random(seed)
        self.limit = limit
        self.now = 0.0
        self.log: list[LedgerCommand] = []
        self.proposed_at: list[float] = []
        self.leader = self.elect(1)
        self.old_leaders: list[_Leader] = []

    def elect(self, term: int) -> _Leader:
        applied = self.random.randint(max(0, len(self.log) - 5), len(self.log))
        if self.random.random() < RESTART_SHARE:
            applied = 0
        leader = _Leader(term, self.log, applied, self.random.uniform(0.0, 1e6))
        self.leader_time(leader)  # a candidate reads its clock immediately
        return leader

    def leader_time(self, leader: _Leader) -> float:
        applied = leader.state.quotas.time
        return leader.clock.time(leader.term, applied, self.now + leader.offset)

    def step(self) -> None:
        pause = self.random.expovariate(2 * self.limit.rate)
        self.now += LONGEST_PAUSE * 10 if self.random.random() < 0.01 else min(LONGEST_PAUSE, pause)
        if self.random.random() < 0.02:
            self.old_leaders.append(self.leader)
            self.leader = self.elect(self.leader.term + 1)
        if self.old_leaders and self.random.random() < 0.2:
            self.leader_time(
                self.random.choice(self.old_leaders)
            )  # the old leader proposes, but nothing is committed
        self.propose()

    def propose(self) -> None:
        """Commit a draw, and let the leader apply earlier entries or lag behind."""
        operation = Draw(request_id=f"r{len(self.log)}", limit=self.limit)
        leader_time = self.leader_time(self.leader)
        self.log.append(LedgerCommand(time=0.0, operations=(operation,), passed=leader_time))
        self.proposed_at.append(self.now)
        self.leader.apply(self.random.randint(self.leader.applied, len(self.log)))

    def granted_at(self) -> list[float]:
        """Return the proposal times of the draws that the log grants."""
        state = LedgerState()
        times = []
        for command, at in zip(self.log, self.proposed_at, strict=True):
            (result,) = state.transition_apply(command)
            if result == Drawn():
                times.append(at)
        return times


def worst_excess(seed: int, limit: RateLimit) -> float:
    """Return by how much the worst window exceeds the limit; negative if none does."""
    simulation = _Simulation(seed, limit)
    for _ in range(STEPS):
        simulation.step()
    times = simulation.granted_at()
    worst = -float("inf")
    end = 0
    for begin, first in enumerate(times):
        while end < len(times) and times[end] <= first + WINDOW:
            end += 1
        worst = max(worst, end - begin - (limit.rate * WINDOW + limit.burst))
    return worst


LIMITS = st.builds(
    RateLimit,
    st.just("hule"),
    st.sampled_from([1.0, 6.0, 30.0]),
    st.sampled_from([1.0, 6.0, 30.0]),
    st.just(1),
)


class Windows(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 2**32), LIMITS)
    def test_no_window_holds_more_than_the_limit_gives(self, seed: int, limit: RateLimit) -> None:
        self.assertLessEqual(worst_excess(seed, limit), ROUNDING)

    def test_a_tenant_gets_most_of_what_its_limit_gives(self) -> None:
        simulation = _Simulation(1, RateLimit("hule", 6.0, 6.0, 1))
        for _ in range(STEPS):
            simulation.step()
        # Pauses without requests and the lost time of new leaders account for the rest.
        self.assertGreater(len(simulation.granted_at()), 0.6 * 6.0 * simulation.now)


class PlantedFaults(unittest.TestCase):
    """Incorrect clocks are detected."""

    def caught(self, time: Callable[[LeadershipClock, int, float, float], float]) -> bool:
        limit = RateLimit("hule", 6.0, 6.0, 1)
        with patch.object(LeadershipClock, "time", time):
            return any(worst_excess(seed, limit) > ROUNDING for seed in range(20))

    def test_a_clock_that_restarts_with_each_query(self) -> None:
        self.assertTrue(self.caught(lambda clock, term, applied, now: applied + 1.0))

    def test_a_wall_clock_that_each_leader_reads_for_itself(self) -> None:
        self.assertTrue(self.caught(lambda clock, term, applied, now: now))

    def test_a_leader_that_adds_time_before_its_own_start(self) -> None:
        self.assertTrue(self.caught(lambda clock, term, applied, now: applied + now / 1e5))
