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


def is_quorum(
    granted: set[ReplicaId],
    members: tuple[ReplicaId, ...],
    lost: frozenset[ReplicaId] = frozenset(),
) -> bool:
    """Return whether the votes in ``granted`` elect a leader of ``members``.

    A member that is known to have lost its disk never votes or answers again, so a majority
    of the others is as unique as one of all. It must also be large enough to meet every
    majority of ``members`` that may have committed an entry: with four members two that are
    left hold everything together, and of two members the one that is left does.
    """
    survivors = [member for member in members if member not in lost]
    if not survivors:
        return False
    count = sum(1 for member in survivors if member in granted)
    meets_all = len(members) - quorum_size(len(members)) + 1
    return count >= max(quorum_size(len(survivors)), meets_all)
