"""How fast this core is at the moment, to make figures of a shared machine comparable.

Processor time for the same work doubles when another process runs on the core's second
thread. A fixed piece of Python work is timed again and again beside what is measured, and
processor times are divided by how much slower it was than on a quiet core.
"""

from __future__ import annotations

import threading
import time

PROBE_STEPS = 30_000
QUIET_PROBE_SECONDS = 0.0025
"""The probe on a quiet core of the machine that the pages' figures were measured on: the
1st percentile of 2,000 probes was 2.53 ms in one run and 2.25 ms in a later one
(``python -m benchmarks.scale speed``)."""
PROBE_PAUSE_SECONDS = 0.25
MILLISECONDS = 1e3


def probe() -> float:
    """Return the processor seconds of the fixed piece of work."""
    started = time.thread_time()
    table: dict[int, tuple[int, str]] = {}
    for number in range(PROBE_STEPS):
        table[number % 1000] = (number, str(number))
    return time.thread_time() - started


def slowdown(probes: list[float]) -> float:
    """Return how much slower than on a quiet core the probes were, on average."""
    return sum(probes) / len(probes) / QUIET_PROBE_SECONDS


def print_percentiles(count: int) -> None:
    """Probe some times and print the percentiles in milliseconds."""
    probes = sorted(probe() for _ in range(count))
    for percent in (0, 1, 10, 50, 90, 99):
        value = probes[count * percent // 100] * MILLISECONDS
        print(f"- percentile {percent}: {value:.2f} ms", flush=True)


class SpeedMeter:
    """Probes from a thread while other processes are measured."""

    def __init__(self) -> None:
        """Start to probe."""
        self._probes: list[float] = []
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> float:
        """Stop and return the slowdown."""
        self._ended.set()
        self._thread.join()
        return slowdown(self._probes)

    def _run(self) -> None:
        while not self._ended.is_set():
            self._probes.append(probe())
            self._ended.wait(PROBE_PAUSE_SECONDS)
