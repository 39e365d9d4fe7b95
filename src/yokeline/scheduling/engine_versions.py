"""Software versions of a pool's engines.

The output of two versions does not fit together, and engines do not check it, so a stream goes on
only at the version that began it.
"""

from __future__ import annotations

from collections.abc import Collection

MIN_VERSION_MEMORY_SECONDS = 10.0
"""Least time for which a version counts after its last engine has left a pool."""


class PoolVersions:
    """Versions of the engines of one pool that a node has seen of late, or was told of.

    Attributes:
        memory_seconds: Time for which a version counts after its last engine has left: at least as
            long as a stream of the pool can be resumed.
    """

    def __init__(self, now: float) -> None:
        """Start without a version."""
        self.memory_seconds = MIN_VERSION_MEMORY_SECONDS
        self._known_since = now
        self._present: frozenset[str] = frozenset()
        self._left_at: dict[str, float] = {}

    def observe(self, present: Collection[str], now: float, *, is_current: bool = True) -> set[str]:
        """Set the versions that the pool's engines have now; return those that count no longer.

        While the view is not current, a version that is absent may have come unnoticed.
        """
        for version in self._present.difference(present):
            self._left_at[version] = now
        self._present = frozenset(present)
        gone: set[str] = set()
        for version in list(self._left_at):
            is_expired = is_current and now - self._left_at[version] >= self.memory_seconds
            if version in self._present:
                del self._left_at[version]
            elif is_expired:
                del self._left_at[version]
                gone.add(version)
        return gone

    def note_recorded(self, versions: Collection[str], now: float) -> None:
        """Count versions that were recorded by other nodes, as if they had just left."""
        for version in versions:
            if version not in self._present:
                self._left_at.setdefault(version, now)

    @property
    def present(self) -> frozenset[str]:
        """The versions of the pool's engines."""
        return self._present

    @property
    def are_several(self) -> bool:
        """Whether engines of several versions serve, or did within the memory."""
        return len(self._present | self._left_at.keys()) > 1

    @property
    def sole(self) -> str | None:
        """The only version of late; None if there are several, or none."""
        known = self._present | self._left_at.keys()
        return next(iter(known)) if len(known) == 1 else None

    def is_settled(self, now: float) -> bool:
        """Return whether this node has known the pool for as long as its memory lasts."""
        return now - self._known_since >= self.memory_seconds
