"""Cuts a streamed response body into items, as its pieces arrive.

Pure code: the network client and the simulation use it alike.
"""

from __future__ import annotations

import re
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Framing

_AFTER_BLANK_LINE = re.compile(rb"(?<=\n\n)|(?<=\n\r\n)")
_AFTER_BLANK_LINE_OF_RETURNS = re.compile(rb"(?<=\r\r)")
_LINE_FEED_OR_RETURN = re.compile(rb"\n|\r(?=[^\n])")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class StreamItem(msgspec.Struct, frozen=True):
    """One server-sent event, or one line."""

    data: bytes
    event_id: str = ""


class ItemTooLargeError(Exception):
    """An item of the stream is over the limit."""


class IncompleteItem(msgspec.Struct, frozen=True):
    """The body ended inside an item, of which ``received_bytes`` had arrived."""

    received_bytes: int

    def __str__(self) -> str:
        """Return the reason for logs."""
        return f"the body ended inside an item, after {self.received_bytes} bytes of it"


class ItemReader(Protocol):
    """Takes pieces of a body and gives out the items that are complete."""

    @property
    def unfinished_bytes(self) -> int:
        """Length of the item that has begun and not ended."""
        ...

    def feed(self, data: bytes) -> list[StreamItem]:
        """Add a piece and return the items it completes.

        Raises:
            ItemTooLargeError: The incomplete item is over the limit.
        """
        ...

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return what is complete because the body ended in the orderly way.

        A failure means that the stream is not complete, whatever its framing says.
        """
        ...


def item_reader(framing: Framing, max_item_bytes: int) -> ItemReader:
    """Return a reader for a streamed framing."""
    if framing is Framing.SERVER_SENT_EVENTS:
        return ServerSentEventReader(max_item_bytes)
    if framing is Framing.RAW_EVENTS:
        return RawEventReader(max_item_bytes)
    return JsonLineReader(max_item_bytes)


class _Tail:
    """The bytes after the last separator, joined only when a new one shows up."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._pieces: list[bytes] = []
        self._size = 0

    @property
    def size(self) -> int:
        """Number of bytes kept."""
        return self._size

    def add(self, data: bytes) -> None:
        """Keep bytes of an incomplete item."""
        if not data:
            return
        self._pieces.append(data)
        self._size += len(data)
        if self._size > self._max_bytes:
            raise ItemTooLargeError(f"an item of the stream is over {self._max_bytes} bytes")

    def take(self, data: bytes = b"") -> bytes:
        """Return all kept bytes with ``data`` after them, and keep none."""
        if not self._pieces:
            return data
        self._pieces.append(data)
        whole = b"".join(self._pieces)
        self._pieces.clear()
        self._size = 0
        return whole


class JsonLineReader:
    """One item per line that is not blank."""

    def __init__(self, max_item_bytes: int) -> None:
        """Refuse lines over ``max_item_bytes``."""
        self._tail = _Tail(max_item_bytes)

    @property
    def unfinished_bytes(self) -> int:
        """Length of the line that has not ended."""
        return self._tail.size

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the lines that ``data`` completes."""
        if b"\n" not in data:
            self._tail.add(data)
            return []
        *lines, rest = self._tail.take(data).split(b"\n")
        self._tail.add(rest)
        return [StreamItem(line.strip()) for line in lines if line.strip()]

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return no line, or a failure if the last line has no line end."""
        size = self.unfinished_bytes
        is_blank = not self._tail.take().strip()
        return Success([]) if is_blank else Failure(IncompleteItem(size))


class RawEventReader:
    """One item per block up to a blank line, its bytes unchanged (the blank line included).

    Lines end with a line feed, alone or after a return, or all of them with a return alone.
    """

    def __init__(self, max_item_bytes: int) -> None:
        """Refuse events over ``max_item_bytes``."""
        self._tail = _Tail(max_item_bytes)
        self._separator: re.Pattern[bytes] | None = None

    @property
    def unfinished_bytes(self) -> int:
        """Length of the event that has not ended."""
        return self._tail.size

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the events that ``data`` completes."""
        data = self._tail.take(data)
        if self._separator is None:
            self._separator = _separator_of(data)
        *blocks, rest = self._separator.split(data) if self._separator is not None else [data]
        self._tail.add(rest)
        return [StreamItem(block, _raw_event_id(block)) for block in blocks]

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return no event, or a failure if the last event has no blank line."""
        size = self.unfinished_bytes
        return Failure(IncompleteItem(size)) if size else Success([])


def _separator_of(data: bytes) -> re.Pattern[bytes] | None:
    """Return what ends the events of a stream, by its first line end; None without one."""
    found = _LINE_FEED_OR_RETURN.search(data)
    if found is None:
        return None
    return _AFTER_BLANK_LINE if found.group() == b"\n" else _AFTER_BLANK_LINE_OF_RETURNS


def _raw_event_id(block: bytes) -> str:
    """Return the id field of a raw event; empty if it has none."""
    found = _ID_FIELD.search(block)
    return found.group(1).decode("utf-8", errors="replace") if found else ""


class ServerSentEventReader:
    """One item per event with data (WHATWG HTML, section 9.2, server-sent events).

    ``event_id`` is the id field of that very event, not the last one of the stream. An
    event that is incomplete when the body ends is not given out, as the standard says.
    """

    def __init__(self, max_item_bytes: int) -> None:
        """Refuse events over ``max_item_bytes``."""
        self._tail = _Tail(max_item_bytes)
        self._held_return = False
        self._started = False

    @property
    def unfinished_bytes(self) -> int:
        """Length of the event that has not ended."""
        return self._tail.size + self._held_return

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the events that ``data`` completes."""
        data = self._with_plain_line_ends(data)
        if b"\n" not in data:
            self._tail.add(data)
            return []
        *blocks, rest = self._tail.take(data).split(b"\n\n")
        self._tail.add(rest)
        items = (_event(block) for block in blocks)
        return [item for item in items if item is not None]

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return the event whose blank line is a return that waited for a line feed."""
        items: list[StreamItem] = []
        if self._held_return:
            self._held_return = False
            items = self.feed(b"\n")
        size = self.unfinished_bytes
        return Failure(IncompleteItem(size)) if size else Success(items)

    def _with_plain_line_ends(self, data: bytes) -> bytes:
        """Turn all three kinds of line end into a line feed, also across pieces."""
        if self._held_return:
            data = b"\r" + data
            self._held_return = False
        if not self._started and data:
            self._started = True
            data = data.removeprefix(_BYTE_ORDER_MARK)
        if b"\r" not in data:
            return data
        if data.endswith(b"\r"):
            self._held_return = True
            data = data[:-1]
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _event(block: bytes) -> StreamItem | None:
    """Return the event that a block of lines is; None if it has no data."""
    data: list[bytes] = []
    event_id = ""
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        if value.startswith(b" "):
            value = value[1:]
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value.decode("utf-8", errors="replace")
    if not data:
        return None
    return StreamItem(b"\n".join(data), event_id)
