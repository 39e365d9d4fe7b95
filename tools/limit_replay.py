"""Plays the arrivals of a day against four ways of keeping tenants' limits over many nodes.

``python -m tools.limit_replay FILE`` takes times, nodes and tenants of all requests from the logs
of a played day (as ``tools.day_report``). A tenant's limit is what the log says of it; one that was
never refused gets ``HEADROOM`` times its mean rate. For each way it prints how many requests are
refused, how many of these the one bucket for all nodes lets in, the worst window as a share of
its bound, and messages a second for calls (turns ask the ledger in any case):

- ``one bucket``: each request takes a token from one bucket (``ledger.quotas``).
- ``credit``: a draw takes up to four tokens; what is left serves that node for 0.5 s, then lapses.
- ``shares``: each node has a bucket with its share of rate and depth, a whole request at least.
- ``counts``: each node lets in what its own count and the others' counts of 0.3 s ago allow; one
  node in five hears nothing, as when it is cut off.
"""

from __future__ import annotations

import argparse
import random
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from tools.day_report import read_lines
from tools.limit_report import QUOTA_SPENT
from yokeline.forwarding.tenant_limits import LimitTolerance
from yokeline.forwarding.tenants import Tenant

HEADROOM = 1.6
LEAST_RATE = 6.0
TOLERANCE = LimitTolerance(window=5.0, overage=0.1, slack=20.0)
CREDIT = 4
CREDIT_SECONDS = 0.5
TELL_SECONDS = 0.3
CUT_SHARE = 0.2


class Arrival(NamedTuple):
    """A request: when, where and whose."""

    at: float
    node: str
    tenant: str
    is_call: bool


class Limit(NamedTuple):
    """Rate a second, and how many at once after a rest."""

    rate: float
    depth: float


class Bucket:
    """A token bucket."""

    def __init__(self, limit: Limit, share: float = 1.0) -> None:
        """Begin full, with a share of the limit."""
        self._rate = limit.rate * share
        self._depth = max(1.0, limit.depth * share)
        self._level = self._depth
        self._at = 0.0

    def take(self, now: float, most: int = 1) -> int:
        """Take up to ``most`` whole tokens; return how many there were."""
        self._level = min(self._depth, self._level + self._rate * (now - self._at))
        self._at = now
        taken = min(most, int(self._level))
        self._level -= taken
        return taken


class Way:
    """One way of keeping limits; lets requests in or not, and counts messages for calls."""

    def __init__(self, limits: dict[str, Limit], nodes: list[str]) -> None:
        """Keep ``limits`` over ``nodes``."""
        self.limits = limits
        self.nodes = nodes
        self.messages = 0

    def lets_in(self, arrival: Arrival) -> bool:
        """Return whether a request may run."""
        raise NotImplementedError


class OneBucket(Way):
    """Each request takes a token from one bucket."""

    def __init__(self, limits: dict[str, Limit], nodes: list[str]) -> None:
        """Fill the buckets."""
        super().__init__(limits, nodes)
        self._buckets = {name: Bucket(limit) for name, limit in limits.items()}

    def lets_in(self, arrival: Arrival) -> bool:
        """Draw one token."""
        self.messages += 2 * arrival.is_call
        return self._buckets[arrival.tenant].take(arrival.at) == 1


class Credit(OneBucket):
    """A draw takes several tokens, of which the rest serves the node for a while."""

    def __init__(self, limits: dict[str, Limit], nodes: list[str]) -> None:
        """Begin without credit."""
        super().__init__(limits, nodes)
        self._credit: dict[tuple[str, str], tuple[int, float]] = {}

    def lets_in(self, arrival: Arrival) -> bool:
        """Use credit, or draw more."""
        key = (arrival.node, arrival.tenant)
        left, until = self._credit.get(key, (0, 0.0))
        if left and arrival.at <= until:
            self._credit[key] = (left - 1, until)
            return True
        self.messages += 2 * arrival.is_call
        taken = self._buckets[arrival.tenant].take(arrival.at, CREDIT)
        self._credit[key] = (max(0, taken - 1), arrival.at + CREDIT_SECONDS)
        return taken > 0


class Shares(Way):
    """Each node has a bucket of its own."""

    def __init__(self, limits: dict[str, Limit], nodes: list[str]) -> None:
        """Part the limits."""
        super().__init__(limits, nodes)
        share = 1.0 / len(nodes)
        self._buckets: dict[tuple[str, str], Bucket] = {
            (node, name): Bucket(limit, share) for node in nodes for name, limit in limits.items()
        }

    def lets_in(self, arrival: Arrival) -> bool:
        """Draw from the node's bucket."""
        return self._buckets[arrival.node, arrival.tenant].take(arrival.at) == 1


