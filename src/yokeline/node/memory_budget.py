"""One bound on the memory that all buffers of a process take together.

Each buffer has a limit of its own, but many at a time would use up the memory of the machine. Sizes
are asked for and not kept: whatever way a buffer goes, it no longer counts. Asking costs time: it
is done once the buffers may have grown by half of what was free.
"""

from __future__ import annotations

import enum
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

import absl.logging

from yokeline.node.allocator import return_free_memory
from yokeline.node.limits import KIBIBYTE

OVER_BUDGET = "the buffers of this node are full"
STALLED_SECONDS = 1.0
"""Time without progress after which a buffer gives way before those that move."""
SMALL_REQUEST_BYTES = 64 * KIBIBYTE
LARGE_REQUESTS_SHARE = 0.75
"""Share that requests may fill before larger ones than :data:`SMALL_REQUEST_BYTES` are refused."""
_MIN_GROWTH_SHARE = 1 / 64
RETURN_SHARE = 1 / 8
"""Share of the bound by which what is held has to fall before free memory is given back."""
RETURN_PAUSE_SECONDS = 0.5
_LOG_SECONDS = 1.0


class BufferKind(enum.Enum):
    """What a buffer holds."""

    REQUEST = "request"
    """A part of a request that is still arriving; it has been sent nowhere."""
    PIPELINED = "pipelined"
    """Requests that were sent before the answer to the one under way."""
    ANSWER = "answer"
    """Bytes of answers that a caller has not taken."""
    RESPONSE = "response"
    """A part of a response of a back end that is still arriving."""
    FRAME = "frame"
    """Messages from or to another node."""
    CACHE = "cache"
    """What the service can obtain again."""


class Buffer(NamedTuple):
    """A buffer that can be freed.

    Attributes:
        kind: What it holds.
        size: Bytes of memory that it takes.
        moved_at: When its other end last made progress (monotonic seconds).
        give_way: Frees it, with the reason for the log; its other end may try again.
    """

    kind: BufferKind
    size: int
    moved_at: float
    give_way: Callable[[str], None]


class BufferSource(Protocol):
    """Owns buffers."""

    def fixed_bytes(self) -> int:
        """Return the memory that is taken and cannot be freed before its work is done."""
        ...

    def buffers(self) -> Iterable[Buffer]:
        """Return the buffers that can be freed."""
        ...


