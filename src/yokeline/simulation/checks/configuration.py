"""An accepted configuration is in force everywhere within seconds and never reverts."""

from __future__ import annotations

from yokeline.simulation.checks.result import CheckResult, Point
from yokeline.simulation.records import Books, ConfigurationReading, ConfigurationWrite

WITHIN_SECONDS = 10.0
"""What "within seconds" means while nothing is broken."""
REFUSED_EXECUTION = "not_run"


def check_configuration(books: Books) -> CheckResult:
    """Readings never go back, show what was accepted, and nothing that was refused."""
    result = CheckResult(point=Point.CONFIGURATION)
    _check_never_reverts(result, books)
    _check_accepted(result, books)
    _check_refused(result, books)
    _check_in_force(result, books)
    return result


def _check_never_reverts(result: CheckResult, books: Books) -> None:
    latest: dict[tuple[str, str], ConfigurationReading] = {}
    for reading in sorted(books.readings, key=lambda reading: reading.asked_at):
        before = latest.get((reading.node, reading.tenant))
        if before is not None:
            result.expect(
                reading.revision >= before.revision,
                f"{reading.node}: {reading.tenant} went from revision {before.revision} back "
                f"to {reading.revision} at {reading.asked_at:.3f}",
            )
        latest[reading.node, reading.tenant] = reading


def _check_accepted(result: CheckResult, books: Books) -> None:
    """A revision means one content, everywhere."""
    versions = {
        (write.tenant, write.revision): write.version for write in books.writes if write.revision
    }
    for reading in books.readings:
        expected = versions.setdefault((reading.tenant, reading.revision), reading.version)
        result.expect(
            reading.version == expected,
            f"{reading.node}: revision {reading.revision} of {reading.tenant} has version "
            f"{reading.version}, not {expected}",
        )


def _check_refused(result: CheckResult, books: Books) -> None:
    seen = {(reading.tenant, reading.version) for reading in books.readings}
    for write in books.writes:
        if _refused(write):
            result.expect(
                (write.tenant, write.version) not in seen,
                f"version {write.version} of {write.tenant} was refused ({write.problem}) and "
                "is in force",
            )


def _refused(write: ConfigurationWrite) -> bool:
    return write.status is not None and not write.revision and write.execution == REFUSED_EXECUTION


def _check_in_force(result: CheckResult, books: Books) -> None:
    for reading in books.readings:
        since = reading.asked_at - WITHIN_SECONDS
        if _disturbed(books, since, reading.asked_at):
            continue
        accepted = [
            write.revision
            for write in books.writes
            if write.tenant == reading.tenant
            and write.revision
            and (write.answered_at or 0.0) <= since
        ]
        if accepted:
            result.expect(
                reading.revision >= max(accepted),
                f"{reading.node}: revision {max(accepted)} of {reading.tenant} is not in force "
                f"at {reading.asked_at:.3f}, but {reading.revision}",
            )


def _disturbed(books: Books, start: float, end: float) -> bool:
    return any(
        fault.started_at < end and (fault.ended_at is None or fault.ended_at > start)
        for fault in books.faults
    )
