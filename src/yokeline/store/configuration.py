"""Keeps this node's configuration up to date, from the store or from other nodes.

Two relays per zone (by rendezvous rank over the live members) read the key-value service.
They push what changes to the nodes of their zone and hint at it to the relays of other zones.
Every other node pulls deltas from whoever reports a higher revision: in a heartbeat, in a
delta, or when it is asked now and then (anti-entropy). With the store down, nodes that start
take the configuration from their peers in the same way.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from yokeline.identifiers import ReplicaId
from yokeline.labels.objects import StoredObject
from yokeline.labels.view import ConfigurationView
from yokeline.membership.view import Member, MemberState, PeerView
from yokeline.messages.types import ConfigurationDelta, ConfigurationPull
from yokeline.server.context import NodeContext
from yokeline.settings import Settings
from yokeline.store.client import KeyValueClient
from yokeline.store.merge import ConfigurationState
from yokeline.store.relay import StoreRelay
from yokeline.store.transfer import DeltaOutcome, DeltaReceiver

RELAYS_PER_ZONE = 2
ROLE_PERIOD_SECONDS = 0.5
ROLE_CHECKS_TO_START = 2
"""Checks in a row before a node becomes a relay: at start it does not see its peers yet."""
PULL_INTERVAL_SECONDS = 0.1
PULL_TIMEOUT_SECONDS = 1.0
PROBE_INTERVAL_SECONDS = 0.25
PROBE_BATCH = 8
ANTI_ENTROPY_SECONDS = 10.0
MAX_PUSHED_OBJECTS = 64
FIRST_REVISION = 1
"""Revision of an empty store; below it a node knows nothing at all."""

ChangeListener = Callable[[ConfigurationView], None]


class ConfigurationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Where this node's configuration stands, for operators.

    Attributes:
        relay: Whether this node reads the key-value service.
        watching: Whether the service sends it changes at the moment.
    """

    revision: int
    ready: bool
    relay: bool
    watching: bool
    objects: int
    invalid: int


