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

NEW_PROGRAM_SHARE = 0.25
"""Share of a bucket that is kept for programs that have begun: at the limit a program is better
refused before its first turn than in its midst, when what it has used is lost."""
LEAST_BURST = 1.0
"""Size of a bucket without a burst: a smaller one would never hold a whole request."""
FORGET_SECONDS = 60.0
"""An account that was full for this long may be forgotten; a new one begins full."""


class TenantAccount(msgspec.Struct, kw_only=True):
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

    def adopt(self, limit: RateLimit) -> None:
        """Take a limit over if it is of a later configuration than the present one."""
        if limit.version <= self.version:
            return
        self.rate, self.version = limit.rate, limit.version
        self.burst = max(LEAST_BURST, limit.burst)
        self.level = min(self.level, self.burst)

    def is_full_since(self, now: float) -> float:
        """Return for how long it would have been full (seconds); negative if it is not."""
        missing = self.burst - self.level
        return now - self.at - (missing / self.rate if self.rate > 0 else 0.0)


class TenantQuotas(msgspec.Struct, kw_only=True):
    """The buckets of all tenants; part of the ledger's state.

    Attributes:
        time: Passed time of the leaders that the latest entry told.
    """

    time: float = 0.0
    accounts: dict[str, TenantAccount] = {}

    def transition_pass(self, time: float) -> None:
        """Let time pass, as an entry says."""
        self.time = max(self.time, time)

    def transition_draw(self, limit: RateLimit, *, is_new: bool) -> QuotaSpent | None:
        """Take a token for a request; return None if there is one, else when there will be."""
        account = self._account(limit)
        needed = needed_level(account, is_new=is_new)
        if account.level < needed:
            return _spent(account, needed, account.level)
        account.level -= 1.0
        return None

    def transition_owe(self, limit: RateLimit) -> None:
        """Take a token for a request that runs in any case; later ones wait until it is made good.

        A stream that goes on at another engine runs there as well. Without this, a tenant at its
        limit whose engines break off would exceed what the limit gives by its repeated requests.
        """
        self._account(limit).level -= 1.0

    def _account(self, limit: RateLimit) -> TenantAccount:
        """Return the bucket of a limit, with what has come into it since."""
        account = self.accounts.get(limit.tenant)
        if account is None:
            burst = max(LEAST_BURST, limit.burst)
            account = self.accounts[limit.tenant] = TenantAccount(
                level=burst, at=self.time, rate=limit.rate, burst=burst, version=limit.version
            )
        account.refill(self.time)
        account.adopt(limit)
        return account

    def known_spent(self, limit: RateLimit, time: float, *, is_new: bool) -> QuotaSpent | None:
        """Return what a draw at a time would surely meet; changes nothing.

        What is on its way into the log can only take more out, so a refusal by the state as it
        stands is right and needs no entry: a tenant far beyond its limit costs no disk anything.
        """
        account = self.accounts.get(limit.tenant)
        if account is None or limit.version > account.version:
            return None
        passed = max(0.0, time - account.at)
        level = min(account.burst, account.level + account.rate * passed)
        needed = needed_level(account, is_new=is_new)
        return _spent(account, needed, level) if level < needed else None

    def outlook(self, limit: RateLimit, time: float) -> Supply:
        """Return what a tenant may ask for from a time on; changes nothing."""
        account = self.accounts.get(limit.tenant)
        if account is None:
            return Supply(level=max(LEAST_BURST, limit.burst), rate=limit.rate)
        seen = msgspec.structs.replace(account)
        seen.refill(time)
        seen.adopt(limit)
        return Supply(level=seen.level, rate=seen.rate)

    def transition_forget(self) -> None:
        """Forget accounts that have been full for long."""
        full = [
            name
            for name, account in self.accounts.items()
            if account.is_full_since(self.time) > FORGET_SECONDS
        ]
        for name in full:
            del self.accounts[name]


def needed_level(account: TenantAccount, *, is_new: bool) -> float:
    """Return how many tokens there must be for a request."""
    return 1.0 + (NEW_PROGRAM_SHARE * account.burst if is_new else 0.0)


def _spent(account: TenantAccount, needed: float, level: float) -> QuotaSpent:
    wait = (needed - level) / account.rate if account.rate > 0 else 0.0
    return QuotaSpent(retry_after=wait, is_empty=level < 1.0)


class QuotaClock:
    """Time that passes while a replica leads, on from what the log says at its beginning.

    Each leader adds no more than what passes while it leads, and goes on from what it has applied,
    so that all leaders together never add more than has really passed.
    """

    def __init__(self) -> None:
        """Begin as a replica that does not lead."""
        self._term = -1
        self._began_with = 0.0
        self._began_at = 0.0

    def time(self, term: int, applied: float, now: float) -> float:
        """Return the time for an entry of ``term``.

        Args:
            term: The replica's term.
            applied: The time of the latest entry that it has applied.
            now: Monotonic seconds.
        """
        told = self._began_with + (now - self._began_at)
        # A leader that has just started may be asked before it has applied its log; left behind, no
        # bucket would refill until its time had come to where they stand.
        if term != self._term or applied > told:
            self._term = term
            self._began_with = applied
            self._began_at = now
            return applied
        return told
