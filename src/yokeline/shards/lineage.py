"""Lineages of a shard's group: which log replaces which.

An operator who recovers a shard starts a group anew from a copy of its log. Members of the
lost group may still exist (paused, or cut off), with entries that the copy lacks, so that the
two logs must never mix. A recovery therefore jumps the term by :data:`TERMS_PER_LINEAGE`, and
the quotient of term and step names the lineage: a replica of a lower lineage that hears of a
higher one, in a message of the group or in news, is obsolete for good, leader or not.

What this cannot prevent: while a lost majority is only *cut off* and goes on by itself, both
groups serve, each those callers that it reaches, until the cut heals; then the old group's
entries since the copy are dropped. The recovery asks the key-value service, which both may
reach, so that there is only one recovery; but the old group does not ask it, since no run
depends on that service. It is the operator who must know that the missing processes are gone.
"""

from __future__ import annotations

from collections.abc import Iterable

TERMS_PER_LINEAGE = 1_000_000_000
"""More elections than a group can have; terms stay below 2**53 for nine million recoveries."""


def lineage_of(term: int) -> int:
    """Return the lineage that a term belongs to."""
    return term // TERMS_PER_LINEAGE


def is_obsolete(term: int, newer: int) -> bool:
    """Return whether a log of ``term`` was replaced by the recovery that led to ``newer``."""
    return lineage_of(term) < lineage_of(newer)


def recovery_term(seen: Iterable[int]) -> int:
    """Return the first term of a lineage above those of all terms seen."""
    return (lineage_of(max(seen, default=0)) + 1) * TERMS_PER_LINEAGE
