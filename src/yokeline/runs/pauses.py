"""Pauses between the model calls of a run, read off its log, for the scheduling policies."""

from __future__ import annotations

import msgspec

from yokeline.runs.context_window import last_model_call
from yokeline.runs.model import CallKind, ChatMessage, Role, Run
from yokeline.scheduling.interface import PauseKind, ProgramPause

MAX_NAMES = 3
"""Tool requests of one answer that make up the name of a pause; more are alike."""


class PauseCause(msgspec.Struct, frozen=True, kw_only=True):
    """What a run waits for; pauses of equal cause are predicted from each other."""

    kind: PauseKind
    name: str


class EndedPause(msgspec.Struct, frozen=True, kw_only=True):
    """A pause that is over, with its length."""

    cause: PauseCause
    seconds: float


def cause_after(run: Run, answer: ChatMessage) -> PauseCause:
    """Return why a run pauses after an answer of its model."""
    if not answer.tool_requests:
        return PauseCause(kind=PauseKind.TURN, name=program_name(run))
    names = [request.name for request in answer.tool_requests[:MAX_NAMES]]
    is_child = any(name in run.spec.children for name in names)
    kind = PauseKind.CHILD if is_child else PauseKind.TOOL
    return PauseCause(kind=kind, name=f"{run.spec.tenant}/{'+'.join(names)}")


def program_name(run: Run) -> str:
    """Return the name of a run's program, qualified by its tenant."""
    return f"{run.spec.tenant}/{run.spec.program}"


def started_pause(run: Run) -> PauseCause | None:
    """Return why a run that is about to do something else than a model call pauses.

    None if its last call was not to the model: the pause has begun before.
    """
    if not run.calls or run.calls[-1].kind is not CallKind.MODEL:
        return None
    answer = _last_answer(run)
    return cause_after(run, answer) if answer is not None else None


def ended_pause(run: Run, wall: float) -> EndedPause | None:
    """Return the pause that ends with a run's next model call, None if there was none."""
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
    """Return the pause of a run that begins now; None if it has no context anywhere."""
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
