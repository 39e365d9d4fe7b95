"""Memory of the key-value cache: blocks by hash, references, and eviction.

Blocks that nothing references stay cached until their room is needed; the least recently
released goes first, and of blocks released together the last of the chain goes first, so
that a prefix outlives what extends it (as in vLLM).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence


class Block:
    """A block of the cache.

    Attributes:
        references: Running calls and holds that need it.
        owners: Cache keys whose context it is part of (insertion order).
    """

    __slots__ = ("block_hash", "owners", "references")

    def __init__(self, block_hash: int) -> None:
        """Create a block that nothing references yet."""
        self.block_hash = block_hash
        self.references = 0
        self.owners: dict[str, None] = {}


class BlockPool:
    """The blocks of one engine.

    Attributes:
        capacity: Number of blocks that fit.
        reserved: Blocks promised to running calls that have no hash yet.
        releases: Counts changes that may have made room, so that waiting can be cheap.
    """

    def __init__(self, capacity: int) -> None:
        """Create an empty pool."""
        self.capacity = capacity
        self.reserved = 0
        self.releases = 0
        self._blocks: dict[int, Block] = {}
        self._idle: OrderedDict[int, Block] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of blocks cached by hash."""
        return len(self._blocks)

    @property
    def used(self) -> int:
        """Return the number of blocks taken."""
        return len(self._blocks) + self.reserved

    @property
    def available(self) -> int:
        """Return the number of blocks that are free or can be evicted."""
        return self.capacity - self.used + len(self._idle)

    def get(self, block_hash: int) -> Block | None:
        """Return the block with a hash."""
        return self._blocks.get(block_hash)

    def matched(self, chain: Sequence[int]) -> int:
        """Return how many leading blocks of a chain are cached."""
        blocks = self._blocks
        for count, block_hash in enumerate(chain):
            if block_hash not in blocks:
                return count
        return len(chain)

    def fits(self, pinned: Sequence[int], count: int) -> bool:
        """Return whether ``count`` blocks can be made free while ``pinned`` ones stay."""
        blocks = self._blocks
        idle = sum(1 for block_hash in pinned if not blocks[block_hash].references)
        return count <= self.available - idle

    def reference(self, hashes: Sequence[int]) -> None:
        """Reference cached blocks, so that they stay."""
        blocks = self._blocks
        for block_hash in hashes:
            block = blocks[block_hash]
            if not block.references:
                del self._idle[block_hash]
            block.references += 1

    def release(self, hashes: Sequence[int]) -> list[Block]:
        """Drop references; return the blocks that left the cache since nobody owns them."""
        self.releases += 1
        ownerless: list[Block] = []
        for block_hash in reversed(hashes):
            block = self._blocks[block_hash]
            block.references -= 1
            if block.references:
                continue
            self._idle[block_hash] = block
            if not block.owners:
                ownerless.append(block)
        for block in ownerless:
            self.remove(block)
        return ownerless

    def remove(self, block: Block) -> None:
        """Take an unreferenced block out of the cache."""
        self.releases += 1
        del self._idle[block.block_hash]
        del self._blocks[block.block_hash]

    def make_room(self, count: int) -> list[Block] | None:
        """Make ``count`` blocks free; return what was evicted, None if it cannot be done."""
        if count > self.available:
            return None
        evicted: list[Block] = []
        shortage = count - (self.capacity - self.used)
        for _ in range(shortage):
            block_hash, block = self._idle.popitem(last=False)
            del self._blocks[block_hash]
            evicted.append(block)
        return evicted

    def reserve(self, count: int) -> None:
        """Take free blocks for a call that will fill them."""
        self.reserved += count

    def unreserve(self, count: int) -> None:
        """Give back blocks that were not filled."""
        self.reserved -= count
        self.releases += 1

    def fill(self, hashes: Sequence[int]) -> int:
        """Turn reserved blocks into cached, referenced ones.

        A block that another call has cached meanwhile is shared instead; the reserved one
        becomes free.

        Returns:
            How many blocks are new in the cache.
        """
        new = 0
        for block_hash in hashes:
            block = self._blocks.get(block_hash)
            if block is None:
                block = self._blocks[block_hash] = Block(block_hash)
                new += 1
            elif not block.references:
                del self._idle[block_hash]
            block.references += 1
        self.reserved -= len(hashes)
        return new
