"""Answers the cache reconciler: is a root run still needed, as the leader of its shard says."""

from __future__ import annotations

from returns.result import Failure, Result

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import RunId, shard_of_run
from yokeline.runs.model import FINAL_STATUSES
from yokeline.scheduling.cache_reconciler import PresenceHandler, RunPresence
from yokeline.shards.operations import OperationResult, ReadRun, RunResult
from yokeline.shards.router import ShardRouter

DEADLINE_SECONDS = 5.0


class RunPresenceReader:
    """Reads runs, linearizable and without their history, for the cache reconciler."""

    def __init__(self, router: ShardRouter, shard_count: int) -> None:
        """Create a reader over a node's router."""
        self._router = router
        self._shard_count = shard_count

    def read(self, run: RunId, tenant: str, done: PresenceHandler) -> None:
        """Tell ``done`` whether the run is needed; UNKNOWN where there is no clear answer."""
        self._router.request(
            shard_of_run(run, self._shard_count),
            ReadRun(run=run, tenant=tenant, with_history=False),
            deadline_seconds=DEADLINE_SECONDS,
            done=lambda result: done(presence_of(result)),
        )


def presence_of(result: Result[OperationResult, YokelineError]) -> RunPresence:
    """Return what the answer to a :class:`ReadRun` says of the run."""
    if isinstance(result, Failure):
        unknown_run = result.failure().kind is ErrorKind.NOT_FOUND
        return RunPresence.GONE if unknown_run else RunPresence.UNKNOWN
    answer = result.unwrap()
    if not isinstance(answer, RunResult):
        return RunPresence.UNKNOWN
    ended = answer.run.status in FINAL_STATUSES
    return RunPresence.GONE if ended else RunPresence.NEEDED
