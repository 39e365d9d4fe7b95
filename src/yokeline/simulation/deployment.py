"""Builds a whole deployment on the simulated network: nodes, back ends and platform."""

from __future__ import annotations

import random
from collections.abc import Callable

from yokeline.bearer_tokens import token_digest
from yokeline.effects import Address, Service
from yokeline.emulator.app_service import AppService
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine_service import EngineService
from yokeline.emulator.machines_service import MachinesService
from yokeline.emulator.request_service import RequestService
from yokeline.emulator.settings import (
    AppSettings,
    EngineSettings,
    Machine,
    MachinesSettings,
    StoreSettings,
    ToolSettings,
)
from yokeline.emulator.store_service import StoreService
from yokeline.emulator.tool_service import ToolService
from yokeline.labels.objects import Lookup
from yokeline.settings import (
    ClusterSection,
    GatewaySection,
    NodeSection,
    PlatformSection,
    Settings,
)
from yokeline.simulation.callers import Node
from yokeline.simulation.clock import LocalClock
from yokeline.simulation.host import Host, ProcessStart
from yokeline.simulation.kernel import Simulation
from yokeline.simulation.objects import MODEL, NewObject, platform_objects
from yokeline.simulation.operators import PLATFORM_TOKEN
from yokeline.simulation.worlds import World

HTTP_PORT = 7800
PEER_PORT = 7900
BACKEND_PORT = 8000
STORE_PORT = 2379
MAX_DRIFT = 0.002
MAX_CLOCK_OFFSET_SECONDS = 1_000_000.0
MAX_WALL_SKEW_SECONDS = 0.5
WALL_AT_START = 1_700_000_000.0
MACHINE_LIST_LAG_SECONDS = 3.0
TOOL_DELAY_SECONDS = 0.3
TOOL_JITTER_SECONDS = 0.3
APP_DELAY_SECONDS = 0.1
APP_JITTER_SECONDS = 0.1
RESULT_KEEP_SECONDS = 60.0
LOAD_LAG_SECONDS = 1.0

NodeFactory = Callable[[Settings, ProcessStart], Service]


