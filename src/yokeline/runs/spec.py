"""Creates run specs from configured programs and their resolved program policies."""

from __future__ import annotations

import msgspec
import xxhash

from yokeline.labels.objects import Program
from yokeline.labels.resolution import ResolvedPolicy
from yokeline.runs.budget import smaller_budget
from yokeline.runs.model import Run, RunSpec


def request_digest(program: str, content: str) -> str:
    """Return the digest that distinguishes requests with the same idempotency key."""
    return xxhash.xxh3_128_hexdigest(f"{program}\x00{content}".encode())


def spec_of_program(program: Program, policy: ResolvedPolicy) -> RunSpec:
    """Return the spec of a program's runs, without the fields set per request.

    Args:
        program: The configured program.
        policy: Combination of the program policies that match it.
    """
    return RunSpec(
        tenant=program.tenant,
        program=program.name,
        labels=dict(program.labels),
        model=program.model,
        app=program.app,
        system_prompt=program.system_prompt,
        tools=program.tools,
        children=program.children,
        engine_selector=",".join(policy.engine_selector),
        repeatable=program.repeatable or not program.app,
        priority=policy.priority,
        worth=policy.worth,
        budget=policy.budget,
        max_completion_tokens=program.max_completion_tokens,
        conversation=program.conversation,
    )


def child_spec(parent: Run, program: Program, policy: ResolvedPolicy, content: str) -> RunSpec:
    """Return the spec of a child run.

    A child inherits its parent's priority, scheduling weight (``worth``) and deadline. It shares
    the root's budget; its own limits apply where they are lower.
    """
    spec = spec_of_program(program, policy)
    return msgspec.structs.replace(
        spec,
        request_digest=request_digest(program.name, content),
        priority=parent.spec.priority,
        worth=parent.spec.worth,
        budget=smaller_budget(parent.spec.budget, spec.budget),
        deadline_wall=parent.spec.deadline_wall,
        conversation=False,
    )
