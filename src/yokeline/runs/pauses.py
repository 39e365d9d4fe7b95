"""Pauses of a run, derived from its state for scheduling policies.

A pause is the idle gap between the end of one model call and the start of the next, in which the
run waits for tools, child runs or the next turn.
"""

from __future__ import annotations

import msgspec

from yokeline.runs.context_window import last_model_call
from yokeline.runs.model import CallKind, ChatMessage, Role, Run
from yokeline.scheduling.interface import PauseKind, ProgramPause

MAX_TOOL_NAMES = 3
"""Number of an answer's tool requests that are part of the name of a pause."""


class PauseCause(msgspec.Struct, frozen=True, kw_only=True):
    """Reason for a pause; forecasts group pauses by cause."""

    kind: PauseKind
    name: str


class EndedPause(msgspec.Struct, frozen=True, kw_only=True):
    """A pause that the next model call has ended, and its length in seconds."""

    cause: PauseCause
    seconds: float


def cause_after(run: Run, answer: ChatMessage) -> PauseCause:
    """Return the cause of the pause that follows a model's answer."""
    if not answer.tool_requests:
        return PauseCause(kind=PauseKind.TURN, name=program_name(run))
    names = [request.name for request in answer.tool_requests[:MAX_TOOL_NAMES]]
    is_child = any(name in run.spec.children for name in names)
    kind = PauseKind.CHILD if is_child else PauseKind.TOOL
    return PauseCause(kind=kind, name=f"{run.spec.tenant}/{'+'.join(names)}")


def program_name(run: Run) -> str:
    """Return a run's program name, qualified by its tenant: ``tenant/program``."""
    return f"{run.spec.tenant}/{run.spec.program}"


def pause_cause(run: Run) -> PauseCause | None:
    """Return the cause of the pause before a run's next call, which is not a model call.

    Returns None if the last call was not a model call, because the pause has already begun.
    """
    if not run.calls or run.calls[-1].kind is not CallKind.MODEL:
        return None
    answer = _last_answer(run)
    return cause_after(run, answer) if answer is not None else None


def ended_pause(run: Run, wall: float) -> EndedPause | None:
    """Return the pause between the last model call and the next, or None if there was none."""
    last = last_model_call(run)
    if last is None or last.finished_wall is None:
        return None
    answer = _last_answer(run)
    if answer is None:
        return None
    cause = cause_after(run, answer)
    return EndedPause(cause=cause, seconds=max(0.0, wall - last.finished_wall))


def _last_answer(run: Run) -> ChatMessage | None:
    for message in reversed(run.history):
        if message.role is Role.ASSISTANT:
            return message
    return None


def program_pause(run: Run, root: Run, cause: PauseCause) -> ProgramPause | None:
    """Return the pause that begins now, or None if no model call has succeeded yet."""
    last = last_model_call(run)
    if last is None:
        return None
    return ProgramPause(
        run=run.run,
        cache_key=root.run,
        tenant=run.spec.tenant,
        kind=cause.kind,
        name=cause.name,
        engine=last.backend,
        context_tokens=last.usage.prompt_tokens + last.usage.completion_tokens,
        priority=run.spec.priority,
        worth=run.spec.worth,
    )