class Deployment:
    """The hosts of one world.

    Attributes:
        nodes: Yokeline's own hosts.
        engines: Model engines; apps and tools likewise.
        platform: The key-value service and the machine list.
    """

    def __init__(self, simulation: Simulation, world: World, node_factory: NodeFactory) -> None:
        """Put all hosts on the network; nothing runs yet."""
        self.simulation = simulation
        self.world = world
        self.request_services: dict[str, RequestService] = {}
        self._source = simulation.new_source("deployment")
        self._next_ip = 0
        self._node_factory = node_factory
        self.engines = [self._engine(number) for number in range(1, world.engines + 1)]
        self.apps = [self._app(number) for number in range(1, world.apps + 1)]
        self.tools = [self._tool(number) for number in range(1, world.tools + 1)]
        self.store = self._store()
        self.machines = MachinesService(
            MachinesSettings(
                lag_seconds=MACHINE_LIST_LAG_SECONDS,
                machines=tuple(Machine(address=str(host.http)) for host in self.engines),
            ),
            simulation.new_source("machines"),
        )
        self.machine_list = self._durable("machine-list", BACKEND_PORT, self.machines)
        self.nodes = self._nodes()

    # ------------------------------------------------------------ for users

    def start(self) -> None:
        """Start all processes."""
        platform = [self.store, self.machine_list]
        for host in [*platform, *self.engines, *self.apps, *self.tools, *self.nodes]:
            host.start()

    def backends(self) -> list[Host]:
        """Return the hosts of engines, apps and tools."""
        return [*self.engines, *self.apps, *self.tools]

    def public_nodes(self) -> tuple[Node, ...]:
        """Return the nodes as callers know them."""
        return tuple(Node(host.name, _http_of(host)) for host in self.nodes)

    def objects(self) -> list[NewObject]:
        """Return the configuration objects of this deployment."""
        apps = [str(host.http) for host in self.apps]
        return platform_objects(
            tenants=self.world.tenants,
            engines=tuple(str(host.http) for host in self.engines),
            results_apps=tuple(apps[:1]),
            alert_apps=tuple(apps[1:]),
            fenced_tools=(str(self.tools[0].http),),
            plain_tools=(str(self.tools[-1].http),),
        )

    # ------------------------------------------------------------ hosts

    def _engine(self, number: int) -> Host:
        name = f"engine-{number}"
        parameters = EngineParameters(
            models=(MODEL,),
            load_lag_seconds=LOAD_LAG_SECONDS,
            result_keep_seconds=RESULT_KEEP_SECONDS,
        )
        settings = EngineSettings(name=name, parameters=parameters)

        def start(process: ProcessStart) -> Service:
            return EngineService(settings, process.source)

        return self._host(name, BACKEND_PORT, start)

    def _app(self, number: int) -> Host:
        name = f"app-{number}"
        lookup = Lookup.FENCED if number == 1 else Lookup.NONE
        settings = AppSettings(
            name=name,
            lookup=lookup,
            delay_seconds=APP_DELAY_SECONDS,
            delay_jitter_seconds=APP_JITTER_SECONDS,
        )
        service = AppService(settings, self.simulation.new_source(name))
        self.request_services[name] = service
        return self._durable(name, BACKEND_PORT, service)

    def _tool(self, number: int) -> Host:
        name = f"tool-{number}"
        lookup = Lookup.FENCED if number == 1 else Lookup.NONE
        settings = ToolSettings(
            name=name,
            lookup=lookup,
            delay_seconds=TOOL_DELAY_SECONDS,
            delay_jitter_seconds=TOOL_JITTER_SECONDS,
        )
        service = ToolService(settings, self.simulation.new_source(name))
        self.request_services[name] = service
        return self._durable(name, BACKEND_PORT, service)

    def _store(self) -> Host:
        service = StoreService(StoreSettings(), self.simulation.new_source("store"))
        return self._durable("store", STORE_PORT, service)

    def _durable(self, name: str, port: int, service: Service) -> Host:
        """Return a host whose service keeps its records over a restart."""
        return self._host(name, port, lambda process: service)

    def _host(self, name: str, port: int, factory: Callable[[ProcessStart], Service]) -> Host:
        host = Host(
            self.simulation,
            name=name,
            factory=factory,
            clock=LocalClock(),
            http=Address(self._new_ip(), port),
        )
        zones = self.world.zones
        return self.simulation.add_host(host, zones[len(self.simulation.hosts) % len(zones)])

    def _nodes(self) -> list[Host]:
        world = self.world
        places = [
            (f"node-{number}", self._new_ip(), world.zones[(number - 1) % len(world.zones)])
            for number in range(1, world.nodes + 1)
        ]
        seeds = tuple(f"{ip}:{PEER_PORT}" for _, ip, _ in places[: len(world.zones)])
        hosts = []
        for number, (name, ip, zone) in enumerate(places, start=1):
            settings = self._settings(name, ip, zone, seeds, with_files=self._has_files(number))
            hosts.append(self._node(settings))
        return hosts

    def _node(self, settings: Settings) -> Host:
        node = settings.node

        def start(process: ProcessStart) -> Service:
            return self._node_factory(settings, process)

        host = Host(
            self.simulation,
            name=node.name,
            factory=start,
            clock=_drifting_clock(self._source),
            http=Address(node.host, node.http_port),
            peer=Address(node.host, node.peer_port),
            keeps_files=bool(node.data_folder),
        )
        return self.simulation.add_host(host, node.zone)

    def _has_files(self, number: int) -> bool:
        return number <= self.world.nodes_with_files

    def _settings(
        self, name: str, ip: str, zone: str, seeds: tuple[str, ...], *, with_files: bool
    ) -> Settings:
        return Settings(
            node=NodeSection(
                name=name,
                zone=zone,
                host=ip,
                http_port=HTTP_PORT,
                peer_port=PEER_PORT,
                data_folder="data" if with_files else "",
            ),
            cluster=ClusterSection(
                seeds=seeds,
                expected_nodes=self.world.nodes,
                shards=self.world.shards,
                replicas=self.world.replicas,
            ),
            platform=PlatformSection(
                store=str(self.store.http), machine_list=str(self.machine_list.http)
            ),
            gateway=GatewaySection(platform_token_digest=token_digest(PLATFORM_TOKEN)),
        )

    def _new_ip(self) -> str:
        self._next_ip += 1
        return f"10.0.0.{self._next_ip}"


def _drifting_clock(source: random.Random) -> LocalClock:
    offset = source.uniform(0.0, MAX_CLOCK_OFFSET_SECONDS)
    skew = source.uniform(-MAX_WALL_SKEW_SECONDS, MAX_WALL_SKEW_SECONDS)
    return LocalClock(
        offset=offset,
        drift=source.uniform(-MAX_DRIFT, MAX_DRIFT),
        wall_offset=WALL_AT_START - offset + skew,
    )


def _http_of(host: Host) -> Address:
    assert host.http is not None
    return host.http
