"""Tenants that compete for full engines, replayed over several nodes without a network.

Nodes have the real queue and the real shares, and the leader the real book. A node learns of the
load of all engines, and of the shares, with the answer to each turn that it asks for; in between
it goes by what was told and by what it has sent itself since.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from yokeline.effects import HttpArrived
from yokeline.forwarding.attempts import Attempts
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.fair_shares import FairShares
from yokeline.forwarding.model import Call, PoolWeight, Route, RouteKind
from yokeline.forwarding.tenants import ScopedNames, Tenant
from yokeline.forwarding.wait_queue import WaitQueue
from yokeline.identifiers import ExchangeId, ReplicaId
from yokeline.ledger.messages import PoolLoad, PoolShares, TenantLoad
from yokeline.ledger.own_turns import REFRESH_SECONDS, ROWS_SECONDS
from yokeline.ledger.tenant_places import TenantPlaces

POOL = "models"
BEGUN_HEADROOM = 1.4
"""Most turns of begun programs at the engines, as a multiple of their places."""
WAY_SECONDS = 0.004
"""From a node to the leader, and back."""
HOT = "hot"
ROUTE = Route(
    name="turn",
    host="",
    path_prefix="/",
    kind=RouteKind.STREAMING,
    pools=(PoolWeight(POOL, 1.0),),
    timeout=10.0,
    target_latency=1.0,
    priority=0,
)


class Way(enum.Enum):
    """How places are shared."""

    FIRST_COME = "first come, first served"
    VIRTUAL_TIME = "virtual time of a tenant in each node's queue"
    SHARES = "max-min shares by the leader's book"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What is asked for, and of whom.

    Attributes:
        calm_rate: New programs a second of each calm tenant.
        hot_rate: The same of the hot tenant while it is hot.
        hot_from: Share of the time after which it is hot.
        hot_until: Share of the time after which it is as before.
        leader_silent_from: Time from which the leader answers no more (seconds).
        turns_from: Time from which turns that end are counted (seconds).
        node_dies_at: Time when the first node dies with all its turns (seconds).
    """

    nodes: int = 8
    places: int = 48
    seconds: float = 20.0
    turns: int = 4
    turn_seconds: float = 0.25
    pause_seconds: float = 0.1
    longest_wait: float = 0.4
    calm_tenants: int = 12
    calm_rate: float = 2.0
    calm_weight: float = 10.0
    usual_rate: float = 4.0
    hot_rate: float = 60.0
    hot_weight: float = 60.0
    hot_from: float = 0.25
    hot_until: float = 0.75
    leader_silent_from: float = math.inf
    turns_from: float = 0.0
    node_dies_at: float = math.inf


class Result(msgspec.Struct, kw_only=True):
    """What became of new programs that were asked for while the hot tenant was hot.

    Attributes:
        asked: By tenant.
        begun: Of those, with a place for the first turn; by tenant.
        waits: Seconds from the arrival to that, of calm tenants.
        turns: Turns that ended while the tenant was hot and turns were counted.
    """

    asked: Counter[str] = msgspec.field(default_factory=Counter)
    begun: Counter[str] = msgspec.field(default_factory=Counter)
    waits: list[float] = msgspec.field(default_factory=list)
    turns: int = 0

    def served(self, tenant: str) -> float:
        """Return the share of a tenant's programs that began."""
        return self.begun[tenant] / max(1, self.asked[tenant])

    @property
    def all_served(self) -> float:
        """The same of all tenants together."""
        return self.begun.total() / max(1, self.asked.total())

    @property
    def calm_served(self) -> float:
        """The same of the calm tenants together."""
        begun = self.begun.total() - self.begun[HOT]
        return begun / max(1, self.asked.total() - self.asked[HOT])

    @property
    def least_served(self) -> float:
        """The same of the tenant that was served least often."""
        return min(self.served(tenant) for tenant in self.asked)

    @property
    def calm_wait(self) -> float:
        """Mean wait of the calm tenants' programs that began (seconds)."""
        return sum(self.waits) / max(1, len(self.waits))


class _Program(msgspec.Struct, eq=False):
    """A program under way; it counts in the result if it was asked for while the tenant was hot."""

    tenant: Tenant
    turns_left: int
    is_counted: bool


