"""Since when a replica leads, and which replicas it saw leave the group."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.identifiers import ReplicaId

MAX_FORMER_MEMBERS = 256
"""Replicas that left and are remembered; each lost disk adds one in the life of a process."""


class LeadershipTracker:
    """What a leader needs to tell news of its own time from what was heard before.

    Attributes:
        since: When it began to lead in the present term (monotonic seconds); ``inf`` for a replica
            that does not lead.
    """

    def __init__(self) -> None:
        """Begin as a replica that does not lead."""
        self.since = float("inf")
        self._term = -1
        self._members: tuple[ReplicaId, ...] = ()
        self._former_members: OrderedDict[ReplicaId, None] = OrderedDict()

    @property
    def former_members(self) -> frozenset[ReplicaId]:
        """Replicas that were members and are not."""
        return frozenset(self._former_members)

    def observe(
        self, *, is_leader: bool, term: int, members: tuple[ReplicaId, ...], now: float
    ) -> None:
        """Take the state of the group in; called several times a second."""
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
