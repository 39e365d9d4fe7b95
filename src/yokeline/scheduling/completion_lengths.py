"""Expected lengths of answers, learned per program."""

from __future__ import annotations

SMOOTHING = 0.05
MAX_PROGRAMS = 4096
"""Programs kept; the one that was updated longest ago makes room."""


class CompletionLengths:
    """Exponentially weighted mean of the lengths of answers of each program."""

    def __init__(self) -> None:
        """Create one that knows nothing."""
        self._means: dict[str, float] = {}

    def observe(self, program: str, tokens: int) -> None:
        """Learn from an answer of a program."""
        mean = self._means.pop(program, None)
        self._means[program] = tokens if mean is None else mean + SMOOTHING * (tokens - mean)
        if len(self._means) > MAX_PROGRAMS:
            del self._means[next(iter(self._means))]

    def expected(self, program: str) -> int | None:
        """Return the expected tokens of an answer; None if nothing is known."""
        mean = self._means.get(program)
        return max(1, round(mean)) if mean is not None else None
