"""Continuous batching: admission by priority, chunked prefill, decode in stretches.

At each step boundary waiting calls are admitted in order of priority, then arrival, while a
slot and memory are free (Yu et al. 2022, "Orca"). A step computes one token for each decoding
call and fills its token budget with chunks of prompts (chunked prefill). Room for the whole
answer is taken at admission, since the emulator knows its length ahead: a running call never
has to be put back for want of memory, unlike in a real engine.
"""

from __future__ import annotations

import heapq

from yokeline.emulator.engine.blocks import BlockPool
from yokeline.emulator.engine.books import EngineBooks
from yokeline.emulator.engine.calls import (
    CallEnded,
    CallPhase,
    CallProgress,
    EngineOutput,
    FinishReason,
    Generation,
)
from yokeline.emulator.engine.inventory import Inventory
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine.timing import Stretch


class ContinuousBatch:
    """The running and waiting calls of an engine.

    Attributes:
        outputs: What happened since they were last taken.
        waiting: Number of calls that wait.
    """

    def __init__(
        self,
        parameters: EngineParameters,
        pool: BlockPool,
        inventory: Inventory,
        books: EngineBooks,
    ) -> None:
        """Create an idle batch."""
        self.outputs: list[EngineOutput] = []
        self.waiting = 0
        self._parameters = parameters
        self._pool = pool
        self._inventory = inventory
        self._books = books
        scale = parameters.time_scale
        self._step_seconds = parameters.step_seconds / scale
        self._sequence_seconds = parameters.sequence_seconds / scale
        self._context_seconds = parameters.context_token_seconds / scale
        self._prefill_seconds = 1.0 / (parameters.prefill_tokens_per_second * scale)
        self._queue: list[tuple[int, int, Generation]] = []
        self._arrivals = 0
        self._blocked: tuple[int, int] | None = None
        self._prefilling: list[Generation] = []
        self._chunks: list[tuple[Generation, int]] = []
        self._finishes: list[tuple[int, int, Generation]] = []
        self._admissions = 0
        self._decoding = 0
        self._context = 0
        self._steps = 0
        self._streamed: dict[str, Generation] = {}
        self._cancelled: list[Generation] = []
        self._stretch: Stretch | None = None

    @property
    def running(self) -> int:
        """Return the number of calls in the batch."""
        return self._decoding + len(self._prefilling)

    def next_time(self) -> float | None:
        """Return when something can happen next; None while nothing runs."""
        return self._stretch.end if self._stretch else None

    # ------------------------------------------------------------ requests

    def add(self, generation: Generation, now: float) -> None:
        """Take a call into the queue."""
        self._arrivals += 1
        entry = (-generation.call.priority, self._arrivals, generation)
        heapq.heappush(self._queue, entry)
        self.waiting += 1
        self.poke(now)

    def poke(self, now: float) -> None:
        """Look at the queue soon: at once if idle, else after the step that runs."""
        if self._stretch is None:
            self._begin(now)
        elif self.waiting and self.running < self._parameters.slots:
            self._stretch.cut(now)

    def cancel(self, generation: Generation, now: float) -> None:
        """End a call: at once if it waits, else after the step that runs."""
        if generation.phase is CallPhase.WAITING:
            self.waiting -= 1
            self._record_end(generation, FinishReason.CANCELLED, now)
        elif generation.phase is not CallPhase.ENDED and self._stretch is not None:
            self._cancelled.append(generation)
            self._stretch.cut(now)

    def follow(self, generation: Generation, now: float) -> None:
        """Report a call's progress from now on."""
        generation.streamed = True
        if generation.phase is CallPhase.DECODE:
            self._streamed[generation.call.call_id] = generation
            self.refresh(generation)
            if self._stretch is not None:
                self._stretch.cut(now)

    def unfollow(self, generation: Generation) -> None:
        """Report a call's progress no longer."""
        generation.streamed = False
        self._streamed.pop(generation.call.call_id, None)

    def refresh(self, generation: Generation) -> None:
        """Bring the count of tokens produced up to the last step boundary."""
        if generation.phase is CallPhase.DECODE:
            generation.produced = 1 + self._steps - generation.first_step

    # ------------------------------------------------------------ steps

    def complete_stretch(self) -> None:
        """Carry out the stretch that ends next and begin the one after it."""
        stretch = self._stretch
        assert stretch is not None
        now = stretch.end
        self._steps += stretch.steps
        self._context += self._decoding * stretch.steps
        self._books.totals.steps += stretch.steps
        self._books.totals.busy_seconds += now - stretch.start
        self._apply_chunks(now)
        self._end_finished(now)
        self._report_progress(now)
        self._end_cancelled(now)
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._admit(now)
        if not self.running:
            self._stretch = None
            return
        first = (
            self._step_seconds
            + self._sequence_seconds * self._decoding
            + self._context_seconds * self._context
        )
        if self._prefilling:
            computed = self._plan_chunks()
            self._stretch = Stretch(now, 1, first + computed * self._prefill_seconds, 0.0)
            return
        growth = self._context_seconds * self._decoding
        self._stretch = Stretch(now, self._steps_ahead(), first, growth)

    def _steps_ahead(self) -> int:
        finishes = self._finishes
        while finishes[0][2].phase is CallPhase.ENDED:
            heapq.heappop(finishes)
        steps = finishes[0][0] - self._steps
        if self._streamed:
            every = self._parameters.steps_per_event
            steps = min(steps, every - self._steps % every)
        return steps

    def _plan_chunks(self) -> int:
        budget = max(self._parameters.step_tokens - self._decoding, 1)
        total = 0
        for generation in self._prefilling:
            chunk = min(generation.prefill_left, budget - total)
            if chunk <= 0:
                break
            self._chunks.append((generation, chunk))
            total += chunk
        return total

    def _apply_chunks(self, now: float) -> None:
        for generation, chunk in self._chunks:
            generation.prefill_left -= chunk
            self._books.totals.prefill_tokens += chunk
            if not generation.prefill_left:
                self._prefilling.remove(generation)
                self._start_decode(generation, now)
        self._chunks.clear()

    def _start_decode(self, generation: Generation, now: float) -> None:
        call = generation.call
        generation.transition_to_decode(now, self._steps)
        self._cache_up_to(generation, call.prompt.blocks, now)
        self._decoding += 1
        self._context += call.prompt.tokens + 1
        self._admissions += 1
        finish_step = self._steps + len(call.answer.words) - 1
        heapq.heappush(self._finishes, (finish_step, self._admissions, generation))
        if generation.streamed:
            self._streamed[call.call_id] = generation
            self.outputs.append(CallProgress(call_id=call.call_id, at=now, tokens=1))

    def _end_finished(self, now: float) -> None:
        finishes = self._finishes
        while finishes and finishes[0][0] <= self._steps:
            generation = heapq.heappop(finishes)[2]
            if generation.phase is CallPhase.DECODE:
                self._leave_decode(generation, now)
                answer = generation.call.answer
                reason = FinishReason.LENGTH if answer.cut else FinishReason.STOP
                if answer.tool_call is not None:
                    reason = FinishReason.TOOL_CALLS
                self._record_end(generation, reason, now)

    def _report_progress(self, now: float) -> None:
        if self._steps % self._parameters.steps_per_event:
            return
        for call_id, generation in self._streamed.items():
            self.refresh(generation)
            progress = CallProgress(call_id=call_id, at=now, tokens=generation.produced)
            self.outputs.append(progress)

    def _end_cancelled(self, now: float) -> None:
        for generation in self._cancelled:
            if generation.phase is CallPhase.DECODE:
                self._leave_decode(generation, now)
            elif generation.phase is CallPhase.PREFILL:
                self._prefilling.remove(generation)
                self._leave_prefill(generation, now)
            else:
                continue
            self._record_end(generation, FinishReason.CANCELLED, now)
        self._cancelled.clear()

    # ------------------------------------------------------------ admission and memory

    def _admit(self, now: float) -> None:
        queue = self._queue
        while queue and self.running < self._parameters.slots:
            arrival, generation = queue[0][1], queue[0][2]
            if generation.phase is CallPhase.ENDED:
                heapq.heappop(queue)
                continue
            situation = (arrival, self._pool.releases)
            if situation == self._blocked:
                return
            if not self._take_memory(generation, now):
                self._blocked = situation
                return
            heapq.heappop(queue)
            self.waiting -= 1
            self._prefilling.append(generation)

    def _take_memory(self, generation: Generation, now: float) -> bool:
        call = generation.call
        parameters = self._parameters
        # At least the last prompt token is computed, since it yields the first new token.
        usable = (call.prompt.tokens - 1) // parameters.block_tokens
        found = self._pool.matched(call.prompt.blocks[:usable])
        pinned = call.prompt.blocks[:found]
        needed = parameters.blocks_for(call.prompt.tokens + len(call.answer.words)) - found
        if not self._pool.fits(pinned, needed):
            return False
        self._pool.reference(pinned)
        self._inventory.make_room(needed, now)
        self._pool.reserve(needed)
        self._inventory.used(call.cache_key, now)
        generation.reserved_blocks = needed
        generation.transition_to_prefill(now, pinned, found * parameters.block_tokens)
        self._books.call_started(generation, parameters.block_tokens)
        return True

    def _cache_up_to(self, generation: Generation, chain: tuple[int, ...], now: float) -> None:
        """Put what has been computed of ``chain`` into the cache."""
        call = generation.call
        further = chain[len(generation.pinned) :]
        self._pool.fill(further)
        generation.reserved_blocks -= len(further)
        generation.pinned = chain
        self._inventory.own(call.cache_key, call.prompt.salt, chain, now)
        self._books.history.add(call.cache_key, further)

    def _leave_decode(self, generation: Generation, now: float) -> None:
        self.refresh(generation)
        self._streamed.pop(generation.call.call_id, None)
        self._decoding -= 1
        self._context -= generation.call.prompt.tokens + generation.produced
        # The last token's keys and values were never computed.
        words = generation.call.answer.words[: generation.produced - 1]
        self._cache_up_to(generation, generation.call.prompt.chain_with(words), now)
        self._give_back(generation)

    def _leave_prefill(self, generation: Generation, now: float) -> None:
        prompt = generation.call.prompt
        computed = (prompt.tokens - generation.prefill_left) // prompt.block_tokens
        self._cache_up_to(generation, prompt.blocks[:computed], now)
        self._give_back(generation)

    def _give_back(self, generation: Generation) -> None:
        self._pool.unreserve(generation.reserved_blocks)
        self._pool.release(generation.pinned)
        generation.reserved_blocks = 0
        generation.pinned = ()

    def _record_end(self, generation: Generation, reason: FinishReason, now: float) -> None:
        generation.transition_to_ended(now, reason)
        self._books.call_ended(generation)
        call_id, usage = generation.call.call_id, generation.usage()
        self.outputs.append(CallEnded(call_id=call_id, at=now, reason=reason, usage=usage))
