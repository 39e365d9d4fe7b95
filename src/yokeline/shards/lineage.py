"""Lineages: which log of a shard replaces which after a recovery.

When a shard has lost its majority, an operator can start a new group from a copy of its log.
Members of the lost group may still exist, paused or partitioned, with entries that the copy
lacks. A recovery therefore raises the term to a multiple of :data:`TERMS_PER_LINEAGE`; the
quotient of a term and this number is its lineage. A replica that receives a group message or
a leader update of a higher lineage is obsolete and leaves its group, whatever its role.

Limitation: while a lost majority is only partitioned and still runs, both groups serve the
callers that reach them. When the partition heals, the entries that the old group committed
since the copy are dropped. The key-value service ensures that there is only one recovery, but
the old group does not depend on it and is not stopped by it. Before a recovery, the operator
has to make sure that the missing processes have ended.
"""

from __future__ import annotations

from collections.abc import Iterable

TERMS_PER_LINEAGE = 1_000_000_000
"""Upper bound of the elections in a lineage. Terms stay below 2**53 for nine million recoveries."""


def lineage_of(term: int) -> int:
    """Return the lineage that a term belongs to."""
    return term // TERMS_PER_LINEAGE


def is_obsolete(term: int, newer: int) -> bool:
    """Return whether the lineage of ``term`` is lower than that of ``newer``."""
    return lineage_of(term) < lineage_of(newer)


def recovery_term(seen: Iterable[int]) -> int:
    """Return the first term of the lineage above those of all terms in ``seen``."""
    return (lineage_of(max(seen, default=0)) + 1) * TERMS_PER_LINEAGE
