"""Answers of the engine as server-sent events, each caller at its own offset."""

from __future__ import annotations

import msgspec

from yokeline.effects import Effect, HttpStreamData, HttpStreamEnd, HttpStreamStart
from yokeline.emulator.engine.calls import CallUsage, Generation
from yokeline.emulator.engine_protocol import (
    AnswerMessage,
    Completion,
    Delta,
    PromptTokensDetails,
    StreamChoice,
    StreamChunk,
    ToolCallDelta,
    UsageBody,
    WholeChoice,
)
from yokeline.identifiers import ExchangeId

_EVENT_STREAM_HEADERS = {"content-type": "text/event-stream", "cache-control": "no-cache"}
_DONE = b"data: [DONE]\n\n"


class AnswerStream:
    """One caller's stream of one call's answer.

    Attributes:
        offset: Characters of the answer's text that this caller has.
    """

    def __init__(self, exchange: ExchangeId, call_id: str, offset: int) -> None:
        """Create a stream that starts at ``offset``."""
        self.exchange = exchange
        self.call_id = call_id
        self.offset = offset

    def start(self) -> Effect:
        """Return the head of the answer."""
        return HttpStreamStart(exchange=self.exchange, headers=_EVENT_STREAM_HEADERS)

    def text(self, generation: Generation) -> list[Effect]:
        """Return the text that this caller does not have yet."""
        text = generation.text()
        if len(text) <= self.offset:
            return []
        piece = text[self.offset :]
        self.offset = len(text)
        return [self._event(StreamChoice(delta=Delta(content=piece)), None)]

    def end(self, generation: Generation) -> list[Effect]:
        """Return everything that is left: text, tool call, finish reason and usage."""
        effects = self.text(generation)
        reason = finish_reason(generation)
        calls = tool_call_deltas(generation)
        if calls:
            delta = Delta(tool_calls=calls)
            effects.append(self._event(StreamChoice(delta=delta, finish_reason=reason), None))
        last = StreamChoice(delta=Delta(), finish_reason=reason)
        effects.append(self._event(last, usage_body(generation.usage())))
        effects.append(HttpStreamData(self.exchange, _DONE))
        effects.append(HttpStreamEnd(exchange=self.exchange))
        return effects

    def _event(self, choice: StreamChoice, usage: UsageBody | None) -> Effect:
        chunk = StreamChunk(id=self.call_id, choices=(choice,), usage=usage)
        data = b"id: %d\ndata: %s\n\n" % (self.offset, msgspec.json.encode(chunk))
        return HttpStreamData(self.exchange, data)


def finish_reason(generation: Generation) -> str:
    """Return why a generation ended, in the protocol's words."""
    return generation.reason.value if generation.reason else ""


def tool_call_deltas(generation: Generation) -> tuple[ToolCallDelta, ...]:
    """Return the tool call of an ended generation; nothing if it was cancelled before."""
    call = generation.tool_call
    if call is None or generation.produced < len(generation.call.answer.words):
        return ()
    return (ToolCallDelta(index=0, id=call.id, type=call.type, function=call.function),)


def usage_body(usage: CallUsage) -> UsageBody:
    """Return the protocol's form of a usage."""
    return UsageBody(
        prompt_tokens=usage.prompt_tokens,
        completion_tokens=usage.completion_tokens,
        total_tokens=usage.prompt_tokens + usage.completion_tokens,
        prompt_tokens_details=PromptTokensDetails(cached_tokens=usage.cached_tokens),
    )


def whole_completion(generation: Generation) -> Completion:
    """Return the answer of an ended generation in one piece."""
    message = AnswerMessage(
        role="assistant", content=generation.text(), tool_calls=tool_call_deltas(generation)
    )
    choice = WholeChoice(message=message, finish_reason=finish_reason(generation))
    return Completion(
        id=generation.call.call_id,
        object="chat.completion",
        choices=(choice,),
        usage=usage_body(generation.usage()),
    )
