"""Answers of the etcd v3 JSON gateway, and the typed results made of them.

The gateway is protobuf's JSON mapping of etcd's gRPC API: 64-bit numbers are strings, bytes
are base64, and fields that hold their zero value are left out.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

DELETE_EVENT = "DELETE"


class KeyValue(msgspec.Struct, frozen=True, kw_only=True):
    """A key as it stands in the store.

    Attributes:
        create_revision: Store revision that created it.
        mod_revision: Store revision that last wrote it.
        version: Number of writes since its creation.
        lease: Lease that it is bound to; 0 for none.
    """

    key: str
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class RangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Keys that were read.

    Attributes:
        revision: Store revision at which they were read.
        more: Whether further keys of the range were left out by the limit.
    """

    revision: int
    items: tuple[KeyValue, ...]
    more: bool = False


class SwapResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of a compare-and-swap or a compared delete.

    Attributes:
        applied: Whether the comparison held and the write was made.
        revision: Store revision of the write; where it was not applied, of the comparison.
        current: Where it was not applied: the key as it stands, None if there is none.
    """

    applied: bool
    revision: int
    current: KeyValue | None = None


class LeaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """A lease that was granted or renewed.

    Attributes:
        seconds: Time it lives from now; 0 if it has lapsed.
    """

    lease: int
    seconds: int


class WatchEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A change of a key; ``value`` is None where it was deleted."""

    key: str
    revision: int
    value: bytes | None


class WatchBatch(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a watch stream.

    Attributes:
        upto: All changes up to this revision have been delivered; 0 if that is not known.
        compacted: The asked-for revisions are gone; the range must be read anew.
        ended: The store ended the watch or reported an error.
    """

    events: tuple[WatchEvent, ...] = ()
    upto: int = 0
    compacted: bool = False
    ended: bool = False


# ---------------------------------------------------------------- wire structs


class _Header(msgspec.Struct):
    revision: int = 0


class _WireKeyValue(msgspec.Struct):
    key: bytes = b""
    value: bytes = b""
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


class _RangeAnswer(msgspec.Struct):
    header: _Header
    kvs: list[_WireKeyValue] = []
    more: bool = False


class _ReadInTxn(msgspec.Struct):
    kvs: list[_WireKeyValue] = []


class _TxnPart(msgspec.Struct):
    response_range: _ReadInTxn | None = None


class _TxnAnswer(msgspec.Struct):
    header: _Header
    succeeded: bool = False
    responses: list[_TxnPart] = []


class _LeaseAnswer(msgspec.Struct):
    lease: int = msgspec.field(name="ID", default=0)
    seconds: int = msgspec.field(name="TTL", default=0)


class _LeaseStreamAnswer(msgspec.Struct):
    result: _LeaseAnswer


class _WireEvent(msgspec.Struct):
    kv: _WireKeyValue
    type: str = ""


class _WatchAnswer(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: list[_WireEvent] = []


class _WatchLine(msgspec.Struct):
    result: _WatchAnswer | None = None


_Answer = TypeVar("_Answer")

# ---------------------------------------------------------------- answers


def decode_range(body: bytes) -> Result[RangeResult, str]:
    """Decode the answer to a range request."""
    return _decode(body, _RangeAnswer).map(
        lambda answer: RangeResult(
            revision=answer.header.revision,
            items=tuple(_key_value(wire) for wire in answer.kvs),
            more=answer.more,
        )
    )


def decode_swap(body: bytes) -> Result[SwapResult, str]:
    """Decode the answer to a compare-and-swap or a compared delete."""
    return _decode(body, _TxnAnswer).map(_swap_result)


def decode_lease(body: bytes) -> Result[LeaseResult, str]:
    """Decode the answer to a lease grant or revoke."""
    return _decode(body, _LeaseAnswer).map(
        lambda answer: LeaseResult(lease=answer.lease, seconds=answer.seconds)
    )


def decode_keepalive(body: bytes) -> Result[LeaseResult, str]:
    """Decode the first message of a keepalive answer (the gateway streams it)."""
    first_line = body.strip().partition(b"\n")[0]
    return _decode(first_line, _LeaseStreamAnswer).map(
        lambda answer: LeaseResult(lease=answer.result.lease, seconds=answer.result.seconds)
    )


def decode_watch_line(line: bytes) -> Result[WatchBatch, str]:
    """Decode one line of a watch stream.

    The header's revision counts as progress only in a message without events that is not
    the one that opens the watch: with events it may lie ahead of what was delivered.
    """
    return _decode(line, _WatchLine).map(_watch_batch)


def _decode(body: bytes, answer_type: type[_Answer]) -> Result[_Answer, str]:
    try:
        return Success(msgspec.json.decode(body, type=answer_type, strict=False))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as found:
        return Failure(str(found))


def _key_value(wire: _WireKeyValue) -> KeyValue:
    return KeyValue(
        key=_key_text(wire.key),
        value=wire.value,
        create_revision=wire.create_revision,
        mod_revision=wire.mod_revision,
        version=wire.version,
        lease=wire.lease,
    )


def _key_text(key: bytes) -> str:
    return key.decode(errors="backslashreplace")


def _swap_result(answer: _TxnAnswer) -> SwapResult:
    if answer.succeeded:
        return SwapResult(applied=True, revision=answer.header.revision)
    found = [part.response_range for part in answer.responses if part.response_range]
    current = _key_value(found[0].kvs[0]) if found and found[0].kvs else None
    return SwapResult(applied=False, revision=answer.header.revision, current=current)


def _watch_batch(line: _WatchLine) -> WatchBatch:
    answer = line.result
    if answer is None:
        return WatchBatch(ended=True)
    if answer.compact_revision:
        return WatchBatch(compacted=True, ended=True)
    events = tuple(_watch_event(event) for event in answer.events)
    if events:
        upto = max(event.revision for event in events)
    else:
        upto = 0 if answer.created or answer.canceled else answer.header.revision
    return WatchBatch(events=events, upto=upto, ended=answer.canceled)


def _watch_event(wire: _WireEvent) -> WatchEvent:
    deleted = wire.type == DELETE_EVENT
    return WatchEvent(
        key=_key_text(wire.kv.key),
        revision=wire.kv.mod_revision,
        value=None if deleted else wire.kv.value,
    )
