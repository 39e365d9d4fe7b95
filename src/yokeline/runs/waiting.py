"""Model calls that wait for an engine with room, and the order in which they get one."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from yokeline.runs.activity import Activity
from yokeline.runs.next_step import StartCall
from yokeline.scheduling.interface import CallDemand


class WaitingCall(msgspec.Struct, frozen=True, kw_only=True):
    """A model call that waits.

    Attributes:
        shedable: Its run has not started any call, so that it can be refused truthfully.
    """

    activity: Activity
    step: StartCall
    demand: CallDemand
    shedable: bool


QueueKey = tuple[str, str]
CallOrder = Callable[[Sequence[CallDemand]], tuple[int, ...]]
"""Returns the indices of demands, the one to serve first in front."""


def queue_key(demand: CallDemand) -> QueueKey:
    """Return what makes calls wait for the same engines."""
    return (demand.model, demand.engine_selector)


class WaitingCalls:
    """The bounded queue of one node."""

    def __init__(self, limit: int, order: CallOrder) -> None:
        """Create an empty queue for ``limit`` calls of runs that have not started."""
        self._limit = limit
        self._order = order
        self._calls: list[WaitingCall] = []

    def __len__(self) -> int:
        """Return how many calls wait."""
        return len(self._calls)

    def add(self, call: WaitingCall) -> None:
        """Add a call."""
        self._calls.append(call)

    def remove(self, activity: Activity) -> None:
        """Take the call of an activity out, if it waits."""
        self._calls = [call for call in self._calls if call.activity is not activity]

    def anyone_waits(self, key: QueueKey) -> bool:
        """Return whether calls wait for the same engines."""
        return any(queue_key(call.demand) == key for call in self._calls)

    def ordered(self) -> list[WaitingCall]:
        """Return the calls in the order in which they should get engines."""
        calls = list(self._calls)
        return [calls[index] for index in self._order([call.demand for call in calls])]

    def overflow(self) -> list[WaitingCall]:
        """Take out and return the last calls beyond the limit that can be shed.

        Calls of runs that have started stay: shedding them would waste what was done.
        """
        excess = len(self._calls) - self._limit
        if excess <= 0:
            return []
        shedable = [call for call in self.ordered() if call.shedable]
        shed = shedable[max(0, len(shedable) - excess) :]
        for call in shed:
            self.remove(call.activity)
        return shed
