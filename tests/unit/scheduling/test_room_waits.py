"""Tests of which requests wait for a free slot, and for how long."""

from __future__ import annotations

import unittest

import msgspec

from yokeline.scheduling.room_waits import (
    MAX_SLACK_SHARE,
    STANDALONE_WAIT_SHARE,
    PoolRoom,
    RoomNeed,
    RoomRefusal,
    decide,
    expected_wait,
    is_hopeless,
    longest_wait,
)

FIRST = RoomNeed(
    time_left=3.0,
    own_seconds=0.2,
    target_latency=0.2,
    has_program=True,
    program_left=2.0,
    program_share=0.7,
    has_begun=False,
)
BEGUN = msgspec.structs.replace(FIRST, has_begun=True)
LATE = msgspec.structs.replace(FIRST, program_left=-0.5)
STANDALONE = msgspec.structs.replace(FIRST, has_program=False, program_left=None)
ROOM = PoolRoom(places=20, ahead=0, place_seconds=0.2, share=0.25)


class LongestWait(unittest.TestCase):
    def test_a_first_turn_bears_its_share_of_the_slack(self) -> None:
        self.assertAlmostEqual(longest_wait(FIRST), MAX_SLACK_SHARE * 2.0 * 0.3)

    def test_a_begun_program_bears_all_but_the_turn_itself(self) -> None:
        self.assertAlmostEqual(longest_wait(BEGUN), 2.8)

    def test_a_late_first_turn_bears_nothing_and_a_late_begun_one_all_its_time(self) -> None:
        self.assertEqual(longest_wait(LATE), 0.0)
        late_begun = msgspec.structs.replace(BEGUN, program_left=-0.5)
        self.assertAlmostEqual(longest_wait(late_begun), 2.8)

    def test_a_request_without_a_program_waits_for_its_share_of_the_target(self) -> None:
        self.assertAlmostEqual(longest_wait(STANDALONE), STANDALONE_WAIT_SHARE * 0.2)
        begun = msgspec.structs.replace(STANDALONE, has_begun=True)
        self.assertAlmostEqual(longest_wait(begun), 0.2)

    def test_a_stream_that_broke_off_waits_as_long_as_its_caller(self) -> None:
        broken = msgspec.structs.replace(STANDALONE, is_interrupted=True)
        self.assertAlmostEqual(longest_wait(broken), 3.0)


class Expected(unittest.TestCase):
    def test_it_follows_from_places_and_those_that_go_before(self) -> None:
        ten_before = msgspec.structs.replace(ROOM, ahead=9)
        self.assertAlmostEqual(expected_wait(ten_before), 10 * 0.2 / 20 / 0.25)

    def test_what_engines_hold_beyond_their_slots_leaves_first(self) -> None:
        beyond = msgspec.structs.replace(ROOM, excess=10)
        self.assertAlmostEqual(expected_wait(beyond) - expected_wait(ROOM), 10 * 0.2 / 20)

    def test_without_an_observation_or_a_place_it_is_not_known(self) -> None:
        self.assertEqual(expected_wait(msgspec.structs.replace(ROOM, place_seconds=None)), 0.0)
        self.assertEqual(expected_wait(msgspec.structs.replace(ROOM, places=0)), 0.0)


class Decisions(unittest.TestCase):
    def test_a_place_that_is_likely_in_time_is_waited_for(self) -> None:
        self.assertIsNone(decide(FIRST, ROOM).refusal)

    def test_a_hopeless_queue_is_refused_at_once(self) -> None:
        full = msgspec.structs.replace(ROOM, ahead=200)
        self.assertIs(decide(FIRST, full).refusal, RoomRefusal.EXPECTED_WAIT)

    def test_a_begun_program_waits_where_a_first_turn_is_refused(self) -> None:
        room = msgspec.structs.replace(ROOM, ahead=20)
        self.assertIs(decide(FIRST, room).refusal, RoomRefusal.EXPECTED_WAIT)
        self.assertIsNone(decide(BEGUN, room).refusal)

    def test_a_late_first_turn_does_not_wait(self) -> None:
        self.assertIs(decide(LATE, ROOM).refusal, RoomRefusal.EXPECTED_WAIT)

    def test_requests_without_a_program_wait_whatever_is_expected(self) -> None:
        full = msgspec.structs.replace(ROOM, ahead=200)
        self.assertIsNone(decide(STANDALONE, full).refusal)

    def test_unknown_room_is_waited_for_within_the_slack(self) -> None:
        unknown = msgspec.structs.replace(ROOM, place_seconds=None, ahead=200)
        self.assertIsNone(decide(FIRST, unknown).refusal)

    def test_a_wait_becomes_hopeless_only_far_beyond_what_is_left(self) -> None:
        self.assertFalse(is_hopeless(0.2, 0.3))
        self.assertTrue(is_hopeless(0.2, 0.5))
