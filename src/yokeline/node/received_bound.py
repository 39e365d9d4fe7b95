"""A bound on the bytes that a node holds of all messages that are still arriving.

Each message has a limit of its own, but many at a time would use up the node's memory. The one that
holds the most is given up before they do.
"""

from __future__ import annotations

from typing import Protocol

OVER_BOUND = "the messages that are arriving hold too much together"


class Arriving(Protocol):
    """A message of which a part has arrived."""

    def give_up(self, reason: str) -> None:
        """Drop what has arrived, and end its connection."""
        ...


class ReceivedBound:
    """Gives up the largest arriving messages when all together hold too much.

    Attributes:
        held_bytes: Bytes that all messages hold.
        given_up: Messages given up so far.
    """

    def __init__(self, bound_bytes: int) -> None:
        """Let messages hold ``bound_bytes`` together."""
        self.held_bytes = 0
        self.given_up = 0
        self._bound = bound_bytes
        self._held: dict[Arriving, int] = {}

    def note_held(self, message: Arriving, size: int) -> None:
        """Note how many bytes a message holds now; 0 once it is complete or has ended."""
        self.held_bytes += size - self._held.pop(message, 0)
        if size:
            self._held[message] = size
        while self.held_bytes > self._bound and self._held:
            largest = max(self._held, key=self._held.__getitem__)
            self.held_bytes -= self._held.pop(largest)
            self.given_up += 1
            largest.give_up(OVER_BOUND)
