"""Replays tenants that compete for full engines over several nodes, without a network.

Uses the production queue, shares and leader state. A node learns the load of all engines and the
shares from the leader's reply to each turn; in between it adds what it has sent itself.
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
"""Limit on the concurrent turns of begun programs, relative to the slots."""
ONE_WAY_SECONDS = 0.004
"""Latency between a node and the leader."""
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


class SharingMode(enum.Enum):
    """How slots are shared."""

    FIRST_COME = "first come, first served"
    VIRTUAL_TIME = "virtual time of a tenant in each node's queue"
    SHARES = "max-min shares by the ledger's leader"


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Arrivals, capacity and faults of a replay.

    Attributes:
        calm_rate: New programs per second of each calm tenant.
        hot_rate: New programs per second of the hot tenant while it is hot.
        hot_from: Start of the hot interval, as a fraction of ``seconds``.
        hot_until: End of the hot interval, as a fraction of ``seconds``.
        leader_silent_from: Time from which the leader does not reply (seconds).
        turns_from: Time from which ended turns are counted (seconds).
        node_dies_at: Time at which the first node crashes with all its turns (seconds).
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
    """Outcome of the programs that arrived in the hot interval.

    Attributes:
        asked: Programs that arrived, by tenant.
        begun: Programs whose first turn got a slot, by tenant.
        waits: Seconds from arrival to that slot, for calm tenants.
        turns: Counted turns that ended in the hot interval.
    """

    asked: Counter[str] = msgspec.field(default_factory=Counter)
    begun: Counter[str] = msgspec.field(default_factory=Counter)
    waits: list[float] = msgspec.field(default_factory=list)
    turns: int = 0

    def served(self, tenant: str) -> float:
        """Return the fraction of a tenant's programs that began."""
        return self.begun[tenant] / max(1, self.asked[tenant])

    @property
    def all_served(self) -> float:
        """The fraction of all programs that began."""
        return self.begun.total() / max(1, self.asked.total())

    @property
    def calm_served(self) -> float:
        """The fraction of the calm tenants' programs that began."""
        begun = self.begun.total() - self.begun[HOT]
        return begun / max(1, self.asked.total() - self.asked[HOT])

    @property
    def least_served(self) -> float:
        """The lowest fraction of any tenant."""
        return min(self.served(tenant) for tenant in self.asked)

    @property
    def calm_wait(self) -> float:
        """Mean wait in seconds of the calm tenants' programs that began."""
        return sum(self.waits) / max(1, len(self.waits))


class _Program(msgspec.Struct, eq=False):
    """A program in progress; ``is_counted`` if it arrived in the hot interval."""

    tenant: Tenant
    turns_left: int
    is_counted: bool


class _Node:
    """A node: its queue, its last known load and shares, and its turns at engines."""

    def __init__(self, name: str, mode: SharingMode) -> None:
        self.process = ReplicaId(name)
        self.mode = mode
        self.queue = WaitQueue()
        self.shares = FairShares()
        self.running: Counter[str] = Counter()
        self.reported_running = 0
        self.sent_since_report = 0
        self.sequence = 0
        self.is_alive = True
        self.reported_changes = 0
        self.last_report_at = -math.inf
        self.is_report_scheduled = False
        self._virtual_starts: dict[str, float] = {}
        self._virtual_time = 0.0

    def in_order(self, now: float) -> list[Exchange]:
        """Return the waiting requests in this mode's order, without those held back."""
        waiting = self.queue.in_order()
        if self.mode is SharingMode.VIRTUAL_TIME:
            waiting.sort(
                key=lambda item: (
                    not item.program_started,
                    self._virtual_start(item),
                    item.arrived_at,
                )
            )
            return waiting
        if self.mode is SharingMode.FIRST_COME:
            return waiting
        self.queue.set_held_back(self.shares.held_back(POOL, now))
        return self.queue.in_order()

    def may_place(self, exchange: Exchange, now: float) -> bool:
        """Return whether a request is not held back."""
        return self.mode is not SharingMode.SHARES or not self.shares.is_held_back(exchange, now)

    def record_placement(self, exchange: Exchange, weight: float, now: float) -> None:
        """Count a request that got a slot."""
        self.running[exchange.tenant_name] += 1
        self.sent_since_report += 1
        self._virtual_time = max(self._virtual_time, self._virtual_start(exchange))
        self._virtual_starts[exchange.tenant_name] = self._virtual_start(exchange) + 1 / weight
        exchange.sends = 1
        self.shares.record_served(exchange, now)

    def _virtual_start(self, exchange: Exchange) -> float:
        return max(self._virtual_time, self._virtual_starts.get(exchange.tenant_name, 0.0))


