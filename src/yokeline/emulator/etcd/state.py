"""Versioned key-value state with leases, after the data model of etcd v3.

Every change gets the next revision; the changes of one transaction share one. Past changes
are kept for watches until they are compacted.
"""

from __future__ import annotations

import bisect
import itertools
from collections import deque

import msgspec

NO_END = b""
"""Range end of a single key."""
ALL_KEYS = b"\x00"
"""Range end that means: every key from the start key on."""


class StoredKey(msgspec.Struct, frozen=True, kw_only=True):
    """A key with its value, or its tombstone (``version`` 0)."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A put or a deletion (``kv.version`` 0), at a revision."""

    revision: int
    kv: StoredKey
    previous: StoredKey | None
    at: float


class Lease(msgspec.Struct, kw_only=True):
    """A lease and the keys attached to it."""

    lease: int
    ttl: int
    expires: float
    keys: dict[bytes, None]


class KeyRange(msgspec.Struct, frozen=True):
    """Keys from ``key`` up to, without, ``end``; see :data:`NO_END` and :data:`ALL_KEYS`."""

    key: bytes
    end: bytes = NO_END

    def contains(self, key: bytes) -> bool:
        """Return whether a key is in the range."""
        if self.end == NO_END:
            return key == self.key
        return key >= self.key and (self.end == ALL_KEYS or key < self.end)


class VersionedState:
    """Keys, revisions, leases and the history of changes.

    Attributes:
        revision: Revision of the last change (1 for the empty state, as in etcd).
        compacted: Changes up to this revision are no longer kept.
        books: All changes ever made, in order, for checkers.
    """

    def __init__(self, history_limit: int) -> None:
        """Create an empty state that keeps the last ``history_limit`` changes."""
        self.revision = 1
        self.compacted = 0
        self.books: list[Change] = []
        self._history_limit = history_limit
        self._history: deque[Change] = deque()
        self._kvs: dict[bytes, StoredKey] = {}
        self._order: list[bytes] = []
        self._leases: dict[int, Lease] = {}

    # ------------------------------------------------------------ reading

    def get(self, key: bytes) -> StoredKey | None:
        """Return a key as it stands."""
        return self._kvs.get(key)

    def range(self, keys: KeyRange) -> list[StoredKey]:
        """Return the keys of a range in order."""
        if keys.end == NO_END:
            found = self._kvs.get(keys.key)
            return [found] if found else []
        start = bisect.bisect_left(self._order, keys.key)
        stop = len(self._order)
        if keys.end != ALL_KEYS:
            stop = bisect.bisect_left(self._order, keys.end)
        return [self._kvs[key] for key in self._order[start:stop]]

    def changes_since(self, revision: int) -> list[Change]:
        """Return the kept changes with at least a revision, in order."""
        newest = itertools.takewhile(
            lambda change: change.revision >= revision, reversed(self._history)
        )
        return list(newest)[::-1]

    # ------------------------------------------------------------ changing

    def put(self, key: bytes, value: bytes, *, lease: int, revision: int, now: float) -> Change:
        """Write a key at ``revision`` (see :meth:`next_revision`)."""
        previous = self._kvs.get(key)
        kv = StoredKey(
            key=key,
            value=value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=lease,
        )
        if previous is None:
            bisect.insort(self._order, key)
        self._detach(previous)
        if lease:
            self._leases[lease].keys[key] = None
        self._kvs[key] = kv
        return self._record(kv, previous, now)

    def delete(self, keys: KeyRange, *, revision: int, now: float) -> list[Change]:
        """Delete the keys of a range at ``revision``."""
        changes = []
        for previous in self.range(keys):
            del self._kvs[previous.key]
            self._order.pop(bisect.bisect_left(self._order, previous.key))
            self._detach(previous)
            tombstone = StoredKey(
                key=previous.key,
                value=b"",
                create_revision=0,
                mod_revision=revision,
                version=0,
            )
            changes.append(self._record(tombstone, previous, now))
        return changes

    def next_revision(self) -> int:
        """Return the revision that the next change gets."""
        return self.revision + 1

    def compact(self, revision: int) -> None:
        """Forget changes up to a revision; the current state stays."""
        self.compacted = max(self.compacted, revision)
        while self._history and self._history[0].revision <= self.compacted:
            self._history.popleft()

    def _detach(self, kv: StoredKey | None) -> None:
        if kv is not None and kv.lease in self._leases:
            self._leases[kv.lease].keys.pop(kv.key, None)

    def _record(self, kv: StoredKey, previous: StoredKey | None, now: float) -> Change:
        change = Change(revision=kv.mod_revision, kv=kv, previous=previous, at=now)
        self.revision = kv.mod_revision
        self.books.append(change)
        self._history.append(change)
        if len(self._history) > self._history_limit:
            self.compact(self._history[0].revision)
        return change

    # ------------------------------------------------------------ leases

    def lease(self, lease: int) -> Lease | None:
        """Return a lease that has not expired."""
        return self._leases.get(lease)

    def grant(self, lease: int, ttl: int, now: float) -> Lease:
        """Create a lease."""
        granted = Lease(lease=lease, ttl=ttl, expires=now + ttl, keys={})
        self._leases[lease] = granted
        return granted

    def keep_alive(self, lease: int, now: float) -> Lease | None:
        """Renew a lease; None if it is gone."""
        found = self._leases.get(lease)
        if found is not None:
            found.expires = now + found.ttl
        return found

    def revoke(self, lease: int, now: float) -> list[Change] | None:
        """End a lease and delete its keys; None if there is no such lease."""
        ended = self._leases.get(lease)
        if ended is None:
            return None
        revision = self.next_revision()
        changes: list[Change] = []
        for key in sorted(ended.keys):
            changes.extend(self.delete(KeyRange(key), revision=revision, now=now))
        del self._leases[lease]
        return changes

    def expired(self, now: float) -> list[int]:
        """Return the leases whose time is over, in order of expiry."""
        over = [(lease.expires, number) for number, lease in self._leases.items()]
        return [number for expires, number in sorted(over) if expires <= now]

    def next_expiry(self) -> float | None:
        """Return when the next lease expires."""
        return min((lease.expires for lease in self._leases.values()), default=None)
