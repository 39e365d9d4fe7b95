"""From a request to what a shard is asked: run id, specification, turns."""

from __future__ import annotations

import random
import re

import msgspec
import xxhash

from yokeline.identifiers import RUN_PREFIX, RunId, run_id_for_key
from yokeline.labels.objects import Program
from yokeline.labels.resolution import ResolvedPolicy
from yokeline.runs.model import Role, Run, RunSpec, RunStatus
from yokeline.runs.spec import request_digest, spec_of_program

RANDOM_ID_BITS = 128
_RUN_ID = re.compile(re.escape(RUN_PREFIX) + r"[0-9a-f]{32}(\.[0-9]{1,9})*")
_FIRST_TURN = 1


def is_run_id(text: str) -> bool:
    """Return whether ``text`` has the form of a run id."""
    return _RUN_ID.fullmatch(text) is not None


def new_run_id(tenant: str, idempotency_key: str, source: random.Random) -> RunId:
    """Return the id that the key always leads to, or a fresh one without a key."""
    if idempotency_key:
        return run_id_for_key(tenant, idempotency_key)
    return RunId(f"{RUN_PREFIX}{source.getrandbits(RANDOM_ID_BITS):032x}")


def new_turn_key(source: random.Random) -> str:
    """Return a key for a turn whose sender gave none."""
    return f"turn-{source.getrandbits(RANDOM_ID_BITS):032x}"


def run_spec(
    program: Program,
    policy: ResolvedPolicy,
    *,
    idempotency_key: str,
    run_input: str,
    labels: dict[str, str],
    deadline_wall: float,
) -> RunSpec:
    """Return what a run is created with: program and policies as they are now.

    Args:
        program: The program to run.
        policy: What the policies say about it, resolved.
        idempotency_key: The caller's key; empty for none.
        run_input: Text for an agent, JSON text for an app.
        labels: The caller's labels; the program's own win.
        deadline_wall: Unix time in seconds by which the run ends.
    """
    spec = spec_of_program(program, policy)
    return msgspec.structs.replace(
        spec,
        idempotency_key=idempotency_key,
        request_digest=request_digest(program.name, run_input),
        labels={**labels, **program.labels},
        deadline_wall=deadline_wall,
    )


def turn_of_key(run: Run, turn_key: str) -> int:
    """Return the number of the turn that a key made; the current one if it is not listed."""
    if turn_key in run.turn_keys:
        return run.turn_keys.index(turn_key) + _FIRST_TURN + 1
    return run.turn


def run_at_turn(run: Run, turn: int) -> Run | None:
    """Return the run as it stood when a turn was answered.

    A caller who repeats an earlier turn must get that turn's answer, not the latest one.

    Returns:
        The run itself for its current turn; None if the answer is not in the history.
    """
    if turn >= run.turn:
        return run
    answer = _answer_in_history(run, turn)
    if answer is None:
        return None
    return msgspec.structs.replace(
        run,
        status=RunStatus.IDLE,
        turn=turn,
        answer=answer,
        answer_digest=xxhash.xxh3_64_hexdigest(answer.encode()),
        error=None,
        finished_wall=None,
    )


def _answer_in_history(run: Run, turn: int) -> str | None:
    seen = 0
    answer: str | None = None
    for message in run.history:
        if message.role is Role.USER:
            seen += 1
        elif seen == turn and message.role is Role.ASSISTANT and not message.tool_requests:
            answer = message.content
    return answer
