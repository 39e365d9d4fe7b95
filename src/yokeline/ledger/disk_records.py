"""Records of a replica's log file: identity, hard state, entries, snapshot, addresses.

The file is a sequence of records, each a length, a checksum and a MessagePack payload. It is
appended to, or replaced as a whole. Recovery truncates it at the first incomplete record, as a loss
of power may leave; synced records are never truncated.
"""

from __future__ import annotations

import struct

import msgspec
import ormsgpack
import xxhash
from returns.result import Failure, Result, Success

from yokeline.consensus.messages import LogEntry
from yokeline.consensus.types import HardState, Snapshot
from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId

_PREFIX = struct.Struct(">II")
FRAME_BYTES = _PREFIX.size
"""Bytes of a record's length and checksum."""


class IdentityRecord(msgspec.Struct, frozen=True, tag="identity"):
    """The replica that owns the file; the first record.

    Attributes:
        first_start: The replica was created at the first start of the deployment.
    """

    replica: ReplicaId
    first_start: bool = False


class FoundedRecord(msgspec.Struct, frozen=True, tag="founded"):
    """The founders of the group; only in files of earlier releases. Snapshots list the members."""

    members: tuple[ReplicaId, ...]


class HardStateRecord(msgspec.Struct, frozen=True, tag="hard_state", omit_defaults=True):
    """Term and vote; the latest record applies.

    Attributes:
        commit_index: Index up to which the entries before this record are committed; 0 if unknown.
            The highest one applies. Earlier releases ignore it.
    """

    hard_state: HardState
    commit_index: int = 0


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """Log entries; they replace all entries from the first entry's index on."""

    entries: tuple[LogEntry, ...]


class SnapshotRecord(msgspec.Struct, frozen=True, tag="snapshot"):
    """State up to an index; later entries stay if the snapshot's last entry precedes them."""

    snapshot: Snapshot


class AddressesRecord(msgspec.Struct, frozen=True, tag="addresses"):
    """Last known addresses of the other replicas."""

    addresses: dict[ReplicaId, Address]


DiskRecord = (
    IdentityRecord
    | FoundedRecord
    | HardStateRecord
    | EntriesRecord
    | SnapshotRecord
    | AddressesRecord
)


class _RecordEnvelope(msgspec.Struct, frozen=True, array_like=True):
    record: DiskRecord


_decoder = msgspec.msgpack.Decoder(_RecordEnvelope)


class RecoveredLog(msgspec.Struct, kw_only=True):
    """Contents of a replica's log file.

    Attributes:
        valid_bytes: Length of the complete records; the rest is to be truncated.
    """

    replica: ReplicaId | None = None
    first_start: bool = False
    founders: tuple[ReplicaId, ...] = ()
    hard_state: HardState | None = None
    commit_index: int = 0
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = []
    addresses: dict[ReplicaId, Address] = {}
    valid_bytes: int = 0


def encode_record(record: DiskRecord) -> bytes:
    """Return the encoded record."""
    fields = msgspec.to_builtins(_RecordEnvelope(record), builtin_types=(bytes,))
    return framed(ormsgpack.packb(fields, option=ormsgpack.OPT_NON_STR_KEYS))


def framed(payload: bytes) -> bytes:
    """Return a payload as a record of a file, behind its length and checksum."""
    return _PREFIX.pack(len(payload), xxhash.xxh32_intdigest(payload)) + payload


def recover(data: bytes) -> Result[RecoveredLog, YokelineError]:
    """Return the contents of a log file.

    A failure means that a complete record cannot be decoded: the file is from another release or
    another program, and must not be overwritten.
    """
    log = RecoveredLog()
    offset = 0
    while (payload := payload_at(data, offset)) is not None:
        try:
            envelope = _decode_payload(payload)
        except (ormsgpack.MsgpackDecodeError, msgspec.ValidationError) as error:
            return Failure(_unreadable_log(offset, error))
        _apply_record(log, envelope.record)
        offset += FRAME_BYTES + len(payload)
    log.valid_bytes = offset
    if log.replica is None and log.valid_bytes:
        return Failure(_unreadable_log(0, ValueError("the first record is not an identity record")))
    return Success(log)


def payload_at(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``; None if no complete record starts there."""
    start = offset + _PREFIX.size
    if start > len(data):
        return None
    length, checksum = _PREFIX.unpack_from(data, offset)
    payload = data[start : start + length]
    if not length or len(payload) < length or xxhash.xxh32_intdigest(payload) != checksum:
        return None
    return payload


def _decode_payload(payload: bytes) -> _RecordEnvelope:
    """Return the record in a payload.

    ``msgspec`` decodes in one pass, a third of the time of the two passes, which decide what is
    refused and why.

    Raises:
        ormsgpack.MsgpackDecodeError: The payload is not MessagePack.
        msgspec.ValidationError: It holds no record of this release.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        fields = ormsgpack.unpackb(payload, option=ormsgpack.OPT_NON_STR_KEYS)
        return msgspec.convert(fields, _RecordEnvelope, builtin_types=(bytes,))


def _apply_record(log: RecoveredLog, record: DiskRecord) -> None:
    if isinstance(record, IdentityRecord):
        log.replica = record.replica
        log.first_start = record.first_start
    elif isinstance(record, FoundedRecord):
        log.founders = record.members
    elif isinstance(record, HardStateRecord):
        log.hard_state = record.hard_state
        log.commit_index = max(log.commit_index, record.commit_index)
    elif isinstance(record, EntriesRecord):
        _append_entries(log, record.entries)
    elif isinstance(record, SnapshotRecord):
        _apply_snapshot(log, record.snapshot)
    else:
        log.addresses = record.addresses


def _append_entries(log: RecoveredLog, entries: tuple[LogEntry, ...]) -> None:
    if not entries:
        return
    first = entries[0].index
    while log.entries and log.entries[-1].index >= first:
        log.entries.pop()
    log.entries.extend(entries)


def _apply_snapshot(log: RecoveredLog, snapshot: Snapshot) -> None:
    log.snapshot = snapshot
    covered = [entry for entry in log.entries if entry.index == snapshot.last_index]
    follows = bool(covered) and covered[0].term == snapshot.last_term
    later = [entry for entry in log.entries if entry.index > snapshot.last_index]
    log.entries = later if follows else []


def _unreadable_log(offset: int, error: Exception) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"the replica's log file cannot be decoded at byte {offset}: {error}",
        remedy="start the release that wrote it, or empty the data folder to join as a new member",
    )
