"""Estimates which prompt prefixes each engine has cached, from this node's own requests."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.forwarding.model import PromptPart

PrefixKey = str
"""Ids of a prompt's parts up to one part; a cached part is usable only together with all parts
before it."""


class _EngineCache:
    """Prefixes of one engine, least recently used first."""

    def __init__(self) -> None:
        self.tokens = 0
        self.prefixes: OrderedDict[PrefixKey, int] = OrderedDict()


class PrefixCacheIndex:
    """Estimated prefix cache of each engine, bounded by the engine's memory."""

    def __init__(self) -> None:
        """Start with empty caches."""
        self._caches: dict[str, _EngineCache] = {}

    def cached_tokens(self, engine_id: str, parts: tuple[PromptPart, ...]) -> int:
        """Return how many leading tokens of a prompt an engine has probably cached.

        The last part of a session's prompt grows from turn to turn under one id, so a part may be
        cached in part.
        """
        cache = self._caches.get(engine_id)
        if cache is None:
            return 0
        tokens = 0
        key = ""
        for part in parts:
            key = _extend_key(key, part)
            cached = cache.prefixes.get(key, 0)
            tokens += min(cached, part.tokens)
            if cached < part.tokens:
                break
        return tokens

    def record_prompt(
        self, engine_id: str, parts: tuple[PromptPart, ...], memory_tokens: int
    ) -> None:
        """Record that an engine processes a prompt; evict prefixes beyond its memory."""
        cache = self._caches.setdefault(engine_id, _EngineCache())
        key = ""
        for part in parts:
            key = _extend_key(key, part)
            cache.tokens += part.tokens - cache.prefixes.pop(key, 0)
            cache.prefixes[key] = part.tokens
        while cache.tokens > memory_tokens and cache.prefixes:
            _, tokens = cache.prefixes.popitem(last=False)
            cache.tokens -= tokens

    def remove_engine(self, engine_id: str) -> None:
        """Remove an engine."""
        self._caches.pop(engine_id, None)


def _extend_key(key: PrefixKey, part: PromptPart) -> PrefixKey:
    return f"{key}/{part.part_id}"
