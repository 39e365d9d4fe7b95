"""The leader's answer to the first turn of a new program, before it is proposed.

Refused here is only what has left no trace: neither the state nor an entry on its way knows it. So
a new leader refuses nothing until an entry of its own term is applied, and with it all earlier
ones; then it makes its book of claims from the state, some programs at a time.
"""

from __future__ import annotations

from collections import Counter, deque

from yokeline.effects import LogRecord
from yokeline.ledger.claims import CandidateProgram, ClaimTracker
from yokeline.ledger.operations import (
    BudgetSpent,
    Draw,
    Granted,
    Operation,
    OperationResult,
    QuotaSpent,
    Reserve,
    Settle,
)
from yokeline.ledger.state import LedgerState
from yokeline.scheduling.program_admission import Admission, Supply

PROGRAMS_AT_ONCE = 500
"""Programs that a new leader takes into its book in one turn of the loop, so that requests do not
wait for it."""
LINES_PER_SECOND = 20
"""Log lines on programs that were not let in; of a tenant far beyond its limit there would be
hundreds."""

NO_TERM = -1
BY_CLAIMS = "claims"
"""Other programs claim what the limit gives."""
BY_KEPT_SHARE = "kept_share"
"""What is left in the bucket is kept for programs that have begun."""
BY_LIMIT = "limit"
"""Nothing is left."""
CAUSES = (BY_CLAIMS, BY_KEPT_SHARE, BY_LIMIT)


class ProgramGate:
    """Refuses programs that their tenants' limits would not carry to their end.

    Attributes:
        refused: Programs refused so far, by cause; one that asks again counts again.
    """

    def __init__(self) -> None:
        """Begin as a replica that does not lead."""
        self.refused: Counter[str] = Counter()
        self._book = ClaimTracker()
        self._term = NO_TERM
        self._to_follow: deque[str] = deque()
        self._lines = _LogRateLimit()

    @property
    def claims(self) -> int:
        """Return the number of programs that hold claims."""
        return len(self._book)

    def refusal(
        self, operation: Operation, state: LedgerState, term: int, leader_time: float
    ) -> tuple[QuotaSpent | None, list[LogRecord]]:
        """Return the refusal of an operation that nothing is known of yet, and what to log.

        Args:
            operation: That is neither on its way into the log nor in the state.
            state: What this leader has applied.
            term: In which it leads.
            leader_time: Leader time in seconds.
        """
        spent = state.known_refusal(operation, leader_time)
        if isinstance(operation, Settle) or operation.limit is None:
            return spent, []
        if isinstance(operation, Draw) or not self._begins_program(operation, state):
            if spent is not None:
                self._book.note_refused(operation.program)
            return spent, []
        if spent is not None and spent.is_empty:
            self.refused[BY_LIMIT] += 1
            return spent, []
        return self._decide(operation, state, term, leader_time, spent)

    def _decide(
        self,
        operation: Reserve,
        state: LedgerState,
        term: int,
        leader_time: float,
        spent: QuotaSpent | None,
    ) -> tuple[QuotaSpent | None, list[LogRecord]]:
        """Decide on a new program; ``spent`` says that the bucket does not let it in."""
        assert operation.limit is not None
        tenant, kind = operation.limit.tenant, operation.kind
        supply = state.quotas.available_supply(operation.limit, leader_time)
        decided = None
        asking = CandidateProgram(
            name=operation.program, tenant=tenant, kind=kind, left=operation.left
        )
        if operation.program and self._knows_claims(term):
            decided = self._book.decide(asking, supply, leader_time)
        if decided is not None and not decided.is_let_in:
            self.refused[BY_CLAIMS] += 1
            wait = max(decided.retry_after, spent.retry_after if spent is not None else 0.0)
            lines = self._lines.take(leader_time, self._line(operation, supply, decided, wait))
            return QuotaSpent(retry_after=wait, is_empty=False), lines
        if spent is not None:
            self.refused[BY_KEPT_SHARE] += 1
        elif operation.program:
            self._book.expect(asking, leader_time)
        return spent, []

    def note_result(
        self,
        operation: Operation,
        result: OperationResult | None,
        state: LedgerState,
        term: int,
    ) -> None:
        """Note what became of a proposed operation; None if it may not be in the log.

        A result says that the entry was applied in the term in which it was proposed.
        """
        if result is not None and term != self._term:
            self._take_over(state, term)
        account = state.programs.get(operation.program)
        if isinstance(result, BudgetSpent):
            self._book.note_stopped(operation.program)
        elif isinstance(operation, Reserve) and not isinstance(result, Granted):
            self._book.drop(operation.program)
        elif result is not None and account is not None:
            self._book.follow(operation.program, account, is_complete=not self._to_follow)
        if isinstance(result, QuotaSpent):
            self._book.note_refused(operation.program)

    def give_up(self, operation: Operation) -> None:
        """Note that an operation will not be proposed."""
        if isinstance(operation, Reserve):
            self._book.drop(operation.program)

    def tick(self, state: LedgerState, leader_time: float) -> None:
        """Go on with the book of a new leader, and take claims back."""
        for _ in range(min(PROGRAMS_AT_ONCE, len(self._to_follow))):
            name = self._to_follow.popleft()
            account = state.programs.get(name)
            if account is not None:
                self._book.follow(name, account, is_complete=False)
        self._book.sweep(leader_time)

    def stand_down(self) -> None:
        """Hold no claims, as a replica that does not lead."""
        if self._term != NO_TERM:
            self._take_over(LedgerState(), NO_TERM)

    def _begins_program(self, operation: Reserve, state: LedgerState) -> bool:
        """Return whether a turn is the first one of its program.

        Programs whose turns are still on their way count as begun.
        """
        return not self._book.knows(operation.program) and state.begins_program(operation)

    def _take_over(self, state: LedgerState, term: int) -> None:
        self._term = term
        self._book = ClaimTracker()
        self._to_follow = deque(state.programs)

    def _knows_claims(self, term: int) -> bool:
        """Return whether all that is in the log of earlier terms is applied and in the book."""
        return term == self._term and not self._to_follow

    def _line(
        self, operation: Reserve, supply: Supply, decided: Admission, wait: float
    ) -> LogRecord:
        assert operation.limit is not None
        tenant, kind = operation.limit.tenant, operation.kind
        size = self._book.size_of(tenant, kind)
        assert size is not None  # it was decided on
        fields: dict[str, str | int | float | bool | None] = {
            "tenant": tenant,
            "kind": kind,
            "program": operation.program,
            "level": round(supply.level, 2),
            "rate": supply.rate,
            "limit_version": operation.limit.version,
            "expected_requests": round(size.requests, 2),
            "deviation": round(size.deviation, 2),
            "expected_seconds": round(size.seconds, 3),
            "claims": decided.programs,
            "claimed": round(decided.claimed, 1),
            "margin": round(decided.margin, 1),
            "is_late": decided.cannot_end_in_time,
            "retry_after": round(wait, 3),
        }
        return LogRecord(event="program_not_admitted", fields=fields)


class _LogRateLimit:
    """Lets some lines a second through; the next one says how many were left out."""

    def __init__(self) -> None:
        self._since = 0.0
        self._written = 0
        self._left_out = 0

    def take(self, now: float, line: LogRecord) -> list[LogRecord]:
        if abs(now - self._since) >= 1.0:
            self._since, self._written = now, 0
        if self._written >= LINES_PER_SECOND:
            self._left_out += 1
            return []
        self._written += 1
        line.fields["left_out_before"] = self._left_out
        self._left_out = 0
        return [line]
