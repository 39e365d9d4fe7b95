"""When callers return that were refused for a reason other than a lack of capacity."""

from __future__ import annotations

from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.queue_admission import would_lose_work
from yokeline.scheduling.retry_delays import (
    RefusedCaller,
    retry_delay,
    retry_delay_after_outage,
)


def delay_after_outage(exchange: Exchange, now: float) -> float:
    """Return the delay after a refusal because the ledger did not answer (seconds).

    It is shorter for programs that have begun. The callers of all nodes are refused within a
    moment, so their delays are spread.
    """
    return retry_delay_after_outage(_refused_caller(exchange, now))


def delay_before_new_stream(exchange: Exchange, now: float) -> float:
    """Return the delay after a refusal to continue a stream (seconds).

    It is short: the caller may begin a new stream, for which it need not wait.
    """
    return retry_delay(_refused_caller(exchange, now), 0.0)


def _refused_caller(exchange: Exchange, now: float) -> RefusedCaller:
    return RefusedCaller(
        request_id=exchange.call.request_id,
        has_begun=would_lose_work(exchange),
        time_left=exchange.deadline - now,
    )
