"""The simulated network: delays between places, loss, duplication, reordering and cuts."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from yokeline.simulation.schedule import Action, Schedule

JITTER_SHARE = 0.2
"""Mean of the random delay that is added to a base delay, as a share of it."""
MIN_JITTER_SECONDS = 0.000_05
SPIKE_PROBABILITY = 0.002
SPIKE_SECONDS = 0.03
RETRANSMISSION_SECONDS = 0.2
"""What the loss of a segment costs a TCP connection (Linux's least timeout)."""
STALL_RETRY_SECONDS = 0.25
STALL_LIMIT_SECONDS = 8.0
"""A TCP connection that moves nothing for so long is broken."""


class Latencies(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays in seconds.

    Attributes:
        within_zone: Between two machines of a zone.
        between_zones: Between machines of different zones.
        to_clients: Between a machine and a caller.
    """

    within_zone: float = 0.000_2
    between_zones: float = 0.001_5
    to_clients: float = 0.001


class Disturbance(msgspec.Struct, kw_only=True):
    """Present quality of the network.

    Attributes:
        loss: Probability that a packet is lost.
        duplication: Probability that a datagram arrives twice.
        reordering: Probability that a datagram is delayed by more than others.
    """

    loss: float = 0.0
    duplication: float = 0.0
    reordering: float = 0.0


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """Hosts whose packets do not reach certain others (one way)."""

    sources: frozenset[str]
    targets: frozenset[str]

    def blocks(self, source: str, target: str) -> bool:
        """Return whether a packet between two hosts is dropped."""
        return source in self.sources and target in self.targets


CLIENT_ZONE = "clients"


class Network:
    """Decides when (and whether) a packet arrives."""

    def __init__(self, schedule: Schedule, latencies: Latencies, source: random.Random) -> None:
        """Create a network without disturbance or cuts."""
        self.schedule = schedule
        self.disturbance = Disturbance()
        self._latencies = latencies
        self._source = source
        self._zones: dict[str, str] = {}
        self._cuts: list[Cut] = []

    def place(self, host: str, zone: str) -> None:
        """Put a host into a zone."""
        self._zones[host] = zone

    def zone_of(self, host: str) -> str:
        """Return the zone of a host."""
        return self._zones[host]

    def cut(self, cut: Cut) -> None:
        """Drop the packets of a cut from now on."""
        self._cuts.append(cut)

    def heal(self, cut: Cut) -> None:
        """End a cut."""
        self._cuts.remove(cut)

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether packets from ``source`` to ``target`` are dropped now."""
        return any(cut.blocks(source, target) for cut in self._cuts)

    def delay(self, source: str, target: str) -> float:
        """Draw the one-way delay of a packet."""
        base = self._base_delay(self._zones[source], self._zones[target])
        mean = max(MIN_JITTER_SECONDS, JITTER_SHARE * base)
        delay = base + self._source.expovariate(1.0 / mean)
        if self._source.random() < SPIKE_PROBABILITY:
            delay += self._source.uniform(0, SPIKE_SECONDS)
        return delay

    def stream_delay(self, source: str, target: str) -> float:
        """Draw the one-way delay of a TCP segment: a lost one is sent again."""
        delay = self.delay(source, target)
        while self._source.random() < self.disturbance.loss:
            delay += RETRANSMISSION_SECONDS
        return delay

    def send_datagram(self, source: str, target: str, arrive: Action) -> None:
        """Carry a datagram, perhaps never, twice or late."""
        if self.is_cut(source, target) or self._source.random() < self.disturbance.loss:
            return
        copies = 2 if self._source.random() < self.disturbance.duplication else 1
        for _ in range(copies):
            delay = self.delay(source, target)
            if self._source.random() < self.disturbance.reordering:
                delay += self._source.uniform(0, SPIKE_SECONDS)
            self.schedule.after(delay, arrive)

    def _base_delay(self, source: str, target: str) -> float:
        if CLIENT_ZONE in (source, target):
            return self._latencies.to_clients
        if source == target:
            return self._latencies.within_zone
        return self._latencies.between_zones


class OrderedChannel:
    """One direction of a TCP connection: delivers in order, stalls while it is cut."""

    def __init__(
        self, network: Network, source: str, target: str, broken: Callable[[], None]
    ) -> None:
        """Create a channel; ``broken`` is called if it stalls for too long."""
        self._network = network
        self._source = source
        self._target = target
        self._broken = broken
        self._last_arrival = 0.0
        self._stalled: list[Action] = []
        self._stalled_since = 0.0
        self._closed = False

    def send(self, arrive: Action) -> None:
        """Call ``arrive`` when what is sent now has reached the other end."""
        now = self._network.schedule.now
        delay = self._network.stream_delay(self._source, self._target)
        self._last_arrival = max(self._last_arrival, now + delay)
        self._network.schedule.after(self._last_arrival - now, lambda: self._arrive(arrive))

    def close(self) -> None:
        """Deliver nothing any more."""
        self._closed = True
        self._stalled.clear()

    def _arrive(self, arrive: Action) -> None:
        if self._closed:
            return
        if self._stalled:
            self._stalled.append(arrive)
        elif self._network.is_cut(self._source, self._target):
            self._stalled.append(arrive)
            self._stalled_since = self._network.schedule.now
            self._network.schedule.after(STALL_RETRY_SECONDS, self._retry)
        else:
            arrive()

    def _retry(self) -> None:
        if self._closed or not self._stalled:
            return
        if not self._network.is_cut(self._source, self._target):
            waiting, self._stalled = self._stalled, []
            for arrive in waiting:
                if not self._closed:
                    arrive()
        elif self._network.schedule.now - self._stalled_since >= STALL_LIMIT_SECONDS:
            self.close()
            self._broken()
        else:
            self._network.schedule.after(STALL_RETRY_SECONDS, self._retry)
