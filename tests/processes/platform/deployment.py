"""A small deployment on loopback: stand-ins in this process, each role a process of its own."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from tests.processes.child import ROOT
from tests.processes.cluster import HOST, free_ports, wait_until
from tests.processes.platform.node_links import NodeLinks, StoreView
from tests.processes.platform.stand_ins import FIRST_VERSION, EngineStandIn, StoreStandIn
from tests.processes.platform.wire import WireServer, WireService

CALLER_HOST = "a.example"
UNAVAILABLE = 503
REFUSALS_BORNE = 200
REFUSAL_PAUSE_SECONDS = 0.1
MOST_ATTEMPTS = {"/turn/": 1, "/pair/": 2, "/kept/": 1, "/line/": 1, "/fix/": 1, "/look/": 2}
"""Most engines that one request may be sent to, by the prefix of its route."""
WORDS = "".join(f"word{number}\n" for number in range(1, 6)).encode()


REVOKE_SECONDS = 5.0
"""Bound for keys that are taken away, in the settings of all forwarding nodes."""
COLD_SECONDS = 3.0
"""Time for which an engine is cold after a start."""
RESTART_SECONDS = 0.3
"""Time after a crash until another engine answers at the address."""
LAPSE_SECONDS = 1.5
"""Time after a crash until the entry of the engine goes."""
SILENCE_SECONDS = 4.4
"""Time for which nothing passes to or from the machine of an engine that fell silent."""
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
"""Bound for cold engines: in any second so many times their rate, and so many more."""


@dataclass
class TenantKeys:
    """A tenant of a deployment: its keys, and its limit if it has one.

    Attributes:
        keys: What its callers use.
        in_force: The keys in the configuration, if they are not the same.
        allowed_regions: The regions to which its requests are bound; None for no bound.
    """

    name: str
    keys: list[str]
    rate: float = 0.0
    burst: float = 0.0
    in_force: list[str] | None = None
    allowed_regions: list[str] | None = None

    def document(self) -> dict[str, object]:
        """Return what the configuration says of it."""
        return {
            "name": self.name,
            "api-keys": self.keys if self.in_force is None else self.in_force,
            "priority": 0,
            "rate-per-s": self.rate,
            "burst": self.burst,
            **({"allowed-regions": self.allowed_regions} if self.allowed_regions else {}),
        }


class RoleProcess:
    """A role; it may be killed and started again with its settings and its disk.

    Attributes:
        source: Folder of the release that the next start runs; None for the present one.
    """

    def __init__(self, role: str, settings: Path, log: Path) -> None:
        self.role = role
        self.source: Path | None = None
        self.name = settings.stem
        self._settings = settings
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, first_start: bool = True) -> None:
        if not first_start:
            text = self._settings.read_text()
            self._settings.write_text(text.replace("first_start = true", "first_start = false"))
        environment = {**os.environ, "YOKELINE_NODE_FILE": str(self._settings)}
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "yokeline.platform", self.role],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send(self, number: signal.Signals) -> None:
        assert self._process is not None
        self._process.send_signal(number)

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def ended_by(self, number: signal.Signals) -> bool:
        """Return whether a signal has ended the process."""
        return self._process is not None and self._process.poll() == -number

    def listens(self) -> bool:
        """Return whether other nodes can connect; a role listens before it imports much."""
        port = tomllib.loads(self._settings.read_text())["peer_port"]
        try:
            socket.create_connection((HOST, port), timeout=1).close()
        except OSError:
            return False
        return True

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self) -> int:
        assert self._process is not None
        return self._process.wait(60)

    def end(self) -> None:
        if self.is_running:
            self.kill()

    @property
    def log_bytes(self) -> int:
        """Size of the process's log."""
        return self._log.stat().st_size

    def limit_files(self, most_bytes: int | None) -> None:
        """Refuse writes beyond a size of any file of the running process; None for no limit."""
        assert self._process is not None
        _, hard = resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE)
        soft = hard if most_bytes is None else most_bytes
        resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, (soft, hard))

    def lines(self, event: str) -> list[dict[str, object]]:
        """Return the log lines of an event."""
        return [row for row in self._rows() if row.get("event") == event]

    def _rows(self) -> list[dict[str, object]]:
        """Return all log lines; the one that a kill has torn is left out."""
        rows = []
        for line in self._log.read_text().splitlines():
            if line[:1] == "{":
                with contextlib.suppress(json.JSONDecodeError):
                    rows.append(json.loads(line))
        return rows

    def phases(self) -> set[object]:
        """Return the phases of the latest start that are reached."""
        rows = self._rows()
        starts = [number for number, row in enumerate(rows) if row.get("event") == "started"]
        latest = rows[starts[-1] :] if starts else []
        return {row["phase"] for row in latest if row.get("event") == "start_phase"}


