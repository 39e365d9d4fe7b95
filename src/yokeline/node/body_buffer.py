"""Collects a body that arrives in pieces, in blocks that go back to the system when it is dropped.

One array that grows would stay in the heap between small objects as long as it can grow in place.
"""

from __future__ import annotations

import sys

from yokeline.node.allocator import LARGE_BLOCK_BYTES, map_large_blocks
from yokeline.node.limits import KIBIBYTE

SMALL_BODY_BYTES = 64 * KIBIBYTE
"""Size up to which a body is one array."""


class BodyBuffer:
    """The bytes of a body so far."""

    __slots__ = ("_blocks", "_filled", "_size", "_small")

    def __init__(self) -> None:
        """Start empty."""
        self._small = bytearray()
        self._blocks: list[bytearray] = []
        self._filled = 0
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    @property
    def memory(self) -> int:
        """Memory that the buffer takes; 0 if it is empty."""
        if not self._size:
            return 0
        return sys.getsizeof(self._small) + LARGE_BLOCK_BYTES * len(self._blocks)

    def append(self, piece: bytes | bytearray) -> None:
        """Add a piece."""
        self._size += len(piece)
        if not self._blocks and self._size <= SMALL_BODY_BYTES:
            self._small += piece
            return
        if not self._blocks:
            map_large_blocks()
            small, self._small = self._small, bytearray()
            self._fill(small)
        self._fill(piece)

    def take(self) -> bytes:
        """Return the whole body, and be empty."""
        if self._blocks:
            self._blocks[-1] = self._blocks[-1][: self._filled]
            body = b"".join(self._blocks)
        else:
            body = bytes(self._small)
        self.clear()
        return body

    def clear(self) -> None:
        """Free what is held."""
        self._small = bytearray()
        self._blocks.clear()
        self._filled = 0
        self._size = 0

    def _fill(self, piece: bytes | bytearray) -> None:
        left = memoryview(piece)
        while left:
            if not self._blocks or self._filled == LARGE_BLOCK_BYTES:
                self._blocks.append(bytearray(LARGE_BLOCK_BYTES))
                self._filled = 0
            count = min(len(left), LARGE_BLOCK_BYTES - self._filled)
            with memoryview(self._blocks[-1]) as block:
                block[self._filled : self._filled + count] = left[:count]
            self._filled += count
            left = left[count:]
