"""Prints a timeline of a restart of many processes from the log lines of all processes.

``python -m tools.return_report FILE [--at SECONDS] [--window SECONDS]`` reads the same lines as
``tools.day_report``. A restart is a group of processes that had run before and start again
together; ``--at`` names its time where the logs show several. Its time 0 is the first instruction
of the first process of the group. The report has three parts:

- the phases of the processes, by role: the median and the 99th percentile after time 0, with the
  number of processes that reached the phase;
- for each step of 0.1 s, the turns that arrived and were answered later, all answers, and the
  number of forwarding nodes that have answered;
- the requests that arrived or ended within the window: how they ended, and what they waited for.
"""

from __future__ import annotations

import argparse
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from tools.day_report import GOOD_OUTCOMES, Line, read_lines, share

GROUP_SECONDS = 3.0
"""Longest time between the first and the last start of one group."""
MIN_GROUP_SIZE = 5
"""Processes that make a group; fewer restart in a planned replacement or after a crash."""
WINDOW_SECONDS = 5.0
STEP_SECONDS = 0.1
TRAFFIC_EVENTS = frozenset(
    ("engine_chosen", "request_ended", "request_refused", "request_repeated", "ledger_repetitions")
)
FIRST_EVENTS = {
    "ledger_role_changed": "role changed",
    "ledger_leader_known": "leader known",
    "ledger_path_lost": "ledger path lost",
    "dependency_regained": "key-value service answers",
    "configuration_applied": "configuration applied",
    "engine_chosen": "first send",
}
"""Events whose first occurrence in a process is listed as a phase."""


class Restart(NamedTuple):
    """A group of processes that start together.

    Attributes:
        at: First instruction of the first process (seconds of the day).
        starts: First instruction of each process, by node.
    """

    at: float
    starts: dict[str, float]


class Wait(NamedTuple):
    """What one request waited for before its first send (seconds)."""

    ledger: float
    engine: float


def find_restarts(lines: Iterable[Line]) -> list[Restart]:
    """Return the groups of processes that started again together, in order of time."""
    seen: set[str] = set()
    starts: list[tuple[float, str]] = []
    for line in lines:
        if line.get("event") != "started":
            continue
        if line["on"] in seen:
            starts.append((line["at"] - float(line.get("seconds", 0.0)), line["on"]))
        seen.add(line["on"])
    starts.sort()
    groups: list[Restart] = []
    for at, node in starts:
        if groups and at - groups[-1].at <= GROUP_SECONDS:
            groups[-1].starts.setdefault(node, at)
        else:
            groups.append(Restart(at, {node: at}))
    return [group for group in groups if len(group.starts) >= MIN_GROUP_SIZE]


