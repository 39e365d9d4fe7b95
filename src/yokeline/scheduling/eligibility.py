"""Whether a request may be sent to an engine now, apart from the engine's load and cost.

Each restriction answers one failure: an evacuated zone must get no new work, a cold engine fails
above a rate, and a request may be bound to regions. Every choice of an engine asks the policy of
its node, so that retries and queued requests obey the same restrictions as first sends.
"""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec


class Ineligibility(enum.Enum):
    """Why a request may not be sent to an engine now."""

    ZONE_EVACUATED = "zone_evacuated"
    """The operator has ordered that the engine's zone get no further requests."""
    COLD_RATE = "cold_rate"
    """The engine is cold, and this node's share of its rate is used up."""
    COLD_WITHOUT_SHARE = "cold_without_share"
    """The engine is cold, and this node has no share of its rate in the near future."""
    REGION_NOT_ALLOWED = "region_not_allowed"
    """The route or the tenant is bound to other regions."""
    OTHER_VERSION = "other_version"
    """The stream was begun by an engine of another software version."""
    VERSION_UNRECORDED = "version_unrecorded"
    """The ledger has not recorded yet that the pool has engines of the version."""

    @property
    def is_temporary(self) -> bool:
        """Whether the request may become eligible while it waits in a queue."""
        return self in (Ineligibility.COLD_RATE, Ineligibility.VERSION_UNRECORDED)


class EngineQuery(msgspec.Struct, frozen=True, kw_only=True):
    """A request and an engine to which it might be sent.

    Attributes:
        engine_id: Id of the engine's incarnation.
        zone: Zone of the engine.
        session: Session of the request; empty for none.
        is_new_program: Whether the request is the first turn of a program.
        cached_tokens: Prompt tokens that the engine has probably cached.
        allowed_regions: Regions that may serve the request; None for all regions.
    """

    engine_id: str
    zone: str
    session: str = ""
    is_new_program: bool = False
    cached_tokens: int = 0
    allowed_regions: frozenset[str] | None = None


class Restriction(Protocol):
    """One reason for which engines are left out. Times are monotonic seconds."""

    @property
    def is_active(self) -> bool:
        """Whether the restriction can leave out any engine now."""
        ...

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return why the request may not be sent to the engine; None if it may."""
        ...

    def record_send(self, engine_id: str, now: float) -> None:
        """Record that this node has sent a request to an engine."""
        ...

    def next_change(self, now: float) -> float | None:
        """Return when an engine that is left out may become eligible; None if not known."""
        ...

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        """Return how many of an engine's slots count as capacity.

        Args:
            engine_id: The engine.
            zone: Zone of the engine.
            slots: Slots that the other restrictions leave.
            slot_seconds: Average time for which a request occupies a slot; 0 if not known.
            now: Current time.
        """
        ...


class EligibilityPolicy:
    """The restrictions of one node."""

    def __init__(self, restrictions: tuple[Restriction, ...] = ()) -> None:
        """Ask ``restrictions`` in order; the first that leaves an engine out is the cause."""
        self._restrictions = restrictions

    @property
    def is_active(self) -> bool:
        """Whether any restriction can leave out an engine; choices skip the check otherwise."""
        return any(restriction.is_active for restriction in self._restrictions)

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return why the request may not be sent to the engine now; None if it may."""
        for restriction in self._restrictions:
            cause = restriction.check(query, now) if restriction.is_active else None
            if cause is not None:
                return cause
        return None

    def record_send(self, engine_id: str, now: float) -> None:
        """Record that this node has sent a request to an engine."""
        for restriction in self._restrictions:
            if restriction.is_active:
                restriction.record_send(engine_id, now)

    def next_change(self, now: float) -> float | None:
        """Return the earliest time at which an engine that is left out may become eligible."""
        changes = (
            restriction.next_change(now)
            for restriction in self._restrictions
            if restriction.is_active
        )
        return min((change for change in changes if change is not None), default=None)

    def usable_slots(
        self, engine_id: str, zone: str, slots: int, slot_seconds: float, now: float
    ) -> float:
        """Return how many of an engine's slots count as capacity."""
        usable = float(slots)
        for restriction in self._restrictions:
            if restriction.is_active:
                usable = restriction.usable_slots(engine_id, zone, usable, slot_seconds, now)
        return usable
