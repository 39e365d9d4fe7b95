"""Reads the log lines of one day and says which requests ended badly, when, where and why.

``python -m tools.day_report FILE [--bucket SECONDS]`` takes the output of
``fleetbench run SITE DAY --log all``, or the standard output of roles, one JSON line each (then
the time of day is the time). For each bucket of time it prints the turns and calls that ended,
how long turns took (median and 95 in 100) and which part of that was the wait before the first
send, and every outcome other than a whole answer, by reason; then the same outcomes by node and
engine; then, for each program with a failed or a repeated turn, nothing but a count. With
``--ledger`` it prints what the ledger's leader did in each second instead. All times are seconds.
"""

from __future__ import annotations

import argparse
import json
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

Line = dict[str, Any]
GOOD_OUTCOMES = frozenset(("streamed", "answered"))
MARKED_EVENTS = frozenset(
    (
        "started",
        "start_phase",
        "stopping",
        "stopped",
        "dependency_lost",
        "dependency_regained",
        "ledger_role_changed",
        "ledger_path_lost",
        "ledger_path_found",
        "membership_step",
        "engine_lapsed",
        "replica_lost",
    )
)
"""Lines about nodes rather than requests, listed in order with ``--nodes``."""
REPETITION_CAUSES = (
    "silence",
    "redirected",
    "new_leader",
    "through_peers",
    "for_peers",
    "late_answers",
)
"""What ``ledger_repetitions`` counts."""
_PREFIX = re.compile(r"^\s*(-?\d+\.\d+)\s+(\S+)\s+(\{.*)$")


def read_lines(lines: Iterable[str]) -> Iterator[Line]:
    """Return the log lines, each with ``at`` (seconds) and ``on`` (the node)."""
    for text in lines:
        matched = _PREFIX.match(text)
        body = matched.group(3) if matched else text
        if not body.startswith("{"):
            continue
        try:
            line: Line = json.loads(body)
        except json.JSONDecodeError:
            continue
        line["at"] = float(matched.group(1)) if matched else 0.0
        line["on"] = matched.group(2) if matched else str(line.get("node", ""))
        yield line


