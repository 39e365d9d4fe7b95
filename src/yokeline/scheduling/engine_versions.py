"""Keeps streams at engines of the software version that began them.

The output of two versions does not fit together, and engines do not check it. A stream without an
event may begin at any version.
"""

from __future__ import annotations

from collections.abc import Collection

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

VERSION_MEMORY_SECONDS = 10.0
"""Time for which a version counts after its last engine has left a pool, and for which a node must
have known a pool before it takes the only version there for the only one of late. Longer than
callers usually wait for a stream."""


class PoolVersions:
    """Versions of the engines of one pool that one node has seen of late."""

    def __init__(self, now: float) -> None:
        """Start without a version."""
        self._known_since = now
        self._present: frozenset[str] = frozenset()
        self._left_at: dict[str, float] = {}

    def observe(self, present: Collection[str], now: float) -> None:
        """Set the versions that the pool's engines have now."""
        for version in self._present.difference(present):
            self._left_at[version] = now
        self._present = frozenset(present)
        for version in list(self._left_at):
            is_expired = now - self._left_at[version] >= VERSION_MEMORY_SECONDS
            if is_expired or version in self._present:
                del self._left_at[version]

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
        return now - self._known_since >= VERSION_MEMORY_SECONDS


class VersionRestriction:
    """Withholds streams that have begun from engines of other versions.

    Attributes:
        is_active: Whether a second version was ever seen, or a stream of a version that does not
            serve. Choices cost nothing more otherwise.
    """

    def __init__(self) -> None:
        """Start inactive."""
        self.is_active = False

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return the cause if the request's stream began at another version."""
        if query.allowed_versions is None or query.version in query.allowed_versions:
            return None
        return Ineligibility.OTHER_VERSION

    def record_send(self, engine_id: str, now: float) -> None:
        """Ignore sends: versions do not depend on them."""

    def next_change(self, now: float) -> float | None:
        """Return None: versions do not change with time."""
        return None

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        """Return all slots: new streams may use each of them."""
        return slots
