"""Cuts a streamed response body into items, as its pieces arrive.

Pure code: the network client and the simulation use it alike.
"""

from __future__ import annotations

import re
import sys
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Framing

_BLANK_LINES = re.compile(rb"\n\r?\n(?:\r?\n)*")
_BLANK_LINES_OF_RETURNS = re.compile(rb"\r\r+")
_LONGEST_BLANK_LINE_BYTES = 3
_DATA_FIELD = re.compile(rb"(?:^|[\r\n])data(?=[:\r\n])")
_LINE_FEED_OR_RETURN = re.compile(rb"\n|\r(?=[^\n])")
_ID_FIELD = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
MAX_FILLER_BYTES = 65_536
"""Bytes without an item, such as comments, that may come before the next one."""


class StreamItem(msgspec.Struct, frozen=True):
    """One server-sent event, or one line.

    Attributes:
        is_event: False for bytes behind the last event that are none, such as comments.
    """

    data: bytes
    event_id: str = ""
    is_event: bool = True


class ItemTooLargeError(Exception):
    """An item of the stream is over the limit, or too many bytes came without one."""


class _Filler:
    """Counts the bytes since the last item."""

    def __init__(self) -> None:
        self._size = 0

    def count(self, size: int, *, has_item: bool) -> None:
        """Count bytes that are no item.

        Raises:
            ItemTooLargeError: There are too many since the last item.
        """
        self._size = size if has_item else self._size + size
        if self._size > MAX_FILLER_BYTES:
            raise ItemTooLargeError(f"over {MAX_FILLER_BYTES} bytes of the stream hold no item")


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

    @property
    def held_bytes(self) -> int:
        """Bytes that are kept until an item is complete."""
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
        self._filler = _Filler()

    @property
    def unfinished_bytes(self) -> int:
        """Length of the line that has not ended."""
        return self._tail.size

    @property
    def held_bytes(self) -> int:
        """Bytes of that line."""
        return self._tail.size

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the lines that ``data`` completes."""
        if b"\n" not in data:
            self._tail.add(data)
            return []
        *lines, rest = self._tail.take(data).split(b"\n")
        self._tail.add(rest)
        items = [StreamItem(line.strip()) for line in lines if line.strip()]
        self._filler.count(0 if items else len(data), has_item=bool(items))
        return items

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return no line, or a failure if the last line has no line end."""
        size = self.unfinished_bytes
        is_blank = not self._tail.take().strip()
        return Success([]) if is_blank else Failure(IncompleteItem(size))


class RawEventReader:
    """One item per event, its bytes unchanged: from the end of the one before to its blank lines.

    Lines end with a line feed, alone or after a return, or all of them with a return alone. A block
    without data is no event, and its bytes are passed on with the next one.
    """

    def __init__(self, max_item_bytes: int) -> None:
        """Refuse events over ``max_item_bytes``."""
        self._max_item_bytes = max_item_bytes
        self._buffer = bytearray()
        self._block_start = 0
        self._searched = 0
        self._separator: re.Pattern[bytes] | None = None

    @property
    def unfinished_bytes(self) -> int:
        """Length of the event that has not ended."""
        return len(self._buffer) - self._block_start

    @property
    def held_bytes(self) -> int:
        """Memory of the bytes since the last event."""
        return sys.getsizeof(self._buffer) if self._buffer else 0

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the events that ``data`` completes."""
        before = len(self._buffer)
        self._buffer += data
        if self._separator is None:
            self._separator = _separator_of(bytes(self._buffer[max(0, before - 1) :]))
        items = self._complete(self._separator) if self._separator is not None else []
        if self._block_start > MAX_FILLER_BYTES:
            raise ItemTooLargeError(f"over {MAX_FILLER_BYTES} bytes of the stream hold no event")
        if self.unfinished_bytes > self._max_item_bytes:
            raise ItemTooLargeError(f"an event of the stream is over {self._max_item_bytes} bytes")
        return items

    def _complete(self, separator: re.Pattern[bytes]) -> list[StreamItem]:
        """Cut the complete events off the buffer; only bytes that are new are searched."""
        buffer = self._buffer
        items: list[StreamItem] = []
        item_start = 0
        start = max(self._block_start, self._searched - _LONGEST_BLANK_LINE_BYTES + 1)
        for found in separator.finditer(buffer, start):
            block = _copy(buffer, self._block_start, found.end())
            has_filler = item_start != self._block_start
            self._block_start = found.end()
            if _DATA_FIELD.search(block):
                data = _copy(buffer, item_start, found.end()) if has_filler else block
                items.append(StreamItem(data, _raw_event_id(block)))
                item_start = found.end()
            elif self._block_start - item_start > MAX_FILLER_BYTES:
                break
        del buffer[:item_start]
        self._block_start -= item_start
        self._searched = len(buffer)
        return items

    def finish(self) -> Result[list[StreamItem], IncompleteItem]:
        """Return what is no event, or a failure if the last event has no blank line."""
        size = self.unfinished_bytes
        if size and bytes(self._buffer[self._block_start :]).strip(b"\r\n"):
            return Failure(IncompleteItem(size))
        if not self._buffer:
            return Success([])
        filler = bytes(self._buffer)
        self._buffer.clear()
        self._block_start = 0
        return Success([StreamItem(filler, is_event=False)])


def _copy(buffer: bytearray, start: int, end: int) -> bytes:
    """Return a part of a buffer, copied once."""
    with memoryview(buffer) as view:
        return bytes(view[start:end])


def _separator_of(data: bytes) -> re.Pattern[bytes] | None:
    """Return what ends the events of a stream, by its first line end; None without one."""
    found = _LINE_FEED_OR_RETURN.search(data)
    if found is None:
        return None
    return _BLANK_LINES if found.group() == b"\n" else _BLANK_LINES_OF_RETURNS


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
        self._filler = _Filler()
        self._held_return = False
        self._started = False

    @property
    def unfinished_bytes(self) -> int:
        """Length of the event that has not ended."""
        return self._tail.size + self._held_return

    @property
    def held_bytes(self) -> int:
        """Bytes of that event."""
        return self.unfinished_bytes

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the events that ``data`` completes."""
        data = self._with_plain_line_ends(data)
        if b"\n" not in data:
            self._tail.add(data)
            return []
        *blocks, rest = self._tail.take(data).split(b"\n\n")
        self._tail.add(rest)
        found = [item for item in map(_event, blocks) if item is not None]
        self._filler.count(0 if found else len(data), has_item=bool(found))
        return found

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
