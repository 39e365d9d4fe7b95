"""Bytes without end from each server that a node calls, within the memory that the node may use."""

from __future__ import annotations

import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import HOST, wait_until
from tests.processes.platform.crowds import peak_bytes
from tests.processes.platform.deployment import CALLER_HOST, Deployment, RoleProcess
from tests.processes.platform.endless_answers import (
    ENDLESS_CALLS,
    ENDLESS_DOCUMENTS,
    LARGE_EVENTS,
    SLOW_CALLS,
)
from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.registry.nodes import NodeRecord, NodeRole, encode_node, node_key

EDGE_MEMORY_MB = 64
STORAGE_MEMORY_MB = 120
MEGABYTE = 1_000_000
OK = 200
ENDLESS_SECONDS = 1.5
CALLERS = 40
DEADLINE_SECONDS = 4.0
READ_BYTES = 1 << 20


class MemoryCase(unittest.TestCase):
    def assert_within_memory(self, nodes: Iterable[RoleProcess], memory_mb: int) -> None:
        for node in nodes:
            self.assertTrue(node.is_running, f"{node.name} has ended")
            peak = peak_bytes(node.pid) / MEGABYTE
            self.assertLessEqual(peak, memory_mb, f"{node.name} took {peak:.0f} MB")


class LargeEvents(MemoryCase):
    """Guards against events on their way to the service that no budget counted."""

    def test_many_streams_of_large_events_stay_within_the_memory(self) -> None:
        for path in ("/turn/x", "/kept/x", "/line/x"):
            for reads in (True, False):
                with (
                    self.subTest(path, reads=reads),
                    Deployment(models=4, apps=1, edge_memory_mb=EDGE_MEMORY_MB) as deployment,
                ):
                    for engine in deployment.models:
                        engine.endless = LARGE_EVENTS
                    self.assertEqual(deployment.ask(0, "/look/x", "before")[0], OK)
                    with ThreadPoolExecutor(CALLERS) as callers:
                        for number in range(CALLERS):
                            name = f"large-{number}"
                            front = deployment.fronts[0]
                            callers.submit(ask_for_events, front, name, reads=reads, path=path)
                    self.assert_within_memory(deployment.edges, EDGE_MEMORY_MB)
                    self.assertEqual(deployment.ask(0, "/look/x", "after")[0], OK)


class EndlessStoreAnswers(MemoryCase):
    def test_answers_without_end_from_the_key_value_service(self) -> None:
        shapes = {**ENDLESS_CALLS, **ENDLESS_DOCUMENTS, **SLOW_CALLS}
        with Deployment(
            models=2,
            apps=2,
            edge_memory_mb=EDGE_MEMORY_MB,
            storage_memory_mb=STORAGE_MEMORY_MB,
        ) as deployment:
            for number, (name, shape) in enumerate(shapes.items()):
                with self.subTest(name.decode()):
                    deployment.store.endless = shape
                    until = time.monotonic() + ENDLESS_SECONDS
                    statuses = set()
                    while time.monotonic() < until:
                        call = f"{name.decode()}-{time.monotonic()}"
                        statuses.add(deployment.ask(0, "/look/x", call)[0])
                    deployment.store.endless = None
                    self.assertEqual(statuses, {OK})
                    self.assert_within_memory(deployment.edges, EDGE_MEMORY_MB)
                    self.assert_within_memory(deployment.storage, STORAGE_MEMORY_MB)
                    version = 2 + number
                    deployment.configure(version)
                    for edge in deployment.edges:
                        wait_until(
                            lambda edge=edge, version=version: has_version(edge, version),  # type: ignore[misc]
                            f"{edge.name} has version {version} after {name.decode()}",
                        )

    def test_a_node_that_starts_beside_answers_without_end(self) -> None:
        """It knows nothing yet, and is ready once the service answers."""
        with Deployment(models=2, edge_memory_mb=EDGE_MEMORY_MB) as deployment:
            edge = deployment.edges[0]
            for name, shape in {**ENDLESS_CALLS, **ENDLESS_DOCUMENTS}.items():
                with self.subTest(name.decode()):
                    edge.kill()
                    deployment.store.endless = shape
                    edge.start(first_start=False)
                    time.sleep(ENDLESS_SECONDS)
                    self.assert_within_memory([edge], EDGE_MEMORY_MB)
                    deployment.store.endless = None
                    wait_until(lambda: deployment.is_ready(0), "the edge is ready")


