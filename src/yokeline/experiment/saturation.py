"""The load that counts as 1.0: the best baseline's saturation.

A baseline sustains a rate if, in the mean over a few seeds, nearly all requests that arrived
at least the workload's longest deadline before the end of the horizon are answered at the end
of the horizon. Its saturation is the highest rate that it sustains, found by doubling and
bisection; the saturation of the workload is the highest one among the baselines.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Sequence

import msgspec

from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.experiment import policies
from yokeline.experiment.engines import AGENT_ENGINE
from yokeline.experiment.metrics import RequestRecord
from yokeline.experiment.workloads.workload import Workload
from yokeline.experiment.world import World

SUSTAINED_SHARE = 0.98
"""Share of the requests that must be answered."""
PRECISION = 0.03
"""Relative width of the bracket at which the bisection ends."""
MAX_DOUBLINGS = 8
FIRST_SEED = 1001
"""The seeds of the search are others than the seeds that experiments usually measure."""
SEEDS = 3

Trial = Callable[[str, float], bool]
"""Whether a policy sustains a rate."""


class Saturation(msgspec.Struct, frozen=True, kw_only=True):
    """The saturation of a workload.

    Attributes:
        rate: Programs a second over the horizon: load 1.0.
        baseline: The baseline that sustains it.
        trials: Rates that were tried.
    """

    rate: float
    baseline: str
    trials: int = 0


def find_saturation(
    workload: Workload,
    baselines: Sequence[str] = policies.BASELINES,
    progress: Callable[[str], None] = lambda _line: None,
    parameters: EngineParameters = AGENT_ENGINE,
) -> Saturation:
    """Search the saturation of a workload; ``progress`` is told of each trial."""
    search = _Search(workload, progress, parameters)
    best = Saturation(rate=0.0, baseline="")
    # The likely best one is the last of the list and comes first, so that the others need
    # only be tried a little above its saturation.
    for name in reversed(baselines):
        if best.rate and not search.sustains(name, best.rate * (1 + PRECISION)):
            continue
        rate = highest_sustained(name, best.rate or workload.start_rate, search.sustains)
        if rate > best.rate:
            best = Saturation(rate=rate, baseline=name)
    return msgspec.structs.replace(best, trials=search.trials)


def highest_sustained(name: str, start: float, sustains: Trial) -> float:
    """Return the highest rate that a policy sustains, within :data:`PRECISION` (0: none)."""
    low, high = _bracket(name, start, sustains)
    while low and high / low - 1.0 > PRECISION:
        middle = (low * high) ** 0.5
        if sustains(name, middle):
            low = middle
        else:
            high = middle
    return low


def _bracket(name: str, start: float, sustains: Trial) -> tuple[float, float]:
    """Return a rate that is sustained and twice the rate, which is not."""
    rate = start
    if sustains(name, rate):
        for _ in range(MAX_DOUBLINGS):
            if not sustains(name, 2 * rate):
                break
            rate *= 2
        return rate, 2 * rate
    for _ in range(MAX_DOUBLINGS):
        rate /= 2
        if sustains(name, rate):
            return rate, 2 * rate
    return 0.0, rate


class _Search:
    def __init__(
        self, workload: Workload, progress: Callable[[str], None], parameters: EngineParameters
    ) -> None:
        self.trials = 0
        self._workload = workload
        self._parameters = parameters
        self._progress = progress

    def sustains(self, name: str, rate: float) -> bool:
        self.trials += 1
        shares = [
            self._answered_share(name, rate, seed) for seed in range(FIRST_SEED, FIRST_SEED + SEEDS)
        ]
        share = statistics.fmean(shares)
        self._progress(f"saturation: {name} at {rate:.3f}/s answers {share:.3f} in time")
        return share >= SUSTAINED_SHARE

    def _answered_share(self, name: str, rate: float, seed: int) -> float:
        workload = msgspec.structs.replace(self._workload, drain_seconds=0.0)
        arrivals = workload.arrivals(seed, rate)
        world = World(workload, policies.make(name), arrivals, seed, parameters=self._parameters)
        return answered_share(world.run().records, workload)


def answered_share(records: Sequence[RequestRecord], workload: Workload) -> float:
    """Return the share of early enough requests that are answered within the horizon."""
    longest = max((record.deadline_seconds for record in records), default=0.0)
    latest = workload.horizon_seconds - longest
    counted = [
        record for record in records if workload.warmup_seconds <= record.issued_at <= latest
    ]
    if not counted:
        return 1.0
    done = sum(1 for record in counted if record.answered_at is not None or record.ended)
    return done / len(counted)
