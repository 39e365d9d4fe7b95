"""The bound on what all arriving messages hold together."""

from __future__ import annotations

import unittest

from yokeline.node.received_bound import ReceivedBound


class Message:
    """A message that notes why it was given up."""

    def __init__(self) -> None:
        self.reasons: list[str] = []

    def give_up(self, reason: str) -> None:
        self.reasons.append(reason)


class ReceivedBounds(unittest.TestCase):
    def test_the_largest_message_is_given_up(self) -> None:
        bound = ReceivedBound(100)
        small, large = Message(), Message()
        bound.note_held(large, 60)
        bound.note_held(small, 30)
        bound.note_held(large, 80)
        self.assertEqual((len(small.reasons), len(large.reasons)), (0, 1))
        self.assertEqual(bound.held_bytes, 30)

    def test_messages_that_are_whole_do_not_count(self) -> None:
        bound = ReceivedBound(100)
        messages = [Message() for _ in range(10)]
        for message in messages:
            bound.note_held(message, 90)
            bound.note_held(message, 0)
        self.assertEqual(bound.held_bytes, 0)
        self.assertEqual(bound.given_up, 0)


if __name__ == "__main__":
    unittest.main()
