"""The failure detector of one node: who is in the cluster, where, and in which state."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.addresses import parse_address
from yokeline.effects import Address, DatagramArrived
from yokeline.identifiers import ReplicaId, node_name_of
from yokeline.membership.dissemination import Dissemination
from yokeline.membership.member_table import MemberTable, started_after
from yokeline.membership.messages import Ack, Ping, PingRequest, SyncChunk, SyncRequest
from yokeline.membership.probes import ProbeOrder, ProbeTable
from yokeline.membership.relays import RelayTable
from yokeline.membership.sender import MembershipSender
from yokeline.membership.synchronization import ViewTransfers
from yokeline.membership.view import Member, MemberState, with_state
from yokeline.server.context import NodeContext
from yokeline.settings import Settings

SYNC_PERIOD_SECONDS = 10.0
"""Time between two exchanges of whole views with a random member."""
JOIN_PERIOD_SECONDS = 0.5
"""Time between two tries to join through the seeds."""
JOIN_PATIENCE_SECONDS = 5.0
"""Time after which a node that no seed answers counts itself as alive all the same."""
DEAD_RETENTION_SECONDS = 600.0
"""Time that dead members are remembered, so that stale news does not revive them."""
UNKNOWN_GRACE_SECONDS = 10.0
"""Time after the start from which a replica id that nobody mentions counts as dead."""
RECONNECT_PERIOD_SECONDS = 3.0
"""Time between two tries to reach a dead member or a seed, to heal a partition."""
PAUSE_SECONDS = 1.0
"""A deadline missed by more than this means that this process was paused."""
DEPARTURE_NOTICES = 5
"""Members that are told at once when this node ends a planned stop."""
_START_MARGIN_SECONDS = 0.001

ChangeListener = Callable[[Member], None]


class Membership:
    """SWIM-style membership of one node; implements ``membership.view.PeerView``.

    Each node sends one probe per period and answers what it is asked, so that its rate of
    messages does not depend on the size of the cluster.

    Attributes:
        on_change: Called with each member whose state (or incarnation) changed.
        superseded: A later process start of this very node was seen; this process is to end.
    """

    def __init__(self, context: NodeContext, settings: Settings, own: Member) -> None:
        """Create the membership of the member ``own``; ``context.now`` is its start."""
        self.on_change: list[ChangeListener] = []
        self.superseded = False
        self._context = context
        self._settings = settings.membership
        self._own = own
        self._seeds = _other_seeds(settings.cluster.seeds, own.address)
        self._table = MemberTable()
        self._news = Dissemination()
        self._probes = ProbeTable(settings.membership)
        self._order = ProbeOrder(context.random)
        self._transfers = ViewTransfers()
        self._relays = RelayTable()
        self._sender = MembershipSender(context, self._table, self._news, lambda: self._own)
        self._suspicions: dict[ReplicaId, float] = {}
        self._started = context.now
        self._next_probe = context.now
        self._next_join = context.now
        self._next_sync = context.now + context.random.uniform(0, SYNC_PERIOD_SECONDS)
        self._next_reconnect = context.now + RECONNECT_PERIOD_SECONDS
        self._merge(own)
        if not self._seeds:
            self._transition_own(MemberState.ALIVE)

    # ------------------------------------------------------------ the view

    @property
    def own(self) -> Member:
        """Return this node's own claim."""
        return self._own

    def members(self) -> tuple[Member, ...]:
        """Return all members known, dead ones too, in the order of their ids."""
        return tuple(self._table.members())

    def alive(self) -> tuple[Member, ...]:
        """Return the members that are not dead (this node too), in the order of their ids."""
        return tuple(
            member for member in self._table.members() if member.state is not MemberState.DEAD
        )

    def member(self, replica: ReplicaId) -> Member | None:
        """Return what is believed of a process start, None if it is not known."""
        return self._table.get(replica)

    def address_of(self, replica: ReplicaId) -> Address | None:
        """Return where a member that is not dead listens for other nodes."""
        member = self._table.get(replica)
        if member is None or member.state is MemberState.DEAD:
            return None
        return member.address

    def is_dead(self, replica: ReplicaId) -> bool:
        """Return whether that process start is believed to be over.

        A replica id that is not known is dead if its node has another process start, or
        once this node has been up long enough to have heard of it.
        """
        member = self._table.get(replica)
        if member is not None:
            return member.state is MemberState.DEAD
        if self._table.latest_start(node_name_of(replica)) is not None:
            return True
        return self._context.now - self._started >= UNKNOWN_GRACE_SECONDS

    def zone_of(self, replica: ReplicaId) -> str | None:
        """Return the zone of a member, None if it is not known."""
        member = self._table.get(replica)
        return None if member is None else member.zone

    # ------------------------------------------------------------ planned stop

    def leave(self) -> None:
        """Tell the others that this node is in a planned stop."""
        if self._own.state is not MemberState.LEAVING:
            self._transition_own(MemberState.LEAVING)

    def depart(self) -> None:
        """Tell some members that this process ends now, so that none has to detect it."""
        self._transition_own(MemberState.DEAD)
        for member in self._random_peers(DEPARTURE_NOTICES, ()):
            self._sender.acknowledge(member.address, 0)

    # ------------------------------------------------------------ events

    def receive(self, arrived: DatagramArrived) -> None:
        """Take a datagram of another member in."""
        message = arrived.message
        if isinstance(message, Ping):
            self._receive_ping(message, arrived.source)
        elif isinstance(message, Ack):
            self._receive_ack(message)
        elif isinstance(message, PingRequest):
            self._receive_ping_request(message, arrived.source)
        elif isinstance(message, SyncRequest):
            self._receive_sync_request(message, arrived.source)
        elif isinstance(message, SyncChunk):
            self._receive_sync_chunk(message, arrived.source)
        else:
            self._context.counters["yokeline_membership_unexpected_datagrams_total"] += 1

    def tick(self) -> None:
        """Do what is due now."""
        now = self._context.now
        self._forgive_own_pause(now)
        self._fail_probes(now)
        self._ask_for_indirect_probes(now)
        self._expire_suspicions(now)
        self._probe_next(now)
        self._join(now)
        self._synchronize(now)
        self._reconnect(now)
        self._send_chunk(now)

    def next_deadline(self) -> float:
        """Return when :meth:`tick` is due at the latest."""
        times = [self._next_probe, self._next_sync, self._next_reconnect]
        optional = [self._probes.next_deadline(), self._transfers.next_deadline()]
        times.extend(time for time in optional if time is not None)
        times.extend(self._suspicions.values())
        if self._own.state is MemberState.JOINING:
            times.append(self._next_join)
        return min(times)

    # ------------------------------------------------------------ datagrams in

    def _receive_ping(self, ping: Ping, source: Address) -> None:
        self._merge_all((ping.sender, *ping.updates))
        sequence = ping.sequence if ping.target == self._own.replica else 0
        self._sender.acknowledge(source, sequence, ping.sender)

    def _receive_ack(self, ack: Ack) -> None:
        self._merge_all((ack.sender, *ack.updates))
        relay = self._relays.answered(ack.sequence)
        if relay is not None:
            self._sender.send(relay.asker, Ack(sequence=relay.sequence, sender=ack.sender))
            return
        self._probes.answered(ack.sequence)

    def _receive_ping_request(self, request: PingRequest, source: Address) -> None:
        self._merge_all((request.sender, *request.updates))
        sequence = self._probes.new_sequence()
        self._relays.start(sequence, source, request.sequence, self._context.now)
        self._sender.ping(request.target_address, sequence, request.target)

    def _receive_sync_request(self, request: SyncRequest, source: Address) -> None:
        self._merge_all((request.sender,))
        if request.digest == self._table.digest():
            chunk = SyncChunk(sender=self._own, members=(), last=True, answer_wanted=False)
            self._sender.send(source, chunk)
            return
        self._transfers.start(source, self._table.members(), answer_wanted=True)

    def _receive_sync_chunk(self, chunk: SyncChunk, source: Address) -> None:
        self._merge_all((chunk.sender, *chunk.members))
        if not chunk.last:
            return
        if self._own.state is MemberState.JOINING:
            self._transition_own(MemberState.ALIVE)
        if chunk.answer_wanted:
            self._transfers.start(source, self._table.members(), answer_wanted=False)

    # ------------------------------------------------------------ what is due

    def _forgive_own_pause(self, now: float) -> None:
        lateness = now - self.next_deadline()
        if lateness <= PAUSE_SECONDS:
            return
        self._probes.discard_all()
        for replica in self._suspicions:
            self._suspicions[replica] += lateness

    def _fail_probes(self, now: float) -> None:
        for replica in self._probes.take_failed(now):
            member = self._table.get(replica)
            if member is not None and member.state is not MemberState.DEAD:
                self._merge(with_state(member, MemberState.SUSPECT))

    def _ask_for_indirect_probes(self, now: float) -> None:
        for sequence, probe in self._probes.take_indirect(now):
            address = self.address_of(probe.target)
            if address is None:
                continue
            count = self._settings.indirect_probes
            for helper in self._random_peers(count, (probe.target,)):
                self._sender.request_probe(helper.address, sequence, probe.target, address)

    def _expire_suspicions(self, now: float) -> None:
        expired = [replica for replica, due in self._suspicions.items() if now >= due]
        for replica in sorted(expired):
            member = self._table.get(replica)
            del self._suspicions[replica]
            if member is not None and member.state is MemberState.SUSPECT:
                self._merge(with_state(member, MemberState.DEAD))

    def _probe_next(self, now: float) -> None:
        if now < self._next_probe:
            return
        self._next_probe = now + self._settings.probe_period_seconds
        self._table.prune(now, DEAD_RETENTION_SECONDS)
        target = self._order.next(member.replica for member in self._peers())
        address = None if target is None else self.address_of(target)
        if target is None or address is None:
            return
        sequence = self._probes.start(target, now)
        self._sender.ping(address, sequence, target)

    def _join(self, now: float) -> None:
        if self._own.state is not MemberState.JOINING or now < self._next_join:
            return
        self._next_join = now + JOIN_PERIOD_SECONDS
        for seed in self._seeds:
            self._sender.request_sync(seed)
        if now - self._started >= JOIN_PATIENCE_SECONDS:
            self._transition_own(MemberState.ALIVE)

    def _synchronize(self, now: float) -> None:
        if now < self._next_sync:
            return
        self._next_sync = now + SYNC_PERIOD_SECONDS
        for peer in self._random_peers(1, ()):
            self._sender.request_sync(peer.address)

    def _reconnect(self, now: float) -> None:
        if now < self._next_reconnect:
            return
        self._next_reconnect = now + RECONNECT_PERIOD_SECONDS
        known = {member.address for member in self.alive()}
        lost = [
            member.address
            for member in self._table.members()
            if member.state is MemberState.DEAD and member.address not in known
        ]
        lost.extend(seed for seed in self._seeds if seed not in known)
        if lost:
            self._sender.request_sync(self._context.random.choice(lost))

    def _send_chunk(self, now: float) -> None:
        due = self._transfers.take_due(self._own, now)
        if due is not None:
            to, chunk = due
            self._sender.send(to, chunk)

    # ------------------------------------------------------------ changes

    def _merge_all(self, claims: tuple[Member, ...]) -> None:
        for claim in claims:
            if claim.replica == self._own.replica:
                self._refute(claim)
            else:
                self._merge(claim)

    def _merge(self, claim: Member) -> None:
        for member in self._table.merge(claim, self._context.now):
            self._transition_member(member)

    def _transition_member(self, member: Member) -> None:
        """Act on a member whose effective state changed."""
        self._news.add(member.replica)
        if member.state is not MemberState.SUSPECT:
            self._suspicions.pop(member.replica, None)
        elif member.replica not in self._suspicions:
            due = self._context.now + self._settings.suspect_seconds
            self._suspicions[member.replica] = due
        if member.name == self._own.name and member.replica != self._own.replica:
            self._meet_other_start(member)
        for listener in self.on_change:
            listener(member)

    def _transition_own(self, state: MemberState) -> None:
        """Change this node's own state, with a new incarnation."""
        self._own = with_state(self._own, state, self._own.incarnation + 1)
        self._merge(self._own)

    def _refute(self, claim: Member) -> None:
        worse = claim.state in (MemberState.SUSPECT, MemberState.DEAD)
        if self._own.state is MemberState.DEAD or self.superseded:
            return
        if claim.incarnation > self._own.incarnation or (
            worse and claim.incarnation == self._own.incarnation
        ):
            incarnation = claim.incarnation + 1
            self._own = with_state(self._own, self._own.state, incarnation)
            self._merge(self._own)

    def _meet_other_start(self, other: Member) -> None:
        """Settle which process start of this node counts.

        A node that has just started is the later one even if its wall clock is behind.
        """
        if self._table.latest_start(self._own.name) == self._own:
            return
        if self._own.state is MemberState.JOINING or other.state is MemberState.DEAD:
            self._own = started_after(self._own, other, _START_MARGIN_SECONDS)
            self._merge(self._own)
            return
        self.superseded = True
        self._context.warn("membership_superseded", by=other.replica)

    # ------------------------------------------------------------ other members

    def _peers(self) -> list[Member]:
        return [member for member in self.alive() if member.replica != self._own.replica]

    def _random_peers(self, count: int, excluded: tuple[ReplicaId, ...]) -> list[Member]:
        peers = [peer for peer in self._peers() if peer.replica not in excluded]
        return self._context.random.sample(peers, min(count, len(peers)))


def _other_seeds(seeds: tuple[str, ...], own: Address) -> tuple[Address, ...]:
    addresses = tuple(parse_address(seed).unwrap() for seed in seeds)
    return tuple(address for address in addresses if address != own)
