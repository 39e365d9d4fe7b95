"""Exports and imports of cached context between engines."""

from __future__ import annotations

import heapq
import random

import msgspec

from yokeline.emulator.engine.blocks import BlockPool
from yokeline.emulator.engine.books import EngineBooks
from yokeline.emulator.engine.calls import ImportEnded
from yokeline.emulator.engine.inventory import Inventory
from yokeline.emulator.engine.parameters import EngineParameters

_EXPORT_ID_BITS = 64


class Export(msgspec.Struct, frozen=True, kw_only=True):
    """Cached context of a key, ready to be fetched by another engine.

    Attributes:
        export: Id of the export at its engine.
        blocks: Hashes of the blocks, oldest first (they stand for the keys and values).
    """

    export: str
    cache_key: str
    cache_salt: str
    tokens: int
    blocks: tuple[int, ...]


class ExportShelf:
    """Exports that can still be fetched."""

    def __init__(self, keep_seconds: float, source: random.Random) -> None:
        """Create an empty shelf that keeps exports for ``keep_seconds``."""
        self._keep_seconds = keep_seconds
        self._source = source
        self._exports: dict[str, tuple[float, Export]] = {}

    def add(
        self, cache_key: str, salt: str, blocks: tuple[int, ...], tokens: int, now: float
    ) -> Export:
        """Put an export on the shelf."""
        self._forget(now)
        export = Export(
            # Random, so that an engine that was restarted does not take an old id for its own.
            export=f"export-{self._source.getrandbits(_EXPORT_ID_BITS):016x}",
            cache_key=cache_key,
            cache_salt=salt,
            tokens=tokens,
            blocks=blocks,
        )
        self._exports[export.export] = (now + self._keep_seconds, export)
        return export

    def get(self, export: str, now: float) -> Export | None:
        """Return an export, None if it is unknown or too old."""
        self._forget(now)
        kept = self._exports.get(export)
        return kept[1] if kept else None

    def _forget(self, now: float) -> None:
        while self._exports:
            oldest = next(iter(self._exports))
            if self._exports[oldest][0] > now:
                return
            del self._exports[oldest]


class ImportQueue:
    """Imports under way: each brings its blocks into the cache when its transfer ends."""

    def __init__(
        self,
        parameters: EngineParameters,
        pool: BlockPool,
        inventory: Inventory,
        books: EngineBooks,
    ) -> None:
        """Create an empty queue of imports into ``pool``."""
        self._parameters = parameters
        self._pool = pool
        self._inventory = inventory
        self._books = books
        self._count = 0
        self._ends: list[tuple[float, int, Export]] = []

    def begin(self, export: Export, now: float) -> int:
        """Begin to bring an export in; return the number of the import."""
        self._count += 1
        end = now + self._parameters.transfer_seconds(export.tokens)
        heapq.heappush(self._ends, (end, self._count, export))
        return self._count

    def next_time(self) -> float | None:
        """Return when the next import ends."""
        return self._ends[0][0] if self._ends else None

    def complete(self) -> ImportEnded:
        """Carry out the end of the import that ends next.

        Where memory is short, the beginning of the context is kept, since the rest is of no
        use without it.
        """
        now, number, export = heapq.heappop(self._ends)
        pool = self._pool
        missing = [block for block in export.blocks if pool.get(block) is None]
        arriving = missing[: pool.available]
        self._inventory.make_room(len(arriving), now)
        pool.reserve(len(arriving))
        pool.fill(arriving)
        present = [block for block in export.blocks if pool.get(block) is not None]
        self._inventory.own(export.cache_key, export.cache_salt, present, now)
        pool.release(arriving)
        self._books.totals.imported_tokens += len(arriving) * self._parameters.block_tokens
        tokens = len(present) * self._parameters.block_tokens
        return ImportEnded(import_id=number, at=now, tokens=tokens)
