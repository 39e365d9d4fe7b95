"""Asks the ledger's leader, wherever it is: repeats until answered or given up.

Operations are idempotent by request id, so a repetition at another replica is harmless. A node
whose questions stay without a result asks through another forwarding node as well, since it may
be cut off from the storage nodes, or from the leader alone, while others are not.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import msgspec

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.histogram import Histogram
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    EngineTurns,
    LeaderHint,
    LedgerReply,
    LedgerRequest,
    Operation,
    OperationResult,
    PassedOnRequest,
    TurnNote,
    size_of,
)

RESEND_SECONDS = 0.15
"""Silence after which an operation is sent again, to another replica; doubled each time, so that
repetitions do not fill the links of replicas that are busy. Also the time without a result after
which the way to the ledger is doubted."""
MAX_RESEND_SECONDS = 1.2
PAUSE_SECONDS = 0.03
"""Pause after the answer of a replica that neither leads nor knows who does; doubled likewise."""
MAX_PAUSE_SECONDS = 0.1
MAX_LARGE_PAUSE_SECONDS = 0.4
"""The same for an operation that carries a turn's text."""
LARGE_BYTES = 2048
PASSED_ON_SECONDS = 1.0
"""How long an operation of another node is repeated; its asker repeats it too."""
MAX_PASSED_ON = 256
"""Operations of other nodes under way at once; more are dropped, and their askers ask again."""

REPORT_SECONDS = 1.0
"""Time between two log lines about repetitions: one a node and second at most."""

FIRST_SEND = "first"
"""Cause of the one send of an operation that is no repetition."""

OperationDone = Callable[[OperationResult | None, float], list[Effect]]
"""Told the result of an operation and the time; None if given up (it may have been taken)."""


class PeerNode(msgspec.Struct, frozen=True):
    """Another forwarding node, through which the ledger can be asked."""

    process: ReplicaId
    address: Address


EnginesTold = Callable[[tuple[EngineTurns, ...], float], None]
"""Told what the leader knows of engines, and the time."""

HelpfulPeers = Callable[[], list[PeerNode]]
"""Returns the nodes that say they reach the ledger, the nearest first."""


class _Asked(msgspec.Struct, kw_only=True):
    operation: Operation
    done: OperationDone
    give_up_at: float
    send_at: float
    asked_at: float
    sends: int = 0
    is_passed_on: bool = False


