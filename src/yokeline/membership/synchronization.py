"""Periodic exchange of whole views, in chunks that are paced (anti-entropy)."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

import msgspec

from yokeline.effects import Address
from yokeline.membership.messages import MEMBERS_BYTES, SyncChunk, member_bytes
from yokeline.membership.view import Member

MAX_TRANSFERS = 4
"""Views under way to other members at a time; further requests are left unanswered."""
CHUNK_PAUSE_SECONDS = 0.02


class Transfer(msgspec.Struct, kw_only=True):
    """A view under way to another member."""

    to: Address
    members: list[Member]
    answer_wanted: bool
    position: int = 0


class ViewTransfers:
    """Sends views chunk by chunk, one chunk per :data:`CHUNK_PAUSE_SECONDS`."""

    def __init__(self) -> None:
        """Start with nothing under way."""
        self._transfers: deque[Transfer] = deque()
        self._next_chunk = 0.0

    def start(self, to: Address, members: Sequence[Member], *, answer_wanted: bool) -> bool:
        """Begin to send a view; return False if too many are under way."""
        if len(self._transfers) >= MAX_TRANSFERS:
            return False
        if any(transfer.to == to for transfer in self._transfers):
            return False
        transfer = Transfer(to=to, members=list(members), answer_wanted=answer_wanted)
        self._transfers.append(transfer)
        return True

    def next_deadline(self) -> float | None:
        """Return when the next chunk is due."""
        return self._next_chunk if self._transfers else None

    def take_due(self, sender: Member, now: float) -> tuple[Address, SyncChunk] | None:
        """Return the next chunk and where it goes, if one is due."""
        if not self._transfers or now < self._next_chunk:
            return None
        self._next_chunk = now + CHUNK_PAUSE_SECONDS
        transfer = self._transfers.popleft()
        members = self._next_members(transfer, member_bytes(sender))
        last = transfer.position >= len(transfer.members)
        if not last:
            self._transfers.append(transfer)
        chunk = SyncChunk(
            sender=sender,
            members=members,
            last=last,
            answer_wanted=transfer.answer_wanted and last,
        )
        return transfer.to, chunk

    def _next_members(self, transfer: Transfer, reserved_bytes: int) -> tuple[Member, ...]:
        room = MEMBERS_BYTES - reserved_bytes
        chosen: list[Member] = []
        while transfer.position < len(transfer.members):
            member = transfer.members[transfer.position]
            room -= member_bytes(member)
            if room < 0:
                break
            chosen.append(member)
            transfer.position += 1
        return tuple(chosen)
