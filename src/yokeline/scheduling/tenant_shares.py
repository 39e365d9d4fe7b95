"""Weighted max-min fair shares of the engines' slots between tenants.

Slots are shared in proportion to the tenants' weights, and unused shares are lent to other tenants.
So a tenant exceeds its share only while another one lacks slots of its own share.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection

import msgspec

MIN_SHARE = 1.0
"""Minimum share of a tenant, however small its weight."""
MIN_EXCESS = 1.0
"""Minimum excess over its share from which a tenant exceeds it: shares are fractions, and slots are
not."""
MAX_BEYOND = 8
"""Limit on the tenants reported as exceeding their share, largest excess first. These hold most of
what others lack; the next ones are reported once these have given way."""


class TenantDemand(msgspec.Struct, frozen=True):
    """Slots that one tenant holds and asks for, summed over all nodes.

    Attributes:
        weight: Its weight relative to other tenants; above zero.
        running: Slots that it holds.
        waiting: Programs that wait to begin, one slot each.
    """

    tenant: str
    weight: float
    running: int
    waiting: int

    @property
    def wanted(self) -> int:
        """Slots that it would hold with sufficient capacity."""
        return self.running + self.waiting


class Shares(msgspec.Struct, frozen=True):
    """Result of sharing the slots.

    Attributes:
        level: Slots per unit of weight; infinite if all demands are met.
        beyond: Tenants that exceed their share by :data:`MIN_EXCESS` or more while others lack
            theirs, largest excess first; at most :data:`MAX_BEYOND`.
    """

    level: float = math.inf
    beyond: tuple[TenantDemand, ...] = ()

    def share_of(self, demand: TenantDemand) -> float:
        """Return the slots that a tenant is entitled to."""
        return min(demand.wanted, max(MIN_SHARE, self.level * demand.weight))


def shares_of(demands: Collection[TenantDemand], places: float) -> Shares:
    """Return how ``places`` are shared between tenants."""
    level = fair_level(demands, places)
    if math.isinf(level):
        return Shares()
    shares = Shares(level)
    if not any(item.waiting and item.running < shares.share_of(item) for item in demands):
        return shares
    # A tenant that holds more than this bound also demands more, so the bound is its whole share.
    excesses = (
        (item.running - max(MIN_SHARE, level * item.weight), item.tenant, item) for item in demands
    )
    beyond = ((-excess, tenant, item) for excess, tenant, item in excesses if excess >= MIN_EXCESS)
    largest = heapq.nsmallest(MAX_BEYOND, beyond, key=lambda entry: entry[:2])
    return Shares(level, tuple(item for _, _, item in largest))


def fair_level(demands: Collection[TenantDemand], places: float) -> float:
    """Return the level: the slots per unit of weight at which all ``places`` are used.

    At the level, the demands, each capped at ``level * weight``, add up to ``places``. It is found
    by water filling: the tenants with the least demand for their weight are served completely, and
    the others share the rest. The level is infinite if all demands can be met.
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
