"""A bound on how often the new programs of a tenant beyond its share are passed over.

Held back alone, a tenant that asks for many times its share would be served far less often than
the others. So it counts as owed a part of the places that it would get if it were served as often
as all; once a whole place is owed, its programs compete with the others as equals.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yokeline.fading import FadingAverage

MIN_SERVICE_RATIO = 1 / 3
"""How often a tenant is served at least, as a part of how often all are."""
MAX_SURPLUS = 4.0
"""Places beyond that part that count towards it later; more of them are forgotten, so that a long
time with room for all does not let a tenant be passed over for as long afterwards."""
MAX_DEFICIT = 16.0
"""Places owed at most: a tenant that competes as an equal and gets none for long, since others are
more urgent, is not let by for as long once that has changed."""
MAX_TENANTS = 4096
"""Tenants that are counted; the one that has asked for nothing the longest is forgotten."""
SERVED_WEIGHT = 0.05
"""Weight of one program in the average of those that got a place."""
SERVED_FADE_SECONDS = 8.0
"""Time in which that average fades back to a third without new programs."""


class PassingOver(msgspec.Struct):
    """Counts, for one node, the places that each tenant got and those that it is owed."""

    _deficits: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    _service_rate: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(1.0, SERVED_WEIGHT, SERVED_FADE_SECONDS)
    )

    def __len__(self) -> int:
        """Return how many tenants are counted."""
        return len(self._deficits)

    def is_owed(self, tenant: str) -> bool:
        """Return whether a tenant's programs must not be held back."""
        return self._deficits.get(tenant, 0.0) >= 1.0

    def note(self, tenant: str, now: float, *, is_served: bool) -> None:
        """Count a new program that got a place, or ceased to wait without one."""
        self._service_rate.observe(float(is_served), now)
        deficit = self._deficits.pop(tenant, 0.0) + MIN_SERVICE_RATIO * self._service_rate.value(
            now
        )
        if is_served:
            deficit -= 1.0
        self._deficits[tenant] = min(MAX_DEFICIT, max(-MAX_SURPLUS, deficit))
        if len(self._deficits) > MAX_TENANTS:
            self._deficits.popitem(last=False)
