"""Bounds the share of the loop that connections take whose bytes are costly to read.

A piece of a few kilobytes may hold thousands of chunks or events. Each connection reads small
pieces until they have shown to be cheap, and those whose pieces are not take turns, so that all of
them together leave most of the loop to the others.

Whether a piece is costly is told by the processor time that it took: on a busy machine the loop may
be kept waiting for tens of milliseconds while it handles a cheap one.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from yokeline.node.connection import READ_BYTES, Connection
from yokeline.node.deadlines import Deadline, DeadlineQueue

COSTLY_READ_SECONDS = 0.004
ITEM_SECONDS = 0.0001
"""Assumed time to handle an item that a piece has brought."""
PAUSE_FACTOR = 4.0
"""Pause after a costly read, as a multiple of its time: four fifths of the loop are left."""
MIN_READ_BYTES = 2048
FIRST_READ_BYTES = 16_384


class CostlyReads:
    """Turns of all connections whose pieces are costly."""

    def __init__(self, deadlines: DeadlineQueue) -> None:
        """Wait with ``deadlines``."""
        self._deadlines = deadlines
        self._next_at = 0.0

    def resume_later(self, seconds: float, resume: Callable[[], None]) -> Deadline:
        """Call ``resume`` once the loop has had time for others after a read of that cost."""
        self._next_at = max(self._next_at, time.monotonic()) + PAUSE_FACTOR * seconds
        return self._deadlines.call_at(self._next_at, resume)


class ReadPacer:
    """Paces the reads of one connection."""

    def __init__(self, link: Connection, costly: CostlyReads) -> None:
        """Pace ``link`` together with others."""
        self._link = link
        self._costly = costly
        self._resumption: Deadline | None = None
        self._began_at = 0.0
        self._began_work = 0.0
        link.read_bytes = FIRST_READ_BYTES

    @property
    def is_paused(self) -> bool:
        """Whether the next read waits for its turn."""
        return self._resumption is not None

    def begin_read(self) -> None:
        """Note that a piece has been read and is handled from now on."""
        self._began_at = time.monotonic()
        self._began_work = time.thread_time()

    def note_read(self, items: int = 0) -> None:
        """Note that the piece has been handled, and brought items to handle."""
        item_seconds = items * ITEM_SECONDS
        if time.thread_time() - self._began_work + item_seconds <= COSTLY_READ_SECONDS:
            self._link.read_bytes = min(READ_BYTES, 2 * self._link.read_bytes)
            return
        self._link.read_bytes = max(MIN_READ_BYTES, self._link.read_bytes // 2)
        if not self._link.closed and self._resumption is None:
            self._link.pause_reading()
            seconds = time.monotonic() - self._began_at + item_seconds
            self._resumption = self._costly.resume_later(seconds, self._resume)

    def stop(self) -> None:
        """Read without waiting, or not at all if the connection is closed."""
        if self._resumption is not None:
            self._resumption.cancel()
            self._resume()

    def _resume(self) -> None:
        self._resumption = None
        if not self._link.closed:
            self._link.resume_reading()