class _Node:
    """A node: its queue, what it was told, and its turns at engines."""

    def __init__(self, name: str, way: Way) -> None:
        self.process = ReplicaId(name)
        self.way = way
        self.queue = WaitQueue()
        self.shares = FairShares()
        self.running: Counter[str] = Counter()
        self.told_running = 0
        self.sent_since = 0
        self.sequence = 0
        self.is_alive = True
        self.told_changes = 0
        self.rows_at = -math.inf
        self.lacks_rows = False
        self._virtual: dict[str, float] = {}
        self._virtual_now = 0.0

    def in_order(self, now: float) -> list[Exchange]:
        """Return what waits, in the order of this way of sharing, without what is held back."""
        waiting = self.queue.in_order()
        if self.way is Way.VIRTUAL_TIME:
            waiting.sort(
                key=lambda item: (not item.program_started, self._start_of(item), item.arrived_at)
            )
            return waiting
        if self.way is Way.FIRST_COME:
            return waiting
        self.queue.set_held_back(self.shares.held_back(POOL, now))
        return self.queue.in_order()

    def may_take(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request need not leave its place to others."""
        return self.way is not Way.SHARES or not self.shares.is_held_back(exchange, now)

    def note_taken(self, exchange: Exchange, weight: float, now: float) -> None:
        """Count a request that got a place."""
        self.running[exchange.tenant_name] += 1
        self.sent_since += 1
        self._virtual_now = max(self._virtual_now, self._start_of(exchange))
        self._virtual[exchange.tenant_name] = self._start_of(exchange) + 1 / weight
        exchange.sends = 1
        self.shares.record_served(exchange, now)

    def _start_of(self, exchange: Exchange) -> float:
        return max(self._virtual_now, self._virtual.get(exchange.tenant_name, 0.0))


class Replay:
    """One load under one way of sharing; the same seed gives the same arrivals under all."""

    def __init__(self, way: Way, load: Load, seed: int) -> None:
        """Plan nothing yet."""
        self.result = Result()
        self._load = load
        self._nodes = [_Node(f"node-{number}", way) for number in range(load.nodes)]
        self._leader = TenantPlaces()
        self._random = random.Random(seed)
        self._work_random = random.Random(f"{seed}/work")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._programs: dict[ExchangeId, _Program] = {}
        self._running = 0
        self.now = 0.0

    def run(self) -> Result:
        """Play the whole load."""
        for number in range(self._load.calm_tenants):
            calm = Tenant(name=f"calm-{number}", rate=self._load.calm_weight)
            self._plan_arrivals(calm, self._load.calm_rate, 0.0, self._load.seconds)
        hot = Tenant(name=HOT, rate=self._load.hot_weight)
        self._plan_arrivals(hot, self._load.usual_rate, 0.0, self._hot_from)
        self._plan_arrivals(hot, self._load.hot_rate, self._hot_from, self._hot_until)
        self._plan_arrivals(hot, self._load.usual_rate, self._hot_until, self._load.seconds)
        for node in self._nodes:
            self._at(REFRESH_SECONDS, lambda node=node: self._refresh(node))
        if math.isfinite(self._load.node_dies_at):
            self._at(self._load.node_dies_at, lambda: self._die(self._nodes[0]))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.result

    # ------------------------------------------------------------ arrivals

    @property
    def _hot_from(self) -> float:
        return self._load.hot_from * self._load.seconds

    @property
    def _hot_until(self) -> float:
        return self._load.hot_until * self._load.seconds

    @property
    def _is_hot(self) -> bool:
        return self._hot_from <= self.now < self._hot_until

    def _at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _plan_arrivals(self, tenant: Tenant, rate: float, start: float, end: float) -> None:
        when = start + self._random.expovariate(rate)
        while when < end:
            node = self._random.choice(self._nodes)
            self._at(when, lambda node=node: self._begin(node, tenant))
            when += self._random.expovariate(rate)

    def _begin(self, node: _Node, tenant: Tenant) -> None:
        if not node.is_alive:
            return
        program = _Program(tenant, self._load.turns, self._is_hot)
        if program.is_counted:
            self.result.asked[tenant.name] += 1
        self._ask(node, program, has_begun=False)

    def _ask(self, node: _Node, program: _Program, *, has_begun: bool) -> None:
        """Ask the leader, as each turn does; the answer tells of the load of all."""
        exchange = self._exchange(program, has_begun=has_begun)
        if self.now < self._load.leader_silent_from:
            self._at(self.now + WAY_SECONDS, lambda: self._answer(node))
        self._at(self.now + 2 * WAY_SECONDS, lambda: self._wait(node, exchange))

    def _answer(self, node: _Node) -> None:
        running, told = self._running, self._leader.shares(self.now)
        self._at(self.now + WAY_SECONDS, lambda: self._take_told(node, running, told))

    def _take_told(self, node: _Node, running: int, told: tuple[PoolShares, ...]) -> None:
        node.told_running, node.sent_since = running, 0
        node.shares.apply_leader_report(told, self.now)

    def _exchange(self, program: _Program, *, has_begun: bool) -> Exchange:
        name = f"turn-{next(self._numbers)}"
        call = Call(request_id=name, deadline=ROUTE.timeout, program=name)
        exchange = Exchange(
            exchange_id=ExchangeId(name),
            incoming=_NOTHING,
            call=call,
            route=ROUTE,
            attempts=Attempts(max_engines=1),
            deadline=self.now + ROUTE.timeout,
            arrived_at=self.now,
            names=_NAMES,
            tenant=program.tenant,
            pool=POOL,
            spent_tokens=int(has_begun),
        )
        self._programs[exchange.exchange_id] = program
        return exchange

    # ------------------------------------------------------------ waits and turns

    def _wait(self, node: _Node, exchange: Exchange) -> None:
        if not node.is_alive:
            return
        node.queue.add(exchange)
        self._at(self.now + self._load.longest_wait, lambda: self._give_up(node, exchange))
        self._dispatch(node)

    def _give_up(self, node: _Node, exchange: Exchange) -> None:
        if exchange.sends or not node.is_alive:
            return
        node.queue.remove(exchange)
        node.shares.record_unserved(exchange, self.now)
        self._dispatch(node)

    def _dispatch(self, node: _Node) -> None:
        """Give places to what waits at a node, as far as it believes that there are any."""
        for exchange in node.in_order(self.now):
            believed = node.told_running + node.sent_since
            headroom = BEGUN_HEADROOM if exchange.program_started else 1.0
            if believed >= self._load.places * headroom:
                continue
            if node.may_take(exchange, self.now):
                self._take_place(node, exchange)
        if node.queue.tenant_changes != node.told_changes:
            self._report(node)

    def _take_place(self, node: _Node, exchange: Exchange) -> None:
        program = self._programs.pop(exchange.exchange_id)
        node.queue.remove(exchange)
        node.note_taken(exchange, program.tenant.rate, self.now)
        if program.is_counted and not exchange.program_started:
            self._count_begun(exchange)
        self._running += 1
        crowd = max(1.0, self._running / self._load.places)
        seconds = self._load.turn_seconds * crowd * self._work_random.uniform(0.5, 1.5)
        self._at(self.now + seconds, lambda: self._end(node, program))
        self._report(node)

    def _count_begun(self, exchange: Exchange) -> None:
        self.result.begun[exchange.tenant_name] += 1
        if exchange.tenant_name != HOT:
            self.result.waits.append(self.now - exchange.arrived_at)

    def _end(self, node: _Node, program: _Program) -> None:
        self._running -= 1
        if not node.is_alive:
            return
        self.result.turns += self._is_hot and self.now >= self._load.turns_from
        node.running[program.tenant.name] -= 1
        node.sent_since -= 1
        self._report(node)
        program.turns_left -= 1
        if program.turns_left:
            pause = self._load.pause_seconds
            self._at(self.now + pause, lambda: self._ask(node, program, has_begun=True))
        self._dispatch(node)

    # ------------------------------------------------------------ what the leader is told

    def _report(self, node: _Node) -> None:
        """Tell the leader of the node's tenants, at once or as soon as the next rows are due."""
        due = node.rows_at + ROWS_SECONDS
        if node.lacks_rows:
            return
        if self.now >= due:
            self._send_rows(node)
            return
        node.lacks_rows = True
        self._at(due, lambda: self._send_rows(node))

    def _send_rows(self, node: _Node) -> None:
        if not node.is_alive:
            return
        node.lacks_rows = False
        node.rows_at = self.now
        node.sequence += 1
        node.told_changes = node.queue.tenant_changes
        waiting = node.queue.first_turns
        names = sorted({*+node.running, *waiting})
        rows = tuple(
            TenantLoad(name, self._weight(name), node.running[name], waiting[name])
            for name in names
        )
        loads = (PoolLoad(POOL, self._load.places, rows),)
        sequence = node.sequence
        self._at(self.now + WAY_SECONDS, lambda: self._take_report(node, sequence, loads))

    def _take_report(self, node: _Node, sequence: int, loads: tuple[PoolLoad, ...]) -> None:
        self._leader.take(node.process, sequence, loads, self.now)

    def _refresh(self, node: _Node) -> None:
        if not node.is_alive or self.now > self._load.seconds:
            return
        if self.now >= self._load.leader_silent_from:
            self._hear_peers(node)
        self._report(node)
        self._dispatch(node)
        self._at(self.now + REFRESH_SECONDS, lambda: self._refresh(node))

    def _hear_peers(self, node: _Node) -> None:
        """Learn of the load from the other nodes' reports, which say nothing of shares."""
        node.told_running, node.sent_since = self._running, 0

    def _weight(self, tenant: str) -> float:
        return self._load.hot_weight if tenant == HOT else self._load.calm_weight

    def _die(self, node: _Node) -> None:
        """Let a node die; its turns still take their places at engines until they end."""
        node.is_alive = False


_NOTHING = HttpArrived(exchange=ExchangeId(""), method="POST", path="/", headers={}, body=b"")
_NAMES = ScopedNames(operation="", turn="", program="", session="", previous_turn="")
