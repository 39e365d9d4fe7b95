"""What an engine did, for checkers and experiments; yokeline itself never sees it."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence

import msgspec

from yokeline.emulator.engine.calls import FinishReason, Generation

HISTORY_KEYS = 20_000


class ExecutedCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call that the engine took, at its end.

    Attributes:
        recomputed_tokens: Prompt tokens computed though this cache key's context had them
            computed before (here, or at another engine that shares the history).
        attaches: Submissions with the same id after the first.
        started_at: When it left the queue; None if it never did.
    """

    call_id: str
    cache_key: str
    cache_salt: str
    model: str
    prompt_tokens: int
    cached_tokens: int
    recomputed_tokens: int
    completion_tokens: int
    attaches: int
    submitted_at: float
    started_at: float | None
    first_token_at: float | None
    ended_at: float
    reason: FinishReason


class ContextHistory:
    """Which blocks were ever computed for a cache key; engines may share one.

    The least recently used keys beyond :data:`HISTORY_KEYS` are forgotten.
    """

    def __init__(self) -> None:
        """Create an empty history."""
        self._computed: OrderedDict[str, set[int]] = OrderedDict()

    def count_known(self, cache_key: str, hashes: Sequence[int]) -> int:
        """Return how many of the blocks were computed before for the key."""
        known = self._computed.get(cache_key)
        return len(known.intersection(hashes)) if known else 0

    def add(self, cache_key: str, hashes: Sequence[int]) -> None:
        """Note computed blocks."""
        known = self._computed.setdefault(cache_key, set())
        known.update(hashes)
        self._computed.move_to_end(cache_key)
        if len(self._computed) > HISTORY_KEYS:
            self._computed.popitem(last=False)


class EngineTotals(msgspec.Struct, kw_only=True):
    """Totals of one engine.

    Attributes:
        prefill_tokens: Prompt tokens computed.
        cached_tokens: Prompt tokens found in the cache.
        recomputed_tokens: Part of ``prefill_tokens`` that was rebuilt.
        completion_tokens: Tokens generated.
        held_token_seconds: Tokens times seconds that holds pinned.
        wasted_hold_token_seconds: The part of it after the last use of the held context.
        evicted_blocks: Blocks evicted to make room.
        imported_tokens: Tokens brought in from other engines.
        busy_seconds: Time spent in steps.
        steps: Steps computed.
        refused: Calls refused at submission.
    """

    prefill_tokens: int = 0
    cached_tokens: int = 0
    recomputed_tokens: int = 0
    completion_tokens: int = 0
    held_token_seconds: float = 0.0
    wasted_hold_token_seconds: float = 0.0
    evicted_blocks: int = 0
    imported_tokens: int = 0
    busy_seconds: float = 0.0
    steps: int = 0
    refused: int = 0


class EngineBooks:
    """Totals and records of one engine.

    Attributes:
        totals: Running totals.
        calls: Calls at their end, in order.
        history: What was computed for which key.
    """

    def __init__(self, limit: int, history: ContextHistory | None = None) -> None:
        """Create empty books that keep the last ``limit`` calls."""
        self.totals = EngineTotals()
        self.calls: deque[ExecutedCall] = deque(maxlen=limit)
        self.history = history if history is not None else ContextHistory()

    def call_started(self, generation: Generation, block_tokens: int) -> None:
        """Count a prefill that starts, and which of its tokens are rebuilt."""
        call = generation.call
        found = generation.cached_tokens // block_tokens
        # The block of the last prompt token is computed in any case.
        reusable = (call.prompt.tokens - 1) // block_tokens
        missing = call.prompt.blocks[found:reusable]
        known = self.history.count_known(call.cache_key, missing)
        generation.recomputed_tokens = known * block_tokens
        self.totals.cached_tokens += generation.cached_tokens
        self.totals.recomputed_tokens += generation.recomputed_tokens

    def call_ended(self, generation: Generation) -> None:
        """Record a call at its end."""
        call = generation.call
        assert generation.ended_at is not None and generation.reason is not None
        self.totals.completion_tokens += generation.produced
        self.calls.append(
            ExecutedCall(
                call_id=call.call_id,
                cache_key=call.cache_key,
                cache_salt=call.prompt.salt,
                model=call.model,
                prompt_tokens=call.prompt.tokens,
                cached_tokens=generation.cached_tokens,
                recomputed_tokens=generation.recomputed_tokens,
                completion_tokens=generation.produced,
                attaches=generation.attaches,
                submitted_at=generation.submitted_at,
                started_at=generation.started_at,
                first_token_at=generation.first_token_at,
                ended_at=generation.ended_at,
                reason=generation.reason,
            )
        )

    def hold_ended(self, tokens: int, started: float, last_use: float, ended: float) -> None:
        """Count a hold at its end."""
        self.totals.held_token_seconds += tokens * (ended - started)
        self.totals.wasted_hold_token_seconds += tokens * (ended - last_use)
