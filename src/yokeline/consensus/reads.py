"""Linearizable reads: each waits for a round that began after it came (Ongaro 2014, 6.4)."""

from __future__ import annotations


class ReadQueue:
    """Reads of one leader; those that come while a round is under way share the next one."""

    __slots__ = ("_confirming", "_round", "_waiting")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiting: list[str] = []
        self._confirming: list[str] = []
        self._round = 0

    @property
    def is_empty(self) -> bool:
        """Whether no read waits."""
        return not self._waiting and not self._confirming

    @property
    def wants_round(self) -> bool:
        """Whether reads wait and no round is under way for others."""
        return bool(self._waiting) and not self._confirming

    def add(self, token: str) -> None:
        """Add a read."""
        self._waiting.append(token)

    def start(self, round_number: int) -> None:
        """Tie the waiting reads to a round that begins now."""
        self._confirming = self._waiting
        self._waiting = []
        self._round = round_number

    def complete(self, answered_round: int) -> list[str]:
        """Return the reads that a quorum's answers up to ``answered_round`` confirm."""
        if not self._confirming or answered_round < self._round:
            return []
        tokens = self._confirming
        self._confirming = []
        return tokens

    def drain(self) -> list[str]:
        """Remove and return all reads, because they fail."""
        tokens = [*self._confirming, *self._waiting]
        self._confirming = []
        self._waiting = []
        return tokens
