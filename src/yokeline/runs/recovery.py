"""What is in doubt in a shard that came back from a copy, and what follows from it.

A copy of a lost group may lack its last entries: runs that were acknowledged, and calls that
were sent. Nobody can tell any more which. So that nothing is ever sent twice:

* A run that was under way is ended as ``outcome_unknown``, since it may have gone further
  than the copy knows. The one exception is a request to an app whose call is in the copy: it
  has no further call, and is resumed as after any failover.
* For a time after the recovery a new request that may not run twice is recorded as
  ``outcome_unknown`` and not sent: under its key (or as a gateway's repetition) it may have
  run already. The caller, who knows whether it asked before, can ask again under a new key.
  The time is that for which a key is remembered (``runs.retention_seconds``), since no
  deployment promises more; a request without a key is repeated by gateways alone, until its
  deadline at most.
* What may run twice without harm (an agent without tools, a repeatable app) runs.
"""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs import rules
from yokeline.runs.model import RecoverShard, Run, RunSpec, RunStatus


class Doubt(msgspec.Struct, frozen=True, kw_only=True):
    """Until when which requests may have run before, unknown to this shard (wall seconds).

    Attributes:
        recovered_wall: When the shard was recovered; 0 if it never was.
        keyed_until_wall: For requests with an idempotency key.
        unkeyed_until_wall: For requests without one.
    """

    recovered_wall: float = 0.0
    keyed_until_wall: float = 0.0
    unkeyed_until_wall: float = 0.0

    def after(self, command: RecoverShard) -> Doubt:
        """Return the doubt after a (further) recovery."""
        return Doubt(
            recovered_wall=command.wall,
            keyed_until_wall=max(self.keyed_until_wall, command.keyed_until_wall),
            unkeyed_until_wall=max(self.unkeyed_until_wall, command.unkeyed_until_wall),
        )

    def covers_request(self, spec: RunSpec, wall: float) -> bool:
        """Return whether a request that is not known here may have run already."""
        until = self.keyed_until_wall if spec.idempotency_key else self.unkeyed_until_wall
        return wall < until and not _is_harmless(spec)

    def covers_turn(self, run: Run, wall: float) -> bool:
        """Return whether a turn that is not known here may have run already."""
        is_old = run.created_wall <= self.recovered_wall
        return is_old and wall < self.keyed_until_wall and not _is_harmless(run.spec)


def goes_on(tree: list[Run]) -> bool:
    """Return whether a run and its descendants may be resumed from a copy."""
    root = tree[0]
    if not root.spec.app or not root.calls:
        return False
    return rules.may_have_run(root.calls[-1])


def is_under_way(run: Run) -> bool:
    """Return whether a run may have gone further than a copy knows."""
    return run.status is RunStatus.ACTIVE


def lost_with_majority() -> YokelineError:
    """Return the error of a request that may have run before its shard was recovered."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message="the run's shard lost its majority and came back from an older copy: the "
        "request may have run before, which the copy does not tell",
        remedy="check at the back end; if it did not run, send it again under a new "
        "Idempotency-Key",
        execution=Execution.UNKNOWN,
    )


def turn_lost_with_majority() -> YokelineError:
    """Return the error of a turn that may have run before its shard was recovered."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message="the conversation's shard lost its majority and came back from an older copy: "
        "the turn may have run before, which the copy does not tell",
        remedy="check what the conversation's tools did, then start a new conversation",
        execution=Execution.UNKNOWN,
    )


def _is_harmless(spec: RunSpec) -> bool:
    """Return whether a request may run twice: it has no effect but the use of engines."""
    if spec.app:
        return spec.repeatable
    return not spec.tools and not spec.children
