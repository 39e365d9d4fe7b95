"""Operations on the ledger and their results, as stored in log entries.

:mod:`yokeline.ledger` defines program, session, turn, chain and kind.
"""

from __future__ import annotations

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.losses.attempt_stages import AttemptStage


class CachedContext(msgspec.Struct, frozen=True, kw_only=True):
    """The engine that probably has a session's prompt in its cache.

    Attributes:
        engine_id: The engine that generated the session's last turn.
        tokens: Prompt and generated tokens of that turn.
    """

    engine_id: str
    tokens: int


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's limit over all nodes, in one version of the configuration.

    Attributes:
        rate: Requests per second.
        burst: Size of the token bucket: requests that may be sent at once after a pause.
    """

    tenant: str
    rate: float
    burst: float
    version: int


class StreamVersion(msgspec.Struct, frozen=True, array_like=True):
    """The software version of the engine that began a stream.

    Attributes:
        stream: Name of the request that began it.
        version: None if it is not known for certain: the stream must not be continued.
        seconds: Seconds for which callers may resume the stream.
    """

    stream: str
    version: str | None
    seconds: float


class PoolVersion(msgspec.Struct, frozen=True, array_like=True):
    """A software version of a pool's engines, which may begin streams once it is recorded.

    Attributes:
        absent: Seconds for which the pool has had no engine of the version: it can have begun no
            stream that may still be resumed. None if it has one.
    """

    pool: str
    version: str
    absent: float | None = None


class RecordedStream(msgspec.Struct, frozen=True, array_like=True):
    """What the ledger knows of the stream that a request resumes.

    Attributes:
        version: Version that began it; None if not known for certain.
        age: Seconds since it was recorded.
    """

    version: str | None
    age: float


class EngineLoss(msgspec.Struct, frozen=True, array_like=True):
    """An attempt of a request under which engines were lost, or may be lost.

    An engine that lost a request may have ended or not: each node judges by what it knows of the
    engine.

    Attributes:
        request: Digest that all attempts of the request share.
        loss_id: Identifies the attempt; empty if the request was answered, so that earlier attempts
            no longer count.
        engine_id: The incarnation to which the request was sent, as far as its node knew; empty
            before it is sent.
        instance: Name of the engine, the same for each incarnation.
        held: Seconds from the send to the record.
        age: Seconds since the record was made.
        stage: How far the attempt had come; releases that do not tell it report losses only.
        work_left: Seconds, from the record on, for which the engine may be at work on the request.
        address: ``host:port`` of the engine; empty if not told.
        prior: Generations of losses that the node knew of when it sent a request without a program.
        answered: Whether engines had answered such a request shortly before.
    """

    request: str
    loss_id: str = ""
    engine_id: str = ""
    instance: str = ""
    held: float = 0.0
    age: float = 0.0
    stage: AttemptStage = AttemptStage.LOST
    work_left: float = 0.0
    address: str = ""
    prior: int = 0
    answered: bool = False


class EntrustedAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt at an engine that another node keeps, in case that its own node goes.

    Attributes:
        line: The line under which a loss of the request is recorded.
        retention: Seconds for which such a loss counts.
    """

    line: str
    retention: float
    attempt: EngineLoss


class SideReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node records and asks for beside a reservation, or without one.

    Releases that know fewer of the fields leave the others out.

    Attributes:
        line: The line whose recorded attempts are asked for: :func:`line_of_turn`,
            :func:`line_of_call` or :data:`ALL_CALL_LINES`; empty for none.
        losses: Attempts to record under the line.
        pool: The pool whose recorded versions are asked for; empty for none.
        versions: Versions of pools to record, or to delete.
        text_bytes: Bytes of text that the ledger will keep of the turn, as far as known before it
            runs; 0 for few, or for none.
    """

    line: str = ""
    losses: tuple[EngineLoss, ...] = ()
    pool: str = ""
    versions: tuple[PoolVersion, ...] = ()
    text_bytes: int = 0


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag="reserve"):
    """Reserve the maximum tokens of a turn, and fetch the turns that it continues.

    Attributes:
        request_id: Identifies the request; a reservation with the same id is a duplicate.
        program: Program whose budget is charged; empty for none. The operation then only counts
            against ``limit`` and looks up ``previous``.
        session: Session of the turn within the program.
        budget: Tokens that all turns of the program may generate in total.
        tokens: Maximum tokens that this turn generates.
        retention: Seconds for which the program is kept after its last turn.
        previous: Request id of the turn that this one continues; empty for none.
        missing_from: The latest turn of the chain whose text the sender lacks. The answer contains
            this turn and all earlier ones; empty if the sender has all texts.
        limit: The limit against which the turn counts as one request; None for none.
        kind: Kind of program: the name of the request's route; empty if unknown.
        left: Seconds until the program's deadline; None if it has none.
        resumes: Name of the request whose stream this one resumes; empty if the caller names none,
            and unset if it resumes no stream.
        streams: Streams to record. Empty if there is none but the pool has engines of several
            versions; unset otherwise.
        side: What else is recorded and asked for; unset if only the turn's line is asked for.
    """

    request_id: str
    program: str = ""
    session: str = ""
    budget: int = 0
    tokens: int = 0
    retention: float = 60.0
    previous: str = ""
    missing_from: str = ""
    limit: RateLimit | None = None
    kind: str = ""
    left: float | None = None
    resumes: str | UnsetType = UNSET
    streams: tuple[StreamVersion, ...] | UnsetType = UNSET
    side: SideReport | UnsetType = msgspec.field(default=UNSET, name="losses")

    @property
    def text_bytes(self) -> int:
        """Bytes that the ledger will keep of the turn; 0 for few, or for none."""
        return 0 if isinstance(self.side, UnsetType) else self.side.text_bytes


_TURN_LINE_KIND = "turn"
CALL_LINE_PREFIX = "call\n"
"""Begins the lines of requests without a reservation."""
ALL_CALL_LINES = "calls"
"""Asks for the losses of all lines of requests without a reservation, for a node that starts."""


def line_of_call(program: str, session: str) -> str:
    """Return the name under which the losses of a request without a reservation are recorded."""
    return f"{CALL_LINE_PREFIX}{program}\n{session}"


def line_of_turn(program: str, session: str, previous: str) -> str:
    """Return the name under which the losses of a turn are recorded.

    It is made of fields that a reservation has anyway, so that looking a turn's losses up needs no
    further field. Requests of one line are told apart by their digests.
    """
    return "\n".join((_TURN_LINE_KIND, program, session, previous))


def program_of_line(line: str) -> str:
    """Return the program of a turn's line; empty for lines of other requests.

    Header fields cannot contain a line feed, so the parts of a line are not ambiguous.
    """
    kind, _, rest = line.partition("\n")
    return rest.partition("\n")[0] if kind == _TURN_LINE_KIND else ""


class KeptTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A turn that was answered completely.

    Attributes:
        turn_id: Request id of the turn.
        previous: Request id of the turn that it continues; empty for none.
        text: Input of the turn followed by its output.
        retention: Seconds for which the turn and the turns of its chain are retained.
    """

    turn_id: str
    previous: str
    text: bytes
    retention: float


