"""Four ways of letting programs in at a tenant's limit, on the same arrivals.

``python -m benchmarks.program_admission`` plays programs of a tenant whose limit is 1.6 times its
usual demand and that asks for 4.8 times the usual, against the ledger's state and the leader's
gate. It prints for each way (three seeds together): programs that began, that ended, and those of
them that were long; the share that ended; programs refused after they had begun; and which share
of the limit was used, in all and by programs that ended. Then the time of a decision at 100 and
1,000 claims, and what is kept and sent.

- ``first come``: each request takes a token from the bucket.
- ``kept share``: new programs leave a quarter of the bucket to those that have begun.
- ``in full``: a program is let in if the bucket holds all claims and its own.
- ``by time``: if the limit carries them at each moment (``scheduling.program_admission``).
"""

from __future__ import annotations

import heapq
import itertools
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from unittest.mock import patch

import msgspec
import ormsgpack

from yokeline.forwarding.tenant_limits import MAX_WAIT_SECONDS, MAX_WAITS, LimitTolerance
from yokeline.forwarding.tenants import Tenant
from yokeline.ledger import claims, quotas
from yokeline.ledger.admission_controller import AdmissionController
from yokeline.ledger.operations import (
    Draw,
    Operation,
    OperationResult,
    QuotaSpent,
    RateLimit,
    Reserve,
    Settle,
)
from yokeline.ledger.state import LedgerCommand, LedgerState, Program
from yokeline.scheduling.program_admission import Admission, BucketState, Claims, decide
from yokeline.scheduling.program_sizes import ProgramSize
from yokeline.scheduling.retry_delays import retry_delay_after_limit

TERM = 1
ADMISSION_FIELDS = ("tenant", "kind", "requests", "began_at", "active_at")
"""Of a program's account, what only admission reads."""
MEASURED_CLAIMS = 10_000
TOLERANCE = LimitTolerance(window=5.0, overage=0.1, slack=20.0)
TRIES = 3
"""Of a turn; a call has one, and the first turn of a program two."""
FIRST_TRIES = 2


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Programs that are alike.

    Attributes:
        requests: Mean number, turns and calls by turns; sizes are spread evenly from half to
            one and a half of it.
        step_seconds: From one request to the next.
        fan_out: Lines of requests that run side by side after the first request.
        loop_share: Share of programs that ask for ten times as much.
    """

    name: str
    weight: float
    requests: int
    step_seconds: float
    fan_out: int = 1
    loop_share: float = 0.0


KINDS = (
    Kind(name="short", weight=0.7, requests=4, step_seconds=0.4),
    Kind(name="long", weight=0.3, requests=18, step_seconds=0.4, fan_out=2),
)


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What one tenant asks for: ``usual`` requests a second, and ``hot`` times that in a span."""

    tenant: str = "hot"
    usual: float = 80.0
    headroom: float = 1.6
    hot: float = 4.8
    hot_from: float = 20.0
    hot_until: float = 50.0
    ends: float = 60.0
    lowered_at: float = float("inf")
    lowered_to: float = 0.5
    kinds: tuple[Kind, ...] = KINDS
    seed: int = 1

    def limit(self, now: float) -> RateLimit:
        """Return the tenant's limit at a time."""
        is_lowered = now >= self.lowered_at
        rate = self.usual * self.headroom * (self.lowered_to if is_lowered else 1.0)
        depth = TOLERANCE.bucket_size(Tenant(name=self.tenant, rate=rate, burst=rate))
        return RateLimit(self.tenant, rate, depth, 2 if is_lowered else 1)


class Outcome(msgspec.Struct, kw_only=True):
    """What became of the programs that came in the hot span, by program."""

    offered: set[str] = msgspec.field(default_factory=set)
    began: set[str] = msgspec.field(default_factory=set)
    ended: set[str] = msgspec.field(default_factory=set)
    lost: set[str] = msgspec.field(default_factory=set)
    kinds: dict[str, str] = msgspec.field(default_factory=dict)
    loops: set[str] = msgspec.field(default_factory=set)
    granted: list[float] = msgspec.field(default_factory=list)
    useful: int = 0
    told: list[float] = msgspec.field(default_factory=list)
    limit_used: float = 0.0

    @property
    def ended_share(self) -> float:
        """Of programs that began, those that ended."""
        return len(self.ended) / max(1, len(self.began))

    def ended_of(self, kind: str) -> int:
        """Return how many programs of a kind ended."""
        return sum(self.kinds[name] == kind for name in self.ended)


class _Program:
    """One program on its way."""

    def __init__(self, name: str, kind: Kind, requests: int, *, is_hot: bool) -> None:
        self.name = name
        self.kind = kind
        self.left = requests
        self.sent = 0
        self.under_way = 0
        self.is_hot = is_hot
        self.is_over = False