class Replay:
    """Replays one load under one mode; arrivals depend on the seed alone."""

    def __init__(self, mode: SharingMode, load: Load, seed: int) -> None:
        """Create the nodes and the leader."""
        self.result = Result()
        self._load = load
        self._nodes = [_Node(f"node-{number}", mode) for number in range(load.nodes)]
        self._leader = TenantPlaces()
        self._random = random.Random(seed)
        self._work_random = random.Random(f"{seed}/work")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._programs: dict[ExchangeId, _Program] = {}
        self._running = 0
        self.now = 0.0

    def run(self) -> Result:
        """Replay the whole load."""
        for number in range(self._load.calm_tenants):
            calm = Tenant(name=f"calm-{number}", rate=self._load.calm_weight)
            self._schedule_arrivals(calm, self._load.calm_rate, 0.0, self._load.seconds)
        hot = Tenant(name=HOT, rate=self._load.hot_weight)
        self._schedule_arrivals(hot, self._load.usual_rate, 0.0, self._hot_from)
        self._schedule_arrivals(hot, self._load.hot_rate, self._hot_from, self._hot_until)
        self._schedule_arrivals(hot, self._load.usual_rate, self._hot_until, self._load.seconds)
        for node in self._nodes:
            self._schedule(REFRESH_SECONDS, lambda node=node: self._refresh(node))
        if math.isfinite(self._load.node_dies_at):
            self._schedule(self._load.node_dies_at, lambda: self._crash(self._nodes[0]))
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

    def _schedule(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def _schedule_arrivals(self, tenant: Tenant, rate: float, start: float, end: float) -> None:
        when = start + self._random.expovariate(rate)
        while when < end:
            node = self._random.choice(self._nodes)
            self._schedule(when, lambda node=node: self._start_program(node, tenant))
            when += self._random.expovariate(rate)

    def _start_program(self, node: _Node, tenant: Tenant) -> None:
        if not node.is_alive:
            return
        program = _Program(tenant, self._load.turns, self._is_hot)
        if program.is_counted:
            self.result.asked[tenant.name] += 1
        self._query_leader(node, program, has_begun=False)

    def _query_leader(self, node: _Node, program: _Program, *, has_begun: bool) -> None:
        """Query the leader, as each turn does; the reply reports the load of all nodes."""
        exchange = self._exchange(program, has_begun=has_begun)
        if self.now < self._load.leader_silent_from:
            self._schedule(self.now + ONE_WAY_SECONDS, lambda: self._leader_reply(node))
        self._schedule(self.now + 2 * ONE_WAY_SECONDS, lambda: self._enqueue(node, exchange))

    def _leader_reply(self, node: _Node) -> None:
        running, told = self._running, self._leader.shares(self.now)
        self._schedule(
            self.now + ONE_WAY_SECONDS, lambda: self._leader_reply_received(node, running, told)
        )

    def _leader_reply_received(
        self, node: _Node, running: int, told: tuple[PoolShares, ...]
    ) -> None:
        node.reported_running, node.sent_since_report = running, 0
        node.shares.apply_leader_report(told, self.now)

    def _exchange(self, program: _Program, *, has_begun: bool) -> Exchange:
        name = f"turn-{next(self._numbers)}"
        call = Call(request_id=name, deadline=ROUTE.timeout, program=name)
        exchange = Exchange(
            exchange_id=ExchangeId(name),
            incoming=_EMPTY_REQUEST,
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

    def _enqueue(self, node: _Node, exchange: Exchange) -> None:
        if not node.is_alive:
            return
        node.queue.add(exchange)
        self._schedule(self.now + self._load.longest_wait, lambda: self._give_up(node, exchange))
        self._dispatch(node)

    def _give_up(self, node: _Node, exchange: Exchange) -> None:
        if exchange.sends or not node.is_alive:
            return
        node.queue.remove(exchange)
        node.shares.record_unserved(exchange, self.now)
        self._dispatch(node)

    def _dispatch(self, node: _Node) -> None:
        """Assign the slots that a node believes to be free."""
        for exchange in node.in_order(self.now):
            believed = node.reported_running + node.sent_since_report
            headroom = BEGUN_HEADROOM if exchange.program_started else 1.0
            if believed >= self._load.places * headroom:
                continue
            if node.may_place(exchange, self.now):
                self._take_place(node, exchange)
        if node.queue.tenant_changes != node.reported_changes:
            self._report(node)

    def _take_place(self, node: _Node, exchange: Exchange) -> None:
        program = self._programs.pop(exchange.exchange_id)
        node.queue.remove(exchange)
        node.record_placement(exchange, program.tenant.rate, self.now)
        if program.is_counted and not exchange.program_started:
            self._count_begun(exchange)
        self._running += 1
        crowd = max(1.0, self._running / self._load.places)
        seconds = self._load.turn_seconds * crowd * self._work_random.uniform(0.5, 1.5)
        self._schedule(self.now + seconds, lambda: self._end_turn(node, program))
        self._report(node)

    def _count_begun(self, exchange: Exchange) -> None:
        self.result.begun[exchange.tenant_name] += 1
        if exchange.tenant_name != HOT:
            self.result.waits.append(self.now - exchange.arrived_at)

    def _end_turn(self, node: _Node, program: _Program) -> None:
        self._running -= 1
        if not node.is_alive:
            return
        self.result.turns += self._is_hot and self.now >= self._load.turns_from
        node.running[program.tenant.name] -= 1
        node.sent_since_report -= 1
        self._report(node)
        program.turns_left -= 1
        if program.turns_left:
            pause = self._load.pause_seconds
            self._schedule(
                self.now + pause, lambda: self._query_leader(node, program, has_begun=True)
            )
        self._dispatch(node)

    # ------------------------------------------------------------ reports to the leader

    def _report(self, node: _Node) -> None:
        """Report a node's tenants now, or as soon as the minimum interval has passed."""
        due = node.last_report_at + ROWS_SECONDS
        if node.is_report_scheduled:
            return
        if self.now >= due:
            self._send_tenant_loads(node)
            return
        node.is_report_scheduled = True
        self._schedule(due, lambda: self._send_tenant_loads(node))

    def _send_tenant_loads(self, node: _Node) -> None:
        if not node.is_alive:
            return
        node.is_report_scheduled = False
        node.last_report_at = self.now
        node.sequence += 1
        node.reported_changes = node.queue.tenant_changes
        waiting = node.queue.first_turns
        names = sorted({*+node.running, *waiting})
        tenant_loads = tuple(
            TenantLoad(name, self._weight(name), node.running[name], waiting[name])
            for name in names
        )
        loads = (PoolLoad(POOL, self._load.places, tenant_loads),)
        sequence = node.sequence
        self._schedule(
            self.now + ONE_WAY_SECONDS, lambda: self._report_received(node, sequence, loads)
        )

    def _report_received(self, node: _Node, sequence: int, loads: tuple[PoolLoad, ...]) -> None:
        self._leader.take(node.process, sequence, loads, self.now)

    def _refresh(self, node: _Node) -> None:
        if not node.is_alive or self.now > self._load.seconds:
            return
        if self.now >= self._load.leader_silent_from:
            self._peer_reports_received(node)
        self._report(node)
        self._dispatch(node)
        self._schedule(self.now + REFRESH_SECONDS, lambda: self._refresh(node))

    def _peer_reports_received(self, node: _Node) -> None:
        """Update the load from the other nodes' reports, which contain no shares."""
        node.reported_running, node.sent_since_report = self._running, 0

    def _weight(self, tenant: str) -> float:
        return self._load.hot_weight if tenant == HOT else self._load.calm_weight

    def _crash(self, node: _Node) -> None:
        """Stop a node; its turns occupy their slots until they end."""
        node.is_alive = False


_EMPTY_REQUEST = HttpArrived(exchange=ExchangeId(""), method="POST", path="/", headers={}, body=b"")
_NAMES = ScopedNames(operation="", turn="", program="", session="", previous_turn="")
