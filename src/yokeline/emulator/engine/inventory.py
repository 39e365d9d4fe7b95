"""Whose context the cache holds: entries by cache key, holds, and the feed about them."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from yokeline.emulator.engine.blocks import Block, BlockPool
from yokeline.emulator.engine.books import EngineBooks
from yokeline.emulator.engine.feed import CacheEventKind, CacheFeed
from yokeline.emulator.engine.parameters import EngineParameters


class CacheEntry(msgspec.Struct, frozen=True, kw_only=True):
    """What the cache holds for a key.

    Attributes:
        held_seconds: Time until its hold ends; None if it is not held.
    """

    cache_key: str
    cache_salt: str
    tokens: int
    held_seconds: float | None


class Hold:
    """Blocks of a key that stay in the cache until a time limit.

    Attributes:
        last_use: When a call last used the key's context (or the start of the hold).
    """

    __slots__ = ("blocks", "deadline", "last_use", "started")

    def __init__(self, blocks: tuple[int, ...], now: float, deadline: float) -> None:
        """Create a hold that starts at ``now``."""
        self.blocks = blocks
        self.started = now
        self.last_use = now
        self.deadline = deadline


class _Owner:
    __slots__ = ("blocks", "hold", "salt")

    def __init__(self, salt: str) -> None:
        self.salt = salt
        self.blocks: dict[int, None] = {}
        self.hold: Hold | None = None


class Inventory:
    """Entries of the cache by cache key, over the blocks of a pool."""

    def __init__(
        self,
        parameters: EngineParameters,
        pool: BlockPool,
        feed: CacheFeed,
        books: EngineBooks,
    ) -> None:
        """Create an empty inventory over ``pool``."""
        self._parameters = parameters
        self._pool = pool
        self._feed = feed
        self._books = books
        self._owners: dict[str, _Owner] = {}
        self._held_blocks = 0

    # ------------------------------------------------------------ content

    def make_room(self, count: int, now: float) -> bool:
        """Evict until ``count`` blocks are free; return whether that was possible."""
        evicted = self._pool.make_room(count)
        if evicted is None:
            return False
        self._books.totals.evicted_blocks += len(evicted)
        self._forget(evicted, now)
        return True

    def own(self, cache_key: str, salt: str, hashes: Sequence[int], now: float) -> None:
        """Note that cached blocks are part of a key's context."""
        if not hashes:
            return
        owner = self._owners.get(cache_key)
        if owner is None:
            owner = self._owners[cache_key] = _Owner(salt)
        mine = owner.blocks
        before = len(mine)
        for block_hash in hashes:
            if block_hash in mine:
                continue
            block = self._pool.get(block_hash)
            if block is not None:
                mine[block_hash] = None
                block.owners[cache_key] = None
        if len(mine) != before:
            self._feed.add(CacheEventKind.STORED, cache_key, self.tokens(cache_key), now)

    def blocks_of(self, cache_key: str) -> tuple[int, ...]:
        """Return the cached blocks of a key, oldest first."""
        owner = self._owners.get(cache_key)
        return tuple(owner.blocks) if owner else ()

    def salt_of(self, cache_key: str) -> str:
        """Return the salt of a key's context."""
        owner = self._owners.get(cache_key)
        return owner.salt if owner else ""

    def tokens(self, cache_key: str) -> int:
        """Return how many tokens of a key's context are cached."""
        owner = self._owners.get(cache_key)
        return len(owner.blocks) * self._parameters.block_tokens if owner else 0

    def drop(self, cache_key: str, now: float) -> None:
        """Drop a key's hold and its blocks, except those that others own or calls use."""
        self.release(cache_key, now)
        owner = self._owners.pop(cache_key, None)
        if owner is None:
            return
        for block_hash in reversed(owner.blocks):
            block = self._pool.get(block_hash)
            if block is None:
                continue
            del block.owners[cache_key]
            if not block.owners and not block.references:
                self._pool.remove(block)
        self._feed.add(CacheEventKind.EVICTED, cache_key, 0, now)

    def entries(self, now: float) -> list[CacheEntry]:
        """Return the whole inventory."""
        return [
            CacheEntry(
                cache_key=cache_key,
                cache_salt=owner.salt,
                tokens=len(owner.blocks) * self._parameters.block_tokens,
                held_seconds=owner.hold.deadline - now if owner.hold else None,
            )
            for cache_key, owner in self._owners.items()
        ]

    def _forget(self, blocks: list[Block], now: float) -> None:
        touched: dict[str, None] = {}
        for block in blocks:
            for cache_key in block.owners:
                del self._owners[cache_key].blocks[block.block_hash]
                touched[cache_key] = None
        for cache_key in touched:
            self._feed.add(CacheEventKind.EVICTED, cache_key, self.tokens(cache_key), now)
            owner = self._owners[cache_key]
            if not owner.blocks and owner.hold is None:
                del self._owners[cache_key]

    # ------------------------------------------------------------ holds

    @property
    def held_tokens(self) -> int:
        """Return the tokens that holds pin (blocks of two holds count twice)."""
        return self._held_blocks * self._parameters.block_tokens

    def hold(self, cache_key: str, salt: str, seconds: float, now: float) -> float | None:
        """Hold (or hold anew) what is cached of a key.

        Returns:
            The deadline of the hold; None where nothing is cached under the key and salt, or
            holds would pin more of the cache than they may.
        """
        owner = self._owners.get(cache_key)
        if owner is None or owner.salt != salt or not owner.blocks:
            return None
        already = len(owner.hold.blocks) if owner.hold else 0
        limit = self._parameters.hold_fraction * self._parameters.cache_blocks
        if self._held_blocks - already + len(owner.blocks) > limit:
            return None
        self.release(cache_key, now)
        deadline = now + min(seconds, self._parameters.hold_max_seconds)
        owner.hold = Hold(tuple(owner.blocks), now, deadline)
        self._held_blocks += len(owner.hold.blocks)
        self._pool.reference(owner.hold.blocks)
        return deadline

    def used(self, cache_key: str, now: float) -> None:
        """Note that a call uses a key's context."""
        owner = self._owners.get(cache_key)
        if owner is not None and owner.hold is not None:
            owner.hold.last_use = now

    def release(self, cache_key: str, now: float) -> bool:
        """End a key's hold; return whether there was one."""
        owner = self._owners.get(cache_key)
        if owner is None or owner.hold is None:
            return False
        hold = owner.hold
        owner.hold = None
        self._held_blocks -= len(hold.blocks)
        self._pool.release(hold.blocks)
        held_tokens = len(hold.blocks) * self._parameters.block_tokens
        self._books.hold_ended(held_tokens, hold.started, hold.last_use, now)
        return True

    def expire(self, cache_key: str, now: float) -> None:
        """End a key's hold if its deadline has come."""
        owner = self._owners.get(cache_key)
        if owner is not None and owner.hold is not None and owner.hold.deadline <= now:
            self.release(cache_key, now)
