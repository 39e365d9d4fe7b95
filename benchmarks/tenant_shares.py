"""Compares ways to share full engines between tenants, and measures what the shares cost.

Usage: ``python -m benchmarks.tenant_shares``

The first tables replay the same arrivals under three ways: a tenant, within its limit, asks for
most of the places of all nodes for a while. They give, for that time, the share of new programs
that got a place (the hot tenant, the others, the one served least often, all), how long those of
the others waited, and the turns that the engines served. Then comes the time of the ledger's
leader to take a node's rows in and to work the shares out anew, and the bytes of a report's rows;
last that of a node to put its queue in order after a change of the verdict. The machine may be
shared: take ratios between rows rather than single figures.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable

from tests.unit.scheduling.share_replay import HOT, Load, Replay, Result, SharingMode

from benchmarks.dispatch import POOL, Node
from yokeline.forwarding.wait_queue import WaitQueue
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import PoolLoad, TenantLoad
from yokeline.ledger.tenant_places import TenantPlaces
from yokeline.messages.structs import encode_struct

SEEDS = range(3)
LOADS = {
    "hot tenant with a large weight": Load(),
    "hot tenant with the weight of the others": Load(hot_weight=10.0),
    "hot tenant that asks for four times as much": Load(hot_rate=240.0),
    "places for the others alone are short": Load(calm_rate=5.0),
    "hot tenant with a tiny weight": Load(hot_weight=0.5, calm_rate=4.0),
    "hot tenant alone": Load(calm_rate=0.01),
}
SIZES = ((57, 75, 8), (400, 2_500, 20))
"""Nodes, tenants, and rows of a node's report."""
WAITING = (20, 100, 500)
"""Turns that wait at a node."""
ROUNDS = 30
PAUSE_SECONDS = 0.5
"""Between two rounds, so that each works the shares out anew."""
MICROSECONDS = 1e6


def main() -> None:
    """Print both tables."""
    _print_replays()
    _print_costs()
    _print_orders()


def _print_replays() -> None:
    for name, load in LOADS.items():
        print(f"\n{name}")
        print(f"{'way':46}{'hot':>7}{'others':>8}{'least':>7}{'all':>7}{'wait ms':>9}{'turns':>7}")
        for way in SharingMode:
            results = [Replay(way, load, seed).run() for seed in SEEDS]
            print(f"{way.value:46}{_row(results)}")


def _row(results: list[Result]) -> str:
    def mean(read: Callable[[Result], float]) -> float:
        return statistics.fmean(read(item) for item in results)

    return (
        f"{mean(lambda item: item.served(HOT)):7.3f}"
        f"{mean(lambda item: item.calm_served):8.3f}"
        f"{mean(lambda item: item.least_served):7.3f}"
        f"{mean(lambda item: item.all_served):7.3f}"
        f"{1000 * mean(lambda item: item.calm_wait):9.1f}"
        f"{mean(lambda item: item.turns):7.0f}"
    )


def _print_costs() -> None:
    print(f"\n{'nodes':>6}{'tenants':>8}{'rows':>5}{'take us':>9}{'shares us':>10}{'bytes':>7}")
    for nodes, tenants, rows in SIZES:
        take, shares = _cost(nodes, tenants, rows)
        size = len(encode_struct(_loads(0, nodes, tenants, rows)[0]))
        print(f"{nodes:6}{tenants:8}{rows:5}{take:9.1f}{shares:10.1f}{size:7}")


def _print_orders() -> None:
    print(f"\n{'waiting':>8}{'order us':>9}")
    for waiting in WAITING:
        queue = _queue(waiting)
        seconds: list[float] = []
        for number in range(ROUNDS):
            held_back = frozenset({""}) if number % 2 else frozenset()
            began = time.perf_counter()
            queue.set_held_back(held_back)
            seconds.append(time.perf_counter() - began)
        print(f"{waiting:8}{statistics.median(seconds) * MICROSECONDS:9.1f}")


def _queue(waiting: int) -> WaitQueue:
    """Return a queue of which every second turn begins a program."""
    queue = WaitQueue()
    for number, exchange in enumerate(Node(1, waiting).state.waiting[POOL].in_order()):
        exchange.spent_tokens = number % 2
        queue.add(exchange)
    return queue


def _loads(node: int, nodes: int, tenants: int, rows: int) -> tuple[PoolLoad, ...]:
    """Return the rows of a node; all nodes together ask for more than there is."""
    names = ((node * rows + number) % tenants for number in range(rows))
    items = tuple(TenantLoad(f"tenant-{name}", 40.0 + name % 7, 3, name % 3) for name in names)
    return (PoolLoad("lm-pool", 3 * rows * nodes, items),)


def _cost(nodes: int, tenants: int, rows: int) -> tuple[float, float]:
    """Return the median microseconds to take one node's rows in, and to work the shares out."""
    places = TenantPlaces()
    takes: list[float] = []
    shares: list[float] = []
    for sequence in range(1, ROUNDS + 1):
        now = sequence * PAUSE_SECONDS
        for node in range(nodes):
            loads = _loads(node, nodes, tenants, rows)
            began = time.perf_counter()
            places.take(ReplicaId(f"node-{node}"), sequence, loads, now)
            takes.append(time.perf_counter() - began)
        began = time.perf_counter()
        told = places.shares(now)
        shares.append(time.perf_counter() - began)
        assert told, "the places are enough, so nothing was worked out"
    return statistics.median(takes) * MICROSECONDS, statistics.median(shares) * MICROSECONDS


if __name__ == "__main__":
    main()
