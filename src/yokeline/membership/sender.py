"""Datagrams to other members: their content, with news attached as far as it fits."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Address, SendDatagram
from yokeline.identifiers import ReplicaId
from yokeline.membership.dissemination import Dissemination
from yokeline.membership.member_table import MemberTable
from yokeline.membership.messages import Ack, Ping, PingRequest, SyncRequest, member_bytes
from yokeline.membership.view import Member, MemberState
from yokeline.server.context import NodeContext


class MembershipSender:
    """Sends the datagrams of one member."""

    def __init__(
        self,
        context: NodeContext,
        table: MemberTable,
        news: Dissemination,
        own: Callable[[], Member],
    ) -> None:
        """Create a sender.

        Args:
            context: The node's context.
            table: What this node believes of the members.
            news: Changes that are still to be told.
            own: Returns this node's own claim as it is now.
        """
        self._context = context
        self._table = table
        self._news = news
        self._own = own

    def send(self, to: Address, message: msgspec.Struct) -> None:
        """Send a datagram as it is."""
        self._context.counters["yokeline_membership_datagrams_sent_total"] += 1
        self._context.emit(SendDatagram(address=to, message=message))

    def ping(self, to: Address, sequence: int, target: ReplicaId) -> None:
        """Probe a member; one that is suspected is told so, that it may refute it."""
        believed = self._table.get(target)
        suspect = believed is not None and believed.state is MemberState.SUSPECT
        first = (believed,) if believed is not None and suspect else ()
        ping = Ping(
            sequence=sequence, target=target, sender=self._own(), updates=self._updates(first)
        )
        self.send(to, ping)

    def acknowledge(self, to: Address, sequence: int, sender: Member | None = None) -> None:
        """Answer a probe of ``sender``; sequence 0 and no sender only hand over news."""
        first = () if sender is None else self._doubts_about(sender)
        self.send(to, Ack(sequence=sequence, sender=self._own(), updates=self._updates(first)))

    def request_probe(
        self, to: Address, sequence: int, target: ReplicaId, target_address: Address
    ) -> None:
        """Ask a member to probe another one on this node's behalf."""
        request = PingRequest(
            sequence=sequence, target=target, target_address=target_address, sender=self._own()
        )
        self.send(to, request)

    def request_sync(self, to: Address) -> None:
        """Offer an exchange of whole views; it is declined when both are the same."""
        self.send(to, SyncRequest(digest=self._table.digest(), sender=self._own()))

    def _doubts_about(self, sender: Member) -> tuple[Member, ...]:
        """Return what is believed of a sender where it differs from its own claim."""
        believed = self._table.get(sender.replica)
        if believed is None or believed == sender:
            return ()
        latest = self._table.latest_start(sender.name)
        if latest is not None and latest.replica != sender.replica:
            return (believed, latest)
        return (believed,)

    def _updates(self, first: tuple[Member, ...]) -> tuple[Member, ...]:
        count = len(self._table.members())
        own_bytes = member_bytes(self._own())
        return self._news.take(self._table.get, count, first, own_bytes)
