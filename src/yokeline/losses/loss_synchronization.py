"""Learns the losses that the ledger and other nodes know, at a start and after a gap.

What a node has not been told is unknown, and not "none". A node that starts, that stood still or
that heard no other node for a while asks the ledger and the nodes that it hears for all records.
Each node answers with what it merged as well as with its own, so that a record outlives the node
that made it. Until the ledger or a node that is informed has answered, this node is not: sends for
which an end is possible are not made then.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from msgspec import UnsetType

from yokeline.effects import Address, Effect, LogRecord, SendPeer
from yokeline.forwarding.node_state import NodeState
from yokeline.identifiers import ReplicaId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.messages import LossesQuery, LossesReply
from yokeline.ledger.operations import (
    ALL_CALL_LINES,
    Granted,
    OperationResult,
    Reserve,
    SideReport,
)
from yokeline.losses.engine_losses import REPORTED_SECONDS, EngineLosses

START_WAIT_SECONDS = 2.0
"""Time after a start within which sends wait for the losses that others know; the ledger may have
no leader, and no other node be heard, for longer."""
GAP_WAIT_SECONDS = 1.0
"""The same time after a gap, when connections to the others are there."""
GAP_SECONDS = 1.0
"""Time for which this node stood still, or heard no other node, that counts as a gap."""
CHECK_SECONDS = 0.05
"""Least time between two looks at the reports of all nodes."""
MAX_ASKED_NODES = 3
"""Nodes that are asked in one round."""
ROUND_SECONDS = 2.0
"""Time after which nodes are asked again while none that is informed has answered."""

_LogFields = dict[str, str | int | float | bool | None]


class LossSynchronization:
    """What one node knows of the losses of others; without I/O.

    Attributes:
        has_others: Returns whether there are other nodes.
        hears_others: Returns whether the reports of other nodes, if any, reach this node at a time.
    """

    def __init__(
        self, state: NodeState, ledger: LedgerClient, losses: EngineLosses, process: str
    ) -> None:
        """Merge what is told into ``losses``; ask the ledger with ids that begin with ``process``.

        The node counts as informed until :meth:`start`.
        """
        self.has_others: Callable[[], bool] = _without_others
        self.hears_others: Callable[[float], bool] = _always_heard
        self._state = state
        self._ledger = ledger
        self._losses = losses
        self._process = process
        self._numbers = itertools.count(1)
        self._uninformed_since: float | None = None
        self._wait_until = float("-inf")
        self._period = 0
        self._is_ledger_asked = True
        self._asked: set[ReplicaId] = set()
        self._round_ends = float("-inf")
        self._ran_at: float | None = None
        self._heard_at: float | None = None
        losses.is_informed = self.is_informed

    # ------------------------------------------------------------ what is known

    def start(self, now: float) -> None:
        """Begin without knowledge, as a process that has just started."""
        self._uninformed_since = now
        self._ran_at = None
        self._begin(now, now + START_WAIT_SECONDS)

    def is_informed(self, now: float) -> bool:
        """Return whether this node knows what other nodes have lost, up to the present."""
        return self._is_told(now) and self.hears_others(now)

    def _is_told(self, now: float) -> bool:
        """Return whether this node knew what others had lost when it last heard them.

        What others knew when it became uninformed expires after the retention of records.
        """
        since = self._uninformed_since
        return since is None or now - since >= self._losses.retention

    def is_waiting(self, now: float) -> bool:
        """Return whether losses that others know may still be told."""
        return now < self._wait_until

    # ------------------------------------------------------------ gaps

    def tick(self, now: float) -> None:
        """Notice gaps, and ask the ledger once after each when it has a leader."""
        if self._ran_at is not None and now - self._ran_at < CHECK_SECONDS:
            return
        self._note_gaps(now)
        if not self._is_ledger_asked and self._ledger.leader is not None:
            self._is_ledger_asked = True
            self._ask_ledger(now)
        self._losses.record_again(now)

    def _note_gaps(self, now: float) -> None:
        gap = 0.0
        if self.hears_others(now):
            if self._heard_at is not None and self.has_others():
                gap = now - self._heard_at
            self._heard_at = now
        elif self._ran_at is not None:
            gap = now - self._ran_at
        self._ran_at = now
        if gap >= GAP_SECONDS:
            self._resume(gap, now)

    def _resume(self, gap: float, now: float) -> None:
        """Ask for what was missed in a gap; a longer one than reports cover leaves it unknown."""
        if gap >= REPORTED_SECONDS:
            self._uninformed_since = now
        self._begin(now, now + GAP_WAIT_SECONDS)
        self._log("losses_missed", gap_seconds=round(gap, 2), is_informed=self._is_told(now))

    def _begin(self, now: float, wait_until: float) -> None:
        self._period += 1
        self._wait_until = max(self._wait_until, wait_until)
        self._is_ledger_asked = False
        self._begin_round(now)

    def _begin_round(self, now: float) -> None:
        self._asked.clear()
        self._round_ends = now + ROUND_SECONDS

    # ------------------------------------------------------------ other nodes

    def ask_node(
        self, process: ReplicaId, address: Address | None, own: Address, now: float
    ) -> list[Effect]:
        """Ask a node that was heard, if what others know is wanted; it answers at ``own``."""
        if address is None or (self._is_told(now) and not self.is_waiting(now)):
            return []
        if now >= self._round_ends:
            self._begin_round(now)
        if process in self._asked or len(self._asked) >= MAX_ASKED_NODES:
            return []
        self._asked.add(process)
        query = LossesQuery(number=self._period, asker=own)
        return [SendPeer(to=process, address=address, message=query)]

    def answer_query(self, asker: ReplicaId, query: LossesQuery, now: float) -> list[Effect]:
        """Tell another node all records that this node has."""
        self._state.now = now
        silent_seconds = now - self._heard_at if self._heard_at is not None else 0.0
        reply = LossesReply(
            number=query.number,
            losses=self._losses.all_rows(),
            is_informed=self._is_told(now) and silent_seconds < REPORTED_SECONDS,
        )
        return [SendPeer(to=asker, address=query.asker, message=reply)]

    def apply_reply(self, sender: ReplicaId, reply: LossesReply, now: float) -> list[Effect]:
        """Merge what another node knows; this node is informed if that one is."""
        self._losses.apply_report(reply.losses, now)
        self._note_told(
            reply.number,
            source=str(sender),
            is_informed=reply.is_informed,
            records=len(reply.losses),
        )
        return self._state.outcomes.drain_effects()

    # ------------------------------------------------------------ ledger

    def _ask_ledger(self, now: float) -> None:
        self._state.now = now
        period = self._period

        def answered(result: OperationResult | None, answered_at: float) -> list[Effect]:
            self._state.now = answered_at
            if isinstance(result, Granted):
                self._losses.apply_recorded(result)
                rows = () if isinstance(result.losses, UnsetType) else result.losses
                self._note_told(period, source="ledger", is_informed=True, records=len(rows))
            return self._state.outcomes.drain_effects()

        operation = Reserve(
            request_id=f"{self._process}/losses/all/{next(self._numbers)}",
            side=SideReport(ALL_CALL_LINES),
        )
        # What others recorded counts for as long as their records last.
        until = now + self._losses.retention
        effects = self._ledger.ask(operation, answered, now, until, is_background=True)
        self._state.outcomes.effects.extend(effects)

    def _note_told(self, period: int, *, source: str, is_informed: bool, records: int) -> None:
        """Note an answer to a question; one from before the latest gap tells too little."""
        self._log("losses_told", source=source, is_informed=is_informed, records=records)
        if period != self._period:
            return
        if is_informed:
            self._uninformed_since = None
        if self._is_told(self._state.now):
            self._wait_until = float("-inf")
            self._losses.on_synchronized()

    def _log(self, event: str, **fields: str | float | bool) -> None:
        known: _LogFields = dict(fields)
        self._state.outcomes.effects.append(LogRecord(event=event, fields=known))


def _without_others() -> bool:
    """Return that there are no other nodes; the default."""
    return False


def _always_heard(_now: float) -> bool:
    """Return that reports arrive; the default."""
    return True
