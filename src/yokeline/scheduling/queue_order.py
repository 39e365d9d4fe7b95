"""The order of requests that wait for an engine.

Under overload, programs that have begun precede new ones: the work spent on them would be lost.
"""

from __future__ import annotations

import msgspec

OrderKey = tuple[int, int, int, int, int, float]


class QueuePosition(msgspec.Struct, frozen=True, kw_only=True):
    """Properties that determine a request's position in the queue; fixed while it waits.

    Attributes:
        is_interrupted: Its caller has already received part of a stream that broke off.
        is_late: Its program's time limit had passed when the request arrived. It is not evaluated
            again while the request waits.
        has_begun: Its program has had a turn before this request.
        is_held_back: It begins a program of a tenant that exceeds its share.
        priority: The priority that the operator set; lower values are served first and 0 is the
            highest, unlike :attr:`yokeline.scheduling.interface.CallDemand.priority`.
        program_deadline: Deadline of its program (monotonic seconds).
    """

    is_interrupted: bool = False
    is_late: bool = False
    has_begun: bool = False
    is_held_back: bool = False
    priority: int = 0
    program_deadline: float = 0.0


def order_key(position: QueuePosition) -> OrderKey:
    """Return the sort key of a request; the lowest is served first."""
    return (
        0 if position.is_interrupted else 1,
        1 if position.is_held_back else 0,
        1 if position.is_late else 0,
        0 if position.has_begun else 1,
        position.priority,
        position.program_deadline,
    )
