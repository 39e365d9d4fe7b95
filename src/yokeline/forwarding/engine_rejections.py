"""Classifies rejections by engines: the engine is full or gone, or the request cannot be served.

An engine gives no reason for a rejection. It may be full, shed load that it could serve, or reject
an invalid request: one that exceeds its memory, has expired, or has a field that it cannot handle.
If each rejection counted as a full engine, one unservable request would block every engine that it
reaches for all other requests.

A rejection therefore counts against the engine only with further evidence: its slots are believed
to be taken, or it rejected another caller a moment ago. A rejection by an engine with free slots
stays undecided until another engine accepts the request, which shows that the first one shed load,
or rejects it too, which shows that the request is at fault.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

from yokeline.fading import FadingAverage
from yokeline.forwarding.engines import FULL_BACKOFF_SECONDS, EngineState
from yokeline.forwarding.exchange import Exchange

FULL_LOAD_SHARE = 1.0
"""Load as a share of the slots from which on an engine counts as full when it rejects a request. A
load that is estimated too low is made up for by the rejection of a second caller."""
MAX_FREE_SLOT_REJECTIONS = 3
"""Engines with free slots that may reject one request before it is refused. If 17 in 100 engines
reject 40 in 100 requests, one request in 3,000 meets three of them in a row."""
MAX_SUSPECT_REJECTIONS = 1
"""The same limit for a suspect caller, whose requests are likely to be unservable."""
REJECTION_BACKOFF_SECONDS = 0.02
"""Delay after the second rejection by an engine with free slots, doubled with each further one;
there is no delay after the first."""
SUSPICION_WEIGHT = 0.2
"""Weight of one request in a caller's suspicion; four consecutive unservable requests exceed the
threshold."""
SUSPICION_FADE_SECONDS = 10.0
"""Time constant of the suspicion's decay."""
SUSPICION_THRESHOLD = 0.5
"""Suspicion above which a caller is suspect."""
MAX_CALLERS = 4096
"""Callers whose suspicion is stored; the oldest is evicted."""


class RejectionCause(enum.Enum):
    """What a rejection is attributed to."""

    ENGINE_FULL = "engine_full"
    ENGINE_GONE = "engine_gone"
    """Another engine answers at the address."""
    REQUEST = "request"
    UNDECIDED = "open"
    """Not known yet."""


class RejectionClassifier:
    """Attributes the rejections that one node receives."""

    def __init__(self) -> None:
        """Start without suspicions."""
        self._suspicions: OrderedDict[str, FadingAverage] = OrderedDict()

    def classify(
        self, exchange: Exchange, engine: EngineState, now: float, *, misdirected: bool
    ) -> RejectionCause:
        """Attribute a rejection, and back off from the engine if the engine is the cause.

        Args:
            exchange: The request, which no longer counts in the engine's load.
            engine: The engine that rejected it.
            now: Time (monotonic seconds).
            misdirected: Whether another engine answered at the address.
        """
        if misdirected:
            engine.record_failure(now)
            return RejectionCause.ENGINE_GONE
        caller = _caller_name(exchange)
        if self.is_suspect(exchange, now):
            exchange.rejected_by.append(engine)
            return RejectionCause.REQUEST
        if self._is_full(engine, caller, now):
            engine.full_until = now + FULL_BACKOFF_SECONDS
            return RejectionCause.ENGINE_FULL
        engine.rejected_caller, engine.rejected_at = caller, now
        exchange.rejected_by.append(engine)
        return RejectionCause.REQUEST if len(exchange.rejected_by) > 1 else RejectionCause.UNDECIDED

    def is_exhausted(self, exchange: Exchange, now: float) -> bool:
        """Return whether enough engines with free slots have rejected a request."""
        max_rejections = (
            MAX_SUSPECT_REJECTIONS if self.is_suspect(exchange, now) else MAX_FREE_SLOT_REJECTIONS
        )
        return len(exchange.rejected_by) >= max_rejections

    def record_accepted(self, exchange: Exchange, now: float) -> None:
        """Record that an engine accepted a request: engines that rejected it have shed load."""
        if not exchange.rejected_by:
            return
        for engine in exchange.rejected_by:
            engine.record_outcome(now, failed=True)
        exchange.rejected_by.clear()
        self._suspicion(_caller_name(exchange)).observe(0.0, now)

    def record_rejected_by_all(self, exchange: Exchange, now: float) -> None:
        """Record that no engine accepted a request."""
        self._suspicion(_caller_name(exchange)).observe(1.0, now)

    def is_suspect(self, exchange: Exchange, now: float) -> bool:
        """Return whether most recent rejections of a request's caller were the requests' fault."""
        suspicion = self._suspicions.get(_caller_name(exchange))
        return suspicion is not None and suspicion.value(now) > SUSPICION_THRESHOLD

    def _is_full(self, engine: EngineState, caller: str, now: float) -> bool:
        """Return whether there is further evidence that an engine is full."""
        if engine.load >= FULL_LOAD_SHARE * engine.engine.slots:
            return True
        is_recent = now - engine.rejected_at <= FULL_BACKOFF_SECONDS
        return is_recent and engine.rejected_caller != caller

    def _suspicion(self, caller: str) -> FadingAverage:
        if caller not in self._suspicions:
            self._suspicions[caller] = FadingAverage(0.0, SUSPICION_WEIGHT, SUSPICION_FADE_SECONDS)
        self._suspicions.move_to_end(caller)
        if len(self._suspicions) > MAX_CALLERS:
            self._suspicions.popitem(last=False)
        return self._suspicions[caller]


def rejection_backoff(exchange: Exchange) -> float:
    """Return the delay before a rejected request is sent to the next engine (seconds)."""
    rejections = len(exchange.rejected_by)
    return REJECTION_BACKOFF_SECONDS * 2.0 ** (rejections - 2) if rejections > 1 else 0.0


def _caller_name(exchange: Exchange) -> str:
    """Return the caller that a request is attributed to: its tenant, else its program."""
    if exchange.tenant is not None:
        return exchange.tenant.name
    return exchange.call.program or exchange.call.request_id
