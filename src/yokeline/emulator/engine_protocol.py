"""Bodies of the model engine's HTTP protocol (OpenAI-style, with yokeline's additions)."""

from __future__ import annotations

import msgspec

from yokeline.emulator.engine.books import EngineTotals, ExecutedCall
from yokeline.emulator.engine.feed import CacheEvent
from yokeline.emulator.engine.inventory import CacheEntry
from yokeline.emulator.engine.prompt import FunctionCall, PromptMessage


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/chat/completions``; fields that the engine does not use are passed over."""

    model: str
    messages: tuple[PromptMessage, ...]
    max_tokens: int = 1024
    stream: bool = False
    priority: int = 0
    call_id: str = ""
    cache_key: str = ""
    cache_salt: str = ""
    fence: int = 0


class ToolCallDelta(msgspec.Struct, frozen=True, kw_only=True):
    """A whole tool call inside a delta."""

    index: int
    id: str
    type: str
    function: FunctionCall


class Delta(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What an event adds to the answer."""

    content: str | None = None
    tool_calls: tuple[ToolCallDelta, ...] = ()


class StreamChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of a streamed answer."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class PromptTokensDetails(msgspec.Struct, frozen=True, kw_only=True):
    """Where the prompt's tokens came from."""

    cached_tokens: int


class UsageBody(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens of a call."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int
    prompt_tokens_details: PromptTokensDetails


class StreamChunk(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Data of one server-sent event."""

    id: str
    object: str = "chat.completion.chunk"
    choices: tuple[StreamChoice, ...]
    usage: UsageBody | None = None


class AnswerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The assistant's message of an answer that is not streamed."""

    role: str
    content: str
    tool_calls: tuple[ToolCallDelta, ...] = ()


class WholeChoice(msgspec.Struct, frozen=True, kw_only=True):
    """The only choice of an answer that is not streamed."""

    message: AnswerMessage
    finish_reason: str
    index: int = 0


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """An answer that is not streamed."""

    id: str
    object: str
    choices: tuple[WholeChoice, ...]
    usage: UsageBody


class HoldRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/cache/holds``."""

    cache_key: str
    seconds: float
    cache_salt: str = ""
    fence: int = 0


class TokensBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a hold or an import."""

    tokens: int


class InventoryBody(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/cache``; ``sequence`` is that of the last event it includes."""

    entries: list[CacheEntry]
    sequence: int


class FeedBody(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/cache/events``."""

    events: tuple[CacheEvent, ...]
    sequence: int
    gap: bool


class ExportRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/cache/exports``."""

    cache_key: str


class ExportBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an export request."""

    export: str
    tokens: int


class ImportRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``POST /v1/cache/imports``; ``source`` is the exporting engine's ``ip:port``."""

    export: str
    source: str
    cache_key: str


class LoadBody(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /v1/load``: the state ``age_seconds`` ago."""

    running: int
    waiting: int
    cache_tokens_used: int
    cache_tokens: int
    models: tuple[str, ...]
    role: str
    draining: bool
    age_seconds: float


class DrainRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``PUT /emulator/drain`` (tests only)."""

    draining: bool


class BooksBody(msgspec.Struct, frozen=True, kw_only=True):
    """``GET /emulator/books`` (tests only)."""

    totals: EngineTotals
    calls: list[ExecutedCall]


class WeightsBody(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of the weight store once the weights have been sent."""

    name: str
    bytes: int
