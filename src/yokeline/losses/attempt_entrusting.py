"""Entrusts the silent attempts of a node to others, and adopts those of nodes that have gone."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from yokeline.effects import Effect, LogRecord, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import PeerNode
from yokeline.ledger.messages import AttemptsEntrusted
from yokeline.ledger.operations import EntrustedAttempt
from yokeline.losses.attempt_custody import (
    ENTRUST_INTERVAL_SECONDS,
    REPEAT_SECONDS,
    AttemptCustody,
    entrusted_attempt,
)
from yokeline.losses.engine_losses import EngineLosses


class AttemptEntrusting:
    """Sends and receives entrusted attempts at one node; without I/O.

    Attributes:
        trustees: Returns the nodes that are to keep the attempts of this one at a time.
        heard: Returns the processes of other nodes that were heard lately.
        silent_seconds: Returns the time after which a node that is not heard counts as gone.
    """

    def __init__(self, losses: EngineLosses) -> None:
        """Entrust the attempts of ``losses``, and hand it those that are adopted."""
        self.trustees: Callable[[float], Sequence[PeerNode]] = _no_nodes
        self.heard: Callable[[float], Collection[ReplicaId]] = _none_heard
        self.silent_seconds: Callable[[], float] = _no_time
        self._losses = losses
        self._custody = AttemptCustody()
        self._next = float("-inf")
        self._trustees: tuple[PeerNode, ...] = ()
        self._told: frozenset[str] = frozenset()
        self._told_at = float("-inf")

    def tick(self, now: float) -> list[Effect]:
        """Tell other nodes of the silent attempts, and adopt those of nodes that have gone."""
        if now < self._next:
            return []
        self._next = now + ENTRUST_INTERVAL_SECONDS
        effects = self._adopt(now)
        attempts = tuple(entrusted_attempt(item, now) for item in self._losses.silent_attempts(now))
        trustees = tuple(self.trustees(now)) if attempts else ()
        released = [node for node in self._trustees if node not in trustees]
        effects.extend(_tell(released, AttemptsEntrusted()))
        if self._is_news(attempts, trustees, now):
            effects.extend(_tell(trustees, AttemptsEntrusted(attempts=attempts)))
        return effects

    def _is_news(
        self, attempts: Sequence[EntrustedAttempt], trustees: tuple[PeerNode, ...], now: float
    ) -> bool:
        """Return whether there is more to tell than lately; note that it is told."""
        told = frozenset(item.attempt.loss_id for item in attempts)
        is_same = told == self._told and trustees == self._trustees
        if is_same and now - self._told_at < REPEAT_SECONDS:
            return False
        self._told, self._trustees, self._told_at = told, trustees, now
        return True

    def take(self, sender: ReplicaId, message: AttemptsEntrusted, now: float) -> list[Effect]:
        """Keep the attempts of another node."""
        self._custody.entrust(sender, message.attempts, now)
        return []

    def _adopt(self, now: float) -> list[Effect]:
        if not len(self._custody):
            return []
        adopted = self._custody.take_gone(self.heard(now), self.silent_seconds(), now)
        if not adopted:
            return []
        record = LogRecord(event="attempts_adopted", fields={"attempts": len(adopted)})
        return [record, *self._losses.adopt(adopted, now)]


def _tell(nodes: Iterable[PeerNode], message: AttemptsEntrusted) -> list[Effect]:
    return [SendPeer(to=node.process, address=node.address, message=message) for node in nodes]


def _no_nodes(_now: float) -> Sequence[PeerNode]:
    """Return no nodes; the default."""
    return ()


def _none_heard(_now: float) -> Collection[ReplicaId]:
    """Return that no node was heard; the default."""
    return ()


def _no_time() -> float:
    """Return no time; the default."""
    return 0.0
