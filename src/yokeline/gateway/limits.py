"""Admission of new runs at one node: rate and concurrency per tenant, shedding when full.

Everything is answered at once, with a time after which a retry may succeed. State is bounded
by the number of tenants, and of these only the ones seen of late are kept.

A tenant's rate holds over the whole service: each node lets through its share (the rate
divided by the number of live nodes). A burst is let through at any node.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict, deque

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError
from yokeline.labels.objects import TenantLimits

MAX_BUCKETS = 4096
PRESSURE_STARTS = 0.8
"""Share of the node's slots in use from which less worthy requests are shed."""

WINDOW = 256
"""Recent requests that a new one's worth is compared with."""

OVERLOAD_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0


class TokenBucket:
    """Lets ``burst`` through at once and ``rate`` a second after that."""

    def __init__(self, burst: float, now: float) -> None:
        """Create a full bucket."""
        self._tokens = burst
        self._updated_at = now

    def take(self, rate: float, burst: float, now: float) -> float:
        """Take a token; return 0, or the seconds until there is one if there is none."""
        gained = max(0.0, now - self._updated_at) * rate
        self._tokens = min(burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if rate <= 0:
            return MAX_RETRY_SECONDS
        return (1.0 - self._tokens) / rate


class Importance(msgspec.Struct, frozen=True, order=True, array_like=True):
    """What decides between requests when not all can be taken: worth, then urgency.

    A request with a distant deadline can come back later, so it counts less than one of
    equal worth that cannot wait.
    """

    worth: float
    urgency: float

    @classmethod
    def of(cls, worth: float, deadline_seconds: float) -> Importance:
        """Return the importance of a request."""
        return cls(worth, -deadline_seconds)


class Admission:
    """Decides whether a new run is taken at this node."""

    def __init__(self, max_waiting: int, source: random.Random) -> None:
        """Create it for a node that has at most ``max_waiting`` requests under way."""
        self._max_waiting = max_waiting
        self._random = source
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()
        self._open: Counter[str] = Counter()
        self._starting: Counter[str] = Counter()
        self._recent: deque[Importance] = deque(maxlen=WINDOW)

    # ------------------------------------------------------------ all requests

    def enter(self, tenant: str, waiting: int) -> Result[None, YokelineError]:
        """Take a request of a tenant in, unless the node is full.

        A node that is nearly full takes no more from a tenant that has more than its even
        share of the requests under way, so that one tenant cannot shut out the others.

        Args:
            tenant: Whose request it is.
            waiting: Requests under way at this node, without this one.
        """
        fill = waiting / self._max_waiting
        share = self._max_waiting / max(1, len(self._open))
        crowding = fill >= PRESSURE_STARTS and self._open[tenant] > share
        if fill >= 1.0 or crowding:
            return Failure(self._overloaded())
        self._open[tenant] += 1
        return Success(None)

    def leave(self, tenant: str) -> None:
        """Note that a request that was taken in is answered."""
        _count_down(self._open, tenant)

    # ------------------------------------------------------------ new runs

    def admit(
        self,
        tenant: str,
        limits: TenantLimits,
        importance: Importance,
        *,
        waiting: int,
        share: float,
        now: float,
    ) -> Result[None, YokelineError]:
        """Let a new run (or turn) start, or say why not and when to come back.

        Args:
            tenant: Whose run it is.
            limits: The tenant's limits.
            importance: Compared with other requests' when the node is nearly full.
            waiting: Requests under way at this node, without this one.
            share: Part of the tenant's rate that this node lets through, 0 < share <= 1.
            now: Monotonic seconds.
        """
        shed = self._is_shed(importance, waiting)
        self._recent.append(importance)
        if shed:
            return Failure(self._overloaded())
        if self._starting[tenant] >= limits.active_runs:
            return Failure(
                _limit_exceeded(
                    f"the tenant has {limits.active_runs} requests under way at this node",
                    OVERLOAD_RETRY_SECONDS,
                )
            )
        pause = self._bucket(tenant, limits, now).take(
            limits.requests_per_second * share, float(limits.burst), now
        )
        if pause > 0:
            return Failure(
                _limit_exceeded(
                    f"the tenant starts more than {limits.requests_per_second:g} runs a second",
                    min(pause, MAX_RETRY_SECONDS),
                )
            )
        self._starting[tenant] += 1
        return Success(None)

    def release(self, tenant: str) -> None:
        """Note that the request for a new run is answered."""
        _count_down(self._starting, tenant)

    def _is_shed(self, importance: Importance, waiting: int) -> bool:
        fill = waiting / self._max_waiting
        pressure = (fill - PRESSURE_STARTS) / (1.0 - PRESSURE_STARTS)
        return pressure > 0 and self._rank(importance) < pressure

    def _rank(self, importance: Importance) -> float:
        """Return the share of recent requests that are no more important than this one."""
        if not self._recent:
            return 1.0
        lower = sum(1 for other in self._recent if other <= importance)
        return lower / len(self._recent)

    def _bucket(self, tenant: str, limits: TenantLimits, now: float) -> TokenBucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(float(limits.burst), now)
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(tenant)
        return bucket

    def _overloaded(self) -> YokelineError:
        # Spread the retries, so that they do not come back together.
        pause = OVERLOAD_RETRY_SECONDS * (1.0 + 2.0 * self._random.random())
        return YokelineError(
            kind=ErrorKind.OVERLOADED,
            message="this node has as many requests under way as it takes",
            remedy="retry after the pause, at any node",
            retry_after=pause,
        )


def _count_down(counter: Counter[str], tenant: str) -> None:
    counter[tenant] -= 1
    if counter[tenant] <= 0:
        del counter[tenant]


def _limit_exceeded(message: str, retry_after: float) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.LIMIT_EXCEEDED,
        message=message,
        remedy="retry after the pause, or ask the operator for a higher limit",
        retry_after=retry_after,
    )
