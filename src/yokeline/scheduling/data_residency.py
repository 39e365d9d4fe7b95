"""Restricts requests to the regions that their route and their tenant allow.

A restricted request that is served elsewhere cannot be taken back, so whatever is not known counts
as forbidden: an engine in a zone without a known region gets no restricted request.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from yokeline.scheduling.eligibility import EngineQuery, Ineligibility


def allowed_regions(route: Iterable[str], tenant: Iterable[str]) -> frozenset[str] | None:
    """Return the regions that two lists leave; None if neither restricts.

    An empty list does not restrict. Two lists without a common region leave an empty set: no region
    may serve the request.

    Args:
        route: Allowed regions of the route.
        tenant: Allowed regions of the tenant.
    """
    of_route, of_tenant = frozenset(route), frozenset(tenant)
    if of_route and of_tenant:
        return of_route & of_tenant
    return of_route or of_tenant or None


def both(first: frozenset[str] | None, second: frozenset[str] | None) -> frozenset[str] | None:
    """Return the regions that satisfy two restrictions; None restricts nothing."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


class RegionRestriction:
    """Withholds requests from engines outside their allowed regions.

    Attributes:
        is_active: Whether a route or tenant of the configuration has allowed regions. Choices cost
            nothing more otherwise.
    """

    def __init__(self, zone_regions: Mapping[str, str]) -> None:
        """Look up the regions of zones in ``zone_regions``."""
        self.is_active = False
        self._zone_regions = dict(zone_regions)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty if it is not known."""
        return self._zone_regions.get(zone, "")

    def is_allowed(self, zone: str, regions: frozenset[str] | None) -> bool:
        """Return whether a zone is in one of some regions; None allows all zones."""
        return regions is None or self.region_of(zone) in regions - {""}

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return the cause if the engine's zone is outside the allowed regions."""
        if self.is_allowed(query.zone, query.allowed_regions):
            return None
        return Ineligibility.REGION_NOT_ALLOWED

    def record_send(self, engine_id: str, now: float) -> None:
        """Ignore sends: regions do not depend on them."""

    def next_change(self, now: float) -> float | None:
        """Return None: regions do not change with time."""
        return None

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        """Return all slots: unrestricted requests may use each of them."""
        return slots
