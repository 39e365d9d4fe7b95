"""What the copies of streams of kept turns cost in calm, with real processes.

``python -m benchmarks.kept_streams`` plays the same turns on a route whose streams are not
resumable and on one whose streams are. It prints for each, over all forwarding nodes: the processor
time of an event, the bytes that go to other nodes for one, the time of a turn and the peak of a
node's resident memory.
"""

from __future__ import annotations

import os
import re
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests.processes.platform.deployment import Deployment
from tests.processes.platform.streams import CallerStream

EDGES = 3
ENGINES = 4
CALLERS = 8
TURNS = 160
EVENTS = 60
EVENT_SECONDS = 0.01
MICROSECONDS = 1e6
MS = 1000.0
_SENT = re.compile(r"^yokeline_peer_bytes_total\{[^}]*direction=.sent.[^}]*\} (\S+)", re.MULTILINE)


def sent_bytes(deployment: Deployment) -> float:
    """Return the bytes that all forwarding nodes have sent to other nodes."""
    return sum(
        float(found) for edge in range(EDGES) for found in _SENT.findall(deployment.metrics(edge))
    )


def processor_seconds(deployment: Deployment) -> float:
    """Return the processor time of all forwarding nodes."""
    ticks = 0
    for edge in deployment.edges:
        fields = Path(f"/proc/{edge.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def peak_megabytes(deployment: Deployment) -> float:
    """Return the largest resident memory that a forwarding node has had."""
    found = [
        re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{edge.pid}/status").read_text())
        for edge in deployment.edges
    ]
    return max(int(item[1]) for item in found if item) / 1024


def measure(path: str) -> str:
    """Play turns on a route; return a row of the table."""
    with Deployment(edges=EDGES, models=ENGINES) as deployment:
        for model in deployment.models:
            model.events = EVENTS
            model.event_seconds = EVENT_SECONDS

        def play(number: int) -> float:
            stream = CallerStream(f"t{number}", path, f"p{number}")
            return stream.begin(deployment, number % EDGES, events=EVENTS + 1).seconds

        with ThreadPoolExecutor(CALLERS) as callers:
            list(callers.map(play, range(1000, 1000 + CALLERS)))
            time.sleep(1)
            sent, processor = sent_bytes(deployment), processor_seconds(deployment)
            seconds = list(callers.map(play, range(TURNS)))
        time.sleep(0.5)
        events = TURNS * EVENTS
        processor = (processor_seconds(deployment) - processor) / events * MICROSECONDS
        sent = (sent_bytes(deployment) - sent) / events
        return (
            f"{path}: {processor:.0f} us of processor time and {sent:.0f} bytes to other nodes an"
            f" event, a turn of {EVENTS} events in {statistics.median(seconds) * MS:.0f} ms"
            f" (median), peak {peak_megabytes(deployment):.1f} MB"
        )


def main() -> None:
    """Print the table."""
    for path in ("/kept/x", "/line/x"):
        print(measure(path), flush=True)


if __name__ == "__main__":
    main()
