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
    used: int
    began_at: float
    active_at: float
    is_under_way: bool
    is_cut_short: bool = False
    is_learned: bool = False
    given: float = 0.0


class CandidateProgram(msgspec.Struct, frozen=True, kw_only=True):
    """A program that asks to begin.

    Attributes:
        left: Seconds that it has left until it should be over; None if that is not said.
    """

    name: str
    tenant: str
    kind: str
    left: float | None = None


class _RefusedKind(msgspec.Struct):
    """A kind of which none was let in since it was refused.

    Attributes:
        since: When it was refused first.
        decided_at: When it was decided on last.
        decided: What was decided then.
        until: When its latest refused program should have come back.
    """

    since: float
    decided_at: float
    decided: Admission
    until: float


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
        estimate.observe(claim.used, claim.active_at - claim.began_at)
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
        self.passed_over: dict[str, _RefusedKind] = {}
        self.time_shares: dict[str, MeanTimeShare] = {}
        self.refused_in_time_at = -math.inf
        """When a program that could end in time was refused last."""

    def size(self, kind: str) -> ProgramSize | None:
        return self.sizes.size(kind) or self._of_all.size(kind)

    def learn(self, claim: _Claim) -> None:
        self.sizes.learn(claim)
        self._of_all.learn(claim)
        share = self.time_shares.pop(claim.kind, None) or MeanTimeShare()
        share.observe(claim.active_at - claim.began_at, claim.given)
        self.time_shares[claim.kind] = share
        if len(self.time_shares) > MAX_KINDS_PER_TENANT:
            del self.time_shares[next(iter(self.time_shares))]

    def add(self, claim: _Claim) -> None:
        self.held[claim.kind, claim.used] += 1

    def remove(self, claim: _Claim) -> None:
        key = (claim.kind, claim.used)
        self.held[key] -= 1
        if self.held[key] <= 0:
            del self.held[key]

    def claims(self) -> list[Claims]:
        """Return what the programs claim whose size is known."""
        found = []
        for (kind, used), count in self.held.items():
            size = self.size(kind)
            claims = claims_of(size, used, count) if size is not None else None
            if claims is not None:
                found.append(claims)
        return found

    def claims_of_refused_kinds(self, kind: str, now: float) -> list[Claims]:
        """Return a place for one program of each kind that is next before ``kind``.

        Kinds whose programs did not come back are forgotten.
        """
        self.passed_over = {
            name: item for name, item in self.passed_over.items() if item.until >= now
        }
        own = self.passed_over.get(kind)
        before = min(now - KIND_PRIORITY_SECONDS, own.since if own is not None else now)
        found = []
        for other, item in self.passed_over.items():
            size = self.size(other)
            claims = claims_of(size, 0, 1) if size is not None else None
            if item.since < before and claims is not None:
                found.append(claims)
        return found

    def cached_refusal(self, kind: str, now: float) -> Admission | None:
        """Return the last refusal of a kind while it holds, with the time that is left.

        The kind's place is kept until the program that is refused by it has come back.
        """
        item = self.passed_over.get(kind)
        passed = now - item.decided_at if item is not None else REFUSAL_CACHE_SECONDS
        if item is None or passed >= min(REFUSAL_CACHE_SECONDS, item.decided.retry_after):
            return None
        left = item.decided.retry_after - passed
        item.until = now + left + RETRY_GRACE_SECONDS
        return msgspec.structs.replace(item.decided, retry_after=left)

    def note_decision(self, kind: str, now: float, decided: Admission) -> None:
        known = self.passed_over.pop(kind, None)
        if decided.is_let_in:
            return
        self.passed_over[kind] = _RefusedKind(
            since=known.since if known is not None else now,
            decided_at=now,
            decided=decided,
            until=now + decided.retry_after + RETRY_GRACE_SECONDS,
        )


def _decide_in_time(
    book: _TenantClaims, kind: str, supply: Supply, size: ProgramSize, now: float
) -> Admission:
    recent = book.cached_refusal(kind, now)
    if recent is not None:
        return recent
    claims = [*book.claims(), *book.claims_of_refused_kinds(kind, now)]
    decided = decide(supply, claims, size)
    book.note_decision(kind, now, decided)
    return decided


