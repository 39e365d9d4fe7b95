"""A bound on how often the requests of a tenant that is beyond its share are passed over.

Held back alone, a tenant that asks for many times its share would be served far less often than
the others. So a part of what it asks for competes with the others as an equal, which is then
served as often as theirs.
"""

from __future__ import annotations

from collections import OrderedDict

LEAST_PART = 1 / 3
"""Part of a tenant's requests that competes as an equal; above a quarter, below which a tenant
counts as starved, by enough for the requests that the counts of several nodes round off."""
MOST_AHEAD = 4.0
"""Requests beyond that part which count towards it later; more of them are forgotten, so that a
long time with room for all does not let a tenant be passed over for as long afterwards."""
MAX_TENANTS = 4096
"""Tenants that are counted; the one that has asked for nothing the longest is forgotten."""
_ROUNDING = 1e-9


class PassingOver:
    """Counts, for one node, what each tenant has asked for and what of it competed as an equal."""

    def __init__(self) -> None:
        """Have passed nobody over."""
        self._owed: OrderedDict[str, float] = OrderedDict()

    def __len__(self) -> int:
        """Return how many tenants are counted."""
        return len(self._owed)

    def may_hold(self, tenant: str, *, is_beyond: bool) -> bool:
        """Count a request, and return whether it may be held back for those of other tenants.

        Of any number of requests of one tenant, at least :data:`LEAST_PART` may not, but for
        ``MOST_AHEAD + 1``.
        """
        owed = self._owed.pop(tenant, 0.0) + LEAST_PART
        may_hold = is_beyond and owed < 1.0 - _ROUNDING
        if not may_hold:
            owed = max(-MOST_AHEAD, owed - 1.0)
        self._owed[tenant] = owed
        if len(self._owed) > MAX_TENANTS:
            self._owed.popitem(last=False)
        return may_hold
