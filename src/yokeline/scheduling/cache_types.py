"""Pauses of programs, and decisions on their cached context."""

from __future__ import annotations

import enum

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import RunId
from yokeline.scheduling.forecast import PauseForecast


class PauseKind(enum.Enum):
    """What a program does between two model calls."""

    TOOL = "tool"
    """A tool call is under way."""
    CHILD = "child"
    """A child run is under way; the parent's context is not used."""
    TURN = "turn"
    """The answer is given; a further turn of the caller may follow."""
    END = "end"
    """The program (or the child run) is over; its context is not used again."""


class PauseContext(msgspec.Struct, frozen=True, kw_only=True):
    """What a cache decision may depend on.

    Attributes:
        run: The run that pauses.
        cache_key: Its program (root run); holds and releases are by this key.
        name: Name of the tool or child program; of the program itself for other kinds.
        engine: Where the context is.
        context_tokens: Tokens of context there.
        forecast: Distribution of the pause's length; None if nothing is known.
        prefill_rate: Observed prefill there, tokens a second: the price of a rebuild.
        cache_tokens: Size of the engine's cache.
        cache_used: Tokens in it, as reported.
        active_tokens: Tokens of context that the active programs need there, this one
            included.
        held_tokens: Tokens there under holds that this node made and that have not ended.
        hold_max_seconds: Longest hold that the settings allow.
    """

    run: RunId
    cache_key: RunId
    tenant: str
    kind: PauseKind
    name: str
    engine: str
    context_tokens: int
    forecast: PauseForecast | None
    prefill_rate: float
    cache_tokens: int
    cache_used: int
    active_tokens: int
    held_tokens: int
    hold_max_seconds: float
    priority: int = 0
    worth: float = 1.0


class CacheAction(enum.Enum):
    """What becomes of a program's cached context at an engine."""

    LEAVE = "leave"
    """Leave it to the engine's own eviction."""
    HOLD = "hold"
    """Pin it for ``hold_seconds`` (a lease: it ends by itself). It is released as soon as the
    next call of the program at that engine has produced its first text."""
    DROP = "drop"
    """Free it at once."""


class CacheCause(enum.Enum):
    """Why a cache decision was taken."""

    BASELINE = "baseline"
    ENDED = "ended"
    """Nobody will use the context again."""
    ROOM = "room"
    """The cache is not crowded: eviction does not threaten the context."""
    CHEAP_REBUILD = "cheap_rebuild"
    """Holding for the predicted pause costs more than a rebuild."""
    COSTLY_REBUILD = "costly_rebuild"
    """A rebuild costs more than holding for the predicted pause."""
    LONG_PAUSE = "long_pause"
    """The pause is predicted to outlast any hold, and others need the memory."""
    UNKNOWN_PAUSE = "unknown_pause"
    """No forecast."""


class CacheDecision(msgspec.Struct, frozen=True, kw_only=True):
    """What to do with a program's context, with the reason for people.

    Attributes:
        hold_seconds: Length of the hold; 0 unless the action is ``HOLD``.
    """

    action: CacheAction
    cause: CacheCause
    reason: str
    hold_seconds: float = 0.0


class ProgramPause(msgspec.Struct, frozen=True, kw_only=True):
    """A pause of a run, as the executor knows it from the log.

    Attributes:
        engine: Engine of the run's last finished model call.
        context_tokens: Tokens of context there after that call.
    """

    run: RunId
    cache_key: RunId
    tenant: str
    kind: PauseKind
    name: str
    engine: str
    context_tokens: int
    priority: int = 0
    worth: float = 1.0


class PlannedCacheAction(msgspec.Struct, frozen=True, kw_only=True):
    """A cache decision with where it is to be carried out."""

    engine: str
    address: Address
    decision: CacheDecision
