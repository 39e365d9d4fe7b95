"""The replicated log: entries after a compacted base, and the configurations in them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokeline.consensus.messages import EntryKind, LogEntry
from yokeline.identifiers import ReplicaId

ENTRY_OVERHEAD_BYTES = 32
"""Estimated size of an entry in a message besides its command."""

MEMBER_BYTES = 32
"""Estimated size of a member id in a message."""


class Configuration(msgspec.Struct, frozen=True):
    """The members from the entry at ``index`` on."""

    index: int
    members: tuple[ReplicaId, ...]


def entry_bytes(entry: LogEntry) -> int:
    """Return the estimated size of an entry in a message."""
    return ENTRY_OVERHEAD_BYTES + len(entry.command) + MEMBER_BYTES * len(entry.members)


class RaftLog:
    """Entries ``base_index + 1 .. last_index``; what comes before is in a snapshot.

    A configuration takes effect as soon as its entry is in the log (Ongaro 2014, 4.1), so
    the log keeps the configurations that its entries hold.
    """

    __slots__ = ("_configurations", "_entries", "_unsaved_from", "base_index", "base_term")

    def __init__(
        self,
        *,
        base_index: int = 0,
        base_term: int = 0,
        members: tuple[ReplicaId, ...] = (),
        entries: Iterable[LogEntry] = (),
    ) -> None:
        """Create a log with the configuration ``members`` at its base."""
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[LogEntry] = []
        self._configurations = [Configuration(base_index, members)]
        self._unsaved_from: int | None = None
        for entry in entries:
            if entry.index == self.last_index + 1:
                self.append(entry)
        self._unsaved_from = None

    def take_unsaved(self) -> tuple[LogEntry, ...]:
        """Return the entries from the first one added since the last call on, in order.

        On disk they replace all entries from the first one's index on.
        """
        first = self._unsaved_from
        self._unsaved_from = None
        if first is None or first > self.last_index:
            return ()
        return self.between(max(first, self.first_index), self.last_index)

    @property
    def first_index(self) -> int:
        """Index of the first entry that is still there (or would be the first)."""
        return self.base_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry; the base if there is none."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.base_term

    @property
    def configuration(self) -> Configuration:
        """The configuration in force: the last one in the log, committed or not."""
        return self._configurations[-1]

    @property
    def previous_members(self) -> tuple[ReplicaId, ...]:
        """The members before the last change that is still in the log; empty if unknown."""
        if len(self._configurations) == 1:
            return ()
        return self._configurations[-2].members

    def members_at(self, index: int) -> tuple[ReplicaId, ...]:
        """Return the members in force at ``index``; empty if they are not known."""
        for configuration in reversed(self._configurations):
            if configuration.index <= index:
                return configuration.members
        return ()

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``; None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def between(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries ``first .. last``, both included."""
        start = first - self.base_index - 1
        return tuple(self._entries[start : last - self.base_index])

    def batch(self, first: int, limit_bytes: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on up to a size, but one at least (if there is one)."""
        start = first - self.base_index - 1
        stop = start
        size = 0
        while stop < len(self._entries):
            size += entry_bytes(self._entries[stop])
            if size > limit_bytes and stop > start:
                break
            stop += 1
        return tuple(self._entries[start:stop])

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a log that ends so holds at least what this one does."""
        return (last_term, last_index) >= (self.last_term, self.last_index)

    def append(self, entry: LogEntry) -> None:
        """Append the next entry."""
        self._entries.append(entry)
        if self._unsaved_from is None or entry.index < self._unsaved_from:
            self._unsaved_from = entry.index
        if entry.kind is EntryKind.MEMBERSHIP:
            self._configurations.append(Configuration(entry.index, entry.members))

    def merge(self, entries: tuple[LogEntry, ...]) -> None:
        """Take a leader's entries in; the first that conflicts removes all from it on."""
        for entry in entries:
            if entry.index <= self.base_index:
                continue
            if entry.index <= self.last_index:
                if self.term_at(entry.index) == entry.term:
                    continue
                self._truncate(entry.index)
            self.append(entry)

    def first_conflict(self, entries: tuple[LogEntry, ...]) -> int | None:
        """Return the index of the first entry whose term differs here; None if none does."""
        for entry in entries:
            term = self.term_at(entry.index)
            if term is not None and term != entry.term:
                return entry.index
        return None

    def _truncate(self, index: int) -> None:
        del self._entries[index - self.base_index - 1 :]
        while len(self._configurations) > 1 and self._configurations[-1].index >= index:
            self._configurations.pop()

    def retry_hint(self, previous_index: int, committed: int) -> int:
        """Return where a leader should try after a mismatch at ``previous_index``.

        That is the last entry here if the log is too short, otherwise the last entry before
        the conflicting term (Ongaro 2014, 3.5 "back up by term"). The committed prefix
        always matches.
        """
        if previous_index > self.last_index:
            return max(self.last_index, committed)
        conflicting = self.term_at(previous_index)
        hint = previous_index - 1
        while hint > committed and self.term_at(hint) == conflicting:
            hint -= 1
        return max(hint, committed)

    def compact(self, index: int) -> None:
        """Drop the entries up to ``index``, which becomes the base."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        members = self.members_at(index)
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term
        later = [item for item in self._configurations if item.index > index]
        self._configurations = [Configuration(index, members), *later]

    def reset(self, index: int, term: int, members: tuple[ReplicaId, ...]) -> None:
        """Start at a snapshot's end; keeps the entries after it if they follow from it."""
        if self.term_at(index) == term:
            self.compact(index)
            self._configurations[0] = Configuration(index, members)
            return
        self.base_index = index
        self.base_term = term
        self._entries = []
        self._configurations = [Configuration(index, members)]
