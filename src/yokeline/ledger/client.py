"""Asks the ledger's leader, wherever it is: repeats until answered or given up.

Operations are idempotent by request id, so a repetition at another replica is harmless.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.histogram import Histogram
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    LeaderHint,
    LedgerReply,
    LedgerRequest,
    Operation,
    OperationResult,
    size_of,
)

RESEND_SECONDS = 0.15
"""Silence after which an operation is sent again, to another replica; doubled each time, so that
repetitions do not fill the links of replicas that are busy."""
MAX_RESEND_SECONDS = 1.2
PAUSE_SECONDS = 0.03
"""Pause after the answer of a replica that neither leads nor knows who does; doubled likewise."""
MAX_PAUSE_SECONDS = 0.1
MAX_LARGE_PAUSE_SECONDS = 0.4
"""The same for an operation that carries a turn's text."""
LARGE_BYTES = 2048

OperationDone = Callable[[OperationResult | None, float], list[Effect]]
"""Told the result of an operation and the time; None if given up (it may have been taken)."""


class _Asked(msgspec.Struct, kw_only=True):
    operation: Operation
    done: OperationDone
    give_up_at: float
    send_at: float
    asked_at: float
    sends: int = 0


class LedgerClient:
    """Operations under way; a pure state machine.

    Attributes:
        resends: Operations sent again.
        answer_seconds: Time from the question to the leader's answer.
    """

    def __init__(self, own_address: Address) -> None:
        """Ask from ``own_address``, where answers are to be sent."""
        self._own_address = own_address
        self._storage: dict[ReplicaId, Address] = {}
        self._leader: LeaderHint | None = None
        self._next_candidate = 0
        self._asked: dict[int, _Asked] = {}
        self._numbers = 0
        self.answer_seconds = Histogram()
        self.resends = 0

    def set_storage(self, storage: dict[ReplicaId, Address]) -> None:
        """Note the storage replicas that are known."""
        self._storage = storage

    @property
    def under_way(self) -> int:
        """Operations without an answer yet."""
        return len(self._asked)

    def ask(
        self, operation: Operation, done: OperationDone, now: float, give_up_at: float
    ) -> list[Effect]:
        """Send an operation; ``done`` is called once."""
        self._numbers += 1
        asked = _Asked(
            operation=operation, done=done, give_up_at=give_up_at, send_at=now, asked_at=now
        )
        self._asked[self._numbers] = asked
        return self._send(self._numbers, asked, now)

    def forget(self, operation: Operation) -> None:
        """Stop asking; ``done`` is not called."""
        for number, asked in list(self._asked.items()):
            if asked.operation is operation:
                del self._asked[number]

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return min(
            (min(item.send_at, item.give_up_at) for item in self._asked.values()), default=None
        )

    def tick(self, now: float) -> list[Effect]:
        """Send again what went unanswered, and give up what is late."""
        effects: list[Effect] = []
        for number, asked in list(self._asked.items()):
            if now >= asked.give_up_at:
                del self._asked[number]
                effects.extend(asked.done(None, now))
            elif now >= asked.send_at:
                self._leader = None
                effects.extend(self._send(number, asked, now))
        return effects

    def take_reply(self, reply: LedgerReply, now: float) -> list[Effect]:
        """Take an answer in."""
        effects = self._note_leader(reply.leader)
        asked = self._asked.get(reply.number)
        if asked is None:
            return effects
        if reply.results:
            del self._asked[reply.number]
            self.answer_seconds.observe(now - asked.asked_at)
            effects.extend(asked.done(reply.results[0], now))
        elif reply.leader is not None:
            effects.extend(self._send(reply.number, asked, now))
        else:
            asked.send_at = min(asked.send_at, now + _pause_of(asked))
        return effects

    def _note_leader(self, leader: LeaderHint | None) -> list[Effect]:
        if leader is None or leader == self._leader:
            return []
        before = self._leader
        self._leader = leader
        if before is not None and before.replica == leader.replica:
            return []
        return [LogRecord(event="ledger_leader_known", fields={"leader": leader.replica})]

    def _send(self, number: int, asked: _Asked, now: float) -> list[Effect]:
        asked.send_at = now + min(MAX_RESEND_SECONDS, RESEND_SECONDS * 2.0**asked.sends)
        asked.sends += 1
        if asked.sends > 1:
            self.resends += 1
        target = self._leader or self._candidate()
        if target is None:
            return []
        message = LedgerRequest(
            number=number, asker=self._own_address, operations=(asked.operation,)
        )
        return [SendPeer(to=target.replica, address=target.address, message=message)]

    def _candidate(self) -> LeaderHint | None:
        """Return the next storage replica to try while the leader is not known."""
        if not self._storage:
            return None
        replicas = sorted(self._storage)
        self._next_candidate = (self._next_candidate + 1) % len(replicas)
        replica = replicas[self._next_candidate]
        return LeaderHint(replica, self._storage[replica])


def _pause_of(asked: _Asked) -> float:
    is_large = size_of(asked.operation) > LARGE_BYTES
    longest = MAX_LARGE_PAUSE_SECONDS if is_large else MAX_PAUSE_SECONDS
    return min(longest, PAUSE_SECONDS * 2.0 ** min(asked.sends, 8))