class ReturnReport:
    """Collects the lines that follow one restart."""

    def __init__(self, restart: Restart, window: float = WINDOW_SECONDS) -> None:
        """Collect lines up to ``window`` seconds after the restart."""
        self._restart = restart
        self._window = window
        self._roles: dict[str, str] = {}
        self._reached: dict[str, dict[str, float]] = defaultdict(dict)
        self._chosen: dict[str, Line] = {}
        self._answers: list[tuple[float, str]] = []
        self._arrivals: Counter[int] = Counter()
        self.endings: Counter[str] = Counter()
        self.histories: Counter[str] = Counter()
        self.repetitions: Counter[str] = Counter()
        self.waits: list[Wait] = []
        self.seconds: list[float] = []

    def take(self, line: Line) -> None:
        """Take a line in; lines outside the window are ignored, except for the names of roles."""
        event, node = line.get("event"), line["on"]
        if event == "started":
            self._roles[node] = line["role"]
        after = line["at"] - self._restart.at
        if after < 0.0 or after > self._window:
            return
        is_restarted = node in self._restart.starts
        if is_restarted:
            self._take_phase(line, after)
        if event in TRAFFIC_EVENTS:
            self._take_traffic(line, after)

    def _take_phase(self, line: Line, after: float) -> None:
        event, node = line["event"], line["on"]
        if event == "started":
            began = self._restart.starts[node] - self._restart.at
            self._reach(node, "process start", began)
            self._reach(node, "role built", after)
        elif event == "start_phase":
            began = self._restart.starts[node] - self._restart.at
            self._reach(node, str(line["phase"]), began + float(line["seconds"]))
        elif event == "ledger_role_changed" and line.get("role") == "leader":
            self._reach(node, "election won", after)
        elif event in FIRST_EVENTS:
            self._reach(node, FIRST_EVENTS[event], after)

    def _reach(self, node: str, phase: str, after: float) -> None:
        self._reached[phase].setdefault(node, after)

    def _take_traffic(self, line: Line, after: float) -> None:
        event = line["event"]
        if event == "engine_chosen":
            self._take_choice(line)
        elif event == "request_ended":
            self._take_end(line, after)
        elif event == "request_refused":
            self.endings[f"refused {line.get('status', '')} {line.get('reason', '')}"] += 1
        elif event == "request_repeated":
            self.repetitions[f"sent again: {line.get('reason', '')}"] += 1
        else:
            for cause in ("silence", "redirected", "new_leader", "through_peers"):
                if line.get(cause):
                    self.repetitions[f"ledger asked again: {cause}"] += line[cause]

    def _take_choice(self, line: Line) -> None:
        if line["request"] in self._chosen:
            return
        self._chosen[line["request"]] = line
        ledger, engine = float(line.get("reserving", 0.0)), float(line.get("waited", 0.0))
        self.waits.append(Wait(ledger, engine))
        if line.get("history"):
            self.histories[str(line["history"])] += 1

    def _take_end(self, line: Line, after: float) -> None:
        outcome = str(line["outcome"])
        if outcome not in GOOD_OUTCOMES or line.get("status", 200) >= 500:
            self.endings[
                f"{outcome} {line.get('status', '')} {line.get('reason', '')}".strip()
            ] += 1
            return
        self.endings[outcome] += 1
        self.seconds.append(float(line["seconds"]))
        self._answers.append((after, line["on"]))
        if outcome == "streamed":
            arrived = after - float(line["seconds"])
            self._arrivals[_step_of(arrived)] += 1
            self._reach(line["on"], "first turn arrived", arrived)
            self._reach(line["on"], "first turn answered", after)

    # ------------------------------------------------------------ results

    def phases(self) -> list[tuple[str, str, int, float, float]]:
        """Return role, phase, number of processes, median and 99th percentile, by median."""
        rows: list[tuple[str, str, int, float, float]] = []
        for phase, reached in self._reached.items():
            by_role: dict[str, list[float]] = defaultdict(list)
            for node, after in reached.items():
                by_role[self._roles.get(node, "-")].append(after)
            rows.extend(
                (role, phase, len(values), share(values, 0.5), share(values, 0.99))
                for role, values in by_role.items()
            )
        return sorted(rows, key=lambda row: (row[0], row[3], row[1]))

    def until_served(self) -> float | None:
        """Return when half of the restarted forwarding nodes have answered a turn."""
        nodes = [node for node in self._restart.starts if self._roles.get(node) == "edge"]
        served = sorted(self._reached.get("first turn answered", {}).values())
        middle = (len(nodes) + 1) // 2
        return served[middle - 1] if 0 < middle <= len(served) else None

    def print(self) -> None:
        """Print the tables."""
        restart = self._restart
        print(f"restart at {restart.at:.3f}: {len(restart.starts)} processes")
        served = self.until_served()
        shown = "not within the window" if served is None else f"{served:.3f} s"
        print(f"half of the forwarding nodes have answered a turn: {shown}\n")
        print("role      phase                          processes   median      99%")
        for role, phase, count, median, late in self.phases():
            print(f"{role:9} {phase:30} {count:9} {median:8.3f} {late:8.3f}")
        self._print_steps()
        self._print_requests()

    def _print_steps(self) -> None:
        print("\nafter   turns arrived   answers   nodes that have answered")
        nodes: set[str] = set()
        counts: Counter[int] = Counter()
        known: dict[int, int] = {}
        for after, node in sorted(self._answers):
            nodes.add(node)
            counts[_step_of(after)] += 1
            known[_step_of(after)] = len(nodes)
        for step, count in sorted(counts.items()):
            arrived = self._arrivals[step]
            print(f"{step * STEP_SECONDS:5.1f} {arrived:15} {count:9} {known[step]:9}")

    def _print_requests(self) -> None:
        print("\nrequests that ended within the window")
        for ending, count in self.endings.most_common():
            print(f"{count:7} {ending}")
        print("\nwaits before the first send   requests   median     95%      99%")
        columns = (
            ("ledger", [wait.ledger for wait in self.waits if wait.ledger]),
            ("engine", [wait.engine for wait in self.waits]),
        )
        for name, values in (*columns, ("whole answer", self.seconds)):
            print(
                f"{name:29} {len(values):8} {share(values, 0.5):8.3f} {share(values, 0.95):8.3f} "
                f"{share(values, 0.99):8.3f}"
            )
        for title, counts in (("texts of turns", self.histories), ("again", self.repetitions)):
            print(f"\n{title}")
            for name, count in counts.most_common():
                print(f"{count:7} {name}")


def _step_of(after: float) -> int:
    return math.floor(after / STEP_SECONDS)


def main() -> None:
    """Read a file and print the report of each restart."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path)
    parser.add_argument("--at", type=float, help="print only the restart nearest to this time")
    parser.add_argument("--window", type=float, default=WINDOW_SECONDS, help="seconds to report")
    arguments = parser.parse_args()
    with arguments.file.open() as file:
        restarts = find_restarts(read_lines(file))
    if not restarts:
        print(f"no restart of {MIN_GROUP_SIZE} or more processes")
        return
    if arguments.at is not None:
        restarts = [min(restarts, key=lambda item: abs(item.at - arguments.at))]
    reports = [ReturnReport(restart, arguments.window) for restart in restarts]
    with arguments.file.open() as file:
        for line in read_lines(file):
            for report in reports:
                report.take(line)
    for report in reports:
        report.print()


if __name__ == "__main__":
    main()
