"""A policy that knows the future, as an upper bound for experiments.

It is the affinity policy with exact inputs: the least remaining service of the whole program is
served first (``CallDemand.remaining_service``), completions have their true length
(``expected_completion_tokens``) and pause forecasts are exact
(:meth:`~yokeline.scheduling.forecast.PauseForecast.exactly`). Without these inputs it decides like
the affinity policy.
"""

from __future__ import annotations

from collections.abc import Sequence

from yokeline.scheduling.affinity import AffinityPolicy
from yokeline.scheduling.interface import CallDemand
from yokeline.scheduling.ordering import MIN_WORTH, aged_priority


class ClairvoyantPolicy(AffinityPolicy):
    """The affinity policy with exact knowledge of remaining work."""

    name = "clairvoyant"

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the calls by priority, started programs, and least remaining service by worth."""
        keys = [
            (
                -aged_priority(demand, now, self._rules),
                not demand.attained_service,
                _weighted_remaining_service(demand),
                index,
            )
            for index, demand in enumerate(waiting)
        ]
        return tuple(key[-1] for key in sorted(keys))


def _weighted_remaining_service(demand: CallDemand) -> float:
    known = demand.remaining_service
    tokens = known if known is not None else demand.attained_service
    return tokens / max(demand.worth, MIN_WORTH)
