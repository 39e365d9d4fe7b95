"""Interface of the component that serves operations at a shard's leader."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ShardId
from yokeline.runs.events import RunEvent
from yokeline.shards.operations import (
    ContinueRun,
    Operation,
    OperationResult,
    StartRun,
    StopRun,
)

OperationDone = Callable[[Result[OperationResult, YokelineError]], None]
EventsReceived = Callable[[tuple[RunEvent, ...]], None]


class OperationServer(Protocol):
    """Serves operations on shards that this node leads (``runs.executor.Executor``)."""

    def serve(
        self,
        operation: Operation,
        shard: ShardId,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> str:
        """Serve an operation; ``done`` may be called before this returns the ticket.

        ``deadline_seconds`` are the remaining seconds until the requester has to get a reply.
        """
        ...

    def abandon(self, ticket: str) -> None:
        """Stop serving an operation; ``done`` and ``on_events`` are not called again."""
        ...


def is_write(operation: Operation) -> bool:
    """Return whether an operation may change state."""
    return isinstance(operation, StartRun | ContinueRun | StopRun)


def is_leadership_error(error: YokelineError) -> bool:
    """Return whether an error only reports that the shard's leader has changed or is changing.

    The request can then be sent to the new leader: the state machine deduplicates operations by
    run id or turn key, and the new leader reports the outcome. If the outcome of a run stays
    unknown, the result is a success whose run has that status, and no error.
    """
    return error.kind in (ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
