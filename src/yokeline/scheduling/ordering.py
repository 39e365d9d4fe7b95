"""The order in which waiting model calls get an engine."""

from __future__ import annotations

import math

import msgspec

from yokeline.scheduling.interface import CallDemand

MIN_WORTH = 1e-9
"""Lower bound on a program's weight in fair sharing."""
LEVEL_BASE_TOKENS = 1024.0
"""Upper bound of the first service level; it doubles with each further level.

Programs of one level are served by arrival and do not overtake each other at every call, as in
multi-level feedback queues over whole programs (Luo et al. 2025, "Autellix")."""


class OrderRules(msgspec.Struct, frozen=True, kw_only=True):
    """Criteria of the order.

    Attributes:
        aging_seconds: Waiting time that raises a call by one priority step.
        by_service: Least attained service of the whole program first; otherwise by arrival.
        by_deadline: Programs past their deadline are served last within their priority.
        by_aging: Priority rises with waiting time.
    """

    aging_seconds: float = 10.0
    by_service: bool = True
    by_deadline: bool = True
    by_aging: bool = True


OrderKey = tuple[int, bool, bool, float, float, str, int]


def service_level(demand: CallDemand) -> float:
    """Return the level of the service attained by the whole program, weighted by its worth."""
    served = demand.attained_service / max(demand.worth, MIN_WORTH)
    return max(0.0, math.floor(math.log2(max(served, 1.0) / LEVEL_BASE_TOKENS)) + 1.0)


def aged_priority(demand: CallDemand, now: float, rules: OrderRules) -> int:
    """Return the priority of a call, raised by one step per ``aging_seconds`` of waiting.

    Higher values are served first.
    """
    if not rules.by_aging:
        return demand.priority
    waited = max(0.0, now - demand.waiting_since)
    return demand.priority + math.floor(waited / rules.aging_seconds)


def order_key(demand: CallDemand, index: int, now: float, rules: OrderRules) -> OrderKey:
    """Return the sort key of a call; the lowest is served first.

    The aged priority is negated, since higher priorities are served first. A program is new if it
    has attained no service, and late if its deadline has passed at ``now``. Within a priority,
    started programs precede new ones: their contexts already occupy cache, and admitting a new
    program would cause thrashing.
    """
    new = not demand.attained_service
    late = rules.by_deadline and demand.deadline is not None and demand.deadline < now
    level = service_level(demand) if rules.by_service else 0.0
    since = demand.program_since if rules.by_service else demand.waiting_since
    return (-aged_priority(demand, now, rules), new, late, level, since, demand.run, index)
