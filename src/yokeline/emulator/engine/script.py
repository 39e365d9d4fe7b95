"""What the emulated model answers: deterministic from the conversation.

If the last user message is a JSON script, the number of tool results after it selects the
step: a tool call, a child call, or, when the steps are used up, the answer. Any other text
gets an answer of :data:`DEFAULT_ANSWER_TOKENS` words.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec

from yokeline.emulator.engine.prompt import (
    FunctionCall,
    Prompt,
    PromptMessage,
    ToolCall,
    words_of_call,
)

DEFAULT_ANSWER_TOKENS = 20
_VOCABULARY_TEXT = (
    "the record of each entry was read and set beside its source then every number found in "
    "both lists agreed so this result stands as given while one line needs more checking "
    "before noon because two clocks differ by some seconds and nobody has signed that page yet"
)
_VOCABULARY = _VOCABULARY_TEXT.split()


class ScriptStep(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a script: a call of a tool, or of a child program with an input."""

    tool: str = ""
    arguments: dict[str, Any] = {}
    child: str = ""
    input: str = ""


class Script(msgspec.Struct, frozen=True, kw_only=True):
    """What a user message asks the emulated model to do.

    Attributes:
        steps: Calls to make, one per turn of the model.
        answer_tokens: Words of the final answer.
        text: How the final answer begins; all of it where ``answer_tokens`` is not given.
    """

    steps: tuple[ScriptStep, ...] = ()
    answer_tokens: int | None = None
    text: str = ""


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What the model will produce.

    Attributes:
        words: All tokens produced, in order.
        tool_call: The call that the words spell, if they do.
        cut: The answer was longer than allowed.
    """

    words: tuple[str, ...]
    tool_call: ToolCall | None = None
    cut: bool = False


def answer_to(messages: tuple[PromptMessage, ...], prompt: Prompt, max_tokens: int) -> Answer:
    """Return the model's answer to a conversation.

    Args:
        messages: The conversation.
        prompt: The same conversation as a prompt; its digest seeds the words.
        max_tokens: Most words of a text answer.
    """
    position = _last_user_position(messages)
    script = _script_of(messages[position].content if position is not None else None)
    results = sum(1 for message in messages[(position or 0) :] if message.role == "tool")
    if results < len(script.steps):
        return _call_answer(script.steps[results], prompt)
    words = _final_words(script, prompt.content_digest)
    return Answer(words=tuple(words[:max_tokens]), cut=len(words) > max_tokens)


def _last_user_position(messages: tuple[PromptMessage, ...]) -> int | None:
    for position in range(len(messages) - 1, -1, -1):
        if messages[position].role == "user":
            return position
    return None


def _script_of(content: str | None) -> Script:
    if not content or not content.lstrip().startswith("{"):
        return Script()
    try:
        return msgspec.json.decode(content, type=Script)
    except msgspec.MsgspecError:
        return Script()


def _call_answer(step: ScriptStep, prompt: Prompt) -> Answer:
    arguments: dict[str, Any] = {"input": step.input} if step.child else step.arguments
    text = msgspec.json.encode(arguments).decode()
    function = FunctionCall(name=step.child or step.tool, arguments=text)
    call = ToolCall(id=f"call_{prompt.content_digest:016x}", function=function)
    return Answer(words=tuple(words_of_call(function)), tool_call=call)


def _final_words(script: Script, seed: int) -> list[str]:
    words = script.text.split()
    wanted = script.answer_tokens
    if wanted is None:
        wanted = len(words) or DEFAULT_ANSWER_TOKENS
    wanted = max(wanted, 1)
    missing = wanted - len(words)
    if missing > 0:
        words += random.Random(seed).choices(_VOCABULARY, k=missing)
    return words[:wanted]
