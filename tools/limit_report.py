"""Says how close each limited tenant came to its bound in the logs of a played day.

``python -m tools.limit_report FILE...`` reads what ``tools.day_report`` reads. For each tenant that
was refused for its limit at least once it prints the limit, what its requests that were sent to an
engine come to in the worst window, the bound of that window, and how many were refused. A request
counts from its arrival at the node to each send to an engine that did not refuse it.
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from pathlib import Path
from typing import NamedTuple

from tools.day_report import Line, read_lines

WINDOW_SECONDS = 5.0
OVERAGE = 0.1
SLACK = 20.0
QUOTA_SPENT = "quota_spent"


class Run(NamedTuple):
    """A request that an engine ran: when its node read it, and when it was sent on (seconds)."""

    arrived_at: float
    sent_at: float


class LimitReport:
    """Collects runs and refusals by tenant."""

    def __init__(self) -> None:
        """Know nothing."""
        self.refused: Counter[str] = Counter()
        self.limits: dict[str, set[tuple[float, float]]] = defaultdict(set)
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self._sends: dict[str, list[float]] = defaultdict(list)

    def take(self, line: Line) -> None:
        """Take a line in."""
        event = line.get("event")
        if event == "engine_chosen":
            self._sends[line["request"]].append(line["at"])
        elif event == "engine_rejected" and self._sends.get(line["request"]):
            self._sends[line["request"]].pop()
        elif event == "request_ended" and line.get("tenant"):
            self._take_end(line)

    def _take_end(self, line: Line) -> None:
        tenant = line["tenant"]
        arrived_at = line["at"] - line["seconds"]
        for sent_at in self._sends.pop(line["request"], []):
            self.runs[tenant].append(Run(arrived_at, sent_at))
        if line.get("reason") == QUOTA_SPENT:
            self.refused[tenant] += 1
            self.limits[tenant].add((line["rate"], line["burst"]))

    def print(self, window: float, overage: float, slack: float) -> None:
        """Print a row for each tenant that was refused, the closest to its bound first."""
        print("tenant        rate  depth  worst  bound  share  ran  refused")
        rows = []
        for tenant, limits in self.limits.items():
            rate, depth = max(limits)
            burst = _burst_of(rate, depth, window, overage, slack)
            bound = (rate * window + burst) * (1 + overage) + slack
            worst = worst_count(self.runs[tenant], window)
            rows.append((worst / bound, tenant, rate, depth, worst, bound))
        for share, tenant, rate, depth, worst, bound in sorted(rows, reverse=True):
            print(
                f"{tenant:12} {rate:5.1f} {depth:6.1f} {worst:6} {bound:6.1f} {share:6.2f} "
                f"{len(self.runs[tenant]):5} {self.refused[tenant]:6}"
            )


def _burst_of(rate: float, depth: float, window: float, overage: float, slack: float) -> float:
    """Return the burst of a limit from the depth of its bucket (forwarding.limits)."""
    from yokeline.forwarding.tenant_limits import USED_TOLERANCE_SHARE

    tolerated = USED_TOLERANCE_SHARE * (overage * rate * window + slack)
    return max(0.0, (depth - tolerated) / (1 + USED_TOLERANCE_SHARE * overage))


def worst_count(runs: list[Run], window: float) -> int:
    """Return the most requests that arrived and were sent on within one window."""
    worst = 0
    for first in runs:
        begin, end = first.arrived_at, first.arrived_at + window
        inside = sum(begin <= run.arrived_at and run.sent_at <= end for run in runs)
        worst = max(worst, inside)
    return worst


def main() -> None:
    """Read the arguments and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    parser.add_argument("--window", type=float, default=WINDOW_SECONDS)
    parser.add_argument("--overage", type=float, default=OVERAGE)
    parser.add_argument("--slack", type=float, default=SLACK)
    arguments = parser.parse_args()
    for path in arguments.files:
        report = LimitReport()
        with path.open(errors="replace") as lines:
            for line in read_lines(lines):
                report.take(line)
        print(path.name)
        report.print(arguments.window, arguments.overage, arguments.slack)


if __name__ == "__main__":
    main()
