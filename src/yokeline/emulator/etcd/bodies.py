"""Bodies of the etcd v3 JSON gateway: bytes in base64, 64-bit numbers as strings.

Zero and empty fields are left out of answers, as the gateway does (proto3 JSON mapping).
"""

from __future__ import annotations

import re
from base64 import b64encode
from typing import Any, TypeVar

import msgspec

from yokeline.emulator.etcd.state import Change, StoredKey

ZERO = "0"
_CAPITAL = re.compile(r"(?<=[a-z0-9])([A-Z])")
_Body = TypeVar("_Body")


class RangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/kv/range``."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    keys_only: bool = False
    count_only: bool = False
    serializable: bool = False


class PutRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/kv/put``."""

    key: bytes
    value: bytes = b""
    lease: int = 0
    prev_kv: bool = False


class DeleteRangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/kv/deleterange``."""

    key: bytes
    range_end: bytes = b""
    prev_kv: bool = False


class Compare(msgspec.Struct, frozen=True, kw_only=True):
    """A condition of a transaction."""

    key: bytes
    target: str = "VERSION"
    result: str = "EQUAL"
    version: int = 0
    create_revision: int = 0
    mod_revision: int = 0
    value: bytes = b""
    lease: int = 0


class RequestOperation(msgspec.Struct, frozen=True, kw_only=True):
    """An operation of a transaction: exactly one field is set."""

    request_range: RangeRequest | None = None
    request_put: PutRequest | None = None
    request_delete_range: DeleteRangeRequest | None = None


class TransactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/kv/txn``."""

    compare: tuple[Compare, ...] = ()
    success: tuple[RequestOperation, ...] = ()
    failure: tuple[RequestOperation, ...] = ()


class CompactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/kv/compaction``."""

    revision: int


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/lease/grant``, ``keepalive``, ``revoke`` and ``timetolive``."""

    lease: int = msgspec.field(name="ID", default=0)
    ttl: int = msgspec.field(name="TTL", default=0)


class WatchCreateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What to watch; ``start_revision`` 0 means: from now on."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False
    prev_kv: bool = False


class WatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """``/v3/watch``."""

    create_request: WatchCreateRequest


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """Header of every answer."""

    revision: str
    cluster_id: str = "1"
    member_id: str = "1"
    raft_term: str = "1"


class KeyValueBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A key and its value; a tombstone has only key and ``mod_revision``."""

    key: str
    create_revision: str = ZERO
    mod_revision: str = ZERO
    version: str = ZERO
    value: str = ""
    lease: str = ZERO


class RangeAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a range request."""

    header: Header
    kvs: tuple[KeyValueBody, ...] = ()
    more: bool = False
    count: str = ZERO


class PutAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a put."""

    header: Header
    prev_kv: KeyValueBody | None = None


class DeleteRangeAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a deletion."""

    header: Header
    deleted: str = ZERO
    prev_kvs: tuple[KeyValueBody, ...] = ()


class OperationAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to one operation of a transaction."""

    response_range: RangeAnswer | None = None
    response_put: PutAnswer | None = None
    response_delete_range: DeleteRangeAnswer | None = None


class TransactionAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer to a transaction."""

    header: Header
    succeeded: bool = False
    responses: tuple[OperationAnswer, ...] = ()


class CompactionAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a compaction, and to the end of a lease."""

    header: Header


class LeaseAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Answer about a lease; a lease that is gone has no ``TTL`` (0)."""

    header: Header
    lease: str = msgspec.field(name="ID", default=ZERO)
    ttl: str = msgspec.field(name="TTL", default=ZERO)


class EventBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An event of a watch; puts have no type, as the gateway leaves out zero values."""

    type: str = "PUT"
    kv: KeyValueBody
    prev_kv: KeyValueBody | None = None


class WatchAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One line of a watch."""

    header: Header
    created: bool = False
    canceled: bool = False
    compact_revision: str = ZERO
    cancel_reason: str = ""
    events: tuple[EventBody, ...] = ()


class StreamLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of a streamed answer."""

    result: WatchAnswer | LeaseAnswer


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """An error: the text, and the gRPC status code."""

    error: str
    code: int
    message: str


def number(value: int) -> str:
    """Return a 64-bit number as the gateway writes it.

    Zero is always the same object as the fields' default: msgspec leaves defaults out by
    identity.
    """
    return str(value) if value else ZERO


def decode_request(body: bytes, body_type: type[_Body]) -> _Body:
    """Return a typed request; field names in snake or camel case, numbers also as strings.

    Raises:
        msgspec.MsgspecError: The body is not such a request.
    """
    return msgspec.convert(_snake_keys(msgspec.json.decode(body)), body_type, strict=False)


def _snake_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {_snake(key): _snake_keys(item) for key, item in value.items()}
    if isinstance(value, list):
        return [_snake_keys(item) for item in value]
    return value


def _snake(key: str) -> str:
    if key.isupper():
        return key
    return _CAPITAL.sub(lambda found: "_" + found.group(1).lower(), key)


def key_value_body(kv: StoredKey, *, keys_only: bool = False) -> KeyValueBody:
    """Return the JSON form of a key."""
    return KeyValueBody(
        key=b64encode(kv.key).decode(),
        create_revision=number(kv.create_revision),
        mod_revision=number(kv.mod_revision),
        version=number(kv.version),
        value="" if keys_only else b64encode(kv.value).decode(),
        lease=number(kv.lease),
    )


def event_body(change: Change, *, with_previous: bool) -> EventBody:
    """Return the JSON form of a change."""
    previous = None
    if with_previous and change.previous is not None:
        previous = key_value_body(change.previous)
    kind = "PUT" if change.kv.version else "DELETE"
    return EventBody(type=kind, kv=key_value_body(change.kv), prev_kv=previous)
