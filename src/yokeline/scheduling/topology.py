"""Zones and regions as one node sees them, and the measured times to other regions.

Nodes in one region differ by little, so a zone has a fixed cost there. Regions may be milliseconds
or hundreds of milliseconds apart, so the time to a region is measured with each new connection.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping

UNMEASURED_ROUND_TRIP_SECONDS = 0.03
"""Round trip assumed to a region to which no connection was opened yet. It is above that between
neighbouring regions, so that the first choice does not favour a region for lack of a
measurement."""
MEASUREMENT_SECONDS = 10.0
"""Time for which the fastest connection counts; a route that has become slower is known after
twice this time."""


class Distance(enum.IntEnum):
    """How far another place is; the least is preferred."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Topology:
    """The places of a deployment, seen from one zone."""

    def __init__(self, zone: str, zone_regions: Mapping[str, str]) -> None:
        """Start without measurements; ``zone_regions`` gives the region of each zone."""
        self._zone = zone
        self._regions = dict(zone_regions)
        self._round_trips: dict[str, _RecentMinimum] = {}
        self._has_regions = len(set(self._regions.values())) > 1

    @property
    def has_regions(self) -> bool:
        """Whether the deployment spans several regions."""
        return self._has_regions

    def region_of(self, zone: str) -> str:
        """Return the region of a zone; empty if it is not known."""
        return self._regions.get(zone, "")

    def distance(self, zone: str) -> Distance:
        """Return the distance to a zone; one of an unknown region is far if there are several."""
        if zone == self._zone:
            return Distance.SAME_ZONE
        if self._has_regions and self.region_of(zone) != self.region_of(self._zone):
            return Distance.OTHER_REGION
        return Distance.SAME_REGION

    def record_connect(self, zone: str, seconds: float, now: float) -> None:
        """Record how long a new connection to a zone took, which includes one round trip."""
        if self.distance(zone) is Distance.OTHER_REGION:
            region = self.region_of(zone)
            self._round_trips.setdefault(region, _RecentMinimum()).observe(seconds, now)

    def round_trip(self, zone: str, now: float) -> float:
        """Return the round trip to a zone of another region (seconds)."""
        measured = self._round_trips.get(self.region_of(zone))
        fastest = measured.value(now) if measured is not None else None
        return UNMEASURED_ROUND_TRIP_SECONDS if fastest is None else fastest


class _RecentMinimum:
    """The least of the values of the current and the previous period; values may be rare."""

    def __init__(self) -> None:
        self._period = 0
        self._current: float | None = None
        self._previous: float | None = None

    def observe(self, seconds: float, now: float) -> None:
        self._advance(now)
        self._current = seconds if self._current is None else min(self._current, seconds)

    def value(self, now: float) -> float | None:
        self._advance(now)
        known = [item for item in (self._current, self._previous) if item is not None]
        return min(known, default=None)

    def _advance(self, now: float) -> None:
        """Begin a new period if one is due; the last known value is kept until a newer one."""
        period = int(now / MEASUREMENT_SECONDS)
        if period != self._period and self._current is not None:
            self._previous, self._current = self._current, None
        self._period = period
