"""A virtual clock for runs of one node: events in the order of their times."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from tests.unit.forwarding.support import Played
from yokeline.effects import HttpRequest

WAY_SECONDS = 0.002


class VirtualClock:
    """Plays events, and lets the node do what falls due between them.

    Attributes:
        numbers: Numbers the events, and whatever else is to have a name of its own.
    """

    def __init__(self, played: Played, follow_up: Callable[[], None]) -> None:
        """Call ``follow_up`` after each event, and whenever the node did something by itself."""
        self.numbers = itertools.count()
        self._played = played
        self._follow_up = follow_up
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sent = 0

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Plan an event."""
        heapq.heappush(self._events, (when, next(self.numbers), action))

    def run(self) -> None:
        """Play until nothing is left."""
        while self._events:
            when, _, action = heapq.heappop(self._events)
            self._tick_until(when)
            self._played.now = when
            action()
            self._follow_up()

    def bring_sent(self, reach: Callable[[HttpRequest, str], None]) -> None:
        """Let what the node sent since the last call reach its engine, after the way there."""
        while self._sent < len(self._played.sent):
            request, engine = self._played.sent[self._sent], self._played.engine_of(self._sent)
            self._sent += 1
            self.at(self._played.now + WAY_SECONDS, lambda r=request, e=engine: reach(r, e))  # type: ignore[misc]

    def _tick_until(self, when: float) -> None:
        while True:
            due = self._played.forwarder.next_deadline()
            if due is None or due >= when:
                return
            self._played.now = max(self._played.now, due)
            self._played.take(self._played.forwarder.tick(self._played.now))
            self._follow_up()
