"""Fences of the leaders that send an engine calls and holds, per cache key."""

from __future__ import annotations

from collections import OrderedDict

FENCED = "fenced"
"""Type of the error that refuses a fence lower than one seen before."""

_KEYS_KEPT = 100_000


class FenceRegistry:
    """The highest fence seen for each cache key; the least recently used are forgotten."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._highest: OrderedDict[str, int] = OrderedDict()

    def admit(self, cache_key: str, fence: int) -> bool:
        """Note a fence; return whether what came with it may be done.

        Fence 0 and an empty key are not checked.
        """
        if not fence or not cache_key:
            return True
        if fence < self._highest.get(cache_key, 0):
            return False
        self._highest[cache_key] = fence
        self._highest.move_to_end(cache_key)
        if len(self._highest) > _KEYS_KEPT:
            self._highest.popitem(last=False)
        return True
