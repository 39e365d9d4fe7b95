"""Clients of the soak that misuse legal requests, and what the nodes take of memory beside them."""

from __future__ import annotations

import contextlib
import random
import threading
from collections.abc import Callable

from tests.processes.platform.crowds import (
    LARGEST_BODY_BYTES,
    Crowd,
    chunked_request,
    chunks_of,
    open_descriptors,
    peak_bytes,
    request_head,
    sized_request,
)
from tests.processes.platform.deployment import Deployment

EDGE_MEMORY_MB = 130
STORAGE_MEMORY_MB = 160
EDGE_DESCRIPTORS = 1000
CROWDS = "client crowds"
LONGEST_HOLD_SECONDS = 2.0
LONGEST_REST_SECONDS = 3.0
_MEGABYTE = 1_000_000
_CHUNKS_OF_ONE = chunks_of(1, 8000)
_CHUNKS_OF_8192 = chunks_of(8192, 500)
_PIPELINE = b"GET / HTTP/1.1\r\nHost: none.example\r\n\r\n" * 20_000


def has_crowd(seed: int) -> bool:
    """Return whether a run with a seed has such clients."""
    return random.Random(f"{seed}/crowd").random() < 0.5


class CrowdCaller:
    """One thread that lets a crowd come to a node, stay and go, until it is told to stop."""

    def __init__(self, deployment: Deployment, ports: list[int], seed: int) -> None:
        """Prepare crowds at ``ports``; ``seed`` decides which."""
        self.crowds = 0
        self._deployment = deployment
        self._ports = ports
        self._random = random.Random(f"{seed}/crowds")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Let no crowd come any more, and the present one go."""
        self._stop.set()
        self._thread.join(60)

    def _run(self) -> None:
        while not self._stop.is_set():
            with contextlib.suppress(OSError):  # the node may be gone
                self._let_one_come()
            self._stop.wait(self._random.uniform(0.0, LONGEST_REST_SECONDS))

    def _let_one_come(self) -> None:
        count, request = self._draw()
        with Crowd(self._random.choice(self._ports)) as crowd:
            if request:
                crowd.send([request() for _ in range(count)])
            else:
                crowd.open(count)
            self.crowds += 1
            self._stop.wait(self._random.uniform(0.0, LONGEST_HOLD_SECONDS))
            if self._random.random() < 0.5:
                crowd.reset(list(crowd.sockets))

    def _draw(self) -> tuple[int, Callable[[], list[memoryview]] | None]:
        """Return how many connections come, and what makes the request of each."""
        half = LARGEST_BODY_BYTES // 2
        kinds: tuple[tuple[int, Callable[[], list[memoryview]] | None], ...] = (
            (40, lambda: sized_request("/look/x", lacking=1)),
            (60, lambda: sized_request("/look/x", lacking=half)),
            (40, lambda: sized_request("/look/x")),
            (100, lambda: chunked_request("/look/x", _CHUNKS_OF_ONE)),
            (40, lambda: chunked_request("/look/x", _CHUNKS_OF_8192)),
            (40, lambda: [memoryview(request_head("/look/x", "")), memoryview(_PIPELINE)]),
            (700, lambda: [memoryview(request_head("/look/x", "")[:-2])]),
            (700, None),
        )
        return self._random.choice(kinds)


def violations(deployment: Deployment) -> list[str]:
    """Return the nodes that took more memory or descriptors than their settings say."""
    found = []
    bounds = [(node, EDGE_MEMORY_MB) for node in deployment.edges]
    bounds += [(node, STORAGE_MEMORY_MB) for node in deployment.storage]
    for node, memory_mb in bounds:
        if not node.is_running:
            continue
        peak = peak_bytes(node.pid) / _MEGABYTE
        if peak > memory_mb:
            found.append(f"{node.name} took {peak:.0f} MB beside crowds, of {memory_mb}")
    for edge in deployment.edges:
        opened = open_descriptors(edge.pid) if edge.is_running else 0
        if opened > EDGE_DESCRIPTORS:
            found.append(f"{edge.name} had {opened} descriptors open beside crowds")
    return found
