"""Tracks since when a replica leads, and which replicas have left the group."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.identifiers import ReplicaId

MAX_FORMER_MEMBERS = 256
"""Former members that are remembered; every lost disk adds one."""


class LeadershipTracker:
    """Tracks the leadership of a replica and the former members of its group.

    Attributes:
        since: When the replica began to lead in the current term (monotonic seconds); ``inf`` if it
            does not lead.
    """

    def __init__(self) -> None:
        """Start as a replica that does not lead."""
        self.since = float("inf")
        self._term = -1
        self._members: tuple[ReplicaId, ...] = ()
        self._former_members: OrderedDict[ReplicaId, None] = OrderedDict()

    @property
    def former_members(self) -> frozenset[ReplicaId]:
        """Replicas that were members and no longer are."""
        return frozenset(self._former_members)

    def observe(
        self, *, is_leader: bool, term: int, members: tuple[ReplicaId, ...], now: float
    ) -> None:
        """Record the current state of the group."""
        if not is_leader:
            self.since = float("inf")
        elif self.since > now or term != self._term:
            self.since = now
        self._term = term
        for replica in set(self._members) - set(members):
            self._former_members[replica] = None
        for replica in members:
            self._former_members.pop(replica, None)
        while len(self._former_members) > MAX_FORMER_MEMBERS:
            self._former_members.popitem(last=False)
        self._members = members
