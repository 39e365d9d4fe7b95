"""Writes configuration objects by compare-and-swap, and finds out what became of each write.

Each write carries an **operation id** inside the stored value. When the answer to a write is
lost, the key is read back. If it still has the expected revision, the same compare-and-swap
is sent again, which is safe: at most one write can follow a revision. If it has moved on, the
history of the key tells whether this operation is the one that followed.

Yokeline itself never removes a key (a deleted object stays as a value without an object). Who
removes keys with another tool while a new object is being written can make a lost write be
made again.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.labels.objects import ObjectKind, StoredObject
from yokeline.server.context import NodeContext
from yokeline.store.client import KeyValueClient
from yokeline.store.history import (
    HistoryWalk,
    OperationStatus,
    ReadDone,
    StatusDone,
    only_item,
)
from yokeline.store.keys import encode_value, object_key, stored_from_item
from yokeline.store.limits import StoreLimits, backoff_seconds
from yokeline.store.protocol import KeyValue, RangeResult, SwapResult
from yokeline.store.writes import (
    Write,
    WriteDone,
    WriteResult,
    not_applied,
    outcome_unknown,
    precondition_failed,
)

DEFAULT_DEADLINE_SECONDS = 10.0


class ConfigurationWriter:
    """Writes and deletes configuration objects for operators."""

    def __init__(
        self,
        context: NodeContext,
        client: KeyValueClient,
        store_prefix: str,
        applied: Callable[[StoredObject], None] | None = None,
    ) -> None:
        """Create a writer.

        Args:
            context: The node's context.
            client: Client of the store.
            store_prefix: Prefix of all keys of the deployment.
            applied: Called with each object that is known to be in the store.
        """
        self._context = context
        self._client = client
        self._store_prefix = store_prefix
        self._applied = applied
        self._limits = StoreLimits()
        self._writes: list[Write] = []

    # ------------------------------------------------------------ requests

    def put(
        self,
        kind: ObjectKind,
        name: str,
        body: str,
        expected_revision: int,
        operation: str,
        done: WriteDone,
        *,
        deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    ) -> None:
        """Write an object if it has the expected revision.

        Args:
            kind: Kind of the object.
            name: Qualified name.
            body: JSON text that passed the checks.
            expected_revision: Its revision as the operator saw it; 0: it must not exist.
            operation: Id that no other write has; the same id again is the same write.
            done: Called once: with the new revision; with ``PRECONDITION_FAILED`` (surely
                not applied); ``NOT_APPLIED`` (surely not applied, the store was not reached);
                or ``OUTCOME_UNKNOWN``, which names the operation id. It may be called
                before this method returns.
            deadline_seconds: Time to find out.
        """
        key = object_key(self._store_prefix, kind, name)
        write = Write(
            kind=kind,
            name=name,
            key=key,
            body=body,
            operation=operation,
            asked=expected_revision,
            expected=expected_revision,
            deadline=self._context.now + deadline_seconds,
            done=done,
        )
        self._writes.append(write)
        self._attempt(write)

    def delete(
        self,
        kind: ObjectKind,
        name: str,
        expected_revision: int,
        operation: str,
        done: WriteDone,
        *,
        deadline_seconds: float = DEFAULT_DEADLINE_SECONDS,
    ) -> None:
        """Delete an object if it has the expected revision; as :meth:`put`."""
        self.put(
            kind, name, "", expected_revision, operation, done, deadline_seconds=deadline_seconds
        )

    def resolve(
        self,
        kind: ObjectKind,
        name: str,
        operation: str,
        done: StatusDone,
        *,
        expected_revision: int | None = None,
    ) -> None:
        """Read from the store whether an operation on an object was applied.

        Args:
            kind: Kind of the object.
            name: Qualified name.
            operation: Id of the write.
            done: Called once with what is certain.
            expected_revision: What the write expected; without it, "not applied" is never
                certain, since the write may still be on its way.
        """
        key = object_key(self._store_prefix, kind, name)

        def read(result: Result[RangeResult, YokelineError]) -> None:
            if isinstance(result, Failure):
                done(result)
                return
            current = only_item(result.unwrap())
            self._walk(key, operation, expected_revision, current, done)

        self._client.get(key, read)

    # ------------------------------------------------------------ time

    def tick(self) -> None:
        """Give up writes whose deadline has come, and take steps that are due."""
        now = self._context.now
        for write in list(self._writes):
            if write.finished:
                continue
            if now >= write.deadline:
                self._give_up(write)
            elif write.due is not None and now >= write.due:
                write.due = None
                if write.may_be_applied:
                    self._read_back(write)
                else:
                    self._attempt(write)

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        times = [min(w.deadline, w.due or w.deadline) for w in self._writes]
        return min(times, default=None)

    # ------------------------------------------------------------ attempts

    def _attempt(self, write: Write) -> None:
        value = encode_value(write.operation, write.body)

        def done(result: Result[SwapResult, YokelineError]) -> None:
            if not write.finished:
                self._attempt_answered(write, result)

        self._client.compare_and_swap(write.key, write.expected, value, done)

    def _attempt_answered(self, write: Write, result: Result[SwapResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            self._attempt_failed(write, result.failure())
            return
        swap = result.unwrap()
        if swap.applied:
            self._succeed(write, swap.revision)
        else:
            self._examine(write, swap.current)

    def _attempt_failed(self, write: Write, error: YokelineError) -> None:
        if error.execution is Execution.UNKNOWN:
            write.may_be_applied = True
        elif error.kind is ErrorKind.BACKEND_FAILED and not write.may_be_applied:
            self._finish(write, Failure(error))
            return
        self._pause(write, error)

    def _pause(self, write: Write, error: YokelineError) -> None:
        write.failures += 1
        pause = backoff_seconds(write.failures, self._limits, self._context.random)
        due = self._context.now + max(pause, error.retry_after or 0.0)
        if due >= write.deadline and not write.may_be_applied:
            self._finish(write, Failure(not_applied(write, error.retry_after or pause)))
            return
        write.due = due

    def _read_back(self, write: Write) -> None:
        def done(result: Result[RangeResult, YokelineError]) -> None:
            if write.finished:
                return
            if isinstance(result, Failure):
                self._pause(write, result.failure())
            else:
                self._examine(write, only_item(result.unwrap()))

        self._client.get(write.key, done)

    def _examine(self, write: Write, current: KeyValue | None) -> None:
        """Decide by the key as it stands now."""
        stored = self._stored(current)
        revision = current.mod_revision if current else 0
        if stored is not None and stored.operation == write.operation:
            self._succeed(write, revision)
        elif revision == write.expected:
            self._attempt(write)
        else:
            self._walk_history(write, current)

    def _walk_history(self, write: Write, current: KeyValue | None) -> None:
        def done(result: Result[OperationStatus, YokelineError]) -> None:
            if write.finished:
                return
            if isinstance(result, Failure):
                self._pause(write, result.failure())
                return
            status = result.unwrap()
            if status.applied:
                self._succeed(write, status.revision)
            elif status.applied is None and write.may_be_applied:
                self._finish(write, Failure(outcome_unknown(write)))
            else:
                self._superseded(write, current)

        self._walk(write.key, write.operation, write.expected, current, done)

    def _superseded(self, write: Write, current: KeyValue | None) -> None:
        """Another write took the place of this one, which can never be applied now."""
        stored = self._stored(current)
        write.may_be_applied = False
        if write.asked == 0 and stored is not None and stored.deleted:
            write.expected = stored.revision
            self._attempt(write)
        else:
            self._finish(write, Failure(precondition_failed(write, stored)))

    # ------------------------------------------------------------ outcomes

    def _succeed(self, write: Write, revision: int) -> None:
        if self._applied is not None:
            item = StoredObject(
                kind=write.kind,
                name=write.name,
                revision=revision,
                body=write.body,
                operation=write.operation,
            )
            self._applied(item)
        self._finish(write, Success(WriteResult(revision=revision, operation=write.operation)))

    def _give_up(self, write: Write) -> None:
        unsure = write.may_be_applied or write.due is None
        retry_after = self._limits.backoff_max_seconds
        error = outcome_unknown(write) if unsure else not_applied(write, retry_after)
        self._finish(write, Failure(error))

    def _finish(self, write: Write, result: Result[WriteResult, YokelineError]) -> None:
        write.finished = True
        self._writes = [other for other in self._writes if other is not write]
        outcome = "applied" if isinstance(result, Success) else result.failure().kind.value
        name = f'yokeline_configuration_writes_total{{outcome="{outcome}"}}'
        self._context.counters[name] += 1
        write.done(result)

    def _stored(self, item: KeyValue | None) -> StoredObject | None:
        return None if item is None else stored_from_item(self._store_prefix, item)

    def _walk(
        self,
        key: str,
        operation: str,
        expected: int | None,
        current: KeyValue | None,
        done: StatusDone,
    ) -> None:
        def read_at(key: str, revision: int, arrived: ReadDone) -> None:
            self._client.get(key, arrived, revision=revision)

        HistoryWalk(read_at, self._operation_of, key, operation, expected, current, done).start()

    def _operation_of(self, item: KeyValue) -> str:
        stored = self._stored(item)
        return "" if stored is None else stored.operation
