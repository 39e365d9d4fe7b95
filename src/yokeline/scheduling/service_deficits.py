"""Starvation bound for tenants whose new programs are held back for exceeding their share.

A tenant that asks for many times its share would otherwise be served far less often than the
others. Each of its programs adds a fraction of the service rate of all programs to its deficit, and
each program served subtracts one. With a deficit of one or more, its programs are no longer held
back.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from yokeline.fading import FadingAverage

MIN_SERVICE_RATIO = 1 / 3
"""Minimum service rate of a tenant, relative to the service rate of all programs."""
MAX_SURPLUS = 4.0
"""Bound on the credit for programs served beyond the minimum, so that a period without contention
does not let a tenant be held back for equally long."""
MAX_DEFICIT = 16.0
"""Bound on the deficit, so that a tenant that was not served for long is not exempt from being held
back for equally long."""
MAX_TENANTS = 4096
"""Tenants counted; the least recently active one is removed."""
SERVICE_RATE_WEIGHT = 0.05
"""Weight of one program in the average service rate."""
SERVICE_RATE_FADE_SECONDS = 8.0
"""Time constant with which the average returns to 1 without new programs."""


class ServiceDeficits(msgspec.Struct):
    """Counts each tenant's service deficit at one node."""

    _deficits: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    _served_rate: FadingAverage = msgspec.field(
        default_factory=lambda: FadingAverage(1.0, SERVICE_RATE_WEIGHT, SERVICE_RATE_FADE_SECONDS)
    )

    def __len__(self) -> int:
        """Return the number of tenants counted."""
        return len(self._deficits)

    def has_deficit(self, tenant: str) -> bool:
        """Return whether a tenant's deficit is at least one program."""
        return self._deficits.get(tenant, 0.0) >= 1.0

    def note(self, tenant: str, now: float, *, is_served: bool) -> None:
        """Count a new program that was served, or that stopped waiting without being served."""
        self._served_rate.observe(float(is_served), now)
        deficit = self._deficits.pop(tenant, 0.0) + MIN_SERVICE_RATIO * self._served_rate.value(now)
        if is_served:
            deficit -= 1.0
        self._deficits[tenant] = min(MAX_DEFICIT, max(-MAX_SURPLUS, deficit))
        if len(self._deficits) > MAX_TENANTS:
            self._deficits.popitem(last=False)
