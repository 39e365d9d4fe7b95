"""Operations that a gateway requests from a shard's leader, and their results.

Every operation on an existing run carries the caller's tenant; a run of another tenant gets
the same reply as a run that does not exist.
"""

from __future__ import annotations

import msgspec

from yokeline.identifiers import RunId
from yokeline.runs.model import Run, RunSpec


class StartRun(msgspec.Struct, frozen=True, kw_only=True, tag="start_run"):
    """Create a run, or find the run of its idempotency key; result: :class:`RunResult`."""

    run: RunId
    spec: RunSpec
    input: str


class ContinueRun(msgspec.Struct, frozen=True, kw_only=True, tag="continue_run"):
    """Append a turn to an idle conversation; result: :class:`RunResult`."""

    run: RunId
    tenant: str
    turn_key: str
    input: str
    deadline_wall: float | None = None
    """Unix time in seconds by which the caller wants the answer; None for no deadline."""


class ReadRun(msgspec.Struct, frozen=True, kw_only=True, tag="read_run"):
    """Read a run linearizably; result: :class:`RunResult`."""

    run: RunId
    tenant: str
    with_history: bool = True
    """If false, the result has no messages, which is cheap for long runs."""


class AwaitRun(msgspec.Struct, frozen=True, kw_only=True, tag="await_run"):
    """Read a run once it is idle or final, or at the deadline; result: :class:`RunResult`."""

    run: RunId
    tenant: str
    turn: int = 0
    """Wait until at least this turn is answered; 0 means the current turn."""


class WatchRun(msgspec.Struct, frozen=True, kw_only=True, tag="watch_run"):
    """Stream a run's events after a position; result: :class:`RunResult`."""

    run: RunId
    tenant: str
    after_call: int = 0
    after_offset: int = 0


class StopRun(msgspec.Struct, frozen=True, kw_only=True, tag="stop_run"):
    """Cancel a run; result: :class:`RunResult`."""

    run: RunId
    tenant: str


class ListRuns(msgspec.Struct, frozen=True, kw_only=True, tag="list_runs"):
    """List a tenant's runs of this shard in the order of their ids; result: :class:`RunList`."""

    tenant: str
    after: str = ""
    limit: int = 100


Operation = StartRun | ContinueRun | ReadRun | AwaitRun | WatchRun | StopRun | ListRuns


class RunResult(msgspec.Struct, frozen=True, kw_only=True, tag="run_result"):
    """The current state of a run."""

    run: Run


class RunList(msgspec.Struct, frozen=True, kw_only=True, tag="run_list"):
    """Runs without their histories, in the order of their ids."""

    runs: tuple[Run, ...]


OperationResult = RunResult | RunList
