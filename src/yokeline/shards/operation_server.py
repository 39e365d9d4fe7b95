"""What router and server need of the component that serves operations at a leader."""

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
    """Serves operations of the shards that this node leads (``runs.executor.Executor``)."""

    def serve(
        self,
        operation: Operation,
        shard: ShardId,
        *,
        deadline_seconds: float,
        done: OperationDone,
        on_events: EventsReceived | None = None,
    ) -> str:
        """Serve an operation; ``done`` may be called before this returns the ticket."""
        ...

    def abandon(self, ticket: str) -> None:
        """Stop serving: neither ``done`` nor ``on_events`` is called any more."""
        ...


def is_write(operation: Operation) -> bool:
    """Return whether an operation may have an effect."""
    return isinstance(operation, StartRun | ContinueRun | StopRun)


def is_leadership_error(error: YokelineError) -> bool:
    """Return whether an error only says that the shard's leader has changed or changes.

    Operations are idempotent by the ids in them, so that the new leader can be asked, and
    says what became of them. An outcome that is unknown for good is a run's status, not an
    error.
    """
    return error.kind in (ErrorKind.UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
