"""How many requests each tenant may still send: token buckets, replicated with the ledger.

One bucket a tenant for all nodes: a request takes a token out of it before it may go to an engine,
by an entry of the log. So the bound holds through cuts, restarts and changes of the leader, and
nothing below the limit is refused because of how requests spread over nodes.

Time is what has passed under the leaders (:class:`QuotaClock`). It never runs ahead of real time,
whatever the time of day is set to: a bucket that refilled too soon would break the bound.
"""

from __future__ import annotations

import msgspec

from yokeline.ledger.operations import QuotaSpent, RateLimit
from yokeline.scheduling.program_admission import Supply

RESERVED_SHARE = 0.25
"""Share of a bucket that is kept for programs that have begun: at the limit a program is better
refused before its first turn than in its midst, when what it has used is lost."""
MIN_BURST = 1.0
"""Size of a bucket without a burst: a smaller one would never hold a whole request."""
FULL_BUCKET_RETENTION_SECONDS = 60.0
"""An account that was full for this long may be forgotten; a new one begins full."""


class TokenBucket(msgspec.Struct, kw_only=True):
    """The bucket of one tenant.

    Attributes:
        level: Tokens in it at ``at`` (passed time of the ledger's leaders, seconds).
        version: Of the configuration that its limit comes from.
    """

    level: float
    at: float
    rate: float
    burst: float
    version: int

    def refill(self, now: float) -> None:
        """Add what has come since."""
        passed = max(0.0, now - self.at)
        self.level = min(self.burst, self.level + self.rate * passed)
        self.at = max(self.at, now)

    def update_limit(self, limit: RateLimit) -> None:
        """Take a limit over if it is of a later configuration than the present one."""
        if limit.version <= self.version:
            return
        self.rate, self.version = limit.rate, limit.version
        self.burst = max(MIN_BURST, limit.burst)
        self.level = min(self.level, self.burst)

    def seconds_full(self, now: float) -> float:
        """Return for how long it would have been full (seconds); negative if it is not."""
        missing = self.burst - self.level
        return now - self.at - (missing / self.rate if self.rate > 0 else 0.0)


class TenantQuotas(msgspec.Struct, kw_only=True):
    """The buckets of all tenants; part of the ledger's state.

    Attributes:
        time: Passed time of the leaders that the latest entry told.
    """

    time: float = 0.0
    accounts: dict[str, TokenBucket] = {}

    def transition_advance(self, time: float) -> None:
        """Let time pass, as an entry says."""
        self.time = max(self.time, time)

    def transition_draw(self, limit: RateLimit, *, is_new: bool) -> QuotaSpent | None:
        """Take a token for a request; return None if there is one, else when there will be."""
        bucket = self._bucket(limit)
        required = required_level(bucket, is_new=is_new)
        if bucket.level < required:
            return _refusal(bucket, required, bucket.level)
        bucket.level -= 1.0
        return None

    def transition_owe(self, limit: RateLimit) -> None:
        """Take a token for a request that runs in any case; later ones wait until it is made good.

        A stream that goes on at another engine runs there as well. Without this, a tenant at its
        limit whose engines break off would exceed what the limit gives by its repeated requests.
        """
        self._bucket(limit).level -= 1.0

    def _bucket(self, limit: RateLimit) -> TokenBucket:
        """Return the bucket of a limit, with what has come into it since."""
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
        """Return what a draw at a time would surely meet; changes nothing.

        What is on its way into the log can only take more out, so a refusal by the state as it
        stands is right and needs no entry: a tenant far beyond its limit costs no disk anything.
        """
        bucket = self.accounts.get(limit.tenant)
        if bucket is None or limit.version > bucket.version:
            return None
        passed = max(0.0, time - bucket.at)
        level = min(bucket.burst, bucket.level + bucket.rate * passed)
        required = required_level(bucket, is_new=is_new)
        return _refusal(bucket, required, level) if level < required else None

    def available_supply(self, limit: RateLimit, time: float) -> Supply:
        """Return what a tenant may ask for from a time on; changes nothing."""
        bucket = self.accounts.get(limit.tenant)
        if bucket is None:
            return Supply(level=max(MIN_BURST, limit.burst), rate=limit.rate)
        copy = msgspec.structs.replace(bucket)
        copy.refill(time)
        copy.update_limit(limit)
        return Supply(level=copy.level, rate=copy.rate)

    def transition_forget(self) -> None:
        """Forget accounts that have been full for long."""
        expired = [
            name
            for name, bucket in self.accounts.items()
            if bucket.seconds_full(self.time) > FULL_BUCKET_RETENTION_SECONDS
        ]
        for name in expired:
            del self.accounts[name]


def required_level(bucket: TokenBucket, *, is_new: bool) -> float:
    """Return how many tokens there must be for a request."""
    return 1.0 + (RESERVED_SHARE * bucket.burst if is_new else 0.0)


def _refusal(bucket: TokenBucket, required: float, level: float) -> QuotaSpent:
    wait = (required - level) / bucket.rate if bucket.rate > 0 else 0.0
    return QuotaSpent(retry_after=wait, is_empty=level < 1.0)


class LeadershipClock:
    """Time that passes while a replica leads, on from what the log says at its beginning.

    Each leader adds no more than what passes while it leads, and goes on from what it has applied,
    so that all leaders together never add more than has really passed.
    """

    def __init__(self) -> None:
        """Begin as a replica that does not lead."""
        self._term = -1
        self._base = 0.0
        self._base_at = 0.0

    def time(self, term: int, applied: float, now: float) -> float:
        """Return the time for an entry of ``term``.

        Args:
            term: The replica's term.
            applied: The time of the latest entry that it has applied.
            now: Monotonic seconds.
        """
        leader_time = self._base + (now - self._base_at)
        # A leader that has just started may be asked before it has applied its log; left behind, no
        # bucket would refill until its time had come to where they stand.
        if term != self._term or applied > leader_time:
            self._term = term
            self._base = applied
            self._base_at = now
            return applied
        return leader_time
