"""Proof that the configuration in force at a node is the newest one, as of a moment ago.

A key that is taken away must stop to count on every machine within a bound, also on one that the
key-value service refuses, and on one that was frozen meanwhile. So a node relies on keys only for
the length of a lease, which counts from the moment at which the *question* was sent whose answer
proved the configuration: what the service says is never older than the question. A clock that
counts on while the process is frozen, and that nobody sets, measures it (``time.monotonic``).

The first of the nodes that watch the service reads the configuration's item twice a second;
the others ask a node that watches. It answers with the age of its own proof, and the asker counts
that age back from when it asked. So no clock is compared with another one, and a message that was
long on its way only makes the proof older.
"""

from __future__ import annotations

import enum

from yokeline.effects import Address, Effect, Event, HttpFailed, HttpResponse, LogRecord, SendPeer
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import ConfigurationAsk, ConfigurationProof, RegistryItem
from yokeline.registry.protocol import FoundItem, StoredItem, StoreProtocol

LEASE_BOUND_SHARE = 0.95
"""Share of the bound for a revocation that a proof counts for. The rest is for clocks that run at
different rates: a twentieth is far more than any that works is off."""
READ_AGE_SHARE = 0.12
"""Age of the proof, as a share of the lease, at which the node that reads for the others reads
again. Each read is paid for, but what a proof has aged when the service goes away is missing at
the end of an outage: programs lose a turn in each part of a second without a lease."""
PEER_QUERY_AGE_SHARE = 0.2
"""The same at which another node asks: the one that reads has a newer proof by then."""
FALLBACK_AGE_SHARE = 0.4
"""The same at which the node that reads asks others as well, and those that watch the service read
themselves: the service may refuse one node alone. Over half of the lease is left for that."""
LAST_RESORT_AGE_SHARE = 0.9
"""The same at which every node reads for itself: it serves nobody without a proof, and hears only
after a second or two that the service answers others again."""
RETRY_SECONDS = 0.25
"""Pause before the next node is asked, or the service once more: over ten ways to and fro. It is
doubled with each try without a proof,"""
MAX_RETRY_SECONDS = 0.5
"""up to this, so that an outage does not become a load on the service when it returns."""
PENDING_SECONDS = 1.5
"""Time in which a lease is likely to be regained, after this process has started, found it lapsed,
or woken from a pause: requests that come are held for a moment instead of refused. After an outage
of 5.2 s the proofs were back 1.0 s after the leases had lapsed, and 633 requests that had been held
for a second were refused within milliseconds of that."""


class LeaseState(enum.Enum):
    """How sure a node is that the keys in its configuration still count."""

    VALID = "current"
    """A proof of that is younger than the lease."""
    PENDING = "soon"
    """There is none, but there was one a moment ago, or the process has just started."""
    EXPIRED = "stale"
    """There is none, and it may take long."""


