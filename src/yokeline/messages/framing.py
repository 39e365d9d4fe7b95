"""Length-prefixed frames on a byte stream, with a limit on their size."""

from __future__ import annotations

import struct
import sys

from yokeline.errors import ErrorKind, YokelineError, YokelineException

DEFAULT_FRAME_LIMIT = 16 * 1024 * 1024
"""Bytes of one payload; holds a run of the largest budget with its whole history."""

_PREFIX = struct.Struct(">I")


def encode_frame(payload: bytes, limit: int = DEFAULT_FRAME_LIMIT) -> bytes:
    """Return ``payload`` with its length (4 bytes, big endian) before it.

    Raises:
        YokelineException: The payload is over the limit.
    """
    if len(payload) > limit:
        raise YokelineException(_too_large(len(payload), limit))
    return _PREFIX.pack(len(payload)) + payload


class FrameReader:
    """Cuts a byte stream into the payloads of its frames.

    After an error the stream has no known frame boundary any more: close the connection.
    """

    def __init__(self, limit: int = DEFAULT_FRAME_LIMIT) -> None:
        """Take frames of at most ``limit`` bytes of payload."""
        self._limit = limit
        self._buffer = bytearray()

    @property
    def held_bytes(self) -> int:
        """Memory of the frame that is not whole."""
        return sys.getsizeof(self._buffer) if self._buffer else 0

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes that arrived and return the payloads that are complete now.

        Raises:
            YokelineException: A frame's length is over the limit (kind BODY_TOO_LARGE).
        """
        self._buffer += data
        payloads: list[bytes] = []
        position = 0
        while (end := self._frame_end(position)) is not None:
            with memoryview(self._buffer) as view:
                payloads.append(bytes(view[position + _PREFIX.size : end]))
            position = end
        del self._buffer[:position]
        return payloads

    def _frame_end(self, position: int) -> int | None:
        """Return where the frame at ``position`` ends, None if it is not all there yet."""
        if len(self._buffer) - position < _PREFIX.size:
            return None
        (length,) = _PREFIX.unpack_from(self._buffer, position)
        if length > self._limit:
            raise YokelineException(_too_large(length, self._limit))
        end: int = position + _PREFIX.size + length
        return end if end <= len(self._buffer) else None


def _too_large(length: int, limit: int) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BODY_TOO_LARGE,
        message=f"a frame of {length} bytes is over the limit of {limit} bytes",
        remedy="split the message, or check that the other end is a yokeline node",
    )
