"""Lease on the configuration: proves that the configuration in force was the newest one recently.

A revoked key must stop working on every node within a bound, including nodes that the key-value
service refuses and processes that were paused. A node therefore accepts keys only during a lease.
The lease starts when the query was sent whose answer proved the configuration to be the newest one,
since the answer cannot be older than its query. It is measured with a clock that keeps counting
while the process is paused and is never set (``time.monotonic``).

The first node that watches the service reads the configuration's item twice a second. The other
nodes query a node that watches. The answer carries the age of that node's proof, which the querying
node subtracts from the time of its query. No clocks of two nodes are compared, and a delayed
message only makes the proof older.
"""

from __future__ import annotations

import enum

from yokeline.effects import Address, Effect, Event, HttpFailed, HttpResponse, LogRecord, SendPeer
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import ConfigurationAsk, ConfigurationProof, RegistryItem
from yokeline.registry.protocol import FoundItem, StoredItem, StoreProtocol

LEASE_BOUND_SHARE = 0.95
"""Share of the revocation bound that the lease takes; the rest allows for clocks that run at
different rates. A twentieth is far more than the rates of working clocks differ."""
READ_AGE_SHARE = 0.12
"""Age of the proof, as a share of the lease, at which the reading node reads again. The service
charges for reads, but an older proof leaves less of the lease to bridge an outage."""
PEER_QUERY_AGE_SHARE = 0.2
"""Age of the proof, as a share of the lease, at which other nodes query a peer; the reading node
has renewed its own proof by then."""
FALLBACK_AGE_SHARE = 0.4
"""Age of the proof, as a share of the lease, at which the reading node queries peers too and all
watching nodes read: the service may refuse a single node."""
LAST_RESORT_AGE_SHARE = 0.9
"""Age of the proof, as a share of the lease, at which every node reads: without a proof it cannot
serve, and peers report a recovered service with a delay of a second or two."""
RETRY_SECONDS = 0.25
"""Initial delay before the next query or read, over ten round trips; doubled with each failure."""
MAX_RETRY_SECONDS = 0.5
"""Upper bound of that delay, which limits the load on a recovering service."""
PENDING_SECONDS = 1.5
"""Time after the start, an expiry or a pause of the process in which a lease is likely to be
obtained. Requests are held for that time instead of being refused. After an outage of 5.2 s the
proofs were back 1.0 s after the leases had expired, and 633 requests that had been held for 1 s
were refused just before."""


class LeaseState(enum.Enum):
    """State of a node's lease on its configuration."""

    VALID = "current"
    """There is a proof within the lease."""
    PENDING = "soon"
    """There is none, but the process has just started or had one a moment ago."""
    EXPIRED = "stale"
    """There is none, and one may take long to obtain."""


class ConfigurationLease:
    """Lease of one node; a state machine without I/O.

    Attributes:
        service_reads: Number of reads of the key-value service.
        peer_queries: Number of queries to other nodes.
    """

    def __init__(
        self, store: StoreProtocol, key: str, own_address: Address, bound_seconds: float, now: float
    ) -> None:
        """Create a lease on item ``key``; ``bound_seconds`` is the revocation bound (0: none)."""
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

    # ------------------------------------------------------------ state

    def age(self, now: float) -> float:
        """Return the age of the proof (seconds); infinite without a proof."""
        return now - self._proven_at

    def state(self, now: float) -> LeaseState:
        """Return the state of the lease."""
        if not self._lease or self.age(now) <= self._lease:
            return LeaseState.VALID
        since = now if self._unproved_since is None else self._unproved_since
        return LeaseState.PENDING if now - since <= PENDING_SECONDS else LeaseState.EXPIRED

    def set_configuration(self, item: StoredItem, *, has_keys: bool) -> None:
        """Set the item of the configuration in force; a lease is needed only if it ``has_keys``."""
        if self._item is None or item.revision > self._item.revision:
            self._item = item
        self._is_needed = has_keys and self._lease > 0

    # ------------------------------------------------------------ renewal

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due; None if no lease is needed."""
        if not self._is_needed:
            return None
        return max(self._next_try, self._proven_at + READ_AGE_SHARE * self._lease)

    def tick(
        self, now: float, *, is_reader: bool, is_watcher: bool, peers: list[PeerNode]
    ) -> list[Effect]:
        """Renew the proof if it is due.

        Args:
            now: Monotonic seconds.
            is_reader: Whether this node reads the service for the other nodes.
            is_watcher: Whether this node watches the service, and so may read it.
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
        """Query a peer, and the next one as long as queries are unanswered."""
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
        """Log when the lease expires and when it is renewed."""
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
        """Return whether an event is the answer to this node's read."""
        if self._pending_read is None or not isinstance(event, HttpResponse | HttpFailed):
            return False
        return event.request == self._pending_read[0]

    def handle_read(self, event: HttpResponse | HttpFailed) -> StoredItem | None:
        """Handle the answer to a read; return the item if it is newer than the one in force."""
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
        """Answer with the age of this node's proof; send nothing without a valid lease."""
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
        """Handle another node's proof; return the item if it is newer than the one in force."""
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
        """Record that the configuration of ``revision`` was the newest one at ``as_of``.

        A node with an older configuration has no proof until it applies the newer one.
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
