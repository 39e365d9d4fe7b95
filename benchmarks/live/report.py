"""What a phase shows, as a table."""

from __future__ import annotations

import statistics
from collections import Counter

import msgspec

from benchmarks.live.calls import CallRecord
from benchmarks.live.streams import NotWholeError, Sample, sample_of

MILLISECONDS = 1000.0
PERCENTILES = 100
NINETY_FIFTH = 94
MIN_SAMPLES = 2
MAX_SHOWN_FAILURES = 5


class Phase(msgspec.Struct, frozen=True, kw_only=True):
    """One phase of the load.

    Attributes:
        window: Monotonic times between which rates and CPU shares are counted.
        cpu: Share of a core of each process in the window.
    """

    direct_only: bool
    records: list[CallRecord]
    tokens: int
    window: tuple[float, float]
    cpu: dict[str, float]


def print_report(phases: list[Phase], steps_per_event: int) -> int:
    """Print all phases; return 1 if an answer was not whole."""
    failures: Counter[str] = Counter()
    for phase in phases:
        title = "engines directly" if phase.direct_only else "through yokeline"
        print(f"\n{title}: {len(phase.records)} calls, {steps_per_event} tokens an engine event")
        samples = _samples(phase, failures)
        _print_rates(phase, [s for s in samples if s.direct is phase.direct_only])
        _print_cpu(phase)
        if not phase.direct_only:
            _print_times(samples)
        lags = [sample.lag for sample in samples]
        print(f"tool: calls sent late by {_row(lags)} ms (median, p95)")
    for failure, count in failures.most_common(MAX_SHOWN_FAILURES):
        print(f"FAILED {count}: {failure}")
    return 1 if failures else 0


def _samples(phase: Phase, failures: Counter[str]) -> list[Sample]:
    samples = []
    for record in phase.records:
        try:
            samples.append(sample_of(record, phase.tokens))
        except NotWholeError as error:
            failures[str(error)] += 1
    return samples


def _print_rates(phase: Phase, samples: list[Sample]) -> None:
    begin, end = phase.window
    seconds = end - begin
    ended = sum(1 for sample in samples if begin <= sample.ended < end)
    texts = [text for sample in samples for text in sample.texts if begin <= text[0] < end]
    tokens = sum(count for _, count in texts)
    print(
        f"carried in {seconds:.1f} s: {ended / seconds:.1f} requests/s, "
        f"{tokens / seconds:.0f} tokens/s in {len(texts) / seconds:.0f} events/s to the callers"
    )


def _print_cpu(phase: Phase) -> None:
    engines = [share for name, share in phase.cpu.items() if name.startswith("engine")]
    others = {name: share for name, share in phase.cpu.items() if not name.startswith("engine")}
    shown = ", ".join(f"{name} {share:.2f}" for name, share in others.items())
    print(f"share of a core: {shown}; busiest of {len(engines)} engines {max(engines):.2f}")


def _print_times(samples: list[Sample]) -> None:
    direct = [sample for sample in samples if sample.direct]
    through = [sample for sample in samples if not sample.direct]
    print(f"milliseconds (median, p95); n = {len(direct)} direct, {len(through)} through")
    rows = {
        "first token": ([s.first_token for s in direct], [s.first_token for s in through]),
        "per token": ([s.per_token for s in direct], [s.per_token for s in through]),
        "between texts": (_pauses(direct), _pauses(through)),
    }
    print(f"{'':<16}{'direct':>18}{'through':>18}{'added':>18}")
    for title, (before, after) in rows.items():
        added = [late - early for early, late in zip(_pair(before), _pair(after), strict=True)]
        print(f"{title:<16}{_row(before):>18}{_row(after):>18}{_cells(added):>18}")


def _pauses(samples: list[Sample]) -> list[float]:
    return [pause for sample in samples for pause in sample.pauses]


def _pair(values: list[float]) -> list[float]:
    """Return the median and the 95th percentile."""
    if len(values) < MIN_SAMPLES:
        return [float("nan"), float("nan")]
    return [statistics.median(values), statistics.quantiles(values, n=PERCENTILES)[NINETY_FIFTH]]


def _row(values: list[float]) -> str:
    return _cells(_pair(values))


def _cells(values: list[float]) -> str:
    return " ".join(f"{value * MILLISECONDS:8.2f}" for value in values)
