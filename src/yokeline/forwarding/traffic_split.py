"""Splits the requests of a route over its pools by weight."""

from __future__ import annotations

from collections import Counter

import xxhash

from yokeline.forwarding.model import Call, Route, RouteKind

_HASH_SPAN = 2**32


class TrafficSplit:
    """Weighted split; the counts are local to this node."""

    def __init__(self) -> None:
        """Start without requests."""
        self._counts: dict[str, Counter[str]] = {}

    def choose_pool(self, route: Route, call: Call) -> str:
        """Return the pool for a request; all turns of a program use the same pool."""
        if len(route.pools) == 1:
            return route.pools[0].pool
        if call.program and route.kind is RouteKind.STREAMING:
            return _by_hash(route, call.program)
        return self._least_served(route)

    def _least_served(self, route: Route) -> str:
        counts = self._counts.setdefault(route.name, Counter())
        chosen = min(
            (part for part in route.pools if part.weight > 0),
            key=lambda part: (counts[part.pool] + 1) / part.weight,
            default=route.pools[0],
        )
        counts[chosen.pool] += 1
        return chosen.pool


def _by_hash(route: Route, program: str) -> str:
    total = sum(part.weight for part in route.pools)
    point = xxhash.xxh32_intdigest(program.encode()) / _HASH_SPAN * total
    for part in route.pools:
        point -= part.weight
        if point < 0:
            return part.pool
    return route.pools[-1].pool
