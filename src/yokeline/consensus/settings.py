"""Settings of one Raft group; the host derives them from the node's settings."""

from __future__ import annotations

import msgspec


class RaftSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timing and sizes of a group; the same at every replica of it.

    Attributes:
        heartbeat_seconds: Time between two messages to a follower that has not answered, or
            does not yet hold everything.
        idle_heartbeat_seconds: Time between two heartbeats to a follower that holds everything.
        election_timeout_seconds: Silence of a leader before an election; each replica adds a
            random share of up to the same again.
        append_bytes: Most bytes of entries in flight to one follower (one larger entry may fly
            alone).
        snapshot_chunk_bytes: Most bytes of one snapshot chunk.
        drift_margin: Share by which a lease is shorter than the election timeout, to cover
            clocks that run at different rates.
        retained_entries: Entries kept before a compacted index, so that a follower that lags a
            little needs no snapshot.
        uses_lease: Reads or effects rely on :meth:`RaftGroup.lease_valid`. Without it a replica
            that restarts owes an earlier leader nothing, and may vote at once.
        prompt_start_seconds: Time after a restart in which a replica without a lease to honour
            asks for an election at once, and again and again: after a loss of power nobody
            leads, and to wait for a leader's silence is in vain. The pre-vote keeps it from
            disturbing a leader that lives. 0 for a start like any other silence.
        prompt_retry_seconds: Pause between such requests, shortened by up to a half by lot.
    """

    heartbeat_seconds: float = 0.25
    idle_heartbeat_seconds: float = 5.0
    election_timeout_seconds: float = 1.0
    append_bytes: int = 262_144
    snapshot_chunk_bytes: int = 262_144
    drift_margin: float = 0.1
    retained_entries: int = 256
    uses_lease: bool = True
    prompt_start_seconds: float = 0.0
    prompt_retry_seconds: float = 0.05

    @property
    def lease_seconds(self) -> float:
        """Return how long a quorum's answer proves leadership, from the send time on."""
        return self.election_timeout_seconds * (1.0 - self.drift_margin)
