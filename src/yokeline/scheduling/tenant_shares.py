"""Weighted max-min fair shares of the engines' places between tenants.

The load it answers: engines have less room than is asked for, and one tenant asks for most of it.
Places are shared in proportion to the tenants' weights. What a tenant does not ask for is lent to
the others, so a tenant is beyond its share only while another one lacks places of its own share.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

LEAST_SHARE = 1.0
"""Places that a tenant may hold at least, however small its weight."""
MAX_BEYOND = 8
"""Tenants named as beyond their share; those with the largest excess hold most of what others
lack, and the next ones are named once these have given way."""


class TenantDemand(msgspec.Struct, frozen=True):
    """What one tenant holds and asks for.

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
        beyond: Tenants that hold more than their share while others lack theirs, the largest
            excess first; :data:`MAX_BEYOND` at most.
    """

    level: float = math.inf
    beyond: tuple[TenantDemand, ...] = ()

    def share_of(self, demand: TenantDemand) -> float:
        """Return the places that a tenant is entitled to."""
        return min(demand.wanted, max(LEAST_SHARE, self.level * demand.weight))


def shares_of(demands: Iterable[TenantDemand], places: float) -> Shares:
    """Return how ``places`` are shared between tenants."""
    items = list(demands)
    level = fair_level(items, places)
    if math.isinf(level):
        return Shares()
    shares = Shares(level)
    is_lacking = any(item.waiting and item.running < shares.share_of(item) for item in items)
    if not is_lacking:
        return shares
    excesses = [(item.running - shares.share_of(item), item) for item in items]
    beyond = [pair for pair in excesses if pair[0] > 0]
    beyond.sort(key=lambda pair: (-pair[0], pair[1].tenant))
    return Shares(level, tuple(item for _, item in beyond[:MAX_BEYOND]))


def fair_level(demands: list[TenantDemand], places: float) -> float:
    """Return the level at which the wanted places, cut at ``level * weight``, add up to ``places``.

    It is infinite if there are places for all that is wanted (water filling: the tenants that
    want least for their weight are served whole, and the others share what is left).
    """
    wanted = sum(item.wanted for item in demands)
    if wanted <= places:
        return math.inf
    left = places
    weights = sum(item.weight for item in demands)
    for item in sorted(demands, key=lambda item: item.wanted / item.weight):
        if item.wanted * weights > left * item.weight:
            return max(0.0, left / weights)
        left -= item.wanted
        weights -= item.weight
    return math.inf
