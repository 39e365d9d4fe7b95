"""Whom an engine's "not run" speaks of: the engine, which is full or gone, or the request itself.

An engine gives no reason. It refuses because all its places are taken, because it sheds what it
could serve, or because of the request: larger than its memory, with a time that is over, with a
field that it cannot follow. Taken for a full engine, one request that nobody can serve makes each
engine that it asks full for everybody, though most places are free.

So a refusal counts for the engine where something else says that it is full: its places are
believed to be taken, or it refused somebody else a moment ago. A refusal by an engine with free
places is kept open until it is known whose it was. If another engine takes the request, the first
one shed it; if another one with free places refuses it too, the request is at fault, and no engine
pays for it.
"""

from __future__ import annotations

import enum
from collections import OrderedDict

from yokeline.fading import FadingAverage
from yokeline.forwarding.engines import FULL_BACKOFF_SECONDS, EngineState
from yokeline.forwarding.exchange import Exchange

FULL_LOAD_SHARE = 1.0
"""Share of an engine's places that are believed taken from which on it may well be full. Where the
belief is too low, the second caller that is refused says so."""
MAX_FREE_SLOT_REJECTIONS = 3
"""Engines with free places that one request asks. Where 17 in 100 engines shed 40 in 100
requests, one request in 3,000 meets three of them in a row."""
MAX_SUSPECT_REJECTIONS = 1
"""The same for a caller most of whose refused requests nobody took: what he sends costs little."""
REJECTION_BACKOFF_SECONDS = 0.02
"""Pause after the second refusal by an engine with free places, doubled with each further one; the
first one is followed at once."""
SUSPICION_WEIGHT = 0.2
"""Weight of one request in a caller's suspicion: four in a row that nobody takes exceed a half."""
SUSPICION_FADE_SECONDS = 10.0
"""Time in which it falls to a third without new ones."""
SUSPICION_THRESHOLD = 0.5
MAX_CALLERS = 4096
"""Callers of which something is remembered; the oldest gives way."""


class RejectionCause(enum.Enum):
    """Whom a refusal speaks of."""

    ENGINE_FULL = "engine_full"
    ENGINE_GONE = "engine_gone"
    """Another engine answers at its address."""
    REQUEST = "request"
    UNDECIDED = "open"
    """It is not known yet."""


class RejectionClassifier:
    """Charges the refusals that one node sees."""

    def __init__(self) -> None:
        """Suspect nobody."""
        self._suspicions: OrderedDict[str, FadingAverage] = OrderedDict()

    def classify(
        self, exchange: Exchange, engine: EngineState, now: float, *, misdirected: bool
    ) -> RejectionCause:
        """Decide whom a refusal speaks of, and charge the engine if it is the engine.

        Args:
            exchange: The request; it no longer counts among the engine's.
            engine: Which refused it.
            now: Time (monotonic seconds).
            misdirected: Another engine answered at its address.
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
        """Return whether a request has asked enough engines with free places."""
        max_rejections = (
            MAX_SUSPECT_REJECTIONS if self.is_suspect(exchange, now) else MAX_FREE_SLOT_REJECTIONS
        )
        return len(exchange.rejected_by) >= max_rejections

    def record_accepted(self, exchange: Exchange, now: float) -> None:
        """Note that an engine runs a request: those that refused it shed what can be served."""
        if not exchange.rejected_by:
            return
        for engine in exchange.rejected_by:
            engine.record_outcome(now, failed=True)
        exchange.rejected_by.clear()
        self._suspicion(_caller_name(exchange)).observe(0.0, now)

    def record_rejected_by_all(self, exchange: Exchange, now: float) -> None:
        """Note that no engine took a request."""
        self._suspicion(_caller_name(exchange)).observe(1.0, now)

    def is_suspect(self, exchange: Exchange, now: float) -> bool:
        """Return whether most refused requests of a caller were his own fault lately."""
        suspicion = self._suspicions.get(_caller_name(exchange))
        return suspicion is not None and suspicion.value(now) > SUSPICION_THRESHOLD

    def _is_full(self, engine: EngineState, caller: str, now: float) -> bool:
        """Return whether something beside this refusal says that an engine is full."""
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
    """Return for how many seconds a refused request waits before it asks the next engine."""
    rejections = len(exchange.rejected_by)
    return REJECTION_BACKOFF_SECONDS * 2.0 ** (rejections - 2) if rejections > 1 else 0.0


def _caller_name(exchange: Exchange) -> str:
    """Return who pays for a request: its tenant, or else its program."""
    if exchange.tenant is not None:
        return exchange.tenant.name
    return exchange.call.program or exchange.call.request_id
