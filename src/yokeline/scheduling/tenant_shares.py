"""Weighted max-min fair shares of the engines' places between tenants.

The load it answers: engines have less room than is asked for, and one tenant asks for most of it.
Places are shared in proportion to the tenants' weights. What a tenant does not ask for is lent to
the others, so a tenant is beyond its share only while another one lacks places of its own share.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection

import msgspec

MIN_SHARE = 1.0
"""Places that a tenant may hold at least, however small its weight."""
MIN_EXCESS = 1.0
"""Places beyond its share from which a tenant counts as beyond it: shares are fractions, and a
tenant that holds the next whole number of places has taken none from others."""
MAX_BEYOND = 8
"""Tenants named as beyond their share; those with the largest excess hold most of what others
lack, and the next ones are named once these have given way."""


class TenantDemand(msgspec.Struct, frozen=True):
    """What one tenant holds and asks for, at all nodes together.

    Attributes:
        weight: Its part of the places relative to others; above zero.
        running: Places that it holds.
        waiting: Programs that wait to begin, each for one place.
    """

    tenant: str
    weight: float
    running: int
    waiting: int

    @property
    def wanted(self) -> int:
        """Places that it would hold if there were enough."""
        return self.running + self.waiting


class Shares(msgspec.Struct, frozen=True):
    """How the places are shared.

    Attributes:
        level: Places for a weight of one; infinite if all get what they want.
        beyond: Tenants that hold a whole place or more beyond their share while others lack
            theirs, the largest excess first; :data:`MAX_BEYOND` at most.
    """

    level: float = math.inf
    beyond: tuple[TenantDemand, ...] = ()

    def share_of(self, demand: TenantDemand) -> float:
        """Return the places that a tenant is entitled to."""
        return min(demand.wanted, max(MIN_SHARE, self.level * demand.weight))


def shares_of(demands: Collection[TenantDemand], places: float) -> Shares:
    """Return how ``places`` are shared between tenants."""
    level = fair_level(demands, places)
    if math.isinf(level):
        return Shares()
    shares = Shares(level)
    if not any(item.waiting and item.running < shares.share_of(item) for item in demands):
        return shares
    # Who holds more than these places wants more as well, so they are its whole share.
    excesses = (
        (item.running - max(MIN_SHARE, level * item.weight), item.tenant, item) for item in demands
    )
    beyond = ((-excess, tenant, item) for excess, tenant, item in excesses if excess >= MIN_EXCESS)
    largest = heapq.nsmallest(MAX_BEYOND, beyond, key=lambda entry: entry[:2])
    return Shares(level, tuple(item for _, _, item in largest))


def fair_level(demands: Collection[TenantDemand], places: float) -> float:
    """Return the level at which the wanted places, cut at ``level * weight``, add up to ``places``.

    It is infinite if there are places for all that is wanted (water filling: the tenants that
    want least for their weight are served whole, and the others share what is left).
    """
    demanded = [(item.running + item.waiting, item.weight) for item in demands]
    if sum(wanted for wanted, _ in demanded) <= places:
        return math.inf
    remaining = places
    total_weight = math.fsum(weight for _, weight in demanded)
    for _, wanted, weight in sorted(
        (wanted / weight, wanted, weight) for wanted, weight in demanded
    ):
        if wanted * total_weight > remaining * weight:
            return max(0.0, remaining / total_weight)
        remaining -= wanted
        total_weight -= weight
    return math.inf