class Ledger:
    """The ledger's state, its leader's gate and the time; nothing takes any between them."""

    def __init__(self, *, has_gate: bool) -> None:
        """Begin empty."""
        self.now = 0.0
        self._state = LedgerState()
        self._gate = AdmissionController()
        self._has_gate = has_gate
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._queue, (when, next(self._order), action))

    def run(self) -> None:
        """Do all that is to be done."""
        while self._queue:
            self.now, _, action = heapq.heappop(self._queue)
            self._gate.tick(self._state, self.now)
            action()

    def ask(self, operation: Reserve | Draw) -> QuotaSpent | None:
        """Return the refusal of a request; None if it is let in."""
        if self._has_gate:
            spent, _lines = self._gate.refusal(operation, self._state, TERM, self.now)
        else:
            spent = self._state.known_refusal(operation, self.now)
        if spent is not None:
            return spent
        result = self.apply(operation)
        return result if isinstance(result, QuotaSpent) else None

    def apply(self, operation: Operation) -> OperationResult:
        """Commit an operation."""
        command = LedgerCommand(time=self.now, operations=(operation,), passed=self.now)
        (result,) = self._state.transition_apply(command)
        self._gate.note_result(operation, result, self._state, TERM)
        return result


class Replay:
    """Plays a load against a ledger."""

    def __init__(self, load: Load, ledger: Ledger) -> None:
        """Draw the arrivals; they depend on the load alone."""
        self._load = load
        self._ledger = ledger
        self._outcome = Outcome()
        self._counts: Counter[str] = Counter()
        self._names = itertools.count()
        for at, program in self._arrivals():
            ledger.at(at, lambda program=program: self._send(program, 1, 0))

    def outcome(self) -> Outcome:
        """Return what became of the programs, once the ledger has run."""
        limit = self._load.limit(0.0)
        span = self._load.hot_until - self._load.hot_from
        used = sum(self._load.hot_from <= at < self._load.hot_until for at in self._outcome.granted)
        self._outcome.limit_used = used / (limit.rate * span)
        return self._outcome

    def _arrivals(self) -> Iterable[tuple[float, _Program]]:
        source = random.Random(self._load.seed)
        usual_requests = sum(
            kind.weight * kind.requests * (1 + 9 * kind.loop_share) for kind in self._load.kinds
        )
        at = 0.0
        for number in itertools.count():
            is_hot = self._load.hot_from <= at < self._load.hot_until
            rate = self._load.usual * (self._load.hot if is_hot else 1.0)
            at += source.expovariate(rate / usual_requests)
            if at >= self._load.ends:
                return
            kind = source.choices(self._load.kinds, [kind.weight for kind in self._load.kinds])[0]
            size = source.randint(max(1, kind.requests // 2), kind.requests + kind.requests // 2)
            loops = source.random() < kind.loop_share
            name = f"{self._load.tenant}{number}"
            in_span = self._load.hot_from <= at < self._load.hot_until
            self._outcome.kinds[name] = kind.name
            if loops:
                self._outcome.loops.add(name)
            yield at, _Program(name, kind, size * (10 if loops else 1), is_hot=in_span)

    def _send(self, program: _Program, tries: int, waits: int) -> None:
        """Send the next request of a program, or try it once more."""
        if program.is_over:
            return
        limit = self._load.limit(self._ledger.now)
        is_turn = program.sent % 2 == 0 or not program.sent
        name = f"{program.name}/{program.sent}/{next(self._names)}"
        operation: Reserve | Draw = (
            Reserve(
                request_id=name,
                program=program.name,
                budget=10**6,
                tokens=1,
                limit=limit,
                kind=program.kind.name,
            )
            if is_turn
            else Draw(request_id=name, limit=limit, program=program.name)
        )
        if program.is_hot:
            self._outcome.offered.add(program.name)
        spent = self._ledger.ask(operation)
        if spent is None:
            self._go_on(program, name if is_turn else "")
        else:
            self._refused(program, spent, tries, waits, name)

    def _go_on(self, program: _Program, turn: str) -> None:
        self._outcome.granted.append(self._ledger.now)
        self._counts[program.name] += 1
        if program.is_hot:
            self._outcome.began.add(program.name)
        program.sent += 1
        program.left -= 1
        program.under_way += 1
        self._ledger.at(
            self._ledger.now + program.kind.step_seconds, lambda: self._served(program, turn)
        )

    def _served(self, program: _Program, turn: str) -> None:
        program.under_way -= 1
        if turn:
            self._ledger.apply(Settle(request_id=turn, program=program.name))
        lines = program.kind.fan_out if program.sent == 1 else 1
        for _ in range(min(lines, program.left - program.under_way)):
            self._send(program, 1, 0)
        if program.left <= 0 and not program.under_way and not program.is_over:
            self._end(program)

    def _end(self, program: _Program) -> None:
        program.is_over = True
        if not program.is_hot or program.name in self._outcome.loops:
            return
        self._outcome.ended.add(program.name)
        self._outcome.useful += self._counts[program.name]

    def _refused(
        self, program: _Program, spent: QuotaSpent, tries: int, waits: int, name: str
    ) -> None:
        """Wait at the node as its limits say, or come back as a caller does."""
        may_wait = spent.is_empty and waits < MAX_WAITS
        if may_wait and spent.retry_after <= MAX_WAIT_SECONDS:
            self._ledger.at(
                self._ledger.now + spent.retry_after, lambda: self._send(program, tries, waits + 1)
            )
            return
        is_call = program.sent % 2 == 1
        most = FIRST_TRIES if not program.sent else 1 if is_call else TRIES
        if tries < most:
            wait = retry_delay_after_limit(name, spent.retry_after)
            self._outcome.told.append(wait)
            self._ledger.at(self._ledger.now + wait, lambda: self._send(program, tries + 1, 0))
            return
        if program.is_hot and program.sent and not program.is_over:
            self._outcome.lost.add(program.name)
        program.is_over = True


def decide_in_full(supply: BucketState, held: Iterable[Claims], size: ProgramSize) -> Admission:
    """Let a program in if the bucket holds all claims and its own."""
    listed = list(held)
    claimed = sum(item.count * item.requests for item in listed)
    missing = claimed + size.requests - supply.level
    is_let_in = missing <= 0 or not listed
    return Admission(
        is_admitted=is_let_in,
        retry_after=0.0 if is_let_in else missing / supply.rate,
        programs=len(listed),
        claimed=claimed,
        margin=0.0,
    )


def play(way: str, load: Load) -> Outcome:
    """Play a load with one of the ways."""
    with ExitStack() as stack:
        if way == "first come":
            stack.enter_context(patch.object(quotas, "RESERVED_SHARE", 0.0))
        if way == "in full":
            stack.enter_context(patch.object(claims, "decide", decide_in_full))
        ledger = Ledger(has_gate=way in ("in full", "by time"))
        replay = Replay(load, ledger)
        ledger.run()
        return replay.outcome()


SEEDS = (1, 2, 3)
WAYS = ("first come", "kept share", "in full", "by time")


def measure_decision(count: int) -> None:
    """Print the time of a decision that refuses, with claims that all differ."""
    source = random.Random(1)
    held = [
        Claims(
            count=1,
            requests=source.uniform(1, 20),
            seconds=source.uniform(0.1, 4.0),
            deviation=3.0,
        )
        for _ in range(count)
    ]
    supply = BucketState(level=10.0, rate=count * 4.0)
    size = ProgramSize(requests=11.0, deviation=3.0, seconds=2.2)
    repetitions = 100
    began = time.process_time()
    for _ in range(repetitions):
        decide(supply, held, size)
    seconds = (time.process_time() - began) / repetitions
    is_let_in = decide(supply, held, size).is_admitted
    print(f"{count:5} unequal claims: {1e6 * seconds:6.0f} us a decision (let in: {is_let_in})")


def measure_state() -> None:
    """Print what admission adds to a program's account and to messages, and what a claim takes."""
    limit = Load().limit(0.0)
    name = "4:hule:d008cfdcc93c99"
    account = Program(
        tenant="hule", kind="r-bmkx269", requests=11, began_at=1234.5678, active_at=1236.789
    )
    fields = {item: getattr(account, item) for item in ADMISSION_FIELDS}
    turn = Reserve(request_id="r", program=name, limit=limit, kind="r-bmkx269")
    call = Draw(request_id="r", limit=limit, program=name)
    print(
        f"{len(ormsgpack.packb(fields)) - 1} B a program's account, "
        f"{len(ormsgpack.packb({'kind': turn.kind})) - 1} B a reservation, "
        f"{len(ormsgpack.packb({'program': call.program})) - 1} B a draw"
    )
    tracemalloc.start()
    book = claims.ClaimTracker()
    for number in range(MEASURED_CLAIMS):
        book.update(f"4:hule:{number}", account, is_complete=False)
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"{size / MEASURED_CLAIMS:.0f} B of memory a claim at the leader")


def print_ways(label: str, load: Load) -> None:
    """Print a row for each way, summed over the seeds."""
    print(f"{label}: began  ended   long  share  refused after  limit used  by ended")
    for way in WAYS:
        outcomes = [play(way, msgspec.structs.replace(load, seed=seed)) for seed in SEEDS]
        given = load.limit(0.0).rate * (load.hot_until - load.hot_from) * len(SEEDS)
        began = sum(len(outcome.began) for outcome in outcomes)
        ended = sum(len(outcome.ended) for outcome in outcomes)
        long = sum(outcome.ended_of("long") for outcome in outcomes)
        lost = sum(len(outcome.lost) for outcome in outcomes)
        used = sum(outcome.limit_used for outcome in outcomes) / len(SEEDS)
        useful = sum(outcome.useful for outcome in outcomes) / given
        print(
            f"  {way:11} {began:6} {ended:6} {long:6} {ended / began:6.2f} {lost:14} {used:11.2f} "
            f"{useful:9.2f}"
        )


def main() -> None:
    """Print the tables and the costs."""
    short, long = KINDS
    print_ways("hot tenant", Load())
    print_ways("limit halved in the midst", Load(lowered_at=35.0))
    looping = msgspec.structs.replace(long, loop_share=0.02)
    print_ways("with loops", Load(kinds=(short, looping)))
    fan_out = msgspec.structs.replace(long, requests=24, fan_out=5)
    print_ways("with fan-outs of five", Load(kinds=(short, fan_out)))
    for count in (100, 1000):
        measure_decision(count)
    measure_state()


if __name__ == "__main__":
    main()
