"""File formats of a shard's copy in the data folder: pure encoding and decoding.

A copy has two files. ``shards/<number>.snapshot`` holds the state after some log entry, and
``shards/<number>.log`` the entries committed since, appended in order. Both are sequences of
records: length of the payload, checksum of the length, checksum of the payload, payload.

An incomplete record at the end, left by a crash during a write, is truncated. A complete
record that does not match its checksum is damage: the file is rejected.
"""

from __future__ import annotations

import struct

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from yokeline.consensus.messages import LogEntry
from yokeline.consensus.types import Snapshot
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import decode_struct, encode_struct

FORMAT_VERSION = 1
_HEADER = struct.Struct(">IIQ")
_LENGTH = struct.Struct(">I")


class SnapshotRecord(msgspec.Struct, frozen=True, array_like=True):
    """The only record of a snapshot file.

    Attributes:
        version: Version of the file format.
        replica: Process start that wrote the file.
    """

    version: int
    shard: ShardId
    replica: ReplicaId
    snapshot: Snapshot


class StoredShard(msgspec.Struct, frozen=True, kw_only=True):
    """The state and log of a shard, as the data folder holds them.

    Attributes:
        replica: Process start that wrote them; its id is never used again.
        entries: Entries after the snapshot, without gaps; those on disk are committed.
        truncated_bytes: Size of the incomplete record that was truncated from the log; 0 for none.
    """

    shard: ShardId
    replica: ReplicaId
    snapshot: Snapshot
    entries: tuple[LogEntry, ...]
    truncated_bytes: int = 0

    @property
    def last_index(self) -> int:
        """Index of the last stored entry."""
        return self.entries[-1].index if self.entries else self.snapshot.last_index

    @property
    def last_term(self) -> int:
        """Term of the last stored entry."""
        return self.entries[-1].term if self.entries else self.snapshot.last_term


class _Records(msgspec.Struct, frozen=True):
    payloads: tuple[bytes, ...]
    truncated_bytes: int


def snapshot_file(shard: ShardId) -> str:
    """Return the path of a shard's snapshot file below the data folder."""
    return f"shards/{shard}.snapshot"


def log_file(shard: ShardId) -> str:
    """Return the path of a shard's log file below the data folder."""
    return f"shards/{shard}.log"


def encode_snapshot(shard: ShardId, replica: ReplicaId, snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    return _encode_record(encode_struct(SnapshotRecord(FORMAT_VERSION, shard, replica, snapshot)))


def encode_entries(entries: tuple[LogEntry, ...]) -> bytes:
    """Return the bytes that append these entries to a log file."""
    return b"".join(_encode_record(encode_struct(entry)) for entry in entries)


def decode_shard(
    shard: ShardId, snapshot_data: bytes, log_data: bytes
) -> Result[StoredShard, YokelineError]:
    """Return the shard that a snapshot file and a log file hold.

    Args:
        shard: Shard that the files are named after.
        snapshot_data: Content of the snapshot file.
        log_data: Content of the log file; empty if there is none.
    """
    snapshot = _decode_snapshot(shard, snapshot_data)
    if isinstance(snapshot, Failure):
        return Failure(snapshot.failure())
    record = snapshot.unwrap()
    log = _parse_records(log_file(shard), log_data)
    if isinstance(log, Failure):
        return Failure(log.failure())
    records = log.unwrap()
    entries = _decode_entries(shard, records.payloads, record.snapshot.last_index)
    return entries.map(
        lambda found: StoredShard(
            shard=shard,
            replica=record.replica,
            snapshot=record.snapshot,
            entries=found,
            truncated_bytes=records.truncated_bytes,
        )
    )


def _decode_snapshot(shard: ShardId, data: bytes) -> Result[SnapshotRecord, YokelineError]:
    name = snapshot_file(shard)
    records = _parse_records(name, data)
    if isinstance(records, Failure):
        return Failure(records.failure())
    payloads = records.unwrap().payloads
    if len(payloads) != 1 or records.unwrap().truncated_bytes:
        return Failure(_damage_error(name, 0, "expected exactly one complete record"))
    decoded = decode_struct(payloads[0], SnapshotRecord)
    if isinstance(decoded, Failure):
        return Failure(_damage_error(name, 0, decoded.failure().message))
    record = decoded.unwrap()
    if record.version != FORMAT_VERSION:
        return Failure(_version_error(name, record.version))
    if record.shard != shard:
        return Failure(
            _damage_error(
                name, 0, f"expected the shard in the file name, found shard {record.shard}"
            )
        )
    return Success(record)


def _decode_entries(
    shard: ShardId, payloads: tuple[bytes, ...], snapshot_index: int
) -> Result[tuple[LogEntry, ...], YokelineError]:
    """Return the entries after the snapshot.

    Entries that the snapshot covers are skipped: a crash after the snapshot was replaced and
    before the log was emptied leaves them.
    """
    entries: list[LogEntry] = []
    for payload in payloads:
        decoded = decode_struct(payload, LogEntry)
        if isinstance(decoded, Failure):
            return Failure(_damage_error(log_file(shard), 0, decoded.failure().message))
        entry = decoded.unwrap()
        if entry.index <= snapshot_index:
            continue
        if entry.index != snapshot_index + len(entries) + 1:
            reason = f"expected the next entry of the log, found entry {entry.index}"
            return Failure(_damage_error(log_file(shard), 0, reason))
        entries.append(entry)
    return Success(tuple(entries))


def _encode_record(payload: bytes) -> bytes:
    length = _LENGTH.pack(len(payload))
    checksum = xxhash.xxh3_64_intdigest(payload)
    return _HEADER.pack(len(payload), xxhash.xxh32_intdigest(length), checksum) + payload


def _parse_records(name: str, data: bytes) -> Result[_Records, YokelineError]:
    """Return the payloads of a file, without an incomplete record at its end."""
    payloads: list[bytes] = []
    position = 0
    while len(data) - position >= _HEADER.size:
        length, length_checksum, checksum = _HEADER.unpack_from(data, position)
        if xxhash.xxh32_intdigest(_LENGTH.pack(length)) != length_checksum:
            if not any(data[position:]):
                break  # Zero bytes that the file system allocated but never filled.
            return Failure(_damage_error(name, position, "its length does not match its checksum"))
        start = position + _HEADER.size
        payload = data[start : start + length]
        if len(payload) < length:
            break
        if xxhash.xxh3_64_intdigest(payload) != checksum:
            return Failure(_damage_error(name, position, "it does not match its checksum"))
        payloads.append(payload)
        position = start + length
    return Success(_Records(tuple(payloads), len(data) - position))


def _damage_error(name: str, position: int, reason: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.INTERNAL,
        message=f"{name} is damaged at byte {position}: {reason}",
        remedy="move the file out of the data folder; other nodes hold the shard's state",
    )


def _version_error(name: str, version: int) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.INTERNAL,
        message=f"{name} has format version {version}; this release supports {FORMAT_VERSION}",
        remedy="run the release of yokeline that wrote it",
    )
