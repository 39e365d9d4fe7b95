"""Traversal of run trees."""

from __future__ import annotations

from collections.abc import Mapping

from yokeline.identifiers import RunId, child_run_id
from yokeline.runs.model import Run


def ancestors(runs: Mapping[RunId, Run], run: Run) -> list[Run]:
    """Return a run followed by its ancestors up to the root."""
    chain = [run]
    while chain[-1].parent is not None:
        chain.append(runs[chain[-1].parent])
    return chain


def descendants(runs: Mapping[RunId, Run], run: Run) -> list[Run]:
    """Return a run followed by its descendants, parents before their children."""
    found = [run]
    for member in found:
        for number in range(1, member.children + 1):
            child = runs.get(child_run_id(member.run, number))
            if child is not None:
                found.append(child)
    return found


def depth(run: RunId) -> int:
    """Return a run's depth in its tree; 0 for the root."""
    return run.count(".")
