"""Storage nodes of the soak whose disks refuse writes for some seconds."""

from __future__ import annotations

import random
import threading

from tests.processes.platform.deployment import Deployment
from tests.soak.faults import SharedFaults

LONGEST_REFUSAL_SECONDS = 3.0
LONGEST_PAUSE_SECONDS = 6.0
FIRST_PAUSE_SECONDS = 2.0
LEAST_LOG_ROOM_BYTES = 32_768
"""The limit holds for the process's log as well, which must stay below it."""
ROOM_BYTES = 400
"""Most bytes that are still written before a refusal, so that records are torn, too."""


class DiskOperator:
    """Fills the disk of one storage node after the other by the largest size of its files."""

    def __init__(self, deployment: Deployment, shared: SharedFaults, seed: int) -> None:
        """Prepare the plan of a seed; it is independent of the injectors' plans."""
        self._deployment = deployment
        self._shared = shared
        self._random = random.Random(f"{seed}/disks")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Let all disks accept writes again, and refuse no more."""
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        self._stop.wait(FIRST_PAUSE_SECONDS)
        while not self._stop.is_set():
            self._fill_one()
            self._stop.wait(self._random.uniform(0.1, LONGEST_PAUSE_SECONDS))

    def _fill_one(self) -> None:
        process = self._random.choice(self._deployment.storage)
        seconds = self._random.uniform(0.2, LONGEST_REFUSAL_SECONDS)
        room = self._random.randrange(ROOM_BYTES)
        with self._shared.holding(process.name) as is_free:
            files = list(self._deployment.data_folder(process).glob("*.log"))
            if not is_free or not files:
                return
            limit = max(path.stat().st_size for path in files) + room
            if limit < process.log_bytes + LEAST_LOG_ROOM_BYTES:
                return
            self._shared.note(f"{process.name} refuses writes for {seconds:.2f} s")
            process.limit_files(limit)
            self._stop.wait(seconds)
            process.limit_files(None)
