"""A whole deployment on loopback: stand-ins and nodes, each a process of its own."""

from __future__ import annotations

import hashlib
import json
import os
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from tests.processes.child import Child
from yokeline.commands.client import Client, Reply, path_of
from yokeline.errors import YokelineException
from yokeline.identifiers import RunId, run_id_for_key, shard_of_run

HOST = "127.0.0.1"
PATIENCE_SECONDS = 60.0
POLL_SECONDS = 0.05
ZONES = 3
SHARDS = 8
REPLICAS = 5
PLATFORM_TOKEN = "platform-token"
STATUS_OK = 200
KEY_CANDIDATES = 1000

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the ports that the system gives to outgoing connections, so that a node that is
started again finds its own ports free."""


def wait_until(condition: Callable[[], object], what: str) -> None:
    """Wait until a condition holds; the bound only ends a test that would never end."""
    end = time.monotonic() + PATIENCE_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"waited in vain until {what}")
        time.sleep(POLL_SECONDS)


def digest_of(token: str) -> str:
    """Return a token as the configuration keeps it."""
    return hashlib.sha256(token.encode()).hexdigest()


def free_ports() -> Iterator[int]:
    """Yield ports of loopback on which neither TCP nor UDP is in use."""
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * 101 % span
    for step in range(span):
        port = FIRST_PORT + (start + step) % span
        if _is_free(port, socket.SOCK_STREAM) and _is_free(port, socket.SOCK_DGRAM):
            yield port


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


class NodeProcess(Child):
    """A node; ``name`` survives restarts, its replica id does not."""

    def __init__(self, name: str, http_port: int, arguments: list[str], log: Path) -> None:
        """Prepare a node that serves its API on ``http_port``."""
        super().__init__(name, arguments, log)
        self.url = f"http://{HOST}:{http_port}"

    def client(self, token: str = PLATFORM_TOKEN) -> Client:
        """Return a client of its API."""
        return Client(self.url, token)

    def ready(self) -> bool:
        """Return whether it says that it should get requests."""
        try:
            return self.client("").request("GET", "/readyz").status == STATUS_OK
        except YokelineException:
            return False

    def has_revision(self, revision: int) -> bool:
        """Return whether a revision of the configuration, or a later one, is in force here."""
        found = self.client().ask("GET", "/admin/v1/revisions").json()
        return bool(found["revision"] >= revision)

    def listed(self, what: str) -> list[dict[str, Any]]:
        """Return ``nodes``, ``shards`` or ``engines`` as it sees them."""
        return list(self.client().pages(f"/admin/v1/{what}", "items", {}))


class StandIn(Child):
    """A stand-in for a part of the platform."""

    port = 0

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{HOST}:{self.port}"

    def control(self, method: str, path: str, document: object = None) -> Any:
        """Use its test interface (``/emulator/...``)."""
        body = None if document is None else json.dumps(document).encode()
        reply = Client(f"http://{self.address}", "").ask(method, path, body=body)
        return reply.json()


class Cluster:
    """Stand-ins and nodes of one deployment.

    Attributes:
        nodes: The nodes, in order.
        engines: The model engines.
        tool: The tool service.
        app: The app engine.
        store: The key-value service.
        unused_address: An address at which nothing listens.
    """

    def __init__(self, settings: dict[str, str], node_count: int = REPLICAS) -> None:
        """Prepare a deployment; nothing runs yet.

        Args:
            settings: TOML text of the settings of each kind of stand-in that has some.
            node_count: Number of nodes.
        """
        self._folder = tempfile.TemporaryDirectory(prefix="yokeline-test-")
        self.folder = Path(self._folder.name)
        self._settings = settings
        self._ports = free_ports()
        self.store = self._stand_in("store", "store")
        self.machines = self._stand_in("machines", "machines")
        self.unused_address = f"{HOST}:{next(self._ports)}"
        self.engines = [self._stand_in("engine", f"engine-{number}") for number in (1, 2)]
        self.tool = self._stand_in("tool", "tool")
        self.app = self._stand_in("app", "app")
        self.nodes: list[NodeProcess] = []
        self._prepare_nodes(node_count)

    # ------------------------------------------------------------ life

    def start(self) -> None:
        """Start everything and wait until all nodes are ready."""
        for child in self._children():
            child.start()
        self.wait_whole()

    def stop(self) -> None:
        """End all processes, and forget their files."""
        for child in self._children():
            child.destroy()
        self._folder.cleanup()

    def heal(self) -> None:
        """Undo what a test did: everything runs, and all shards are whole."""
        for child in self._children():
            child.heal()
        self.wait_whole()

    def wait_whole(self) -> None:
        """Wait until all nodes are ready, and every shard has all its replicas alive."""
        for node in self.nodes:
            wait_until(node.ready, f"{node.name} is ready")
            wait_until(partial(self.whole_at, node), f"{node.name} sees all shards whole")

    def whole_at(self, node: NodeProcess) -> bool:
        """Return whether a node sees every shard led, with a replica on each living node."""
        try:
            members = [row for row in node.listed("nodes") if row["state"] == "alive"]
            shards = node.listed("shards")
        except YokelineException:
            return False
        alive = {row["replica"] for row in members}
        if len(alive) != len(self.nodes):
            return False
        return all(row["leader"] in alive and set(row["members"]) == alive for row in shards)

    def tails(self) -> str:
        """Return the ends of all logs."""
        return "\n".join(child.tail() for child in self._children())

    def _children(self) -> list[Child]:
        stand_ins = [self.store, self.machines, *self.engines, self.tool, self.app]
        return [*stand_ins, *self.nodes]

    # ------------------------------------------------------------ processes

    def _stand_in(self, kind: str, name: str) -> StandIn:
        port = next(self._ports)
        arguments = ["emulate", kind, "--port", str(port)]
        if kind in self._settings:
            file = self.folder / f"{kind}.toml"
            file.write_text(self._settings[kind])
            arguments += ["--settings", str(file)]
        stand_in = StandIn(name, arguments, self.folder / f"{name}.log")
        stand_in.port = port
        return stand_in

    def _prepare_nodes(self, count: int) -> None:
        ports = [(next(self._ports), next(self._ports)) for _ in range(count)]
        seeds = [f"{HOST}:{peer_port}" for _, peer_port in ports[:ZONES]]
        for position, (http_port, peer_port) in enumerate(ports):
            name = f"node-{position + 1}"
            file = self.folder / f"{name}.toml"
            zone = f"zone-{position % ZONES + 1}"
            file.write_text(self._node_settings(name, zone, http_port, peer_port, seeds))
            log = self.folder / f"{name}.log"
            self.nodes.append(NodeProcess(name, http_port, ["node", str(file)], log))

    def _node_settings(
        self, name: str, zone: str, http_port: int, peer_port: int, seeds: list[str]
    ) -> str:
        return f"""
