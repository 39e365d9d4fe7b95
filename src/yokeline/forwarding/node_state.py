"""State shared by the parts of a forwarder: time, configuration and requests under way."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.forwarding.duration_estimate import RouteDurations
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.fair_shares import FairShares
from yokeline.forwarding.model import Pool, RoutingTable
from yokeline.forwarding.outcome_recorder import OutcomeRecorder
from yokeline.forwarding.placement import Placement
from yokeline.forwarding.residency import DataResidency
from yokeline.forwarding.wait_queue import WaitQueue
from yokeline.histogram import Histogram
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.scheduling.eligibility import EligibilityPolicy
from yokeline.timers import TimerQueue

PREDICTION_ERROR_BUCKETS = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.7, 1.0, 2.0)
"""Bucket bounds of the relative errors of predicted turn durations."""


class NodeState:
    """State shared by the parts of a :class:`~yokeline.forwarding.forwarder.Forwarder`.

    Attributes:
        now: Time of the current event (monotonic seconds).
        table: The configuration in force; None before the first one.
        exchanges: Requests without a final answer, by exchange id.
        by_engine_request: Requests at an engine, by the id of the request sent to it.
        eligibility: Restrictions on the engines that a request may be sent to.
        residency: The regions of requests.
        waiting: Queues of requests that wait for an engine, by pool.
        fair_shares: The tenants whose first turns are held back.
        route_durations: How long served requests took, by route.
        added_seconds: Time from a request's arrival to its first send.
        first_event_seconds: Time from a turn's arrival to its first event.
        prediction_error: Relative errors of the predicted turn durations.
        expected_waits: Expected waits of requests that found no capacity on arrival.
        room_waits: Actual waits of requests that were served after waiting for capacity.
    """

    def __init__(
        self,
        zone: str,
        engines: EngineTable,
        outcomes: OutcomeRecorder,
        eligibility: EligibilityPolicy,
        residency: DataResidency,
    ) -> None:
        """Start without requests and without a configuration."""
        self.now = 0.0
        self.table: RoutingTable | None = None
        self.engines = engines
        self.outcomes = outcomes
        self.eligibility = eligibility
        self.residency = residency
        self.placement = Placement(zone, engines, eligibility)
        self.exchanges: dict[ExchangeId, Exchange] = {}
        self.by_engine_request: dict[RequestId, Exchange] = {}
        self.waiting: dict[str, WaitQueue] = {}
        self.fair_shares = FairShares()
        self.route_durations = RouteDurations()
        self.timers = TimerQueue()
        self.added_seconds = Histogram()
        self.first_event_seconds = Histogram()
        self.prediction_error = Histogram(PREDICTION_ERROR_BUCKETS)
        self.expected_waits = Histogram()
        self.room_waits = Histogram()

    def pool_of(self, exchange: Exchange) -> Pool:
        """Return the pool that serves a request."""
        assert self.table is not None
        pool = self.table.pools.get(exchange.pool)
        return pool or Pool(name=exchange.pool, max_connections=1)

    def schedule(self, exchange: Exchange, due: float, action: Callable[[Exchange], None]) -> None:
        """Schedule an action for a request; it is cancelled when the request ends."""
        timer = self.timers.schedule(due, lambda: action(exchange))
        exchange.timers.append(timer)
