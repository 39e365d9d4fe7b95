"""The chat completions protocol of model engines: request bodies and stream chunks."""

from __future__ import annotations

import msgspec

from yokeline.identifiers import RunId
from yokeline.runs.model import ChatMessage, ToolRequest, Usage

STREAM_END = b"[DONE]"
FUNCTION_TYPE = "function"


class FunctionCall(msgspec.Struct, frozen=True, kw_only=True):
    """Name and JSON arguments of a tool call."""

    name: str
    arguments: str = "{}"


class ToolCallPart(msgspec.Struct, frozen=True, kw_only=True):
    """A tool call inside a message or a chunk."""

    id: str
    function: FunctionCall
    type: str = FUNCTION_TYPE
    index: int = 0


class MessagePart(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A message of the context."""

    role: str
    content: str
    tool_calls: tuple[ToolCallPart, ...] = ()
    tool_call_id: str = ""


class FunctionName(msgspec.Struct, frozen=True, kw_only=True):
    """Name of a function that the model may call."""

    name: str


class ToolPart(msgspec.Struct, frozen=True, kw_only=True):
    """A tool that the model may call."""

    function: FunctionName
    type: str = FUNCTION_TYPE


class ChatCall(msgspec.Struct, frozen=True, kw_only=True):
    """A model call.

    Attributes:
        call_id: Names the generation at the engine, for resume and cancel.
        cache_key: Root run whose context it is.
        cache_salt: Keeps tenants' cached contexts apart.
        fence: Term of the leader that sends it.
        tools: Names of tools and child programs that the model may call.
    """

    call_id: str
    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int
    cache_key: RunId
    cache_salt: str
    fence: int
    priority: int = 0
    tools: tuple[str, ...] = ()


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: tuple[MessagePart, ...]
    max_tokens: int
    priority: int
    call_id: str
    cache_key: str
    cache_salt: str
    fence: int
    tools: tuple[ToolPart, ...] = ()
    stream: bool = True


class Delta(msgspec.Struct, frozen=True, kw_only=True):
    """What a chunk adds to the answer."""

    content: str | None = None
    tool_calls: tuple[ToolCallPart, ...] = ()


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The one choice of a chunk."""

    delta: Delta = Delta()
    finish_reason: str | None = None


class PromptTokensDetails(msgspec.Struct, frozen=True, kw_only=True):
    """Part of the prompt that was found in the cache."""

    cached_tokens: int = 0


class ChunkUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Usage as the engine counts it."""

    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: PromptTokensDetails = PromptTokensDetails()

    def as_usage(self) -> Usage:
        """Return it as the usage of one call; impossible figures are clipped."""
        prompt = max(0, self.prompt_tokens)
        cached = min(prompt, max(0, self.prompt_tokens_details.cached_tokens))
        return Usage(
            prompt_tokens=prompt,
            cached_tokens=cached,
            completion_tokens=max(0, self.completion_tokens),
            calls=1,
        )


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """One event of the stream."""

    choices: tuple[Choice, ...] = ()
    usage: ChunkUsage | None = None


def encode_body(call: ChatCall) -> bytes:
    """Return the JSON body of a model call."""
    body = ChatBody(
        model=call.model,
        messages=tuple(_message_part(message) for message in call.messages),
        max_tokens=call.max_tokens,
        priority=call.priority,
        call_id=call.call_id,
        cache_key=call.cache_key,
        cache_salt=call.cache_salt,
        fence=call.fence,
        tools=tuple(ToolPart(function=FunctionName(name=name)) for name in call.tools),
    )
    return msgspec.json.encode(body)


def _message_part(message: ChatMessage) -> MessagePart:
    return MessagePart(
        role=message.role.value,
        content=message.content,
        tool_calls=tuple(
            _tool_call_part(index, request) for index, request in enumerate(message.tool_requests)
        ),
        tool_call_id=message.tool_request,
    )


def _tool_call_part(index: int, request: ToolRequest) -> ToolCallPart:
    function = FunctionCall(name=request.name, arguments=request.arguments)
    return ToolCallPart(id=request.identity, function=function, index=index)


def as_tool_request(part: ToolCallPart) -> ToolRequest:
    """Return a chunk's tool call as a request of the run's history."""
    return ToolRequest(identity=part.id, name=part.function.name, arguments=part.function.arguments)
