"""What forwarding nodes ask the ledger to do, and what it answers: parts of its log's entries."""

from __future__ import annotations

import msgspec


class CachedContext(msgspec.Struct, frozen=True, kw_only=True):
    """Where a line of turns was last read, and so is probably cached.

    Attributes:
        engine_id: The engine that generated its last turn.
        tokens: Prompt and generated tokens of that turn.
    """

    engine_id: str
    tokens: int


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """What a tenant is given over all nodes, in one version of the configuration.

    Attributes:
        rate: Requests a second.
        burst: Requests on top of that, once they were not used.
    """

    tenant: str
    rate: float
    burst: float
    version: int


class Reserve(msgspec.Struct, frozen=True, kw_only=True, tag="reserve"):
    """Reserve the most that a turn may generate, and fetch what it continues.

    Attributes:
        request_id: Names the request; a repeated reservation of it is the same one.
        program: Whose budget; empty for none (only ``previous`` is looked up then).
        session: The line of turns within the program.
        budget: Tokens that the program may generate in all.
        tokens: The most that this turn generates.
        retention: Seconds for which the program is kept after its last turn.
        previous: The turn that this one continues; empty for none.
        missing_from: The latest turn of the chain whose text the asker lacks; empty if it
            has them all.
        limit: The limit that the turn counts against, as one request; None for none.
        kind: Which programs are alike (the route's name); empty if the asker names none.
        left: Seconds that the program has left until it should be over; None if that is not said.
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


class KeptTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A turn that was answered whole.

    Attributes:
        turn_id: Its request id.
        previous: The turn that it continued; empty for none.
        text: Its input followed by what it generated.
        retention: Seconds for which it is kept, with its chain.
    """

    turn_id: str
    previous: str
    text: bytes
    retention: float


class Settle(msgspec.Struct, frozen=True, kw_only=True, tag="settle"):
    """Replace a reservation by what was really generated, and keep the turn if asked.

    Attributes:
        session: The line of turns within the program.
        tokens: Generated in this turn.
        context: Where the turn was generated, if it was generated whole.
    """

    request_id: str
    program: str = ""
    session: str = ""
    tokens: int = 0
    turn: KeptTurn | None = None
    context: CachedContext | None = None


class Draw(msgspec.Struct, frozen=True, kw_only=True, tag="draw"):
    """Count a request that needs nothing else of the ledger against its tenant's limit.

    Attributes:
        is_owed: It runs in any case, since it has run before; the bucket may go into debt for it.
        program: Whose request it is; empty if of none.
    """

    request_id: str
    limit: RateLimit
    is_owed: bool = False
    program: str = ""


Operation = Reserve | Settle | Draw

_FIXED_BYTES = 150


def approximate_size(operation: Operation) -> int:
    """Return about how many bytes an operation takes in a message or a log entry."""
    if isinstance(operation, Settle) and operation.turn is not None:
        return _FIXED_BYTES + len(operation.turn.text)
    return _FIXED_BYTES


class Granted(msgspec.Struct, frozen=True, kw_only=True, tag="granted"):
    """The reservation stands.

    Attributes:
        spent: Tokens of the program that count so far, this reservation not included.
        turns: The turns asked for with ``missing_from``, the oldest first.
        context: Where the line of turns, or else its program, was last read.
    """

    spent: int = 0
    turns: tuple[KeptTurn, ...] = ()
    context: CachedContext | None = None


class BudgetSpent(msgspec.Struct, frozen=True, kw_only=True, tag="budget_spent"):
    """The turn does not fit the budget; nothing was reserved."""

    spent: int


class NoSuchTurn(msgspec.Struct, frozen=True, kw_only=True, tag="no_such_turn"):
    """There is no turn of that name (any more); nothing was reserved."""

    turn_id: str


class Settled(msgspec.Struct, frozen=True, tag="settled"):
    """What was generated counts, and the turn is kept."""


class Drawn(msgspec.Struct, frozen=True, tag="drawn"):
    """The request counts, and may run."""


class QuotaSpent(msgspec.Struct, frozen=True, kw_only=True, tag="quota_spent"):
    """The tenant has used its limit; nothing was reserved or counted.

    Attributes:
        retry_after: Seconds until the limit lets such a request in, if no other one comes.
        is_empty: No request of the tenant may run now, whatever its program has done before.
            Otherwise only a program that has not begun is refused.
    """

    retry_after: float
    is_empty: bool


OperationResult = Granted | BudgetSpent | NoSuchTurn | Settled | Drawn | QuotaSpent
