"""Prompts that grow call by call, without building their text anew.

A token of the emulated engine is a word. The words of a segment (a message, an answer) are
its name repeated, which makes the hash of each block unique to what came before it: as much
as the cache's prefix matching needs.
"""

from __future__ import annotations

from yokeline.emulator.engine.prompt import Prompt, prompt_of_words


def empty_prompt(salt: str, block_tokens: int) -> Prompt:
    """Return an empty context of a tenant."""
    return prompt_of_words(salt, [], block_tokens)


def extended(prompt: Prompt, words: tuple[str, ...]) -> Prompt:
    """Return a prompt followed by further words (its content digest is left out)."""
    tail = (*prompt.tail, *words)
    full = len(tail) // prompt.block_tokens * prompt.block_tokens
    return Prompt(
        salt=prompt.salt,
        tokens=prompt.tokens + len(words),
        blocks=prompt.chain_with(words),
        tail=tail[full:],
        block_tokens=prompt.block_tokens,
        content_digest=0,
    )


def segment_words(name: str, tokens: int) -> tuple[str, ...]:
    """Return the words of a segment."""
    return (name,) * tokens
