"""History messages with the results of calls."""

from __future__ import annotations

import msgspec

from yokeline.errors import YokelineError
from yokeline.runs.model import CallRecord, ChatMessage, Role


class _ErrorContent(msgspec.Struct, frozen=True, kw_only=True):
    error: str
    message: str
    executed: str


def result_message(record: CallRecord, content: str) -> ChatMessage:
    """Return the message for a call's result: a tool message, or an app's answer."""
    if record.tool_request is None:
        return ChatMessage(role=Role.ASSISTANT, content=content)
    return ChatMessage(role=Role.TOOL, content=content, tool_request=record.tool_request.identity)


def error_message(record: CallRecord, error: YokelineError) -> ChatMessage:
    """Return the message that reports a failed call to the model."""
    content = _ErrorContent(
        error=error.kind.value, message=error.message, executed=error.execution.value
    )
    return result_message(record, msgspec.json.encode(content).decode())
