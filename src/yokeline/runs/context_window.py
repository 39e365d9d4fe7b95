"""The context of a model call: its messages, an estimate of its tokens, its reservation."""

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
"""Below the usual four or so, so that the estimate is seldom too low."""
TOKENS_PER_MESSAGE = 8
MISSING_RESULT = "no result: the call was given up"


def context_messages(run: Run) -> tuple[ChatMessage, ...]:
    """Return the messages of the run's next model call.

    A tool request that was given up with an earlier turn gets a stand-in answer, since
    engines refuse requests without one. It stays the same in all later calls, and so does
    the cached prefix.
    """
    messages: list[ChatMessage] = []
    if run.spec.system_prompt:
        messages.append(ChatMessage(role=Role.SYSTEM, content=run.spec.system_prompt))
    open_requests: list[str] = []
    for message in run.history:
        if message.role is Role.USER:
            messages.extend(_missing_result(identity) for identity in open_requests)
            open_requests = []
        if message.tool_request in open_requests:
            open_requests.remove(message.tool_request)
        open_requests.extend(request.identity for request in message.tool_requests)
        messages.append(message)
    return tuple(messages)


def _missing_result(identity: str) -> ChatMessage:
    return ChatMessage(role=Role.TOOL, content=MISSING_RESULT, tool_request=identity)


def estimated_tokens(message: ChatMessage) -> int:
    """Return an estimate of a message's tokens, rather too high than too low."""
    if message.tokens:
        return message.tokens + TOKENS_PER_MESSAGE
    size = len(message.content.encode())
    for request in message.tool_requests:
        size += len(request.name.encode()) + len(request.arguments.encode())
    return size // BYTES_PER_TOKEN + TOKENS_PER_MESSAGE


def last_model_call(run: Run) -> CallRecord | None:
    """Return the newest model call that succeeded; its context is a prefix of the next one."""
    for call in reversed(run.calls):
        if call.kind is CallKind.MODEL and call.status is CallStatus.SUCCEEDED:
            return call
    return None


def estimated_context(run: Run) -> int:
    """Return an estimate of the tokens of the run's next model call.

    What the engine counted for the last call and its answer is taken as it is; only what
    came after is estimated.
    """
    messages = context_messages(run)
    last = last_model_call(run)
    if last is None:
        return sum(estimated_tokens(message) for message in messages)
    known = last.usage.prompt_tokens + last.usage.completion_tokens + TOKENS_PER_MESSAGE
    return known + sum(estimated_tokens(message) for message in _after_last_answer(messages))


def _after_last_answer(messages: tuple[ChatMessage, ...]) -> tuple[ChatMessage, ...]:
    for position in range(len(messages) - 1, -1, -1):
        if messages[position].role is Role.ASSISTANT:
            return messages[position + 1 :]
    return messages


def completion_limit(run: Run, root: Run, prompt_tokens: int) -> int:
    """Return how long the next answer may be: the program's limit, or what the budget allows.

    At least one token, so that an exhausted budget is refused by the state machine's check
    and by nothing else.
    """
    left = budget.remaining(root).tokens - prompt_tokens
    return max(1, min(run.spec.max_completion_tokens, left))


def model_reservation(prompt_tokens: int, completion_tokens: int) -> Reservation:
    """Return what a model call sets aside: its whole prompt, as if none of it were cached."""
    return Reservation(tokens=prompt_tokens + completion_tokens)
