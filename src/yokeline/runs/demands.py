"""Scheduling demand of a run's next model call, derived from the run's state.

The ``program`` of a demand is the configured program's name; ``program_since`` and
``attained_service`` describe the run tree.
"""

from __future__ import annotations

from yokeline.runs import budget
from yokeline.runs.context_window import completion_limit, estimated_prompt_tokens, last_model_call
from yokeline.runs.model import Run
from yokeline.runs.pauses import program_name
from yokeline.scheduling.interface import CallDemand


def call_demand(
    run: Run, root: Run, *, now: float, wall: float, avoid: tuple[str, ...]
) -> CallDemand:
    """Return the demand of a run's next model call.

    Args:
        run: The run.
        root: The root of its tree.
        now: Current monotonic time in seconds.
        wall: Current Unix time in seconds.
        avoid: Engines that failed earlier attempts of the call.
    """
    prompt_tokens = estimated_prompt_tokens(run)
    last = last_model_call(run)
    known = last.usage.prompt_tokens + last.usage.completion_tokens if last else 0
    # Converts the log's Unix times to the monotonic clock of the queue.
    offset = now - wall
    deadline = run.spec.deadline_wall
    return CallDemand(
        run=run.run,
        cache_key=root.run,
        tenant=run.spec.tenant,
        model=run.spec.model,
        engine_selector=run.spec.engine_selector,
        prompt_tokens=prompt_tokens,
        completion_tokens=completion_limit(run, root, prompt_tokens),
        previous_engine=last.backend if last else "",
        previous_tokens=known,
        priority=run.spec.priority,
        worth=run.spec.worth,
        attained_service=budget.token_cost(root.spent),
        deadline_wall=deadline,
        avoid=avoid,
        waiting_since=now,
        program=program_name(run),
        deadline=deadline + offset if deadline is not None else None,
        program_since=root.turn_started_wall + offset,
    )
