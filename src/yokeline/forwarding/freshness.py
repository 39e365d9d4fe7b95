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

LEASE_SHARE = 0.95
"""Share of the bound for a revocation that a proof counts for. The rest is for clocks that run at
different rates: a twentieth is far more than any that works is off."""
READ_SHARE = 0.12
"""Age of the proof, as a share of the lease, at which the node that reads for the others reads
again. Each read is paid for, but what a proof has aged when the service goes away is missing at
the end of an outage: programs lose a turn in each part of a second without a lease."""
ASK_SHARE = 0.2
"""The same at which another node asks: the one that reads has a newer proof by then."""
REFUSED_SHARE = 0.4
"""The same at which the node that reads asks others as well, and those that watch the service read
themselves: the service may refuse one node alone. Over half of the lease is left for that."""
LAPSING_SHARE = 0.9
"""The same at which every node reads for itself: it serves nobody without a proof, and hears only
after a second or two that the service answers others again."""
REPEAT_SECONDS = 0.25
"""Pause before the next node is asked, or the service once more: over ten ways to and fro. It is
doubled with each try without a proof,"""
MAX_REPEAT_SECONDS = 0.5
"""up to this, so that an outage does not become a load on the service when it returns."""
SOON_SECONDS = 1.5
"""Time in which a lease is likely to be regained, after this process has started, found it lapsed,
or woken from a pause: requests that come are held for a moment instead of refused. After an outage
of 5.2 s the proofs were back 1.0 s after the leases had lapsed, and 633 requests that had been held
for a second were refused within milliseconds of that."""


class Currency(enum.Enum):
    """How sure a node is that the keys in its configuration still count."""

    CURRENT = "current"
    """A proof of that is younger than the lease."""
    SOON = "soon"
    """There is none, but there was one a moment ago, or the process has just started."""
    STALE = "stale"
    """There is none, and it may take long."""