class Settle(msgspec.Struct, frozen=True, kw_only=True, tag="settle"):
    """Replace a reservation by the generated tokens, and retain the turn on request.

    Attributes:
        session: Session of the turn within the program.
        tokens: Tokens generated in this turn.
        context: Where the turn was generated, if it was generated completely.
    """

    request_id: str
    program: str = ""
    session: str = ""
    tokens: int = 0
    turn: KeptTurn | None = None
    context: CachedContext | None = None


class Draw(msgspec.Struct, frozen=True, kw_only=True, tag="draw"):
    """Count a request against its tenant's limit, without a reservation.

    Attributes:
        is_owed: Charge the request without a check, because it continues a stream that has already
            been admitted; the level of the bucket may become negative.
        program: Program of the request; empty for none.
    """

    request_id: str
    limit: RateLimit
    is_owed: bool = False
    program: str = ""


Operation = Reserve | Settle | Draw

_FIXED_BYTES = 150


def approximate_size(operation: Operation) -> int:
    """Return the approximate size of an operation in a message or a log entry, in bytes."""
    if isinstance(operation, Settle) and operation.turn is not None:
        return _FIXED_BYTES + len(operation.turn.text)
    return _FIXED_BYTES


class Granted(msgspec.Struct, frozen=True, kw_only=True, tag="granted"):
    """The reservation was made.

    Attributes:
        spent: Tokens that count against the budget, without this reservation.
        turns: The turns requested with ``missing_from``, the oldest first.
        context: Where the session's last turn was generated, or else the program's last turn.
        stream: The stream that the request resumes; unset if it has no record.
        has_mixed_versions: Set if it has no record, and nodes have said of late that engines of
            several versions serve.
        losses: The recorded attempts of the line, in the order of their first records; unset if
            there are none.
        open_turns: Turns of the line whose reservations are open, set with ``losses``.
        versions: The recorded versions of the pool that was asked for; unset if none was.
    """

    spent: int = 0
    turns: tuple[KeptTurn, ...] = ()
    context: CachedContext | None = None
    stream: RecordedStream | UnsetType = UNSET
    has_mixed_versions: bool | UnsetType = UNSET
    losses: tuple[EngineLoss, ...] | UnsetType = UNSET
    open_turns: int | UnsetType = UNSET
    versions: tuple[str, ...] | UnsetType = UNSET


class BudgetSpent(msgspec.Struct, frozen=True, kw_only=True, tag="budget_spent"):
    """The turn exceeds the budget; nothing was reserved."""

    spent: int


class NoSuchTurn(msgspec.Struct, frozen=True, kw_only=True, tag="no_such_turn"):
    """The continued turn is unknown or expired; nothing was reserved."""

    turn_id: str


class Settled(msgspec.Struct, frozen=True, tag="settled"):
    """The generated tokens were counted, and the turn is retained."""


class Drawn(msgspec.Struct, frozen=True, tag="drawn"):
    """The request was counted, and may run."""


class QuotaSpent(msgspec.Struct, frozen=True, kw_only=True, tag="quota_spent"):
    """The tenant's limit is exhausted; nothing was reserved or counted.

    Attributes:
        retry_after: Seconds until the limit admits the request, if no other request is counted
            until then.
        is_empty: All requests are refused; otherwise only first turns of programs.
    """

    retry_after: float
    is_empty: bool


class NoRoom(msgspec.Struct, frozen=True, kw_only=True, tag="no_room"):
    """The ledger has no memory for the turn's text; nothing was reserved.

    Sent only to nodes that tell the size of the text.

    Attributes:
        retry_after: Seconds after which a retry may succeed.
    """

    retry_after: float


OperationResult = Granted | BudgetSpent | NoSuchTurn | Settled | Drawn | QuotaSpent | NoRoom
