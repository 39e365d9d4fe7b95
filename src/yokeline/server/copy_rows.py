"""What a node tells operators of the copies of shards that it holds."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from yokeline.identifiers import NodeName, ShardId
from yokeline.server.recovery import ShardRecovery
from yokeline.shards.copies import DamagedCopy, ShardCopy, StoredCopies

MEMORY = "memory"
DISK = "disk"
DAMAGED = "damaged"


class CopyRow(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of a shard at the answering node.

    Attributes:
        lost: Whether the shard has lost its majority, as this node sees it.
        source: ``memory`` (a member of the lost group that still runs), ``disk`` (left by an
            earlier process start) or ``damaged``.
        copy_of: The process start that it is of.
        latest_wall: Wall seconds of the latest change in it; 0 if there is none.
        age_seconds: Time since then.
        cut_bytes: Bytes of an incomplete record that were cut off its end.
        problem: Why it cannot be used, and the remedy.
    """

    shard: int
    node: str
    lost: bool
    source: str
    copy_of: str = ""
    last_term: int = 0
    last_index: int = 0
    runs: int = 0
    active: int = 0
    latest_wall: float = 0.0
    age_seconds: float = 0.0
    cut_bytes: int = 0
    problem: str = ""


def copy_rows(
    recovery: ShardRecovery,
    copies: StoredCopies,
    shards: Iterable[ShardId],
    node: NodeName,
    wall: float,
) -> tuple[CopyRow, ...]:
    """Return the copies held here, by shard; of living replicas only those of lost groups."""
    rows: list[CopyRow] = []
    for shard in shards:
        lost = recovery.is_lost(shard)
        live = recovery.live_copy(shard) if lost else None
        if live is not None:
            rows.append(_usable(live, MEMORY, node, lost=lost, wall=wall))
        if shard in copies.usable:
            rows.append(_usable(copies.usable[shard], DISK, node, lost=lost, wall=wall))
        if shard in copies.damaged:
            rows.append(_damaged(copies.damaged[shard], node, lost=lost))
    return tuple(rows)


def _usable(copy: ShardCopy, source: str, node: NodeName, *, lost: bool, wall: float) -> CopyRow:
    stored = copy.stored
    return CopyRow(
        shard=stored.shard,
        node=node,
        lost=lost,
        source=source,
        copy_of=stored.replica,
        last_term=stored.last_term,
        last_index=stored.last_index,
        runs=copy.runs,
        active=copy.active,
        latest_wall=copy.latest_wall,
        age_seconds=max(0.0, wall - copy.latest_wall) if copy.latest_wall else 0.0,
        cut_bytes=stored.truncated_bytes,
    )


def _damaged(copy: DamagedCopy, node: NodeName, *, lost: bool) -> CopyRow:
    return CopyRow(
        shard=copy.shard, node=node, lost=lost, source=DAMAGED, problem=copy.error.line()
    )
