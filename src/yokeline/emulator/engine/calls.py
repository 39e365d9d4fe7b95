"""Calls of the engine model and what it puts out about them."""

from __future__ import annotations

import enum

import msgspec

from yokeline.emulator.engine.prompt import Prompt, ToolCall
from yokeline.emulator.engine.script import Answer


class FinishReason(enum.Enum):
    """Why a call ended."""

    STOP = "stop"
    LENGTH = "length"
    TOOL_CALLS = "tool_calls"
    CANCELLED = "cancelled"


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """A call to the model.

    Attributes:
        call_id: Names the call; a further call with the same id attaches to it.
        cache_key: Whose context it is, for holds, inventory and release.
        priority: Higher goes first.
        streamed: Progress is wanted while it runs, not only the end.
    """

    call_id: str
    cache_key: str
    model: str
    prompt: Prompt
    answer: Answer
    priority: int = 0
    streamed: bool = False


class CallUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a call."""

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class CallProgress(msgspec.Struct, frozen=True, kw_only=True):
    """A streamed call has produced more tokens."""

    call_id: str
    at: float
    tokens: int


class CallEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A call has ended."""

    call_id: str
    at: float
    reason: FinishReason
    usage: CallUsage


class ImportEnded(msgspec.Struct, frozen=True, kw_only=True):
    """An import of cached context has ended; ``tokens`` of it are in the cache."""

    import_id: int
    at: float
    tokens: int


EngineOutput = CallProgress | CallEnded | ImportEnded


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A call was taken, or attached to the one with the same id that exists already."""

    attached: bool


class CallPhase(enum.Enum):
    """Where a call stands in the engine."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


class Generation:
    """A call as the engine keeps it, until some time after its end.

    Attributes:
        call: What was submitted.
        phase: Where it stands.
        cached_tokens: Prompt tokens found in the cache.
        prefill_left: Prompt tokens still to compute.
        first_step: Number of the decode step that made its first token.
        recomputed_tokens: Prompt tokens it computes that its cache key had computed before.
        produced: Tokens produced, as of the end or of the last progress.
        pinned: Hashes of the cached blocks that it references.
        reserved_blocks: Blocks it has room for that are not in the cache by hash yet.
        attaches: Submissions after the first.
    """

    __slots__ = (
        "attaches",
        "cached_tokens",
        "call",
        "ended_at",
        "first_step",
        "first_token_at",
        "phase",
        "pinned",
        "prefill_left",
        "produced",
        "reason",
        "recomputed_tokens",
        "reserved_blocks",
        "started_at",
        "streamed",
        "submitted_at",
        "tool_call",
    )

    def __init__(self, call: EngineCall, now: float) -> None:
        """Create the generation of a call that was just submitted."""
        self.call = call
        self.phase = CallPhase.WAITING
        self.streamed = call.streamed
        self.tool_call: ToolCall | None = call.answer.tool_call
        self.submitted_at = now
        self.started_at: float | None = None
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.reason: FinishReason | None = None
        self.cached_tokens = 0
        self.prefill_left = 0
        self.recomputed_tokens = 0
        self.first_step = 0
        self.produced = 0
        self.pinned: tuple[int, ...] = ()
        self.reserved_blocks = 0
        self.attaches = 0

    def text(self) -> str:
        """Return the answer's text so far (empty for a tool call)."""
        if self.tool_call is not None:
            return ""
        return " ".join(self.call.answer.words[: self.produced])

    def usage(self) -> CallUsage:
        """Return the tokens used so far."""
        return CallUsage(
            prompt_tokens=self.call.prompt.tokens,
            cached_tokens=self.cached_tokens,
            completion_tokens=self.produced,
        )

    def transition_to_prefill(self, now: float, pinned: tuple[int, ...], cached: int) -> None:
        """Enter the batch with ``pinned`` blocks and ``cached`` tokens found in the cache."""
        self.phase = CallPhase.PREFILL
        self.started_at = now
        self.pinned = pinned
        self.cached_tokens = cached
        self.prefill_left = self.call.prompt.tokens - cached

    def transition_to_decode(self, now: float, step: int) -> None:
        """The prompt is computed and the first token is there."""
        self.phase = CallPhase.DECODE
        self.first_token_at = now
        self.first_step = step
        self.produced = 1

    def transition_to_ended(self, now: float, reason: FinishReason) -> None:
        """The call is over."""
        self.phase = CallPhase.ENDED
        self.ended_at = now
        self.reason = reason
