"""Rules for the runs of a shard that was recovered from one replica's copy of a lost group.

The copy may lack the group's last log entries: acknowledged runs and sent calls. To keep
every request at most once:

* A run that is active in the copy ends as ``outcome_unknown``, since it may have advanced
  beyond the copy. The exception is a request to an app whose call is in the copy: an app run
  has no further call, so the run is resumed as after any failover.
* The doubt window is the time after the recovery in which duplicates of requests in the lost
  entries cannot be recognised. During it, a new request that is not safe to repeat is
  recorded as ``outcome_unknown`` and not sent, because the lost entries may contain it. The
  caller can send the request again under a new key. For requests with an idempotency key the
  window is the retention time of keys (``runs.retention_seconds``); a request without a key
  is repeated only by gateways, until its deadline.
* A request that is safe to repeat (an agent without tools, a repeatable app) runs normally.
"""

from __future__ import annotations

import msgspec

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs import rules
from yokeline.runs.model import RecoverShard, Run, RunSpec, RunStatus


class DoubtWindow(msgspec.Struct, frozen=True, kw_only=True):
    """Time after a recovery in which duplicates of lost requests cannot be recognised.

    All times are Unix time in seconds.

    Attributes:
        recovered_wall: Time of the last recovery; 0 if the shard was never recovered.
        keyed_until_wall: End of the window for requests with an idempotency key.
        unkeyed_until_wall: End of the window for requests without an idempotency key.
    """

    recovered_wall: float = 0.0
    keyed_until_wall: float = 0.0
    unkeyed_until_wall: float = 0.0

    def extended_by(self, command: RecoverShard) -> DoubtWindow:
        """Return the window after another recovery."""
        return DoubtWindow(
            recovered_wall=command.wall,
            keyed_until_wall=max(self.keyed_until_wall, command.keyed_until_wall),
            unkeyed_until_wall=max(self.unkeyed_until_wall, command.unkeyed_until_wall),
        )

    def covers_request(self, spec: RunSpec, wall: float) -> bool:
        """Return whether a request unknown to the shard may already have run."""
        until = self.keyed_until_wall if spec.idempotency_key else self.unkeyed_until_wall
        return wall < until and not _is_safe_to_repeat(spec)

    def covers_turn(self, run: Run, wall: float) -> bool:
        """Return whether a turn unknown to the shard may already have run."""
        is_old = run.created_wall <= self.recovered_wall
        return is_old and wall < self.keyed_until_wall and not _is_safe_to_repeat(run.spec)


def is_resumable(tree: list[Run]) -> bool:
    """Return whether a run tree (root first) can be resumed from a copy."""
    root = tree[0]
    if not root.spec.app or not root.calls:
        return False
    return rules.may_have_run(root.calls[-1])


def may_have_advanced(run: Run) -> bool:
    """Return whether a run may have advanced beyond its state in a copy."""
    return run.status is RunStatus.ACTIVE


def request_possibly_run() -> YokelineError:
    """Return the error for a request that may have run before its shard was recovered.

    The error becomes part of the replicated state, so its text must be the same in all
    versions that apply one log.
    """
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message="the run's shard lost its majority and came back from an older copy: the "
        "request may have run before, which the copy does not tell",
        remedy="check at the back end; if it did not run, send it again under a new "
        "Idempotency-Key",
        execution=Execution.UNKNOWN,
    )


def turn_possibly_run() -> YokelineError:
    """Return the error for a turn that may have run before its shard was recovered."""
    return YokelineError(
        kind=ErrorKind.CONFLICT,
        message="the conversation's shard lost its majority and came back from an older copy: "
        "the turn may have run before, which the copy does not tell",
        remedy="check what the conversation's tools did, then start a new conversation",
        execution=Execution.UNKNOWN,
    )


def _is_safe_to_repeat(spec: RunSpec) -> bool:
    """Return whether running a request twice has no effect beyond the use of engines."""
    if spec.app:
        return spec.repeatable
    return not spec.tools and not spec.children
