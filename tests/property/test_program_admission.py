"""Admission of a tenant's programs while leaders of the ledger change, pause and restart.

Guards against five failures: a window exceeds the limit; a logged operation is refused as a new
program; claims are not returned; a kind of program is starved; a replica of the earlier release
computes other results.
"""

from __future__ import annotations

import itertools
import random
import unittest
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from yokeline.consensus.types import RaftRole
from yokeline.effects import Address, Effect, SendPeer
from yokeline.identifiers import ReplicaId
from yokeline.ledger.admission_controller import CAUSE_CLAIMS, AdmissionController
from yokeline.ledger.claims import MAX_TURN_SECONDS, ClaimTracker
from yokeline.ledger.messages import LedgerReply, LedgerRequest
from yokeline.ledger.operations import (
    Draw,
    Drawn,
    Granted,
    Operation,
    OperationResult,
    QuotaSpent,
    RateLimit,
    Reserve,
    Settle,
)
from yokeline.ledger.quotas import TenantQuotas
from yokeline.ledger.request_batches import RequestBatches
from yokeline.ledger.state import LedgerCommand, LedgerState, Program
from yokeline.scheduling.program_admission import Admission

LIMIT = RateLimit("hule", rate=20.0, burst=30.0, version=1)
WINDOW = 5.0
SECONDS = 40.0
STEP_SECONDS = 0.05
RESEND_SECONDS = 0.3
SIZES = {"small": 3, "large": 24}
SMALL_CALLERS = 14
LARGE_CALLERS = 2
STARVATION_SECONDS = 20.0
"""A waiting kind is preferred after 2 s. Claims are returned 2 s after a program's end, or 10 s
after it hangs. Callers retry up to 4 s later and a pause takes 2 s. A new leader does not know
which kinds of programs have been refused."""
LEADER_CHANGE_PROBABILITIES = (0.0, 0.002, 0.01)
"""Probability of a leader change per step; each simulation draws one."""
ROUNDING = 1e-6
TRANSITION_DRAW = TenantQuotas.transition_draw
_CLIENT = Address("10.0.9.1", 1)


class _Group:
    def __init__(self, term: int) -> None:
        self.term = term
        self.role = RaftRole.LEADER


class _Replica:
    """A replica with its applied state; the simulation commits or loses its proposals."""

    def __init__(self, term: int, log: list[LedgerCommand], applied: int) -> None:
        self.group = _Group(term)
        self.leads = True
        self.pending: dict[int, Callable[[tuple[OperationResult, ...] | None], list[Effect]]] = {}
        self._log = log
        self._state = LedgerState()
        self.applied = 0
        self.apply(applied)

    def state(self) -> LedgerState:
        return self._state

    def leader_hint(self) -> None:
        return None

    def copies_to(self, now: float) -> tuple[()]:
        return ()

    def propose(
        self,
        operations: tuple[Operation, ...],
        ready: Callable[[tuple[OperationResult, ...] | None], list[Effect]],
        now: float,
        wall: float,
        copied: object,
        passed: float,
    ) -> list[Effect]:
        self.pending[len(self._log)] = ready
        self._log.append(LedgerCommand(time=wall, operations=operations, passed=passed))
        return []

    def apply(self, upto: int) -> list[Effect]:
        effects: list[Effect] = []
        while self.applied < upto:
            results = self._state.transition_apply(self._log[self.applied])
            ready = self.pending.pop(self.applied, None)
            self.applied += 1
            effects.extend(ready(results) if ready is not None else [])
        return effects


