"""Refuses new requests that may not end before a planned stop does."""

from __future__ import annotations

from yokeline.effects import HttpArrived
from yokeline.forwarding.http_statuses import UNAVAILABLE
from yokeline.forwarding.model import Call, Route, RouteKind
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.planned_stop import PlannedStop, RequestTimes

STOPPING = "stopping"
"""Why a request is refused or ended by a planned stop."""


class ExitAdmission:
    """Admission of new requests at one node that was asked to stop."""

    def __init__(self, state: NodeState) -> None:
        """Judge by the durations of the routes in ``state``."""
        self._state = state

    def refuse(
        self,
        stop: PlannedStop | None,
        event: HttpArrived,
        route: Route,
        call: Call,
        arrived_at: float,
    ) -> bool:
        """Refuse a request that may not end in time; return whether it was refused.

        Nothing is refused before a stop is requested.
        """
        now = self._state.now
        if stop is None or not stop.is_requested:
            return False
        times = self._times_of(route, call, arrived_at)
        if stop.may_begin(times, now):
            return False
        self._state.outcomes.refuse_unadmitted(
            event,
            UNAVAILABLE,
            STOPPING,
            retry_after=stop.retry_after(now),
            stopping_for=round(stop.elapsed(now), 3),
            longest=round(times.longest, 3),
            typical=_rounded(times.typical),
            high=_rounded(times.high),
        )
        return True

    def _times_of(self, route: Route, call: Call, arrived_at: float) -> RequestTimes:
        known = self._state.route_durations.find(route.name)
        return RequestTimes(
            longest=arrived_at + min(call.deadline, route.timeout) - self._state.now,
            typical=known.mean if known is not None else None,
            high=known.high if known is not None else None,
            may_repeat=route.kind is RouteKind.IDEMPOTENT,
        )


def _rounded(seconds: float | None) -> float | None:
    return round(seconds, 3) if seconds is not None else None
