"""Rate limits of tenants: token buckets, replicated with the ledger.

Each tenant has one bucket for all nodes. Every request takes a token by a log entry before it is
sent to an engine, so the limit holds across partitions, restarts and leader changes, and does not
depend on how requests are distributed over nodes.

Buckets refill by leadership time (:class:`LeadershipClock`), which never runs ahead of real
time, even if a wall clock is changed.
"""

from __future__ import annotations

import msgspec

from yokeline.ledger.operations import QuotaSpent, RateLimit
from yokeline.scheduling.program_admission import BucketState

RESERVED_SHARE = 0.25
"""Share of a bucket that is reserved for programs that have begun. Refusing a program before its
first turn wastes less than refusing it halfway."""
MIN_BURST = 1.0
"""Minimum size of a bucket, so that it can hold a token."""
FULL_BUCKET_RETENTION_SECONDS = 60.0
"""Time after which a full bucket is deleted; a new bucket starts full."""


class TokenBucket(msgspec.Struct, kw_only=True):
    """The token bucket of one tenant.

    Attributes:
        level: Tokens at ``at`` (leadership time in seconds).
        version: Version of the configuration that set the limit.
    """

    level: float
    at: float
    rate: float
    burst: float
    version: int

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued."""
        passed = max(0.0, now - self.at)
        self.level = min(self.burst, self.level + self.rate * passed)
        self.at = max(self.at, now)

    def update_limit(self, limit: RateLimit) -> None:
        """Apply a limit of a later configuration."""
        if limit.version <= self.version:
            return
        self.rate, self.version = limit.rate, limit.version
        self.burst = max(MIN_BURST, limit.burst)
        self.level = min(self.level, self.burst)

    def seconds_full(self, now: float) -> float:
        """Return for how many seconds the bucket has been full; negative if it is not."""
        missing = self.burst - self.level
        return now - self.at - (missing / self.rate if self.rate > 0 else 0.0)


class TenantQuotas(msgspec.Struct, kw_only=True):
    """The buckets of all tenants; part of the ledger's state.

    Attributes:
        time: Leadership time of the latest log entry, in seconds.
    """

    time: float = 0.0
    accounts: dict[str, TokenBucket] = {}

    def transition_advance(self, time: float) -> None:
        """Advance the leadership time to that of a log entry."""
        self.time = max(self.time, time)

    def transition_draw(self, limit: RateLimit, *, is_new: bool) -> QuotaSpent | None:
        """Take a token for a request; return the refusal if there are too few."""
        bucket = self._bucket(limit)
        required = required_level(bucket, is_new=is_new)
        if bucket.level < required:
            return _refusal(bucket, required, bucket.level)
        bucket.level -= 1.0
        return None

    def transition_owe(self, limit: RateLimit) -> None:
        """Take a token for a request that runs in any case; the level may become negative.

        Counts streams that continue at another engine. Their retries would otherwise exceed the
        limit of a tenant whose engines fail.
        """
        self._bucket(limit).level -= 1.0

    def _bucket(self, limit: RateLimit) -> TokenBucket:
        """Return the refilled bucket of a limit, created if necessary."""
        bucket = self.accounts.get(limit.tenant)
        if bucket is None:
            burst = max(MIN_BURST, limit.burst)
            bucket = self.accounts[limit.tenant] = TokenBucket(
                level=burst, at=self.time, rate=limit.rate, burst=burst, version=limit.version
            )
        bucket.refill(self.time)
        bucket.update_limit(limit)
        return bucket

    def known_refusal(self, limit: RateLimit, time: float, *, is_new: bool) -> QuotaSpent | None:
        """Return the refusal that a draw is certain to get; changes nothing.

        Entries in flight can only take further tokens, so the refusal is final and needs no log
        entry.
        """
        bucket = self.accounts.get(limit.tenant)
        if bucket is None or limit.version > bucket.version:
            return None
        passed = max(0.0, time - bucket.at)
        level = min(bucket.burst, bucket.level + bucket.rate * passed)
        required = required_level(bucket, is_new=is_new)
        return _refusal(bucket, required, level) if level < required else None

    def available_supply(self, limit: RateLimit, time: float) -> BucketState:
        """Return the tokens and rate of a tenant at a time; changes nothing."""
        bucket = self.accounts.get(limit.tenant)
        if bucket is None:
            return BucketState(level=max(MIN_BURST, limit.burst), rate=limit.rate)
        copy = msgspec.structs.replace(bucket)
        copy.refill(time)
        copy.update_limit(limit)
        return BucketState(level=copy.level, rate=copy.rate)

    def transition_forget(self) -> None:
        """Delete buckets that have been full for long."""
        expired = [
            name
            for name, bucket in self.accounts.items()
            if bucket.seconds_full(self.time) > FULL_BUCKET_RETENTION_SECONDS
        ]
        for name in expired:
            del self.accounts[name]


def required_level(bucket: TokenBucket, *, is_new: bool) -> float:
    """Return the tokens that a bucket must hold for a request."""
    return 1.0 + (RESERVED_SHARE * bucket.burst if is_new else 0.0)


def _refusal(bucket: TokenBucket, required: float, level: float) -> QuotaSpent:
    wait = (required - level) / bucket.rate if bucket.rate > 0 else 0.0
    return QuotaSpent(retry_after=wait, is_empty=level < 1.0)


class LeadershipClock:
    """Clock that runs while a replica leads, starting at the leadership time in its log.

    Each leader adds at most the time for which it leads to the applied leadership time, so that all
    leaders together never add more than real time.
    """

    def __init__(self) -> None:
        """Start as a replica that does not lead."""
        self._term = -1
        self._base = 0.0
        self._base_at = 0.0

    def time(self, term: int, applied: float, now: float) -> float:
        """Return the leadership time for an entry.

        Args:
            term: The replica's term.
            applied: Leadership time of the latest applied entry.
            now: Monotonic seconds.
        """
        leader_time = self._base + (now - self._base_at)
        # A new leader may be asked before it has applied its log. If its time stayed behind that of
        # the buckets, they would not refill until it had caught up.
        if term != self._term or applied > leader_time:
            self._term = term
            self._base = applied
            self._base_at = now
            return applied
        return leader_time
