"""Tests of the order of requests that wait for an engine."""

from __future__ import annotations

import unittest

from yokeline.scheduling.queue_order import QueuePosition, order_key


class Order(unittest.TestCase):
    def assert_before(self, first: QueuePosition, second: QueuePosition) -> None:
        self.assertLess(order_key(first), order_key(second))

    def test_a_stream_that_broke_off_goes_first(self) -> None:
        self.assert_before(
            QueuePosition(is_interrupted=True, program_deadline=9.0), QueuePosition(has_begun=True)
        )

    def test_a_begun_program_goes_before_a_new_one(self) -> None:
        self.assert_before(QueuePosition(has_begun=True, program_deadline=9.0), QueuePosition())

    def test_a_late_one_goes_after_those_in_time(self) -> None:
        self.assert_before(
            QueuePosition(program_deadline=9.0), QueuePosition(is_late=True, has_begun=True)
        )

    def test_a_tenant_that_leaves_places_goes_after_late_ones_of_others(self) -> None:
        self.assert_before(QueuePosition(is_late=True), QueuePosition(is_held_back=True))

    def test_otherwise_the_one_that_is_over_first_goes_first(self) -> None:
        self.assert_before(QueuePosition(program_deadline=1.0), QueuePosition(program_deadline=2.0))


if __name__ == "__main__":
    unittest.main()
