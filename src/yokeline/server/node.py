"""The node: composes all components into one sans-I/O service.

Every event goes to the component that it is for; then each component whose deadline has come
gets its ``tick``; then the Raft messages of the event leave in one batch per peer.
"""

from __future__ import annotations

import random
import traceback
from collections.abc import Mapping
from typing import Protocol

import msgspec

from yokeline.addresses import parse_address
from yokeline.effects import (
    Address,
    DatagramArrived,
    Effect,
    Event,
    HttpArrived,
    HttpFailed,
    HttpGone,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
    Interruption,
    PeerMessage,
    SendPeer,
    StopRequested,
)
from yokeline.gateway.gateway import Gateway
from yokeline.identifiers import (
    ExchangeId,
    NodeName,
    ReplicaId,
    RunId,
    ShardId,
    new_replica_id,
    shard_of_name,
)
from yokeline.membership.detector import Membership
from yokeline.membership.machine_list import MachineListReader
from yokeline.membership.view import Member, MemberState
from yokeline.messages.types import (
    ConfigurationDelta,
    ConfigurationPull,
    Heartbeat,
    HeartbeatReply,
    RaftBatch,
    RunEvents,
    ShardCancel,
    ShardReply,
    ShardRequest,
)
from yokeline.runs.executor import Executor
from yokeline.scheduling.cache_reconciler import PresenceHandler
from yokeline.scheduling.directory import EngineDirectory, MachineEntry
from yokeline.scheduling.policies import make_policy
from yokeline.server.admin import NodeAdmin
from yokeline.server.bootstrap import PlacementBootstrap
from yokeline.server.context import COMPONENT_FAULT, NodeContext
from yokeline.server.planned_stop import PlannedStop
from yokeline.server.recovery import ShardRecovery
from yokeline.server.run_presence import RunPresenceReader
from yokeline.settings import Settings
from yokeline.shards.copies import StoredCopies, read_copies
from yokeline.shards.host import ShardHost
from yokeline.shards.router import ShardRouter
from yokeline.shards.shard_server import ShardServer
from yokeline.store.client import KeyValueClient
from yokeline.store.configuration import ConfigurationSync
from yokeline.store.writer import ConfigurationWriter

MAX_TICK_ROUNDS = 8
"""Rounds of ticks in one event; a component that stays due waits for the next event."""

FAULT_PAUSE_SECONDS = 0.1
"""Pause after a tick of a component that raised, so that a fault does not take the whole core."""


class Component(Protocol):
    """A part of the node that does things at times of its own."""

    def tick(self) -> None:
        """Do what is due at ``context.now``."""
        ...

    def next_deadline(self) -> float | None:
        """Return when the next tick is due; None if none is."""
        ...


