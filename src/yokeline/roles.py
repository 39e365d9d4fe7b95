"""Puts the cores of a role together and runs them as a process."""

from __future__ import annotations

import gc
import random
import resource
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from yokeline.early_sockets import EarlySockets
from yokeline.effects import Address, Service
from yokeline.errors import EXIT_USAGE, ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId, new_replica_id
from yokeline.ledger.codec import LedgerCodec
from yokeline.logs import set_up_role_logs
from yokeline.node.limits import (
    MEBIBYTE,
    ClientLimits,
    PeerLimits,
    ServerLimits,
    TransportLimits,
)
from yokeline.node.process import ServiceBinding, run_services
from yokeline.node.sockets import OpenSockets
from yokeline.process_transports import ProcessTransports
from yokeline.registry.client import RegistryClient
from yokeline.registry.formats import DeploymentFormats
from yokeline.registry.nodes import OWN_PREFIX, NodeRecord, NodeRole
from yokeline.registry.protocol import StoreProtocol
from yokeline.registry.watch import WATCH_SECONDS
from yokeline.role_settings import RoleSettings, parse_address
from yokeline.start_phases import StartPhases
from yokeline.status_service import StatusService

if TYPE_CHECKING:
    from yokeline.forwarding.dialect import Dialect

SEED_BITS = 128
_DESCRIPTORS_FOR_CALLERS = 0.6
_DESCRIPTORS_FOR_PEERS = 0.2
_EDGE_WATCH_PAUSE_SECONDS = 0.1
"""Pause of a forwarding node after a change, so that one call brings several; the next change is
known that much later at most, a twentieth of the shortest time for a configuration (2 s)."""

_STORAGE_WATCH_SECONDS = 4.0
"""A storage node is told of orders and of other nodes; neither is urgent, and calls cost."""

_STORAGE_WATCH_PAUSE_SECONDS = 0.3
"""Its pause after a change, so that one call brings several."""

_BUFFER_MEMORY_SHARE = 0.35
"""Share of a process's memory for all its buffers; the rest is for what it needs at rest, and for
copies of the buffer that is being worked on."""

_LOG_MEMORY_SHARE = 1 / 8
"""Share of a storage node's memory for the entries of the ledger's log."""
_STATUS_CONNECTIONS = 128
"""Connections to an address of readiness or metrics; beyond it those that rest are closed."""

BoundServices = list[tuple[Service, ServiceBinding, OpenSockets | None]]


class Adapter(msgspec.Struct, frozen=True, kw_only=True):
    """What a deployment spells in its own way.

    Attributes:
        dialect: Makes the header fields' dialect; called by the role that serves requests, so that
            others do not load its modules.
    """

    store: Callable[[Address], StoreProtocol]
    formats: DeploymentFormats
    dialect: Callable[[], Dialect]
    ready_path: str


class ProcessStart(msgspec.Struct, frozen=True):
    """What the process did before its role was imported.

    Attributes:
        began_at: Its first instruction (monotonic seconds).
        early: Sockets that listen already.
    """

    began_at: float
    early: EarlySockets

    def sockets(self, http: Address | None, peer: Address | None) -> OpenSockets | None:
        """Return the sockets of a service if all of them listen already; None to open them."""
        sockets = OpenSockets()
        if http is not None:
            sockets.http = self.early.take_listener(http.host, http.port)
        if peer is not None:
            sockets.peer = self.early.take_listener(peer.host, peer.port)
            sockets.datagrams = self.early.take_datagrams(peer.host, peer.port)
        has_http = http is None or sockets.http is not None
        has_peer = peer is None or (sockets.peer is not None and sockets.datagrams is not None)
        if has_http and has_peer:
            return sockets
        sockets.close()
        return None


LOG_DRAIN_SECONDS = 0.1
"""Longest wait for the reader of the log lines when a process ends."""


