"""What is measured in one run of an experiment: program latency, wasted cache, throughput."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MILLISECONDS = 1
HIGHEST_MILLISECONDS = 3_600_000
SIGNIFICANT_DIGITS = 3
MILLISECONDS = 1000.0


class RequestRecord(msgspec.Struct, kw_only=True):
    """A request of a caller (a turn of a program) from its arrival to its answer.

    Attributes:
        answered_at: When the whole answer was there; None if it never was.
        ended: The run was ended by a limit, without an answer.
    """

    kind: str
    issued_at: float
    deadline_seconds: float
    worth: float
    answered_at: float | None = None
    ended: bool = False


class CacheTotals(msgspec.Struct, frozen=True, kw_only=True):
    """Totals over all engines.

    Attributes:
        rebuilt_tokens: Tokens prefilled though the program's context had them before.
        wasted_hold_token_seconds: Token-seconds held without later use.
    """

    prefill_tokens: int = 0
    cached_tokens: int = 0
    rebuilt_tokens: int = 0
    held_token_seconds: float = 0.0
    wasted_hold_token_seconds: float = 0.0
    busy_seconds: float = 0.0

    def since(self, earlier: CacheTotals) -> CacheTotals:
        """Return what was added since an earlier state."""
        fields = self.__struct_fields__
        return CacheTotals(
            **{name: getattr(self, name) - getattr(earlier, name) for name in fields}
        )


class RunMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """The measures of one policy on one seed.

    Attributes:
        requests: Requests measured.
        unanswered: Requests without an answer at the end of the drain; their age then is
            their latency, so that the mean is a lower bound.
        ended: Requests whose run was ended by a limit; they have no latency and are late.
        latency_*: Seconds from request to whole answer.
        on_time_worth: Share of the worth of all requests that was answered within its
            deadline.
        rebuilt_tokens: Tokens prefilled again, per request answered in the window.
        wasted_hold: Token-seconds held without later use, per request answered in the window.
        wasted_engine_seconds: Both as engine time, per request: rebuilt tokens by the prefill
            rate, plus wasted token-seconds by the size of a cache.
        throughput: Requests answered in the window, a second.
        utilization: Share of time in which the engines computed.
    """

    requests: int
    unanswered: int
    ended: int
    latency_mean: float
    latency_p50: float
    latency_p95: float
    latency_p99: float
    on_time_worth: float
    rebuilt_tokens: float
    wasted_hold: float
    wasted_engine_seconds: float
    throughput: float
    utilization: float


class Window(msgspec.Struct, frozen=True, kw_only=True):
    """When requests and cache are measured, and what the engines are.

    Attributes:
        end: Requests issued from ``start`` to ``end`` are measured.
        closed: When the run was over, after the drain.
    """

    start: float
    end: float
    closed: float
    engines: int
    prefill_rate: float
    cache_tokens: int


def measure(records: Sequence[RequestRecord], cache: CacheTotals, window: Window) -> RunMetrics:
    """Return the measures of one run.

    Args:
        records: All requests, measured or not.
        cache: What the engines did within the window.
        window: The window.
    """
    measured = [record for record in records if window.start <= record.issued_at <= window.end]
    latencies = histogram(latencies_of(measured, window.closed))
    answered = sum(1 for record in records if _answered_within(record, window))
    per_request = 1.0 / max(answered, 1)
    rebuilt = cache.rebuilt_tokens * per_request
    wasted_hold = cache.wasted_hold_token_seconds * per_request
    duration = window.end - window.start
    return RunMetrics(
        requests=len(measured),
        unanswered=sum(1 for record in measured if _open(record)),
        ended=sum(1 for record in measured if record.ended),
        latency_mean=latencies.get_mean_value() / MILLISECONDS,
        latency_p50=latencies.get_value_at_percentile(50) / MILLISECONDS,
        latency_p95=latencies.get_value_at_percentile(95) / MILLISECONDS,
        latency_p99=latencies.get_value_at_percentile(99) / MILLISECONDS,
        on_time_worth=on_time_worth(measured),
        rebuilt_tokens=rebuilt,
        wasted_hold=wasted_hold,
        wasted_engine_seconds=rebuilt / window.prefill_rate + wasted_hold / window.cache_tokens,
        throughput=answered / duration,
        utilization=cache.busy_seconds / (duration * window.engines),
    )


def latencies_of(records: Sequence[RequestRecord], closed: float) -> list[float]:
    """Return the latencies in seconds; an open request counts with its age at the end."""
    return [
        (record.answered_at if record.answered_at is not None else closed) - record.issued_at
        for record in records
        if not record.ended
    ]


def histogram(latencies: Sequence[float]) -> HdrHistogram:
    """Return a histogram in milliseconds with three significant digits."""
    found = HdrHistogram(LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS, SIGNIFICANT_DIGITS)
    for seconds in latencies:
        milliseconds = round(seconds * MILLISECONDS)
        found.record_value(min(max(milliseconds, LOWEST_MILLISECONDS), HIGHEST_MILLISECONDS))
    return found


def on_time_worth(records: Sequence[RequestRecord]) -> float:
    """Return the share of worth that was answered on time (1 if there is none)."""
    total = sum(record.worth for record in records)
    if not total:
        return 1.0
    return sum(record.worth for record in records if _on_time(record)) / total


def _on_time(record: RequestRecord) -> bool:
    if record.answered_at is None:
        return False
    return record.answered_at - record.issued_at <= record.deadline_seconds


def _open(record: RequestRecord) -> bool:
    return record.answered_at is None and not record.ended


def _answered_within(record: RequestRecord, window: Window) -> bool:
    return record.answered_at is not None and window.start <= record.answered_at <= window.end
