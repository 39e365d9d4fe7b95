"""Nodes as they register themselves in the key-value service."""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

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
    decoded = (decode_node(item.value or b"") for item in items)
    return [result.unwrap() for result in decoded if isinstance(result, Success)]


def node_key(name: NodeName) -> str:
    """Return the key of a node's record."""
    return NODE_PREFIX + name


def encode_node(record: NodeRecord) -> bytes:
    """Return a record's document."""
    return msgspec.json.encode(record)


def decode_node(value: bytes) -> Result[NodeRecord, YokelineError]:
    """Return the record in a document."""
    try:
        return Success(msgspec.json.decode(value, type=NodeRecord))
    except msgspec.DecodeError as error:
        return Failure(
            YokelineError(
                kind=ErrorKind.BAD_REQUEST,
                message=f"a node's record cannot be read: {error}",
                remedy="run the same release of yokeline on all nodes",
            )
        )
