"""Prompts as tokens and as a chain of block hashes.

A token is a word. The hash of a block covers the block's words and the hash before it; the
chain starts with the cache salt (after vLLM's automatic prefix caching). Two prompts share
cached blocks exactly as far as salt and words are equal, so tenants never share any.
"""

from __future__ import annotations

import msgspec
import xxhash

_CALL_MARK = "<|call|>"
_ASSISTANT_MARK = "<|assistant|>"


class FunctionCall(msgspec.Struct, frozen=True):
    """Name and arguments (JSON text) of a tool call."""

    name: str
    arguments: str = "{}"


class ToolCall(msgspec.Struct, frozen=True, kw_only=True):
    """A tool call inside an assistant's message (OpenAI chat format)."""

    function: FunctionCall
    id: str = ""
    type: str = "function"


class PromptMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A message of the conversation (OpenAI chat format)."""

    role: str
    content: str | None = None
    tool_calls: tuple[ToolCall, ...] = ()
    tool_call_id: str = ""


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt, ready for the cache.

    Attributes:
        salt: Cache salt; blocks are shared only under the same one.
        tokens: Number of tokens.
        blocks: Chained hash of each full block.
        tail: Words after the last full block.
        block_tokens: Words of a block.
        content_digest: xxh3 of the words, without the salt.
    """

    salt: str
    tokens: int
    blocks: tuple[int, ...]
    tail: tuple[str, ...]
    block_tokens: int
    content_digest: int

    def chain_with(self, words: tuple[str, ...]) -> tuple[int, ...]:
        """Return the hashes of the full blocks of this prompt followed by ``words``."""
        previous = self.blocks[-1] if self.blocks else _root_hash(self.salt)
        further = _chain([*self.tail, *words], previous, self.block_tokens)
        return self.blocks + tuple(further)


def words_of_call(function: FunctionCall) -> list[str]:
    """Return the tokens of a tool call as the model writes it."""
    return [_CALL_MARK, function.name, *function.arguments.split()]


def words_of(messages: tuple[PromptMessage, ...]) -> list[str]:
    """Return the tokens of a conversation, ending with the mark that starts the answer."""
    words: list[str] = []
    for message in messages:
        words.append(f"<|{message.role}|>")
        if message.content:
            words.extend(message.content.split())
        for call in message.tool_calls:
            words.extend(words_of_call(call.function))
    words.append(_ASSISTANT_MARK)
    return words


def build_prompt(salt: str, messages: tuple[PromptMessage, ...], block_tokens: int) -> Prompt:
    """Return the prompt of a conversation."""
    return prompt_of_words(salt, words_of(messages), block_tokens)


def prompt_of_words(salt: str, words: list[str], block_tokens: int) -> Prompt:
    """Return the prompt that consists of ``words``."""
    full = len(words) // block_tokens * block_tokens
    return Prompt(
        salt=salt,
        tokens=len(words),
        blocks=tuple(_chain(words, _root_hash(salt), block_tokens)),
        tail=tuple(words[full:]),
        block_tokens=block_tokens,
        content_digest=xxhash.xxh3_64_intdigest(" ".join(words).encode()),
    )


def _root_hash(salt: str) -> int:
    return xxhash.xxh3_64_intdigest(salt.encode())


def _chain(words: list[str], previous: int, block_tokens: int) -> list[int]:
    hashes: list[int] = []
    digest = xxhash.xxh3_64_intdigest
    for start in range(0, len(words) - block_tokens + 1, block_tokens):
        previous = digest(" ".join(words[start : start + block_tokens]).encode(), previous)
        hashes.append(previous)
    return hashes
