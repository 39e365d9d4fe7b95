"""Context of a model call: messages, token estimate and budget reservation."""

from __future__ import annotations

from yokeline.runs import budget
from yokeline.runs.model import (
    CallKind,
    CallRecord,
    CallStatus,
    ChatMessage,
    Reservation,
    Role,
    Run,
)

BYTES_PER_TOKEN = 3
"""Bytes of text per token in estimates, which err on the high side."""
TOKENS_PER_MESSAGE = 8
MISSING_RESULT = "no result: the call was given up"


def context_messages(run: Run) -> tuple[ChatMessage, ...]:
    """Return the messages of the run's next model call.

    Engines reject a tool request without an answer, so a request left unanswered by an earlier
    turn gets a placeholder. The placeholder is constant, which keeps the cached prefix valid.
    """
    messages: list[ChatMessage] = []
    if run.spec.system_prompt:
        messages.append(ChatMessage(role=Role.SYSTEM, content=run.spec.system_prompt))
    unanswered: list[str] = []
    for message in run.history:
        if message.role is Role.USER:
            messages.extend(_missing_result(identity) for identity in unanswered)
            unanswered = []
        if message.tool_request in unanswered:
            unanswered.remove(message.tool_request)
        unanswered.extend(request.identity for request in message.tool_requests)
        messages.append(message)
    return tuple(messages)


def _missing_result(identity: str) -> ChatMessage:
    return ChatMessage(role=Role.TOOL, content=MISSING_RESULT, tool_request=identity)


def estimated_tokens(message: ChatMessage) -> int:
    """Return an estimate of a message's tokens that errs on the high side."""
    if message.tokens:
        return message.tokens + TOKENS_PER_MESSAGE
    size = len(message.content.encode())
    for request in message.tool_requests:
        size += len(request.name.encode()) + len(request.arguments.encode())
    return size // BYTES_PER_TOKEN + TOKENS_PER_MESSAGE


def last_model_call(run: Run) -> CallRecord | None:
    """Return the last successful model call, whose context is a prefix of the next context."""
    for call in reversed(run.calls):
        if call.kind is CallKind.MODEL and call.status is CallStatus.SUCCEEDED:
            return call
    return None


def estimated_prompt_tokens(run: Run) -> int:
    """Return an estimate of the prompt tokens of the run's next model call.

    Uses the engine's token counts for the last call and its answer, and estimates only the
    messages after that answer.
    """
    messages = context_messages(run)
    last = last_model_call(run)
    if last is None:
        return sum(estimated_tokens(message) for message in messages)
    counted = last.usage.prompt_tokens + last.usage.completion_tokens + TOKENS_PER_MESSAGE
    return counted + sum(estimated_tokens(message) for message in _after_last_answer(messages))


def _after_last_answer(messages: tuple[ChatMessage, ...]) -> tuple[ChatMessage, ...]:
    for position in range(len(messages) - 1, -1, -1):
        if messages[position].role is Role.ASSISTANT:
            return messages[position + 1 :]
    return messages


def completion_limit(run: Run, root: Run, prompt_tokens: int) -> int:
    """Return the token limit of the next answer: the program's limit or the remaining budget.

    The limit is at least one token, so that only the state machine rejects a call for an
    exhausted budget.
    """
    left = budget.remaining(root).tokens - prompt_tokens
    return max(1, min(run.spec.max_completion_tokens, left))


def model_reservation(prompt_tokens: int, completion_tokens: int) -> Reservation:
    """Return the reservation of a model call, assuming that no prompt token is cached."""
    return Reservation(tokens=prompt_tokens + completion_tokens)
