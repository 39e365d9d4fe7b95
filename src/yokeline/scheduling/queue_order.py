"""The order in which requests that wait for an engine are served.

The load it answers: more requests than places. What was spent on programs that have begun is lost
if they are passed over, so they go before programs that begin.
"""

from __future__ import annotations

import msgspec

OrderKey = tuple[int, int, int, int, int, float]


class Standing(msgspec.Struct, frozen=True, kw_only=True):
    """What decides the place of a request in a queue; nothing of it changes while it waits.

    Attributes:
        is_interrupted: Its caller is already reading a stream that broke off.
        is_late: The time that its caller gave the program was over when the request came.
        has_begun: Its program has had a turn before.
        is_held_back: It begins a program of a tenant that must leave places to others.
        priority: The operator's rank of it (0 first).
        over_at: When its program should be over (monotonic seconds).
    """

    is_interrupted: bool = False
    is_late: bool = False
    has_begun: bool = False
    is_held_back: bool = False
    priority: int = 0
    over_at: float = 0.0


def order_key(standing: Standing) -> OrderKey:
    """Return the place of a request in the queue; the least is served first."""
    return (
        0 if standing.is_interrupted else 1,
        1 if standing.is_held_back else 0,
        1 if standing.is_late else 0,
        0 if standing.has_begun else 1,
        standing.priority,
        standing.over_at,
    )
