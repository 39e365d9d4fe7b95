from __future__ import annotations

import random
import unittest

from tests.unit.forwarding.support import Played
from yokeline.forwarding.call_timeouts import MIN_CALLS, CallTimeouts, queue_rounds


class Learned(unittest.TestCase):
    def test_nothing_is_given_up_before_times_are_known(self) -> None:
        timeouts = CallTimeouts()
        self.assertIsNone(timeouts.timeout("calls", 1))

    def test_few_calls_of_a_usual_spread_count_as_late(self) -> None:
        source = random.Random(1)
        timeouts = CallTimeouts()
        late = 0
        for _ in range(2000):
            seconds = 0.08 * source.lognormvariate(0.0, 0.7)
            limit = timeouts.timeout("calls", 1)
            late += limit is not None and seconds > limit
            timeouts.record_answered("calls", seconds)
        self.assertLess(late, 40)

    def test_when_all_calls_turn_slow_patience_grows(self) -> None:
        timeouts = CallTimeouts()
        for _ in range(100):
            timeouts.record_answered("calls", 0.05)
        given_up = 0
        for _ in range(100):
            limit = timeouts.timeout("calls", 1)
            assert limit is not None
            if limit < 0.5:
                given_up += 1
                timeouts.record_timeout("calls", limit)
            else:
                timeouts.record_answered("calls", 0.5)
        self.assertLess(given_up, 25)

    def test_each_send_waits_twice_as_long_as_the_one_before(self) -> None:
        timeouts = CallTimeouts()
        for _ in range(MIN_CALLS):
            timeouts.record_answered("calls", 0.1)
        first, second = timeouts.timeout("calls", 1), timeouts.timeout("calls", 2)
        assert first is not None
        self.assertEqual(second, 2 * first)

    def test_a_call_that_waits_for_others_at_its_engine_is_late_later(self) -> None:
        timeouts = CallTimeouts()
        for _ in range(MIN_CALLS):
            timeouts.record_answered("calls", 0.1)
        free, full = (timeouts.timeout("calls", 1, queue_rounds(load, slots=4)) for load in (3, 7))
        assert free is not None
        assert full is not None
        self.assertEqual(timeouts.timeout("calls", 1), free)
        self.assertAlmostEqual(full - free, 0.1, delta=0.001)


class LateCalls(unittest.TestCase):
    def played(self) -> Played:
        played = Played()
        for _ in range(MIN_CALLS + 5):
            played.request("/look-twice/x")
            played.wait(0.02)
            played.engine_answers()
        return played

    def test_a_call_that_may_be_repeated_goes_to_another_engine_when_its_own_hangs(self) -> None:
        played = self.played()
        before = len(played.sent)
        played.request("/look-twice/x")
        slow = played.engine_of()
        played.wait(0.1)
        self.assertEqual(len(played.sent) - before, 2)
        self.assertNotEqual(played.engine_of(), slow)
        self.assertEqual(played.cancelled[-1].request, played.sent[-2].request)
        played.engine_answers()
        self.assertEqual(played.replies[-1].status, 200)

    def test_a_call_at_a_full_engine_is_given_the_time_of_those_before_it(self) -> None:
        played = self.played()
        for state in played.engines.all():
            state.running_elsewhere = 7
        before = len(played.sent)
        played.request("/look-twice/x")
        played.wait(0.075)
        self.assertEqual(len(played.sent) - before, 1)
        played.wait(0.1)
        self.assertEqual(len(played.sent) - before, 2)

    def test_a_call_is_moved_no_oftener_than_its_route_allows(self) -> None:
        """An engine whose answer is late still counts; a third one would be one too many."""
        played = self.played()
        before = len(played.sent)
        played.request("/look-twice/x")
        played.wait(1.0)
        self.assertEqual(len(played.sent) - before, 2)

    def test_a_call_on_a_route_of_one_attempt_stays_where_it_is(self) -> None:
        played = Played()
        for _ in range(MIN_CALLS + 5):
            played.request("/look/x")
            played.wait(0.02)
            played.engine_answers()
        before = len(played.sent)
        played.request("/look/x")
        played.wait(1.0)
        self.assertEqual(len(played.sent) - before, 1)
        self.assertEqual(played.cancelled, [])

    def test_a_correction_goes_where_no_call_hung(self) -> None:
        played = self.played()
        played.request("/look-twice/x")
        hanging = played.engine_of()
        played.wait(0.1)
        other = played.engine_of()
        state = played.engines.get(other)
        assert state is not None
        state.running_elsewhere = 3
        played.request("/fix/x")
        self.assertNotEqual(hanging, other)
        self.assertEqual(played.engine_of(), other)

    def test_a_correction_is_never_moved(self) -> None:
        played = self.played()
        for _ in range(MIN_CALLS + 5):
            played.request("/fix/x")
            played.wait(0.02)
            played.engine_answers()
        before = len(played.sent)
        played.request("/fix/x")
        played.wait(1.5)
        self.assertEqual(len(played.sent) - before, 1)
        self.assertEqual(played.cancelled, [])

    def test_moves_are_bounded_by_the_retry_budget(self) -> None:
        played = self.played()
        before = len(played.sent)
        for _ in range(60):
            played.request("/look-twice/x")
            played.wait(0.01)
        played.wait(1.0)
        self.assertLess(len(played.sent) - before, 60 + 25)