def run_role(role: str, settings: RoleSettings, adapter: Adapter, start: ProcessStart) -> int:
    """Run a node until it is stopped; return the exit code."""
    logs = set_up_role_logs(settings.log_level)
    builders = {"edge": _edge_services, "storage": _storage_services}
    builder = builders.get(role)
    if builder is None:
        print(f"bad_setting: no role {role!r}; use edge or storage", file=sys.stderr)
        return EXIT_USAGE
    transports = ProcessTransports(logs.dropped)
    built = builder(settings, adapter, start, transports)
    if isinstance(built, Failure):
        print(built.failure().line(), file=sys.stderr)
        return EXIT_USAGE
    _log_start(role, settings, start)
    # Modules and the recovered log stay: collections need not look at them.
    gc.freeze()
    gc.enable()
    services = _with_sockets(built.unwrap(), start)
    exit_code = run_services(services, on_bound=transports.bound.append)
    logs.drain(LOG_DRAIN_SECONDS)
    return exit_code


def _with_sockets(services: BoundServices, start: ProcessStart) -> BoundServices:
    """Let services take over the sockets that listen already."""
    bound = [
        (service, binding, start.sockets(binding.http, binding.peer))
        for service, binding, _ in services
    ]
    start.early.close()
    return bound


def _edge_services(
    settings: RoleSettings, adapter: Adapter, start: ProcessStart, transports: ProcessTransports
) -> Result[BoundServices, YokelineError]:
    # Imported here, as the storage part below: a role loads only what it needs.
    from yokeline.forwarding.cold_engine_tracker import ColdEngineTracker
    from yokeline.forwarding.configuration_lease import ConfigurationLease
    from yokeline.forwarding.edge_node import EdgeNode
    from yokeline.forwarding.engines import EngineTable
    from yokeline.forwarding.evacuations import Evacuations
    from yokeline.forwarding.forwarder import Forwarder
    from yokeline.forwarding.metrics import edge_figures
    from yokeline.forwarding.residency import DataResidency
    from yokeline.forwarding.residency_report import ResidencyReporter
    from yokeline.forwarding.tenant_limits import LimitTolerance
    from yokeline.ledger.client import LedgerClient
    from yokeline.ledger.history_fetches import HistoryFetches
    from yokeline.ledger.regional_texts import RegionalTexts
    from yokeline.losses.engine_fates import end_detection_seconds
    from yokeline.scheduling.cold_engines import ColdEngineRates
    from yokeline.scheduling.eligibility import EligibilityPolicy
    from yokeline.scheduling.topology import Topology
    from yokeline.scheduling.zone_evacuation import ZoneEvacuations

    front = parse_address(settings.front, "front")
    ready = parse_address(settings.ready, "ready")
    if isinstance(front, Failure):
        return front
    if isinstance(ready, Failure):
        return ready
    source = random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    store = parse_address(settings.store, "store").map(adapter.store)
    if isinstance(store, Failure):
        return store
    registry = RegistryClient(store.unwrap(), ("",), source)
    registry.set_pace(WATCH_SECONDS, _EDGE_WATCH_PAUSE_SECONDS)
    now = time.monotonic()
    record = NodeRecord(
        name=settings.name,
        role=NodeRole.EDGE,
        replica=ReplicaId(settings.name),
        address=settings.peer_address,
        zone=settings.zone,
    )
    engines = EngineTable(settings.name, Topology(settings.zone, settings.zone_regions))
    ledger = LedgerClient(settings.peer_address, searches_at_start=not settings.first_start)
    evacuated_zones = ZoneEvacuations(settings.evacuation_ms / 1000.0)
    histories = HistoryFetches(settings.name, settings.peer_address)
    # Of this process alone: an answer to an earlier one must not reach it.
    process = new_replica_id(settings.name, source)
    residency = DataResidency(settings.own_region, settings.zone_regions)
    texts = RegionalTexts(settings.peer_address, settings.own_region)
    cold_rates = ColdEngineRates(
        settings.name, settings.cold_overage, settings.cold_slack, start.began_at
    )
    forwarder = Forwarder(
        zone=settings.zone,
        dialect=adapter.dialect(),
        ledger=ledger,
        histories=histories,
        engines=engines,
        tolerance=LimitTolerance(
            window=settings.limit_window_seconds,
            overage=settings.limit_overage,
            slack=settings.limit_slack,
        ),
        process=process,
        # What cannot pass by waiting is asked first, so that it is the cause.
        eligibility=EligibilityPolicy((residency.restriction, evacuated_zones, cold_rates)),
        residency=residency,
        texts=texts,
        has_room=transports.has_room,
    )
    forwarder.losses.ends.detection_seconds = end_detection_seconds(
        settings.engine_heartbeat_ms / 1000.0
    )
    lease = ConfigurationLease(
        store.unwrap(),
        adapter.formats.configuration_key,
        settings.peer_address,
        settings.revoke_ms / 1000.0,
        now,
    )
    node = EdgeNode(
        record=record,
        process=process,
        registry=registry,
        formats=adapter.formats,
        forwarder=forwarder,
        engines=engines,
        ledger=ledger,
        histories=histories,
        lease=lease,
        grace_seconds=settings.grace_seconds,
        engine_drain_seconds=settings.engine_drain_ms / 1000.0,
        phases=StartPhases(start.began_at),
        now=now,
        residency=ResidencyReporter(residency, texts),
        cold_engines=ColdEngineTracker(cold_rates, first_start=settings.first_start),
        evacuations=Evacuations(adapter.formats, evacuated_zones, engines),
    )
    binding = ServiceBinding(
        http=front.unwrap(),
        peer=settings.peer_address,
        replica=process,
        limits=_limits(settings),
        codec=LedgerCodec(),
    )
    status = StatusService(
        ready=lambda: node.ready,
        ready_path=adapter.ready_path,
        figures=lambda: transports.add_to(edge_figures(node)),
    )
    services: BoundServices = [
        (node, binding, None),
        (status, _status_binding(ready.unwrap()), None),
    ]
    return Success(_with_metrics(services, status, settings))


