"""The engine model: batch, cache, holds, transfers and reports behind one object.

It knows no HTTP and no sockets: ``engine_service`` gives it an HTTP face, and large
experiments use it directly. Every method takes the time; time must not run backwards.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

from returns.result import Failure, Result, Success

from yokeline.emulator.engine.batch import ContinuousBatch
from yokeline.emulator.engine.blocks import BlockPool
from yokeline.emulator.engine.books import ContextHistory, EngineBooks
from yokeline.emulator.engine.calls import (
    CallEnded,
    CallPhase,
    EngineCall,
    EngineOutput,
    Generation,
    Submission,
)
from yokeline.emulator.engine.feed import CacheEventPage, CacheFeed
from yokeline.emulator.engine.inventory import CacheEntry, Inventory
from yokeline.emulator.engine.load import LoadHistory, LoadState
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine.registry import ModelRegistry
from yokeline.emulator.engine.transfers import Export, ExportShelf, ImportQueue
from yokeline.errors import ErrorKind, YokelineError

_RETRY_SECONDS = 1.0


class EngineModel:
    """A model engine that batches continuously over a prefix cache.

    Attributes:
        parameters: What it can do and how fast.
        books: What it did, for checkers.
        registry: Models, role and fence of orders.
        draining: It takes no new calls.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        source: random.Random,
        history: ContextHistory | None = None,
    ) -> None:
        """Create an idle engine.

        Args:
            parameters: What it can do and how fast.
            source: The only source of chance (lag and gaps of the event feed).
            history: Shared by engines whose rebuilt context is to be counted together.
        """
        self.parameters = parameters
        self.books = EngineBooks(parameters.books_limit, history)
        self.registry = ModelRegistry(parameters)
        self.draining = False
        self._pool = BlockPool(parameters.cache_blocks)
        self._feed = CacheFeed(parameters, source)
        self._inventory = Inventory(parameters, self._pool, self._feed, self.books)
        self._batch = ContinuousBatch(parameters, self._pool, self._inventory, self.books)
        self._load = LoadHistory(parameters.load_lag_seconds)
        self._exports = ExportShelf(parameters.export_keep_seconds, source)
        self._imports = ImportQueue(parameters, self._pool, self._inventory, self.books)
        self._generations: dict[str, Generation] = {}
        self._ended: deque[Generation] = deque()
        self._hold_ends: list[tuple[float, int, str]] = []
        self._holds_made = 0
        self._now = 0.0

    # ------------------------------------------------------------ time

    def advance(self, now: float) -> list[EngineOutput]:
        """Carry out everything up to ``now``; return what happened since the last call."""
        # Whoever takes the outputs can still ask for the calls that ended since the last time.
        self._forget_results(self._now)
        self._advance(now)
        outputs = self._batch.outputs
        self._batch.outputs = []
        return outputs

    def next_time(self) -> float | None:
        """Return when something happens next; None while the engine is idle."""
        hold = self._hold_ends[0][0] if self._hold_ends else None
        times = (hold, self._imports.next_time(), self._batch.next_time())
        return min((time for time in times if time is not None), default=None)

    @property
    def now(self) -> float:
        """Return the time up to which everything is carried out."""
        return self._now

    def _advance(self, now: float) -> None:
        before = len(self._batch.outputs)
        while True:
            time = self.next_time()
            if time is None or time > now:
                break
            self._now = time
            self._carry_out(time)
            self._record_load()
        self._now = max(self._now, now)
        self._keep_ended(before)

    def _carry_out(self, time: float) -> None:
        if self._hold_ends and self._hold_ends[0][0] <= time:
            self._inventory.expire(heapq.heappop(self._hold_ends)[2], time)
            self._batch.poke(time)
        elif self._imports.next_time() == time:
            self._batch.outputs.append(self._imports.complete())
        else:
            self._batch.complete_stretch()

    def _record_load(self) -> None:
        state = LoadState(
            running=self._batch.running,
            waiting=self._batch.waiting,
            cache_tokens_used=self._pool.used * self.parameters.block_tokens,
        )
        self._load.record(state, self._now)

    # ------------------------------------------------------------ calls

    def submit(self, call: EngineCall, now: float) -> Result[Submission, YokelineError]:
        """Take a call, or attach to the one with the same id.

        Returns:
            A failure means that the call was not run: ``LIMIT_EXCEEDED`` when the queue is
            full, ``UNAVAILABLE`` when the engine leaves or the model is not loaded,
            ``BAD_REQUEST`` when the call cannot ever fit.
        """
        self._advance(now)
        known = self._generations.get(call.call_id)
        if known is not None:
            known.attaches += 1
            return Success(Submission(attached=True))
        refusal = self._refusal(call)
        if refusal is not None:
            self.books.totals.refused += 1
            return Failure(refusal)
        generation = Generation(call, now)
        self._generations[call.call_id] = generation
        self._batch.add(generation, now)
        self._record_load()
        return Success(Submission(attached=False))

    def _refusal(self, call: EngineCall) -> YokelineError | None:
        if self.draining:
            return _unavailable("the engine is leaving", "use another engine", None)
        if not self.registry.ready(call.model):
            message = f"model {call.model} is not loaded"
            return _unavailable(message, "load it, or use another engine", _RETRY_SECONDS)
        tokens = call.prompt.tokens + len(call.answer.words)
        if self.parameters.blocks_for(tokens) > self.parameters.cache_blocks:
            return YokelineError(
                kind=ErrorKind.BAD_REQUEST,
                message=f"context of {tokens} tokens does not fit the cache",
                remedy="shorten the context",
            )
        if self._batch.waiting >= self.parameters.queue_limit:
            return YokelineError(
                kind=ErrorKind.LIMIT_EXCEEDED,
                message="the queue is full",
                remedy="retry later",
                retry_after=_RETRY_SECONDS,
            )
        return None

    def cancel(self, call_id: str, now: float) -> bool:
        """Cancel a call; return whether it was known and not over."""
        self._advance(now)
        generation = self._generations.get(call_id)
        if generation is None or generation.phase is CallPhase.ENDED:
            return False
        before = len(self._batch.outputs)
        self._batch.cancel(generation, now)
        self._keep_ended(before)
        self._record_load()
        return True

    def generation(self, call_id: str, now: float) -> Generation | None:
        """Return a call with what it has produced; None if unknown or forgotten."""
        self._advance(now)
        generation = self._generations.get(call_id)
        if generation is not None:
            self._batch.refresh(generation)
        return generation

    def follow(self, call_id: str, now: float) -> None:
        """Report a call's progress from now on."""
        generation = self.generation(call_id, now)
        if generation is not None:
            self._batch.follow(generation, now)

    def unfollow(self, call_id: str) -> None:
        """Report a call's progress no longer; the call itself goes on."""
        generation = self._generations.get(call_id)
        if generation is not None:
            self._batch.unfollow(generation)

    def _keep_ended(self, first_output: int) -> None:
        for output in self._batch.outputs[first_output:]:
            if isinstance(output, CallEnded):
                self._ended.append(self._generations[output.call_id])

    def _forget_results(self, now: float) -> None:
        oldest = now - self.parameters.result_keep_seconds
        while self._ended:
            generation = self._ended[0]
            if generation.ended_at is not None and generation.ended_at > oldest:
                return
            self._ended.popleft()
            self._generations.pop(generation.call.call_id, None)

    # ------------------------------------------------------------ cache

    def hold(self, cache_key: str, salt: str, seconds: float, now: float) -> int:
        """Hold what is cached of a key; return the tokens held (0: nothing is held)."""
        self._advance(now)
        deadline = self._inventory.hold(cache_key, salt, seconds, now)
        if deadline is None:
            return 0
        self._holds_made += 1
        heapq.heappush(self._hold_ends, (deadline, self._holds_made, cache_key))
        return self._inventory.tokens(cache_key)

    def release(self, cache_key: str, now: float) -> bool:
        """End a key's hold; return whether there was one."""
        self._advance(now)
        released = self._inventory.release(cache_key, now)
        self._batch.poke(now)
        return released

    def drop(self, cache_key: str, now: float) -> None:
        """Drop a key's hold and cached context."""
        self._advance(now)
        self._inventory.drop(cache_key, now)
        self._batch.poke(now)
        self._record_load()

    def entries(self, now: float) -> list[CacheEntry]:
        """Return what the cache holds, by key."""
        self._advance(now)
        return self._inventory.entries(now)

    @property
    def feed_sequence(self) -> int:
        """Return the sequence number of the last cache event, shown or not."""
        return self._feed.sequence

    def read_feed(self, after: int, now: float) -> CacheEventPage:
        """Return the visible cache events after a sequence number."""
        self._advance(now)
        return self._feed.read(after, now)

    def export(self, cache_key: str, now: float) -> Export | None:
        """Make a key's cached context fetchable; None if nothing is cached."""
        self._advance(now)
        blocks = self._inventory.blocks_of(cache_key)
        if not blocks:
            return None
        salt = self._inventory.salt_of(cache_key)
        tokens = self._inventory.tokens(cache_key)
        return self._exports.add(cache_key, salt, blocks, tokens, now)

    def exported(self, export: str, now: float) -> Export | None:
        """Return an export that another engine asks for."""
        return self._exports.get(export, now)

    def import_blocks(self, export: Export, now: float) -> int:
        """Begin to bring in another engine's export; return the number of the import.

        An :class:`ImportEnded` with that number follows after the transfer time.
        """
        self._advance(now)
        return self._imports.begin(export, now)

    # ------------------------------------------------------------ reports

    def load(self, now: float) -> LoadState:
        """Return the load as reports show it: late."""
        self._advance(now)
        self._record_load()
        return self._load.reported(now)

    @property
    def busy(self) -> bool:
        """Return whether calls run or wait."""
        return self._batch.running + self._batch.waiting > 0


def _unavailable(message: str, remedy: str, retry_after: float | None) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.UNAVAILABLE, message=message, remedy=remedy, retry_after=retry_after
    )