class _Caller:
    """Runs programs one after the other and abandons some of them."""

    def __init__(self, name: str, kind: str, source: random.Random) -> None:
        self.name = name
        self.kind = kind
        self.source = source
        self.programs = 0
        self.tries = 0
        self.due = source.uniform(0.0, 2.0)
        self.outstanding: Reserve | Draw | None = None
        self.sent_at = 0.0
        self.is_over = False
        self.start_program()

    def start_program(self) -> None:
        self.programs += 1
        self.program = f"{self.name}.{self.programs}"
        self.sent = 0
        usual = SIZES[self.kind]
        self.size = self.source.randint(max(1, usual // 2), usual + usual // 2)
        if self.source.random() < 0.05:
            self.size *= 10  # it loops, and is abandoned
        self.abandoned_at = self.source.randint(1, 60)

    def next_operation(self) -> Reserve | Draw:
        self.tries += 1
        request = f"{self.program}/{self.sent}/{self.tries}"
        if self.sent % 2:
            return Draw(request_id=request, limit=LIMIT, program=self.program)
        return Reserve(
            request_id=request,
            program=self.program,
            budget=10**9,
            tokens=1,
            limit=LIMIT,
            kind=self.kind,
        )

    def handle_result(self, result: OperationResult, now: float) -> Settle | None:
        """Process a result; return the settlement to send, if any."""
        outstanding, self.outstanding = self.outstanding, None
        if isinstance(result, QuotaSpent):
            self.due = now + max(STEP_SECONDS, result.retry_after)
            return None
        assert isinstance(result, Granted | Drawn)
        self.sent += 1
        self.due = now + 0.1
        is_abandoned = self.sent == self.abandoned_at
        if is_abandoned or self.sent >= self.size:
            self.start_program()
        if is_abandoned or not isinstance(outstanding, Reserve):
            return None
        return Settle(request_id=outstanding.request_id, program=outstanding.program, tokens=1)


class _Simulation:
    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        self.leader_change_probability = self.source.choice(LEADER_CHANGE_PROBABILITIES)
        self.now = 0.0
        self.log: list[LedgerCommand] = []
        self.proposed_at: list[float] = []
        self.callers = [
            _Caller(f"{kind}{number}", kind, self.source)
            for kind, count in (("small", SMALL_CALLERS), ("large", LARGE_CALLERS))
            for number in range(count)
        ]
        self.clock_offset = 0.0
        self.last_request_number = 0
        self.pending_requests: dict[int, _Caller] = {}
        self.started_programs: dict[str, int] = dict.fromkeys(SIZES, 0)
        self.waiting_since: dict[str, float] = {}
        """For each kind with a waiting program: the time since which none was admitted."""
        self.longest_wait = 0.0
        self.wrongly_refused: list[str] = []
        self.elect(1, 0)

    def elect(self, term: int, applied: int) -> None:
        self.replica = _Replica(term, self.log, applied)
        self.clock_offset = self.source.uniform(0.0, 1e6)
        batches: Any = RequestBatches(
            self.replica,  # type: ignore[arg-type]
            lambda: 1e9 + self.now,
            self.local_time(),
        )
        self.batches: RequestBatches = batches

    def local_time(self) -> float:
        return self.now + self.clock_offset

    def run(self) -> None:
        while self.now < SECONDS:
            self.step()

    def step(self) -> None:
        is_pause = self.source.random() < 0.005
        self.now += 2.0 if is_pause else self.source.uniform(0.2, 1.0) * STEP_SECONDS
        if self.source.random() < self.leader_change_probability:
            self.change_leader()
        self.commit()
        for caller in self.callers:
            self.step_caller(caller)
        self.handle_effects(self.batches.tick(self.local_time()))
        self.note_proposals()

    def change_leader(self) -> None:
        """Lose some uncommitted proposals; the next leader may have just started."""
        first_open = min(self.replica.pending, default=len(self.log))
        kept = self.source.randint(first_open, len(self.log))
        del self.log[kept:]
        del self.proposed_at[kept:]
        is_restart = self.source.random() < 0.3
        applied = 0 if is_restart else self.source.randint(max(0, kept - 5), kept)
        self.elect(self.replica.group.term + 1, applied)
        for kind in list(self.waiting_since):
            self.waiting_since[kind] = self.now
        for caller in self.callers:
            caller.sent_at = -RESEND_SECONDS  # nodes query a new leader immediately

    def commit(self) -> None:
        upto = self.source.randint(self.replica.applied, len(self.log))
        if self.replica.pending or self.source.random() < 0.5:
            self.handle_effects(self.replica.apply(upto))

    def step_caller(self, caller: _Caller) -> None:
        if caller.outstanding is None and self.now >= caller.due:
            caller.outstanding = caller.next_operation()
            if not caller.sent:
                self.waiting_since.setdefault(caller.kind, self.now)
            self.send_request(caller)
        elif caller.outstanding is not None and self.now >= caller.sent_at + RESEND_SECONDS:
            self.send_request(caller)

    def send_request(self, caller: _Caller) -> None:
        assert caller.outstanding is not None
        caller.sent_at = self.now
        self.last_request_number += 1
        self.pending_requests[self.last_request_number] = caller
        self.submit(self.last_request_number, caller.outstanding)

    def submit(self, number: int, operation: Operation) -> None:
        request = LedgerRequest(number=number, asker=_CLIENT, operations=(operation,))
        refused = self.batches.admission.refused[CAUSE_CLAIMS]
        effects = self.batches.take(ReplicaId("edge~1"), request, self.local_time())
        if self.batches.admission.refused[CAUSE_CLAIMS] > refused and self.is_granted_by_log(
            operation
        ):
            self.wrongly_refused.append(operation.request_id)
        self.note_proposals()
        self.handle_effects(effects)

    def note_proposals(self) -> None:
        while len(self.proposed_at) < len(self.log):
            self.proposed_at.append(self.now)

    def handle_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, SendPeer) and isinstance(effect.message, LedgerReply):
                self.deliver_reply(effect.message)

    def deliver_reply(self, reply: LedgerReply) -> None:
        caller = self.pending_requests.pop(reply.number, None)
        if caller is None or caller.outstanding is None or not reply.results:
            return
        if self.source.random() < 0.02:
            return  # the reply is lost
        result = reply.results[0]
        if caller.sent == 0 and isinstance(result, Granted):
            self.started_programs[caller.kind] += 1
            self.record_wait(caller.kind)
        settle = caller.handle_result(result, self.now)
        if settle is not None:
            self.submit(0, settle)

    def is_granted_by_log(self, operation: Operation) -> bool:
        """Return whether the log grants an operation once it is applied."""
        state = LedgerState()
        for command in self.log:
            results = state.transition_apply(command)
            if operation in command.operations:
                return isinstance(results[command.operations.index(operation)], Granted)
        return False

    # ------------------------------------------------------------ invariants

    def largest_excess(self) -> float:
        """Return the largest excess of a window over what the limit allows."""
        state = LedgerState()
        times: list[float] = []
        for command, at in zip(self.log, self.proposed_at, strict=True):
            results = state.transition_apply(command)
            times.extend([at] * sum(isinstance(item, Granted | Drawn) for item in results))
        largest = -float("inf")
        end = 0
        for begin, first in enumerate(times):
            while end < len(times) and times[end] <= first + WINDOW:
                end += 1
            largest = max(largest, end - begin - (LIMIT.rate * WINDOW + LIMIT.burst))
        return largest

    def record_wait(self, kind: str) -> None:
        """Record how long a program of a kind waited without one being admitted."""
        since = self.waiting_since.pop(kind, self.now)
        self.longest_wait = max(self.longest_wait, self.now - since)

    def claims_after_idle(self) -> int:
        """Return the claims that remain after a period without requests."""
        self.commit_all()
        self.now += MAX_TURN_SECONDS + 1.0
        self.batches.tick(self.local_time())
        return self.batches.admission.claims

    def commit_all(self) -> None:
        for _ in range(100):
            self.replica.apply(len(self.log))
            self.batches.tick(self.local_time())

    def differs_from_earlier_build(self) -> bool:
        """Return whether a replica without the new fields returns other results."""
        ours, theirs = LedgerState(), LedgerState()
        for command in self.log:
            results = ours.transition_apply(command)
            if theirs.transition_apply(command) != results:
                return True
            for name in {operation.program for operation in command.operations}:
                if name in theirs.programs:
                    theirs.programs[name] = _without_new_fields(theirs.programs[name])
        return False


def _without_new_fields(program: Program) -> Program:
    return Program(
        spent=program.spent,
        reserved=program.reserved,
        settled=program.settled,
        contexts=program.contexts,
        retention=program.retention,
        expires=program.expires,
    )


def violations(seed: int) -> list[str]:
    """Run a simulation; return the violated invariants."""
    simulation = _Simulation(seed)
    simulation.run()
    found = []
    if simulation.largest_excess() > ROUNDING:
        found.append("bound")
    if simulation.wrongly_refused:
        found.append("repetition refused")
    for kind in SIZES:
        simulation.record_wait(kind)
    if simulation.longest_wait > STARVATION_SECONDS:
        found.append("starved")
    if simulation.claims_after_idle():
        found.append("claims held")
    if simulation.differs_from_earlier_build():
        found.append("builds differ")
    return found


class Worlds(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(st.integers(0, 2**32))
    def test_what_must_hold_does(self, seed: int) -> None:
        self.assertEqual(violations(seed), [])

    def test_programs_are_refused_by_claims_in_them(self) -> None:
        simulation = _Simulation(1)
        simulation.run()
        self.assertGreater(simulation.batches.admission.refused[CAUSE_CLAIMS], 0)
        self.assertGreater(simulation.started_programs["small"], 30)
        self.assertGreater(simulation.started_programs["large"], 3)


class PlantedFaults(unittest.TestCase):
    """The invariants detect deliberately introduced faults."""

    def caught(self, expected: str) -> bool:
        return any(expected in violations(seed) for seed in range(10))

    def test_a_bucket_that_new_programs_do_not_draw_from(self) -> None:
        def drawn(
            quotas: TenantQuotas, limit: RateLimit, *, is_new: bool, original: Any = TRANSITION_DRAW
        ) -> QuotaSpent | None:
            return None if is_new else original(quotas, limit, is_new=is_new)

        with patch.object(TenantQuotas, "transition_draw", drawn):
            self.assertTrue(self.caught("bound"))

    def test_a_kind_that_is_never_let_in(self) -> None:
        def decided(
            book: ClaimTracker,
            tenant: str,
            kind: str,
            *others: Any,
            original: Any = ClaimTracker.decide,
        ) -> Admission | None:
            found: Admission | None = original(book, tenant, kind, *others)
            if found is None or kind == "small":
                return found
            return msgspec.structs.replace(found, is_admitted=False, retry_after=1.0)

        with patch.object(ClaimTracker, "decide", decided):
            self.assertTrue(self.caught("starved"))

    def test_claims_that_are_never_given_back(self) -> None:
        with patch.object(ClaimTracker, "sweep", lambda book, now: None):
            self.assertTrue(self.caught("claims held"))

    def test_a_leader_that_takes_what_is_on_its_way_for_new(self) -> None:
        calls = itertools.count()

        def refused_blindly(
            gate: AdmissionController, operation: Operation, *others: object
        ) -> tuple[QuotaSpent | None, list[object]]:
            if not isinstance(operation, Reserve) or next(calls) % 3:
                return None, []
            gate.refused[CAUSE_CLAIMS] += 1
            return QuotaSpent(retry_after=0.1, is_empty=False), []

        with patch.object(AdmissionController, "refusal", refused_blindly):
            self.assertTrue(self.caught("repetition refused"))

    def test_a_result_that_depends_on_what_the_earlier_build_does_not_know(self) -> None:
        begun = property(lambda program: program.requests > 0)
        with patch.object(Program, "has_begun", begun):
            self.assertTrue(self.caught("builds differ"))


if __name__ == "__main__":
    unittest.main()