def _storage_services(
    settings: RoleSettings, adapter: Adapter, start: ProcessStart, transports: ProcessTransports
) -> Result[BoundServices, YokelineError]:
    from yokeline.ledger.disk_records import recover
    from yokeline.ledger.regional_text_store import (
        TEXTS_FILE,
        RegionalTextStore,
        recover_texts,
    )
    from yokeline.ledger.replica import LOG_FILE, LedgerReplica
    from yokeline.ledger.storage_figures import storage_figures
    from yokeline.ledger.storage_node import StorageNode

    source = random.Random(random.SystemRandom().getrandbits(SEED_BITS))
    folder = Path(settings.data_folder)
    data = _read_log(folder, LOG_FILE)
    if isinstance(data, Failure):
        return data
    recovered = recover(data.unwrap())
    if isinstance(recovered, Failure):
        return recovered
    log = recovered.unwrap()
    cut = _cut_tail(folder / LOG_FILE, log.valid_bytes, len(data.unwrap()))
    if isinstance(cut, Failure):
        return cut
    text_data = _read_log(folder, TEXTS_FILE)
    if isinstance(text_data, Failure):
        return text_data
    texts = recover_texts(text_data.unwrap())
    if isinstance(texts, Failure):
        return texts
    cut = _cut_tail(folder / TEXTS_FILE, texts.unwrap().valid_bytes, len(text_data.unwrap()))
    if isinstance(cut, Failure):
        return cut
    store = parse_address(settings.store, "store").map(adapter.store)
    if isinstance(store, Failure):
        return store
    prefixes = (adapter.formats.retire_prefix, OWN_PREFIX)
    registry = RegistryClient(store.unwrap(), prefixes, source, _STORAGE_WATCH_SECONDS)
    registry.set_pace(_STORAGE_WATCH_SECONDS, _STORAGE_WATCH_PAUSE_SECONDS)
    now = time.monotonic()
    replica_id = log.replica or new_replica_id(settings.name, source)
    replica = LedgerReplica(
        replica=replica_id,
        address=settings.peer_address,
        recovered=log,
        source=source,
        now=now,
        first_start=settings.first_start,
        link_mbps=settings.link_mbps,
        compact_bytes=_compact_bytes(settings),
    )
    record = NodeRecord(
        name=settings.name,
        role=NodeRole.STORAGE,
        replica=replica_id,
        address=settings.peer_address,
        zone=settings.zone,
    )
    node = StorageNode(
        record=record,
        replica=replica,
        registry=registry,
        formats=adapter.formats,
        wall=time.time,
        phases=StartPhases(start.began_at),
        now=now,
        texts=RegionalTextStore(
            replica=replica_id,
            address=settings.peer_address,
            region=settings.own_region,
            recovered=texts.unwrap(),
            wall=time.time,
            now=now,
            memory_mb=settings.memory_mb,
        ),
        zone_regions=settings.zone_regions,
        memory_bytes=settings.memory_mb * MEBIBYTE,
    )
    binding = ServiceBinding(
        peer=settings.peer_address,
        replica=replica_id,
        limits=_limits(settings),
        codec=LedgerCodec(),
        synced_folder=settings.data_folder,
    )
    status = StatusService(
        ready=lambda: True, figures=lambda: transports.add_to(storage_figures(node))
    )
    return Success(_with_metrics([(node, binding, None)], status, settings))


