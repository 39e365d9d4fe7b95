"""Prints tables and slopes as Markdown."""

from __future__ import annotations

from collections.abc import Sequence

from benchmarks.scale.slopes import fit


def print_table(title: str, head: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print a table under its title."""
    print(f"\n{title}\n")
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    print(flush=True)


def print_slope(what: str, points: Sequence[tuple[float, float]]) -> None:
    """Print the least squares line through some points."""
    line = fit(points)
    shown = ", ".join(f"({x:g}, {y:.4g})" for x, y in points)
    print(f"- {what}: {line.base:.4g} + {line.slope:.4g} x    {shown}", flush=True)
