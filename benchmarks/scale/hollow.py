"""A deployment of hollow nodes: many nodes in one process, on a virtual clock and network.

The nodes, stand-ins and the network are those of ``yokeline.simulation``; nothing is faked
but sockets and time. What the figures leave out is the cost of sockets, of the event loop
and of garbage collection: ``benchmarks.scale.real`` measures real processes beside.
"""

from __future__ import annotations

import gc
import random
from collections import Counter
from collections.abc import Callable

import msgspec

from benchmarks.scale.metered_node import MeteredNode
from benchmarks.scale.profiler import Traffic
from benchmarks.scale.speed import probe, slowdown
from yokeline.effects import Service
from yokeline.settings import Settings
from yokeline.simulation.deployment import Deployment
from yokeline.simulation.host import ProcessStart
from yokeline.simulation.kernel import Simulation
from yokeline.simulation.network import Latencies
from yokeline.simulation.operators import Operator
from yokeline.simulation.port import ClientPort
from yokeline.simulation.records import Books
from yokeline.simulation.worlds import World

LOAD_LIMIT_SECONDS = 120.0
SETTLE_SECONDS = 15.0
BALANCED_SECONDS = 60.0
"""Time after which leaderships no longer move for balance, with 40 nodes and 512 shards."""
SLICE_SECONDS = 0.5
ZONES = ("zone-1", "zone-2", "zone-3")
TENANTS = ("tenant-1",)


class Window(msgspec.Struct, frozen=True, kw_only=True):
    """What the nodes cost in a span of virtual time.

    Attributes:
        seconds: Length in virtual seconds.
        cpu: Processor seconds by role at the speed of a quiet core, one table per node.
        traffic: Messages sent by kind, one table per node.
    """

    nodes: int
    seconds: float
    cpu: tuple[dict[str, float], ...]
    traffic: tuple[dict[str, Traffic], ...]

    def mean_cpu(self) -> dict[str, float]:
        """Return the share of a core by role, averaged over the nodes."""
        total: Counter[str] = Counter()
        for table in self.cpu:
            total.update(table)
        return {role: value / self.nodes / self.seconds for role, value in sorted(total.items())}

    def total_cpu(self) -> dict[str, float]:
        """Return processor seconds by role, summed over the nodes."""
        total: Counter[str] = Counter()
        for table in self.cpu:
            total.update(table)
        return dict(total)

    def total_seconds(self) -> float:
        """Return processor seconds of all roles and nodes."""
        return sum(self.total_cpu().values())

    def total_traffic(self) -> dict[str, Traffic]:
        """Return the messages by kind, summed over the nodes."""
        total: dict[str, Traffic] = {}
        for table in self.traffic:
            for kind, row in table.items():
                whole = total.setdefault(kind, Traffic())
                whole.count += row.count
                whole.bytes += row.bytes
                whole.parts += row.parts
                whole.codec_seconds += row.codec_seconds
        return dict(sorted(total.items()))


class HollowCluster:
    """Nodes with meters, stand-ins and a configuration, ready for load."""

    def __init__(
        self,
        *,
        nodes: int,
        shards: int,
        engines: int = 2,
        seed: int = 1,
        adjust: Callable[[Settings], Settings] | None = None,
    ) -> None:
        """Build a deployment; nothing runs before :meth:`start`."""
        self.world = World(
            name="scale",
            zones=ZONES,
            latencies=Latencies(),
            nodes=nodes,
            nodes_with_files=0,
            engines=engines,
            apps=2,
            tools=2,
            shards=shards,
            tenants=TENANTS,
        )
        self._adjust = adjust
        self.simulation = Simulation(seed, self.world.latencies)
        self.deployment = Deployment(self.simulation, self.world, self._make_node)
        self.source = random.Random(seed)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.simulation.schedule.now

    def start(self, settle_seconds: float = SETTLE_SECONDS) -> None:
        """Start everything, load the configuration and let the cluster settle."""
        self.deployment.start()
        operator = self.operator("loader")
        environment = self.simulation.schedule.environment
        loading = environment.process(operator.load(self.deployment.objects()))
        environment.run(until=loading | environment.timeout(LOAD_LIMIT_SECONDS))
        if loading.is_alive:
            raise RuntimeError("the configuration could not be loaded")
        self.run(settle_seconds)

    def operator(self, name: str) -> Operator:
        """Return an operator who reaches all nodes."""
        port = ClientPort(self.simulation, name)
        return Operator(port, self.deployment.public_nodes(), Books(), self.source)

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.simulation.schedule.run_until(self.now + seconds)

    def measure(self, seconds: float) -> Window:
        """Let virtual time pass and return what the nodes cost meanwhile."""
        nodes = self.nodes()
        for node in nodes:
            node.profiler.reset()
        gc.collect()
        gc.disable()
        try:
            slower = self._run_and_probe(seconds)
        finally:
            gc.enable()
        return Window(
            nodes=len(nodes),
            seconds=seconds,
            cpu=tuple(_at_quiet_speed(node.profiler.seconds(), slower) for node in nodes),
            traffic=tuple(dict(node.profiler.traffic) for node in nodes),
        )

    def _run_and_probe(self, seconds: float) -> float:
        """Let time pass in slices, and return how much slower the core was than a quiet one."""
        probes = []
        ends = self.now + seconds
        while self.now < ends:
            self.run(min(SLICE_SECONDS, ends - self.now))
            probes.append(probe())
        return slowdown(probes)

    def commands_applied(self) -> int:
        """Return the log entries applied so far, summed over the shards."""
        applied: dict[int, int] = {}
        for node in self.nodes():
            for status in node.host.status():
                applied[status.shard] = max(applied.get(status.shard, 0), status.applied_index)
        return sum(applied.values())

    def nodes(self) -> list[MeteredNode]:
        """Return the nodes that run."""
        services = [host.service for host in self.deployment.nodes]
        return [service for service in services if isinstance(service, MeteredNode)]

    def _make_node(self, settings: Settings, start: ProcessStart) -> Service:
        adjusted = settings if self._adjust is None else self._adjust(settings)
        return MeteredNode(adjusted, start)


def _at_quiet_speed(seconds: dict[str, float], slower: float) -> dict[str, float]:
    return {role: value / slower for role, value in seconds.items()}
