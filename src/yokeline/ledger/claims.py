"""Claims of admitted programs on their tenants' limits, and typical program sizes by kind.

A claim is the number of requests that a program is expected to send until it ends. Only the
ledger's leader keeps claims; a new leader rebuilds them from the program accounts in the state.
Times are leadership time (:class:`yokeline.ledger.quotas.LeadershipClock`), in seconds.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from itertools import islice

import msgspec

from yokeline.ledger.state import Program
from yokeline.scheduling.program_admission import Admission, BucketState, Claims, claims_of, decide
from yokeline.scheduling.program_sizes import ProgramSize, SizeEstimate
from yokeline.scheduling.time_limit_usage import TimeLimitUsage

MAX_IDLE_SECONDS = 2.0
"""Maximum idle time after which a program without an open turn releases its claim; used while the
size of its kind is unknown. A program that continues later claims again."""
MAX_TURN_SECONDS = 10.0
"""Maximum duration of an open turn before its program releases the claim; a failed node ends none
of its turns."""
MIN_IDLE_SECONDS = 0.5
"""Minimum idle time before a program releases its claim."""
IDLE_REQUEST_INTERVALS = 6.0
"""Idle time before a program releases its claim, in mean request intervals of its kind. A program
that has ended must not keep others out for longer than it takes to be sure."""
SWEEP_SECONDS = 0.05
"""Time between two sweeps for idle programs."""
MAX_SWEPT_PER_TICK = 500
"""Claims checked in one event-loop iteration, the longest idle first. This bounds how long requests
wait for a sweep."""
KIND_PRIORITY_SECONDS = 2.0
"""Time without an admission after which a kind with refused programs gets priority over other
kinds. Small programs would otherwise take the tokens as they accrue, and large ones never begin."""
RETRY_GRACE_SECONDS = 1.0
"""Time beyond its retry time for which a refused program keeps its kind's priority."""
REFUSAL_CACHE_SECONDS = 0.05
"""Time for which a refusal applies to all programs of its kind without a new decision; bounds the
CPU time spent on a tenant far above its limit."""
LATE_YIELD_SECONDS = 1.0
"""Time after the refusal of a program that can meet its deadline during which programs that cannot
meet theirs are refused, so that the former can retry first."""
MIN_LATE_RETRY_SECONDS = 0.5
"""Minimum retry time for programs that cannot meet their deadline."""
MAX_TIME_LIMITS = 65_536
"""Refused programs whose time limits are remembered; the oldest is evicted."""
MAX_CLAIMS = 65_536
"""Claims; the longest idle is evicted."""
MAX_TENANTS = 4096
"""Tenants whose sizes are remembered, besides those with claims; the oldest is evicted."""
MAX_KINDS_PER_TENANT = 64
"""Kinds of programs of one tenant; the oldest is evicted."""
MAX_SHARED_KINDS = 1024
"""Kinds of programs over all tenants; the oldest is evicted."""


class _Claim(msgspec.Struct):
    """The claim of one program.

    Attributes:
        requests_sent: Requests that the program has sent.
        has_open_turn: One of its turns is at an engine.
        was_refused: One of its requests was refused, so its size is not typical of its kind.
        is_size_observed: Its size was observed when it was idle earlier.
        time_limit: Seconds until its deadline at its first request; 0 if unknown.
    """

    tenant: str
    kind: str
    requests_sent: int
    began_at: float
    active_at: float
    has_open_turn: bool
    was_refused: bool = False
    is_size_observed: bool = False
    time_limit: float = 0.0


class CandidateProgram(msgspec.Struct, frozen=True, kw_only=True):
    """A program that asks to begin.

    Attributes:
        time_left: Seconds until its deadline; None if it has none.
    """

    name: str
    tenant: str
    kind: str
    time_left: float | None = None


class _RefusedKind(msgspec.Struct):
    """A kind whose programs have only been refused since a certain time.

    Attributes:
        refused_since: Time of the first refusal.
        decided_at: Time of the latest decision.
        decision: The latest decision.
        expires_at: When the latest refused program should have retried.
    """

    refused_since: float
    decided_at: float
    decision: Admission
    expires_at: float


