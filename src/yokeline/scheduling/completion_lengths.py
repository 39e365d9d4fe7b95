"""Expected completion lengths, learned per program."""

from __future__ import annotations

SMOOTHING = 0.05
"""Weight of one call in the mean length."""
MAX_PROGRAMS = 4096
"""Least recently updated programs are removed beyond this number."""


class CompletionLengths:
    """Exponentially weighted mean of each program's completion lengths."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._means: dict[str, float] = {}

    def observe(self, program: str, tokens: int) -> None:
        """Update a program's mean with the length of a completion."""
        mean = self._means.pop(program, None)
        self._means[program] = tokens if mean is None else mean + SMOOTHING * (tokens - mean)
        if len(self._means) > MAX_PROGRAMS:
            del self._means[next(iter(self._means))]

    def expected(self, program: str) -> int | None:
        """Return the expected completion tokens; None for an unknown program."""
        mean = self._means.get(program)
        return max(1, round(mean)) if mean is not None else None
