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
        alone_seconds: Its latency if it had an engine for itself (see ``bound``).
    """

    kind: str
    issued_at: float
    deadline_seconds: float
    worth: float
    answered_at: float | None = None
    ended: bool = False
    alone_seconds: float = 0.0


class CallSeconds(msgspec.Struct, kw_only=True):
    """Where the time of the model calls went, in seconds, summed over calls.

    Attributes:
        queue: From the request to the dispatch to an engine.
        first_token: From there to the first token (the engine's queue and the prefill).
        decode: From there to the end of the answer.
    """

    queue: float = 0.0
    first_token: float = 0.0
    decode: float = 0.0


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
        latency_alone: Mean latency that the requests would have if each had an engine for
            itself: a bound for every policy.
        queue_seconds: Time that the model calls of a request waited in the scheduler, mean
            over all requests of the run; the two below complete the time of its calls.
        first_token_seconds: Time from dispatch to first token.
        decode_seconds: Time from first token to the end of the answer.
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
    latency_alone: float = 0.0
    queue_seconds: float = 0.0
    first_token_seconds: float = 0.0
    decode_seconds: float = 0.0


class KindMetrics(msgspec.Struct, frozen=True, kw_only=True):
    """Measures of one kind of request on one seed."""

    requests: int
    latency_mean: float
    on_time: float


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


def measure(
    records: Sequence[RequestRecord],
    cache: CacheTotals,
    window: Window,
    calls: CallSeconds | None = None,
) -> RunMetrics:
    """Return the measures of one run.

    Args:
        records: All requests, measured or not.
        cache: What the engines did within the window.
        window: The window.
        calls: Where the time of the calls of all requests went.
    """
    measured = measured_records(records, window)
    spent = calls or CallSeconds()
    per_record = 1.0 / max(len(records), 1)
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
        latency_alone=_mean_alone(measured),
        queue_seconds=spent.queue * per_record,
        first_token_seconds=spent.first_token * per_record,
        decode_seconds=spent.decode * per_record,
    )


def measured_records(records: Sequence[RequestRecord], window: Window) -> list[RequestRecord]:
    """Return the requests that were issued within the window."""
    return [record for record in records if window.start <= record.issued_at <= window.end]


def measure_kinds(records: Sequence[RequestRecord], window: Window) -> dict[str, KindMetrics]:
    """Return the measures of each kind of request, by name."""
    measured = measured_records(records, window)
    kinds = sorted({record.kind for record in measured})
    return {
        kind: _measure_kind([record for record in measured if record.kind == kind], window)
        for kind in kinds
    }


def _measure_kind(records: Sequence[RequestRecord], window: Window) -> KindMetrics:
    latencies = latencies_of(records, window.closed)
    return KindMetrics(
        requests=len(records),
        latency_mean=sum(latencies) / max(len(latencies), 1),
        on_time=sum(1 for record in records if _on_time(record)) / len(records),
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


def _mean_alone(records: Sequence[RequestRecord]) -> float:
    counted = [record.alone_seconds for record in records if not record.ended]
    return sum(counted) / max(len(counted), 1)


def _on_time(record: RequestRecord) -> bool:
    if record.answered_at is None:
        return False
    return record.answered_at - record.issued_at <= record.deadline_seconds


def _open(record: RequestRecord) -> bool:
    return record.answered_at is None and not record.ended


def _answered_within(record: RequestRecord, window: Window) -> bool:
    return record.answered_at is not None and window.start <= record.answered_at <= window.end
