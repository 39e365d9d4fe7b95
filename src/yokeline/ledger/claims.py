"""The book of the programs that were let in, and of how large programs of each kind are.

Only the ledger's leader keeps it. It is derived from the accounts of programs in the ledger's state
and no part of that: a leader that takes over makes it anew. Times are passed time of the leaders
(:class:`yokeline.ledger.quotas.QuotaClock`), in seconds.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from itertools import islice

import msgspec

from yokeline.ledger.state import Program
from yokeline.scheduling.program_admission import Admission, Claims, Supply, claims_of, decide
from yokeline.scheduling.program_lateness import MeanTimeShare
from yokeline.scheduling.program_sizes import ProgramSize, SizeEstimate

MAX_IDLE_SECONDS = 2.0
"""Longest rest without a turn under way before a program gives its claim back; so long it is while
the size of its kind is not known. One that goes on after all claims again."""
MAX_TURN_SECONDS = 10.0
"""Longest time with a turn under way before a program gives its claim back: a node that is gone
ends none of its turns."""
MIN_IDLE_SECONDS = 0.5
"""Least rest before a program gives its claim back."""
IDLE_REQUEST_INTERVALS = 6.0
"""The rest as a multiple of the mean pause between two requests of its kind: a program that has
ended is not to keep others out for longer than it takes to be sure."""
SWEEP_SECONDS = 0.05
"""Pause between two looks for programs that rest."""
MAX_SWEPT_PER_TICK = 500
"""Claims looked at in one turn of the loop, those that rest longest first: a bound on how long
requests wait for it."""
KIND_PRIORITY_SECONDS = 2.0
"""Time after which a kind of which none was let in is next: large programs need more room at once
than small ones, which would take each bit of it before."""
RETRY_GRACE_SECONDS = 1.0
"""Time after the moment that a refused program was told, for which its kind's place is kept."""
REFUSAL_CACHE_SECONDS = 0.05
"""Time for which a refusal holds for all programs of its kind: it bounds what a tenant far beyond
its limit costs the leader."""
LATE_YIELD_SECONDS = 1.0
"""Time after the refusal of a program that could end in time, in which those that cannot are not
let in: a caller that is told to return does so within about that time."""
MIN_LATE_RETRY_SECONDS = 0.5
"""Least time after which a program that cannot end in time is to come back."""
MAX_TIME_LIMITS = 65_536
"""Refused programs of which it is remembered how much time they were given; the oldest gives
way."""
MAX_CLAIMS = 65_536
"""Claims that are held; the one that rested longest gives way."""
MAX_TENANTS = 4096
"""Tenants whose sizes are remembered beyond those that hold claims; the oldest gives way."""
MAX_KINDS_PER_TENANT = 64
"""Kinds of programs of a tenant; the oldest gives way."""
MAX_SHARED_KINDS = 1024
"""The same of all tenants together."""


class _Claim(msgspec.Struct):
    """The claim of one program.

    Attributes:
        used: Requests that it has sent.
        is_cut_short: A request of it was refused since, so its size says nothing of its kind.
        is_learned: It has rested once, and its size was learned then.
        given: Seconds that its caller gave it when it first asked; 0 if not known.
    """

    tenant: str
    kind: str
    requests: int
    began_at: float
    active_at: float
    has_open_turn: bool
    was_refused: bool = False
    is_size_observed: bool = False
    time_limit: float = 0.0


class CandidateProgram(msgspec.Struct, frozen=True, kw_only=True):
    """A program that asks to begin.

    Attributes:
        left: Seconds that it has left until it should be over; None if that is not said.
    """

    name: str
    tenant: str
    kind: str
    time_left: float | None = None


class _RefusedKind(msgspec.Struct):
    """A kind of which none was let in since it was refused.

    Attributes:
        since: When it was refused first.
        decided_at: When it was decided on last.
        decided: What was decided then.
        until: When its latest refused program should have come back.
    """

    refused_since: float
    decided_at: float
    decision: Admission
    expires_at: float


class _KindSizes:
    """Sizes by kind of program, bounded."""

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._sizes: OrderedDict[str, SizeEstimate] = OrderedDict()

    def size(self, kind: str) -> ProgramSize | None:
        estimate = self._sizes.get(kind)
        return estimate.size if estimate is not None else None

    def __len__(self) -> int:
        return len(self._sizes)

    def learn(self, claim: _Claim) -> None:
        estimate = self._sizes.setdefault(claim.kind, SizeEstimate())
        self._sizes.move_to_end(claim.kind)
        estimate.observe(claim.requests, claim.active_at - claim.began_at)
        if len(self._sizes) > self._bound:
            self._sizes.popitem(last=False)


