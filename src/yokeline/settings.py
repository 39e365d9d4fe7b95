"""Settings of a node: typed structs with defaults; ``settings_loader`` reads and checks them.

One TOML file per node, one table per struct below, and flags that override single values
(``--set consensus.election_timeout_seconds=2``). Units are in the names.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class _Section(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings tables: immutable, keyword only, unknown keys refused."""


class NodeSection(_Section, frozen=True, kw_only=True):
    """``[node]``: who and where this node is.

    Attributes:
        name: Name of the node, unique in the deployment.
        zone: Zone of the machine.
        region: Region of the machine.
        host: IP number to listen on and to be reached at.
        http_port: Public and admin API (TCP).
        peer_port: Other nodes (TCP), and membership (UDP, same number).
        data_folder: Folder for snapshots and logs; empty on machines without a disk.
    """

    name: str
    zone: str = "zone-1"
    region: str = "region-1"
    host: str = "127.0.0.1"
    http_port: Port = 7800
    peer_port: Port = 7900
    data_folder: str = ""


class ClusterSection(_Section, frozen=True, kw_only=True):
    """``[cluster]``: what all nodes of a deployment have in common.

    Attributes:
        seeds: Peer addresses (``ip:port``) of some nodes, to join through.
        expected_nodes: Nodes that must be seen before the first placement is written.
        shards: Number of shards; fixed for the life of a deployment.
        replicas: Replicas of a shard (3 or 5).
    """

    seeds: tuple[str, ...] = ()
    expected_nodes: PositiveInt = 5
    shards: PositiveInt = 64
    replicas: PositiveInt = 5


class PlatformSection(_Section, frozen=True, kw_only=True):
    """``[platform]``: services that the platform gives.

    Attributes:
        store: Address (``ip:port``) of the key-value service (etcd v3 JSON gateway).
        store_prefix: Prefix of all keys of this deployment.
        store_timeout_seconds: Longest wait for one answer.
        machine_list: Address of the machine list (HTTP service discovery); empty for none.
        machine_list_path: Path of the list there.
        machine_list_period_seconds: Time between two readings.
    """

    store: str = "127.0.0.1:2379"
    store_prefix: str = "/yokeline/"
    store_timeout_seconds: PositiveFloat = 3.0
    machine_list: str = ""
    machine_list_path: str = "/v1/machines"
    machine_list_period_seconds: PositiveFloat = 2.0


class MembershipSection(_Section, frozen=True, kw_only=True):
    """``[membership]``: failure detection among nodes.

    Attributes:
        probe_period_seconds: Time between two probes of one node.
        probe_timeout_seconds: Wait for a direct answer before asking others to probe.
        suspect_seconds: Time from suspicion to declared death.
        indirect_probes: Nodes asked to probe on our behalf.
    """

    probe_period_seconds: PositiveFloat = 0.5
    probe_timeout_seconds: PositiveFloat = 0.25
    suspect_seconds: PositiveFloat = 2.0
    indirect_probes: PositiveInt = 3


class ConsensusSection(_Section, frozen=True, kw_only=True):
    """``[consensus]``: the Raft groups of the shards.

    Attributes:
        heartbeat_seconds: Time between two coalesced heartbeats of a pair of nodes.
        election_timeout_seconds: Silence of a leader before an election; each replica adds
            a random share of up to the same again.
        snapshot_entries: Log entries after which a group is compacted.
        snapshot_chunk_bytes: Size of one snapshot chunk.
        append_bytes: Most bytes of entries in one message.
        replace_after_seconds: Time a member's node is dead before it is replaced.
    """

    heartbeat_seconds: PositiveFloat = 0.25
    election_timeout_seconds: PositiveFloat = 1.0
    snapshot_entries: PositiveInt = 2000
    snapshot_chunk_bytes: PositiveInt = 262_144
    append_bytes: PositiveInt = 262_144
    replace_after_seconds: PositiveFloat = 3.0


class GatewaySection(_Section, frozen=True, kw_only=True):
    """``[gateway]``: the public and admin API.

    Attributes:
        platform_token_digest: SHA-256 hex of the platform operator's token; empty: none.
        max_body_bytes: Largest request body taken.
        max_header_bytes: Largest request head taken.
        default_deadline_seconds: Deadline of a request that names none.
        max_deadline_seconds: Longest deadline a caller may ask for.
        max_waiting_requests: Requests under way at one node; more are shed at once.
        keepalive_seconds: Time between comments on a silent event stream.
    """

    platform_token_digest: str = ""
    max_body_bytes: PositiveInt = 1_048_576
    max_header_bytes: PositiveInt = 16_384
    default_deadline_seconds: PositiveFloat = 120.0
    max_deadline_seconds: PositiveFloat = 3600.0
    max_waiting_requests: PositiveInt = 5000
    keepalive_seconds: PositiveFloat = 10.0


class RunsSection(_Section, frozen=True, kw_only=True):
    """``[runs]``: driving and keeping runs.

    Attributes:
        retention_seconds: Time a final run (and its idempotency key) is kept.
        idle_seconds: Time an idle conversation is kept for its next turn.
        call_attempts: Attempts of a repeatable call.
        retry_base_seconds: First pause before a further attempt; doubles, with jitter.
        retry_max_seconds: Longest pause between attempts.
        stream_flush_seconds: Longest time text waits to be joined with later text.
    """

    retention_seconds: PositiveFloat = 86_400.0
    idle_seconds: PositiveFloat = 86_400.0
    call_attempts: PositiveInt = 4
    retry_base_seconds: PositiveFloat = 0.2
    retry_max_seconds: PositiveFloat = 5.0
    stream_flush_seconds: PositiveFloat = 0.03


class SchedulingSection(_Section, frozen=True, kw_only=True):
    """``[scheduling]``: choice of engine, queue order and cache decisions.

    Attributes:
        policy: ``affinity`` (the product's), ``round_robin``, ``least_loaded`` or
            ``prefix_fcfs`` (baselines).
        load_period_seconds: Time between two readings of an engine's load.
        hold_max_seconds: Longest cache hold at an engine.
        queue_limit: Calls waiting for one engine; more are shed at once.
        aging_seconds: Waiting time that lifts a call by one priority step.
    """

    policy: str = "affinity"
    load_period_seconds: PositiveFloat = 1.0
    hold_max_seconds: PositiveFloat = 60.0
    queue_limit: PositiveInt = 1000
    aging_seconds: PositiveFloat = 10.0


class LogSection(_Section, frozen=True, kw_only=True):
    """``[log]``: JSON log lines.

    Attributes:
        level: ``debug``, ``info``, ``warning`` or ``error``.
        file: File to append to; empty for standard error.
    """

    level: str = "info"
    file: str = ""


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one node."""

    node: NodeSection
    cluster: ClusterSection = ClusterSection()
    platform: PlatformSection = PlatformSection()
    membership: MembershipSection = MembershipSection()
    consensus: ConsensusSection = ConsensusSection()
    gateway: GatewaySection = GatewaySection()
    runs: RunsSection = RunsSection()
    scheduling: SchedulingSection = SchedulingSection()
    log: LogSection = LogSection()