class LedgerClient:
    """Operations under way; a pure state machine.

    Attributes:
        repetitions: Operations sent again, by cause.
        notes_lost: Notes of turns that no leader could be told.
        late_answers: Results of operations that were answered or given up before.
        sent_through_peers: Operations sent to other forwarding nodes.
        passed_on: Operations of other nodes that this one has asked for.
        answer_seconds: Time from the question to the leader's answer.
        has_answered: The ledger has answered this process at least once.
        helpful_peers: The nodes to ask through; none unless set.
        engines_told: Told what the leader knows of engines; nobody unless set.
        engines: What the leader last told of engines.
    """

    def __init__(self, own_address: Address) -> None:
        """Ask from ``own_address``, where answers are to be sent."""
        self._own_address = own_address
        self._storage: dict[ReplicaId, Address] = {}
        self._leader: LeaderHint | None = None
        self._next_candidate = 0
        self._next_peer = 0
        self._asked: dict[int, _Asked] = {}
        self._passed_on: set[tuple[ReplicaId, int]] = set()
        self._numbers = 0
        self._is_path_lost = False
        self._result_at = float("-inf")
        self._answering_leader: ReplicaId | None = None
        self._notes: list[TurnNote] = []
        self.helpful_peers: HelpfulPeers = list
        self.engines_told: EnginesTold = _nobody
        self.engines: tuple[EngineTurns, ...] = ()
        self.answer_seconds = Histogram()
        self.repetitions: Counter[str] = Counter()
        self.late_answers = 0
        self.notes_lost = 0
        self._reported: Counter[str] = Counter()
        self._next_report = 0.0
        self.sent_through_peers = 0
        self.passed_on = 0
        self.has_answered = False

    def set_storage(self, storage: dict[ReplicaId, Address]) -> None:
        """Note the storage replicas that are known."""
        self._storage = storage

    @property
    def reaches_ledger(self) -> bool:
        """Whether the last operations were answered, or there were none."""
        return not self._is_path_lost

    @property
    def under_way(self) -> int:
        """Operations without an answer yet."""
        return len(self._asked)

    def ask(
        self, operation: Operation, done: OperationDone, now: float, give_up_at: float
    ) -> list[Effect]:
        """Send an operation; ``done`` is called once."""
        asked = _Asked(
            operation=operation, done=done, give_up_at=give_up_at, send_at=now, asked_at=now
        )
        return self._begin(asked, now)

    def pass_on(
        self, sender: ReplicaId, request: PassedOnRequest, done: OperationDone, now: float
    ) -> list[Effect]:
        """Ask for another node; a repetition of a question under way changes nothing.

        Nothing is passed on twice: a node that gets no answer itself lets it be.
        """
        key = (sender, request.number)
        if key in self._passed_on or len(self._passed_on) >= MAX_PASSED_ON:
            return []

        def ended(result: OperationResult | None, ended_at: float) -> list[Effect]:
            self._passed_on.discard(key)
            return done(result, ended_at)

        asked = _Asked(
            operation=request.operation,
            done=ended,
            give_up_at=now + PASSED_ON_SECONDS,
            send_at=now,
            asked_at=now,
            is_passed_on=True,
        )
        self.passed_on += 1
        self._passed_on.add(key)
        return self._begin(asked, now)

    def note(self, note: TurnNote) -> None:
        """Tell the leader of a turn with the next message to it; best effort."""
        self._notes.append(note)

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
                effects.extend(self._doubt_path(asked, now))
                effects.extend(self._send(number, asked, now, cause="silence"))
        effects.extend(self._send_notes())
        effects.extend(self._report_repetitions(now))
        return effects

    def _report_repetitions(self, now: float) -> list[Effect]:
        """Log how often operations were sent again, and why, since the last line."""
        if now < self._next_report:
            return []
        self._next_report = now + REPORT_SECONDS
        counts = Counter(self.repetitions)
        counts["late_answers"] = self.late_answers
        counts["notes_lost"] = self.notes_lost
        counts["through_peers"] = self.sent_through_peers
        counts["for_peers"] = self.passed_on
        new = counts - self._reported
        self._reported = counts
        if not new:
            return []
        oldest = max((now - item.asked_at for item in self._asked.values()), default=0.0)
        fields: dict[str, str | int | float | bool | None] = {
            **{name: new[name] for name in sorted(new)},
            "under_way": len(self._asked),
            "oldest_seconds": round(oldest, 3),
        }
        return [LogRecord(event="ledger_repetitions", fields=fields)]

    def _send_notes(self) -> list[Effect]:
        """Send the notes that no operation has taken along."""
        notes = self._take_notes()
        if not notes:
            return []
        if self._leader is None:
            self.notes_lost += len(notes)
            return []
        message = LedgerRequest(number=0, asker=self._own_address, operations=(), notes=notes)
        leader = self._leader
        return [SendPeer(to=leader.replica, address=leader.address, message=message)]

    def _take_notes(self) -> tuple[TurnNote, ...]:
        notes = tuple(self._notes)
        self._notes.clear()
        return notes

    def take_reply(self, reply: LedgerReply, now: float) -> list[Effect]:
        """Take an answer in."""
        effects = [] if reply.passed_on else self._note_leader(reply.leader)
        if reply.results and not reply.passed_on:
            effects.extend(self._note_path_found(now))
            effects.extend(self._send_waiting_again(reply, now))
        if reply.engines:
            self.engines = reply.engines
            self.engines_told(reply.engines, now)
        asked = self._asked.get(reply.number)
        if asked is None:
            self.late_answers += bool(reply.results)
            return effects
        if reply.results:
            del self._asked[reply.number]
            self.answer_seconds.observe(now - asked.asked_at)
            effects.extend(asked.done(reply.results[0], now))
        elif reply.leader is not None:
            effects.extend(self._send(reply.number, asked, now, cause="redirected"))
        else:
            asked.send_at = min(asked.send_at, now + _pause_of(asked))
        return effects

    def _send_waiting_again(self, reply: LedgerReply, now: float) -> list[Effect]:
        """Send what waits for its next repetition to a leader that has just begun to answer.

        While there was none, repetitions came ever more rarely; the next one may be due only
        after the operation is given up.
        """
        leader = self._leader
        if leader is None or leader.replica == self._answering_leader:
            return []
        self._answering_leader = leader.replica
        effects: list[Effect] = []
        for number, asked in self._asked.items():
            if number != reply.number and now - asked.asked_at >= RESEND_SECONDS:
                asked.sends = 0
                effects.extend(self._send(number, asked, now, cause="new_leader"))
        return effects

    # ------------------------------------------------------------ the way to the ledger

    def _doubt_path(self, asked: _Asked, now: float) -> list[Effect]:
        """Doubt the way there if nothing at all is answered; a busy ledger is only slow."""
        silent_since = max(asked.asked_at, self._result_at)
        if self._is_path_lost or now - silent_since < RESEND_SECONDS:
            return []
        self._is_path_lost = True
        fields: dict[str, str | int | float | bool | None] = {
            "waited": round(now - asked.asked_at, 3),
            "under_way": len(self._asked),
        }
        return [LogRecord(event="ledger_path_lost", fields=fields, level="warning")]

    def _note_path_found(self, now: float) -> list[Effect]:
        self.has_answered = True
        self._result_at = now
        if not self._is_path_lost:
            return []
        self._is_path_lost = False
        return [LogRecord(event="ledger_path_found", fields={"under_way": len(self._asked)})]

    def _note_leader(self, leader: LeaderHint | None) -> list[Effect]:
        if leader is None or leader == self._leader:
            return []
        before = self._leader
        self._leader = leader
        if before is not None and before.replica == leader.replica:
            return []
        return [LogRecord(event="ledger_leader_known", fields={"leader": leader.replica})]

    # ------------------------------------------------------------ sending

    def _begin(self, asked: _Asked, now: float) -> list[Effect]:
        self._numbers += 1
        self._asked[self._numbers] = asked
        return self._send(self._numbers, asked, now)

    def _send(
        self, number: int, asked: _Asked, now: float, *, cause: str = FIRST_SEND
    ) -> list[Effect]:
        asked.send_at = now + min(MAX_RESEND_SECONDS, RESEND_SECONDS * 2.0**asked.sends)
        asked.sends += 1
        if cause != FIRST_SEND:
            self.repetitions[cause] += 1
        effects: list[Effect] = []
        if self._is_path_lost and not asked.is_passed_on:
            effects.extend(self._send_through_peer(number, asked))
        target = self._leader or self._candidate()
        if target is not None:
            notes = self._take_notes() if target is self._leader else ()
            message = LedgerRequest(
                number=number,
                asker=self._own_address,
                operations=(asked.operation,),
                notes=notes,
            )
            effects.append(SendPeer(to=target.replica, address=target.address, message=message))
        return effects

    def _send_through_peer(self, number: int, asked: _Asked) -> list[Effect]:
        """Ask through the next of the nodes that reach the ledger; another one each time."""
        peers = self.helpful_peers()
        if not peers:
            return []
        peer = peers[self._next_peer % len(peers)]
        if asked.sends > 1:
            self._next_peer += 1
        self.sent_through_peers += 1
        message = PassedOnRequest(number=number, asker=self._own_address, operation=asked.operation)
        return [SendPeer(to=peer.process, address=peer.address, message=message)]

    def _candidate(self) -> LeaderHint | None:
        """Return the next storage replica to try while the leader is not known."""
        if not self._storage:
            return None
        replicas = sorted(self._storage)
        self._next_candidate = (self._next_candidate + 1) % len(replicas)
        replica = replicas[self._next_candidate]
        return LeaderHint(replica, self._storage[replica])


def _nobody(engines: tuple[EngineTurns, ...], now: float) -> None:
    """Tell nobody."""


def _pause_of(asked: _Asked) -> float:
    is_large = size_of(asked.operation) > LARGE_BYTES
    longest = MAX_LARGE_PAUSE_SECONDS if is_large else MAX_PAUSE_SECONDS
    return min(longest, PAUSE_SECONDS * 2.0 ** min(asked.sends, 8))