class _TenantClaims:
    """Sizes and claims of one tenant.

    Until enough programs of a kind have ended, the sizes of all tenants' programs of it count: a
    small tenant begins few of each kind in the time for which accounts are kept.
    """

    def __init__(self, of_all: _KindSizes) -> None:
        self._of_all = of_all
        self.sizes = _KindSizes(MAX_KINDS_PER_TENANT)
        self.held: Counter[tuple[str, int]] = Counter()
        """Claims by kind and requests sent: equal ones are decided on together."""
        self.refused_kinds: dict[str, _RefusedKind] = {}
        self.time_shares: dict[str, MeanTimeShare] = {}
        self.last_timely_refusal_at = -math.inf
        """When a program that could end in time was refused last."""

    def size(self, kind: str) -> ProgramSize | None:
        return self.sizes.size(kind) or self._of_all.size(kind)

    def learn(self, claim: _Claim) -> None:
        self.sizes.learn(claim)
        self._of_all.learn(claim)
        share = self.time_shares.pop(claim.kind, None) or MeanTimeShare()
        share.observe(claim.active_at - claim.began_at, claim.time_limit)
        self.time_shares[claim.kind] = share
        if len(self.time_shares) > MAX_KINDS_PER_TENANT:
            del self.time_shares[next(iter(self.time_shares))]

    def add(self, claim: _Claim) -> None:
        self.held[claim.kind, claim.requests] += 1

    def remove(self, claim: _Claim) -> None:
        key = (claim.kind, claim.requests)
        self.held[key] -= 1
        if self.held[key] <= 0:
            del self.held[key]

    def claims(self) -> list[Claims]:
        """Return what the programs claim whose size is known."""
        found = []
        for (kind, requests), count in self.held.items():
            size = self.size(kind)
            claims = claims_of(size, requests, count) if size is not None else None
            if claims is not None:
                found.append(claims)
        return found

    def claims_of_refused_kinds(self, kind: str, now: float) -> list[Claims]:
        """Return a place for one program of each kind that is next before ``kind``.

        Kinds whose programs did not come back are forgotten.
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
        """Return the last refusal of a kind while it holds, with the time that is left.

        The kind's place is kept until the program that is refused by it has come back.
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
        if decision.is_let_in:
            return
        self.refused_kinds[kind] = _RefusedKind(
            refused_since=known.refused_since if known is not None else now,
            decided_at=now,
            decision=decision,
            expires_at=now + decision.retry_after + RETRY_GRACE_SECONDS,
        )


def _decide_in_time(
    tenant_claims: _TenantClaims, kind: str, supply: Supply, size: ProgramSize, now: float
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
    supply: Supply,
    size: ProgramSize,
    now: float,
) -> Admission:
    """Decide on a program that cannot end in time; it takes no turn of one that can."""
    decision = decide(
        supply, [*tenant_claims.claims(), *tenant_claims.claims_of_refused_kinds("", now)], size
    )
    yields = now - tenant_claims.last_timely_refusal_at < LATE_YIELD_SECONDS
    if decision.is_let_in and not yields:
        return decision
    retry_after = max(MIN_LATE_RETRY_SECONDS, decision.retry_after)
    return msgspec.structs.replace(
        decision, is_let_in=False, retry_after=retry_after, cannot_end_in_time=True
    )


