"""Reads the texts of retained turns from followers.

A retained turn never changes, so any replica that holds it can serve it. Followers serve histories
to relieve the leader's link, preferably to readers in their own zone.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec
import xxhash

from yokeline.effects import Address, Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import HistoryAsk, HistoryReply
from yokeline.ledger.operations import KeptTurn

FETCH_SECONDS = 0.15
"""Time to wait for a replica before the leader is asked; longer than the time for which the replica
itself waits for a missing turn. The replica waits 0.1 s, and the text of a long chain takes a few
hundredths of a second over a link of 15 Mbit/s."""
SILENT_BACKOFF_SECONDS = 3.0
"""Time for which a replica that did not answer is not asked again; about the time in which a
machine restarts. A machine that lost power is back in 2 to 4 s."""
NON_MEMBER_BACKOFF_SECONDS = 15.0
"""Time for which a replica that is no member of the group is not asked again; members change
rarely, mostly when a machine is lost or retired."""

HistoryDone = Callable[[tuple[KeptTurn, ...], float], list[Effect]]
"""Called with the turns, the oldest first, and the time. No turns mean that the replica does not
hold the last one, or did not answer in time."""


class NearReplica(msgspec.Struct, frozen=True):
    """A storage replica.

    Attributes:
        is_near: It is in the reader's zone.
        is_in_region: It is in the reader's region.
    """

    replica: ReplicaId
    address: Address
    is_near: bool
    is_in_region: bool = True


class _Fetch(msgspec.Struct):
    replica: ReplicaId
    done: HistoryDone
    give_up_at: float


class HistoryFetches:
    """Pending history requests of one forwarding node; a state machine without I/O.

    Attributes:
        counts: Requests by outcome: ``found``; ``lacking`` if a member does not hold the turn;
            ``outside`` if the replica is no member and does not hold it; ``silent`` without an
            answer in time; ``late`` for answers after that.
    """

    def __init__(self, node: str, own_address: Address) -> None:
        """Create a client that receives answers at ``own_address``.

        ``node`` seeds the order of equally near replicas, so that nodes spread over them.
        """
        self.counts: Counter[str] = Counter()
        self._node = node
        self._own_address = own_address
        self._replicas: list[NearReplica] = []
        self._avoided_until: dict[ReplicaId, float] = {}
        self._fetches: dict[int, _Fetch] = {}
        self._last_number = 0

    def set_replicas(self, replicas: list[NearReplica]) -> None:
        """Set the known storage replicas."""
        self._replicas = sorted(replicas, key=self._order)
        known = {item.replica for item in replicas}
        self._avoided_until = {
            replica: until for replica, until in self._avoided_until.items() if replica in known
        }

    def fetch(
        self,
        last: str,
        known: str,
        leader: ReplicaId | None,
        done: HistoryDone,
        now: float,
    ) -> list[Effect] | None:
        """Request the chain after ``known`` up to ``last``; None if there is no replica to ask."""
        chosen = self._choose(leader, now)
        if chosen is None:
            return None
        self._last_number += 1
        self._fetches[self._last_number] = _Fetch(chosen.replica, done, now + FETCH_SECONDS)
        message = HistoryAsk(
            number=self._last_number, asker=self._own_address, last=last, known=known
        )
        return [SendPeer(to=chosen.replica, address=chosen.address, message=message)]

    def take_reply(self, reply: HistoryReply, now: float) -> list[Effect]:
        """Handle an answer."""
        fetch = self._fetches.pop(reply.number, None)
        if fetch is None:
            self.counts["late"] += 1
            return []
        if reply.turns:
            self.counts["found"] += 1
        elif reply.is_member:
            self.counts["lacking"] += 1
        else:
            self.counts["outside"] += 1
            self._avoided_until[fetch.replica] = now + NON_MEMBER_BACKOFF_SECONDS
        return fetch.done(reply.turns, now)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return min((fetch.give_up_at for fetch in self._fetches.values()), default=None)

    def tick(self, now: float) -> list[Effect]:
        """Give up requests that a replica did not answer in time."""
        effects: list[Effect] = []
        for number, fetch in list(self._fetches.items()):
            if now < fetch.give_up_at:
                continue
            del self._fetches[number]
            self.counts["silent"] += 1
            self._avoided_until[fetch.replica] = now + SILENT_BACKOFF_SECONDS
            effects.extend(fetch.done((), now))
        return effects

    def _choose(self, leader: ReplicaId | None, now: float) -> NearReplica | None:
        for item in self._replicas:
            if item.replica != leader and now >= self._avoided_until.get(item.replica, now):
                return item
        return None

    def _order(self, item: NearReplica) -> tuple[bool, bool, int]:
        return not item.is_near, not item.is_in_region, self._rank(item)

    def _rank(self, item: NearReplica) -> int:
        return xxhash.xxh32_intdigest(f"{self._node}/{item.replica}".encode())
