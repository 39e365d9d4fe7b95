"""The queue of model calls that wait for an engine."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from yokeline.runs.activity import Activity
from yokeline.runs.next_step import StartCall
from yokeline.scheduling.interface import CallDemand


class WaitingCall(msgspec.Struct, frozen=True, kw_only=True):
    """A model call in the queue.

    Attributes:
        sheddable: Whether the run has no calls yet, so that refusing it has no side effects.
    """

    activity: Activity
    step: StartCall
    demand: CallDemand
    sheddable: bool


QueueKey = tuple[str, str]
CallOrder = Callable[[Sequence[CallDemand]], tuple[int, ...]]
"""Returns the indices of the demands in the order in which to serve them."""


def queue_key(demand: CallDemand) -> QueueKey:
    """Return the key that calls with the same eligible engines share."""
    return (demand.model, demand.engine_selector)


class WaitingCalls:
    """The bounded call queue of one node."""

    def __init__(self, limit: int, order: CallOrder) -> None:
        """Create an empty queue.

        Args:
            limit: Number of calls above which sheddable calls are removed.
            order: Orders the waiting calls by their demands.
        """
        self._limit = limit
        self._order = order
        self._calls: list[WaitingCall] = []

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._calls)

    def add(self, call: WaitingCall) -> None:
        """Add a call to the queue."""
        self._calls.append(call)

    def remove(self, activity: Activity) -> None:
        """Remove the call of an activity, if it is queued."""
        self._calls = [call for call in self._calls if call.activity is not activity]

    def has_waiting(self, key: QueueKey) -> bool:
        """Return whether any call with this key is waiting."""
        return any(queue_key(call.demand) == key for call in self._calls)

    def ordered(self) -> list[WaitingCall]:
        """Return the calls in the order in which to assign engines."""
        calls = list(self._calls)
        return [calls[index] for index in self._order([call.demand for call in calls])]

    def overflow(self) -> list[WaitingCall]:
        """Remove and return the last sheddable calls above the limit.

        Calls of started runs stay in the queue, because shedding them would waste their work.
        """
        excess = len(self._calls) - self._limit
        if excess <= 0:
            return []
        sheddable = [call for call in self.ordered() if call.sheddable]
        shed = sheddable[max(0, len(sheddable) - excess) :]
        for call in shed:
            self.remove(call.activity)
        return shed
