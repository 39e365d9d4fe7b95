"""Retry delays of refused callers.

Callers refused at the same time must not return together, or they would find the engines as full as
before. A delay is the expected time until the queue has drained, plus a jitter derived from the
request's id. Programs that have begun return earlier.
"""

from __future__ import annotations

import msgspec
import xxhash

MIN_DELAY_SECONDS = 0.2
"""Minimum delay of a program that has not begun. About the duration of a turn, in which slots
become free."""
BEGUN_MIN_DELAY_SECONDS = 0.1
"""Minimum delay of a program that has begun; the delay counts against its time limit."""
MAX_DELAY_SECONDS = 2.0
"""Maximum delay. The known load says little about a later time."""
HONOURED_SHARE = 1 / 3
"""Callers honour a delay up to this share of their remaining time."""
JITTER = 1.0
"""Width of the interval of delays, relative to the earliest one."""
MAX_START_SHARE = 0.5
"""Latest start of the interval relative to its end, so that delays are spread even if the interval
is cut short by what callers honour."""
OUTAGE_DELAY_SECONDS = 0.3
"""Earliest delay after a refusal by a node that is temporarily unable to serve. The node checks
again about as soon, and the caller is as likely to reach another node."""
BEGUN_OUTAGE_DELAY_SECONDS = 0.15
"""Earliest delay, for a program that has begun, after a refusal by a node that is temporarily
unable to serve."""
OUTAGE_JITTER = 2.0
"""Width of the interval of delays after a refusal by a node that is temporarily unable to serve,
relative to the earliest delay. The callers of the whole fleet return within it."""
NO_ELIGIBLE_ENGINE_DELAY_SECONDS = 1.0
"""Earliest delay if no engine may serve the request. An operator's order or the configuration has
to change first, so callers return rarely, yet within :data:`MAX_DELAY_SECONDS` of that change."""
LIMIT_JITTER = 0.25
"""Width of the interval of delays after a refusal by a tenant's limit, relative to the earliest
delay. The first caller is told the exact time, and the others come little later."""
_HASH_SPAN = 2**32


class RefusedCaller(msgspec.Struct, frozen=True, kw_only=True):
    """A refused caller.

    Attributes:
        request_id: Determines its jitter.
        has_begun: Its program has had a turn before.
        time_left: Seconds until it needs its final answer.
    """

    request_id: str
    has_begun: bool
    time_left: float


def retry_delay(caller: RefusedCaller, expected_wait: float) -> float:
    """Return the retry delay in seconds of a caller that was refused for lack of capacity.

    Args:
        caller: The refused caller.
        expected_wait: Seconds until the queue before it has drained; 0 if unknown.
    """
    earliest = BEGUN_MIN_DELAY_SECONDS if caller.has_begun else MIN_DELAY_SECONDS
    return _with_jitter(caller, max(earliest, expected_wait), JITTER)


def retry_delay_after_outage(caller: RefusedCaller) -> float:
    """Return the retry delay in seconds from a node that is temporarily unable to serve.

    With little time left all delays shrink alike, so that programs that have begun still return
    before others.
    """
    earliest = BEGUN_OUTAGE_DELAY_SECONDS if caller.has_begun else OUTAGE_DELAY_SECONDS
    latest = OUTAGE_DELAY_SECONDS * (1.0 + OUTAGE_JITTER)
    honoured = max(0.0, HONOURED_SHARE * caller.time_left)
    delay = earliest * (1.0 + OUTAGE_JITTER * _hash_fraction(caller.request_id))
    return delay * min(1.0, honoured / latest)


def retry_delay_after_limit(request_id: str, seconds: float) -> float:
    """Return the retry delay in seconds after a refusal by a tenant's limit, at least ``seconds``.

    Args:
        request_id: The request's id.
        seconds: From now until the request could be admitted.
    """
    return seconds * (1.0 + LIMIT_JITTER * _hash_fraction(request_id))


def _with_jitter(caller: RefusedCaller, earliest: float, jitter: float) -> float:
    """Return a delay between ``earliest`` and the latest one that the caller honours."""
    honoured = max(0.0, HONOURED_SHARE * caller.time_left)
    latest = min(earliest * (1.0 + jitter), MAX_DELAY_SECONDS, honoured)
    start = min(earliest, MAX_START_SHARE * latest)
    return start + _hash_fraction(caller.request_id) * (latest - start)


def _hash_fraction(request_id: str) -> float:
    """Return a number from 0 to 1 that depends on the id alone."""
    return xxhash.xxh32_intdigest(request_id.encode()) / _HASH_SPAN
