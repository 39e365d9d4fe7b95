"""Client-side protection of the key-value service: token bucket, circuit breaker, backoff."""

from __future__ import annotations

import random

import msgspec

MIN_JITTER = 0.5


class StoreLimits(msgspec.Struct, frozen=True, kw_only=True):
    """How much one node may ask of the key-value service.

    Attributes:
        requests_per_second: Sustained rate.
        burst: Requests that may go out at once.
        max_queue: Requests that may wait for the rate; more are refused at once.
        failures_to_open: Consecutive failures after which the circuit opens.
        backoff_base_seconds: First pause; doubles with each further failure.
        backoff_max_seconds: Longest pause.
    """

    requests_per_second: float = 20.0
    burst: int = 40
    max_queue: int = 256
    failures_to_open: int = 3
    backoff_base_seconds: float = 0.25
    backoff_max_seconds: float = 5.0


def backoff_seconds(failures: int, limits: StoreLimits, source: random.Random) -> float:
    """Return the pause after the given number of consecutive failures (1, 2, ...).

    It doubles up to the longest one; of that, a random share of half to all is taken, so
    that nodes do not come back in step.
    """
    exponent = min(max(failures, 1) - 1, 32)
    longest = min(limits.backoff_base_seconds * 2.0**exponent, limits.backoff_max_seconds)
    return longest * source.uniform(MIN_JITTER, 1.0)


class TokenBucket:
    """A token bucket: a sustained rate and a burst."""

    def __init__(self, rate: float, burst: int, now: float) -> None:
        """Create a full bucket of ``burst`` tokens that gains ``rate`` tokens a second."""
        self._rate = rate
        self._burst = float(burst)
        self._tokens = float(burst)
        self._updated = now

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def next_token_at(self, now: float) -> float:
        """Return when there is a token: ``now`` or later."""
        self._refill(now)
        missing = max(0.0, 1.0 - self._tokens)
        return now + missing / self._rate

    def pause(self, now: float, seconds: float) -> None:
        """Give no token for some seconds: the service said that it is asked too often."""
        self._refill(now)
        self._tokens = 0.0
        self._updated = max(self._updated, now + seconds)

    def _refill(self, now: float) -> None:
        if now > self._updated:
            gained = (now - self._updated) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
            self._updated = now


class CircuitBreaker:
    """Stops requests to a service that is down, and lets one probe through after a pause."""

    def __init__(self, limits: StoreLimits, source: random.Random) -> None:
        """Create a closed breaker."""
        self._limits = limits
        self._source = source
        self._failures = 0
        self._open_until: float | None = None
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Return whether the service is held to be down."""
        return self._open_until is not None

    def allows(self, now: float) -> bool:
        """Return whether a request may go out; after a pause, one at a time as a probe."""
        if self._open_until is None:
            return True
        return now >= self._open_until and not self._probing

    def retry_after(self, now: float) -> float:
        """Return the seconds after which asking again makes sense."""
        if self._open_until is None:
            return self._limits.backoff_base_seconds
        return max(self._limits.backoff_base_seconds, self._open_until - now)

    def transition_sent(self) -> None:
        """Note that a request went out; while open it is the probe."""
        self._probing = self.is_open

    def transition_succeeded(self) -> None:
        """Close the circuit: the service answered."""
        self._failures = 0
        self._open_until = None
        self._probing = False

    def transition_failed(self, now: float) -> None:
        """Count a failure; open the circuit, or keep it open for longer."""
        self._failures += 1
        self._probing = False
        if self._failures >= self._limits.failures_to_open:
            beyond = self._failures - self._limits.failures_to_open + 1
            self._open_until = now + backoff_seconds(beyond, self._limits, self._source)

    def transition_abandoned(self) -> None:
        """Note that a request was given up by us, which tells nothing of the service."""
        self._probing = False