def _with_metrics(
    services: BoundServices, status: StatusService, settings: RoleSettings
) -> BoundServices:
    if settings.metrics_port:
        address = Address(settings.host, settings.metrics_port)
        services.append((status.twin(), _status_binding(address), None))
    return services


def _status_binding(address: Address) -> ServiceBinding:
    """Return what a status service is bound to; its requests have no body."""
    server = ServerLimits(max_connections=_STATUS_CONNECTIONS, max_body_bytes=0)
    return ServiceBinding(http=address, limits=TransportLimits(server=server), auxiliary=True)


def _limits(settings: RoleSettings) -> TransportLimits:
    for_callers = int(settings.max_descriptors * _DESCRIPTORS_FOR_CALLERS)
    return TransportLimits(
        server=ServerLimits(
            max_connections=for_callers, silent_seconds=10.0, max_body_bytes=8 * MEBIBYTE
        ),
        client=ClientLimits(
            connect_seconds=0.6,
            max_connections=max(64, settings.max_descriptors - for_callers - 256),
            max_connections_per_address=64,
            idle_seconds=20.0,
            silent_seconds=3.0,
        ),
        peers=PeerLimits(
            connect_seconds=0.5,
            max_backoff_seconds=0.3,
            prompt_seconds=1.5,
            silent_seconds=1.0,
            max_queue_seconds=1.0,
            max_connections=int(settings.max_descriptors * _DESCRIPTORS_FOR_PEERS),
        ),
        buffer_bytes=_buffer_bytes(settings),
    )


def _compact_bytes(settings: RoleSettings) -> int:
    """Return the size of the ledger's log from which it is compacted; the memory holds it too."""
    from yokeline.ledger.replica import MIN_COMPACT_BYTES

    if not settings.memory_mb:
        return MIN_COMPACT_BYTES
    return min(MIN_COMPACT_BYTES, int(_LOG_MEMORY_SHARE * settings.memory_mb * MEBIBYTE))


def _buffer_bytes(settings: RoleSettings) -> int:
    """Return the memory that all buffers of the process may take together."""
    if settings.buffer_mb:
        return int(settings.buffer_mb * MEBIBYTE)
    if settings.memory_mb:
        return int(_BUFFER_MEMORY_SHARE * settings.memory_mb * MEBIBYTE)
    return TransportLimits().buffer_bytes


def _read_log(folder: Path, name: str) -> Result[bytes, YokelineError]:
    try:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / name
        return Success(path.read_bytes() if path.exists() else b"")
    except OSError as error:
        return Failure(_unusable(folder, error))


def _cut_tail(path: Path, valid_bytes: int, found_bytes: int) -> Result[None, YokelineError]:
    """Cut off what a loss of power left half written."""
    if valid_bytes == found_bytes:
        return Success(None)
    try:
        with open(path, "r+b") as file:
            file.truncate(valid_bytes)
    except OSError as error:
        return Failure(_unusable(path, error))
    return Success(None)


def _unusable(path: Path, error: OSError) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"{path} cannot be used: {error.strerror or error}",
        remedy="set data_folder to a folder on a disk that this process may write",
    )


def _log_start(role: str, settings: RoleSettings, start: ProcessStart) -> None:
    import absl.logging

    absl.logging.info(
        {
            "event": "started",
            "role": role,
            "node": settings.name,
            "zone": settings.zone,
            "first_start": settings.first_start,
            "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            "processor_seconds": round(time.process_time(), 3),
            "seconds": round(time.monotonic() - start.began_at, 3),
        }
    )
