"""Virtual time: a thin layer over simpy's event queue."""

from __future__ import annotations

from collections.abc import Callable

import simpy

Action = Callable[[], None]


class Schedule:
    """Runs actions at virtual times; equal times keep the order of their scheduling."""

    def __init__(self) -> None:
        """Start at virtual time 0."""
        self.environment = simpy.Environment()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        time: float = self.environment.now
        return time

    def after(self, delay: float, action: Action) -> None:
        """Run ``action`` after ``delay`` seconds."""
        timeout = self.environment.timeout(max(0.0, delay))
        timeout.callbacks.append(lambda _: action())

    def run_until(self, time: float) -> None:
        """Advance virtual time to ``time``."""
        self.environment.run(until=time)
