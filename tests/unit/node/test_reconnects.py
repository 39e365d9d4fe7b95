from __future__ import annotations

import random
import unittest

from yokeline.node.limits import PeerLimits
from yokeline.node.reconnects import JITTER, ReconnectSchedule

LIMITS = PeerLimits(connect_seconds=0.5, max_backoff_seconds=0.3, prompt_seconds=1.5)


class Reconnects(unittest.TestCase):
    def failed_attempts(self, limits: PeerLimits, until: float) -> list[tuple[float, float]]:
        """Return the time and the pause of refused attempts to a peer that is down."""
        schedule = ReconnectSchedule(limits, random.Random(1))
        now = 0.0
        attempts: list[tuple[float, float]] = []
        while now < until:
            schedule.begin_attempt(now)
            pause = schedule.attempt_failed(now)
            attempts.append((now, pause))
            now += pause
        return attempts

    def test_a_peer_that_returns_within_a_second_is_reached_soon(self) -> None:
        """With pauses of up to 0.3 s a restarted storage node was reached that much later."""
        pauses = [pause for at, pause in self.failed_attempts(LIMITS, 4.0) if at < 1.5]
        self.assertLessEqual(max(pauses), LIMITS.max_prompt_backoff_seconds)
        before = PeerLimits(max_backoff_seconds=0.3)
        self.assertGreater(max(pause for _, pause in self.failed_attempts(before, 1.5)), 0.2)

    def test_a_peer_that_stays_away_is_tried_less_often(self) -> None:
        late = [pause for at, pause in self.failed_attempts(LIMITS, 30.0) if at > 2.0]
        self.assertGreaterEqual(min(late), (1.0 - JITTER) * LIMITS.max_backoff_seconds)

    def test_a_machine_without_power_is_not_waited_for(self) -> None:
        """It answers no request to connect, and the kernel repeats one after a second only."""
        schedule = ReconnectSchedule(LIMITS, random.Random(1))
        self.assertEqual(schedule.begin_attempt(0.0), LIMITS.prompt_connect_seconds)
        schedule.attempt_failed(0.1)
        self.assertEqual(schedule.begin_attempt(0.3), LIMITS.prompt_connect_seconds)
        self.assertEqual(schedule.begin_attempt(1.8), LIMITS.connect_seconds)

    def test_a_path_that_is_longer_than_the_prompt_timeout_is_used(self) -> None:
        """The timeout must not assume that all nodes are in one region."""
        schedule = ReconnectSchedule(LIMITS, random.Random(1))
        timeout = schedule.begin_attempt(0.0)
        schedule.attempt_failed(timeout)
        self.assertEqual(schedule.begin_attempt(0.3), 2.0 * timeout)

    def test_a_connection_that_ends_begins_anew(self) -> None:
        schedule = ReconnectSchedule(LIMITS, random.Random(1))
        for now in range(20):
            schedule.attempt_failed(float(now))
        schedule.connected()
        self.assertLessEqual(schedule.attempt_failed(20.0), LIMITS.backoff_seconds)

    def test_a_connection_that_ends_is_no_attempt_that_timed_out(self) -> None:
        """The first attempt after it waited twice as long for a machine without power."""
        schedule = ReconnectSchedule(LIMITS, random.Random(1))
        schedule.begin_attempt(0.0)
        schedule.connected()
        schedule.attempt_failed(60.0)
        self.assertEqual(schedule.begin_attempt(60.1), LIMITS.prompt_connect_seconds)

    def test_a_peer_that_can_only_send_is_not_tried_with_each_message(self) -> None:
        schedule = ReconnectSchedule(LIMITS, random.Random(1))
        schedule.begin_attempt(1.0)
        self.assertFalse(schedule.may_attempt_early(1.01))
        self.assertTrue(schedule.may_attempt_early(1.03))


if __name__ == "__main__":
    unittest.main()