class Deployment:
    """Storage nodes, edges, model engines and apps.

    Attributes:
        tenants: Whose keys the configuration holds; without any no key is asked for.
        allowed_regions: The regions to which routes are bound, by name.
        engine_zones: Zone of each engine, by its id.
        keeps_ids: Whether engines that crash start again under their ids.
        restart_seconds: Time after a crash until another engine is listed at the address.
        lapse_seconds: Time after a crash until the entry of the engine goes.
    """

    def __init__(
        self,
        *,
        storage_nodes: int = 3,
        edges: int = 2,
        models: int = 2,
        apps: int = 1,
        tenants: Sequence[TenantKeys] = (),
        source: Path | None = None,
        cold_rate: float = 0.0,
        zones: Sequence[str] = ("a",),
        evacuation_seconds: float = 0.0,
        versions: Sequence[str] = (FIRST_VERSION,),
        listed_versions: Sequence[str] | None = None,
        has_links: bool = False,
        grace_seconds: float = 6,
        edge_memory_mb: int = 0,
        storage_memory_mb: int = 0,
        edge_descriptors: int = 0,
    ) -> None:
        """Prepare a deployment.

        ``source`` is the folder of the release to begin with, if not this one. ``cold_rate`` is
        what engines bear a second while they are cold; 0 for no bound. The engines of a pool are
        spread over ``zones``, and run ``versions`` of their software in turn. Engines of other than
        ``listed_versions`` have no entry until they are listed; by default all have one. With
        ``has_links`` each link between two nodes can be cut. ``grace_seconds`` is the time that a
        node has to stop. Nodes are told the memory and the descriptors that they may use, unless
        these are 0.
        """
        self._memory_mb = {"edge": edge_memory_mb, "storage": storage_memory_mb}
        self._edge_descriptors = edge_descriptors
        self._has_links = has_links
        self.grace_seconds = grace_seconds
        self._cold_rate = cold_rate
        self.engine_zones: dict[str, str] = {}
        self.keeps_ids = False
        self.restart_seconds = RESTART_SECONDS
        self.lapse_seconds = LAPSE_SECONDS
        self._zones = zones
        self._versions = versions
        self._listed_versions = versions if listed_versions is None else listed_versions
        self._evacuation_seconds = evacuation_seconds
        self.tenants = list(tenants)
        self.allowed_regions: dict[str, list[str]] = {}
        self._source = source
        self._storage_nodes = storage_nodes
        self._models = models
        self._edge_nodes = edges
        self._app_nodes = apps

    def __enter__(self) -> Deployment:
        self._folder = tempfile.TemporaryDirectory()
        self._ports = free_ports()
        self.links = NodeLinks(self._ports)
        self._ready: list[int] = []
        self.fronts: list[int] = []
        self.store = StoreStandIn()
        self._documents: dict[str, dict[str, object]] = {}
        self._listed: set[str] = set()
        self._servers: list[WireServer] = []
        self._engine_servers: dict[str, WireServer] = {}
        self._store_port = self.published("store", self._serve_store(self.store).port)
        self.models = [EngineStandIn(f"model-{number}") for number in range(self._models)]
        self.apps = [EngineStandIn(f"app-{number}") for number in range(self._app_nodes)]
        self.app = self.apps[0]
        for number, engine in enumerate(self.models):
            self._register(engine, "models", number)
        for number, app in enumerate(self.apps):
            self._register(app, "apps", number)
        self.configure(1)
        self.storage = [self._role("storage", number) for number in range(self._storage_nodes)]
        self.edges = [self._role("edge", number) for number in range(self._edge_nodes)]
        for process in (*self.storage, *self.edges):
            process.source = self._source
            process.start()
        try:
            wait_until(
                lambda: all(self.is_ready(number) for number in range(self._edge_nodes)),
                "edges are ready",
            )
        except BaseException:
            self.__exit__()  # No process may outlive a test whose deployment does not start.
            raise
        return self

    def __exit__(self, *error: object) -> None:
        for process in (*self.edges, *self.storage):
            process.end()
        for server in self._servers:
            server.close()
        self.links.close()
        self._folder.cleanup()

    def published(self, name: str, port: int) -> int:
        """Return the port under which others reach ``port``; a soak puts a proxy there."""
        return port

    def zone_of(self, name: str) -> str:
        """Return the zone of a node."""
        return "a"

    def region_settings(self, name: str) -> list[str]:
        """Return the lines of a node's settings that tell regions."""
        return []

    def data_folder(self, process: RoleProcess) -> Path:
        """Return the disk of a storage node."""
        return Path(self._folder.name) / process.name

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of all processes to a folder that outlives this deployment."""
        folder.mkdir(parents=True, exist_ok=True)
        for path in Path(self._folder.name).glob("*.log"):
            shutil.copy(path, folder / path.name)

    def logs(self) -> dict[str, str]:
        """Return the logs of all processes by name."""
        paths = Path(self._folder.name).glob("*.log")
        return {path.stem: path.read_text(errors="replace") for path in paths}

    # ------------------------------------------------------------ operator

    def configure(self, version: int, *, fix_prefix: str = "/fix/", timeout_ms: int = 5000) -> None:
        """Put a configuration in force."""
        common = {"host": CALLER_HOST, "timeout-ms": timeout_ms, "target-latency-ms": 1000}
        turn = {**common, "kind": "streaming", "service": "models", "resumable": True}
        kept = {**turn, "resumable": False, "retain": True, "retention-s": 60}
        fix = {**common, "kind": "non_idempotent", "service": "apps"}
        look = {**fix, "kind": "idempotent"}
        routes = [
            {**turn, "name": "turn", "path-prefix": "/turn/"},
            {**turn, "name": "pair", "path-prefix": "/pair/"},
            {**kept, "name": "kept", "path-prefix": "/kept/"},
            {**kept, "name": "line", "path-prefix": "/line/", "resumable": True},
            {**fix, "name": "fix", "path-prefix": fix_prefix},
            {**look, "name": "look", "path-prefix": "/look/"},
        ]
        for route in routes:
            route["max-attempts"] = MOST_ATTEMPTS.get(str(route["path-prefix"]), 1)
            regions = self.allowed_regions.get(str(route["name"]))
            if regions:
                route["allowed-regions"] = regions
        engine = {"slots": 4, "kv-tokens": 100000, "stride": 10}
        services: list[dict[str, object]] = [
            {"name": "models", "max-conns": 50, "engine": engine},
            {"name": "apps", "max-conns": 50},
        ]
        if self._cold_rate:
            for service in services:
                service.update({"cold-s": COLD_SECONDS, "cold-per-s": self._cold_rate})
        document: dict[str, object] = {"version": version, "routes": routes, "services": services}
        if self.tenants:
            document["tenants"] = [tenant.document() for tenant in self.tenants]
        self.store.put("op/config", document)

    def evacuate(self, zone: str) -> None:
        """Order the evacuation of a zone."""
        self.store.put_bytes(f"op/evacuate/{zone}", b"by the operator")

    def end_evacuation(self, zone: str) -> None:
        self.store.remove(f"op/evacuate/{zone}")

    def forget_engine(self, engine: EngineStandIn) -> None:
        engine.note_unlisted(time.monotonic())
        self.store.remove(f"servers/{engine.instance_id}")
        self._listed.discard(engine.instance_id)

    def is_listed(self, engine: EngineStandIn) -> bool:
        """Return whether an engine has an entry that says that it is ready."""
        return engine.instance_id in self._listed

    def list_engine(
        self, engine: EngineStandIn, *, cold_left_ms: float | None = None, state: str = "ready"
    ) -> None:
        """Let an engine say (again) that it is there, and for how long it is cold.

        Without ``cold_left_ms`` it says what is left of the cold time of its latest start.
        """
        if cold_left_ms is None:
            cold_left_ms = max(0.0, engine.cold_until - time.monotonic()) * 1000
        document = {
            **self._documents[engine.engine_id],
            "born": engine.born,
            "version": engine.version,
            "state": state,
            "cold-left-ms": cold_left_ms,
        }
        self.store.put(f"servers/{engine.instance_id}", document)
        if state == "ready":
            self._listed.add(engine.instance_id)
        else:
            self._listed.discard(engine.instance_id)

    def _restart_after_crash(self, engine: EngineStandIn, server: WireServer) -> None:
        """Let another engine with an id of its own take the place of one that has crashed."""
        gone = engine.instance_id

        def restart() -> None:
            if self.keeps_ids:
                seconds = self.restart_seconds
                engine.start_again(time.monotonic(), down_seconds=seconds, cold_seconds=0.0)
            else:
                engine.be_replaced(engine.version)
            with contextlib.suppress(OSError):
                server.listen_again()
            self.list_engine(engine)

        self._later(self.restart_seconds, restart)
        if not self.keeps_ids:
            self._later(self.lapse_seconds, lambda: self._lapse(gone))

    def crash(self, engine: EngineStandIn) -> None:
        """Let an engine end for no reason of a request."""
        self._engine_servers[engine.engine_id].crash_stand_in(engine.crash)

    def _lapse(self, instance_id: str) -> None:
        self.store.remove(f"servers/{instance_id}")
        self._listed.discard(instance_id)

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    # ------------------------------------------------------------ callers

    def ask(
        self, edge: int, path: str, request_id: str, *, key: str = "", **headers: str
    ) -> tuple[int, bytes]:
        """Send a request; return status and body, raising if the answer is cut."""
        connection = http.client.HTTPConnection(HOST, self.fronts[edge], timeout=30)
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": "5000",
            **{f"X-Yokeline-{name.replace('_', '-')}": value for name, value in headers.items()},
        }
        if key:
            fields["Authorization"] = f"Bearer {key}"
        try:
            connection.request("POST", path, body=f"input-{request_id}", headers=fields)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

    def turn(self, edge: int, path: str, request_id: str, **headers: str) -> tuple[int, bytes]:
        """Send a turn of a program with a budget of 200 tokens, 50 at most each.

        A 503 promises that it did not run: it is sent again under an id of its own, as often
        as a busy machine needs it.
        """
        usual = {"program_id": "p", "token_budget": "200", "token_usage": "100,50"}
        wanted = {**usual, **headers}
        status, body = self.ask(edge, path, request_id, **wanted)
        for number in range(REFUSALS_BORNE):
            if status != UNAVAILABLE:
                break
            time.sleep(REFUSAL_PAUSE_SECONDS)
            status, body = self.ask(edge, path, f"{request_id}.{number}", **wanted)
        return status, body

    def links_of(self, node: RoleProcess) -> set[tuple[str, str]]:
        """Return the links between a node and all others, both ways."""
        others = [item.name for item in (*self.storage, *self.edges) if item is not node]
        return {pair for name in others for pair in ((node.name, name), (name, node.name))}

    def leader(self) -> RoleProcess:
        """Return the storage node that came to lead last."""
        led = [
            (str(line["time"]), number)
            for number, process in enumerate(self.storage)
            for line in process.lines("ledger_role_changed")
            if line.get("role") == "leader"
        ]
        return self.storage[max(led)[1]]

    def run_order(self, request_id: str) -> float:
        """Return when an engine ran a request."""
        return max(model.run_times.get(request_id, 0.0) for model in self.models)

    def start_killed(self) -> None:
        """Start the processes that were killed, and wait until the edges are ready."""
        for process in (*self.storage, *self.edges):
            if not process.is_running:
                process.start(first_start=False)
        for number in range(len(self.edges)):
            wait_until(lambda number=number: self.is_ready(number), f"edge-{number} is ready")  # type: ignore[misc]

    def is_ready(self, edge: int) -> bool:
        try:
            connection = http.client.HTTPConnection(HOST, self._ready[edge], timeout=5)
            connection.request("GET", "/-/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def metrics(self, edge: int) -> str:
        connection = http.client.HTTPConnection(HOST, self._ready[edge], timeout=5)
        connection.request("GET", "/metrics")
        return connection.getresponse().read().decode()

    # ------------------------------------------------------------ parts

    def _serve(self, service: WireService) -> WireServer:
        server = WireServer(service)
        self._servers.append(server)
        return server

    def _serve_store(self, store: StoreStandIn) -> WireServer:
        server = self._serve(store)
        server.wake_on(store.contents.listeners)
        return server

    def _register(self, engine: EngineStandIn, pool: str, number: int) -> None:
        server = self._serve(engine)
        self._engine_servers[engine.engine_id] = server
        server.on_crash = lambda: self._restart_after_crash(engine, server)
        server.on_silence = lambda: self._later(SILENCE_SECONDS, server.be_heard)
        port = self.published(engine.engine_id, server.port)
        zone = self._zones[number % len(self._zones)]
        self.engine_zones[engine.engine_id] = zone
        engine.version = self._versions[number % len(self._versions)]
        document = {
            "service": pool,
            "address": f"{HOST}:{port}",
            "zone": zone,
            "version": engine.version,
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
        }
        self._documents[engine.engine_id] = document
        if pool != "models" or engine.version in self._listed_versions:
            self.list_engine(engine)

    def _role(self, role: str, number: int) -> RoleProcess:
        folder = Path(self._folder.name)
        name = f"{role}-{number}"
        store_port = self._store_port
        if self._has_links:
            view = self._serve_store(StoreView(self.store, name, self.links))
            store_port = self.published(f"store of {name}", view.port)
        lines = [
            f'name = "{name}"',
            f'host = "{HOST}"',
            f'zone = "{self.zone_of(name)}"',
            *self.region_settings(name),
            "first_start = true",
            f"peer_port = {next(self._ports)}",
            f'store = "{HOST}:{store_port}"',
            f"grace_seconds = {self.grace_seconds}",
            f"revoke_ms = {REVOKE_SECONDS * 1000}",
            f"evacuation_ms = {self._evacuation_seconds * 1000}",
            "a_field_of_later = 1",
        ]
        if self._memory_mb[role]:
            lines.append(f"memory_mb = {self._memory_mb[role]}")
        if role == "edge" and self._edge_descriptors:
            lines.append(f"max_descriptors = {self._edge_descriptors}")
        if role == "edge":
            front, ready = next(self._ports), next(self._ports)
            self.fronts.append(self.published(name, front))
            self._ready.append(ready)
            if self._cold_rate:
                lines += [f"cold_overage = {COLD_OVERAGE}", f"cold_slack = {COLD_SLACK}"]
            lines += [f'front = "{HOST}:{front}"', f'ready = "{HOST}:{ready}"']
        else:
            lines.append(f'data_folder = "{folder / name}"')
        settings = folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        return RoleProcess(role, settings, folder / f"{name}.log")
