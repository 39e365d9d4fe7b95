"""The table of members: merges claims, and lets a new process start supersede the old."""

from __future__ import annotations

import msgspec
import xxhash

from yokeline.identifiers import NodeName, ReplicaId
from yokeline.membership.view import (
    Member,
    MemberState,
    merge_claims,
    supersedes,
    with_state,
)


class MemberTable:
    """All members known, dead ones too until they are pruned.

    The table keeps the merged claims as they came; that an older process start of a node is
    dead follows from the presence of a newer one. So the effective view depends only on
    which claims were merged, and not on their order.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self._claims: dict[ReplicaId, Member] = {}
        self._starts: dict[NodeName, list[ReplicaId]] = {}
        self._dead_since: dict[ReplicaId, float] = {}

    def merge(self, claim: Member, now: float) -> list[Member]:
        """Merge one claim; return the members whose effective state changed by it."""
        known = self._claims.get(claim.replica)
        winner = claim if known is None else merge_claims(known, claim)
        if winner == known:
            return []
        starts = self._starts.setdefault(claim.name, [])
        before = [self.get(replica) for replica in starts]
        if known is None:
            before.append(None)
            starts.append(claim.replica)
        self._claims[claim.replica] = winner
        after = [self._effective(replica) for replica in starts]
        changed = [new for old, new in zip(before, after, strict=True) if new != old]
        for member in changed:
            self._note_death(member, now)
        return changed

    def get(self, replica: ReplicaId) -> Member | None:
        """Return what is believed of a process start."""
        return self._effective(replica) if replica in self._claims else None

    def latest_start(self, name: NodeName) -> Member | None:
        """Return the latest known process start of a node."""
        starts = self._starts.get(name)
        if not starts:
            return None
        return max(
            (self._claims[replica] for replica in starts),
            key=lambda member: (member.started_wall, member.replica),
        )

    def members(self) -> list[Member]:
        """Return all members in the order of their ids."""
        return [self._effective(replica) for replica in sorted(self._claims)]

    def digest(self) -> int:
        """Return a digest of the members that are not dead, equal for equal views.

        Dead members are left out, since each node prunes them at a time of its own.
        """
        rows = [
            f"{member.replica} {member.state.value} {member.incarnation}"
            for member in self.members()
            if member.state is not MemberState.DEAD
        ]
        return xxhash.xxh3_64_intdigest("\n".join(rows).encode())

    def prune(self, now: float, retention: float) -> None:
        """Forget the members that have been dead for ``retention`` seconds."""
        for replica in sorted(self._dead_since):
            if now - self._dead_since[replica] >= retention:
                self._forget(replica)

    def _effective(self, replica: ReplicaId) -> Member:
        claim = self._claims[replica]
        if claim.state is MemberState.DEAD:
            return claim
        starts = self._starts[claim.name]
        if any(supersedes(self._claims[other], claim) for other in starts):
            return with_state(claim, MemberState.DEAD)
        return claim

    def _note_death(self, member: Member, now: float) -> None:
        if member.state is MemberState.DEAD:
            self._dead_since.setdefault(member.replica, now)
        else:
            self._dead_since.pop(member.replica, None)

    def _forget(self, replica: ReplicaId) -> None:
        del self._dead_since[replica]
        claim = self._claims.pop(replica)
        starts = self._starts[claim.name]
        starts.remove(replica)
        if not starts:
            del self._starts[claim.name]


def started_after(member: Member, other: Member, margin: float) -> Member:
    """Return ``member`` with a start time and incarnation that supersede ``other``."""
    return msgspec.structs.replace(
        member,
        started_wall=other.started_wall + margin,
        incarnation=member.incarnation + 1,
    )
