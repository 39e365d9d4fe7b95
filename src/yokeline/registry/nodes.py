"""Nodes as they register themselves in the key-value service."""

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
from yokeline.registry.protocol import StoredItem

OWN_PREFIX = "yokeline/"
"""Everything that nodes write for each other."""
NODE_PREFIX = "yokeline/nodes/"
FOUNDERS_KEY = "yokeline/ledger/founder"
"""The replicas with which the ledger's group begins; written once, if it is absent."""
SURVIVOR_PREFIX = "yokeline/ledger/survivor/"
"""Below it, by index of a configuration of two members: the one that goes on without the other."""

_HOST = re.compile(r"[0-9A-Za-z.:_-]+")
"""An address or a host name; anything else is no place to send to."""


class NodeRole(enum.Enum):
    """What a node does."""

    EDGE = "edge"
    STORAGE = "storage"


class NodeRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Where a node listens for other nodes.

    Attributes:
        replica: Its disk (storage), or its name, which a new start does not change.
    """

    name: NodeName
    role: NodeRole
    replica: ReplicaId
    address: Address
    zone: str = ""


def encode_founders(founders: tuple[ReplicaId, ...]) -> bytes:
    """Return the document that names the founders (an id holds no space)."""
    return " ".join(founders).encode()


def decode_founders(value: bytes) -> tuple[ReplicaId, ...]:
    """Return the founders in a document; names that are no text belong to no replica."""
    return tuple(ReplicaId(name) for name in value.decode(errors="replace").split())


def storage_nodes(items: Iterable[StoredItem]) -> list[NodeRecord]:
    """Return the storage nodes among the nodes' items."""
    return [record for record in read_nodes(items) if record.role is NodeRole.STORAGE]


def read_nodes(items: Iterable[StoredItem]) -> list[NodeRecord]:
    """Return the records in the nodes' items; one that cannot be read is left out."""
    decoded = (read_node(item) for item in items)
    return [result.unwrap() for result in decoded if isinstance(result, Success)]


def read_node(item: StoredItem) -> Result[NodeRecord, YokelineError]:
    """Return the record in a node's item; it stands under the node's own name."""
    read = decode_node(item.value or b"")
    if isinstance(read, Success) and item.key != node_key(read.unwrap().name):
        return Failure(_unreadable("it names another node"))
    return read


def node_key(name: NodeName) -> str:
    """Return the key of a node's record."""
    return NODE_PREFIX + name


def encode_node(record: NodeRecord) -> bytes:
    """Return a record's document."""
    return msgspec.json.encode(record)


def decode_node(value: bytes) -> Result[NodeRecord, YokelineError]:
    """Return the record in a document."""
    try:
        record = msgspec.json.decode(value, type=NodeRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(_unreadable(str(error)))
    if not _is_usable(record.address):
        return Failure(_unreadable("it has no address"))
    return Success(record)


def _is_usable(address: Address) -> bool:
    """Return whether a connection to an address may be tried."""
    is_host = _HOST.fullmatch(address.host) is not None
    return is_host and 0 < address.port <= MAX_PORT


def _unreadable(reason: str) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_REQUEST,
        message=f"a node's record cannot be read: {reason}",
        remedy="run releases of yokeline that follow each other on all nodes",
    )
