"""Time of the steps of a batch that does not change, in closed form."""

from __future__ import annotations

import math


class Stretch:
    """Consecutive steps of an unchanging batch.

    Step ``j`` (1, 2, ...) takes ``first + (j - 1) * growth`` seconds: every decoding call's
    context grows by one token a step. The end of each step is thus known in closed form and
    is the same however often anyone looks at it.

    Attributes:
        start: When the first step starts.
        steps: Number of steps.
        first: Seconds of the first step.
        growth: Seconds that each step takes more than the one before.
    """

    __slots__ = ("end", "first", "growth", "start", "steps")

    def __init__(self, start: float, steps: int, first: float, growth: float) -> None:
        """Create a stretch of ``steps`` steps."""
        self.start = start
        self.steps = steps
        self.first = first
        self.growth = growth
        self.end = self.end_of(steps)

    def end_of(self, step: int) -> float:
        """Return when step ``step`` ends."""
        return self.start + step * self.first + self.growth * (step * (step - 1) / 2)

    def cut(self, now: float) -> None:
        """Shorten the stretch so that it ends with the step that runs at ``now``."""
        step = min(max(self._estimate(now - self.start), 1), self.steps)
        while step > 1 and self.end_of(step - 1) >= now:
            step -= 1
        while step < self.steps and self.end_of(step) < now:
            step += 1
        self.steps = step
        self.end = self.end_of(step)

    def _estimate(self, elapsed: float) -> int:
        """Solve ``first * j + growth * j * (j - 1) / 2 = elapsed`` for ``j``, rounded up."""
        if elapsed <= 0:
            return 1
        linear = self.first - self.growth / 2
        root = math.sqrt(linear * linear + 2 * self.growth * elapsed)
        # The stable form of the quadratic formula; it also covers growth == 0.
        return math.ceil(2 * elapsed / (linear + root))
