"""A streamed response reads the same however its bytes are cut into reads."""

from __future__ import annotations

import unittest
from typing import Any, cast

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.effects import Address, Event, Framing, HttpRequest, HttpStreamEnded
from yokeline.identifiers import RequestId
from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.http_call import HttpCall
from yokeline.node.limits import ClientLimits

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
TEXTS = ("x", "two words", "1a", "5\r\nhello\r\n", "0\r\n\r\n")
ITEM_BYTES = 64


class Link:
    bytes_sent = 0

    def write(self, data: bytes) -> None:
        self.bytes_sent += len(data)


class Connection:
    def __init__(self) -> None:
        self.codec = h11.Connection(h11.CLIENT)
        self.link = Link()
        self.used_before = False
        self.items_read = 0
        self.user: object = None


class Pool:
    def __init__(self) -> None:
        self.connection = Connection()

    def has_room(self, address: Address) -> bool:
        return True

    def connect(self, address: Address) -> Connection:
        return self.connection

    def give_back(self, connection: Connection) -> None:
        assert connection.codec.their_state is h11.DONE

    def discard(self, connection: Connection) -> None:
        connection.user = None


class Owner:
    def __init__(self) -> None:
        self.events: list[Event] = []
        self.ended = False

    def submit(self, event: Event) -> None:
        self.events.append(event)

    def note_received(self, size: int) -> None:
        """Take any number of bytes."""

    def call_ended(self, call: HttpCall) -> None:
        self.ended = True


def events_of(reads: list[bytes]) -> list[Event]:
    owner = Owner()
    request = HttpRequest(
        request=RequestId("r"),
        address=Address("127.0.0.1", 1),
        method="POST",
        path="/",
        framing=Framing.SERVER_SENT_EVENTS,
    )
    limits = ClientLimits(max_item_bytes=ITEM_BYTES)
    call = HttpCall(request, owner, cast(Any, Pool()), DeadlineQueue(), limits)
    call.begin()
    call.connection_made()
    for read in reads:
        if not owner.ended:
            call.data_received(read)
    return owner.events


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({place for place in places if place < len(data)} | {len(data)})
    starts = [0, *ends[:-1]]
    return [data[start:end] for start, end in zip(starts, ends, strict=True) if end > start]


PIECES = st.one_of(
    st.sampled_from(TEXTS).map(lambda text: chunk(f"data: {text}\n\n".encode())),
    st.sampled_from((b"da", b"ta: y\n\n", b"1a", b"1a\r\n")).map(chunk),
    st.sampled_from((b"3;name=value\r\nabc\r\n", b"z\r\n", b"3\r\nabcd", b"\r\n", b"00\r\n\r\n")),
    st.just(chunk(b"x" * (ITEM_BYTES + 1))),
)


class ChunkedStreams(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(PIECES, max_size=8), st.lists(st.integers(1, 400), max_size=12), st.booleans())
    def test_items_and_end_do_not_depend_on_the_reads(
        self, pieces: list[bytes], places: list[int], by_piece: bool
    ) -> None:
        body = [*pieces, b"0\r\n\r\n"]
        whole = HEAD + b"".join(body)
        reads = [HEAD, *body] if by_piece else cut(whole, places)
        byte_by_byte = [whole[place : place + 1] for place in range(len(whole))]
        self.assertEqual(
            _without_reasons(events_of(reads)), _without_reasons(events_of(byte_by_byte))
        )

    def test_a_stream_of_whole_chunks_ends_in_the_orderly_way(self) -> None:
        reads = [HEAD, *(chunk(b"data: %d\n\n" % number) for number in range(5)), b"0\r\n\r\n"]
        events = events_of(reads)
        self.assertEqual([event.data for event in events[1:-1]], [b"0", b"1", b"2", b"3", b"4"])  # type: ignore[union-attr]
        self.assertIsInstance(events[-1], HttpStreamEnded)

    def test_content_that_looks_like_chunks_stays_content(self) -> None:
        # The second read ends after a size line; the third is the content of that chunk.
        inner = chunk(b"data: no\n\n")
        event = b"data: a\ndata: " + inner
        start, rest = event[: -len(inner)], inner
        size_line = f"{len(rest):x}\r\n".encode()
        body = [chunk(start), size_line, rest, b"\r\n", b"0\r\n\r\n"]
        reads = [HEAD, body[0] + body[1], *body[2:]]
        whole = [HEAD + b"".join(body)]
        self.assertEqual(_without_reasons(events_of(reads)), _without_reasons(events_of(whole)))


def _without_reasons(events: list[Event]) -> list[object]:
    """Return events in a form that leaves out the wording of failures."""
    return [getattr(event, "data", type(event).__name__) for event in events]


if __name__ == "__main__":
    unittest.main()