[node]
name = "{name}"
zone = "{zone}"
host = "{HOST}"
http_port = {http_port}
peer_port = {peer_port}
[cluster]
seeds = {json.dumps(seeds)}
shards = {SHARDS}
replicas = {REPLICAS}
[platform]
store = "{self.store.address}"
machine_list = "{self.machines.address}"
[gateway]
platform_token_digest = "{digest_of(PLATFORM_TOKEN)}"
"""

    # ------------------------------------------------------------ configuration

    def put(
        self, node: NodeProcess, kind: str, document: dict[str, Any], tenant: str = ""
    ) -> Reply:
        """Write a new configuration object through the admin API of a node."""
        return node.client().request(
            "PUT",
            path_of("admin", "v1", kind, document["name"]),
            query={"tenant": tenant},
            body=json.dumps(document).encode(),
        )

    def load(self, objects: list[tuple[str, str, dict[str, Any]]]) -> None:
        """Write objects (kind, tenant, document) and wait until they are in force everywhere."""
        revision = 0
        for kind, tenant, document in objects:
            reply = self.put(self.nodes[0], kind, document, tenant)
            assert reply.status < 300, reply.body
            revision = reply.json()["revision"]
        self.wait_revision(revision)

    def wait_revision(self, revision: int) -> None:
        """Wait until every node has a revision of the configuration in force."""
        for node in self.nodes:
            wait_until(partial(node.has_revision, revision), f"{node.name} has {revision}")

    # ------------------------------------------------------------ who leads what

    def leaders(self, seen_by: NodeProcess | None = None) -> dict[int, NodeProcess]:
        """Return the node that leads each shard that has a leader, as one node sees it."""
        by_name = {node.name: node for node in self.nodes}
        rows = (seen_by or self.nodes[0]).listed("shards")
        return {
            row["shard"]: by_name[row["leader"].partition("~")[0]] for row in rows if row["leader"]
        }

    def leader_of(self, run: str, seen_by: NodeProcess) -> NodeProcess | None:
        """Return the node that leads the shard of a run, as another node sees it."""
        return self.leaders(seen_by).get(shard_of_run(RunId(run), SHARDS))

    def nodes_by_leadership(self) -> list[NodeProcess]:
        """Return the nodes, those that lead most shards first."""
        led = Counter(node.name for node in self.leaders().values())
        return sorted(self.nodes, key=lambda node: (-led[node.name], node.name))

    def key_led_by(self, node: NodeProcess, tenant: str, prefix: str) -> str:
        """Return an idempotency key whose run is led by a node (if it leads any shard)."""
        leaders = self.leaders()
        candidates = [f"{prefix}-{number}" for number in range(KEY_CANDIDATES)]
        fitting = (
            key
            for key in candidates
            if leaders.get(shard_of_run(run_id_for_key(tenant, key), SHARDS)) is node
        )
        return next(fitting, candidates[0])

    def others(self, *nodes: NodeProcess) -> list[NodeProcess]:
        """Return the nodes that are not among those given."""
        return [node for node in self.nodes if node not in nodes]
