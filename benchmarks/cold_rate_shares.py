"""Compares ways to keep the requests of all nodes to cold engines within a rate.

Usage: ``python -m benchmarks.cold_rate_shares``

72 nodes get 200 requests a second. Either one engine is cold and every request would go there, or
all 24 engines are cold. A row gives, for each way and rate, the share of the rate that is used, the
most arrivals at an engine in any second and the bound, messages a second, and the share of requests
that found no engine at two nodes or waited for a second in vain.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from unittest.mock import patch

from tests.unit.scheduling.cold_replay import ONE_WAY_SECONDS, ColdReplay, Node

from yokeline.scheduling import cold_engines
from yokeline.scheduling.cold_rate_shares import (
    USED_BOUND_SHARE,
    WINDOW_SECONDS,
    SharePlan,
    max_arrivals,
    plan_shares,
)
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

DEMAND = 200.0
"""Requests per second at all nodes."""
SECONDS = 20.0
WARM_UP_SECONDS = 6.0
FEW_HOLDERS = 4
LEASE_SECONDS = 0.5
"""Time for which a lease may be used."""
TURN_SHARE = 0.7
"""Share of the requests that get an answer of the ledger before they are sent."""
LEADER_GONE = (12.0, 12.8)
"""Time without a ledger leader or without the holder of the rate."""


class Way(enum.Enum):
    """How the rate is divided."""

    MANY_HOLDERS = "fixed shares, as many holders as the bound allows"
    FEW_HOLDERS = "fixed shares, four holders"
    HOLDER_LEASES = "one node leases sends to the others ahead of use"
    LEADER_LEASES = "the ledger's leader leases sends with its answers"


class Lessor:
    """Grants sends to one engine, within the rate and the bound of any second."""

    def __init__(self, rate: float, budget: int) -> None:
        self.rate = rate
        self.budget = budget
        self._next_at = 0.0
        self._grants: deque[float] = deque()

    def grant(self, now: float, lease_seconds: float) -> bool:
        """Return whether a send may be used within ``lease_seconds``."""
        while self._grants and now - self._grants[0] >= WINDOW_SECONDS + lease_seconds:
            self._grants.popleft()
        burst_seconds = (self.budget - 1) / self.rate
        if len(self._grants) >= self.budget or now < self._next_at - burst_seconds:
            return False
        self._next_at = max(self._next_at, now) + 1.0 / self.rate
        self._grants.append(now)
        return True


class LeasedRates:
    """A node that asks a holder of the rate for leases, ahead of the requests that use them."""

    def __init__(self, replay: LeasedReplay) -> None:
        self._replay = replay
        self._leases: dict[str, float] = {}
        self._asked: set[str] = set()

    def set_cold(self, engine_id: str, until: float, reason: str, now: float) -> None:
        """Ignore the state: all engines of the replay are cold."""

    def set_nodes(self, names: object, now: float) -> None:
        """Ignore the nodes."""

    def record_answer(self, engine_id: str, sent_at: float, now: float) -> None:
        """Ignore the answer: leases are counted when they are granted."""

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return None if this node has a lease; ask for one otherwise."""
        engine = query.engine_id
        if now < self._leases.get(engine, -math.inf):
            return None
        if engine not in self._asked and not LEADER_GONE[0] <= now < LEADER_GONE[1]:
            self._asked.add(engine)
            self._replay.messages += 2
            self._replay.at(now + ONE_WAY_SECONDS, lambda: self._lease(engine))
        return Ineligibility.COLD_WITHOUT_SHARE

    def _lease(self, engine: str) -> None:
        now = self._replay.now
        granted = self._replay.lessors[engine].grant(now, LEASE_SECONDS)

        def answered() -> None:
            self._asked.discard(engine)
            if granted:
                self._leases[engine] = now + LEASE_SECONDS

        self._replay.at(now + ONE_WAY_SECONDS, answered)

    def record_send(self, engine_id: str, now: float) -> None:
        """Use the lease."""
        self._leases.pop(engine_id, None)

    def next_change(self, now: float) -> float | None:
        """Return None: requests do not wait for leases."""
        return None


class LeasedReplay(ColdReplay):
    """A replay in which sends are leased."""

    def __init__(self, way: Way, engines: list[str], rate: float) -> None:
        self.way = way
        self.messages = 0
        budget = int(USED_BOUND_SHARE * max_arrivals(rate, 1.5, 5.0))
        self.lessors = {engine: Lessor(rate, budget) for engine in engines}
        super().__init__(engines=engines, rate=rate, make_rates=lambda _name: LeasedRates(self))

    def _choose(self, node: Node) -> tuple[str | None, set[Ineligibility]]:
        if self.way is Way.HOLDER_LEASES:
            return super()._choose(node)
        is_led = not LEADER_GONE[0] <= self.now < LEADER_GONE[1]
        if is_led and self.source.random() < TURN_SHARE:
            for engine in self.source.sample(self.engines, len(self.engines)):
                if self.lessors[engine].grant(self.now, 0.0):
                    return engine, set()
        return None, {Ineligibility.COLD_WITHOUT_SHARE}


def few_holders(rate: float, overage: float, slack: float, nodes: int) -> SharePlan:
    """Divide a rate between few holders with larger windows."""
    plan = plan_shares(rate, overage, slack, nodes)
    budget = plan.holders * plan.window_sends
    holders = min(FEW_HOLDERS, budget)
    return SharePlan(holders, budget // holders, holders / rate)


def replay(way: Way, engines: list[str], rate: float) -> str:
    """Play one case and return its row."""
    if way in (Way.HOLDER_LEASES, Way.LEADER_LEASES):
        played: ColdReplay = LeasedReplay(way, engines, rate)
    else:
        played = ColdReplay(engines=engines, rate=rate)
    for engine in engines:
        played.set_cold(engine, 1000.0, spread=1.0)
    played.demand(DEMAND, 1.0, WARM_UP_SECONDS + SECONDS)
    plan = few_holders if way is Way.FEW_HOLDERS else plan_shares
    with patch.object(cold_engines, "plan_shares", plan):
        played.run(WARM_UP_SECONDS + SECONDS)
    sent = played.arrived(WARM_UP_SECONDS, WARM_UP_SECONDS + SECONDS)
    wanted = min(DEMAND, rate * len(engines)) * SECONDS
    messages = played.messages / SECONDS if isinstance(played, LeasedReplay) else 0.0
    ended = played.outcomes["refused"] + played.outcomes["waited in vain"]
    unserved = ended / (ended + played.outcomes["sent"])
    return (
        f"{way.value:52} {len(engines):3} {rate:5.0f} {sent / wanted:6.2f}"
        f" {played.max_in_second():5} {played.bound:6.1f} {messages:8.1f} {unserved:9.2f}"
    )


def main() -> None:
    """Print a row for each way, number of cold engines and rate."""
    print(f"{'way':52} cold  rate   used   max  bound messages unserved")
    for count in (1, 24):
        engines = [f"e{number}" for number in range(count)]
        for rate in (24.0, 4.0, 1.0):
            for way in Way:
                print(replay(way, engines, rate))


if __name__ == "__main__":
    main()
