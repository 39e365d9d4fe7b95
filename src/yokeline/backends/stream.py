"""One generation's stream: text, tool calls and usage gathered over reconnections."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from returns.result import Failure, Result, Success

from yokeline.backends.chat import STREAM_END, Chunk, ToolCallPart, as_tool_request
from yokeline.backends.outcomes import (
    connection_failed,
    decode_json,
    failed,
    is_client_error,
    is_success,
    malformed,
    refused,
)
from yokeline.effects import HttpFailed, HttpResponse, HttpStreamEnded, HttpStreamItem
from yokeline.errors import YokelineError
from yokeline.runs.model import ToolRequest, Usage
from yokeline.server.context import HttpAnswer


class TextReceived(msgspec.Struct, frozen=True, kw_only=True):
    """More text of the answer; ``offset`` is the number of characters after it."""

    text: str
    offset: int


class ModelAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of a model."""

    text: str
    tool_requests: tuple[ToolRequest, ...]
    usage: Usage
    finish_reason: str


class AnswerComplete(msgspec.Struct, frozen=True, kw_only=True):
    """The generation ended and its answer is whole."""

    answer: ModelAnswer


class StreamBroken(msgspec.Struct, frozen=True, kw_only=True):
    """The stream ended early; the generation may go on at the engine.

    Attributes:
        refused: The engine did not take the call (``error`` says when to retry).
        lost: The engine does not know the call.
    """

    error: YokelineError
    refused: bool = False
    lost: bool = False


StreamEvent = TextReceived | AnswerComplete | StreamBroken
StreamHandler = Callable[[StreamEvent], None]

WHOLE_ANSWER_REASONS = frozenset({"stop", "length", "tool_calls"})
"""Finish reasons of answers that are whole; a cancelled generation has another one."""
TOOL_CALLS_REASON = "tool_calls"
LENGTH_REASON = "length"
UNAVAILABLE_STATUSES = frozenset({HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE})


class ModelStream:
    """Reads the events of one generation, over several connections if need be.

    Attributes:
        length: Characters of the answer received so far.
        chunks_received: Events with text; an estimate of generated tokens.
    """

    def __init__(self, engine: str, handler: StreamHandler) -> None:
        """Create a stream from offset 0 whose events go to ``handler``."""
        self._engine = engine
        self._handler = handler
        self._parts: list[str] = []
        self._tool_calls: dict[int, ToolCallPart] = {}
        self._usage: Usage | None = None
        self._finish_reason = ""
        self._closed = False
        self.length = 0
        self.chunks_received = 0

    def receive(self, answer: HttpAnswer) -> None:
        """Take one answer of the transport in."""
        if self._closed:
            return
        match answer:
            case HttpResponse():
                self._receive_head(answer)
            case HttpStreamItem():
                self._receive_item(answer)
            case HttpStreamEnded():
                self._break(malformed(self._engine, "the stream ended before its last event"))
            case HttpFailed():
                self._break(connection_failed(self._engine, answer))

    def reopen(self) -> None:
        """Go on from :attr:`length` over a new connection."""
        self._closed = False

    def close(self) -> None:
        """Take nothing more in."""
        self._closed = True

    def _receive_head(self, response: HttpResponse) -> None:
        if is_success(response.status):
            return
        self._closed = True
        self._handler(_refusal(self._engine, response))

    def _receive_item(self, item: HttpStreamItem) -> None:
        if item.data == STREAM_END:
            self._complete()
            return
        decoded = decode_json(item.data, Chunk, self._engine)
        if isinstance(decoded, Failure):
            self._break(decoded.failure())
            return
        self._receive_chunk(decoded.unwrap(), item.event_id)

    def _receive_chunk(self, chunk: Chunk, event_id: str) -> None:
        if chunk.usage is not None:
            self._usage = chunk.usage.as_usage()
        for choice in chunk.choices[:1]:
            self._finish_reason = choice.finish_reason or self._finish_reason
            for part in choice.delta.tool_calls:
                self._tool_calls[part.index] = part
            if choice.delta.content:
                self._receive_text(choice.delta.content, event_id)

    def _receive_text(self, text: str, event_id: str) -> None:
        offset = self.length + len(text)
        if event_id and event_id != str(offset):
            self._break(malformed(self._engine, f"text at {event_id} where {offset} follows"))
            return
        self._parts.append(text)
        self.length = offset
        self.chunks_received += 1
        self._handler(TextReceived(text=text, offset=offset))

    def _complete(self) -> None:
        if self._finish_reason and self._finish_reason not in WHOLE_ANSWER_REASONS:
            error = malformed(self._engine, f"the generation ended as {self._finish_reason}")
            self._closed = True
            self._handler(StreamBroken(error=error, lost=True))
            return
        answer = self._whole_answer()
        if isinstance(answer, Failure):
            self._break(answer.failure())
            return
        self._closed = True
        self._handler(AnswerComplete(answer=answer.unwrap()))

    def _whole_answer(self) -> Result[ModelAnswer, YokelineError]:
        if self._usage is None or not self._finish_reason:
            return Failure(malformed(self._engine, "the stream has no usage or finish reason"))
        if self._finish_reason == TOOL_CALLS_REASON and not self._tool_calls:
            return Failure(malformed(self._engine, "the tool calls are missing"))
        requests = tuple(as_tool_request(self._tool_calls[key]) for key in sorted(self._tool_calls))
        return Success(
            ModelAnswer(
                text="".join(self._parts),
                tool_requests=requests,
                usage=self._usage,
                finish_reason=self._finish_reason,
            )
        )

    def _break(self, error: YokelineError) -> None:
        self._closed = True
        self._handler(StreamBroken(error=error))


def _refusal(engine: str, response: HttpResponse) -> StreamBroken:
    if response.status == HTTPStatus.NOT_FOUND:
        return StreamBroken(error=failed(engine, response), lost=True)
    if response.status in UNAVAILABLE_STATUSES or is_client_error(response.status):
        return StreamBroken(error=refused(engine, response), refused=True)
    return StreamBroken(error=failed(engine, response))