class ClaimTracker:
    """Follows the programs of tenants with limits, and decides on new ones."""

    def __init__(self) -> None:
        """Hold no claims."""
        self._shared_sizes = _KindSizes(MAX_SHARED_KINDS)
        self._next_sweep = -math.inf
        self._tenants: OrderedDict[str, _TenantClaims] = OrderedDict()
        self._claims: OrderedDict[str, _Claim] = OrderedDict()
        """By program, the one that rests longest first."""
        self._idle_with_open_turn: OrderedDict[str, _Claim] = OrderedDict()
        """Those among them that rest with a turn under way."""
        self._time_limits: OrderedDict[str, float] = OrderedDict()
        """Seconds that programs were given when they first asked, of those that were refused."""

    def __len__(self) -> int:
        """Return the number of claims."""
        return len(self._claims) + len(self._idle_with_open_turn)

    def size_of(self, tenant: str, kind: str) -> ProgramSize | None:
        """Return the size of a kind of program; None until it is known."""
        tenant_claims = self._tenants.get(tenant)
        return (
            tenant_claims.size(kind) if tenant_claims is not None else self._shared_sizes.size(kind)
        )

    def decide(self, candidate: CandidateProgram, supply: Supply, now: float) -> Admission | None:
        """Decide whether a program may begin; None while the size of its kind is not known."""
        self.sweep(now)
        size = self.size_of(candidate.tenant, candidate.kind)
        if size is None:
            return None
        tenant_claims = self._tenant_claims(candidate.tenant)
        if self._is_late(candidate):
            return _decide_late(tenant_claims, candidate, supply, size, now)
        decision = _decide_in_time(tenant_claims, candidate.kind, supply, size, now)
        if not decision.is_let_in:
            tenant_claims.last_timely_refusal_at = now
            self._note_time_limit(candidate)
        return decision

    def _is_late(self, candidate: CandidateProgram) -> bool:
        """Return whether a program that was refused before has lost too much time since."""
        time_limit = self._time_limits.get(candidate.name)
        share = self._tenants[candidate.tenant].time_shares.get(candidate.kind)
        if time_limit is None or share is None or candidate.time_left is None:
            return False
        return share.is_late(candidate.time_left, time_limit)

    def _note_time_limit(self, candidate: CandidateProgram) -> None:
        """Remember how much time a refused program was given when it first asked."""
        if candidate.time_left is None or candidate.name in self._time_limits:
            return
        self._time_limits[candidate.name] = candidate.time_left
        if len(self._time_limits) > MAX_TIME_LIMITS:
            self._time_limits.popitem(last=False)

    def add_provisional(self, candidate: CandidateProgram, now: float) -> None:
        """Hold a claim for a program that may begin, until its first turn is in the log."""
        if self.has_claim(candidate.name):
            return
        time_limit = self._time_limits.pop(candidate.name, candidate.time_left or 0.0)
        claim = _Claim(
            candidate.tenant, candidate.kind, 0, now, now, has_open_turn=True, time_limit=time_limit
        )
        self._add(candidate.name, claim)

    def cancel_provisional(self, name: str) -> None:
        """Give the claim of a program back whose first turn is not in the log after all."""
        claim = self._claims.get(name) or self._idle_with_open_turn.get(name)
        if claim is not None and not claim.requests:
            self._remove(name)

    def update(self, name: str, account: Program, *, is_complete: bool) -> None:
        """Take over what the account of a program says; only a tenant's with a limit counts.

        Args:
            name: The program's.
            account: Its account.
            is_complete: All programs with claims are in the book, so that one that is not has
                given its claim back before.
        """
        if not account.requests:
            return
        known = self._remove(name)
        is_active_again = known is None or account.requests > known.requests
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
        """Give the claim of a program back that its budget stopped.

        It looped, most likely, so its size says nothing of its kind.
        """
        self._remove(name)

    def sweep(self, now: float) -> None:
        """Take the claims back of programs that have rested, and learn from them."""
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
        """Return for how many seconds a program rests before it counts as ended."""
        size = self.size_of(claim.tenant, claim.kind)
        if size is None or claim.has_open_turn:
            return MAX_IDLE_SECONDS
        idle_limit = IDLE_REQUEST_INTERVALS / size.rate
        return min(MAX_IDLE_SECONDS, max(MIN_IDLE_SECONDS, idle_limit))

    def _end_program(self, name: str) -> None:
        claim = self._remove(name)
        if (
            claim is not None
            and claim.requests
            and not claim.was_refused
            and not claim.is_size_observed
        ):
            self._tenants[claim.tenant].learn(claim)

    def has_claim(self, name: str) -> bool:
        """Return whether a program holds a claim."""
        return name in self._claims or name in self._idle_with_open_turn

    def _add(self, name: str, claim: _Claim) -> None:
        self._tenant_claims(claim.tenant).add(claim)
        self._claims[name] = claim
        if len(self) > MAX_CLAIMS:
            self._remove(next(iter(self._idle_with_open_turn or self._claims)))

    def _tenant_claims(self, tenant: str) -> _TenantClaims:
        """Return the book of a tenant, which was seen now."""
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
        """Forget the tenant that was seen least lately, unless it holds claims."""
        oldest = next(iter(self._tenants))
        if self._tenants[oldest].held:
            self._tenants.move_to_end(oldest)
        else:
            del self._tenants[oldest]
