"""Tests of the retry delays of refused callers."""

from __future__ import annotations

import unittest

from yokeline.scheduling.retry_delays import (
    BEGUN_MIN_DELAY_SECONDS,
    MAX_DELAY_SECONDS,
    MIN_DELAY_SECONDS,
    RefusedCaller,
    retry_delay,
    retry_delay_after_outage,
)


def callers(*, has_begun: bool, time_left: float = 3.0) -> list[RefusedCaller]:
    return [
        RefusedCaller(request_id=f"request-{number}", has_begun=has_begun, time_left=time_left)
        for number in range(400)
    ]


def largest_cluster(times: list[float], window: float = 0.05) -> float:
    """Return the greatest fraction of the callers that return within one window."""
    largest = max(sum(start <= time < start + window for time in times) for start in times)
    return largest / len(times)


class Returns(unittest.TestCase):
    def test_they_follow_the_queue(self) -> None:
        for caller in callers(has_begun=False)[:20]:
            self.assertGreaterEqual(retry_delay(caller, 0.5), 0.5)
            self.assertGreaterEqual(retry_delay(caller, 0.0), MIN_DELAY_SECONDS)
            self.assertLessEqual(retry_delay(caller, 100.0), 1.0)

    def test_they_are_never_beyond_the_greatest_time(self) -> None:
        for caller in callers(has_begun=False, time_left=60.0):
            self.assertLessEqual(retry_delay(caller, 100.0), MAX_DELAY_SECONDS)

    def test_callers_that_were_refused_together_do_not_return_together(self) -> None:
        for expected in (0.0, 0.3, 5.0):
            times = [retry_delay(item, expected) for item in callers(has_begun=False)]
            self.assertLess(largest_cluster(times), 0.4)

    def test_begun_programs_return_sooner(self) -> None:
        begun = [retry_delay(item, 0.0) for item in callers(has_begun=True)]
        first = [retry_delay(item, 0.0) for item in callers(has_begun=False)]
        self.assertGreaterEqual(min(begun), BEGUN_MIN_DELAY_SECONDS)
        self.assertLessEqual(max(begun), min(first))

    def test_the_same_request_gets_the_same_time(self) -> None:
        caller = callers(has_begun=False)[0]
        self.assertEqual(retry_delay(caller, 0.3), retry_delay(caller, 0.3))

    def test_after_an_outage_they_are_spread_too(self) -> None:
        first = [retry_delay_after_outage(item) for item in callers(has_begun=False)]
        begun = [retry_delay_after_outage(item) for item in callers(has_begun=True)]
        self.assertLess(largest_cluster(first), 0.2)
        self.assertLess(sum(begun) / len(begun), min(first) + 0.05)

    def test_with_little_time_left_begun_programs_still_return_first(self) -> None:
        """Both kinds were told the same times once a third of their time was below 0.3 s."""
        for time_left in (0.3, 0.9, 1.5):

            def told(has_begun: bool, left: float = time_left) -> list[float]:
                return [
                    retry_delay_after_outage(
                        RefusedCaller(request_id=f"r{number}", has_begun=has_begun, time_left=left)
                    )
                    for number in range(50)
                ]

            first, begun = told(False), told(True)
            self.assertLess(sum(begun) / len(begun), min(first) + 0.05 * time_left)
            self.assertLessEqual(max(first), time_left / 3)
