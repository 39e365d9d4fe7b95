"""Service of a forwarding node: configuration, engine discovery, load reports and planned stops."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec
from msgspec import UnsetType
from returns.result import Failure, Success

from yokeline.effects import (
    DatagramArrived,
    Effect,
    Event,
    Exit,
    HttpArrived,
    HttpFailed,
    HttpGone,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
    Interruption,
    LogRecord,
    PeerMessage,
    ReloadRequested,
    SendPeer,
    SetServerLimits,
    StopListening,
    StopRequested,
)
from yokeline.forwarding.cold_engine_tracker import ColdEngineTracker
from yokeline.forwarding.configuration_lease import ConfigurationLease, LeaseState
from yokeline.forwarding.engine_discovery import EngineDiscovery
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.evacuations import EvacuationEnd, Evacuations
from yokeline.forwarding.forwarder import Forwarder
from yokeline.forwarding.load_reporting import LoadReporter, NodeStatus
from yokeline.forwarding.planned_stop import PlannedStop
from yokeline.forwarding.registry_sync import RegistrySync
from yokeline.forwarding.residency_report import ResidencyReporter
from yokeline.identifiers import ExchangeId, ReplicaId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.history_fetches import HistoryFetches, NearReplica
from yokeline.ledger.messages import (
    AttemptsEntrusted,
    ConfigurationAsk,
    ConfigurationProof,
    HistoryReply,
    LeaderAnswer,
    LedgerReply,
    LoadDigest,
    LoadReport,
    LossesQuery,
    LossesReply,
    PassedOnRequest,
    RegistryAsk,
    RegistryNews,
    StreamAsk,
    StreamCopy,
    StreamCopyEvents,
    StreamReply,
    TextReply,
    TextStored,
)
from yokeline.ledger.operations import OperationResult
from yokeline.losses.attempt_entrusting import AttemptEntrusting
from yokeline.registry.client import RegistryClient
from yokeline.registry.formats import DeploymentFormats
from yokeline.registry.nodes import (
    NODE_PREFIX,
    NodeRecord,
    NodeRole,
    encode_node,
    node_key,
    read_node,
    read_nodes,
    storage_nodes,
)
from yokeline.registry.protocol import StoredItem
from yokeline.registry.watch import WATCH_SECONDS
from yokeline.scheduling.cold_engines import ColdEngineRates
from yokeline.scheduling.topology import Distance
from yokeline.start_phases import StartPhases

STANDSTILL_SECONDS = 1.0
"""Time without any event or timer after which what the node knows of engines is outdated."""
STANDSTILL_REASON = "standstill"
"""Why an engine counts as cold after the node stood still."""
EVACUATED_REASON = "evacuated"
"""Why an engine counts as cold after the evacuation of its zone."""


class EdgeNode:
    """A forwarding node, without I/O."""

    def __init__(
        self,
        *,
        record: NodeRecord,
        process: ReplicaId,
        registry: RegistryClient,
        formats: DeploymentFormats,
        forwarder: Forwarder,
        engines: EngineTable,
        ledger: LedgerClient,
        histories: HistoryFetches,
        lease: ConfigurationLease,
        grace_seconds: float,
        engine_drain_seconds: float,
        phases: StartPhases,
        now: float,
        residency: ResidencyReporter | None = None,
        cold_engines: ColdEngineTracker | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        """Create the service; other nodes reach it under the id ``process``.

        Without ``evacuations`` it ignores evacuation orders.
        """
        self.forwarder = forwarder
        self.phases = phases
        self.ledger = ledger
        self.histories = histories
        self.lease = lease
        self.evacuations = evacuations
        if evacuations is not None:
            evacuations.on_ended = self._mark_returned_engines_cold
        forwarder.lease_state = lease.state
        forwarder.proof_age = lease.age
        forwarder.set_engine_view_age(lambda at: self._registry_sync.age(at))
        self._record = record
        self._registry = registry
        self._formats = formats
        self._engines = engines
        self.residency = residency or ResidencyReporter()
        self._stop = PlannedStop(grace_seconds)
        forwarder.planned_stop = self._stop
        self.cold_engines = cold_engines or _tracker_without_restrictions(record)
        self.cold_engines.rates.view_age = lambda at: self._registry_sync.age(at)
        self._discovery = EngineDiscovery(
            formats, engines, forwarder, engine_drain_seconds, now, self.cold_engines
        )
        self._load_reporter = LoadReporter(record, process, engines, now)
        self._registry_sync = RegistrySync(record, registry, self._load_reporter, now)
        ledger.engines_told = engines.apply_leader_report
        ledger.turns.earlier_name = engines.incarnations.legacy_name
        ledger.helpful_peers = lambda: self._load_reporter.peers_reaching_ledger(self._now)
        self._invalid_node_keys: set[str] = set()
        self._refused_revision = 0
        self._now = now
        self._effects: list[Effect] = []
        self._is_handled = False
        self._steps_begun = 0
        self._pending_phases: dict[str, Callable[[], bool]] = {
            "registry": lambda: registry.complete,
            "configuration": lambda: forwarder.table is not None,
            "engines": lambda: any(True for _ in engines.all()),
            "leader": lambda: ledger.leader is not None,
            "ledger": lambda: ledger.has_answered,
            "first_send": lambda: forwarder.has_sent,
        }
        forwarder.stream_beginnings.own_address = record.address
        forwarder.stream_beginnings.peers = self._load_reporter.stream_peers
        self._loss_synchronization = forwarder.loss_synchronization
        self._loss_synchronization.start(now)
        self._entrusting = AttemptEntrusting(forwarder.losses)
        self._entrusting.trustees = self._load_reporter.trustees
        self._entrusting.heard = self._load_reporter.heard_processes
        self._entrusting.silent_seconds = lambda: engines.node_report_ttl
        self._loss_synchronization.has_others = lambda: self._load_reporter.has_peers
        self._loss_synchronization.hears_others = self._load_reporter.hears_others
        registry.ensure(node_key(record.name), encode_node(record))

    @property
    def ready(self) -> bool:
        """Whether this node accepts new connections: it is configured and not stopping."""
        table = self.forwarder.table
        if table is None or not self._registry.complete or self._stop.is_requested:
            return False
        return table.tenants is None or self.lease.state(self._now) is not LeaseState.EXPIRED

    def registry_age(self) -> float:
        """Return the age of the last confirmation of the registry's contents (seconds)."""
        return self._registry_sync.age(self._now)

    def proof_age(self) -> float:
        """Return the age of the proof of the configuration (seconds); infinite without a proof."""
        return self.lease.age(self._now)

    def cold_count(self) -> int:
        """Return the number of engines that count as cold."""
        return self.cold_engines.rates.cold_count(self._now)

    # ------------------------------------------------------------ service

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Handle an event and return effects."""
        effects = self._effects = []
        self._is_handled = False
        self._steps_begun = 0
        if isinstance(event, PeerMessage) and isinstance(
            event.message, StreamCopy | StreamCopyEvents
        ):
            # Many, and nothing follows from them: the steps below wait for the next event.
            self._is_handled = True
            return self.forwarder.stream_beginnings.handle(event.sender, event.message, now)
        effects.extend(self._note_standstill(now))
        self._stop.observe_event(now)
        self._now = now
        self._loss_synchronization.tick(now)
        self.forwarder.losses.viewed_until = now - self._max_view_age()
        max_change_age = self._max_change_age()
        is_registry_event, changed, registry_effects = self._registry.take(event, now)
        effects.extend(registry_effects)
        effects.extend(self._apply_changes(changed, now, max_change_age))
        if not is_registry_event:
            effects.extend(self.cold_engines.observe_event(event, now))
            effects.extend(self._handle_event(event, now))
        self._is_handled = True
        effects.extend(self.cold_engines.tick(now))
        self._registry_sync.update_role(now)
        effects.extend(self._registry.tick(now))
        effects.extend(self._renew_lease(now))
        effects.extend(self._discovery.remove_expired(now))
        effects.extend(self.ledger.tick(now))
        effects.extend(self.histories.tick(now))
        effects.extend(self.residency.texts.tick(now))
        self._steps_begun = 1
        effects.extend(self.forwarder.tick(now))
        self.ledger.wants_engines = self.forwarder.awaits_model_engine()
        effects.extend(
            self._load_reporter.tick(
                NodeStatus(
                    waiting=self.forwarder.waiting(),
                    revision=self._registry.last_change(),
                    reaches_ledger=self.ledger.reaches_ledger,
                    watches=self._registry_sync.watches(now),
                    losses=self.forwarder.losses.reported_rows,
                    isolated=self.forwarder.isolated_instances(),
                    losses_version=self.forwarder.losses_version,
                ),
                now,
            )
        )
        effects.extend(self._entrusting.tick(now))
        self._steps_begun = 2
        effects.extend(self._continue_stop(now))
        effects.extend(self._log_start_phases(now))
        if self._registry.complete:
            effects.extend(self.residency.report(self.forwarder.table, self._engines.all()))
        if self.cold_engines.is_active:
            find = self.forwarder.sent_request
            records = self.cold_engines.observe_effects(event, effects, find, self._failed_now, now)
            effects.extend(records)
        return effects

    def interruption(self) -> Interruption:
        """Return what was done with the latest event, whose handling raised.

        A part that raises at each event keeps neither the deadlines of requests nor a stop from
        running.
        """
        for step in (self.forwarder.tick, self._continue_stop)[self._steps_begun :]:
            self._effects.extend(step(self._now))
        return Interruption(effects=self._effects, is_handled=self._is_handled)

    def held_bytes(self) -> int:
        """Return the memory of what open requests need beside what they brought."""
        return self.forwarder.held_bytes()

    def cached_bytes(self) -> int:
        """Return the memory of texts that replicas have as well."""
        return self.forwarder.cached_bytes()

    def drop_caches(self) -> None:
        """Free texts that replicas have as well."""
        self.forwarder.drop_caches()

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether an exchange has no final answer yet."""
        return self.forwarder.has_open(exchange)

    def _note_standstill(self, now: float) -> list[Effect]:
        """Count all engines as cold if this node stood still: they may have started meanwhile."""
        seconds = now - self._now
        if seconds < STANDSTILL_SECONDS or not self.cold_engines.rates.has_rates:
            return []
        engine_ids = [state.engine.engine_id for state in self._engines.all()]
        return [*self.cold_engines.mark_cold(engine_ids, STANDSTILL_REASON, now)]

    def _failed_now(self, engine_id: str) -> bool:
        """Return whether the current event was recorded as a failure of an engine."""
        state = self._engines.get(engine_id)
        return state is not None and state.failed_at == self._now

    def _renew_lease(self, now: float) -> list[Effect]:
        due = self.lease.next_deadline()
        if due is None or now < due:
            return []
        watches = self._registry_sync.reads_service
        return self.lease.tick(
            now,
            is_reader=watches and self._load_reporter.is_first_watcher(now),
            is_watcher=watches,
            peers=self._load_reporter.peers_watching(now),
        )

    def _log_start_phases(self, now: float) -> list[LogRecord]:
        """Log how long each phase of the start took."""
        lines: list[LogRecord] = []
        for phase, is_reached in list(self._pending_phases.items()):
            if is_reached():
                del self._pending_phases[phase]
                lines.extend(self.phases.reached(phase, now))
        return lines

    def next_deadline(self) -> float | None:
        """Return when the next tick is due."""
        dues = [
            self._registry.next_deadline(),
            self.ledger.next_deadline(),
            self.histories.next_deadline(),
            self.residency.texts.next_deadline(),
            self.forwarder.next_deadline(),
            self._load_reporter.next_deadline(),
            self._engines.next_expiry(),
            self.lease.next_deadline(),
            self.cold_engines.next_deadline(),
            self._stop.next_deadline(),
        ]
        return min(due for due in dues if due is not None)

    def _handle_event(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, HttpArrived):
            return self.forwarder.handle_request(event, now)
        if isinstance(event, HttpGone):
            return self.forwarder.handle_disconnect(event.exchange, now)
        if isinstance(event, HttpResponse | HttpFailed) and self.lease.owns(event):
            return self._apply_proven_item(self.lease.handle_read(event), now)
        if isinstance(event, HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed):
            return self.forwarder.handle_engine_event(event, now)
        if isinstance(event, PeerMessage):
            return self._handle_message(event, now)
        if isinstance(event, DatagramArrived):
            return self._handle_load_message(event.message, now)
        if isinstance(event, StopRequested):
            return self._begin_stop(now)
        if isinstance(event, ReloadRequested):
            return [LogRecord(event="reloaded", fields={"node": self._record.name})]
        return []

    def _handle_message(self, event: PeerMessage, now: float) -> list[Effect]:
        message = event.message
        if isinstance(message, LedgerReply):
            return self.ledger.take_reply(message, now)
        if isinstance(message, LeaderAnswer):
            return self.ledger.take_leader(event.sender, message, now)
        if isinstance(message, HistoryReply):
            return self.histories.take_reply(message, now)
        if isinstance(message, PassedOnRequest):
            return self._relay_ledger_request(event.sender, message, now)
        if isinstance(message, TextStored):
            return self.residency.texts.take_stored(event.sender, message, now)
        if isinstance(message, TextReply):
            return self.residency.texts.take_texts(event.sender, message, now)
        if isinstance(message, RegistryAsk):
            return self._registry_sync.answer_query(event.sender, message)
        if isinstance(message, ConfigurationAsk):
            return self.lease.answer_query(event.sender, message, now)
        if isinstance(message, ConfigurationProof):
            return self._apply_proven_item(self.lease.handle_proof(message), now)
        if isinstance(message, LossesQuery):
            return self._loss_synchronization.answer_query(event.sender, message, now)
        if isinstance(message, LossesReply):
            return self._loss_synchronization.apply_reply(event.sender, message, now)
        if isinstance(message, AttemptsEntrusted):
            return self._entrusting.take(event.sender, message, now)
        if isinstance(message, StreamAsk | StreamReply):
            return self.forwarder.stream_beginnings.handle(event.sender, message, now)
        if isinstance(message, RegistryNews):
            changed, effects = self._registry_sync.apply_news(event.sender, message, now)
            max_change_age = self._max_change_age()
            return [*effects, *self._apply_changes(changed, now, max_change_age)]
        return []

    def _relay_ledger_request(
        self, sender: ReplicaId, request: PassedOnRequest, now: float
    ) -> list[Effect]:
        """Forward a ledger operation for a node that cannot reach the ledger."""

        def answered(result: OperationResult | None, answered_at: float) -> list[Effect]:
            if result is None:
                return []
            reply = LedgerReply(
                number=request.number,
                results=(result,),
                passed_on=True,
                engines=self.ledger.engines,
            )
            return [SendPeer(to=sender, address=request.asker, message=reply)]

        return self.ledger.pass_on(sender, request, answered, now)

    def _handle_load_message(self, message: msgspec.Struct, now: float) -> list[Effect]:
        """Handle load reports of other nodes, and the registry revisions in them."""
        if isinstance(message, LoadReport):
            self._load_reporter.handle_report(message, now)
            effects = self._apply_losses(message, now)
            return [*effects, *self._registry_sync.handle_report(message, now)]
        if isinstance(message, LoadDigest) and message.reports:
            self._load_reporter.handle_digest(message, now)
            effects = [
                effect for report in message.reports for effect in self._apply_losses(report, now)
            ]
            latest = max(message.reports, key=lambda report: report.revision)
            return [*effects, *self._registry_sync.handle_report(latest, now)]
        return []

    def _apply_losses(self, report: LoadReport, now: float) -> list[Effect]:
        """Merge the losses in a report; ask its node for more if any may have been missed."""
        if report.node == self._record.name:
            return []
        if not isinstance(report.losses, UnsetType):
            self.forwarder.losses.apply_report(report.losses, now)
        own = self._record.address
        return self._loss_synchronization.ask_node(report.process, report.address, own, now)

    # ------------------------------------------------------------ registry changes

    def _max_change_age(self) -> float:
        """Return the greatest age of a change that arrives now (seconds).

        The change is later than the last confirmation of the registry's contents. A node that
        follows others had it from a watcher, whose watch request may have lasted its full time.
        """
        if self.evacuations is None or not self.evacuations.zones.is_enabled:
            return math.inf
        return self._max_view_age()

    def _max_view_age(self) -> float:
        """Return the greatest age of the registry's contents as this node knows them (seconds)."""
        own_seconds = self.registry_age()
        return own_seconds if self._registry_sync.reads_service else own_seconds + WATCH_SECONDS

    def _apply_changes(
        self, changed: list[StoredItem], now: float, max_change_age: float
    ) -> list[Effect]:
        """Apply one batch of registry changes; many removals in a batch count as an outage.

        ``max_change_age`` is the greatest age that the changes can have.
        """
        if not changed and self.cold_engines.has_begun:
            return []
        listed = len(self._registry.items(self._formats.engine_prefix)) if changed else 0
        self._discovery.begin_batch(changed, listed, now)
        if self._registry.complete:
            own_record = self._registry.item(node_key(self._record.name))
            self.cold_engines.begin_batch(own_record_found=own_record is not None)
        if any(item.key.startswith(NODE_PREFIX) for item in changed):
            # Once for all records of the batch: each time decodes every registered one.
            self._apply_nodes()
        effects: list[Effect] = []
        for item in changed:
            effects.extend(self._apply_change(item, now, max_change_age))
        if any(item.key.startswith((NODE_PREFIX, self._formats.retire_prefix)) for item in changed):
            self._apply_storage_nodes()
        return effects

    def _mark_returned_engines_cold(self, end: EvacuationEnd) -> list[Effect]:
        """Count the engines of a zone as cold after its evacuation; their entries may be older."""
        return [*self.cold_engines.mark_cold(end.engine_ids, EVACUATED_REASON, end.ended_at)]

    def _apply_change(self, item: StoredItem, now: float, max_change_age: float) -> list[Effect]:
        if item.key == self._formats.configuration_key:
            return self._apply_configuration(item, now)
        if self._discovery.owns(item):
            return self._discovery.apply_change(item, now)
        if self.evacuations is not None and self.evacuations.owns(item):
            self.forwarder.forget_capacity()
            return self.evacuations.apply_change(item, now, max_change_age)
        if item.key.startswith(NODE_PREFIX):
            return self._validate_node_record(item)
        return []

    def _validate_node_record(self, item: StoredItem) -> list[Effect]:
        """Log once if the value under the node prefix is not a valid node record."""
        read = read_node(item) if item.value is not None else None
        if not isinstance(read, Failure):
            self._invalid_node_keys.discard(item.key)
            return []
        if item.key in self._invalid_node_keys:
            return []
        self._invalid_node_keys.add(item.key)
        fields: dict[str, str | int | float | bool | None] = {
            "key": item.key,
            "revision": item.revision,
            "reason": read.failure().message,
        }
        return [LogRecord(event="node_refused", fields=fields, level="error")]

    def _apply_proven_item(self, item: StoredItem | None, now: float) -> list[Effect]:
        """Apply a configuration that arrived with a proof, before the registry delivered it."""
        return self._apply_configuration(item, now) if item is not None else []

    def _apply_configuration(self, item: StoredItem, now: float) -> list[Effect]:
        """Apply a configuration, unless it is older than the one in force."""
        if item.value is None:
            return []
        read = self._formats.read_routing(item.value)
        if not isinstance(read, Success):
            if item.revision == self._refused_revision:
                return []  # The lease reads it again and again.
            self._refused_revision = item.revision
            return [
                LogRecord(
                    event="configuration_refused",
                    fields={"revision": item.revision, "reason": read.failure().message},
                    level="error",
                )
            ]
        table = read.unwrap()
        self.lease.set_configuration(item, has_keys=table.tenants is not None)
        current = self.forwarder.table
        if current is not None and table.version <= current.version:
            return []
        self.forwarder.table = table
        limits = table.limits
        return [
            *self.cold_engines.set_pools(table.pools, now),
            LogRecord(
                event="configuration_applied",
                fields={
                    "version": table.version,
                    "before": current.version if current else None,
                    "revision": item.revision,
                    "routes": len(table.routes),
                },
            ),
            SetServerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                request_seconds=limits.header_seconds,
                idle_seconds=limits.idle_seconds,
            ),
        ]

    def _apply_nodes(self) -> None:
        records = read_nodes(self._registry.items(NODE_PREFIX).values())
        storage = [record for record in records if record.role is NodeRole.STORAGE]
        self.ledger.set_storage({record.replica: record.address for record in storage})
        self.histories.set_replicas([self._near_replica(record) for record in storage])
        edges = [record for record in records if record.role is NodeRole.EDGE]
        self._load_reporter.set_nodes(edges, self._now)
        self.cold_engines.rates.set_nodes([record.name for record in edges], self._now)
        self._registry_sync.nodes_changed(self._now)

    def _apply_storage_nodes(self) -> None:
        """Set where regional texts may be stored."""
        orders = self._registry.items(self._formats.retire_prefix).items()
        read = (self._formats.read_retire_order(key, item.value or b"") for key, item in orders)
        retiring = {order.unwrap().node for order in read if isinstance(order, Success)}
        self.residency.set_storage(
            storage_nodes(self._registry.items(NODE_PREFIX).values()), retiring
        )

    def _near_replica(self, record: NodeRecord) -> NearReplica:
        distance = self._engines.topology.distance(record.zone)
        return NearReplica(
            record.replica,
            record.address,
            is_near=record.zone == self._record.zone,
            is_in_region=distance is not Distance.OTHER_REGION,
        )

    # ------------------------------------------------------------ planned stops

    def _begin_stop(self, now: float) -> list[Effect]:
        if self._stop.is_requested:
            return []
        self._stop.begin(now)
        fields: dict[str, str | int | float | bool | None] = {
            "node": self._record.name,
            "under_way": self.forwarder.under_way,
            "held": self.forwarder.held,
        }
        return [LogRecord(event="stopping", fields=fields)]

    def _continue_stop(self, now: float) -> list[Effect]:
        """Exit once the node is drained; answer what is open before the grace period ends."""
        if not self._stop.is_requested or self._stop.has_exited:
            return []
        effects: list[Effect] = []
        if self._stop.is_answer_due(now):
            effects.extend(self._answer_open_requests(now))
        is_busy = self.forwarder.under_way or self.forwarder.held or self.ledger.under_way
        self._stop.check(now, is_busy=bool(is_busy))
        self.forwarder.closes_connections = self._stop.closes_connections(now)
        if self._stop.refuses(now) and not self.forwarder.refusing:
            self.forwarder.refusing = True
            effects.append(StopListening())
        if not self._stop.may_exit(now):
            return effects
        self._stop.has_exited = True
        self.forwarder.refusing = True
        effects.extend(self.forwarder.log_open_requests("request_open_at_exit"))
        fields = {"node": self._record.name, **self._stop_fields(now)}
        effects.append(LogRecord(event="stopped", fields=fields))
        effects.append(Exit(output_seconds=self._stop.output_seconds(now)))
        return effects

    def _answer_open_requests(self, now: float) -> list[Effect]:
        fields = {"node": self._record.name, **self._stop_fields(now)}
        record = LogRecord(event="open_requests_answered", fields=fields)
        self._stop.has_answered = True
        self.forwarder.closes_connections = True
        return [StopListening(), record, *self.forwarder.answer_all(now)]

    def _stop_fields(self, now: float) -> dict[str, str | int | float | bool | None]:
        return {
            "under_way": self.forwarder.under_way,
            "held": self.forwarder.held,
            "ledger_operations": self.ledger.under_way,
            "late_seconds": round(self._stop.late_seconds, 3),
            "seconds": round(self._stop.elapsed(now), 2),
        }


def _tracker_without_restrictions(record: NodeRecord) -> ColdEngineTracker:
    """Return a tracker whose rates restrict no request, since no forwarder asks them."""
    return ColdEngineTracker(ColdEngineRates(record.name, 1.0, 0.0, 0.0))
