"""Admission control of new programs by the leader, before their first turn is proposed.

Only operations without any trace in the log or the state may be refused here. A new leader
therefore refuses nothing until it has applied an entry of its own term, and with it all earlier
ones. It then rebuilds the claims from the state.
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
from yokeline.scheduling.program_admission import Admission, BucketState

MAX_PROGRAMS_PER_TICK = 500
"""Program accounts that a new leader reads in one event-loop iteration. Requests do not wait for
the whole book."""
MAX_LOG_RECORDS_PER_SECOND = 20
"""Log lines on refused programs per second. A tenant far beyond its limit would cause hundreds."""

NOT_LEADING = -1
CAUSE_CLAIMS = "claims"
"""Claims of other programs exhaust the limit."""
CAUSE_RESERVED_SHARE = "kept_share"
"""The remaining tokens are reserved for programs that have begun."""
CAUSE_LIMIT = "limit"
"""No tokens are left."""
CAUSES = (CAUSE_CLAIMS, CAUSE_RESERVED_SHARE, CAUSE_LIMIT)


class AdmissionController:
    """Refuses programs that their tenants' limits cannot carry to the end.

    Attributes:
        refused: Refusals so far, by cause; a program that retries counts again.
    """

    def __init__(self) -> None:
        """Start as a replica that does not lead."""
        self.refused: Counter[str] = Counter()
        self._claims = ClaimTracker()
        self._term = NOT_LEADING
        self._unread_programs: deque[str] = deque()
        self._log_limit = _LogRateLimit()

    @property
    def claims(self) -> int:
        """The number of programs that have claims."""
        return len(self._claims)

    def refusal(
        self, operation: Operation, state: LedgerState, term: int, leader_time: float
    ) -> tuple[QuotaSpent | None, list[LogRecord]]:
        """Return the refusal of a new operation, if any, and log lines.

        Args:
            operation: An operation that is neither in flight nor in the state.
            state: The applied state.
            term: The leader's term.
            leader_time: Leadership time in seconds.
        """
        limit_refusal = state.known_refusal(operation, leader_time)
        if isinstance(operation, Settle) or operation.limit is None:
            return limit_refusal, []
        if isinstance(operation, Draw) or not self._begins_program(operation, state):
            if limit_refusal is not None:
                self._claims.note_refused(operation.program)
            return limit_refusal, []
        if limit_refusal is not None and limit_refusal.is_empty:
            self.refused[CAUSE_LIMIT] += 1
            return limit_refusal, []
        return self._decide(operation, state, term, leader_time, limit_refusal)

    def _decide(
        self,
        operation: Reserve,
        state: LedgerState,
        term: int,
        leader_time: float,
        limit_refusal: QuotaSpent | None,
    ) -> tuple[QuotaSpent | None, list[LogRecord]]:
        """Decide on a new program; ``limit_refusal`` is the bucket's refusal, if any."""
        assert operation.limit is not None
        tenant, kind = operation.limit.tenant, operation.kind
        supply = state.quotas.available_supply(operation.limit, leader_time)
        decision = None
        candidate = CandidateProgram(
            name=operation.program, tenant=tenant, kind=kind, time_left=operation.left
        )
        if operation.program and self._is_rebuilt(term):
            decision = self._claims.decide(candidate, supply, leader_time)
        if decision is not None and not decision.is_admitted:
            self.refused[CAUSE_CLAIMS] += 1
            wait = max(
                decision.retry_after,
                limit_refusal.retry_after if limit_refusal is not None else 0.0,
            )
            records = self._log_limit.take(
                leader_time, self._refusal_record(operation, supply, decision, wait)
            )
            return QuotaSpent(retry_after=wait, is_empty=False), records
        if limit_refusal is not None:
            self.refused[CAUSE_RESERVED_SHARE] += 1
        elif operation.program:
            self._claims.add_provisional(candidate, leader_time)
        return limit_refusal, []

    def note_result(
        self,
        operation: Operation,
        result: OperationResult | None,
        state: LedgerState,
        term: int,
    ) -> None:
        """Note the result of a proposed operation; None if it may not be committed.

        A result implies that the entry was applied in the term in which it was proposed.
        """
        if result is not None and term != self._term:
            self._rebuild(state, term)
        account = state.programs.get(operation.program)
        if isinstance(result, BudgetSpent):
            self._claims.release(operation.program)
        elif isinstance(operation, Reserve) and not isinstance(result, Granted):
            self._claims.cancel_provisional(operation.program)
        elif result is not None and account is not None:
            self._claims.update(operation.program, account, is_complete=not self._unread_programs)
        if isinstance(result, QuotaSpent):
            self._claims.note_refused(operation.program)

    def cancel(self, operation: Operation) -> None:
        """Note that an operation will not be proposed."""
        if isinstance(operation, Reserve):
            self._claims.cancel_provisional(operation.program)

    def tick(self, state: LedgerState, leader_time: float) -> None:
        """Continue reading accounts as a new leader, and release the claims of idle programs."""
        for _ in range(min(MAX_PROGRAMS_PER_TICK, len(self._unread_programs))):
            name = self._unread_programs.popleft()
            account = state.programs.get(name)
            if account is not None:
                self._claims.update(name, account, is_complete=False)
        self._claims.sweep(leader_time)

    def reset(self) -> None:
        """Drop all claims, because this replica does not lead."""
        if self._term != NOT_LEADING:
            self._rebuild(LedgerState(), NOT_LEADING)

    def _begins_program(self, operation: Reserve, state: LedgerState) -> bool:
        """Return whether a turn is the first of its program.

        A program whose first turn is in flight counts as begun.
        """
        return not self._claims.has_claim(operation.program) and state.begins_program(operation)

    def _rebuild(self, state: LedgerState, term: int) -> None:
        self._term = term
        self._claims = ClaimTracker()
        self._unread_programs = deque(state.programs)

    def _is_rebuilt(self, term: int) -> bool:
        """Return whether the claims cover all entries of earlier terms."""
        return term == self._term and not self._unread_programs

    def _refusal_record(
        self, operation: Reserve, supply: BucketState, decision: Admission, wait: float
    ) -> LogRecord:
        assert operation.limit is not None
        tenant, kind = operation.limit.tenant, operation.kind
        size = self._claims.size_of(tenant, kind)
        assert size is not None  # decided on above
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
            "claims": decision.programs,
            "claimed": round(decision.claimed, 1),
            "margin": round(decision.margin, 1),
            "is_late": decision.cannot_end_in_time,
            "retry_after": round(wait, 3),
        }
        return LogRecord(event="program_not_admitted", fields=fields)


class _LogRateLimit:
    """Limits log lines per second; the next line counts the suppressed ones."""

    def __init__(self) -> None:
        self._since = 0.0
        self._logged = 0
        self._suppressed = 0

    def take(self, now: float, record: LogRecord) -> list[LogRecord]:
        if abs(now - self._since) >= 1.0:
            self._since, self._logged = now, 0
        if self._logged >= MAX_LOG_RECORDS_PER_SECOND:
            self._suppressed += 1
            return []
        self._logged += 1
        record.fields["left_out_before"] = self._suppressed
        self._suppressed = 0
        return [record]