class EndlessPeers(MemoryCase):
    """Nodes only write to the connections that they open to other nodes."""

    def test_bytes_without_end_from_another_node(self) -> None:
        frames = b"\x00\x00\xff\xff" + b"\x00" * 0xFFFF
        for story, piece in (("junk", b"\xff" * READ_BYTES), ("frames", frames)):
            with (
                self.subTest(story),
                Flood(piece) as flood,
                Deployment(
                    models=2,
                    edge_memory_mb=EDGE_MEMORY_MB,
                    storage_memory_mb=STORAGE_MEMORY_MB,
                ) as deployment,
            ):
                record = NodeRecord(
                    name=NodeName("storage-flood"),
                    role=NodeRole.STORAGE,
                    zone="a",
                    address=Address(HOST, flood.port),
                    replica=ReplicaId("storage-flood~1"),
                )
                deployment.store.put_bytes(node_key(record.name), encode_node(record))
                wait_until(lambda flood=flood: flood.sent_bytes > 0, "a node has connected")  # type: ignore[misc]
                until = time.monotonic() + 2 * ENDLESS_SECONDS
                number = 0
                while time.monotonic() < until:
                    number += 1
                    program = f"{story}-{number}"
                    status, _ = deployment.turn(number % 2, "/kept/x", program, program_id=program)
                    self.assertEqual(status, OK)
                self.assert_within_memory(deployment.edges, EDGE_MEMORY_MB)
                self.assert_within_memory(deployment.storage, STORAGE_MEMORY_MB)


class Flood:
    """Listens, and sends the same bytes without end over each connection.

    Attributes:
        sent_bytes: What all connections have taken.
    """

    def __init__(self, piece: bytes) -> None:
        self.sent_bytes = 0
        self._piece = piece
        self._listener = socket.create_server((HOST, 0))
        self._threads: list[threading.Thread] = []
        self._stopping = threading.Event()

    @property
    def port(self) -> int:
        port: int = self._listener.getsockname()[1]
        return port

    def __enter__(self) -> Flood:
        self._listener.settimeout(0.1)
        self._start(self._accept)
        return self

    def __exit__(self, *error: object) -> None:
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        self._listener.close()

    def _start(self, action: Callable[[], None]) -> None:
        thread = threading.Thread(target=action, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            self._start(lambda connection=connection: self._send(connection))  # type: ignore[misc]

    def _send(self, connection: socket.socket) -> None:
        connection.settimeout(0.1)
        with connection:
            while not self._stopping.is_set():
                try:
                    self.sent_bytes += connection.send(self._piece)
                except TimeoutError:
                    continue
                except OSError:
                    return


def has_version(edge: RoleProcess, version: int) -> bool:
    """Return whether an edge has applied a configuration."""
    return any(line["version"] == version for line in edge.lines("configuration_applied"))


def ask_for_events(port: int, request_id: str, *, reads: bool, path: str = "/turn/x") -> int:
    """Ask for a stream, and read until the deadline, or not at all; return the bytes read."""
    body = next(iter(LARGE_EVENTS))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nX-Yokeline-Request-Id: {request_id}\r\n"
        f"X-Yokeline-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}\r\n"
        f"X-Yokeline-Token-Usage: 100,50\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    count = 0
    until = time.monotonic() + DEADLINE_SECONDS
    with socket.create_connection((HOST, port), timeout=DEADLINE_SECONDS) as caller:
        caller.sendall(head.encode() + body)
        buffer = bytearray(READ_BYTES)
        try:
            while time.monotonic() < until:
                if not reads:
                    time.sleep(0.1)
                    continue
                received = caller.recv_into(buffer)
                if not received:
                    break
                count += received
        except OSError:
            pass
    return count


if __name__ == "__main__":
    unittest.main()