class ConfigurationSync:
    """The configuration component of one node."""

    def __init__(
        self,
        context: NodeContext,
        client: KeyValueClient,
        settings: Settings,
        peers: PeerView,
    ) -> None:
        """Create the component of a node that knows no configuration yet."""
        self._context = context
        self._peers = peers
        self._state = ConfigurationState()
        self._receiver = DeltaReceiver(self._state)
        self._relay = StoreRelay(
            context, client, settings.platform.store_prefix, self._state, self._revision_rose
        )
        self._listeners: list[ChangeListener] = []
        self._reports: dict[ReplicaId, int] = {}
        self._probed: dict[ReplicaId, float] = {}
        self._ready = False
        self._pushed_revision = 0
        self._role_checks = 0
        self._role_due = context.now + context.random.uniform(0.5, 1.0) * ROLE_PERIOD_SECONDS
        self._behind = False
        self._pulling: ReplicaId | None = None
        self._pull_due = context.now
        self._probe_due = context.now
        self._anti_entropy_due = context.now + self._anti_entropy_pause()

    # ------------------------------------------------------------ reading

    def view(self) -> ConfigurationView:
        """Return the current immutable view."""
        return self._state.view

    def revision(self) -> int:
        """Return the revision up to which every change is known here; 0 for none."""
        return self._state.revision

    def ready(self) -> bool:
        """Return whether the node has had the configuration in force; then it stays ready."""
        return self._ready

    def status(self) -> ConfigurationStatus:
        """Return where the configuration stands."""
        stored = len(self.view().stored_objects()) - self.view().tombstone_count()
        return ConfigurationStatus(
            revision=self.revision(),
            ready=self._ready,
            relay=self._relay.active,
            watching=self._relay.watching,
            objects=stored,
            invalid=len(self.view().invalid()),
        )

    def on_change(self, listener: ChangeListener) -> None:
        """Call ``listener`` with the new view whenever objects change."""
        self._listeners.append(listener)

    def note_written(self, item: StoredObject) -> None:
        """Put an object that this node has just written into force here at once."""
        if self._state.apply_written(item):
            self._notify()

    # ------------------------------------------------------------ messages

    def receive_revision(self, sender: ReplicaId, revision: int) -> None:
        """Take in the revision that a heartbeat (or its reply) carries."""
        self._report(sender, revision)
        if self._behind or not self._ready:
            self._settle()

    def receive_pull(self, sender: ReplicaId, pull: ConfigurationPull) -> None:
        """Answer with what the sender lacks."""
        if not pull.continues:
            self._report(sender, pull.after)
        self._context.send_peer(sender, self._state.answer(pull))
        self._settle()

    def receive_delta(self, sender: ReplicaId, delta: ConfigurationDelta) -> None:
        """Merge a delta, or ask the sender for what is missing before it."""
        self._report(sender, max(delta.latest, delta.upto))
        if self._pulling == sender:
            self._pulling = None
            self._pull_due = self._context.now + PULL_INTERVAL_SECONDS
        before = self._state.view
        revision = self._state.revision
        outcome = self._receiver.receive(sender, delta, self._context.now)
        name = f'yokeline_configuration_deltas_total{{outcome="{outcome.value}"}}'
        self._context.counters[name] += 1
        if outcome is DeltaOutcome.CONTINUES:
            self._pull(sender)
        if self._state.revision > revision:
            self._revision_rose(self._state.view is not before)
        self._settle()

    # ------------------------------------------------------------ time

    def tick(self) -> None:
        """Do what is due."""
        now = self._context.now
        if now >= self._role_due:
            self._role_due = now + ROLE_PERIOD_SECONDS
            self._check_role()
            self._forget_dead()
        self._relay.tick()
        if self._pulling is not None and now >= self._pull_due:
            self._reports.pop(self._pulling, None)  # silent: ask another one if there is one
            self._pulling = None
        if not self._ready and now >= self._probe_due:
            self._probe()
        if now >= self._anti_entropy_due:
            self._anti_entropy_due = now + self._anti_entropy_pause()
            self._ask_someone()
        self._settle()

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        times = [self._role_due, self._anti_entropy_due]
        relay_due = self._relay.next_deadline()
        if relay_due is not None:
            times.append(relay_due)
        if self._pulling is not None or self._behind:
            times.append(self._pull_due)
        if not self._ready:
            times.append(self._probe_due)
        return min(times)

    # ------------------------------------------------------------ roles

    def _check_role(self) -> None:
        """Become a relay after some checks in a row; stop being one at once."""
        if self._context.replica not in self._relays_of(self._context.zone):
            self._role_checks = 0
            self._relay.transition_inactive()
            return
        self._role_checks += 1
        if self._role_checks >= ROLE_CHECKS_TO_START:
            self._relay.transition_active()

    def _relays_of(self, zone: str) -> tuple[ReplicaId, ...]:
        """Return the relays of a zone by rendezvous rank (highest random weight)."""
        fit = (MemberState.ALIVE, MemberState.JOINING)
        candidates = [
            member.replica
            for member in self._peers.alive()
            if member.zone == zone and member.state in fit
        ]
        own = self._context.replica
        if zone == self._context.zone and all(m.replica != own for m in self._peers.alive()):
            candidates.append(own)
        ranked = sorted(candidates, key=lambda replica: (_weight(zone, replica), replica))
        return tuple(ranked[-RELAYS_PER_ZONE:])

    def _others(self) -> list[Member]:
        own = self._context.replica
        return [member for member in self._peers.alive() if member.replica != own]

    def _forget_dead(self) -> None:
        alive = {member.replica for member in self._peers.alive()}
        for replica in [known for known in self._reports if known not in alive]:
            del self._reports[replica]
            self._probed.pop(replica, None)

    # ------------------------------------------------------------ pushing

    def _revision_rose(self, changed: bool) -> None:
        """React to a higher revision; relays tell others when objects changed."""
        self._context.counters["yokeline_configuration_advances_total"] += 1
        if changed:
            if self._relay.active:
                self._push()
            self._pushed_revision = self._state.revision
            self._notify()
        self._settle()

    def _push(self) -> None:
        """Send the change to the own zone, and a hint to the relays of other zones."""
        known = self._state.revision
        delta = self._state.delta_since(self._pushed_revision)
        hint = ConfigurationDelta(after=known, upto=known, objects=(), latest=known)
        small = delta.upto == delta.latest and len(delta.objects) <= MAX_PUSHED_OBJECTS
        zones: set[str] = set()
        for member in self._others():
            if member.zone == self._context.zone:
                self._context.send_peer(member.replica, delta if small else hint)
            else:
                zones.add(member.zone)
        for zone in sorted(zones):
            for replica in self._relays_of(zone):
                self._context.send_peer(replica, hint)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener(self._state.view)

    # ------------------------------------------------------------ pulling

    def _report(self, replica: ReplicaId, revision: int) -> None:
        self._reports[replica] = max(revision, self._reports.get(replica, 0))
        if revision > self._state.revision:
            self._behind = True

    def _settle(self) -> None:
        """Pull if someone knows more, and see whether the node is ready now."""
        if self._behind and self._pulling is None and self._context.now >= self._pull_due:
            source = self._best_source()
            self._behind = source is not None
            if source is not None:
                self._pull(source)
        if not self._ready and self._has_configuration_in_force():
            self._ready = True
            self._context.log("configuration_ready", revision=self._state.revision)

    def _best_source(self) -> ReplicaId | None:
        """Return a live node with the highest revision above ours; one of our zone first."""
        known = self._state.revision
        zone = self._context.zone
        ahead = [m for m in self._others() if self._reports.get(m.replica, 0) > known]
        if not ahead:
            return None
        best = max(ahead, key=lambda m: (self._reports[m.replica], m.zone == zone, m.replica))
        return best.replica

    def _pull(self, peer: ReplicaId) -> None:
        self._pulling = peer
        self._pull_due = self._context.now + PULL_TIMEOUT_SECONDS
        self._context.counters["yokeline_configuration_pulls_total"] += 1
        self._context.send_peer(peer, self._receiver.pull_for(peer))

    def _probe(self) -> None:
        """Ask nodes that have not told their revision; one at a time while we know nothing."""
        self._probe_due = self._context.now + PROBE_INTERVAL_SECONDS
        unknown = [m for m in self._others() if self._reports.get(m.replica, 0) < FIRST_REVISION]
        unknown.sort(key=lambda m: (self._probed.get(m.replica, -1.0), m.replica))
        count = PROBE_BATCH if self._state.revision >= FIRST_REVISION else 1
        for member in unknown[:count]:
            self._probed[member.replica] = self._context.now
            self._context.send_peer(member.replica, ConfigurationPull(after=self.revision()))

    def _ask_someone(self) -> None:
        """Ask one node at random whether it knows more (anti-entropy)."""
        others = self._others()
        if others:
            chosen = self._context.random.choice(others)
            pull = ConfigurationPull(after=self._state.revision)
            self._context.send_peer(chosen.replica, pull)

    def _anti_entropy_pause(self) -> float:
        return ANTI_ENTROPY_SECONDS * self._context.random.uniform(0.5, 1.0)

    # ------------------------------------------------------------ readiness

    def _has_configuration_in_force(self) -> bool:
        """Return whether the store told us, or a majority of the live nodes has no more."""
        if self._state.revision < FIRST_REVISION:
            return False
        if self._relay.listed:
            return True
        others = self._others()
        told = [self._reports.get(member.replica, 0) for member in others]
        known = [revision for revision in told if revision >= FIRST_REVISION]
        members = len(others) + 1
        is_majority = 2 * (len(known) + 1) > members
        return is_majority and self._has_joined() and self._state.revision >= max(known, default=0)

    def _has_joined(self) -> bool:
        """Return whether this node sees the deployment and not only its seeds."""
        own = [m for m in self._peers.alive() if m.replica == self._context.replica]
        return all(member.state is not MemberState.JOINING for member in own)


def _weight(zone: str, replica: ReplicaId) -> int:
    return xxhash.xxh3_64_intdigest(f"{zone}\0{replica}".encode())
