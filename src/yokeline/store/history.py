"""Finds out from a key's history whether a write operation was applied."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.store.protocol import KeyValue, RangeResult

MAX_HISTORY_STEPS = 16
"""Later writes of other operators that are walked back over to find an operation."""


class OperationStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What reading back tells of an operation.

    Attributes:
        applied: True or False where it is certain; None where the store's history no longer
            tells (or the write may still be on its way).
        revision: Store revision that it made, if it was applied.
        current_revision: Revision of the object now; 0 if there is none.
    """

    operation: str
    applied: bool | None
    revision: int = 0
    current_revision: int = 0


StatusDone = Callable[[Result[OperationStatus, YokelineError]], None]
ReadDone = Callable[[Result[RangeResult, YokelineError]], None]
ReadAt = Callable[[str, int, ReadDone], None]


class HistoryWalk:
    """Looks through a key's versions for an operation.

    A write that expected no object can only have created the key; any other one is the first
    version after the expected revision. Yokeline never removes keys; where someone else did,
    the answer is "not certain" unless a version says it.
    """

    def __init__(
        self,
        read_at: ReadAt,
        operation_of: Callable[[KeyValue], str],
        key: str,
        operation: str,
        expected: int | None,
        current: KeyValue | None,
        done: StatusDone,
    ) -> None:
        """Create a walk; :meth:`start` begins it.

        Args:
            read_at: Reads a key as it was at a store revision.
            operation_of: Returns the operation id in a key's value.
            key: The key.
            operation: Id of the operation that is looked for.
            expected: Revision that its write expected; 0: no such key; None: not known.
            current: The key as it stands.
            done: Called once with what is certain.
        """
        self._read_at = read_at
        self._operation_of = operation_of
        self._key = key
        self._operation = operation
        self._expected = expected
        self._current = current
        self._done = done
        self._steps = 0

    def start(self) -> None:
        """Begin with the key as it stands."""
        self._step(self._current)

    def _step(self, item: KeyValue | None) -> None:
        """Look at one version; ask for the one before it unless all is clear."""
        if item is None:
            self._finish(applied=None)
        elif self._operation_of(item) == self._operation:
            self._finish(applied=True, revision=item.mod_revision)
        elif self._expected is not None and item.mod_revision < self._expected:
            self._finish(applied=None)
        elif item.mod_revision == self._expected:
            # Still (or again) what was expected: only a later version could be the write's.
            self._finish(applied=None if item is self._current else False)
        elif item.mod_revision == item.create_revision:
            self._finish(applied=False if self._expected == 0 else None)
        elif self._steps >= MAX_HISTORY_STEPS:
            self._finish(applied=None)
        else:
            self._steps += 1
            earlier = item.create_revision if self._expected == 0 else item.mod_revision - 1
            self._read_at(self._key, earlier, lambda result: self._arrived(item, result))

    def _arrived(self, later: KeyValue, result: Result[RangeResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            if result.failure().kind is ErrorKind.BACKEND_FAILED:  # compacted
                self._finish(applied=None)
            else:
                self._done(result)
            return
        earlier = only_item(result.unwrap())
        if earlier is not None and earlier.mod_revision >= later.mod_revision:
            self._finish(applied=None)  # the store does not read at old revisions
            return
        self._step(earlier)

    def _finish(self, *, applied: bool | None, revision: int = 0) -> None:
        status = OperationStatus(
            operation=self._operation,
            applied=applied,
            revision=revision,
            current_revision=self._current.mod_revision if self._current else 0,
        )
        self._done(Success(status))


def only_item(found: RangeResult) -> KeyValue | None:
    """Return the key of a read of one key, None if there is none."""
    return found.items[0] if found.items else None
