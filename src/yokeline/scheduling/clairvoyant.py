"""A reference that knows lengths and pauses: the bound for the experiments.

It is the product's policy with knowledge: the least remaining service of the whole program
goes first (``CallDemand.remaining_service``), answers have their true length
(``expected_completion_tokens``) and forecasts of pauses are exact
(:meth:`~yokeline.scheduling.forecast.PauseForecast.exactly`). Where that knowledge is not
given, it decides as the product does.
"""

from __future__ import annotations

from collections.abc import Sequence

from yokeline.scheduling.affinity import AffinityPolicy
from yokeline.scheduling.interface import CallDemand
from yokeline.scheduling.ordering import MIN_WORTH, aged_priority


class ClairvoyantPolicy(AffinityPolicy):
    """The product's policy with knowledge of what will come."""

    name = "clairvoyant"

    def order(self, waiting: Sequence[CallDemand], now: float) -> tuple[int, ...]:
        """Return the calls by priority, started programs, least remaining service by worth."""
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
