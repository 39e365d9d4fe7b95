"""Replays requests of many nodes to cold engines, with the production rates and a fake network."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from yokeline.scheduling.cold_engines import ColdEngineRates
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

ONE_WAY_SECONDS = 0.0009
"""Latency between zones of one region."""
CONFIRMATION_SECONDS = 0.5
"""Interval in which a node hears that its view of the registry is current."""
CALLER_TRIES = 2
"""Nodes that a caller asks when the first one refuses."""
MAX_WAIT_SECONDS = 1.0
"""Longest wait of a request at a node."""
COLD_SECONDS = 3.0


class Rates(Protocol):
    """What the replay asks of the rates of one node."""

    def set_cold(self, engine_id: str, until: float, reason: str, now: float) -> None: ...
    def set_nodes(self, names: Iterable[str], now: float) -> None: ...
    def check(self, query: EngineQuery, now: float) -> Ineligibility | None: ...
    def record_send(self, engine_id: str, now: float) -> None: ...
    def record_answer(self, engine_id: str, sent_at: float, now: float) -> None: ...
    def next_change(self, now: float) -> float | None: ...


class Node:
    """One node and the requests that wait at it."""

    def __init__(self, name: str, rates: Rates) -> None:
        self.name = name
        self.rates = rates
        self.confirmed_at = 0.0
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.is_dead = False
        self.waiting: list[float] = []
        self.wakes_at = math.inf
        self.sends = 0

    def view_age(self, now: float) -> float:
        return now - self.confirmed_at


class ColdReplay:
    """Many nodes, engines that count arrivals, and callers that retry at another node.

    Args:
        nodes: Number of nodes.
        engines: Ids of the engines.
        rate: Rate that a cold engine bears.
        overage: Multiple of the rate that may arrive in a second.
        slack: Requests on top of that.
        answer_seconds: Time from the arrival of a request to its answer.
        seed: Seed of the arrivals.
    """

    def __init__(
        self,
        *,
        nodes: int = 72,
        engines: Sequence[str] = ("e0",),
        rate: float = 24.0,
        overage: float = 1.5,
        slack: float = 5.0,
        answer_seconds: float = 0.25,
        seed: int = 1,
        make_rates: Callable[[str], Rates] | None = None,
    ) -> None:
        self.now = 0.0
        self.rate = rate
        self.overage = overage
        self.slack = slack
        self.bound = rate * overage + slack
        self.engines = list(engines)
        self.answer_seconds = answer_seconds
        self.source = random.Random(seed)
        self.names = [f"edge-{number}" for number in range(nodes)]
        self.arrivals: dict[str, list[float]] = {engine: [] for engine in self.engines}
        self.outcomes: Counter[str] = Counter()
        self.broken: set[str] = set()
        """Engines that give no answer."""
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._make_rates = make_rates or self.make_rates
        self.nodes = [Node(name, self._make_rates(name)) for name in self.names]
        for node in self.nodes:
            self.prepare(node, self.names)

    # ------------------------------------------------------------ set-up

    def make_rates(self, name: str, starts_at: float = -100.0) -> ColdEngineRates:
        return ColdEngineRates(name, self.overage, self.slack, starts_at)

    def prepare(self, node: Node, names: Sequence[str]) -> None:
        """Tell a new process which nodes and engines there are."""
        now = self.now
        if isinstance(node.rates, ColdEngineRates):
            node.rates.view_age = node.view_age
            node.rates.set_nodes(names, now)
            for engine in self.engines:
                node.rates.set_engine(engine, engine.partition("@")[0], self.rate)
        node.confirmed_at = now
        self._confirm(node)

    def _confirm(self, node: Node) -> None:
        if not node.is_dead and self.now >= node.cut_until and self.now >= node.paused_until:
            node.confirmed_at = self.now
        self.at(self.now + CONFIRMATION_SECONDS, lambda: self._confirm(node))

    def set_cold(self, engine: str, until: float, *, spread: float = 0.0) -> None:
        """Let all nodes learn within ``spread`` seconds that an engine is cold."""
        for node in self.nodes:
            self.at(
                self.now + spread * self.source.random(),
                lambda node=node: node.rates.set_cold(engine, until, "entry", self.now),
            )

    def restart(self, node: Node, cold_until: float, *, down: float) -> None:
        """Replace a node's process; the new one counts all engines as cold."""
        node.is_dead = True

        def start() -> None:
            node.is_dead = False
            node.rates = self.make_rates(node.name, self.now)
            node.waiting.clear()
            node.wakes_at = math.inf
            self.prepare(node, self.names)
            for engine in self.engines:
                node.rates.set_cold(engine, cold_until, "unknown", self.now)

        self.at(self.now + down, start)

    def add_spare(self, engine: str, cold_until: float) -> None:
        """Add a node without a share, so that callers find a node when all others are down."""
        spare = Node("spare", self.make_rates("spare"))
        self.nodes.append(spare)
        self.prepare(spare, self.names)
        spare.rates.set_cold(engine, cold_until, "entry", self.now)

    def demand(self, rate: float, begin: float, end: float) -> None:
        """Let callers send requests to random nodes."""
        at = begin + self.source.expovariate(rate)
        while at < end:
            self.at(at, lambda: self._call(CALLER_TRIES))
            at += self.source.expovariate(rate)

    # ------------------------------------------------------------ events

    def at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def _call(self, tries: int) -> None:
        alive = [node for node in self.nodes if not node.is_dead]
        self._handle(self.source.choice(alive), tries)

    def _handle(self, node: Node, tries: int) -> None:
        if self.now < node.paused_until:
            self.at(node.paused_until, lambda: self._handle(node, tries))
            return
        engine, causes = self._choose(node)
        if engine is not None:
            self._send(node, engine)
        elif Ineligibility.COLD_RATE in causes:
            node.waiting.append(self.now + MAX_WAIT_SECONDS)
            self._schedule_wake(node)
        elif tries > 1:
            self.outcomes["retried"] += 1
            self.at(self.now + 2 * ONE_WAY_SECONDS, lambda: self._call(tries - 1))
        else:
            self.outcomes["refused"] += 1

    def _choose(self, node: Node) -> tuple[str | None, set[Ineligibility]]:
        causes = set()
        for engine in self.source.sample(self.engines, len(self.engines)):
            cause = node.rates.check(EngineQuery(engine_id=engine, zone="a"), self.now)
            if cause is None:
                return engine, causes
            causes.add(cause)
        return None, causes

    def _schedule_wake(self, node: Node) -> None:
        due = node.rates.next_change(self.now) if node.waiting else None
        if due is not None and not self.now < node.wakes_at <= due:
            node.wakes_at = due
            self.at(due, lambda: self._wake(node))

    def _wake(self, node: Node) -> None:
        if node.is_dead:
            node.waiting.clear()
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, lambda: self._wake(node))
            return
        expired = sum(self.now > until for until in node.waiting)
        self.outcomes["waited in vain"] += expired
        node.waiting = [until for until in node.waiting if self.now <= until]
        while node.waiting:
            engine, _ = self._choose(node)
            if engine is None:
                break
            node.waiting.pop(0)
            self._send(node, engine)
        self._schedule_wake(node)

    def _send(self, node: Node, engine: str) -> None:
        sent_at = self.now
        node.sends += 1
        node.rates.record_send(engine, sent_at)
        if isinstance(node.rates, ColdEngineRates):
            node.rates.record_warm_send(engine, sent_at, self.now)
        self.outcomes["sent"] += 1
        arrives_at = max(self.now, node.cut_until) + ONE_WAY_SECONDS
        self.at(arrives_at, lambda: self._arrive(node, engine, sent_at))

    def _arrive(self, node: Node, engine: str, sent_at: float) -> None:
        self.arrivals[engine].append(self.now)
        if engine in self.broken:
            return
        rates = node.rates
        answered_at = max(self.now + self.answer_seconds, node.cut_until) + ONE_WAY_SECONDS

        def answer() -> None:
            if self.now < node.paused_until:
                self.at(node.paused_until, answer)
                return
            rates.record_answer(engine, sent_at, self.now)
            self._wake(node)

        self.at(answered_at, answer)

    # ------------------------------------------------------------ results

    def max_in_second(self, engine: str | None = None) -> int:
        """Return the most arrivals at an engine, or at any, in one second."""
        engines = [engine] if engine is not None else self.engines
        return max(max_in_second(self.arrivals[name]) for name in engines)

    def arrived(self, begin: float, end: float) -> int:
        return sum(begin <= at < end for times in self.arrivals.values() for at in times)


def max_in_second(times: Sequence[float]) -> int:
    """Return the most of the ascending ``times`` in one second."""
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most
