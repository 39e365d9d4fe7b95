"""Registration of nodes in the key-value service: keys and documents."""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.addresses import MAX_PORT
from yokeline.effects import Address
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.registry.formats import short_reason
from yokeline.registry.protocol import StoredItem

OWN_PREFIX = "yokeline/"
"""Prefix of all keys that nodes write for each other."""
NODE_PREFIX = "yokeline/nodes/"
"""Prefix of the nodes' records, by node name."""
FOUNDERS_KEY = "yokeline/ledger/founder"
"""Key of the replicas that bootstrap the ledger's group; written only if absent."""
SURVIVOR_PREFIX = "yokeline/ledger/survivor/"
"""Prefix of the replicas that continue a group of two members without the other member, by index
of the group's configuration."""
SURVIVOR_COPIES_PREFIX = "yokeline-copies/"
"""Prefix of the copies of what such a replica commits alone. It is below no prefix that nodes
watch, since each watcher would be sent every copy."""

_HOST_PATTERN = re.compile(r"[0-9A-Za-z.:_-]+")
"""Characters of IP addresses and host names."""
_MAX_NAME_CHARACTERS = 512
"""Longest name, replica id, zone or host in a record: messages, metrics and log lines hold them."""
_REPLICA_PATTERN = re.compile(r"\S+")
"""Replica ids have no white space, which separates the founders in their document."""


class NodeRole(enum.Enum):
    """Role of a node."""

    EDGE = "edge"
    STORAGE = "storage"


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A node and the address at which it listens for other nodes.

    Attributes:
        replica: Replica id, which survives restarts: that of the disk for a storage node, the
            node's name for an edge node.
        holds_texts: A storage node has regional texts that would have too few copies without it.
    """

    name: NodeName
    role: NodeRole
    replica: ReplicaId
    address: Address
    zone: str = ""
    holds_texts: bool = False


def encode_founders(founders: tuple[ReplicaId, ...]) -> bytes:
    """Return the founders' ids, separated by spaces; an id contains none."""
    return " ".join(founders).encode()


def decode_founders(value: bytes) -> tuple[ReplicaId, ...]:
    """Return the founders in a document; invalid UTF-8 is replaced and matches no replica."""
    return tuple(ReplicaId(name) for name in value.decode(errors="replace").split())


def storage_nodes(items: Iterable[StoredItem]) -> list[NodeRecord]:
    """Return the valid records of storage nodes in the nodes' items."""
    return [record for record in read_nodes(items) if record.role is NodeRole.STORAGE]


def read_nodes(items: Iterable[StoredItem]) -> list[NodeRecord]:
    """Return the valid records in the nodes' items."""
    decoded = (read_node(item) for item in items)
    return [result.unwrap() for result in decoded if isinstance(result, Success)]


def read_node(item: StoredItem) -> Result[NodeRecord, YokelineError]:
    """Return the record in a node's item; the key must match the record's name."""
    read = decode_node(item.value or b"")
    if isinstance(read, Success) and item.key != node_key(read.unwrap().name):
        return Failure(_invalid_record_error("the key does not match the node's name"))
    return read


def node_key(name: NodeName) -> str:
    """Return the key of a node's record."""
    return NODE_PREFIX + name


def encode_node(record: NodeRecord) -> bytes:
    """Return a record's document."""
    fields = msgspec.to_builtins(record)
    if not record.holds_texts:
        # Without regional texts, records are the same as those of earlier releases.
        del fields["holds_texts"]
    return msgspec.json.encode(fields)


def decode_node(value: bytes) -> Result[NodeRecord, YokelineError]:
    """Return the record in a document."""
    try:
        record = msgspec.json.decode(value, type=NodeRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(_invalid_record_error(short_reason(error)))
    if not _is_valid_address(record.address):
        return Failure(_invalid_record_error("the address has an invalid host or port"))
    if not _REPLICA_PATTERN.fullmatch(record.replica):
        return Failure(_invalid_record_error("the replica id is empty or has white space"))
    names = (record.name, record.replica, record.zone, record.address.host)
    if max(map(len, names)) > _MAX_NAME_CHARACTERS:
        return Failure(_invalid_record_error("a name is too long"))
    return Success(record)


def _is_valid_address(address: Address) -> bool:
    """Return whether an address has a well-formed host and a port in range."""
    is_host = _HOST_PATTERN.fullmatch(address.host) is not None
    return is_host and 0 < address.port <= MAX_PORT


def _invalid_record_error(reason: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"invalid node record: {reason}",
        remedy="run the same or consecutive releases of yokeline on all nodes",
    )
