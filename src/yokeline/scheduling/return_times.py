"""When a caller that was refused is to come back.

The load it answers: callers that were refused together. If all of them return at one moment, they
find the engines as full as before. So each returns when the queue before it will be gone, spread
by its request's id, and those whose programs have begun return first.
"""

from __future__ import annotations

import msgspec
import xxhash

MIN_DELAY_SECONDS = 0.2
"""Least time after which a caller returns: about a turn, in which places come free."""
BEGUN_MIN_DELAY_SECONDS = 0.1
"""The same for a program that has begun: its pause counts against its time."""
MAX_DELAY_SECONDS = 2.0
"""Greatest time: what is known of the load now says little about a later time."""
HONOURED_SHARE = 1 / 3
"""Share of the time that a caller has left up to which it honours what it is told."""
JITTER = 1.0
"""Width of the span in which callers return, as a share of the earliest time."""
MAX_START_SHARE = 0.5
"""Latest begin of the span as a share of its end, so that callers are spread also where what they
honour cuts it short."""
OUTAGE_DELAY_SECONDS = 0.3
"""Earliest return to a node that cannot serve for a while: it looks again about as soon, and the
caller comes to another node as likely as not."""
BEGUN_OUTAGE_DELAY_SECONDS = 0.15
"""The same for a program that has begun."""
OUTAGE_JITTER = 2.0
"""Width of that span as a share of the earliest time: all callers of the fleet return in it."""
LIMIT_SPREAD = 0.25
"""Width of the span in which callers return that were refused for their tenant's limit: the least
of them is told a true time, and the others come little later."""
_HASH_SPAN = 2**32


class Returning(msgspec.Struct, frozen=True, kw_only=True):
    """A caller that is refused.

    Attributes:
        request_id: Decides where in the span it returns.
        has_begun: Its program has had a turn before.
        time_left: Seconds until it needs its final answer.
    """

    request_id: str
    has_begun: bool
    time_left: float


def return_after(caller: Returning, expected_wait: float) -> float:
    """Return after how many seconds a caller that was refused for room is to come back.

    Args:
        caller: Who was refused.
        expected_wait: Seconds until the queue before it will be gone; 0 if not known.
    """
    earliest = BEGUN_MIN_DELAY_SECONDS if caller.has_begun else MIN_DELAY_SECONDS
    return _with_jitter(caller, max(earliest, expected_wait), JITTER)


def return_after_outage(caller: Returning) -> float:
    """Return after how many seconds to come back to a node that cannot serve anybody yet."""
    earliest = BEGUN_OUTAGE_DELAY_SECONDS if caller.has_begun else OUTAGE_DELAY_SECONDS
    return _with_jitter(caller, earliest, OUTAGE_JITTER)


def return_after_limit(request_id: str, seconds: float) -> float:
    """Return after how many seconds to come back to a tenant's limit, never before ``seconds``.

    Args:
        request_id: The request's id.
        seconds: From now until the request could be let in.
    """
    return seconds * (1.0 + LIMIT_SPREAD * _hash_fraction(request_id))


def _with_jitter(caller: Returning, earliest: float, jitter: float) -> float:
    """Return a time of the caller's own between the earliest one and what it honours."""
    honoured = max(0.0, HONOURED_SHARE * caller.time_left)
    latest = min(earliest * (1.0 + jitter), MAX_DELAY_SECONDS, honoured)
    start = min(earliest, MAX_START_SHARE * latest)
    return start + _hash_fraction(caller.request_id) * (latest - start)


def _hash_fraction(request_id: str) -> float:
    """Return the same number from 0 to 1 for an id each time."""
    return xxhash.xxh32_intdigest(request_id.encode()) / _HASH_SPAN
