"""Identifiers shared by every part of the system, and how a run maps to its shard."""

from __future__ import annotations

import random
from typing import NewType

import xxhash

NodeName = NewType("NodeName", str)
"""Name of a machine's node, from its settings; survives restarts."""

ReplicaId = NewType("ReplicaId", str)
"""Identity of one *process start* of a node (``name~hex``); never used again after it."""

ShardId = NewType("ShardId", int)
"""Number of a shard, 0 <= shard < shard count."""

RunId = NewType("RunId", str)
"""Identity of a run (``run-`` and 32 hex digits); a child's id is ``parent.childnumber``."""

ExchangeId = NewType("ExchangeId", str)
"""One HTTP request of a caller or operator at the node that received it."""

RequestId = NewType("RequestId", str)
"""One request of this process to a back end, the key-value service or another node."""

RUN_PREFIX = "run-"
_SEPARATOR = "\x00"
_REPLICA_SUFFIX_BITS = 64


def new_replica_id(name: NodeName, source: random.Random) -> ReplicaId:
    """Return a fresh replica id for a process start of the node ``name``."""
    return ReplicaId(f"{name}~{source.getrandbits(_REPLICA_SUFFIX_BITS):016x}")


def node_name_of(replica: ReplicaId) -> NodeName:
    """Return the node name inside a replica id."""
    return NodeName(replica.rpartition("~")[0])


def run_id_for_key(tenant: str, idempotency_key: str) -> RunId:
    """Return the run id that a tenant's idempotency key always leads to.

    Equal keys of one tenant give equal ids at every node, so that a retried request
    reaches the shard that holds its first attempt.
    """
    digest = xxhash.xxh3_128_hexdigest(f"{tenant}{_SEPARATOR}{idempotency_key}".encode())
    return RunId(RUN_PREFIX + digest)


def child_run_id(parent: RunId, child_number: int) -> RunId:
    """Return the id of a run's child; it lives in the shard of its root run."""
    return RunId(f"{parent}.{child_number}")


def root_run_id(run: RunId) -> RunId:
    """Return the id of the root of the tree that ``run`` belongs to."""
    return RunId(run.partition(".")[0])


def shard_of_run(run: RunId, shard_count: int) -> ShardId:
    """Return the shard that holds ``run`` (all runs of one tree share a shard)."""
    return ShardId(xxhash.xxh3_64_intdigest(root_run_id(run).encode()) % shard_count)


def shard_of_name(name: str, shard_count: int) -> ShardId:
    """Return the shard that stewards a named object (an engine or a tenant's ledger)."""
    return ShardId(xxhash.xxh3_64_intdigest(name.encode()) % shard_count)
