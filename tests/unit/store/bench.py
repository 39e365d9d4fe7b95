"""Nodes with a configuration component and an emulated store, under a virtual clock."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from yokeline.effects import (
    Address,
    Effect,
    Framing,
    HttpArrived,
    HttpCancel,
    HttpFailed,
    HttpGone,
    HttpReply,
    HttpRequest,
    HttpResponse,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamItem,
    HttpStreamStart,
    Tick,
)
from yokeline.emulator.etcd.limits import StoreFaults
from yokeline.emulator.settings import StoreSettings
from yokeline.emulator.store_service import StoreService
from yokeline.identifiers import ExchangeId, NodeName, ReplicaId, RequestId
from yokeline.labels.objects import ObjectKind
from yokeline.membership.view import Member, MemberState
from yokeline.messages.types import ConfigurationDelta, ConfigurationPull
from yokeline.server.context import NodeContext
from yokeline.settings import NodeSection, PlatformSection, Settings
from yokeline.store.client import KeyValueClient
from yokeline.store.configuration import ConfigurationSync
from yokeline.store.writer import ConfigurationWriter

STORE = Address("10.0.9.9", 2379)
LATENCY = 0.002
STEP = 0.01


@dataclass
class Pending:
    owner: TestNode
    request: HttpRequest
    expires: float
    started: bool = False


class Peers:
    """Membership as a list that the test sets."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench

    def alive(self) -> tuple[Member, ...]:
        nodes = sorted(self._bench.nodes.values(), key=lambda node: node.context.replica)
        return tuple(node.member for node in nodes if not node.stopped)

    def address_of(self, replica: ReplicaId) -> Address | None:
        return None

    def is_dead(self, replica: ReplicaId) -> bool:
        return self._bench.nodes[replica].stopped

    def zone_of(self, replica: ReplicaId) -> str | None:
        return self._bench.nodes[replica].context.zone


class TestNode:
    """One node: client, configuration and writer, and the loop that drives them."""

    __test__ = False

    def __init__(self, bench: Bench, name: str, zone: str, seed: int) -> None:
        self.bench = bench
        source = random.Random(seed)
        self.replica = ReplicaId(f"{name}~1")
        self.context = NodeContext(
            name=NodeName(name), replica=self.replica, zone=zone, source=source, wall_offset=1e9
        )
        self.context.now = bench.now
        self.context.set_peer_sender(lambda to, message: bench.send(self, to, message))
        settings = Settings(node=NodeSection(name=name, zone=zone), platform=bench.platform)
        self.client = KeyValueClient(self.context, STORE, settings.platform)
        self.member = Member(
            replica=self.replica,
            name=NodeName(name),
            zone=zone,
            region="r",
            address=Address("10.0.0.1", 1),
            http_address=Address("10.0.0.1", 2),
            state=MemberState.ALIVE,
        )
        self.sync = ConfigurationSync(self.context, self.client, settings, Peers(bench))
        prefix = settings.platform.store_prefix
        self.writer = ConfigurationWriter(
            self.context, self.client, prefix, applied=self.sync.note_written
        )
        self.stopped = False
        self.store_reachable = True

    def tick(self) -> None:
        for part in (self.client, self.sync, self.writer):
            due = part.next_deadline()
            if due is not None and due <= self.context.now:
                part.tick()


