"""The ledger's state machine: budgets of programs and retained turns.

A transition depends on the state and the command alone, and every replica applies the same commands
in the same order. Commands carry two clocks: ledger time, the leader's wall clock made monotonic,
for expiry, and leadership time, which runs only while a replica leads, for rate limits.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.ledger.loss_records import LossRecords
from yokeline.ledger.operations import (
    BudgetSpent,
    CachedContext,
    Draw,
    Drawn,
    EngineLoss,
    Granted,
    KeptTurn,
    NoSuchTurn,
    Operation,
    OperationResult,
    QuotaSpent,
    RecordedStream,
    Reserve,
    Settle,
    Settled,
    StreamVersion,
    line_of_turn,
    program_of_line,
)
from yokeline.ledger.quotas import TenantQuotas
from yokeline.ledger.version_records import VersionRecords

EXPIRY_SLACK_SECONDS = 20.0
"""Retention beyond the requested one, to cover clock differences and leader changes."""
EXPIRY_PERIOD_SECONDS = 5.0
DEFAULT_RETENTION_SECONDS = 60.0
MAX_CONTEXTS = 8
"""Sessions of a program whose engine is remembered; the oldest is evicted."""


class LedgerCommand(msgspec.Struct, frozen=True, kw_only=True):
    """One log entry: operations, and the leader's two clocks.

    Attributes:
        time: The leader's wall clock, in seconds since the epoch.
        passed: Leadership time in seconds (:class:`yokeline.ledger.quotas.LeadershipClock`).
    """

    time: float
    operations: tuple[Operation, ...]
    passed: float = 0.0


class Program(msgspec.Struct, kw_only=True):
    """The account of one program, in tokens.

    The fields from ``tenant`` on are used by :mod:`yokeline.ledger.claims` only. Replicas of an
    earlier release do not have them, so no result of a transition may depend on them.

    Attributes:
        spent: Tokens generated in settled turns.
        reserved: Maximum tokens of each open turn, by request id.
        settled: Request ids of settled turns, so that a late duplicate has no effect.
        contexts: Where the last turn of each session was generated, the latest last.
        retention: Seconds for which the account is kept after the last operation.
        expires: Ledger time at which the account may be deleted.
        tenant: Tenant whose limit the program counts against; empty for none.
        kind: Kind of program, from its first turn.
        requests: Requests that were counted against the limit.
        began_at: Leadership time of the first counted request, in seconds.
        active_at: Leadership time of the latest counted request or settled turn, in seconds.
        lines: Lines of the open turns, by request id.
    """

    spent: int = 0
    reserved: dict[str, int] = {}
    settled: list[str] = []
    contexts: dict[str, CachedContext] = {}
    retention: float = DEFAULT_RETENTION_SECONDS
    expires: float = 0.0
    tenant: str = ""
    kind: str = ""
    requests: int = 0
    began_at: float = 0.0
    active_at: float = 0.0
    lines: dict[str, str] = {}

    def note_request(self, at: float) -> None:
        """Count a request against the tenant's limit."""
        if not self.requests:
            self.began_at = at
        self.requests += 1
        self.active_at = at

    def committed_tokens(self) -> int:
        """Return the tokens that count against the budget, with open turns at their maximum."""
        return self.spent + sum(self.reserved.values())

    @property
    def has_begun(self) -> bool:
        """Whether the program has an open or settled turn."""
        return bool(self.reserved or self.settled)

    def has_turn(self, request_id: str) -> bool:
        """Return whether a turn is open or settled."""
        return request_id in self.reserved or request_id in self.settled

    def note_context(self, session: str, context: CachedContext) -> None:
        """Remember where the last turn of a session was generated."""
        self.contexts.pop(session, None)
        self.contexts[session] = context
        if len(self.contexts) > MAX_CONTEXTS:
            del self.contexts[next(iter(self.contexts))]

    def context_of(self, session: str) -> CachedContext | None:
        """Return where a session's last turn was generated, or else the program's last turn.

        The prompt of a new session begins with that of the session that started it.
        """
        known = self.contexts.get(session)
        if known is not None or not self.contexts:
            return known
        return next(reversed(self.contexts.values()))


class StoredTurn(msgspec.Struct, kw_only=True):
    """A retained turn and the ledger time at which it may be deleted."""

    turn: KeptTurn
    expires: float


class StoredStream(msgspec.Struct, kw_only=True):
    """A stream and the engine version that began it.

    Attributes:
        version: None if it is not known for certain, or if two records differ.
        recorded: Ledger time of its first record.
        expires: Ledger time at which it may be deleted.
    """

    version: str | None
    recorded: float
    expires: float


