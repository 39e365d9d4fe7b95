"""Faults of the soak, brought about from outside the processes; one seed gives one plan."""

from __future__ import annotations

import random
import shutil
import signal
import time
from collections.abc import Callable
from pathlib import Path

from tests.processes.platform.deployment import Deployment, RoleProcess
from tests.soak.proxy import Proxy, ProxyFault

DISK_REST_SECONDS = 6.0
"""Time after a lost disk in which no other one is lost or its process stopped for long."""
GARBAGE_BYTES = 37


class Injector:
    """Injects one fault at a time and takes it back; keeps a line for each.

    Attributes:
        lines: What was done, with seconds from the start.
    """

    def __init__(self, deployment: Deployment, proxies: dict[str, Proxy], seed: int) -> None:
        """Prepare the plan of a seed."""
        self._deployment = deployment
        self._proxies = proxies
        self._random = random.Random(seed)
        self._began = time.monotonic()
        self._disk_lost_at = float("-inf")
        self.lines: list[str] = []

    def inject(self) -> None:
        """Bring a fault about, wait, and take it back."""
        kinds: tuple[Callable[[float], None], ...] = (
            self._disturb_connections,
            self._disturb_connections,
            self._pause_process,
            self._kill_process,
            self._kill_all_storage,
            self._tear_log,
            self._lose_disk,
            self._stop_platform_store,
            self._break_streams,
            self._ask_edge_to_stop,
        )
        self._random.choice(kinds)(self._random.uniform(0.2, 2.0))

    def _note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self._began:7.2f} {text}")

    def _disturb_connections(self, seconds: float) -> None:
        name = self._random.choice(sorted(self._proxies))
        faults = [fault for fault in ProxyFault if fault is not ProxyFault.NONE]
        fault = self._random.choice(faults)
        delay = self._random.uniform(0.01, 0.3)
        self._note(f"{fault.value} {name} for {seconds:.2f} s, delay {delay:.2f} s")
        self._proxies[name].set_fault(fault, delay)
        time.sleep(seconds)
        self._proxies[name].set_fault(ProxyFault.NONE)

    def _pause_process(self, seconds: float) -> None:
        process = self._random.choice(self._processes())
        self._note(f"pause {process.name} for {seconds:.2f} s")
        process.send(signal.SIGSTOP)
        time.sleep(seconds)
        process.send(signal.SIGCONT)

    def _kill_process(self, seconds: float) -> None:
        process = self._random.choice(self._processes())
        self._note(f"kill {process.name} for {seconds:.2f} s")
        process.kill()
        time.sleep(seconds)
        process.start()

    def _kill_all_storage(self, seconds: float) -> None:
        self._note(f"kill all storage nodes for {seconds:.2f} s")
        for process in self._deployment.storage:
            process.kill()
        time.sleep(seconds)
        for process in self._deployment.storage:
            process.start()

    def _tear_log(self, seconds: float) -> None:
        """Kill a storage node and leave half a record at the end of its log."""
        process = self._random.choice(self._deployment.storage)
        self._note(f"kill {process.name} with a torn log for {seconds:.2f} s")
        process.kill()
        for path in Path(self._deployment.data_folder(process)).glob("*.log"):
            with path.open("ab") as file:
                file.write(self._random.randbytes(GARBAGE_BYTES))
        time.sleep(seconds)
        process.start()

    def _lose_disk(self, seconds: float) -> None:
        """Kill a storage node and start it again with an empty disk."""
        if time.monotonic() - self._disk_lost_at < DISK_REST_SECONDS:
            return
        process = self._random.choice(self._deployment.storage)
        self._note(f"{process.name} loses its disk, away for {seconds:.2f} s")
        process.kill()
        shutil.rmtree(self._deployment.data_folder(process), ignore_errors=True)
        time.sleep(seconds)
        process.start(first_start=False)
        time.sleep(DISK_REST_SECONDS)
        self._disk_lost_at = time.monotonic()

    def _stop_platform_store(self, seconds: float) -> None:
        self._note(f"the platform's store is down for {seconds:.2f} s")
        self._deployment.store.down = True
        time.sleep(seconds)
        self._deployment.store.down = False

    def _break_streams(self, seconds: float) -> None:
        for model in self._deployment.models:
            model.break_after = self._random.randrange(5)
        self._note("each model engine breaks a stream off")
        time.sleep(seconds)

    def _ask_edge_to_stop(self, seconds: float) -> None:
        process = self._random.choice(self._deployment.edges)
        self._note(f"stop {process.name} as planned")
        process.send(signal.SIGTERM)
        process.wait()
        process.start()
        time.sleep(seconds)

    def _processes(self) -> list[RoleProcess]:
        return [*self._deployment.storage, *self._deployment.edges]
