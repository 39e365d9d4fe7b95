"""Range, put, deletion and transaction on the versioned state."""

from __future__ import annotations

import operator
from typing import Any

from yokeline.emulator.etcd.bodies import (
    Compare,
    DeleteRangeAnswer,
    DeleteRangeRequest,
    Header,
    OperationAnswer,
    PutAnswer,
    PutRequest,
    RangeAnswer,
    RangeRequest,
    RequestOperation,
    TransactionAnswer,
    TransactionRequest,
    key_value_body,
    number,
)
from yokeline.emulator.etcd.state import KeyRange, StoredKey, VersionedState

_COMPARISONS = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
_ABSENT = StoredKey(key=b"", value=b"", create_revision=0, mod_revision=0, version=0)

GRPC_INVALID_ARGUMENT = 3
GRPC_NOT_FOUND = 5
GRPC_FAILED_PRECONDITION = 9
GRPC_OUT_OF_RANGE = 11


class StoreError(Exception):
    """A request that the store refuses, with its gRPC status code; nothing was changed."""

    def __init__(self, code: int, message: str) -> None:
        """Create an error with etcd's text."""
        super().__init__(message)
        self.code = code
        self.message = message


class RequestExecutor:
    """Carries out requests on the state; every write of one request has one revision."""

    def __init__(self, state: VersionedState) -> None:
        """Create an executor on ``state``."""
        self._state = state

    def header(self) -> Header:
        """Return the header for an answer made now."""
        return Header(revision=str(self._state.revision))

    def range(self, request: RangeRequest) -> RangeAnswer:
        """Read keys as they stand (or stood at a kept revision).

        Raises:
            StoreError: The revision asked for is compacted or still to come.
        """
        found = self._range_at(request)
        count = len(found)
        limit = request.limit or count
        kvs = () if request.count_only else tuple(found[:limit])
        return RangeAnswer(
            header=self.header(),
            kvs=tuple(key_value_body(kv, keys_only=request.keys_only) for kv in kvs),
            more=count > limit,
            count=number(count),
        )

    def put(self, request: PutRequest, now: float) -> PutAnswer:
        """Write a key.

        Raises:
            StoreError: The lease does not exist.
        """
        self._check_put(request)
        return self._put(request, self._state.next_revision(), now)

    def delete(self, request: DeleteRangeRequest, now: float) -> DeleteRangeAnswer:
        """Delete keys."""
        return self._delete(request, self._state.next_revision(), now)

    def transact(self, request: TransactionRequest, now: float) -> TransactionAnswer:
        """Compare, then carry out one of the two lists of operations.

        Raises:
            StoreError: An operation of the chosen list cannot be carried out.
        """
        succeeded = all(self._holds(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        self._check_operations(operations)
        revision = self._state.next_revision()
        answers = tuple(self._operate(operation, revision, now) for operation in operations)
        return TransactionAnswer(header=self.header(), succeeded=succeeded, responses=answers)

    # ------------------------------------------------------------ private

    def _range_at(self, request: RangeRequest) -> list[StoredKey]:
        keys = KeyRange(request.key, request.range_end)
        state = self._state
        if not request.revision or request.revision == state.revision:
            return state.range(keys)
        if request.revision > state.revision:
            raise StoreError(
                GRPC_OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"
            )
        if request.revision < state.compacted:
            raise StoreError(
                GRPC_OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"
            )
        past = {kv.key: kv for kv in state.range(keys)}
        for change in reversed(state.changes_since(request.revision + 1)):
            if not keys.contains(change.kv.key):
                continue
            if change.previous is None:
                past.pop(change.kv.key, None)
            else:
                past[change.kv.key] = change.previous
        return [past[key] for key in sorted(past)]

    def _check_put(self, request: PutRequest) -> None:
        if not request.key:
            raise StoreError(GRPC_INVALID_ARGUMENT, "etcdserver: key is not provided")
        if request.lease and self._state.lease(request.lease) is None:
            raise StoreError(GRPC_NOT_FOUND, "etcdserver: requested lease not found")

    def _check_operations(self, operations: tuple[RequestOperation, ...]) -> None:
        written: set[bytes] = set()
        for operation in operations:
            if operation.request_put is None:
                continue
            self._check_put(operation.request_put)
            if operation.request_put.key in written:
                raise StoreError(
                    GRPC_INVALID_ARGUMENT, "etcdserver: duplicate key given in txn request"
                )
            written.add(operation.request_put.key)

    def _holds(self, compare: Compare) -> bool:
        kv = self._state.get(compare.key) or _ABSENT
        if compare.target == "VALUE" and kv is _ABSENT:
            return False
        actual, wanted = _operands(compare, kv)
        comparison = _COMPARISONS.get(compare.result)
        if comparison is None:
            raise StoreError(GRPC_INVALID_ARGUMENT, f"unknown comparison {compare.result}")
        return bool(comparison(actual, wanted))

    def _operate(self, operation: RequestOperation, revision: int, now: float) -> OperationAnswer:
        if operation.request_put is not None:
            return OperationAnswer(response_put=self._put(operation.request_put, revision, now))
        if operation.request_delete_range is not None:
            deleted = self._delete(operation.request_delete_range, revision, now)
            return OperationAnswer(response_delete_range=deleted)
        if operation.request_range is not None:
            return OperationAnswer(response_range=self.range(operation.request_range))
        raise StoreError(GRPC_INVALID_ARGUMENT, "empty operation in a transaction")

    def _put(self, request: PutRequest, revision: int, now: float) -> PutAnswer:
        change = self._state.put(
            request.key, request.value, lease=request.lease, revision=revision, now=now
        )
        previous = None
        if request.prev_kv and change.previous is not None:
            previous = key_value_body(change.previous)
        return PutAnswer(header=self.header(), prev_kv=previous)

    def _delete(self, request: DeleteRangeRequest, revision: int, now: float) -> DeleteRangeAnswer:
        keys = KeyRange(request.key, request.range_end)
        changes = self._state.delete(keys, revision=revision, now=now)
        previous: tuple[Any, ...] = ()
        if request.prev_kv:
            previous = tuple(key_value_body(c.previous) for c in changes if c.previous is not None)
        return DeleteRangeAnswer(
            header=self.header(), deleted=number(len(changes)), prev_kvs=previous
        )


def _operands(compare: Compare, kv: StoredKey) -> tuple[Any, Any]:
    match compare.target:
        case "VERSION":
            return kv.version, compare.version
        case "MOD":
            return kv.mod_revision, compare.mod_revision
        case "CREATE":
            return kv.create_revision, compare.create_revision
        case "VALUE":
            return kv.value, compare.value
        case "LEASE":
            return kv.lease, compare.lease
    raise StoreError(GRPC_INVALID_ARGUMENT, f"unknown target {compare.target}")
