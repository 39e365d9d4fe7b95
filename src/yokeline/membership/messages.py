"""Datagrams of the failure detector (UDP); each stays below the path's smallest MTU.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002. Every datagram carries claims on members along (piggyback).
"""

from __future__ import annotations

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import ReplicaId
from yokeline.membership.view import Member

MAX_DATAGRAM_BYTES = 1400
"""Largest encoded datagram; fits one Ethernet frame with room for a tunnel's header."""
_DATAGRAM_OVERHEAD_BYTES = 160
"""Bound on everything in a datagram but its members."""
_MEMBER_OVERHEAD_BYTES = 48
"""Bound on the lengths, numbers and the state of one encoded member."""
MEMBERS_BYTES = MAX_DATAGRAM_BYTES - _DATAGRAM_OVERHEAD_BYTES


class Ping(msgspec.Struct, frozen=True, kw_only=True, tag="ping"):
    """A probe; a process whose replica id is not ``target`` does not acknowledge it."""

    sequence: int
    target: ReplicaId
    sender: Member
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, kw_only=True, tag="ack"):
    """Answer to a probe; ``sequence`` 0 only hands over news."""

    sequence: int
    sender: Member
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, kw_only=True, tag="ping_request"):
    """Ask another member to probe ``target`` and to pass its answer on."""

    sequence: int
    target: ReplicaId
    target_address: Address
    sender: Member
    updates: tuple[Member, ...] = ()


class SyncRequest(msgspec.Struct, frozen=True, kw_only=True, tag="sync_request"):
    """Ask for a whole view, unless the asker's has the same digest."""

    digest: int
    sender: Member


class SyncChunk(msgspec.Struct, frozen=True, kw_only=True, tag="sync_chunk"):
    """A part of a whole view.

    Attributes:
        last: No further chunk follows.
        answer_wanted: The receiver is to send its own view back (push and pull).
    """

    sender: Member
    members: tuple[Member, ...]
    last: bool
    answer_wanted: bool


Datagram = Ping | Ack | PingRequest | SyncRequest | SyncChunk


def member_bytes(member: Member) -> int:
    """Return an upper bound on the encoded size of a member, in bytes."""
    texts = (
        member.replica,
        member.name,
        member.zone,
        member.region,
        member.address.host,
        member.http_address.host,
    )
    return _MEMBER_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)
