"""Parameters of the emulated model engine, with where their defaults come from.

The defaults describe an 8-billion-parameter model in 16 bits on one accelerator of the A100
80 GB class. They are estimates by the roofline model (Williams, Waterman and Patterson 2009)
from published data sheets, not measurements of an engine:

- weights of 16 GB read once a step at 2.0 TB/s: 8 ms, plus 2 ms of launch overhead;
- key-value cache of 128 KiB a token (32 layers, 8 key-value heads of 128, keys and values in
  16 bits; Llama 3 8B): 6.6e-8 s a token of context and step at 2.0 TB/s;
- prefill of 16 GFLOP a token at half of 312 TFLOP/s: about 10,000 tokens a second;
- block size 16 and 2,048 tokens a step: defaults of vLLM (chunked prefill after Agrawal et
  al. 2024, "Taming Throughput-Latency Tradeoff in LLM Inference with Sarathi-Serve").

A token of the emulated engine is a word separated by white space.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
Probability = Annotated[float, msgspec.Meta(ge=0, le=1)]


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What an emulated engine can do and how fast.

    Attributes:
        step_seconds: Time of a step of the batch before what is in it is counted.
        sequence_seconds: Added to a step by each decoding call.
        context_token_seconds: Added to a step by each token of context of the decoding calls.
        prefill_tokens_per_second: Rate of prefill.
        step_tokens: Most tokens (decode and prefill) that one step computes.
        slots: Calls that run at a time.
        queue_limit: Calls that may wait; more are refused.
        block_tokens: Tokens of a block of the key-value cache.
        cache_tokens: Size of the key-value cache.
        hold_fraction: Largest part of the cache that holds may pin.
        hold_max_seconds: Longest hold.
        token_bytes: Bytes of key-value cache a token, for transfers.
        transfer_bytes_per_second: Bandwidth of one export or import.
        transfer_setup_seconds: Time before a transfer's first byte.
        export_keep_seconds: Time an export can be fetched.
        result_keep_seconds: Time a finished call's text can be fetched.
        steps_per_event: Steps whose text is sent as one event.
        load_lag_seconds: Age of the state that load reports show.
        feed_lag_min_seconds: Least delay of a cache event.
        feed_lag_max_seconds: Most delay of a cache event.
        feed_gap_probability: Chance that a cache event is never shown.
        feed_limit: Cache events kept.
        models: Names of the models loaded from the start.
        model_limit: Models that fit at a time.
        adapter_limit: Adapters that fit at a time.
        model_load_seconds: Time to load a model where no weight store is configured.
        adapter_load_seconds: The same for an adapter.
        weight_bytes_per_second: Rate at which fetched weights are brought into memory.
        time_scale: Factor by which the engine is faster than life, for demonstrations.
        books_limit: Calls kept in the books.
    """

    step_seconds: PositiveFloat = 0.010
    sequence_seconds: NonNegativeFloat = 0.000_1
    context_token_seconds: NonNegativeFloat = 6.6e-8
    prefill_tokens_per_second: PositiveFloat = 10_000.0
    step_tokens: PositiveInt = 2048
    slots: PositiveInt = 32
    queue_limit: PositiveInt = 1000
    block_tokens: PositiveInt = 16
    cache_tokens: PositiveInt = 200_000
    hold_fraction: Probability = 0.5
    hold_max_seconds: PositiveFloat = 120.0
    token_bytes: PositiveInt = 131_072
    transfer_bytes_per_second: PositiveFloat = 12.5e9
    transfer_setup_seconds: NonNegativeFloat = 0.005
    export_keep_seconds: PositiveFloat = 60.0
    result_keep_seconds: PositiveFloat = 60.0
    steps_per_event: PositiveInt = 4
    load_lag_seconds: NonNegativeFloat = 1.0
    feed_lag_min_seconds: NonNegativeFloat = 0.1
    feed_lag_max_seconds: NonNegativeFloat = 2.0
    feed_gap_probability: Probability = 0.01
    feed_limit: PositiveInt = 10_000
    models: tuple[str, ...] = ("model-a",)
    model_limit: PositiveInt = 2
    adapter_limit: PositiveInt = 8
    model_load_seconds: NonNegativeFloat = 8.0
    adapter_load_seconds: NonNegativeFloat = 0.5
    weight_bytes_per_second: PositiveFloat = 5e9
    time_scale: PositiveFloat = 1.0
    books_limit: PositiveInt = 1_000_000

    @property
    def cache_blocks(self) -> int:
        """Return the number of blocks of the cache."""
        return self.cache_tokens // self.block_tokens

    def blocks_for(self, tokens: int) -> int:
        """Return the number of blocks that ``tokens`` tokens take."""
        return -(-tokens // self.block_tokens)

    def transfer_seconds(self, tokens: int) -> float:
        """Return the time that moving ``tokens`` tokens of cache takes."""
        moving = tokens * self.token_bytes / self.transfer_bytes_per_second
        return (self.transfer_setup_seconds + moving) / self.time_scale
