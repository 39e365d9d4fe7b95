"""Messages of model engines apart from chat: cache, load and orders."""

from __future__ import annotations

import enum

import msgspec

from yokeline.identifiers import RunId


class CacheEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Context of a run that an engine holds in its cache."""

    cache_key: str
    cache_salt: str
    tokens: int
    held_seconds: float | None = None


class CacheInventory(msgspec.Struct, frozen=True, kw_only=True):
    """All entries of an engine's cache, as of event ``sequence``."""

    entries: tuple[CacheEntry, ...]
    sequence: int


class CacheEventKind(enum.Enum):
    """What happened to an entry."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of an engine's cache."""

    sequence: int
    kind: CacheEventKind
    cache_key: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True):
    """Changes after a sequence number; with ``gap`` some are missing for good."""

    events: tuple[CacheEvent, ...]
    sequence: int
    gap: bool


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of its load, ``age_seconds`` ago."""

    running: int
    waiting: int
    cache_tokens_used: int
    cache_tokens: int
    models: tuple[str, ...] = ()
    role: str = ""
    draining: bool = False
    age_seconds: float = 0.0


class CacheHold(msgspec.Struct, frozen=True, kw_only=True):
    """Keep a run's context in the cache for some seconds."""

    cache_key: RunId
    cache_salt: str
    seconds: float
    fence: int


class TokenCount(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a hold or an import covers."""

    tokens: int


class CacheExport(msgspec.Struct, frozen=True, kw_only=True):
    """A context made ready for another engine to import."""

    export: str
    tokens: int


class CacheImport(msgspec.Struct, frozen=True, kw_only=True):
    """Import an exported context from the engine at ``source`` (``ip:port``)."""

    export: str
    source: str
    cache_key: RunId


class OrderKind(enum.Enum):
    """Orders that change what an engine serves."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """A fenced order; refused if the engine has seen a higher fence."""

    fence: int
    order: OrderKind
    name: str
    version: str = ""


class ExportBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a request to export a context."""

    cache_key: RunId


class Accepted(msgspec.Struct, frozen=True, kw_only=True):
    """A request without a result was accepted."""
