"""Callers of the soak whose requests are answered with bytes that do not end."""

from __future__ import annotations

import random
import re
import threading
from pathlib import Path

from tests.processes.platform.deployment import Deployment, TenantKeys
from tests.processes.platform.endless_answers import (
    ENDLESS_CALLS,
    ENDLESS_STREAMS,
    SLOW_CALLS,
    SLOW_STREAMS,
)
from tests.processes.platform.lethal_requests import LethalCaller
from tests.soak.lethal_requests import record_attempts
from tests.soak.records import OK, Records

CALLS = {**ENDLESS_CALLS, **SLOW_CALLS}
STREAMS = {**ENDLESS_STREAMS, **SLOW_STREAMS}
LONGEST_REST_SECONDS = 4.0
DEADLINE_MS = 1500
MAX_RESIDENT_MEBIBYTES = 200.0
"""Memory of a forwarding node, below that of the smallest machine (260 MB)."""


class EndlessCaller:
    """One thread that asks for answers without end until it is told to stop."""

    def __init__(
        self, name: str, deployment: Deployment, records: Records, seed: int, tenant: TenantKeys
    ) -> None:
        """Prepare; ``seed`` decides what is asked, with the first key of ``tenant``."""
        self.requests: list[LethalCaller] = []
        self._name = name
        self._deployment = deployment
        self._records = records
        self._tenant = tenant
        self._random = random.Random(f"{seed}/{name}/endless")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin to ask."""
        self._thread.start()

    def stop(self) -> None:
        """Ask nothing new, and wait for the last answer."""
        self._stop.set()
        self._thread.join(60)

    def _run(self) -> None:
        while not self._stop.is_set():
            is_call = self._random.random() < 0.5
            body = self._random.choice(sorted(CALLS if is_call else STREAMS))
            caller = LethalCaller(
                f"{self._name}-{len(self.requests)}",
                "/look/x" if is_call else "/turn/x",
                body,
                key=self._tenant.keys[0],
                deadline_ms=DEADLINE_MS,
                budget=None,
            )
            self.requests.append(caller)
            edges = [self._random.randrange(len(self._deployment.fronts))]
            caller.run_together(self._deployment, edges, at_once=2, rounds=1)
            record_attempts(caller, self._records, self._tenant)
            self._stop.wait(self._random.uniform(0.0, LONGEST_REST_SECONDS))


def violations(callers: list[EndlessCaller], deployment: Deployment) -> list[str]:
    """Return the answers that looked whole, and the nodes that took too much memory."""
    found = [
        f"{attempt.request_id} got {attempt.body[:80]!r} as the whole answer to endless bytes"
        for caller in callers
        for request in caller.requests
        for attempt in request.attempts
        if attempt.is_whole and attempt.status == OK
    ]
    for edge in deployment.edges:
        peak = peak_mebibytes(edge.pid) if edge.is_running else 0.0
        if peak > MAX_RESIDENT_MEBIBYTES:
            found.append(f"{edge.name} took {peak:.0f} MiB")
    return found


def peak_mebibytes(pid: int) -> float:
    """Return the largest resident memory of a process."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    return int(found[1]) / 1024 if found is not None else 0.0
