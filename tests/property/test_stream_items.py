from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from yokeline.effects import Framing
from yokeline.node.stream_items import (
    MAX_FILLER_BYTES,
    ItemTooLargeError,
    StreamItem,
    item_reader,
)

LIMIT = 1000
LINE_ENDS = st.sampled_from(["\n", "\r\n", "\r"])
TEXT = st.text(alphabet=st.characters(codec="utf-8", exclude_characters="\r\n\0"), max_size=20)
EVENTS = st.lists(st.tuples(TEXT, st.lists(TEXT, min_size=1, max_size=3)), max_size=6)


def read_in_pieces(framing: Framing, body: bytes, cuts: list[int]) -> tuple[list[StreamItem], int]:
    """Return the items of a body, and the length of an item that it ends inside of."""
    reader = item_reader(framing, LIMIT)
    items: list[StreamItem] = []
    edges = [0, *sorted(cut % (len(body) + 1) for cut in cuts), len(body)]
    for begin, end in zip(edges, edges[1:], strict=False):
        items.extend(reader.feed(body[begin:end]))
    finished = reader.finish()
    if isinstance(finished, Failure):
        return items, finished.failure().received_bytes
    return items + finished.unwrap(), 0


class Items(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        EVENTS,
        LINE_ENDS,
        st.sampled_from([b"", b"data: incomplete"]),
        st.lists(st.integers(0, 2000), max_size=12),
    )
    def test_events_do_not_depend_on_line_ends_or_pieces(
        self, events: list[tuple[str, list[str]]], end: str, rest: bytes, cuts: list[int]
    ) -> None:
        lines: list[str] = []
        for event_id, data in events:
            lines += [": comment", f"id: {event_id}", *(f"data: {line}" for line in data), ""]
        body = "".join(line + end for line in lines).encode() + rest
        items, unfinished = read_in_pieces(Framing.SERVER_SENT_EVENTS, body, cuts)
        expected = [StreamItem("\n".join(data).encode(), name) for name, data in events]
        self.assertEqual(items, expected)
        self.assertEqual(unfinished, len(rest))

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.binary(max_size=300), st.lists(st.integers(0, 2000), max_size=8))
    def test_lines_do_not_depend_on_pieces(self, body: bytes, cuts: list[int]) -> None:
        items, unfinished = read_in_pieces(Framing.JSON_LINES, body, cuts)
        *lines, rest = body.split(b"\n")
        self.assertEqual(
            [item.data for item in items], [line.strip() for line in lines if line.strip()]
        )
        self.assertEqual(unfinished, len(rest) if rest.strip() else 0)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(TEXT, min_size=1, max_size=5),
        LINE_ENDS,
        st.lists(st.integers(0, 2000), max_size=12),
        st.integers(0, 2000),
    )
    def test_raw_events_keep_their_bytes_and_a_cut_one_is_told(
        self, events: list[str], end: str, cuts: list[int], length: int
    ) -> None:
        blocks = [
            f"id: {number}{end}data: {data}{end}{end}".encode()
            for number, data in enumerate(events, start=1)
        ]
        body = b"".join(blocks)
        cut = body[: length % (len(body) + 1)]
        items, unfinished = read_in_pieces(Framing.RAW_EVENTS, cut, cuts)
        whole = [item.data for item in items]
        self.assertEqual(whole, blocks[: len(whole)])
        self.assertEqual([item.event_id for item in items], [f"{n + 1}" for n in range(len(whole))])
        self.assertEqual(sum(map(len, whole)) + unfinished, len(cut))
        if len(whole) < len(blocks):
            self.assertLess(unfinished, len(blocks[len(whole)]))

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(st.sampled_from(["", ": c", "id: 9"]), min_size=1, max_size=5),
        LINE_ENDS,
        st.lists(st.integers(0, 2000), max_size=12),
    )
    def test_raw_blocks_without_data_are_no_events_and_keep_their_bytes(
        self, fillers: list[str], end: str, cuts: list[int]
    ) -> None:
        event = f"id: 1{end}data: x{end}{end}"
        filler = "".join(f"{line}{end}{end}" for line in fillers)
        body = (event + filler + event.replace("1", "2") + filler).encode()
        items, unfinished = read_in_pieces(Framing.RAW_EVENTS, body, cuts)
        events = [item for item in items if item.is_event]
        self.assertEqual(b"".join(item.data for item in items), body)
        self.assertEqual([item.event_id for item in events], ["1", "2"])
        self.assertEqual(unfinished, 0)

    def test_endless_bytes_without_an_item_are_refused(self) -> None:
        for framing, piece in (
            (Framing.RAW_EVENTS, b"\n"),
            (Framing.RAW_EVENTS, b"\r"),
            (Framing.RAW_EVENTS, b": c\n\n"),
            (Framing.RAW_EVENTS, b"id: 7\n\n"),
            (Framing.SERVER_SENT_EVENTS, b"\n"),
            (Framing.SERVER_SENT_EVENTS, b": c\n\n"),
            (Framing.JSON_LINES, b"\n"),
        ):
            with self.subTest(framing=framing, piece=piece):
                reader = item_reader(framing, LIMIT)
                with self.assertRaises(ItemTooLargeError):
                    for _ in range(3):
                        reader.feed(piece * MAX_FILLER_BYTES)

    def test_an_endless_item_is_refused(self) -> None:
        for framing in (Framing.SERVER_SENT_EVENTS, Framing.JSON_LINES, Framing.RAW_EVENTS):
            reader = item_reader(framing, LIMIT)
            with self.assertRaises(ItemTooLargeError):
                for _ in range(LIMIT + 1):
                    reader.feed(b"x")


if __name__ == "__main__":
    unittest.main()