class LedgerState(msgspec.Struct, kw_only=True):
    """The replicated state, also its snapshot form.

    Attributes:
        streams: Versions that began streams, while a pool has engines of several versions.
        mixed_until: Ledger time until which several versions may have begun streams.
        losses: Engines that were lost under requests.
        versions: Software versions that the engines of each pool have had.

    Replicas of an earlier release do not have the last four fields, so no other state may depend
    on them.
    """

    time: float = 0.0
    next_expiry: float = 0.0
    programs: dict[str, Program] = {}
    turns: dict[str, StoredTurn] = {}
    quotas: TenantQuotas = msgspec.field(default_factory=TenantQuotas)
    streams: dict[str, StoredStream] = {}
    mixed_until: float = 0.0
    losses: LossRecords = msgspec.field(default_factory=LossRecords)
    versions: VersionRecords = msgspec.field(default_factory=VersionRecords)

    def transition_apply(self, command: LedgerCommand) -> tuple[OperationResult, ...]:
        """Apply a command and return a result for each of its operations."""
        self.time = max(self.time, command.time)
        self.quotas.transition_advance(command.passed)
        results = tuple(self._apply(operation) for operation in command.operations)
        if self.time >= self.next_expiry:
            self._expire()
        return results

    def _apply(self, operation: Operation) -> OperationResult:
        if isinstance(operation, Reserve):
            return self.transition_reserve(operation)
        if isinstance(operation, Settle):
            return self.transition_settle(operation)
        if operation.is_owed:
            self.quotas.transition_owe(operation.limit)
            return Drawn()
        refusal = self.quotas.transition_draw(operation.limit, is_new=False)
        if refusal is not None:
            return refusal
        program = self.programs.get(operation.program)
        if program is not None:
            program.note_request(self.quotas.time)
        return Drawn()

    def known_result(self, operation: Operation) -> OperationResult | None:
        """Return the result of an operation that was already applied; None for a new one.

        Changes nothing, so a duplicate needs no log entry.
        """
        if isinstance(operation, Draw):
            return None
        program = self.programs.get(operation.program)
        if isinstance(operation, Reserve):
            if program is None or not program.has_turn(operation.request_id):
                return None
            return self._granted(program, operation)
        is_counted = not operation.program or (
            program is not None and operation.request_id in program.settled
        )
        is_kept = operation.turn is None or operation.turn.turn_id in self.turns
        has_effect = bool(operation.program) or operation.turn is not None
        return Settled() if is_counted and is_kept and has_effect else None

    def known_refusal(self, operation: Operation, leader_time: float) -> QuotaSpent | None:
        """Return the refusal of an operation whose tenant's limit is exhausted; None for others."""
        if isinstance(operation, Settle) or operation.limit is None:
            return None
        if isinstance(operation, Draw) and operation.is_owed:
            return None
        is_new = isinstance(operation, Reserve) and self.begins_program(operation)
        return self.quotas.known_refusal(operation.limit, leader_time, is_new=is_new)

    def begins_program(self, operation: Reserve) -> bool:
        """Return whether a turn is the first of its program, as far as this replica knows."""
        program = self.programs.get(operation.program)
        return not operation.previous and (program is None or not program.has_begun)

    def _granted(self, program: Program, operation: Reserve) -> Granted:
        return Granted(
            spent=program.committed_tokens(),
            turns=self.chain(operation.missing_from),
            context=program.context_of(operation.session),
            stream=self._recorded_stream(operation),
            has_mixed_versions=self._has_mixed_versions(operation),
            losses=self._recorded_losses(operation),
            open_turns=self._open_turns(operation),
            versions=self._recorded_versions(operation),
        )

    def _has_mixed_versions(self, operation: Reserve) -> bool | UnsetType:
        """Return True if the stream that a request resumes may have begun at any of several."""
        is_asked = not isinstance(operation.resumes, UnsetType)
        is_found = is_asked and not isinstance(self._recorded_stream(operation), UnsetType)
        return True if is_asked and not is_found and self.time <= self.mixed_until else UNSET

    def _recorded_stream(self, operation: Reserve) -> RecordedStream | UnsetType:
        """Return what is known of the stream that a request resumes."""
        if isinstance(operation.resumes, UnsetType):
            return UNSET
        stored = self.streams.get(operation.resumes)
        if stored is None:
            return UNSET
        return RecordedStream(stored.version, round(max(0.0, self.time - stored.recorded), 3))

    def _recorded_losses(self, operation: Reserve) -> tuple[EngineLoss, ...] | UnsetType:
        """Return the losses of the line that an operation concerns."""
        return self.losses.of_line(_line_of(operation), self.time) or UNSET

    def _recorded_versions(self, operation: Reserve) -> tuple[str, ...] | UnsetType:
        """Return the versions of the pool that an operation asks for."""
        if isinstance(operation.side, UnsetType) or not operation.side.pool:
            return UNSET
        return self.versions.of_pool(operation.side.pool)

    def _open_turns(self, operation: Reserve) -> int | UnsetType:
        """Return how many turns of a line with recorded attempts have open reservations."""
        line = _line_of(operation)
        program = self.programs.get(program_of_line(line))
        if program is None or not self.losses.has_line(line):
            return UNSET
        return sum(other == line for other in program.lines.values())

    def transition_record_streams(self, streams: tuple[StreamVersion, ...]) -> None:
        """Record that several versions serve, and the versions that began streams."""
        self.mixed_until = max(self.mixed_until, self.time + EXPIRY_SLACK_SECONDS)
        for stream in streams:
            self._record_stream(stream)

    def _record_stream(self, stream: StreamVersion) -> None:
        """Record the version that began a stream; a second, different one makes it unknown."""
        expires = self.time + stream.seconds + EXPIRY_SLACK_SECONDS
        self.mixed_until = max(self.mixed_until, expires)
        stored = self.streams.setdefault(
            stream.stream, StoredStream(version=stream.version, recorded=self.time, expires=expires)
        )
        stored.expires = max(stored.expires, expires)
        if stored.version != stream.version:
            stored.version = None

    def transition_reserve(self, operation: Reserve) -> OperationResult:
        """Reserve a turn's tokens, unless it exceeds the budget or continues an unknown turn."""
        if not isinstance(operation.streams, UnsetType):
            self.transition_record_streams(operation.streams)
        if not isinstance(operation.side, UnsetType):
            side = operation.side
            self.versions.transition_record(side.versions, self.time)
            self.losses.transition_record(side.line, side.losses, self.time, operation.retention)
        if operation.previous and operation.previous not in self.turns:
            return NoSuchTurn(turn_id=operation.previous)
        turns = self.chain(operation.missing_from)
        if not operation.program:
            return self._draw(operation) or Granted(
                turns=turns,
                stream=self._recorded_stream(operation),
                has_mixed_versions=self._has_mixed_versions(operation),
                losses=self._recorded_losses(operation),
                open_turns=self._open_turns(operation),
                versions=self._recorded_versions(operation),
            )
        program = self.programs.setdefault(operation.program, Program())
        self._extend_expiry(program, operation.retention)
        if program.has_turn(operation.request_id):
            return self._granted(program, operation)
        spent = program.committed_tokens()
        if spent + operation.tokens > operation.budget:
            return BudgetSpent(spent=spent)
        refusal = self._draw(operation)
        if refusal is not None:
            return refusal
        program.reserved[operation.request_id] = operation.tokens
        program.lines[operation.request_id] = _line_of(operation)
        if operation.limit is not None:
            program.tenant = operation.limit.tenant
            program.kind = program.kind or operation.kind
            program.note_request(self.quotas.time)
        return Granted(
            spent=spent,
            turns=turns,
            context=program.context_of(operation.session),
            stream=self._recorded_stream(operation),
            has_mixed_versions=self._has_mixed_versions(operation),
            losses=self._recorded_losses(operation),
            open_turns=self._open_turns(operation),
            versions=self._recorded_versions(operation),
        )

    def _draw(self, operation: Reserve) -> QuotaSpent | None:
        """Count a turn against its tenant's limit; return the refusal if it is exhausted."""
        if operation.limit is None:
            return None
        is_new = self.begins_program(operation)
        return self.quotas.transition_draw(operation.limit, is_new=is_new)

    def transition_settle(self, operation: Settle) -> OperationResult:
        """Count the generated tokens instead of the reservation, and retain the turn, if given."""
        if operation.program:
            program = self.programs.setdefault(operation.program, Program())
            self._extend_expiry(program, program.retention)
            if operation.request_id not in program.settled:
                program.reserved.pop(operation.request_id, None)
                program.lines.pop(operation.request_id, None)
                program.settled.append(operation.request_id)
                program.spent += operation.tokens
                program.active_at = self.quotas.time
            if operation.context is not None:
                program.note_context(operation.session, operation.context)
        if operation.turn is not None:
            self._retain_turn(operation.turn)
        return Settled()

    def _extend_expiry(self, program: Program, retention: float) -> None:
        program.retention = retention
        program.expires = max(program.expires, self.time + retention + EXPIRY_SLACK_SECONDS)

    def _retain_turn(self, turn: KeptTurn) -> None:
        """Retain a turn, and its chain at least as long."""
        expires = self.time + turn.retention + EXPIRY_SLACK_SECONDS
        if turn.turn_id not in self.turns:
            self.turns[turn.turn_id] = StoredTurn(turn=turn, expires=expires)
        current: str = turn.turn_id
        while current:
            stored = self.turns.get(current)
            if stored is None:
                return
            stored.expires = max(stored.expires, expires)
            current = stored.turn.previous

    def chain(self, last: str, known: str = "") -> tuple[KeptTurn, ...]:
        """Return the turns after ``known`` up to ``last``, the oldest first."""
        chain: list[KeptTurn] = []
        current = last
        while current and current != known:
            stored = self.turns.get(current)
            if stored is None:
                break
            chain.append(stored.turn)
            current = stored.turn.previous
        return tuple(reversed(chain))

    def _expire(self) -> None:
        self.next_expiry = self.time + EXPIRY_PERIOD_SECONDS
        for name in [name for name, item in self.programs.items() if item.expires < self.time]:
            del self.programs[name]
        for name in [name for name, item in self.turns.items() if item.expires < self.time]:
            del self.turns[name]
        for name in [name for name, item in self.streams.items() if item.expires < self.time]:
            del self.streams[name]
        self.losses.transition_expire(self.time)
        self.quotas.transition_forget()


def _line_of(operation: Reserve) -> str:
    """Return the line of requests that an operation concerns."""
    if not isinstance(operation.side, UnsetType):
        return operation.side.line
    return line_of_turn(operation.program, operation.session, operation.previous)