@dataclass
class Bench:
    """The nodes, the store and what is under way between them."""

    seed: int = 1
    store_settings: StoreSettings = field(
        default_factory=lambda: StoreSettings(
            name="store", requests_per_second=1000.0, burst=1000, delay_seconds=0.0
        )
    )
    platform: PlatformSection = PlatformSection(store_timeout_seconds=1.0)
    now: float = 100.0

    def __post_init__(self) -> None:
        self.store = StoreService(self.store_settings, random.Random(self.seed))
        self.nodes: dict[ReplicaId, TestNode] = {}
        self.pending: dict[RequestId, Pending] = {}
        self.wire: deque[tuple[float, TestNode, ReplicaId, object]] = deque()
        self.cut: set[tuple[str, str]] = set()

    def add(self, name: str, zone: str = "z1") -> TestNode:
        node = TestNode(self, name, zone, self.seed * 1000 + len(self.nodes))
        self.nodes[node.replica] = node
        return node

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            self._step()

    def run_until(self, condition, limit: float = 30.0) -> bool:
        """Let time pass until the condition holds; return whether it does."""
        end = self.now + limit
        while not condition() and self.now < end:
            self.run(STEP)
        return bool(condition())

    def faults(self, **changes: object) -> None:
        """Set the store's faults; those not named are off."""
        self.store.set_faults(StoreFaults(**changes))
        self._carry_out(self.store.handle(Tick(), self.now))

    def send(self, sender: TestNode, to: ReplicaId, message: object) -> None:
        if (sender.context.name, to.partition("~")[0]) not in self.cut:
            self.wire.append((self.now + LATENCY, sender, to, message))

    # ------------------------------------------------------------ loop

    def _step(self) -> None:
        for node in self.nodes.values():
            node.context.now = self.now
        self._deliver_messages()
        self._time_out()
        due = self.store.next_deadline()
        if due is not None and due <= self.now:
            self._carry_out(self.store.handle(Tick(), self.now))
        for node in list(self.nodes.values()):
            if not node.stopped:
                node.tick()
                self.flush(node)

    def flush(self, node: TestNode) -> None:
        """Carry out what a node has emitted."""
        while effects := node.context.take_outbox():
            for effect in effects:
                if isinstance(effect, HttpRequest):
                    self._request(node, effect)
                elif isinstance(effect, HttpCancel) and effect.request in self.pending:
                    del self.pending[effect.request]
                    gone = HttpGone(ExchangeId(effect.request))
                    self._carry_out(self.store.handle(gone, self.now))

    def _request(self, node: TestNode, request: HttpRequest) -> None:
        if not node.store_reachable:
            failed = HttpFailed(request=request.request, sent=False, reason="refused")
            node.context.dispatch_http(failed)
            return
        self.pending[request.request] = Pending(node, request, self.now + request.timeout)
        arrived = HttpArrived(
            exchange=ExchangeId(request.request),
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
        )
        self._carry_out(self.store.handle(arrived, self.now))

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            exchange = getattr(effect, "exchange", None)
            pending = self.pending.get(RequestId(exchange)) if exchange else None
            if pending is not None:
                self._answer(pending, effect)

    def _answer(self, pending: Pending, effect: Effect) -> None:
        request = pending.request.request
        dispatch = pending.owner.context.dispatch_http
        pending.expires = self.now + pending.request.timeout
        if isinstance(effect, HttpReply):
            del self.pending[request]
            dispatch(
                HttpResponse(
                    request=request,
                    status=effect.status,
                    headers=effect.headers,
                    body=effect.body,
                )
            )
        elif isinstance(effect, HttpStreamStart):
            dispatch(HttpResponse(request=request, status=effect.status))
        elif isinstance(effect, HttpStreamData):
            assert pending.request.framing is Framing.JSON_LINES
            for line in effect.data.splitlines():
                if request in self.pending:
                    dispatch(HttpStreamItem(request=request, data=line))
        elif isinstance(effect, HttpStreamEnd):
            del self.pending[request]
            dispatch(HttpFailed(request=request, sent=True, reason="aborted"))

    def _deliver_messages(self) -> None:
        waiting, self.wire = self.wire, deque()
        for due, sender, to, message in waiting:
            node = self.nodes.get(to)
            if due > self.now:
                self.wire.append((due, sender, to, message))
            elif node is not None and not node.stopped and not sender.stopped:
                if isinstance(message, ConfigurationPull):
                    node.sync.receive_pull(sender.replica, message)
                elif isinstance(message, ConfigurationDelta):
                    node.sync.receive_delta(sender.replica, message)
                self.flush(node)

    def _time_out(self) -> None:
        for request, pending in list(self.pending.items()):
            if pending.expires <= self.now and request in self.pending:
                del self.pending[request]
                failed = HttpFailed(request=request, sent=True, reason="timeout")
                pending.owner.context.dispatch_http(failed)


def write(node: TestNode, name: str, body: str | None, expected: int, operation: str) -> list:
    """Put (or delete, without a body) a tenant; return the list that gets the outcome."""
    outcome: list = []
    writer = node.writer
    if body is None:
        writer.delete(ObjectKind.TENANT, name, expected, operation, outcome.append)
    else:
        writer.put(ObjectKind.TENANT, name, body, expected, operation, outcome.append)
    node.bench.flush(node)
    return outcome