def share(values: list[float], part: float) -> float:
    """Return the value below which ``part`` of the values lie; 0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


class DayReport:
    """Collects the ends of requests."""

    def __init__(self, bucket: float) -> None:
        """Count in buckets of so many seconds."""
        self._bucket = bucket
        self.ended: Counter[int] = Counter()
        self.turns: dict[int, list[float]] = defaultdict(list)
        self.waits: dict[int, list[float]] = defaultdict(list)
        self.loads: dict[int, list[float]] = defaultdict(list)
        self.bad: dict[int, Counter[str]] = defaultdict(Counter)
        self.bad_by_node: dict[str, Counter[str]] = defaultdict(Counter)
        self.bad_by_engine: dict[str, Counter[str]] = defaultdict(Counter)
        self.engine_turns: dict[str, list[float]] = defaultdict(list)
        self.marked: list[Line] = []
        self._first_send: dict[str, float] = {}

    def take(self, line: Line) -> None:
        """Take a line in."""
        event = line.get("event")
        if event == "engine_chosen":
            self._take_choice(line)
        elif event == "request_ended":
            self._take_end(line)
        elif event in MARKED_EVENTS:
            self.marked.append(line)

    def _take_choice(self, line: Line) -> None:
        self._first_send.setdefault(line["request"], line["at"])
        if line.get("program") and "cached" in line:
            self.loads[self._number(line["at"])].append(line["load"])

    def _take_end(self, line: Line) -> None:
        number = self._number(line["at"])
        self.ended[number] += 1
        outcome = line["outcome"]
        sent_at = self._first_send.pop(line["request"], None)
        if outcome == "streamed":
            self.turns[number].append(line["seconds"])
            self.engine_turns[line["engine"]].append(line["seconds"])
            if sent_at is not None:
                self.waits[number].append(sent_at - (line["at"] - line["seconds"]))
        if outcome in GOOD_OUTCOMES and line.get("status", 200) < 500:
            return
        reason = f"{outcome} {line.get('status', '')} {line.get('reason', '')}".strip()
        self.bad[number][reason] += 1
        self.bad_by_node[line["on"]][reason] += 1
        self.bad_by_engine[line.get("engine") or "-"][reason] += 1

    def _number(self, at: float) -> int:
        return int(at // self._bucket)

    def print(self, *, nodes: bool) -> None:
        """Print the tables."""
        print("second  ended turns  median  95%   wait(95%) load(mean)  ended badly")
        for number in sorted(self.ended):
            turns, waits, loads = self.turns[number], self.waits[number], self.loads[number]
            load = sum(loads) / len(loads) if loads else 0.0
            print(
                f"{number * self._bucket:6.1f} {self.ended[number]:6} {len(turns):5} "
                f"{share(turns, 0.5):7.3f} {share(turns, 0.95):6.3f} {share(waits, 0.95):8.3f} "
                f"{load:8.1f}    {_counted(self.bad[number])}"
            )
        for title, table in (("node", self.bad_by_node), ("engine", self.bad_by_engine)):
            print(f"\nended badly, by {title}")
            for name, counts in sorted(table.items(), key=lambda item: -item[1].total()):
                print(f"  {name:20} {_counted(counts)}")
        print("\nturns by engine: number, median, 95%")
        for name, seconds in sorted(self.engine_turns.items()):
            print(
                f"  {name:20} {len(seconds):6} {share(seconds, 0.5):7.3f} "
                f"{share(seconds, 0.95):7.3f}"
            )
        if nodes:
            print("\nnodes")
            for line in self.marked:
                rest = {k: v for k, v in line.items() if k not in ("time", "level", "at", "on")}
                print(f"  {line['at']:8.3f} {line['on']:18} {json.dumps(rest)}")


class LedgerReport:
    """Collects what nodes and the leader say of the ledger, by second."""

    def __init__(self) -> None:
        """Collect nothing yet."""
        self.grants: dict[int, list[float]] = defaultdict(list)
        self.keeps: dict[int, list[float]] = defaultdict(list)
        self.leader: dict[int, Line] = {}
        self.traffic: dict[tuple[int, str], Line] = {}
        self.repetitions: dict[int, Counter[str]] = defaultdict(Counter)

    def take(self, line: Line) -> None:
        """Take a line in."""
        second = int(line["at"] // 1)
        event = line.get("event")
        if event == "engine_chosen" and line.get("reserving"):
            self.grants[second].append(line["reserving"])
        elif event == "request_ended" and "keeping" in line:
            self.keeps[second].append(line["keeping"])
        elif event == "ledger_load" and line.get("answers"):
            self.leader[second] = line
        elif event == "peer_traffic":
            self.traffic[second, line["on"]] = line
        elif event == "ledger_repetitions":
            self.repetitions[second].update(_causes(line))

    def print(self) -> None:
        """Print the table."""
        print("second  grant 50% 95%   keep 50% 95%   leader, MB sent (by kind)   asked   again")
        for second in sorted(self.grants):
            grants, keeps = self.grants[second], self.keeps[second]
            load = self.leader.get(second, {})
            traffic = self.traffic.get((second, str(load.get("on"))), {})
            asked = load.get("reservations", 0) + load.get("settlements", 0)
            print(
                f"{second:6} {share(grants, 0.5):8.3f} {share(grants, 0.95):5.3f} "
                f"{share(keeps, 0.5):8.3f} {share(keeps, 0.95):5.3f}   "
                f"{load.get('on', '-')} {traffic.get('sent_bytes', 0) / 1e6:.2f} "
                f"({_megabytes(traffic)}) {asked:6} {_repeated(load)}   "
                f"{_counted(self.repetitions[second])}"
            )


def _causes(line: Line) -> dict[str, int]:
    return {name: line[name] for name in REPETITION_CAUSES if name in line}


def _megabytes(traffic: Line) -> str:
    kinds = [name for name in traffic if name.startswith("sent_") and name != "sent_bytes"]
    return ", ".join(f"{name.removeprefix('sent_')} {traffic[name] / 1e6:.2f}" for name in kinds)


def _repeated(load: Line) -> int:
    return sum(count for name, count in load.items() if name.startswith("repeated_"))


def _counted(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {reason}" for reason, count in counts.most_common())


def main() -> None:
    """Read a file and print its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", type=Path)
    parser.add_argument("--bucket", type=float, default=1.0, help="seconds in a row of the table")
    parser.add_argument(
        "--nodes", action="store_true", help="list starts, stops, lost dependencies"
    )
    parser.add_argument("--ledger", action="store_true", help="tell of the ledger instead")
    arguments = parser.parse_args()
    report = DayReport(arguments.bucket)
    ledger = LedgerReport()
    with arguments.file.open() as file:
        for line in read_lines(file):
            report.take(line)
            ledger.take(line)
    if arguments.ledger:
        ledger.print()
    else:
        report.print(nodes=arguments.nodes)


if __name__ == "__main__":
    main()
