"""Evacuated zones, whose engines receive no further requests until the order is withdrawn.

A zone that is about to lose power, or whose engines harm what they serve, has to be emptied within
a bound. New programs and sessions without cached context move as soon as a node knows the order. A
session with cached context may use its engine for a short part of the bound, since another engine
has to prefill that context again.
"""

from __future__ import annotations

import math
from collections import OrderedDict

import msgspec

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

TARGET_BOUND_SHARE = 0.5
"""Share of the bound after which no request is to be sent; the rest is for nodes that lag."""
LEARNING_SECONDS = 1.5
"""Assumed age of an order that a node has just read: a watch request of 1.3 s, and the exchange
between the nodes."""
DELIVERY_SECONDS = 0.2
"""Time reserved for a request's connection and its way to the engine."""
MIN_KEPT_TOKENS = 1_000
"""Least cached context with which a session may stay for a while. Less is prefilled faster than a
prompt crosses zones, and is often a system prompt that other engines have cached as well."""
MAX_WITHDRAWN = 256
"""Withdrawn orders whose revisions are remembered, so that older changes do not undo them."""


class EvacuationOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuation order as this node knows it.

    Attributes:
        zone: The zone.
        revision: Revision of the order's latest write.
        seen_at: When this node learned of the order (monotonic seconds).
        sessions_until: Until when sessions may use context cached in the zone.
    """

    zone: str
    revision: int
    seen_at: float
    sessions_until: float


class ZoneEvacuations:
    """The restriction to zones without an evacuation order. Times are monotonic seconds."""

    def __init__(self, bound_seconds: float) -> None:
        """Empty zones within ``bound_seconds`` of an order; 0 ignores all orders."""
        self._bound_seconds = bound_seconds
        self._orders: dict[str, EvacuationOrder] = {}
        self._withdrawn: OrderedDict[str, int] = OrderedDict()

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has evacuations."""
        return self._bound_seconds > 0

    @property
    def is_active(self) -> bool:
        """Whether any zone is evacuated."""
        return bool(self._orders)

    @property
    def zones(self) -> tuple[str, ...]:
        """The evacuated zones, sorted."""
        return tuple(sorted(self._orders))

    def apply(
        self,
        zone: str,
        revision: int,
        is_evacuated: bool,
        now: float,
        *,
        max_age: float = math.inf,
    ) -> EvacuationOrder | None:
        """Apply an order or its withdrawal, unless a later one is known.

        Args:
            zone: The zone.
            revision: Revision of the change in the key-value service.
            is_evacuated: Whether the order exists at that revision.
            now: Current time.
            max_age: Greatest age that a new order can have (seconds). Sessions move at once if
                the age is unknown.

        Returns:
            The order that began or was withdrawn; None if the zone's state has not changed.
        """
        if not self.is_enabled or not zone:
            return None
        known = self._orders.get(zone)
        if known is None:
            return self._begin(zone, revision, now, max_age) if is_evacuated else None
        if revision < known.revision:
            return None
        if is_evacuated:
            self._orders[zone] = msgspec.structs.replace(known, revision=revision)
            return None
        del self._orders[zone]
        self._withdrawn[zone] = revision
        self._withdrawn.move_to_end(zone)
        if len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        return known

    def _begin(
        self, zone: str, revision: int, now: float, max_age: float
    ) -> EvacuationOrder | None:
        if revision <= self._withdrawn.get(zone, -1):
            return None
        order = EvacuationOrder(
            zone=zone,
            revision=revision,
            seen_at=now,
            sessions_until=now + self._session_seconds(max_age),
        )
        self._orders[zone] = order
        return order

    def _session_seconds(self, max_age: float) -> float:
        """Return for how long sessions may stay after this node has learned of an order."""
        target = TARGET_BOUND_SHARE * self._bound_seconds
        return max(0.0, target - max(max_age, LEARNING_SECONDS) - DELIVERY_SECONDS)

    # ------------------------------------------------------------ restriction

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return ``ZONE_EVACUATED`` unless the request may go to the engine's zone."""
        order = self._orders.get(query.zone)
        if order is None:
            return None
        if now < order.sessions_until and _may_stay(query):
            return None
        return Ineligibility.ZONE_EVACUATED

    def record_send(self, engine_id: str, now: float) -> None:
        """Do nothing: the restriction does not depend on sends."""

    def next_change(self, now: float) -> float | None:
        """Return when queued sessions lose the engines of a zone, so that they are checked again.

        The end of an evacuation is not known beforehand.
        """
        ends = (order.sessions_until for order in self._orders.values())
        return min((end for end in ends if end > now), default=None)

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        """Return no slots for an engine of an evacuated zone, and ``slots`` otherwise."""
        return 0.0 if zone in self._orders else slots


def _may_stay(query: EngineQuery) -> bool:
    """Return whether a request belongs to a session whose context is costly to prefill again."""
    return not query.is_new_program and query.cached_tokens >= MIN_KEPT_TOKENS
