"""How long a request waits for an engine with room before it is refused.

The load it answers: a pool whose places are all taken. A caller that waits without being served
has lost that time, and one that is refused too soon loses a place that was about to be free.
"""

from __future__ import annotations

import msgspec

WAIT_SHARE = 0.25
"""Share of the target latency for which a request waits for an engine with room."""
BEGUN_WAIT_SHARE = 1.0
"""The same for a turn of a program that has begun."""


class RoomNeed(msgspec.Struct, frozen=True, kw_only=True):
    """What a request can bear.

    Attributes:
        target_latency: Time within which its answer is of full worth (seconds).
        time_left: Seconds until it must have its final answer.
        has_begun: Its program has had a turn before.
    """

    target_latency: float
    time_left: float
    has_begun: bool


def longest_wait(need: RoomNeed) -> float:
    """Return for how many seconds a request may wait for a place."""
    share = BEGUN_WAIT_SHARE if need.has_begun else WAIT_SHARE
    return min(share * need.target_latency, need.time_left)
