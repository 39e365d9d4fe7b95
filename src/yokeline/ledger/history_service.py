"""Serves retained turns from a replica; see :mod:`yokeline.ledger.history_fetches`."""

from __future__ import annotations

import msgspec

from yokeline.effects import Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import HistoryAsk, HistoryReply
from yokeline.ledger.operations import KeptTurn
from yokeline.ledger.replica import LedgerReplica

MISSING_TURN_WAIT_SECONDS = 0.1
"""Time to wait for a turn that the replica does not hold yet; a follower learns what is committed
with the leader's next heartbeat. That heartbeat is 0.06 s later at most."""
MAX_PENDING_REQUESTS = 512
"""Requests waiting at once; further ones are answered without turns immediately."""


class _PendingRequest(msgspec.Struct, frozen=True):
    sender: ReplicaId
    request: HistoryAsk
    until: float


class HistoryService:
    """Serves the turns that one replica holds."""

    def __init__(self, replica: LedgerReplica) -> None:
        """Serve the turns of ``replica``."""
        self._replica = replica
        self._pending: list[_PendingRequest] = []

    def handle_request(self, sender: ReplicaId, request: HistoryAsk, now: float) -> list[Effect]:
        """Answer a request, or keep it while the turn may still be replicated."""
        turns = self._replica.state().chain(request.last, request.known)
        may_come = self._replica.is_member and len(self._pending) < MAX_PENDING_REQUESTS
        if turns or not may_come:
            return [self._reply(sender, request, turns)]
        self._pending.append(_PendingRequest(sender, request, now + MISSING_TURN_WAIT_SECONDS))
        return []

    def tick(self, now: float) -> list[Effect]:
        """Answer pending requests whose turns have arrived or whose time is over."""
        if not self._pending:
            return []
        effects: list[Effect] = []
        pending, self._pending = self._pending, []
        for item in pending:
            turns = self._replica.state().chain(item.request.last, item.request.known)
            if turns or now >= item.until:
                effects.append(self._reply(item.sender, item.request, turns))
            else:
                self._pending.append(item)
        return effects

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return min((item.until for item in self._pending), default=None)

    def _reply(self, sender: ReplicaId, request: HistoryAsk, turns: tuple[KeptTurn, ...]) -> Effect:
        reply = HistoryReply(number=request.number, turns=turns, is_member=self._replica.is_member)
        return SendPeer(to=sender, address=request.asker, message=reply)
