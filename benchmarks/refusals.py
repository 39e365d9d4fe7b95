"""Whom refusals are charged to: three ways, on the same arrivals, with requests that nobody takes.

``python -m benchmarks.refusals`` prints, for each way and load, what became of the requests that
engines would take beside a tenth of others: refused, mean wait, and refusals of engines.
Measured (three seeds of 3 s, six engines of six places). At a load of a third: 90 of 2,747 refused
and 17.1 ms mean wait with each refusal read as load; 0 and 0.0 ms by likelihood and by what else is
known. At a load of 0.8: 2,587, 2,551 and 2,507 of 6,511 refused, in this order.
"""

from __future__ import annotations

from unittest.mock import patch

from tests.unit.forwarding.refusal_replay import POISON_SHARE, replay
from tests.unit.forwarding.test_refusals import charges_each_engine

from yokeline.forwarding.engine_rejections import RejectionCause, RejectionClassifier
from yokeline.forwarding.engines import FULL_BACKOFF_SECONDS, EngineState
from yokeline.forwarding.exchange import Exchange

LOADS = (1 / 3, 0.8, 1.2)
SEEDS = range(3)


def charges_by_likelihood(
    classifier: RejectionClassifier,
    exchange: Exchange,
    engine: EngineState,
    now: float,
    *,
    misdirected: bool,
) -> RejectionCause:
    """Hold an engine for full for a time that grows with the places believed taken."""
    full = min(1.0, engine.load / max(1, engine.engine.slots))
    if classifier.is_suspect(exchange, now):
        full = 0.0
    engine.full_until = max(engine.full_until, now + full * FULL_BACKOFF_SECONDS)
    exchange.rejected_by.append(engine)
    return RejectionCause.UNDECIDED


WAYS = {
    "each refusal is load": charges_each_engine,
    "by likelihood": charges_by_likelihood,
    "by what else is known": RejectionClassifier.classify,
}


def main() -> None:
    """Print the table."""
    print("way                      load  asked  refused  wait ms  refusals by engines")
    for name, way in WAYS.items():
        for load in LOADS:
            with patch.object(RejectionClassifier, "classify", way):
                rows = [replay(seed, poison_share=POISON_SHARE, load=load) for seed in SEEDS]
            asked = sum(row.asked for row in rows)
            refused = sum(row.refused for row in rows)
            wait = 1000 * sum(row.waited_seconds for row in rows) / max(1, asked - refused)
            by_engines = sum(row.refusals_by_engines for row in rows)
            print(f"{name:24} {load:4.2f} {asked:6} {refused:8} {wait:8.2f} {by_engines:8}")


if __name__ == "__main__":
    main()
