"""Keeps the attempts of other nodes, so that they are known once their node has gone.

A node that goes while its attempts are at engines, killed or as planned, can tell nobody if these
engines end later. Each node entrusts its silent attempts to a few others. These tell of them as of
attempts that they have left themselves, but only once their node is not heard any more.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

from yokeline.identifiers import ReplicaId
from yokeline.ledger.operations import EntrustedAttempt
from yokeline.losses.engine_fates import Loss
from yokeline.losses.left_attempts import LeftAttempt
from yokeline.losses.loss_keys import LossKey
from yokeline.losses.request_losses import loss_of, row_of

ENTRUST_INTERVAL_SECONDS = 0.25
REPEAT_SECONDS = 1.0
"""Time after which the same attempts are told again, since a message may have been lost."""
SILENT_SECONDS = 0.25
"""Silence of its engine after which an attempt is entrusted to other nodes. Most engines answer or
send their next event sooner."""
MAX_ENTRUSTED = 256
"""Attempts that one node entrusts; the latest."""
MAX_NODES = 1024
"""Nodes whose attempts are kept."""


def entrusted_attempt(item: LeftAttempt, now: float) -> EntrustedAttempt:
    """Return what another node is told to keep an attempt."""
    row = row_of(item.key.digest, item.loss, now)
    return EntrustedAttempt(line=item.key.line, retention=item.key.retention, attempt=row)


class _Entrusted(NamedTuple):
    """Attempts of one node, and when they were last told (monotonic seconds)."""

    attempts: list[LeftAttempt]
    at: float


class AttemptCustody:
    """Attempts that other nodes have entrusted to this one; without timers and messages."""

    def __init__(self) -> None:
        """Start without any."""
        self._by_node: dict[ReplicaId, _Entrusted] = {}

    def entrust(self, node: ReplicaId, told: Iterable[EntrustedAttempt], now: float) -> None:
        """Keep the present attempts of a node, in place of those that it told before."""
        attempts = [LeftAttempt(_key_of(item), _attempt_of(item, now)) for item in told]
        self._by_node.pop(node, None)
        if attempts:
            self._by_node[node] = _Entrusted(attempts, now)
        if len(self._by_node) > MAX_NODES:
            del self._by_node[next(iter(self._by_node))]

    def take_gone(
        self, heard: Collection[ReplicaId], silent_seconds: float, now: float
    ) -> list[LeftAttempt]:
        """Remove and return the attempts of nodes that are not heard any more.

        A node that has told of its attempts in the last ``silent_seconds`` is heard.
        """
        gone = [
            node
            for node, entrusted in self._by_node.items()
            if node not in heard and now - entrusted.at > silent_seconds
        ]
        return [item for node in gone for item in self._by_node.pop(node).attempts]

    def __len__(self) -> int:
        """Return the number of attempts."""
        return sum(len(entrusted.attempts) for entrusted in self._by_node.values())


def _key_of(item: EntrustedAttempt) -> LossKey:
    return LossKey(digest=item.attempt.request, line=item.line, retention=item.retention)


def _attempt_of(item: EntrustedAttempt, now: float) -> Loss:
    return loss_of(item.attempt, now)