class ConfigurationLease:
    """The proof of one node; a pure state machine.

    Attributes:
        reads: Calls to the service so far.
        asks: Questions to other nodes so far.
    """

    def __init__(
        self, store: StoreProtocol, key: str, own_address: Address, bound_seconds: float, now: float
    ) -> None:
        """Prove the item ``key``; keys are to stop within ``bound_seconds`` (0: no bound)."""
        self.service_reads = 0
        self.peer_queries = 0
        self._store = store
        self._key = key
        self._own_address = own_address
        self._lease = LEASE_BOUND_SHARE * bound_seconds
        self._item: StoredItem | None = None
        self._proven_at = float("-inf")
        self._is_needed = False
        self._unproved_since: float | None = now
        self._is_logged_valid = False
        self._pending_read: tuple[RequestId, float] | None = None
        self._pending_queries: dict[int, float] = {}
        self._next_try = now
        self._retry_delay = RETRY_SECONDS
        self._next_peer = 0

    # ------------------------------------------------------------ what is known

    def age(self, now: float) -> float:
        """Return how old the proof is (seconds); infinite if there is none."""
        return now - self._proven_at

    def state(self, now: float) -> LeaseState:
        """Return how sure this node is of its configuration."""
        if not self._lease or self.age(now) <= self._lease:
            return LeaseState.VALID
        since = now if self._unproved_since is None else self._unproved_since
        return LeaseState.PENDING if now - since <= PENDING_SECONDS else LeaseState.EXPIRED

    def set_configuration(self, item: StoredItem, *, has_keys: bool) -> None:
        """Note the item whose configuration is in force; without keys nothing is to be proved."""
        if self._item is None or item.revision > self._item.revision:
            self._item = item
        self._is_needed = has_keys and self._lease > 0

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due; None if nothing is to be proved."""
        if not self._is_needed:
            return None
        return max(self._next_try, self._proven_at + READ_AGE_SHARE * self._lease)

    def tick(
        self, now: float, *, is_reader: bool, is_watcher: bool, peers: list[PeerNode]
    ) -> list[Effect]:
        """Renew the proof if it is time.

        Args:
            now: Monotonic seconds.
            is_reader: This node reads the service for the others.
            is_watcher: It watches the service, so it may read.
            peers: Other nodes that the service answers.
        """
        if not self._is_needed:
            return []
        effects = self._log_state_change(now)
        if now < self._next_try:
            return effects
        self._next_try = now + self._retry_delay
        age_share = self.age(now) / self._lease
        may_read = is_reader or age_share >= (
            FALLBACK_AGE_SHARE if is_watcher else LAST_RESORT_AGE_SHARE
        )
        if may_read and age_share >= READ_AGE_SHARE and self._pending_read is None:
            effects.append(self._read_service(now))
        if peers and age_share >= (FALLBACK_AGE_SHARE if is_reader else PEER_QUERY_AGE_SHARE):
            effects.append(self._query_peer(peers, now))
        if age_share >= FALLBACK_AGE_SHARE:
            self._retry_delay = min(MAX_RETRY_SECONDS, 2 * self._retry_delay)
        return effects

    def _read_service(self, now: float) -> Effect:
        self.service_reads += 1
        request = RequestId(f"configuration/{self.service_reads}")
        self._pending_read = (request, now)
        return self._store.read_call(request, self._key)

    def _query_peer(self, peers: list[PeerNode], now: float) -> Effect:
        """Ask the next of the peers; the one that answered last is asked again first."""
        self.peer_queries += 1
        self._pending_queries = {
            number: at
            for number, at in self._pending_queries.items()
            if now - at < max(1.0, self._lease)
        }
        if self._pending_queries:
            self._next_peer += 1
        self._pending_queries[self.peer_queries] = now
        peer = peers[self._next_peer % len(peers)]
        known = self._item.revision if self._item is not None else 0
        question = ConfigurationAsk(number=self.peer_queries, asker=self._own_address, known=known)
        return SendPeer(to=peer.process, address=peer.address, message=question)

    def _log_state_change(self, now: float) -> list[Effect]:
        """Log when the lease is lost and when it is regained."""
        is_valid = self.state(now) is LeaseState.VALID
        if not is_valid and self._unproved_since is None:
            self._unproved_since = now
        if is_valid == self._is_logged_valid:
            return []
        self._is_logged_valid = is_valid
        event = "configuration_proved" if is_valid else "configuration_unproved"
        has_proof = self._proven_at > float("-inf")
        fields: dict[str, str | int | float | bool | None] = {
            "age": round(self.age(now), 3) if has_proof else None,
            "lease": round(self._lease, 3),
            "revision": self._item.revision if self._item is not None else None,
        }
        return [LogRecord(event=event, fields=fields, level="info" if is_valid else "warning")]

    # ------------------------------------------------------------ answers

    def owns(self, event: Event) -> bool:
        """Return whether an event answers a read of this node."""
        if self._pending_read is None or not isinstance(event, HttpResponse | HttpFailed):
            return False
        return event.request == self._pending_read[0]

    def handle_read(self, event: HttpResponse | HttpFailed) -> StoredItem | None:
        """Take the service's answer in; return the item if it is later than the one in force."""
        assert self._pending_read is not None
        sent_at = self._pending_read[1]
        self._pending_read = None
        answer = self._store.read_answer(event) if isinstance(event, HttpResponse) else None
        if not isinstance(answer, FoundItem):
            return None
        return self._apply_proof(answer.item.revision, answer.item, sent_at)

    def answer_query(
        self, sender: ReplicaId, question: ConfigurationAsk, now: float
    ) -> list[Effect]:
        """Tell another node how old this node's proof is; nothing while there is none."""
        if self._item is None or self.state(now) is not LeaseState.VALID or not self._lease:
            return []
        is_news = self._item.revision > question.known
        item = RegistryItem(self._item.key, self._item.value, self._item.revision)
        proof = ConfigurationProof(
            number=question.number,
            revision=self._item.revision,
            age=self.age(now),
            item=item if is_news else None,
        )
        return [SendPeer(to=sender, address=question.asker, message=proof)]

    def handle_proof(self, proof: ConfigurationProof) -> StoredItem | None:
        """Take another node's proof in; return the item if it is later than the one in force."""
        asked_at = self._pending_queries.pop(proof.number, None)
        if asked_at is None or proof.age < 0:
            return None
        self._pending_queries.clear()
        told = proof.item
        item = StoredItem(told.key, told.value, told.revision) if told is not None else None
        return self._apply_proof(proof.revision, item, asked_at - proof.age)

    def _apply_proof(
        self, revision: int, item: StoredItem | None, as_of: float
    ) -> StoredItem | None:
        """Note that the configuration of ``revision`` was the newest one at ``as_of``.

        A node with an older one has proved nothing until it has taken the newer one over.
        """
        known = self._item.revision if self._item is not None else 0
        if revision <= known:
            self._proven_at = max(self._proven_at, as_of)
            self._unproved_since = None
            self._retry_delay = RETRY_SECONDS
            return None
        if item is None or item.revision != revision or item.key != self._key:
            return None
        return item
