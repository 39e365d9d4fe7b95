"""Arithmetic of majorities."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from yokeline.identifiers import ReplicaId

Number = TypeVar("Number", int, float)


def quorum_size(member_count: int) -> int:
    """Return the least number of members that is a majority."""
    return member_count // 2 + 1


def quorum_value(values: Iterable[Number]) -> Number:
    """Return the greatest value that a majority of the members has reached.

    Args:
        values: One value per member; at least one.
    """
    ordered = sorted(values, reverse=True)
    return ordered[quorum_size(len(ordered)) - 1]


def is_quorum(granted: set[ReplicaId], members: tuple[ReplicaId, ...]) -> bool:
    """Return whether ``granted`` holds a majority of ``members``."""
    if not members:
        return False
    count = sum(1 for member in members if member in granted)
    return count >= quorum_size(len(members))
