"""Pauses of programs and the decisions on their cached context."""

from __future__ import annotations

import enum

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import RunId
from yokeline.scheduling.forecast import PauseForecast


class PauseKind(enum.Enum):
    """What a program does between two model calls."""

    TOOL = "tool"
    """A tool call is in progress."""
    CHILD = "child"
    """A child run is in progress; the parent's context is not used."""
    TURN = "turn"
    """The turn is answered; the caller may send another one."""
    END = "end"
    """The program (or the child run) has ended; its context is not used again."""


class PauseContext(msgspec.Struct, frozen=True, kw_only=True):
    """Inputs of a cache decision.

    Attributes:
        run: The run that pauses.
        cache_key: Root run of its program; holds and releases use this key.
        name: Name of the tool or child program; of the program itself for other kinds.
        engine: Engine that holds the context.
        context_tokens: Tokens of context there.
        forecast: Distribution of the pause's length; None if unknown.
        prefill_rate: Observed prefill rate there, tokens per second.
        cache_tokens: Size of the engine's cache.
        cache_used: Tokens in the cache, as last reported.
        active_tokens: Context tokens of the active programs there, including this one.
        held_tokens: Tokens there under unexpired holds of this node.
        hold_max_seconds: Longest hold that the settings allow.
        worth: Weight of the program in fair sharing.
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
    """What to do with a program's cached context at an engine."""

    LEAVE = "leave"
    """Leave it to the engine's own eviction."""
    HOLD = "hold"
    """Pin it for ``hold_seconds``. The hold is a lease; it is released early when the program's
    next call at that engine has produced its first text."""
    DROP = "drop"
    """Free it now."""


class CacheCause(enum.Enum):
    """Why a cache decision was taken."""

    BASELINE = "baseline"
    ENDED = "ended"
    """No later call uses the context."""
    ROOM = "room"
    """The cache is not crowded, so the context is left to the engine."""
    CHEAP_REBUILD = "cheap_rebuild"
    """No context is cached at the engine, or holds already occupy their share of the cache."""
    COSTLY_REBUILD = "costly_rebuild"
    """The rebuild that a hold is expected to save costs more than the hold."""
    LONG_PAUSE = "long_pause"
    """A hold is expected to cost more than the rebuild it saves, or reuse is unlikely."""
    UNKNOWN_PAUSE = "unknown_pause"
    """The pause has no forecast."""


class CacheDecision(msgspec.Struct, frozen=True, kw_only=True):
    """What to do with a program's context, and the reason in words.

    Attributes:
        hold_seconds: Length of the hold; 0 unless the action is ``HOLD``.
    """

    action: CacheAction
    cause: CacheCause
    reason: str
    hold_seconds: float = 0.0


class ProgramPause(msgspec.Struct, frozen=True, kw_only=True):
    """A pause of a run, read from the run's log.

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
    """A cache decision and the engine to apply it at."""

    engine: str
    address: Address
    decision: CacheDecision
