"""Which parts of prompts each engine has probably cached, from this node's own requests."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.forwarding.model import PromptPart

PrefixKey = str
"""The ids of a prompt's parts up to one of them; a part is of use only after all before it."""


class _EngineCache:
    """Prefixes of one engine, the one unused the longest first."""

    def __init__(self) -> None:
        self.tokens = 0
        self.prefixes: OrderedDict[PrefixKey, int] = OrderedDict()


class PrefixCacheIndex:
    """What each engine has read, bounded by its memory."""

    def __init__(self) -> None:
        """Believe that nothing is cached."""
        self._caches: dict[str, _EngineCache] = {}

    def cached_tokens(self, engine_id: str, parts: tuple[PromptPart, ...]) -> int:
        """Return how many leading tokens of a prompt an engine probably has.

        The last part of a line of turns grows from turn to turn under one identity.
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
        """Note that an engine reads a prompt; what does not fit its memory gives way."""
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
        """Forget an engine that is gone."""
        self._caches.pop(engine_id, None)


def _extend_key(key: PrefixKey, part: PromptPart) -> PrefixKey:
    return f"{key}/{part.part_id}"
