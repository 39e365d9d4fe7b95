"""Properties of waits for a free slot and of retry delays."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from yokeline.scheduling.retry_delays import (
    HONOURED_SHARE,
    MAX_DELAY_SECONDS,
    RefusedCaller,
    retry_delay,
    retry_delay_after_outage,
)
from yokeline.scheduling.room_waits import PoolRoom, RoomNeed, decide, expected_wait, longest_wait

SECONDS = st.floats(0.0, 100.0)
NEEDS = st.builds(
    RoomNeed,
    time_left=st.floats(-1.0, 100.0),
    own_seconds=SECONDS,
    target_latency=SECONDS,
    has_program=st.booleans(),
    program_left=st.none() | st.floats(-100.0, 100.0),
    program_share=st.floats(0.0, 1.0),
    has_begun=st.booleans(),
    is_interrupted=st.booleans(),
)
ROOMS = st.builds(
    PoolRoom,
    places=st.integers(0, 100_000),
    ahead=st.floats(0.0, 10_000.0),
    place_seconds=st.none() | SECONDS,
    share=st.floats(0.1, 1.0),
    excess=st.integers(0, 10_000),
    error_ratio=st.floats(0.5, 4.0),
)
CALLERS = st.builds(
    RefusedCaller,
    request_id=st.integers(0, 10_000).map(str),
    has_begun=st.booleans(),
    time_left=st.floats(-1.0, 1000.0),
)
ROUNDING = 1e-9
EXAMPLES = settings(
    derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow], max_examples=200
)


class Waits(unittest.TestCase):
    @EXAMPLES
    @given(NEEDS, ROOMS)
    def test_no_wait_is_longer_than_the_request_bears(self, need: RoomNeed, room: PoolRoom) -> None:
        decision = decide(need, room)
        self.assertEqual(decision.max_wait, longest_wait(need))
        self.assertGreaterEqual(decision.max_wait, 0.0)
        self.assertLessEqual(decision.max_wait, max(0.0, need.time_left))
        is_first = need.has_program and not need.has_begun and not need.is_interrupted
        if is_first and need.program_left is not None:
            slack = need.program_left * (1.0 - need.program_share)
            self.assertLessEqual(decision.max_wait, max(0.0, slack) + ROUNDING)

    @EXAMPLES
    @given(NEEDS, ROOMS, st.floats(0.0, 10_000.0))
    def test_more_requests_before_it_make_none_wait_more_willingly(
        self, need: RoomNeed, room: PoolRoom, more: float
    ) -> None:
        fuller = msgspec.structs.replace(room, ahead=room.ahead + more)
        self.assertGreaterEqual(expected_wait(fuller), expected_wait(room))
        if decide(need, room).refusal is not None:
            self.assertIsNotNone(decide(need, fuller).refusal)

    @EXAMPLES
    @given(NEEDS, ROOMS)
    def test_a_begun_program_waits_wherever_a_first_turn_does(
        self, need: RoomNeed, room: PoolRoom
    ) -> None:
        begun = msgspec.structs.replace(need, has_begun=True)
        if need.has_program and decide(need, room).refusal is None and need.program_left:
            self.assertGreaterEqual(longest_wait(begun), longest_wait(need))
            self.assertIsNone(decide(begun, room).refusal)


class Returns(unittest.TestCase):
    @EXAMPLES
    @given(CALLERS, st.floats(0.0, 1000.0))
    def test_they_are_within_what_a_caller_honours(
        self, caller: RefusedCaller, expected: float
    ) -> None:
        honoured = max(0.0, HONOURED_SHARE * caller.time_left)
        for seconds in (retry_delay(caller, expected), retry_delay_after_outage(caller)):
            self.assertGreaterEqual(seconds, 0.0)
            self.assertLessEqual(seconds, min(MAX_DELAY_SECONDS, honoured) + ROUNDING)

    @EXAMPLES
    @given(CALLERS, st.floats(0.0, 1000.0), st.floats(0.0, 1000.0))
    def test_a_longer_queue_brings_nobody_back_sooner(
        self, caller: RefusedCaller, expected: float, more: float
    ) -> None:
        sooner, later = retry_delay(caller, expected), retry_delay(caller, expected + more)
        self.assertGreaterEqual(later + ROUNDING, sooner)
