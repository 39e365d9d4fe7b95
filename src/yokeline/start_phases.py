"""How long a process took from its first instruction to each step of its start."""

from __future__ import annotations

from yokeline.effects import LogRecord

METRIC = "yokeline_start_seconds"


class StartPhases:
    """Notes when each phase of a start was reached first."""

    def __init__(self, began_at: float) -> None:
        """Count from ``began_at`` (monotonic seconds)."""
        self._began_at = began_at
        self._reached: dict[str, float] = {}

    def reached(self, phase: str, now: float) -> list[LogRecord]:
        """Note a phase; return a log line the first time."""
        if phase in self._reached:
            return []
        seconds = round(now - self._began_at, 4)
        self._reached[phase] = seconds
        return [LogRecord(event="start_phase", fields={"phase": phase, "seconds": seconds})]

    def gauges(self) -> dict[str, float]:
        """Return the seconds until each phase, by metric name."""
        return {f'{METRIC}{{phase="{phase}"}}': seconds for phase, seconds in self._reached.items()}
