"""Probes under way, the order of probing and the local health (SWIM, Lifeguard)."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from yokeline.identifiers import ReplicaId
from yokeline.settings import MembershipSection

MAX_HEALTH_PENALTY = 8
"""Lifeguard's bound on how far timeouts stretch while this node itself seems slow."""


class Probe(msgspec.Struct, kw_only=True):
    """A probe of one member that is not answered yet."""

    target: ReplicaId
    indirect_at: float
    fail_at: float
    indirect_sent: bool = False


class ProbeOrder:
    """Random round robin: every member is probed once before one is probed again."""

    def __init__(self, source: random.Random) -> None:
        """Draw the orders from ``source``."""
        self._source = source
        self._order: list[ReplicaId] = []

    def next(self, candidates: Iterable[ReplicaId]) -> ReplicaId | None:
        """Return the next member to probe among ``candidates``."""
        allowed = set(candidates)
        while self._order:
            replica = self._order.pop()
            if replica in allowed:
                return replica
        self._order = sorted(allowed)
        self._source.shuffle(self._order)
        return self._order.pop() if self._order else None


class ProbeTable:
    """Unanswered probes, with timeouts stretched by the local health penalty.

    Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
    Detection", 2018: a node whose probes fail may be the slow one itself.
    """

    def __init__(self, settings: MembershipSection) -> None:
        """Start with nothing under way and good health."""
        self._settings = settings
        self._probes: dict[int, Probe] = {}
        self._next_sequence = 1
        self._penalty = 0

    def start(self, target: ReplicaId, now: float) -> int:
        """Note a probe that is sent now; return its sequence number."""
        stretch = 1 + self._penalty
        timeout = self._settings.probe_timeout_seconds * stretch
        period = self._settings.probe_period_seconds * stretch
        sequence = self.new_sequence()
        self._probes[sequence] = Probe(
            target=target,
            indirect_at=now + timeout,
            fail_at=now + max(period, 2 * timeout),
        )
        return sequence

    def new_sequence(self) -> int:
        """Return a sequence number that no other probe of this process has."""
        sequence = self._next_sequence
        self._next_sequence += 1
        return sequence

    def answered(self, sequence: int) -> Probe | None:
        """Remove and return the probe that an answer belongs to."""
        probe = self._probes.pop(sequence, None)
        if probe is not None:
            self._penalty = max(0, self._penalty - 1)
        return probe

    def take_indirect(self, now: float) -> list[tuple[int, Probe]]:
        """Return the probes that other members are to be asked for now."""
        due = [
            (sequence, probe)
            for sequence, probe in self._probes.items()
            if not probe.indirect_sent and now >= probe.indirect_at
        ]
        for _, probe in due:
            probe.indirect_sent = True
        return due

    def take_failed(self, now: float) -> list[ReplicaId]:
        """Remove the probes that failed; return their targets."""
        failed = [sequence for sequence, probe in self._probes.items() if now >= probe.fail_at]
        targets = [self._probes.pop(sequence).target for sequence in failed]
        self._penalty = min(MAX_HEALTH_PENALTY, self._penalty + len(targets))
        return targets

    def discard_all(self) -> None:
        """Forget all probes: this process was paused, and their silence proves nothing."""
        self._probes.clear()

    def next_deadline(self) -> float | None:
        """Return when a probe is due for indirect probing or for failure."""
        times = [
            probe.fail_at if probe.indirect_sent else probe.indirect_at
            for probe in self._probes.values()
        ]
        return min(times, default=None)
