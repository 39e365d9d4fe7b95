"""The priority queue with one deadline per key."""

from __future__ import annotations

import unittest

from yokeline.shards.deadlines import REBUILD_MIN_ENTRIES, DeadlineQueue


class DeadlineQueueTest(unittest.TestCase):
    def test_only_the_latest_deadline_of_each_key_is_due(self) -> None:
        queue: DeadlineQueue[str] = DeadlineQueue()
        for key, deadline in (("b", 1.0), ("a", 1.0), ("c", 2.0), ("c", 0.5), ("d", 0.2)):
            queue.set(key, deadline)
        queue.remove("d")
        self.assertEqual(0.5, queue.next())
        self.assertEqual(["c", "a", "b"], queue.take_due(1.0))
        self.assertEqual(([], None), (queue.take_due(5.0), queue.next()))

    def test_moved_and_removed_deadlines_do_not_accumulate(self) -> None:
        queue: DeadlineQueue[int] = DeadlineQueue()
        queue.set(0, 900.0)
        for key in range(1, 10 * REBUILD_MIN_ENTRIES):
            queue.set(key, 300.0 + key)
            queue.set(0, 1000.0 + key)
            queue.remove(key)
            self.assertLessEqual(len(queue), REBUILD_MIN_ENTRIES)
        self.assertEqual(queue.next(), 1000.0 + 10 * REBUILD_MIN_ENTRIES - 1)