class _KindSizes:
    """A bounded number of program sizes by kind."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._sizes: OrderedDict[str, SizeEstimate] = OrderedDict()

    def size(self, kind: str) -> ProgramSize | None:
        estimate = self._sizes.get(kind)
        return estimate.size if estimate is not None else None

    def __len__(self) -> int:
        return len(self._sizes)

    def observe_size(self, claim: _Claim) -> None:
        estimate = self._sizes.setdefault(claim.kind, SizeEstimate())
        self._sizes.move_to_end(claim.kind)
        estimate.observe(claim.requests_sent, claim.active_at - claim.began_at)
        if len(self._sizes) > self._bound:
            self._sizes.popitem(last=False)


class _TenantClaims:
    """Sizes and claims of one tenant.

    Until enough programs of a kind have ended, the size over all tenants is used.
    """

    def __init__(self, fallback_sizes: _KindSizes) -> None:
        self._fallback_sizes = fallback_sizes
        self.sizes = _KindSizes(MAX_KINDS_PER_TENANT)
        self.held: Counter[tuple[str, int]] = Counter()
        """Number of claims by kind and requests sent; equal claims are evaluated together."""
        self.refused_kinds: dict[str, _RefusedKind] = {}
        self.time_shares: dict[str, TimeLimitUsage] = {}
        self.last_timely_refusal_at = -math.inf
        """Time of the latest refusal of a program that could meet its deadline."""

    def size(self, kind: str) -> ProgramSize | None:
        return self.sizes.size(kind) or self._fallback_sizes.size(kind)

    def observe_size(self, claim: _Claim) -> None:
        self.sizes.observe_size(claim)
        self._fallback_sizes.observe_size(claim)
        share = self.time_shares.pop(claim.kind, None) or TimeLimitUsage()
        share.observe(claim.active_at - claim.began_at, claim.time_limit)
        self.time_shares[claim.kind] = share
        if len(self.time_shares) > MAX_KINDS_PER_TENANT:
            del self.time_shares[next(iter(self.time_shares))]

    def add(self, claim: _Claim) -> None:
        self.held[claim.kind, claim.requests_sent] += 1

    def remove(self, claim: _Claim) -> None:
        key = (claim.kind, claim.requests_sent)
        self.held[key] -= 1
        if self.held[key] <= 0:
            del self.held[key]

    def claims(self) -> list[Claims]:
        """Return the claims of admitted programs whose kind has a known size.

        Programs of one kind that have sent equally many requests are counted together.
        """
        found = []
        for (kind, requests_sent), count in self.held.items():
            size = self.size(kind)
            claims = claims_of(size, requests_sent, count) if size is not None else None
            if claims is not None:
                found.append(claims)
        return found

    def claims_of_refused_kinds(self, kind: str, now: float) -> list[Claims]:
        """Return the claim of one new program of each refused kind with priority over ``kind``.

        Drops kinds whose programs have not retried.
        """
        self.refused_kinds = {
            name: item for name, item in self.refused_kinds.items() if item.expires_at >= now
        }
        own = self.refused_kinds.get(kind)
        before = min(now - KIND_PRIORITY_SECONDS, own.refused_since if own is not None else now)
        found = []
        for other, item in self.refused_kinds.items():
            size = self.size(other)
            claims = claims_of(size, 0, 1) if size is not None else None
            if item.refused_since < before and claims is not None:
                found.append(claims)
        return found

    def cached_refusal(self, kind: str, now: float) -> Admission | None:
        """Return the latest refusal of a kind while it is valid, with the remaining retry time.

        The kind keeps its priority until the program that receives this refusal should have
        retried.
        """
        item = self.refused_kinds.get(kind)
        passed = now - item.decided_at if item is not None else REFUSAL_CACHE_SECONDS
        if item is None or passed >= min(REFUSAL_CACHE_SECONDS, item.decision.retry_after):
            return None
        left = item.decision.retry_after - passed
        item.expires_at = now + left + RETRY_GRACE_SECONDS
        return msgspec.structs.replace(item.decision, retry_after=left)

    def note_decision(self, kind: str, now: float, decision: Admission) -> None:
        known = self.refused_kinds.pop(kind, None)
        if decision.is_admitted:
            return
        self.refused_kinds[kind] = _RefusedKind(
            refused_since=known.refused_since if known is not None else now,
            decided_at=now,
            decision=decision,
            expires_at=now + decision.retry_after + RETRY_GRACE_SECONDS,
        )


def _decide_in_time(
    tenant_claims: _TenantClaims, kind: str, supply: BucketState, size: ProgramSize, now: float
) -> Admission:
    cached = tenant_claims.cached_refusal(kind, now)
    if cached is not None:
        return cached
    claims = [*tenant_claims.claims(), *tenant_claims.claims_of_refused_kinds(kind, now)]
    decision = decide(supply, claims, size)
    tenant_claims.note_decision(kind, now, decision)
    return decision


def _decide_late(
    tenant_claims: _TenantClaims,
    candidate: CandidateProgram,
    supply: BucketState,
    size: ProgramSize,
    now: float,
) -> Admission:
    """Decide on a program that cannot meet its deadline; it yields to programs that can."""
    decision = decide(
        supply, [*tenant_claims.claims(), *tenant_claims.claims_of_refused_kinds("", now)], size
    )
    yields = now - tenant_claims.last_timely_refusal_at < LATE_YIELD_SECONDS
    if decision.is_admitted and not yields:
        return decision
    retry_after = max(MIN_LATE_RETRY_SECONDS, decision.retry_after)
    return msgspec.structs.replace(
        decision, is_admitted=False, retry_after=retry_after, cannot_end_in_time=True
    )


class ClaimTracker:
    """Tracks the programs of tenants with limits, and decides on new ones."""

    def __init__(self) -> None:
        """Start without claims."""
        self._shared_sizes = _KindSizes(MAX_SHARED_KINDS)
        self._next_sweep = -math.inf
        self._tenants: OrderedDict[str, _TenantClaims] = OrderedDict()
        self._claims: OrderedDict[str, _Claim] = OrderedDict()
        """By program, the longest idle first."""
        self._idle_with_open_turn: OrderedDict[str, _Claim] = OrderedDict()
        """Claims of programs that have been idle with an open turn."""
        self._time_limits: OrderedDict[str, float] = OrderedDict()
        """Seconds until the deadline at the first request, of refused programs."""

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims) + len(self._idle_with_open_turn)

    def size_of(self, tenant: str, kind: str) -> ProgramSize | None:
        """Return the typical size of a kind of program; None if unknown."""
        tenant_claims = self._tenants.get(tenant)
        return (
            tenant_claims.size(kind) if tenant_claims is not None else self._shared_sizes.size(kind)
        )

    def decide(
        self, candidate: CandidateProgram, supply: BucketState, now: float
    ) -> Admission | None:
        """Decide whether a program may begin; None if the size of its kind is unknown."""
        self.sweep(now)
        size = self.size_of(candidate.tenant, candidate.kind)
        if size is None:
            return None
        tenant_claims = self._tenant_claims(candidate.tenant)
        if self._is_late(candidate):
            return _decide_late(tenant_claims, candidate, supply, size, now)
        decision = _decide_in_time(tenant_claims, candidate.kind, supply, size, now)
        if not decision.is_admitted:
            tenant_claims.last_timely_refusal_at = now
            self._note_time_limit(candidate)
        return decision

    def _is_late(self, candidate: CandidateProgram) -> bool:
        """Return whether a refused program can no longer meet its deadline."""
        time_limit = self._time_limits.get(candidate.name)
        share = self._tenants[candidate.tenant].time_shares.get(candidate.kind)
        if time_limit is None or share is None or candidate.time_left is None:
            return False
        return share.is_late(candidate.time_left, time_limit)

    def _note_time_limit(self, candidate: CandidateProgram) -> None:
        """Remember the time limit of a refused program from its first request."""
        if candidate.time_left is None or candidate.name in self._time_limits:
            return
        self._time_limits[candidate.name] = candidate.time_left
        if len(self._time_limits) > MAX_TIME_LIMITS:
            self._time_limits.popitem(last=False)

    def add_provisional(self, candidate: CandidateProgram, now: float) -> None:
        """Add a claim for an admitted program, until its first turn is committed."""
        if self.has_claim(candidate.name):
            return
        time_limit = self._time_limits.pop(candidate.name, candidate.time_left or 0.0)
        claim = _Claim(
            candidate.tenant, candidate.kind, 0, now, now, has_open_turn=True, time_limit=time_limit
        )
        self._add(candidate.name, claim)

    def cancel_provisional(self, name: str) -> None:
        """Remove the claim of a program whose first turn was not committed."""
        claim = self._claims.get(name) or self._idle_with_open_turn.get(name)
        if claim is not None and not claim.requests_sent:
            self._remove(name)

    def update(self, name: str, account: Program, *, is_complete: bool) -> None:
        """Update a claim from the program's account, if its tenant has a limit.

        Args:
            name: The program.
            account: Its account.
            is_complete: All accounts have been read, so a program without a claim has released it.
        """
        if not account.requests:
            return
        known = self._remove(name)
        is_active_again = known is None or account.requests > known.requests_sent
        is_resumed = known is None and is_complete and account.requests > 1
        claim = _Claim(
            account.tenant,
            account.kind,
            account.requests,
            account.began_at,
            account.active_at,
            has_open_turn=bool(account.reserved),
            was_refused=known is not None and known.was_refused and not is_active_again,
            is_size_observed=is_resumed or (known is not None and known.is_size_observed),
            time_limit=known.time_limit if known is not None else 0.0,
        )
        self._add(name, claim)

    def note_refused(self, name: str) -> None:
        """Note that a request of a program was refused."""
        claim = self._claims.get(name) or self._idle_with_open_turn.get(name)
        if claim is not None:
            claim.was_refused = True

    def release(self, name: str) -> None:
        """Remove the claim of a program that has exhausted its budget.

        The program probably loops, so its size is not typical of its kind.
        """
        self._remove(name)

    def sweep(self, now: float) -> None:
        """Release the claims of idle programs, and observe their sizes."""
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_SECONDS
        for name, claim in list(islice(self._claims.items(), MAX_SWEPT_PER_TICK)):
            if claim.active_at + MIN_IDLE_SECONDS > now:
                break
            if claim.active_at + self._idle_limit(claim) > now:
                continue
            if claim.has_open_turn:
                self._idle_with_open_turn[name] = self._claims.pop(name)
            else:
                self._end_program(name)
        while self._idle_with_open_turn:
            name, claim = next(iter(self._idle_with_open_turn.items()))
            if claim.active_at + MAX_TURN_SECONDS > now:
                break
            self._end_program(name)

    def _idle_limit(self, claim: _Claim) -> float:
        """Return the idle time after which a program counts as ended, in seconds."""
        size = self.size_of(claim.tenant, claim.kind)
        if size is None or claim.has_open_turn:
            return MAX_IDLE_SECONDS
        idle_limit = IDLE_REQUEST_INTERVALS / size.rate
        return min(MAX_IDLE_SECONDS, max(MIN_IDLE_SECONDS, idle_limit))

    def _end_program(self, name: str) -> None:
        claim = self._remove(name)
        if (
            claim is not None
            and claim.requests_sent
            and not claim.was_refused
            and not claim.is_size_observed
        ):
            self._tenants[claim.tenant].observe_size(claim)

    def has_claim(self, name: str) -> bool:
        """Return whether a program has a claim."""
        return name in self._claims or name in self._idle_with_open_turn

    def _add(self, name: str, claim: _Claim) -> None:
        self._tenant_claims(claim.tenant).add(claim)
        self._claims[name] = claim
        if len(self) > MAX_CLAIMS:
            self._remove(next(iter(self._idle_with_open_turn or self._claims)))

    def _tenant_claims(self, tenant: str) -> _TenantClaims:
        """Return the claims of a tenant, and mark it as most recently used."""
        tenant_claims = self._tenants.pop(tenant, None) or _TenantClaims(self._shared_sizes)
        self._tenants[tenant] = tenant_claims
        if len(self._tenants) > MAX_TENANTS:
            self._forget_tenant()
        return tenant_claims

    def _remove(self, name: str) -> _Claim | None:
        claim = self._claims.pop(name, None) or self._idle_with_open_turn.pop(name, None)
        if claim is not None:
            self._tenants[claim.tenant].remove(claim)
        return claim

    def _forget_tenant(self) -> None:
        """Forget the least recently used tenant, unless it has claims."""
        oldest = next(iter(self._tenants))
        if self._tenants[oldest].held:
            self._tenants.move_to_end(oldest)
        else:
            del self._tenants[oldest]
