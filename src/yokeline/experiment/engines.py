"""Model engines of the experiments: their parameters, and the engine model under simpy.

The parameters describe a 70-billion-parameter model (Llama 3 70B) with 8-bit weights on two
accelerators of the A100 80 GB class with tensor parallelism, as estimates by the roofline
model (Williams, Waterman and Patterson 2009) from published data sheets, as the emulator's
defaults do for a smaller model. They are not measurements of an engine:

- weights of 70 GB read once a step at 4.0 TB/s: 17.5 ms, plus 5 ms of launches and exchange;
- key-value cache of 320 KiB a token (80 layers, 8 key-value heads of 128, keys and values in
  16 bits): 8.2e-8 s a token of context and step at 4.0 TB/s;
- prefill of 140 GFLOP a token at half of 624 TFLOP/s: about 2,230 tokens a second;
- room for the cache: 90% of 160 GB less the weights: 74 GB, about 225,000 tokens;
- 2,048 tokens a step: the default of vLLM. Blocks of 64 tokens instead of its 16, since the
  model's own running time grows with the number of blocks.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec
import simpy

from yokeline.emulator.engine.books import ContextHistory
from yokeline.emulator.engine.calls import EngineOutput
from yokeline.emulator.engine.model import EngineModel
from yokeline.emulator.engine.parameters import EngineParameters

MODEL_NAME = "model-a"

AGENT_ENGINE = EngineParameters(
    step_seconds=0.0225,
    sequence_seconds=0.000_1,
    context_token_seconds=8.2e-8,
    prefill_tokens_per_second=2230.0,
    slots=32,
    queue_limit=100_000,
    block_tokens=64,
    cache_tokens=225_000,
    token_bytes=327_680,
    steps_per_event=1_000_000,
    models=(MODEL_NAME,),
    books_limit=1,
)
"""Only the first token of a stream is reported (``steps_per_event``): nobody reads the text.
The queue is long enough to refuse nothing, so that no baseline loses calls by it."""


def for_experiments(parameters: EngineParameters) -> EngineParameters:
    """Return an engine's parameters with what experiments need (see :data:`AGENT_ENGINE`)."""
    return msgspec.structs.replace(
        parameters,
        models=AGENT_ENGINE.models,
        queue_limit=AGENT_ENGINE.queue_limit,
        steps_per_event=AGENT_ENGINE.steps_per_event,
        books_limit=AGENT_ENGINE.books_limit,
    )


OutputHandler = Callable[[str, EngineOutput], None]


class SimulatedEngine:
    """An engine model whose events happen on a simpy clock.

    Attributes:
        name: ``pool/ip:port``, as in the engine directory.
        model: The engine model. Whoever changes it calls :meth:`reschedule` afterwards.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        name: str,
        parameters: EngineParameters,
        seed: str,
        history: ContextHistory,
        handle: OutputHandler,
    ) -> None:
        """Create an idle engine; ``handle`` gets what it puts out."""
        self.name = name
        self.model = EngineModel(parameters, random.Random(seed), history)
        self._environment = environment
        self._handle = handle
        self._due: float | None = None

    def reschedule(self) -> None:
        """Wake up when the model's next event is due."""
        time = self.model.next_time()
        if time is None or (self._due is not None and self._due <= time):
            return
        self._due = time
        delay = max(0.0, time - self._environment.now)
        wake = self._environment.timeout(delay, value=time)
        wake.callbacks.append(self._woken)

    def _woken(self, event: Any) -> None:
        if event.value != self._due:
            return
        self._due = None
        now = max(self._environment.now, event.value)
        for output in self.model.advance(now):
            self._handle(self.name, output)
        self.reschedule()
