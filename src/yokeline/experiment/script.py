"""Scripts of programs: what a run will do, fixed per arrival and unknown to the policies.

A script says how many tokens each model call reads and writes and how long each pause takes.
Since it does not depend on when anything is served, every policy of an experiment is measured
on exactly the same work.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec


class ToolUse(msgspec.Struct, frozen=True, kw_only=True):
    """A tool call between two model calls.

    Attributes:
        tool: Name of the tool.
        seconds: Time it takes. Beyond the tool's time-out the run goes on with an error.
    """

    tool: str
    seconds: float


class ChildUse(msgspec.Struct, frozen=True, kw_only=True):
    """A child run between two model calls; the parent waits for it."""

    child: ProgramScript


FollowUp = ToolUse | ChildUse


class ModelStep(msgspec.Struct, frozen=True, kw_only=True):
    """One model call and what its answer asks for.

    Attributes:
        input_tokens: Tokens that are new in the prompt: the caller's message, or the results
            of the tool or child run before.
        answer_tokens: Tokens that the model writes.
        follow_up: What the answer asks for; None in the last step of a turn.
    """

    input_tokens: int
    answer_tokens: int
    follow_up: FollowUp | None = None


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller: the chain of steps up to the answer.

    Attributes:
        pause_seconds: Time between the answer before and this turn; 0 for the first one.
    """

    steps: tuple[ModelStep, ...]
    pause_seconds: float = 0.0


class ProgramScript(msgspec.Struct, frozen=True, kw_only=True):
    """What a run does.

    Attributes:
        kind: Kind of request, for the report.
        program: Name of the program.
        system_tokens: Length of the system prompt, the same for all runs of the program.
        worth: Worth of an answer on time.
        deadline_seconds: Time from a request to its answer within which it is on time.
        call_limit: Model calls of one run after which the executor ends it.
        conversation: After the last turn the caller might still come back.
    """

    kind: str
    tenant: str
    program: str
    system_tokens: int
    turns: tuple[Turn, ...]
    worth: float = 1.0
    deadline_seconds: float = 60.0
    call_limit: int = 100
    conversation: bool = False


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A program that a caller starts.

    Attributes:
        at: Virtual seconds.
        number: Position among the arrivals of the experiment.
    """

    at: float
    number: int
    script: ProgramScript


def service_tokens(prompt: int, answer: int) -> int:
    """Return the service of a model call whose cached context is at hand, in tokens."""
    return prompt + answer


def steps_of_turn(turn: Turn) -> Iterator[ModelStep]:
    """Yield the steps of a turn and of the child runs in it, in their order."""
    for step in turn.steps:
        yield step
        if isinstance(step.follow_up, ChildUse):
            for child_turn in step.follow_up.child.turns:
                yield from steps_of_turn(child_turn)


def turn_service(turn: Turn) -> int:
    """Return the tokens that a turn reads anew and writes, child runs included."""
    return sum(
        service_tokens(step.input_tokens, step.answer_tokens) for step in steps_of_turn(turn)
    )
