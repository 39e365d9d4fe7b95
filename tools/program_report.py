"""Says what became of each program in the logs of a played day, and what the lost ones met.

``python -m tools.program_report FILE... [--late-share S]`` reads what ``tools.day_report`` reads. A
program ended in time if its last request was answered whole before the time that its caller gave
it was over, late if after that, and badly otherwise; one that its budget stopped is left out. A
late program is put to the first thing that happened to it: a refusal, a failure, or else where most
of its time went. The table adds up to what is missing to 1, where a late program is worth ``S`` of
one in time. Then the same by second and by rank of the tenant (by programs begun), and how many
were refused after they had begun. Requests that were refused before they were read (by a node
without a proof of its configuration) name no program in the logs, and are missing.
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from pathlib import Path

import msgspec

from tools.day_report import GOOD_OUTCOMES, Line, read_lines

BUDGET_SPENT = "budget_spent"
QUOTA_SPENT = "quota_spent"
IN_TIME = "in time"
RANKS = ((1, "1"), (3, "2-3"), (10, "4-10"), (10**9, "others"))
"""Highest rank of a row, and its name."""


class Program(msgspec.Struct, kw_only=True):
    """One program.

    Attributes:
        met: What went wrong first; empty for nothing.
        seconds: Where its time went: in the ledger, in queues, at engines.
        is_whole: Its last request was answered whole.
        left: Seconds of its time that were left at the end of its last request.
        quota_refusals: Requests beyond its tenant's limit, the first turn apart.
    """

    tenant: str
    began_at: float
    turns: int = 0
    met: str = ""
    seconds: Counter[str] = msgspec.field(default_factory=Counter)
    is_whole: bool = False
    left: float = 0.0
    is_stopped: bool = False
    last_reason: str = ""
    quota_refusals: int = 0
    first_quota_refusals: int = 0

    @property
    def cause(self) -> str:
        """What it was lost by, or that it was not."""
        if not self.is_whole:
            return f"ended by {self.last_reason}"
        if self.left >= 0:
            return IN_TIME
        if self.met:
            return f"late after {self.met}"
        return f"late, most time {self.seconds.most_common(1)[0][0] if self.seconds else '?'}"


class ProgramReport:
    """Collects programs by name."""

    def __init__(self) -> None:
        """Know none."""
        self.programs: dict[tuple[str, str], Program] = {}

    def take(self, line: Line) -> None:
        """Take a line in."""
        if not line.get("program"):
            return
        if line["event"] == "engine_chosen":
            seconds = self._program(line).seconds
            seconds["in the ledger"] += line.get("reserving", 0.0)
            seconds["in queues"] += line.get("waited", 0.0)
        elif line["event"] == "request_ended":
            self._take_end(line)

    def _program(self, line: Line) -> Program:
        key = (line.get("tenant", ""), line["program"])
        if key not in self.programs:
            began_at = line["at"] - line.get("seconds", 0.0)
            self.programs[key] = Program(tenant=key[0], began_at=began_at)
        return self.programs[key]

    def _take_end(self, line: Line) -> None:
        program = self._program(line)
        outcome, reason = line["outcome"], line.get("reason") or line["outcome"]
        program.seconds["at engines"] += line.get("at_engine", 0.0)
        program.is_whole = outcome in GOOD_OUTCOMES and line.get("status", 200) < 500
        program.left = line.get("program_left", program.left)
        if program.is_whole:
            program.turns += outcome == "streamed"
            return
        program.last_reason = reason
        program.is_stopped = program.is_stopped or reason == BUDGET_SPENT
        program.met = program.met or reason
        if reason == QUOTA_SPENT and program.turns:
            program.quota_refusals += 1
        elif reason == QUOTA_SPENT:
            program.first_quota_refusals += 1

    def counted(self) -> list[Program]:
        """Return the programs that no budget stopped."""
        return [item for item in self.programs.values() if not item.is_stopped]

    def ranks(self) -> dict[str, str]:
        """Return the name of each tenant's rank, by programs begun."""
        begun = Counter(item.tenant for item in self.programs.values())
        names: dict[str, str] = {}
        for rank, (tenant, _) in enumerate(begun.most_common(), start=1):
            names[tenant] = next(name for highest, name in RANKS if rank <= highest)
        return names

    def print(self, late_share: float) -> None:
        """Print the tables."""
        programs = self.counted()
        causes = Counter(item.cause for item in programs)
        print("programs  share  lost   cause")
        for cause, count in causes.most_common():
            worth = 1.0 if cause == IN_TIME else late_share if cause.startswith("late") else 0.0
            share = count / len(programs)
            print(f"{count:8} {share:6.3f} {share * (1 - worth):6.3f}   {cause}")
        met = [item for item in programs if item.quota_refusals or item.first_quota_refusals]
        begun = sum(item.quota_refusals > 0 for item in met)
        print(
            f"\n{len(met)} programs met their tenant's limit, {begun} of them after they had begun"
        )
        self._print_by("tenant's rank", {id(item): self.ranks()[item.tenant] for item in programs})
        self._print_by("second", {id(item): f"{int(item.began_at):3}" for item in programs})

    def _print_by(self, title: str, names: dict[int, str]) -> None:
        groups: dict[str, list[Program]] = defaultdict(list)
        for item in self.counted():
            groups[names[id(item)]].append(item)
        print(f"\n{title:14} begun  in time  late  lost  most of the lost")
        for name in sorted(groups):
            rows = groups[name]
            lost = Counter(item.cause for item in rows if not item.is_whole)
            in_time = sum(item.cause == IN_TIME for item in rows)
            late = len(rows) - in_time - lost.total()
            most = ", ".join(f"{count} {cause}" for cause, count in lost.most_common(3))
            share = in_time / len(rows)
            print(f"{name:14} {len(rows):5} {share:8.3f} {late:5} {lost.total():5}  {most}")


def main() -> None:
    """Read files and print their report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", type=Path, nargs="+")
    parser.add_argument("--late-share", type=float, default=0.5, help="worth of a late program")
    arguments = parser.parse_args()
    report = ProgramReport()
    for name in arguments.files:
        with name.open() as file:
            for line in read_lines(file):
                report.take(line)
    report.print(arguments.late_share)


if __name__ == "__main__":
    main()
