"""A write of a configuration object: its state while under way, and its outcomes."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Result

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.labels.objects import ObjectKind, StoredObject


class WriteResult(msgspec.Struct, frozen=True, kw_only=True):
    """A write that is known to be in the store.

    Attributes:
        revision: Store revision that it made.
        operation: Its operation id.
    """

    revision: int
    operation: str


WriteDone = Callable[[Result[WriteResult, YokelineError]], None]


class Write(msgspec.Struct):
    """One write under way.

    Attributes:
        expected: Revision that the key must have; moves on from 0 to a tombstone's.
        key: Key in the store.
        body: JSON text of the object; empty for a deletion.
        operation: Id that no other write has.
        asked: Revision that the operator expects, 0 for "does not exist".
        deadline: Monotonic seconds by which ``done`` is called.
        may_be_applied: An attempt went out and its outcome is not known.
        failures: Attempts in a row that failed, for the backoff.
        due: When the next step is to be taken; None while an answer is awaited.
        finished: ``done`` was called; answers that still come are passed over.
    """

    kind: ObjectKind
    name: str
    key: str
    body: str
    operation: str
    asked: int
    expected: int
    deadline: float
    done: WriteDone
    may_be_applied: bool = False
    failures: int = 0
    due: float | None = None
    finished: bool = False


def precondition_failed(write: Write, stored: StoredObject | None) -> YokelineError:
    """Return the error of a write whose object has another revision than expected."""
    exists = stored is not None and not stored.deleted
    now = f"has revision {stored.revision}" if exists and stored else "does not exist"
    wanted = f"revision {write.asked}" if write.asked else "a new object"
    return YokelineError(
        kind=ErrorKind.PRECONDITION_FAILED,
        message=f"{write.kind.value}/{write.name} {now}, not {wanted}; nothing was written",
        remedy="read it, and write again with its present revision",
        execution=Execution.NOT_RUN,
    )


def not_applied(write: Write, retry_after: float) -> YokelineError:
    """Return the error of a write that surely did not happen; pause in seconds."""
    return YokelineError(
        kind=ErrorKind.NOT_APPLIED,
        message=f"{write.kind.value}/{write.name} was not written: the store was not reached",
        remedy="try again later; the configuration in force stays",
        execution=Execution.NOT_RUN,
        retry_after=retry_after,
    )


def outcome_unknown(write: Write) -> YokelineError:
    """Return the error of a write of which it is not known whether it happened."""
    return YokelineError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        message=f"operation {write.operation} on {write.kind.value}/{write.name} may be applied",
        remedy="read the object later, or ask for the operation by its id",
        execution=Execution.UNKNOWN,
    )
