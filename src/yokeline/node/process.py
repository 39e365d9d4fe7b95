"""Runs services as a process: one circuits application, one event loop."""

from __future__ import annotations

import resource
import signal
import sys
import threading
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import absl.logging
import msgspec
from circuits.core.components import BaseComponent
from circuits.core.events import Event as CircuitsEvent
from circuits.core.handlers import handler
from returns.result import Failure, Result, Success

from yokeline.effects import Address, ReloadRequested, Service
from yokeline.errors import EXIT_FAILURE, EXIT_USAGE, ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId
from yokeline.node.bridge import Bridge, DeadlineTimer
from yokeline.node.datagrams import DatagramEndpoint
from yokeline.node.http_client import HttpClient
from yokeline.node.http_server import HttpServer
from yokeline.node.limits import ServerLimits, TransportLimits
from yokeline.node.memory_budget import BufferKind, MemoryBudget
from yokeline.node.peer_transport import PeerTransport
from yokeline.node.poller import SocketPoller
from yokeline.node.sockets import OpenSockets, open_sockets
from yokeline.node.wire_codec import WireCodec

_DRAIN_CHECK_SECONDS = 0.01

HTTP_REFUSED = "yokeline_http_connections_refused_total"
HTTP_IDLE_CLOSED = "yokeline_http_idle_connections_closed_total"
SLOW_READERS = "yokeline_http_slow_readers_cut_off_total"
PEERS_REFUSED = "yokeline_peer_connections_refused_total"
FRAMES_DROPPED = "yokeline_peer_frames_dropped_total"
PEER_BYTES = "yokeline_peer_bytes_total"
REFUSED_FOR_MEMORY = "yokeline_requests_refused_for_memory_total"
BUFFERS_FREED = "yokeline_buffers_freed_total"
BUFFER_BYTES = "yokeline_buffer_bytes"
DATAGRAMS_DROPPED = "yokeline_datagrams_dropped_total"

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_RELOAD_SIGNAL = signal.SIGHUP


class ServiceBinding(msgspec.Struct, frozen=True, kw_only=True):
    """What a service is bound to.

    Attributes:
        http: Where the HTTP server listens; None for none. Port 0 takes a free one.
        peer: Where other nodes connect (TCP) and send datagrams (UDP); None for none.
        replica: This process start; needed with ``peer``.
        data_folder: Folder for file effects; empty for none (they are then an error).
        limits: Limits of the transports.
        codec: Messages between nodes; None for those of the nodes that keep runs.
        synced_folder: Folder for :class:`~yokeline.effects.SyncFile`; empty for none.
        auxiliary: The process does not wait for this service to exit.
    """

    http: Address | None = None
    peer: Address | None = None
    replica: ReplicaId = ReplicaId("")
    data_folder: str = ""
    limits: TransportLimits = TransportLimits()
    codec: WireCodec | None = None
    synced_folder: str = ""
    auxiliary: bool = False


class stop_wanted(CircuitsEvent):  # noqa: N801 - circuits names events in lower case
    """Another thread wants all services to stop in the planned way."""


