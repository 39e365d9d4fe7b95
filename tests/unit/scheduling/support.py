"""Factories of demands, engines and pauses."""

from __future__ import annotations

import msgspec

from yokeline.effects import Address
from yokeline.identifiers import RunId
from yokeline.scheduling.engine_state_tracker import EngineConfig
from yokeline.scheduling.forecast import PauseForecast
from yokeline.scheduling.interface import CallDemand, EngineView, PauseContext, PauseKind

ADDRESS = Address("10.0.0.1", 80)
CACHE_TOKENS = 100_000
RUN = RunId("run-1")


def demand(**changes: object) -> CallDemand:
    """Return the demand of a new program."""
    base = CallDemand(
        run=RUN,
        cache_key=RUN,
        tenant="dallim",
        model="m",
        prompt_tokens=4000,
        completion_tokens=400,
        program="dallim/agent",
    )
    return msgspec.structs.replace(base, **changes)


def engine(name: str = "pool/e1", **changes: object) -> EngineView:
    """Return the view of an idle engine."""
    base = EngineView(
        name=name,
        address=ADDRESS,
        pool="pool",
        labels={},
        slots=4,
        running=0,
        waiting=0,
        cached_tokens=0,
        cache_tokens=CACHE_TOKENS,
        cache_used=0,
        prefill_rate=8000.0,
        decode_seconds=0.02,
        pending_prefill=0,
    )
    return msgspec.structs.replace(base, **changes)


def facts(name: str = "pool/e1") -> EngineConfig:
    """Return the configured values of an engine."""
    return EngineConfig(
        name=name, address=ADDRESS, pool="pool", labels={}, slots=4, cache_tokens=CACHE_TOKENS
    )


def pause(seconds: float | None = 1.0, **changes: object) -> PauseContext:
    """Return a tool pause of known length, of a root run at a crowded engine."""
    base = PauseContext(
        run=RUN,
        cache_key=RUN,
        tenant="dallim",
        kind=PauseKind.TOOL,
        name="roster",
        engine="pool/e1",
        context_tokens=4000,
        forecast=PauseForecast.exactly(seconds) if seconds is not None else None,
        prefill_rate=8000.0,
        cache_tokens=CACHE_TOKENS,
        cache_used=CACHE_TOKENS,
        active_tokens=CACHE_TOKENS,
        held_tokens=0,
        hold_max_seconds=60.0,
    )
    return msgspec.structs.replace(base, **changes)
