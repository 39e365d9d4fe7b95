"""Attempts that callers left are found by their engine and by their request, and are bounded."""

from __future__ import annotations

import unittest

from yokeline.losses.engine_fates import Loss
from yokeline.losses.left_attempts import MAX_REMEMBERED_ATTEMPTS, LeftAttempts
from yokeline.losses.loss_keys import LossKey


def add(left: LeftAttempts, name: str, engine: str, digest: str, at: float = 0.0) -> None:
    loss = Loss(loss_id=name, engine_id=engine, instance=engine, sent_at=at, lost_at=at)
    left.add(LossKey(digest=digest, line="l", retention=60.0), loss)


class Left(unittest.TestCase):
    def setUp(self) -> None:
        self.left = LeftAttempts()
        for name, engine, digest in (("a", "e1", "r1"), ("b", "e1", "r2"), ("c", "e2", "r1")):
            add(self.left, name, engine, digest)

    def test_each_attempt_is_taken_once(self) -> None:
        self.assertEqual([item.loss.loss_id for item in self.left.take_at("e1")], ["a", "b"])
        self.assertEqual([item.loss.loss_id for item in self.left.take_of("r1")], ["c"])
        self.assertEqual((self.left.take_of("r2"), len(self.left)), ([], 0))

    def test_attempts_are_forgotten_once_they_are_over(self) -> None:
        add(self.left, "d", "e2", "r2", at=10.0)
        self.left.expire(5.0)
        self.assertEqual([item.loss.loss_id for item in self.left.take_of("r2")], ["d"])

    def test_they_are_bounded(self) -> None:
        for number in range(MAX_REMEMBERED_ATTEMPTS + 5):
            add(self.left, f"n{number}", "e3", "r3")
        self.assertEqual(len(self.left), MAX_REMEMBERED_ATTEMPTS)
        self.assertEqual(self.left.take_of("r1"), [])


if __name__ == "__main__":
    unittest.main()