class Application(BaseComponent):
    """The root of the component tree: the event loop with any number of services."""

    channel = "application"

    def __init__(self) -> None:
        """Create an application without services."""
        super().__init__()
        self._poller = SocketPoller().register(self)
        self._timer = DeadlineTimer().register(self)
        self._services: list[BoundService] = []
        self._running_services = 0
        self._budget: MemoryBudget | None = None
        self.exit_code = 0
        self.started_running = threading.Event()

    def add_service(
        self, service: Service, binding: ServiceBinding, sockets: OpenSockets | None = None
    ) -> Result[BoundService, YokelineError]:
        """Bind a service; its sockets listen from now on and are served by ``run``.

        Args:
            service: The service.
            binding: What it is bound to.
            sockets: Sockets opened before (to learn their ports); by default they are
                opened here.
        """
        opened = Success(sockets) if sockets else open_sockets(binding.http, binding.peer)
        if not isinstance(opened, Success):
            return Failure(opened.failure())
        folder: Path | None = None
        if binding.data_folder:
            from yokeline.node.data_folder import open_folder

            usable = open_folder(binding.data_folder)
            if not isinstance(usable, Success):
                opened.unwrap().close()
                return Failure(usable.failure())
            folder = usable.unwrap()
        channel = f"service-{len(self._services)}"
        bound = BoundService(
            service,
            channel,
            binding,
            opened.unwrap(),
            folder,
            self._poller,
            self._timer,
            self._shared_budget(binding.limits),
        )
        bound.bridge.register(self)
        self._services.append(bound)
        self._running_services += 0 if binding.auxiliary else 1
        return Success(bound)

    def _shared_budget(self, limits: TransportLimits) -> MemoryBudget:
        """Return the budget of the process, which the limits of its first service determine."""
        if self._budget is None:
            by_kind = {
                BufferKind.REQUEST: limits.arriving_request_bytes,
                BufferKind.RESPONSE: limits.arriving_response_bytes,
            }
            self._budget = MemoryBudget(limits.buffer_bytes, by_kind)
        return self._budget

    def request_stop(self) -> None:
        """Ask all services for a planned stop; may be called from any thread."""
        self.fire(stop_wanted())

    def reload(self, number: int, stack: Any) -> None:
        """Tell all services that their settings have changed (a signal handler)."""
        for bound in self._services:
            bound.bridge.submit(ReloadRequested())

    @handler("started", channel="*")
    def _on_started(self, manager: Any) -> None:
        self.started_running.set()

    @handler("stop_wanted")
    def _on_stop_wanted(self) -> None:
        for bound in self._services:
            bound.bridge.request_stop()

    @handler("signal", channel="*")
    def _on_signal(self, number: int, stack: Any) -> None:
        """Turn SIGTERM and SIGINT into a planned stop."""
        if number in _STOP_SIGNALS:
            self._on_stop_wanted()

    @handler("service_stopped", channel="*", priority=-1)
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        """End the loop after the last service, once its output is read or time is up."""
        self.exit_code = max(self.exit_code, exit_code)
        self._running_services -= 1
        if self._running_services == 0:
            self._timer.deadlines.call_after(output_seconds, self._end_loop)
            self._end_when_drained()

    @handler("exception", channel="*")
    def _on_exception(
        self, error_type: Any, value: Any, trace: Any, handler: Any = None, fevent: Any = None
    ) -> None:
        """Log a fault of a component as one line."""
        absl.logging.error({"event": "component_fault", "reason": repr(value), "trace": trace})

    def _end_when_drained(self) -> None:
        self._poller.settle()
        if any(bound.unsent_bytes() for bound in self._services):
            self._timer.deadlines.call_after(_DRAIN_CHECK_SECONDS, self._end_when_drained)
            return
        self._end_loop()

    def _end_loop(self) -> None:
        self.stop()