class ConfigurationFreshness:
    """The proof of one node; a pure state machine.

    Attributes:
        reads: Calls to the service so far.
        asks: Questions to other nodes so far.
    """

    def __init__(
        self, store: StoreProtocol, key: str, own_address: Address, bound_seconds: float, now: float
    ) -> None:
        """Prove the item ``key``; keys are to stop within ``bound_seconds`` (0: no bound)."""
        self.reads = 0
        self.asks = 0
        self._store = store
        self._key = key
        self._own_address = own_address
        self._lease = LEASE_SHARE * bound_seconds
        self._item: StoredItem | None = None
        self._proven_at = float("-inf")
        self._is_needed = False
        self._unproved_since: float | None = now
        self._is_logged_current = False
        self._read: tuple[RequestId, float] | None = None
        self._asked: dict[int, float] = {}
        self._next_try = now
        self._pause = REPEAT_SECONDS
        self._next_peer = 0

    # ------------------------------------------------------------ what is known

    def age(self, now: float) -> float:
        """Return how old the proof is (seconds); infinite if there is none."""
        return now - self._proven_at

    def currency(self, now: float) -> Currency:
        """Return how sure this node is of its configuration."""
        if not self._lease or self.age(now) <= self._lease:
            return Currency.CURRENT
        since = now if self._unproved_since is None else self._unproved_since
        return Currency.SOON if now - since <= SOON_SECONDS else Currency.STALE

    def note_configuration(self, item: StoredItem, *, has_keys: bool) -> None:
        """Note the item whose configuration is in force; without keys nothing is to be proved."""
        if self._item is None or item.revision > self._item.revision:
            self._item = item
        self._is_needed = has_keys and self._lease > 0

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due; None if nothing is to be proved."""
        if not self._is_needed:
            return None
        return max(self._next_try, self._proven_at + READ_SHARE * self._lease)

    def tick(
        self, now: float, *, reads: bool, watches: bool, peers: list[PeerNode]
    ) -> list[Effect]:
        """Renew the proof if it is time.

        Args:
            now: Monotonic seconds.
            reads: This node reads the service for the others.
            watches: It watches the service, so it may read.
            peers: Other nodes that the service answers.
        """
        if not self._is_needed:
            return []
        effects = self._note_currency(now)
        if now < self._next_try:
            return effects
        self._next_try = now + self._pause
        aged = self.age(now) / self._lease
        may_read = reads or aged >= (REFUSED_SHARE if watches else LAPSING_SHARE)
        if may_read and aged >= READ_SHARE and self._read is None:
            effects.append(self._read_service(now))
        if peers and aged >= (REFUSED_SHARE if reads else ASK_SHARE):
            effects.append(self._ask(peers, now))
        if aged >= REFUSED_SHARE:
            self._pause = min(MAX_REPEAT_SECONDS, 2 * self._pause)
        return effects

    def _read_service(self, now: float) -> Effect:
        self.reads += 1
        request = RequestId(f"configuration/{self.reads}")
        self._read = (request, now)
        return self._store.read_call(request, self._key)

    def _ask(self, peers: list[PeerNode], now: float) -> Effect:
        """Ask the next of the peers; the one that answered last is asked again first."""
        self.asks += 1
        self._asked = {
            number: at for number, at in self._asked.items() if now - at < max(1.0, self._lease)
        }
        if self._asked:
            self._next_peer += 1
        self._asked[self.asks] = now
        peer = peers[self._next_peer % len(peers)]
        known = self._item.revision if self._item is not None else 0
        question = ConfigurationAsk(number=self.asks, asker=self._own_address, known=known)
        return SendPeer(to=peer.process, address=peer.address, message=question)

    def _note_currency(self, now: float) -> list[Effect]:
        """Log when the lease is lost and when it is regained."""
        is_current = self.currency(now) is Currency.CURRENT
        if not is_current and self._unproved_since is None:
            self._unproved_since = now
        if is_current == self._is_logged_current:
            return []
        self._is_logged_current = is_current
        event = "configuration_proved" if is_current else "configuration_unproved"
        has_proof = self._proven_at > float("-inf")
        fields: dict[str, str | int | float | bool | None] = {
            "age": round(self.age(now), 3) if has_proof else None,
            "lease": round(self._lease, 3),
            "revision": self._item.revision if self._item is not None else None,
        }
        return [LogRecord(event=event, fields=fields, level="info" if is_current else "warning")]

    # ------------------------------------------------------------ answers

    def owns(self, event: Event) -> bool:
        """Return whether an event answers a read of this node."""
        if self._read is None or not isinstance(event, HttpResponse | HttpFailed):
            return False
        return event.request == self._read[0]

    def take(self, event: HttpResponse | HttpFailed) -> StoredItem | None:
        """Take the service's answer in; return the item if it is later than the one in force."""
        assert self._read is not None
        sent_at = self._read[1]
        self._read = None
        answer = self._store.read_answer(event) if isinstance(event, HttpResponse) else None
        if not isinstance(answer, FoundItem):
            return None
        return self._take_proof(answer.item.revision, answer.item, sent_at)

    def answer(self, sender: ReplicaId, question: ConfigurationAsk, now: float) -> list[Effect]:
        """Tell another node how old this node's proof is; nothing while there is none."""
        if self._item is None or self.currency(now) is not Currency.CURRENT or not self._lease:
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

    def take_proof(self, proof: ConfigurationProof) -> StoredItem | None:
        """Take another node's proof in; return the item if it is later than the one in force."""
        asked_at = self._asked.pop(proof.number, None)
        if asked_at is None or proof.age < 0:
            return None
        self._asked.clear()
        told = proof.item
        item = StoredItem(told.key, told.value, told.revision) if told is not None else None
        return self._take_proof(proof.revision, item, asked_at - proof.age)

    def _take_proof(
        self, revision: int, item: StoredItem | None, as_of: float
    ) -> StoredItem | None:
        """Note that the configuration of ``revision`` was the newest one at ``as_of``.

        A node with an older one has proved nothing until it has taken the newer one over.
        """
        known = self._item.revision if self._item is not None else 0
        if revision <= known:
            self._proven_at = max(self._proven_at, as_of)
            self._unproved_since = None
            self._pause = REPEAT_SECONDS
            return None
        if item is None or item.revision != revision or item.key != self._key:
            return None
        return item
