"""A bound on the bytes of answers that all callers of a node together have not read yet.

The load it answers: many callers that read slowly, none of them so much that it is cut off alone.
Before they use up the node's memory, and end the answers of all others with it, the one that has
left the most unread is cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

import absl.logging

LOOK_SHARE = 0.125
"""Share of the bound that may be written between two looks at all connections: so much the bound
may be exceeded by, and a look costs nothing while callers read what they get."""


class Reader(Protocol):
    """A caller's connection."""

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the kernel has not taken yet."""

    def cut_off(self, reason: str) -> None:
        """Close the connection; its caller is gone for the service."""


class UnsentBound:
    """Cuts off the slowest readers when all together leave too much unread.

    Attributes:
        cut_off: Connections cut off so far.
    """

    def __init__(self, bound_bytes: int) -> None:
        """Let readers leave ``bound_bytes`` unread together."""
        self.cut_off = 0
        self._bound = bound_bytes
        self._written = 0

    def note_written(self, count: int, readers: Iterable[Reader]) -> None:
        """Count bytes that are about to be written to a reader, and look at all if it is time.

        Before they are written: else who is about to take them at once looks like a slow reader.
        """
        self._written += count
        if self._written < LOOK_SHARE * self._bound:
            return
        self._written = 0
        self._look(list(readers))

    def _look(self, readers: list[Reader]) -> None:
        """Cut readers off, the one that has left the most unread first, down to the bound."""
        sizes = {id(reader): reader.unsent_bytes() for reader in readers}
        unsent = sum(sizes.values())
        if unsent <= self._bound:
            return
        for reader in sorted(readers, key=lambda item: sizes[id(item)], reverse=True):
            self.cut_off += 1
            absl.logging.warning(
                {
                    "event": "slow_reader_cut_off",
                    "unsent_bytes": sizes[id(reader)],
                    "unsent_of_all": unsent,
                    "bound": self._bound,
                }
            )
            reader.cut_off("all callers together read too slowly")
            unsent -= sizes[id(reader)]
            if unsent <= self._bound:
                return