class BoundService:
    """A service with its bridge and transports."""

    def __init__(
        self,
        service: Service,
        channel: str,
        binding: ServiceBinding,
        sockets: OpenSockets,
        folder: Path | None,
        poller: SocketPoller,
        timer: DeadlineTimer,
        budget: MemoryBudget,
    ) -> None:
        """Create the components that the binding asks for."""
        deadlines = timer.deadlines
        limits = binding.limits
        self.http_address = sockets.http_address()
        self.peer_address = sockets.peer_address()
        self.bridge = Bridge(service, channel)
        budget.add_source(self.bridge)
        self.budget = budget
        self.client = HttpClient(self.bridge, poller, deadlines, limits.client, budget)
        self.client.register(self.bridge)
        self.server: HttpServer | None = None
        self.peers: PeerTransport | None = None
        self.datagrams: DatagramEndpoint | None = None
        if sockets.http is not None:
            self.server = HttpServer(
                self.bridge,
                poller,
                deadlines,
                sockets.http,
                _within_descriptors(limits.server),
                budget,
            ).register(self.bridge)
        if sockets.peer is not None and sockets.datagrams is not None:
            self.peers = PeerTransport(
                self.bridge,
                poller,
                deadlines,
                sockets.peer,
                binding.replica,
                limits.peers,
                budget,
                binding.codec,
            ).register(self.bridge)
            self.datagrams = DatagramEndpoint(
                self.bridge, poller, sockets.datagrams, limits.peers, binding.codec
            ).register(self.bridge)
        # Imported by the processes that write files only.
        if folder is not None:
            from yokeline.node.data_folder import DataFolder

            DataFolder(self.bridge, folder).register(self.bridge)
        if binding.synced_folder:
            from yokeline.node.synced_files import SyncedFiles

            SyncedFiles(self.bridge, poller, Path(binding.synced_folder)).register(self.bridge)

    def transport_counters(self) -> dict[str, float]:
        """Return what the transports refused and dropped so far, by metric name."""
        counters: dict[str, float] = {}
        if self.server is not None:
            counters[HTTP_REFUSED] = self.server.refused_connections
            counters[HTTP_IDLE_CLOSED] = self.server.closed_idle_connections
        if self.peers is not None:
            counters[PEERS_REFUSED] = self.peers.refused_connections
            dropped = {**self.peers.counters, "queue_limit": self.peers.dropped_frames()}
            counters.update(_by_reason(FRAMES_DROPPED, dropped))
            for direction, sizes in (
                ("sent", self.peers.traffic.sent),
                ("received", self.peers.traffic.received),
            ):
                for kind, size in sizes.items():
                    counters[f'{PEER_BYTES}{{direction="{direction}",kind="{kind}"}}'] = size
        if self.datagrams is not None:
            counters.update(_by_reason(DATAGRAMS_DROPPED, self.datagrams.counters))
        return counters

    def all_counters(self) -> dict[str, float]:
        """Return the counters of the transports and of the memory of the process."""
        return {**self.transport_counters(), **self.memory_counters()}

    def memory_counters(self) -> dict[str, float]:
        """Return what was refused or freed for the memory of the whole process, by metric name."""
        freed = self.budget.freed
        return {
            SLOW_READERS: freed[BufferKind.ANSWER],
            REFUSED_FOR_MEMORY: self.budget.refused_requests,
            **{f'{BUFFERS_FREED}{{kind="{kind.value}"}}': freed[kind] for kind in list(BufferKind)},
        }

    def unsent_bytes(self) -> int:
        """Return how many bytes of answers and messages the kernel has not taken yet."""
        outputs = (self.server, self.peers)
        return sum(output.unsent_bytes() for output in outputs if output is not None)


def _by_reason(name: str, counts: Mapping[str, int]) -> dict[str, float]:
    return {f'{name}{{reason="{reason}"}}': count for reason, count in counts.items()}


def _within_descriptors(limits: ServerLimits) -> ServerLimits:
    """Return limits that leave half of the file descriptors to outgoing connections."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = min(limits.max_connections, max(1, soft // 2))
    return msgspec.structs.replace(limits, max_connections=most)


BoundHandler = Callable[[BoundService], None]


def run_service(
    service: Service,
    binding: ServiceBinding,
    sockets: OpenSockets | None = None,
    *,
    on_bound: BoundHandler | None = None,
) -> int:
    """Run a service until it exits; return the exit code.

    ``on_bound`` is called once with the bound service before the event loop begins.

    SIGTERM and SIGINT reach the service as ``StopRequested``; it ends with an ``Exit``
    effect. When an address or the data folder cannot be used, one line on standard error
    says why and what to do, and the exit code is 2.
    """
    return run_services([(service, binding, sockets)], on_bound=on_bound)


def run_services(
    services: list[tuple[Service, ServiceBinding, OpenSockets | None]],
    *,
    on_bound: BoundHandler | None = None,
) -> int:
    """Run several services in one process until all have exited; return the highest code.

    ``on_bound`` is called with each bound service before the event loop begins.
    """
    application = Application()
    for service, binding, sockets in services:
        bound = application.add_service(service, binding, sockets)
        if not isinstance(bound, Success):
            error = bound.failure()
            print(error.line(), file=sys.stderr)
            return EXIT_USAGE if error.kind is ErrorKind.BAD_SETTING else EXIT_FAILURE
        if on_bound is not None:
            on_bound(bound.unwrap())
    signal.signal(_RELOAD_SIGNAL, application.reload)
    application.run()
    return application.exit_code