class Node:
    """One process start of a node; implements :class:`yokeline.effects.Service`.

    Attributes:
        replica: Identity of this process start.
        context: What the components share.
        membership: Who is alive.
        configuration: The configuration in force here.
        host: The shard replicas of this node.
        recovery: Starts shards anew that lost their majority, on an operator's order.
        executor: Drives the runs of the shards that this node leads.
        gateway: The HTTP API.
        stop: The planned stop.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        source: random.Random,
        now: float,
        wall_offset: float,
        files: Mapping[str, bytes] | None = None,
    ) -> None:
        """Start a node: a new replica id, no state.

        Args:
            settings: Checked settings.
            source: The node's only source of randomness; must differ for each start.
            now: Monotonic seconds.
            wall_offset: Wall seconds minus monotonic seconds.
            files: Content of the data folder; read only for the copies of lost shards.
        """
        self.settings = settings
        name = NodeName(settings.node.name)
        self.replica = new_replica_id(name, source)
        self.context = NodeContext(
            name=name,
            replica=self.replica,
            zone=settings.node.zone,
            source=source,
            wall_offset=wall_offset,
        )
        self.context.now = now
        self.context.set_peer_sender(self._send_peer)
        self._build_platform_parts()
        self._build_run_parts(self._read_copies(files or {}))
        self._build_edges()
        self._components: tuple[Component, ...] = (
            self.membership,
            self.machine_list,
            self.store,
            self.configuration,
            self.writer,
            self.bootstrap,
            self.host,
            self.engines,
            self.executor,
            self.router,
            self.gateway,
            self.stop,
        )
        # Due at once: the components' first ticks.
        self._deadline: float | None = now
        self._effects: list[Effect] = []
        self._paused_until: dict[int, float] = {}
        self._is_handled = False
        self.context.log("node_started", replica=self.replica, zone=settings.node.zone)

    # ------------------------------------------------------------ building

    def _build_platform_parts(self) -> None:
        settings = self.settings
        context = self.context
        self.membership = Membership(context, settings, self._own_member())
        self.machine_list = MachineListReader(context, settings)
        store_address = parse_address(settings.platform.store).unwrap()
        self.store = KeyValueClient(context, store_address, settings.platform)
        self.configuration = ConfigurationSync(context, self.store, settings, self.membership)
        self.writer = ConfigurationWriter(
            context, self.store, settings.platform.store_prefix, self.configuration.note_written
        )

    def _read_copies(self, files: Mapping[str, bytes]) -> StoredCopies:
        copies = read_copies(files)
        for shard, damaged in copies.damaged.items():
            self.context.warn("copy_damaged", shard=shard, error=damaged.error.line())
        if copies.usable:
            self.context.log("copies_found", shards=len(copies.usable))
        return copies

    def _build_run_parts(self, copies: StoredCopies) -> None:
        settings = self.settings
        context = self.context
        self.host = ShardHost(context, settings, self.membership, copies=copies)
        self.recovery = ShardRecovery(context, settings, self.store, self.host)
        self.bootstrap = PlacementBootstrap(
            context, settings, self.store, self.membership, self.host, self._any_leader_known
        )
        self.engines = EngineDirectory(
            context,
            settings,
            make_policy(
                settings.scheduling.policy, aging_seconds=settings.scheduling.aging_seconds
            ),
            lambda: self.configuration.view().pools(),
            self._machine_entries,
            reconciles=self._reconciles_engine,
            look_up_run=self._read_presence,
        )
        self.executor = Executor(
            context,
            settings,
            self.host,
            self.configuration.view,
            self.engines,
            self._is_leaving,
        )
        self.host.set_listener(self.executor)
        self.host.set_transfer_guard(self.executor.blocks_transfer)
        self.host.heartbeats.configuration_revision = self.configuration.revision
        self.configuration.on_change(lambda _view: self.engines.refresh())
        self.machine_list.on_change.append(self.engines.refresh)
        self.membership.on_change.append(lambda _member: self.host.peers_changed())

    def _build_edges(self) -> None:
        settings = self.settings
        context = self.context
        self.router = ShardRouter(context, self.host, self.executor)
        self.shard_server = ShardServer(context, self.host, self.executor)
        self.presence = RunPresenceReader(self.router, settings.cluster.shards)
        self.stop = PlannedStop(
            context,
            self.membership,
            self.host,
            in_flight=lambda: self.gateway.waiting(),
            stop_accepting=self._stop_accepting,
            answer_all=lambda: self.gateway.answer_all(),
            others_stay=self._others_stay,
        )
        self.admin = NodeAdmin(
            self.membership,
            self.host,
            self.engines,
            self.configuration,
            self.store,
            settings.cluster.shards,
            lambda: context.now,
            self.stop.transition_draining,
            self.recovery,
            context.wall,
        )
        self.gateway = Gateway(
            context, settings, self.router, self.configuration, self.writer, self.admin
        )

    def _own_member(self) -> Member:
        node = self.settings.node
        return Member(
            replica=self.replica,
            name=self.context.name,
            zone=node.zone,
            region=node.region,
            address=Address(node.host, node.peer_port),
            http_address=Address(node.host, node.http_port),
            started_wall=self.context.wall(),
        )

    # ------------------------------------------------------------ Service

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event in and return the effects to carry out, in order."""
        self.context.now = max(now, self.context.now)
        self._effects = []
        self._is_handled = False
        self._dispatch(event)
        self._is_handled = True
        effects = self._effects = self.context.take_outbox()
        if isinstance(event, HttpStreamItem) and not effects:
            # Most items are text that waits to be joined with more. The components are asked
            # for their deadlines by the tick that is due now: once for all items of a turn.
            self._deadline = self.context.now
        else:
            self._deadline = self._tick_due()
        self.host.flush()
        effects.extend(self.context.take_outbox())
        return effects

    def next_deadline(self) -> float | None:
        """Return when a tick is due at the latest."""
        return self._deadline

    def _tick_due(self) -> float | None:
        """Tick the components that are due; return when the next one will be."""
        for _ in range(MAX_TICK_ROUNDS):
            deadlines = [self._deadline_of(component) for component in self._components]
            earliest = min((time for time in deadlines if time is not None), default=None)
            if earliest is None or earliest > self.context.now:
                return earliest
            for component, deadline in zip(self._components, deadlines, strict=True):
                if deadline is not None and deadline <= self.context.now:
                    self._tick(component)
        return self.context.now

    def _deadline_of(self, component: Component) -> float | None:
        """Return when a component is due, after a pause if it has raised."""
        paused_until = self._paused_until.get(id(component), float("-inf"))
        try:
            deadline = component.next_deadline()
        except Exception as error:  # a fault of one component must not stop the others
            if paused_until <= self.context.now:
                paused_until = self._pause(component, error)
            return paused_until
        return None if deadline is None else max(deadline, paused_until)

    def _tick(self, component: Component) -> None:
        try:
            component.tick()
        except Exception as error:  # a fault of one component must not stop the others
            self._pause(component, error)

    def _pause(self, component: Component, error: Exception) -> float:
        """Log a fault of a component, and return until when it is not ticked."""
        trace = "".join(traceback.format_exception(error))
        self.context.fault(COMPONENT_FAULT, component=type(component).__name__, trace=trace)
        paused_until = self.context.now + FAULT_PAUSE_SECONDS
        self._paused_until[id(component)] = paused_until
        return paused_until

    def interruption(self) -> Interruption:
        """Return what was done with the latest event, whose handling raised."""
        effects = [*self._effects, *self.context.take_outbox()]
        return Interruption(effects=effects, is_handled=self._is_handled)

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether an exchange has no final answer yet."""
        return self.gateway.has_open(exchange)

    # ------------------------------------------------------------ dispatch

    def _dispatch(self, event: Event) -> None:
        if isinstance(event, PeerMessage):
            self._receive_peer(event.sender, event.message)
        elif isinstance(event, HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed):
            self.context.dispatch_http(event)
        elif isinstance(event, HttpArrived):
            self.gateway.handle(event)
        elif isinstance(event, HttpGone):
            self.gateway.gone(event)
        elif isinstance(event, DatagramArrived):
            self._receive_datagram(event)
        elif isinstance(event, StopRequested):
            self.stop.transition_draining()

    def _receive_datagram(self, event: DatagramArrived) -> None:
        self.membership.receive(event)
        if self.membership.superseded:
            self.stop.transition_superseded()

    def _receive_peer(self, sender: ReplicaId, message: msgspec.Struct) -> None:
        if isinstance(message, RaftBatch):
            self.host.receive_batch(sender, message)
        elif isinstance(message, Heartbeat):
            self.configuration.receive_revision(sender, message.configuration_revision)
            self.host.receive_heartbeat(sender, message)
        elif isinstance(message, HeartbeatReply):
            self.configuration.receive_revision(sender, message.configuration_revision)
            self.host.receive_heartbeat_reply(sender, message)
        elif isinstance(message, ShardRequest):
            self.shard_server.receive_request(sender, message)
        elif isinstance(message, ShardCancel):
            self.shard_server.receive_cancel(sender, message)
        elif isinstance(message, ShardReply):
            self.router.receive_reply(sender, message)
        elif isinstance(message, RunEvents):
            self.router.receive_events(sender, message)
        elif isinstance(message, ConfigurationPull):
            self.configuration.receive_pull(sender, message)
        elif isinstance(message, ConfigurationDelta):
            self.configuration.receive_delta(sender, message)

    # ------------------------------------------------------------ what the components ask

    def _send_peer(self, to: ReplicaId, message: msgspec.Struct) -> None:
        address = self.membership.address_of(to)
        if address is None:
            self.context.counters["yokeline_peer_messages_unroutable_total"] += 1
            return
        self.context.emit(SendPeer(to=to, address=address, message=message))

    def _machine_entries(self) -> tuple[MachineEntry, ...]:
        entries = []
        for machine in self.machine_list.machines():
            address = parse_address(machine.address).value_or(None)
            if address is not None:
                entry = MachineEntry(
                    address=address, labels=machine.labels, leaving=machine.leaving
                )
                entries.append(entry)
        return tuple(entries)

    def _is_leaving(self, address: Address) -> bool:
        return str(address) in self.machine_list.leaving()

    def _reconciles_engine(self, engine: str) -> bool:
        return self.host.leads(shard_of_name(engine, self.settings.cluster.shards))

    def _read_presence(self, run: RunId, tenant: str, done: PresenceHandler) -> None:
        self.presence.read(run, tenant, done)

    def _any_leader_known(self) -> bool:
        shards = range(self.settings.cluster.shards)
        return any(self.host.leader_of(ShardId(shard)) is not None for shard in shards)

    def _others_stay(self) -> bool:
        return any(
            member.replica != self.replica and member.state is not MemberState.LEAVING
            for member in self.membership.alive()
        )

    def _stop_accepting(self) -> None:
        self.gateway.stop_accepting()
        self.executor.begin_drain()


def build_node(
    settings: Settings,
    *,
    source: random.Random,
    now: float,
    wall_offset: float,
    files: Mapping[str, bytes] | None = None,
) -> Node:
    """Return a node that is ready to be bound; see :class:`Node`."""
    return Node(settings, source=source, now=now, wall_offset=wall_offset, files=files)
