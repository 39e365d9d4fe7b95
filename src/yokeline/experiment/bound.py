"""The latency of a request that has an engine for itself: a lower bound for every policy.

Everything that was in the context before counts as cached, the system prompt included, and no
other call shares a step. No policy can serve a request faster with these engines; under load
none can serve all requests as fast.
"""

from __future__ import annotations

import math

from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.experiment.script import ChildUse, ModelStep, ProgramScript, ToolUse, Turn


def call_seconds(step: ModelStep, context_tokens: int, parameters: EngineParameters) -> float:
    """Return the least seconds of a model call.

    Args:
        step: The call.
        context_tokens: Tokens before it, all cached.
        parameters: Of the engine.
    """
    chunks = math.ceil(step.input_tokens / parameters.step_tokens)
    prefill = step.input_tokens / parameters.prefill_tokens_per_second
    later_tokens = step.answer_tokens - 1
    mean_context = context_tokens + step.input_tokens + step.answer_tokens / 2
    token_seconds = (
        parameters.step_seconds
        + parameters.sequence_seconds
        + parameters.context_token_seconds * mean_context
    )
    return chunks * parameters.step_seconds + prefill + later_tokens * token_seconds


def turn_seconds(
    turn: Turn,
    context_tokens: int,
    parameters: EngineParameters,
    tool_timeout_seconds: float,
) -> float:
    """Return the least seconds of a turn, pauses by tools and child runs included."""
    seconds = 0.0
    for step in turn.steps:
        seconds += call_seconds(step, context_tokens, parameters)
        context_tokens += step.input_tokens + step.answer_tokens
        if isinstance(step.follow_up, ToolUse):
            seconds += min(step.follow_up.seconds, tool_timeout_seconds)
        elif isinstance(step.follow_up, ChildUse):
            child = step.follow_up.child
            seconds += program_seconds(child, parameters, tool_timeout_seconds)
    return seconds


def program_seconds(
    script: ProgramScript, parameters: EngineParameters, tool_timeout_seconds: float
) -> float:
    """Return the least seconds of all turns of a program, without the pauses between them."""
    seconds = 0.0
    context_tokens = script.system_tokens
    for turn in script.turns:
        seconds += turn_seconds(turn, context_tokens, parameters, tool_timeout_seconds)
        context_tokens += sum(step.input_tokens + step.answer_tokens for step in turn.steps)
    return seconds