def _decide_late(
    book: _TenantClaims, asking: CandidateProgram, supply: Supply, size: ProgramSize, now: float
) -> Admission:
    """Decide on a program that cannot end in time; it takes no turn of one that can."""
    decided = decide(supply, [*book.claims(), *book.claims_of_refused_kinds("", now)], size)
    yields = now - book.refused_in_time_at < LATE_YIELD_SECONDS
    if decided.is_let_in and not yields:
        return decided
    retry_after = max(MIN_LATE_RETRY_SECONDS, decided.retry_after)
    return msgspec.structs.replace(
        decided, is_let_in=False, retry_after=retry_after, cannot_end_in_time=True
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
        book = self._tenants.get(tenant)
        return book.size(kind) if book is not None else self._shared_sizes.size(kind)

    def decide(self, asking: CandidateProgram, supply: Supply, now: float) -> Admission | None:
        """Decide whether a program may begin; None while the size of its kind is not known."""
        self.sweep(now)
        size = self.size_of(asking.tenant, asking.kind)
        if size is None:
            return None
        book = self._tenant_claims(asking.tenant)
        if self._is_late(asking):
            return _decide_late(book, asking, supply, size, now)
        decided = _decide_in_time(book, asking.kind, supply, size, now)
        if not decided.is_let_in:
            book.refused_in_time_at = now
            self._note_time_limit(asking)
        return decided

    def _is_late(self, asking: CandidateProgram) -> bool:
        """Return whether a program that was refused before has lost too much time since."""
        given = self._time_limits.get(asking.name)
        share = self._tenants[asking.tenant].time_shares.get(asking.kind)
        if given is None or share is None or asking.left is None:
            return False
        return share.is_late(asking.left, given)

    def _note_time_limit(self, asking: CandidateProgram) -> None:
        """Remember how much time a refused program was given when it first asked."""
        if asking.left is None or asking.name in self._time_limits:
            return
        self._time_limits[asking.name] = asking.left
        if len(self._time_limits) > MAX_TIME_LIMITS:
            self._time_limits.popitem(last=False)

    def expect(self, asking: CandidateProgram, now: float) -> None:
        """Hold a claim for a program that may begin, until its first turn is in the log."""
        if self.knows(asking.name):
            return
        given = self._time_limits.pop(asking.name, asking.left or 0.0)
        claim = _Claim(asking.tenant, asking.kind, 0, now, now, is_under_way=True, given=given)
        self._put(asking.name, claim)

    def drop(self, name: str) -> None:
        """Give the claim of a program back whose first turn is not in the log after all."""
        claim = self._claims.get(name) or self._idle_with_open_turn.get(name)
        if claim is not None and not claim.used:
            self._take_out(name)

    def follow(self, name: str, account: Program, *, is_complete: bool) -> None:
        """Take over what the account of a program says; only a tenant's with a limit counts.

        Args:
            name: The program's.
            account: Its account.
            is_complete: All programs with claims are in the book, so that one that is not has
                given its claim back before.
        """
        if not account.requests:
            return
        known = self._take_out(name)
        goes_on = known is None or account.requests > known.used
        is_back = known is None and is_complete and account.requests > 1
        claim = _Claim(
            account.tenant,
            account.kind,
            account.requests,
            account.began_at,
            account.active_at,
            is_under_way=bool(account.reserved),
            is_cut_short=known is not None and known.is_cut_short and not goes_on,
            is_learned=is_back or (known is not None and known.is_learned),
            given=known.given if known is not None else 0.0,
        )
        self._put(name, claim)

    def note_refused(self, name: str) -> None:
        """Note that a request of a program was refused."""
        claim = self._claims.get(name) or self._idle_with_open_turn.get(name)
        if claim is not None:
            claim.is_cut_short = True

    def note_stopped(self, name: str) -> None:
        """Give the claim of a program back that its budget stopped.

        It looped, most likely, so its size says nothing of its kind.
        """
        self._take_out(name)

    def sweep(self, now: float) -> None:
        """Take the claims back of programs that have rested, and learn from them."""
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_SECONDS
        for name, claim in list(islice(self._claims.items(), MAX_SWEPT_PER_TICK)):
            if claim.active_at + MIN_IDLE_SECONDS > now:
                break
            if claim.active_at + self._rest_of(claim) > now:
                continue
            if claim.is_under_way:
                self._idle_with_open_turn[name] = self._claims.pop(name)
            else:
                self._end(name)
        while self._idle_with_open_turn:
            name, claim = next(iter(self._idle_with_open_turn.items()))
            if claim.active_at + MAX_TURN_SECONDS > now:
                break
            self._end(name)

    def _rest_of(self, claim: _Claim) -> float:
        """Return for how many seconds a program rests before it counts as ended."""
        size = self.size_of(claim.tenant, claim.kind)
        if size is None or claim.is_under_way:
            return MAX_IDLE_SECONDS
        rest = IDLE_REQUEST_INTERVALS / size.rate
        return min(MAX_IDLE_SECONDS, max(MIN_IDLE_SECONDS, rest))

    def _end(self, name: str) -> None:
        claim = self._take_out(name)
        if claim is not None and claim.used and not claim.is_cut_short and not claim.is_learned:
            self._tenants[claim.tenant].learn(claim)

    def knows(self, name: str) -> bool:
        """Return whether a program holds a claim."""
        return name in self._claims or name in self._idle_with_open_turn

    def _put(self, name: str, claim: _Claim) -> None:
        self._tenant_claims(claim.tenant).add(claim)
        self._claims[name] = claim
        if len(self) > MAX_CLAIMS:
            self._take_out(next(iter(self._idle_with_open_turn or self._claims)))

    def _tenant_claims(self, tenant: str) -> _TenantClaims:
        """Return the book of a tenant, which was seen now."""
        book = self._tenants.pop(tenant, None) or _TenantClaims(self._shared_sizes)
        self._tenants[tenant] = book
        if len(self._tenants) > MAX_TENANTS:
            self._forget_tenant()
        return book

    def _take_out(self, name: str) -> _Claim | None:
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
