"""Reports of simulations: one per seed, and a table over all."""

from __future__ import annotations

import io
from collections import Counter

import msgspec
from rich.console import Console
from rich.table import Table

from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.recovery import RecoveryTimes, percentile

TABLE_WIDTH = 100
SHOWN_VIOLATIONS = 20


class SeedReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one seed showed.

    Attributes:
        digest: Digest of the trace; equal seeds give equal digests.
        schedule: The faults, one line each.
        outcomes: Requests by kind and last word, such as ``posting done``.
        virtual_seconds: Length of the simulated time.
        replay: Command that runs this seed again.
    """

    world: str
    seed: int
    digest: str
    records: int
    virtual_seconds: float
    schedule: tuple[str, ...]
    faults: dict[str, int]
    outcomes: dict[str, int]
    recovery: RecoveryTimes
    results: tuple[CheckResult, ...]
    replay: str

    @property
    def violations(self) -> int:
        """Return the number of violations."""
        return sum(len(result.violations) for result in self.results)


class PointTotal(msgspec.Struct, frozen=True, kw_only=True):
    """Checks and violations of one point over all seeds."""

    point: Point
    checks: int
    violations: int


class Quantiles(msgspec.Struct, frozen=True, kw_only=True):
    """Quantiles of some times, in virtual seconds; None without any."""

    count: int
    median: float | None
    p99: float | None
    longest: float | None

    def line(self) -> str:
        """Return the quantiles for people."""
        if not self.count:
            return "none"
        return (
            f"{self.count}, median {self.median:.2f} s, 99th percentile {self.p99:.2f} s, "
            f"longest {self.longest:.2f} s"
        )


class SimulationReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a series of seeds showed."""

    world: str
    first_seed: int
    count: int
    points: tuple[PointTotal, ...]
    faults: dict[str, int]
    outcomes: dict[str, int]
    failover: Quantiles
    repair: Quantiles
    unrepaired: int
    failed: tuple[SeedReport, ...]

    @property
    def violations(self) -> int:
        """Return the number of violations over all seeds."""
        return sum(point.violations for point in self.points)

    def to_json(self) -> bytes:
        """Return the report as JSON."""
        return msgspec.json.encode(self)

    def to_text(self) -> str:
        """Return the report as a table, with the violations and how to replay them."""
        output = io.StringIO()
        console = Console(file=output, width=TABLE_WIDTH, color_system=None)
        console.print(self._table())
        console.print(f"faults injected: {_counts(self.faults)}", highlight=False)
        console.print(f"requests: {_counts(self.outcomes)}", highlight=False)
        console.print(f"failovers: {self.failover.line()}", highlight=False)
        console.print(
            f"replicas repaired: {self.repair.line()}; not repaired at the end: {self.unrepaired}",
            highlight=False,
        )
        for seed in self.failed:
            console.print(_failed_text(seed), highlight=False, markup=False, soft_wrap=True)
        return output.getvalue()

    def _table(self) -> Table:
        title = f"{self.world}: seeds {self.first_seed} to {self.first_seed + self.count - 1}"
        table = Table(title=title)
        table.add_column("point")
        table.add_column("checks", justify="right")
        table.add_column("violations", justify="right")
        for total in self.points:
            table.add_row(total.point.value, str(total.checks), str(total.violations))
        return table


def summarize(world: str, first_seed: int, seeds: list[SeedReport]) -> SimulationReport:
    """Return the report over some seeds."""
    checks: Counter[Point] = Counter()
    violations: Counter[Point] = Counter()
    faults: Counter[str] = Counter()
    outcomes: Counter[str] = Counter()
    for seed in seeds:
        faults.update(seed.faults)
        outcomes.update(seed.outcomes)
        for result in seed.results:
            checks[result.point] += result.checks
            violations[result.point] += len(result.violations)
    return SimulationReport(
        world=world,
        first_seed=first_seed,
        count=len(seeds),
        points=tuple(
            PointTotal(point=point, checks=checks[point], violations=violations[point])
            for point in Point
        ),
        faults=dict(sorted(faults.items())),
        outcomes=dict(sorted(outcomes.items())),
        failover=_quantiles([time for seed in seeds for time in seed.recovery.failover]),
        repair=_quantiles([time for seed in seeds for time in seed.recovery.repair]),
        unrepaired=sum(seed.recovery.unrepaired for seed in seeds),
        failed=tuple(seed for seed in seeds if seed.violations),
    )


def _quantiles(times: list[float]) -> Quantiles:
    if not times:
        return Quantiles(count=0, median=None, p99=None, longest=None)
    return Quantiles(
        count=len(times),
        median=percentile(times, 0.5),
        p99=percentile(times, 0.99),
        longest=max(times),
    )


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "none"


def _failed_text(seed: SeedReport) -> str:
    lines = [f"\nseed {seed.seed}: {seed.violations} violations; replay: {seed.replay}"]
    lines.extend(f"  fault {line}" for line in seed.schedule)
    for result in seed.results:
        shown = result.violations[:SHOWN_VIOLATIONS]
        lines.extend(f"  {result.point.value}: {violation}" for violation in shown)
        if len(result.violations) > len(shown):
            lines.append(f"  ... and {len(result.violations) - len(shown)} more")
    return "\n".join(lines)