class Counts(Way):
    """Each node counts, and hears the others' counts late or, if it is cut off, not at all."""

    def __init__(self, limits: dict[str, Limit], nodes: list[str]) -> None:
        """Cut some nodes off."""
        super().__init__(limits, nodes)
        self._run: dict[str, list[tuple[float, str]]] = defaultdict(list)
        source = random.Random(1)
        self._cut = set(source.sample(nodes, int(CUT_SHARE * len(nodes))))

    def lets_in(self, arrival: Arrival) -> bool:
        """Count what ran in the last window, as far as the node knows."""
        limit = self.limits[arrival.tenant]
        begin = arrival.at - TOLERANCE.window
        known = sum(
            at > begin and self._knows(arrival, at, node) for at, node in self._run[arrival.tenant]
        )
        if known >= limit.rate * TOLERANCE.window + limit.depth:
            return False
        self._run[arrival.tenant].append((arrival.at, arrival.node))
        return True

    def _knows(self, arrival: Arrival, at: float, node: str) -> bool:
        if node == arrival.node:
            return True
        return arrival.node not in self._cut and at <= arrival.at - TELL_SECONDS


WAYS: dict[str, Callable[[dict[str, Limit], list[str]], Way]] = {
    "one bucket": OneBucket,
    "credit": Credit,
    "shares": Shares,
    "counts": Counts,
}


def read_day(path: Path) -> tuple[list[Arrival], dict[str, Limit]]:
    """Return the arrivals of a day in order, and the tenants' limits."""
    arrivals: list[Arrival] = []
    told: dict[str, Limit] = {}
    turns: set[str] = set()
    with path.open(errors="replace") as lines:
        for line in read_lines(lines):
            if line.get("event") == "engine_chosen" and line.get("prompt"):
                turns.add(line["request"])
            if line.get("event") != "request_ended" or not line.get("tenant"):
                continue
            is_call = line["request"] not in turns and line.get("status") != 402
            at = line["at"] - line["seconds"]
            arrivals.append(Arrival(at, line["on"], line["tenant"], is_call))
            if line.get("reason") == QUOTA_SPENT:
                told[line["tenant"]] = Limit(line["rate"], line["burst"])
    arrivals.sort()
    return arrivals, {**_assumed(arrivals), **told}


def _assumed(arrivals: list[Arrival]) -> dict[str, Limit]:
    span = arrivals[-1].at - arrivals[0].at
    counts: dict[str, int] = defaultdict(int)
    for arrival in arrivals:
        counts[arrival.tenant] += 1
    limits = {}
    for name, count in counts.items():
        rate = max(LEAST_RATE, HEADROOM * count / span)
        limits[name] = Limit(rate, TOLERANCE.bucket_size(Tenant(name=name, rate=rate, burst=rate)))
    return limits


def worst_share(times: dict[str, list[float]], limits: dict[str, Limit]) -> float:
    """Return the worst window of all tenants as a share of rate x window + depth."""
    worst = 0.0
    for name, ran in times.items():
        limit = limits[name]
        bound = limit.rate * TOLERANCE.window + limit.depth
        begin = 0
        for end, at in enumerate(ran):
            while ran[begin] < at - TOLERANCE.window:
                begin += 1
            worst = max(worst, (end - begin + 1) / bound)
    return worst


def main() -> None:
    """Play the day and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path)
    arrivals, limits = read_day(parser.parse_args().file)
    nodes = sorted({arrival.node for arrival in arrivals})
    span = arrivals[-1].at - arrivals[0].at
    print(f"{len(arrivals)} requests of {len(limits)} tenants at {len(nodes)} nodes, {span:.0f} s")
    print("way          refused  of these let in by one bucket  worst window  messages/s for calls")
    reference: list[bool] = []
    for name, way_of in WAYS.items():
        way = way_of(limits, nodes)
        decisions = [way.lets_in(arrival) for arrival in arrivals]
        reference = reference or decisions
        times: dict[str, list[float]] = defaultdict(list)
        for arrival, is_in in zip(arrivals, decisions, strict=True):
            if is_in:
                times[arrival.tenant].append(arrival.at)
        refused = decisions.count(False)
        wrongly = sum(a and not b for a, b in zip(reference, decisions, strict=True))
        print(
            f"{name:12} {refused:7} {wrongly:30} {worst_share(times, limits):13.2f} "
            f"{way.messages / span:10.0f}"
        )


if __name__ == "__main__":
    main()
