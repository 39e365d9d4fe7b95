"""Members of the cluster: their states, the merge rules, and the view that others use."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import NodeName, ReplicaId


class MemberState(enum.Enum):
    """What is believed of a member."""

    JOINING = "joining"
    """Started, and has not yet synchronized its view with another member."""
    ALIVE = "alive"
    LEAVING = "leaving"
    """In a planned stop: finishes its work and takes no new work."""
    SUSPECT = "suspect"
    """Did not answer a probe; dead unless it refutes with a higher incarnation."""
    DEAD = "dead"


STATE_RANK: dict[MemberState, int] = {
    MemberState.JOINING: 0,
    MemberState.ALIVE: 1,
    MemberState.LEAVING: 2,
    MemberState.SUSPECT: 3,
    MemberState.DEAD: 4,
}
"""Among claims with one incarnation, the claim with the highest rank wins."""


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A claim about one process start of a node.

    Attributes:
        replica: Identity of the process start.
        name: Name of the node.
        address: Where it listens for other nodes (TCP and UDP).
        http_address: Where it listens for callers and operators.
        incarnation: Raised by the member alone, to refute what others claim of it.
        started_wall: Wall seconds of the process start; orders the starts of one node.
    """

    replica: ReplicaId
    name: NodeName
    zone: str
    region: str
    address: Address
    http_address: Address
    state: MemberState = MemberState.JOINING
    incarnation: int = 0
    started_wall: float = 0.0


class PeerView(Protocol):
    """What the other components ask of membership."""

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not dead (this node too), in the order of their ids.

        Joining, leaving and suspect members are among them; ``Member.state`` tells.
        """
        ...

    def address_of(self, replica: ReplicaId) -> Address | None:
        """Return where a member that is not dead listens for other nodes."""
        ...

    def is_dead(self, replica: ReplicaId) -> bool:
        """Return whether that process start is believed to be over."""
        ...

    def zone_of(self, replica: ReplicaId) -> str | None:
        """Return the zone of a member, None if it is not known."""
        ...


def _precedence(member: Member) -> tuple[int, int, float, str]:
    """Return the sort key of a claim; a total order over claims on one replica id."""
    rank = STATE_RANK[member.state]
    rest = f"{member.zone} {member.region} {member.address} {member.http_address}"
    return (member.incarnation, rank, member.started_wall, rest)


def merge_claims(left: Member, right: Member) -> Member:
    """Return the claim that wins over two claims on one replica id (SWIM, section 4.2).

    The highest incarnation wins, then the highest rank of the state. It is the maximum of
    a total order, so that merging is commutative, associative and idempotent.
    """
    return max(left, right, key=_precedence)


def supersedes(left: Member, right: Member) -> bool:
    """Return whether ``left`` is a later process start than ``right`` of the same node."""
    if left.name != right.name or left.replica == right.replica:
        return False
    return (left.started_wall, left.replica) > (right.started_wall, right.replica)


def with_state(member: Member, state: MemberState, incarnation: int | None = None) -> Member:
    """Return the same member with another state (and incarnation)."""
    number = member.incarnation if incarnation is None else incarnation
    return msgspec.structs.replace(member, state=state, incarnation=number)
