"""Says where the time of served requests went at a node, step by step, from the logs of a day.

``python -m tools.path_report FILE...`` reads what ``tools.day_report`` reads. For turns and for
calls it prints each step with its median, its 95% and its worst 1% (seconds): ``reserve`` (the
ledger's answer: budget, history, tenant's limit), ``wait`` (for an engine with room), ``engine``
(from the send to the last event or the answer) and ``keep`` (the ledger's answer to what was
generated), then the whole, and how far the predicted time at the engine was off.
"""

from __future__ import annotations

import argparse
from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

from tools.day_report import Line, read_lines, share

STEPS = ("reserve", "wait", "engine", "keep", "whole", "prediction off by")


class PathReport:
    """Collects the steps of requests that one send served."""

    def __init__(self) -> None:
        """Know nothing."""
        self.steps: dict[tuple[str, str], list[float]] = defaultdict(list)
        self._chosen: dict[str, Line] = {}

    def take(self, line: Line) -> None:
        """Take a line in."""
        event = line.get("event")
        if event == "engine_chosen":
            self._chosen[line["request"]] = line
        elif event == "request_ended":
            chosen = self._chosen.pop(line["request"], None)
            if chosen is not None and line.get("sends") == 1:
                self._take_end(chosen, line)

    def _take_end(self, chosen: Line, line: Line) -> None:
        if line["outcome"] == "streamed":
            self._note("turn", "engine", line["at_engine"])
            self._note("turn", "keep", line["keeping"])
            self._note("turn", "prediction off by", abs(line["predicted"] - line["at_engine"]))
            self._note_common("turn", chosen, line)
        elif line["outcome"] == "answered":
            self._note("call", "engine", line["at"] - chosen["at"])
            self._note_common("call", chosen, line)

    def _note_common(self, kind: str, chosen: Line, line: Line) -> None:
        self._note(kind, "reserve", chosen["reserving"])
        self._note(kind, "wait", chosen["waited"])
        self._note(kind, "whole", line["seconds"])

    def _note(self, kind: str, step: str, seconds: float) -> None:
        self.steps[kind, step].append(seconds)

    def print(self) -> None:
        """Print the tables."""
        for kind in ("turn", "call"):
            print(f"{kind}s, one send: {len(self.steps[kind, 'whole'])}")
            print("step                median    95%    99%")
            for step in STEPS:
                seconds = self.steps[kind, step]
                if seconds:
                    print(f"{step:18} {_row(seconds)}")


def _row(seconds: Iterable[float]) -> str:
    values = list(seconds)
    return " ".join(f"{share(values, part):7.4f}" for part in (0.5, 0.95, 0.99))


def main() -> None:
    """Read the arguments and print the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    for path in parser.parse_args().files:
        report = PathReport()
        with path.open(errors="replace") as lines:
            for line in read_lines(lines):
                report.take(line)
        print(path.name)
        report.print()


if __name__ == "__main__":
    main()
