"""Which claims ride on the next datagram (infection-style dissemination, SWIM section 4.1)."""

from __future__ import annotations

import math
from collections.abc import Callable

from yokeline.identifiers import ReplicaId
from yokeline.membership.messages import MEMBERS_BYTES, member_bytes
from yokeline.membership.view import Member

RETRANSMIT_FACTOR = 3
"""Times ``log2(members + 1)`` that each news is sent by one node."""


class Dissemination:
    """News that this node still has to pass on, least sent first."""

    def __init__(self) -> None:
        """Start without news."""
        self._sent: dict[ReplicaId, int] = {}

    def add(self, replica: ReplicaId) -> None:
        """Pass on what is believed of ``replica`` from now on."""
        self._sent[replica] = 0

    def take(
        self,
        lookup: Callable[[ReplicaId], Member | None],
        member_count: int,
        first: tuple[Member, ...],
        reserved_bytes: int,
    ) -> tuple[Member, ...]:
        """Return the claims for one datagram and count them as sent.

        Args:
            lookup: Gives what is believed of a replica id now.
            member_count: Members of the cluster, for the number of retransmissions.
            first: Claims that must be among the chosen ones.
            reserved_bytes: Bytes of the datagram that are taken already.
        """
        limit = math.ceil(RETRANSMIT_FACTOR * math.log2(member_count + 1))
        chosen = list(first)
        chosen_ids = {member.replica for member in first}
        room = MEMBERS_BYTES - reserved_bytes - sum(map(member_bytes, first))
        for replica in sorted(self._sent, key=lambda item: (self._sent[item], item)):
            member = lookup(replica)
            if member is None:
                del self._sent[replica]
                continue
            if replica in chosen_ids:
                continue
            room -= member_bytes(member)
            if room < 0:
                break
            chosen.append(member)
            self._count(replica, limit)
        return tuple(chosen)

    def _count(self, replica: ReplicaId, limit: int) -> None:
        self._sent[replica] += 1
        if self._sent[replica] >= limit:
            del self._sent[replica]
