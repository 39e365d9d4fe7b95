"""When callers return that were refused because the ledger did not answer."""

from __future__ import annotations

from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.queue_admission import would_lose_work
from yokeline.scheduling.retry_delays import RefusedCaller, retry_delay_after_outage


def delay_after_outage(exchange: Exchange, now: float) -> float:
    """Return the retry delay of a caller in seconds, shorter for programs that have begun.

    The callers of all nodes are refused within a moment, so their delays are spread.
    """
    caller = RefusedCaller(
        request_id=exchange.call.request_id,
        has_begun=would_lose_work(exchange),
        time_left=exchange.deadline - now,
    )
    return retry_delay_after_outage(caller)
