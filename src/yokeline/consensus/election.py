"""When to stand for election, when to refuse votes, and the count of votes."""

from __future__ import annotations

import math
import random

from yokeline.consensus.quorum import is_quorum
from yokeline.consensus.settings import RaftSettings
from yokeline.identifiers import ReplicaId

DEAD_LEADER_JITTER = 0.2
"""Share of the election timeout over which the followers of a dead leader spread out."""

PRE_VOTE_RETRY = 0.5
"""Share of a random election timeout after which a pre-vote without majority is repeated."""

PROMPT_JITTER = 0.5
"""Share of the pause after a restart that is left out by lot, so that votes are not split."""

PROMPT_TIMEOUT_RETRIES = 3
"""Prompt pauses after which an election is held again if no leader was heard since the restart; a
random share of up to the same again is added. At 40 ms it is five round trips of 24 ms."""

IDLE_SILENCE_HEARTBEATS = 3
"""Idle heartbeats a leader may miss while its node is alive."""


class ElectionTimer:
    """Evidence of a leader's life, and the deadlines that follow from it.

    Two kinds of evidence are kept apart. A message of the leader *in this group* binds: for
    the minimum election timeout after it this replica neither votes nor stands, since the
    leader's lease counts on that. A sign of life *of its node* only postpones an election.
    """

    __slots__ = (
        "_heard_at",
        "_is_shortened",
        "_node_alive_at",
        "_prompt_until",
        "_source",
        "_stand_at",
        "_started_at",
        "_timeout_factor",
    )

    def __init__(self, source: random.Random, now: float) -> None:
        """Create a timer that has heard of no leader."""
        self._source = source
        self._heard_at = -math.inf
        self._node_alive_at = -math.inf
        self._started_at = now
        self._timeout_factor = 0.0
        self._is_shortened = False
        self._stand_at: float | None = None
        self._prompt_until = -math.inf

    def begin_prompt_start(self, settings: RaftSettings, now: float) -> None:
        """Stand soon after a restart, and often until a leader is heard or time is up."""
        self._prompt_until = now + settings.prompt_start_seconds
        self.stand_again_promptly(settings, now)

    def is_prompt(self, now: float) -> bool:
        """Return whether this replica has just restarted and has heard of no leader since."""
        return now < self._prompt_until

    def stand_again_promptly(self, settings: RaftSettings, now: float) -> None:
        """Plan the next pre-vote after a short pause, part of it drawn by lot."""
        pause = settings.prompt_retry_seconds * (1.0 - PROMPT_JITTER * self._source.random())
        self._stand_at = now + pause

    def restart(self, settings: RaftSettings, now: float) -> None:
        """Start a fresh random timeout; what was heard of a leader still binds.

        It is shortened while no leader has been heard since a restart: after an election without a
        winner nobody leads, and there is nobody to wait for.
        """
        self._started_at = now
        self._timeout_factor = 1.0 + self._source.random()
        self._is_shortened = self.is_prompt(now)
        self._stand_at = None

    def heard(self, now: float) -> None:
        """Note a message of the group's leader."""
        self._heard_at = max(self._heard_at, now)
        self._node_alive_at = max(self._node_alive_at, now)
        self._stand_at = None
        self._prompt_until = -math.inf
        self._is_shortened = False

    def node_alive(self, now: float) -> None:
        """Note a sign of life of the leader's node."""
        if now > self._node_alive_at:
            self._node_alive_at = now
            self._stand_at = None

    def forget_leader(self) -> None:
        """Drop all evidence: the leader itself has said that it leads no more."""
        self._heard_at = -math.inf
        self._node_alive_at = -math.inf

    def stand_soon(self, settings: RaftSettings, now: float) -> None:
        """Plan an early election, since the leader's node is dead."""
        timeout = settings.election_timeout_seconds
        jitter = self._source.random() * DEAD_LEADER_JITTER * timeout
        self._node_alive_at = -math.inf
        self._stand_at = max(now + jitter, self._heard_at + timeout)

    def lone_deadline(self, settings: RaftSettings) -> float:
        """Return when the only member may stand: at once, unless a leader still binds it."""
        return max(self._started_at, self._heard_at + settings.election_timeout_seconds)

    def deadline(self, settings: RaftSettings, *, leader_known: bool) -> float:
        """Return when to stand for election.

        Args:
            settings: Settings of the group.
            leader_known: The leader is known and a member, so that signs of life of its
                node count.
        """
        if self._stand_at is not None:
            return self._stand_at
        timeout = self._timeout(settings)
        base = max(self._started_at, self._heard_at) + timeout
        if not leader_known:
            return base
        postponed = self._node_alive_at + timeout
        return max(base, min(postponed, self._silence_limit(settings) + timeout))

    def pre_vote_deadline(self, settings: RaftSettings) -> float:
        """Return when a pre-vote without majority is repeated."""
        if self._stand_at is not None:
            return self._stand_at
        return self._started_at + PRE_VOTE_RETRY * self._timeout(settings)

    def refuses_votes(self, settings: RaftSettings, now: float, *, leader_known: bool) -> bool:
        """Return whether a vote is refused because the leader seems to live."""
        timeout = settings.election_timeout_seconds
        if now < self._heard_at + timeout:
            return True
        if not leader_known:
            return False
        limit = min(self._node_alive_at + timeout, self._silence_limit(settings))
        return now < limit

    def _timeout(self, settings: RaftSettings) -> float:
        """Return the random timeout that is in force."""
        timeout = settings.election_timeout_seconds
        if self._is_shortened:
            timeout = min(timeout, PROMPT_TIMEOUT_RETRIES * settings.prompt_retry_seconds)
        return timeout * self._timeout_factor

    def _silence_limit(self, settings: RaftSettings) -> float:
        return self._heard_at + IDLE_SILENCE_HEARTBEATS * settings.idle_heartbeat_seconds


class VoteTally:
    """Votes of one election or pre-vote."""

    __slots__ = ("_granted", "transfer")

    def __init__(self, replica: ReplicaId, *, transfer: bool = False) -> None:
        """Count our own vote; ``transfer`` marks an election that the leader asked for."""
        self._granted = {replica}
        self.transfer = transfer

    def grant(self, voter: ReplicaId) -> None:
        """Count a vote once."""
        self._granted.add(voter)

    def is_won(
        self, members: tuple[ReplicaId, ...], lost: frozenset[ReplicaId] = frozenset()
    ) -> bool:
        """Return whether a majority of ``members`` has voted for us; see :func:`is_quorum`."""
        return is_quorum(self._granted, members, lost)
