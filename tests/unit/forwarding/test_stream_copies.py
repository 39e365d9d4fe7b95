"""Which events a caller has that resumes a stream, and what is held of streams."""

from __future__ import annotations

import unittest

from yokeline.forwarding.stream_copies import (
    MAX_ATTEMPTS_PER_STREAM,
    AttemptText,
    Beginning,
    StreamCopies,
    beginning_of,
    memory_of,
    merged,
)
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import StreamCopy, StreamCopyEvents, StreamEvent

SENDER = ReplicaId("edge-1~1")


def events(words: str, first: int = 1) -> list[StreamEvent]:
    """Return events whose data are letters."""
    return [
        StreamEvent(str(first + index), f"{word}\n".encode()) for index, word in enumerate(words)
    ]


def attempt(
    name: str, words: str, *, after: str = "", began: float = 0.0, last: float = 1.0
) -> AttemptText:
    return AttemptText(
        attempt=name,
        resumed_after=after,
        events=events(words),
        began_at=began,
        last_at=last,
        until=100.0,
    )


class Beginnings(unittest.TestCase):
    def words(self, event_id: str, *attempts: AttemptText) -> str | None:
        """Return the words up to an event; None if they are not known."""
        beginning = beginning_of(attempts, event_id)
        if beginning.events is None:
            return None
        return b"".join(event.data for event in beginning.events).decode().replace("\n", "")

    def test_an_earlier_event_cuts_the_text_back(self) -> None:
        self.assertEqual(self.words("2", attempt("a", "xyz")), "xy")

    def test_an_event_that_no_attempt_brought_is_unknown(self) -> None:
        self.assertEqual(beginning_of([attempt("a", "xyz")], "4"), Beginning())
        self.assertEqual(beginning_of([], "1"), Beginning())

    def test_a_later_attempt_replaces_what_came_after_the_event_it_resumed(self) -> None:
        first = attempt("a", "xyz")
        second = attempt("b", "xYZ", after="1", began=2.0, last=3.0)
        self.assertEqual(self.words("3", first, second), "xYZ")
        self.assertEqual(self.words("1", first, second), "x")

    def test_what_a_later_attempt_brought_is_not_taken_from_an_earlier_one(self) -> None:
        """Guards against words of an attempt that its caller had left before."""
        first = attempt("a", "xyz")
        second = attempt("b", "xY", after="1", began=2.0, last=3.0)
        self.assertIsNone(self.words("3", first, second))

    def test_attempts_at_the_same_time_that_differ_are_ambiguous(self) -> None:
        both = [
            attempt("b", "xY", after="1", began=2.0, last=3.0),
            attempt("c", "xZ", after="1", began=2.1, last=3.1),
        ]
        self.assertEqual(beginning_of(both, "2"), Beginning(is_ambiguous=True))
        self.assertEqual(self.words("1", *both), "x")

    def test_several_nodes_know_parts_of_an_attempt(self) -> None:
        known = merged([attempt("a", "xy", began=1.0, last=2.0), attempt("a", "x", last=1.5)])
        self.assertEqual(len(known["a"].events), 2)
        self.assertEqual((known["a"].began_at, known["a"].last_at), (0.0, 2.0))


class HeldStreams(unittest.TestCase):
    def copy(self, words: str, *, number: int = 1, stream: str = "s") -> StreamCopy:
        return StreamCopy(
            number=number,
            stream=stream,
            attempt="a",
            resumed_after="",
            seconds=10.0,
            events=tuple(events(words)),
        )

    def held(self, copies: StreamCopies, stream: str = "s") -> int:
        """Return how many events of a stream are held."""
        return sum(len(text.events) for text in copies.attempts(stream).values())

    def test_a_lost_message_leaves_what_came_before_it(self) -> None:
        copies = StreamCopies()
        copies.take(SENDER, self.copy("x"), 0.0)
        second, third = (tuple(events(word, first)) for first, word in ((2, "y"), (3, "z")))
        copies.take_events(SENDER, StreamCopyEvents(number=1, after="2", events=third), 0.1)
        self.assertEqual(self.held(copies), 1)
        copies.take_events(SENDER, StreamCopyEvents(number=1, after="1", events=second), 0.2)
        self.assertEqual(self.held(copies), 2)

    def test_copies_of_another_sender_are_not_added_to(self) -> None:
        copies = StreamCopies()
        copies.take(SENDER, self.copy("x"), 0.0)
        more = StreamCopyEvents(number=1, after="1", events=tuple(events("y", 2)))
        copies.take_events(ReplicaId("edge-2~1"), more, 0.1)
        self.assertEqual(self.held(copies), 1)

    def test_the_memory_is_counted_and_bounded(self) -> None:
        size = memory_of(events("xyz"))
        copies = StreamCopies(max_bytes=3 * size)
        for number in range(5):
            copies.take(SENDER, self.copy("xyz", number=number, stream=str(number)), 0.0)
        self.assertEqual((len(copies), copies.held_bytes), (3, 3 * size))
        copies.take(SENDER, self.copy("x", number=9, stream="4"), 0.0)
        self.assertEqual(copies.held_bytes, 2 * size + memory_of(events("x")))
        copies.expire(11.0)
        self.assertEqual((len(copies), copies.held_bytes), (0, 0))

    def test_attempts_of_one_stream_are_bounded(self) -> None:
        copies = StreamCopies()
        for number in range(MAX_ATTEMPTS_PER_STREAM + 5):
            copies.put("s", attempt(str(number), "x"))
        self.assertEqual(len(copies.attempts("s")), MAX_ATTEMPTS_PER_STREAM)

    def test_a_kept_turn_is_held_for_a_shorter_time(self) -> None:
        copies = StreamCopies()
        copies.take(SENDER, self.copy("x"), 0.0)
        copies.take_events(SENDER, StreamCopyEvents(number=1, after="1", seconds=2.0), 1.0)
        copies.expire(2.9)
        self.assertEqual(len(copies), 1)
        copies.expire(3.0)
        self.assertEqual(len(copies), 0)


if __name__ == "__main__":
    unittest.main()