class MemoryBudget:
    """Frees buffers when all together take too much, and says what may still be accepted.

    Attributes:
        total_bytes: Memory that all buffers may take.
        held_bytes: Memory that they took at the latest look.
        freed: Buffers that were freed, by kind.
        refused_requests: Whole requests, or heads of large ones, for which there was no room.
    """

    def __init__(
        self,
        total_bytes: int,
        bytes_by_kind: Mapping[BufferKind, int] | None = None,
        return_memory: Callable[[], None] = return_free_memory,
    ) -> None:
        """Let all buffers take ``total_bytes``, and those of some kinds so much of it.

        ``return_memory`` is called when much less is held than before.
        """
        self._return_memory = return_memory
        self._highest = 0
        self._next_return = float("-inf")
        self.total_bytes = total_bytes
        self._bytes_by_kind = dict(bytes_by_kind or {})
        self._free_of_kinds = min(self._bytes_by_kind.values(), default=total_bytes)
        self.held_bytes = 0
        self.freed: Counter[BufferKind] = Counter()
        self.refused_requests = 0
        self._sources: list[BufferSource] = []
        self._fixed_bytes = 0
        self._growth = 0
        self._look_after = self._growth_until_look()

    def add_source(self, source: BufferSource) -> None:
        """Count what ``source`` holds from now on."""
        self._sources.append(source)

    def note_growth(self, size: int) -> None:
        """Note that buffers may have grown by some bytes."""
        self._growth += size
        if self._growth >= self._look_after:
            self.look()

    def admits(self, size: int) -> bool:
        """Return whether there is room for a request that is counted as fixed already."""
        self.note_growth(size)
        if size <= SMALL_REQUEST_BYTES:
            return self._fixed_bytes + self._growth <= self.total_bytes or self._fits(1.0)
        return self._fits(LARGE_REQUESTS_SHARE)

    def has_room_for(self, size: int) -> bool:
        """Return whether a request of that size could be accepted now."""
        if size <= SMALL_REQUEST_BYTES:
            return True
        self.look()
        return self._fixed_bytes + size <= LARGE_REQUESTS_SHARE * self.total_bytes

    def note_refused(self, size: int) -> None:
        """Count and log a request that was refused for want of room."""
        self.refused_requests += 1
        absl.logging.log_every_n_seconds(
            absl.logging.WARNING,
            {
                "event": "request_refused_for_memory",
                "bytes": size,
                "fixed": self._fixed_bytes,
                "held": self.held_bytes,
                "bound": self.total_bytes,
                "refused": self.refused_requests,
            },
            _LOG_SECONDS,
        )

    def look(self) -> None:
        """Ask for all sizes, and free buffers while they are beyond the bound."""
        self._fixed_bytes = sum(source.fixed_bytes() for source in self._sources)
        buffers = [buffer for source in self._sources for buffer in source.buffers()]
        self.held_bytes = self._fixed_bytes + sum(buffer.size for buffer in buffers)
        self._growth = 0
        self._highest = max(self._highest, self.held_bytes)
        self._free_of_kinds = self.total_bytes
        for kind, bound in self._bytes_by_kind.items():
            of_kind = [buffer for buffer in buffers if buffer.kind is kind]
            buffers = [buffer for buffer in buffers if buffer.kind is not kind]
            kept = self._free(of_kind, sum(buffer.size for buffer in of_kind), bound)
            buffers += kept
            free = bound - sum(buffer.size for buffer in kept)
            self._free_of_kinds = min(self._free_of_kinds, free)
        self._free(buffers, self.held_bytes, self.total_bytes)
        self._return_freed()
        self._look_after = self._growth_until_look()

    def _return_freed(self) -> None:
        """Give free memory back once much less is held than at the highest."""
        if self._highest - self.held_bytes < RETURN_SHARE * self.total_bytes:
            return
        now = time.monotonic()
        if now >= self._next_return:
            self._next_return = now + RETURN_PAUSE_SECONDS
            self._highest = self.held_bytes
            self._return_memory()

    def _fits(self, share: float) -> bool:
        self.look()
        return self._fixed_bytes <= share * self.total_bytes

    def _growth_until_look(self) -> int:
        free = min(self.total_bytes - self.held_bytes, self._free_of_kinds)
        return max(free // 2, int(_MIN_GROWTH_SHARE * self.total_bytes))

    def _free(self, buffers: list[Buffer], held: int, bound: int) -> list[Buffer]:
        """Free buffers, in the order of :func:`_order`, while more than ``bound`` is held.

        Return those that are kept.
        """
        if held <= bound:
            return buffers
        stalled_before = time.monotonic() - STALLED_SECONDS
        before = held
        ordered = sorted(buffers, key=lambda item: _order(item, stalled_before))
        for number, buffer in enumerate(ordered):
            if held <= bound:
                return ordered[number:]
            held -= buffer.size
            self.held_bytes -= buffer.size
            self.freed[buffer.kind] += 1
            absl.logging.log_every_n_seconds(
                absl.logging.WARNING,
                {
                    "event": "buffer_freed",
                    "kind": buffer.kind.value,
                    "bytes": buffer.size,
                    "is_stalled": buffer.moved_at < stalled_before,
                    "held": before,
                    "bound": bound,
                    "freed": self.freed[buffer.kind],
                },
                _LOG_SECONDS,
            )
            buffer.give_way(OVER_BUDGET)
        return []


def _order(buffer: Buffer, stalled_before: float) -> tuple[int, int]:
    """Return the place of a buffer among those that give way.

    Caches go first, then what has stalled, and requests before answers, since a request that was
    sent nowhere can be repeated. Messages of other nodes go last. Among equals the largest goes
    first.
    """
    is_stalled = buffer.moved_at < stalled_before
    if buffer.kind is BufferKind.CACHE:
        rank = -1
    elif buffer.kind is BufferKind.REQUEST:
        rank = 0 if is_stalled else 2
    elif buffer.kind is BufferKind.FRAME:
        rank = 4
    elif buffer.kind is BufferKind.RESPONSE:
        rank = 3
    else:
        rank = 1 if is_stalled else 3
    return rank, -buffer.size
