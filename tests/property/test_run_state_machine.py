"""Applies random valid and invalid commands to the replicated state machine of runs."""

from __future__ import annotations

import copy
import random
import unittest

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.identifiers import ReplicaId, RunId, child_run_id, root_run_id
from yokeline.runs import budget, rules
from yokeline.runs.model import (
    AddTurn,
    Budget,
    CallFinished,
    CallKind,
    CallRecord,
    CallStarted,
    CallStatus,
    CancelRun,
    ChatMessage,
    Command,
    CreateRun,
    FinishRun,
    ForgetRuns,
    RefuseRun,
    Reservation,
    Role,
    Run,
    RunSpec,
    RunStatus,
    ToolRequest,
    Usage,
)
from yokeline.runs.state_machine import ApplyResult, RunStateMachine

ROOTS = (RunId("run-a"), RunId("run-b"))
RUNS = (*ROOTS, child_run_id(ROOTS[0], 1), child_run_id(ROOTS[0], 2), RunId("run-a.1.1"))
LEADER = ReplicaId("n~1")
ENDING_PERIOD = 8
"""Commands that end runs are generated in one of this many steps, so that runs get long."""
LIMITS = Budget(tokens=300, calls=30, tool_seconds=6.0, wall_seconds=200.0, identical_calls=3)

run_choices = st.integers(0, 11)
"""Selects an existing run, or for 10 and above any run of ``RUNS``."""
rarely = st.integers(0, 9).map(lambda number: number == 9)
errors = st.builds(
    YokelineError,
    kind=st.sampled_from([ErrorKind.BACKEND_FAILED, ErrorKind.DEADLINE_EXCEEDED]),
    message=st.just("x"),
    remedy=st.just("y"),
    execution=st.sampled_from(list(Execution)),
)
usages = st.builds(
    Usage,
    prompt_tokens=st.integers(0, 20) | st.just(-1),
    cached_tokens=st.integers(0, 10),
    completion_tokens=st.integers(0, 10),
    tool_seconds=st.floats(0, 2),
    calls=st.integers(0, 3),
)
valid_reservations = st.builds(Reservation, tokens=st.integers(0, 20), tool_seconds=st.floats(0, 1))
INVALID_RESERVATION = Reservation(tokens=-1)
requests = st.none() | st.builds(
    ToolRequest,
    identity=st.just("t"),
    name=st.sampled_from(["roster", "post"]),
    arguments=st.just("{}"),
)


def spec(tenant: str, digest: str, conversation: bool) -> RunSpec:
    return RunSpec(
        tenant=tenant,
        program="p",
        request_digest=digest,
        conversation=conversation,
        budget=LIMITS,
    )


specs = st.builds(
    spec,
    tenant=st.sampled_from(["t", "t", "t", "t", "u"]),
    digest=st.sampled_from(["d", "d", "d", "d", "e"]),
    conversation=st.booleans(),
)
run_ending = precondition(lambda commands: commands.steps % ENDING_PERIOD == 0)


class InvariantViolationError(AssertionError):
    """An invariant of the state machine does not hold."""


class Commands(RuleBasedStateMachine):
    """Applies commands to two replicas and checks the invariants after each."""

    machine_type: type[RunStateMachine] = RunStateMachine

    def __init__(self) -> None:
        super().__init__()
        self.state_machine = self.machine_type()
        self.replica = self.machine_type()
        self.wall = 0.0
        self.overrun = 0
        self.attempts: dict[tuple[RunId, int], int] = {}
        self.started = 0
        self.steps = 0

    @initialize(conversation=st.booleans())
    def create_roots(self, conversation: bool) -> None:
        for root in ROOTS:
            self.create(run=root, spec=spec("t", "d", conversation), with_parent=False)

    # -------------------------------------------------------- commands

    def apply_command(self, command: Command) -> ApplyResult:
        self.steps += 1
        before = self.state_machine.snapshot()
        result = self.state_machine.apply(command)
        self._require(self.replica.apply(command) == result, "apply is not deterministic")
        if not result.accepted:
            self._require(result.error is not None, "a rejection without a typed error")
            self._require(
                self.state_machine.snapshot() == before, "a rejected command changed state"
            )
        return result

    @staticmethod
    def _require(condition: bool, message: str) -> None:
        if not condition:
            raise InvariantViolationError(message)

    def _chosen(self, choice: int) -> RunId:
        known = sorted(self.state_machine.runs)
        if not known or choice >= 10:
            return RUNS[choice % len(RUNS)]
        return known[choice % len(known)]

    def _call(self, run_id: RunId) -> CallRecord | None:
        run = self.state_machine.runs.get(run_id)
        return rules.last_call(run) if run is not None else None

    @rule(seconds=st.floats(0, 5))
    def time_passes(self, seconds: float) -> None:
        self.wall += seconds

    @rule(run=st.sampled_from(RUNS), spec=specs, with_parent=st.booleans())
    def create(self, run: RunId, spec: RunSpec, with_parent: bool) -> None:
        parent = RunId(run.rpartition(".")[0]) if with_parent and "." in run else None
        known = copy.deepcopy(self.state_machine.runs.get(run))
        result = self.apply_command(
            CreateRun(run=run, spec=spec, input="i", wall=self.wall, parent=parent)
        )
        if known is not None and known.spec.request_digest != spec.request_digest:
            self._require(
                result.error is not None and result.error.kind is ErrorKind.IDEMPOTENCY_KEY_REUSED,
                "a reused key was accepted",
            )
        if known is not None:
            self._require(not result.created, "a known run was created again")

    @rule(
        choice=run_choices, key=st.sampled_from(["", "k1", "k2"]), text=st.sampled_from(["a", "b"])
    )
    def add_turn(self, choice: int, key: str, text: str) -> None:
        run = self._chosen(choice)
        self.apply_command(AddTurn(run=run, turn_key=key, input=text, wall=self.wall))

    @run_ending
    @rule(choice=run_choices, spec=specs, error=errors)
    def refuse(self, choice: int, spec: RunSpec, error: YokelineError) -> None:
        run = self._chosen(choice)
        started = self._call(run) is not None
        result = self.apply_command(RefuseRun(run=run, spec=spec, error=error, wall=self.wall))
        self._require(not (started and result.accepted), "a run with a call was refused")

    @rule(
        choice=run_choices,
        reserved=valid_reservations,
        repeatable=st.booleans(),
        kind=st.sampled_from([CallKind.MODEL, CallKind.TOOL, CallKind.CHILD]),
        step=st.sampled_from(["next", "next", "next", "again", "again", "skip", "old"]),
        fence=st.integers(1, 3),
        request=requests,
        different=rarely,
        invalid=rarely,
    )
    def start_call(
        self,
        choice: int,
        reserved: Reservation,
        repeatable: bool,
        kind: CallKind,
        step: str,
        fence: int,
        request: ToolRequest | None,
        different: bool,
        invalid: bool = False,
    ) -> None:
        run = self._chosen(choice)
        last = self._call(run)
        number, attempt = _call_position(last, step)
        if step == "again" and not different and last is not None:
            kind, request, repeatable = last.kind, last.tool_request, last.repeatable
        if last is not None:
            fence = max(fence, last.fence) if not different else fence
        state = self.state_machine.runs.get(run)
        ended = state is not None and state.status is not RunStatus.ACTIVE
        command = CallStarted(
            run=run,
            number=number,
            attempt=attempt,
            kind=kind,
            backend=child_run_id(run, state.children + 1 if state else 1),
            repeatable=repeatable,
            fence=fence,
            reserved=INVALID_RESERVATION if invalid else reserved,
            reason="r",
            wall=self.wall,
            leader=LEADER,
            tool_request=request,
        )
        result = self.apply_command(command)
        if result.accepted and state is not None:
            self._check_start(state, command, ended)

    def _check_start(self, run: Run, command: CallStarted, ended: bool) -> None:
        self._require(not ended, "a call started in a run that had ended")
        self.started += 1
        key = (run.run, command.number)
        self.attempts[key] = self.attempts.get(key, 0) + 1
        allowed = self.attempts[key] == 1 or command.repeatable
        self._require(allowed, "an unrepeatable call was attempted twice")
        root = self.state_machine.runs[root_run_id(run.run)]
        self._require(
            budget.token_cost(root.spent) + root.reserved.tokens <= LIMITS.tokens,
            "a call started beyond the budget of tokens",
        )
        calls = root.spent.calls + root.reserved.calls
        self._require(calls <= LIMITS.calls, "a call started beyond the budget of calls")

    @rule(
        choice=run_choices,
        status=st.sampled_from([CallStatus.SUCCEEDED, CallStatus.FAILED, *CallStatus]),
        usage=usages,
        error=st.none() | errors,
        answered=st.booleans(),
        stale=rarely,
        inconsistent=rarely,
    )
    def finish_call(
        self,
        choice: int,
        status: CallStatus,
        usage: Usage,
        error: YokelineError | None,
        answered: bool,
        stale: bool,
        inconsistent: bool,
    ) -> None:
        run = self._chosen(choice)
        last = self._call(run)
        number, attempt = (last.number, last.attempt) if last is not None else (1, 1)
        if status is not CallStatus.FAILED and not inconsistent:
            answered = status is CallStatus.SUCCEEDED
        message = ChatMessage(role=Role.ASSISTANT, content="c") if answered else None
        command = CallFinished(
            run=run,
            number=number,
            attempt=attempt + 1 if stale else attempt,
            status=status,
            usage=usage,
            wall=self.wall,
            message=message,
            error=error,
        )
        reserved = last.reserved.tokens if last is not None else 0
        if self.apply_command(command).accepted:
            self.overrun += max(0, budget.token_cost(usage) - reserved)

    @run_ending
    @rule(choice=run_choices, status=st.sampled_from(list(RunStatus)), error=st.none() | errors)
    def finish_run(self, choice: int, status: RunStatus, error: YokelineError | None) -> None:
        run = self._chosen(choice)
        self.apply_command(
            FinishRun(run=run, status=status, wall=self.wall, answer="a", error=error)
        )

    @run_ending
    @rule(choice=run_choices, error=errors)
    def cancel(self, choice: int, error: YokelineError) -> None:
        run = self._chosen(choice)
        self.apply_command(CancelRun(run=run, wall=self.wall, error=error))

    @run_ending
    @rule(chosen=st.lists(run_choices, max_size=2))
    def forget(self, chosen: list[int]) -> None:
        runs = tuple(self._chosen(choice) for choice in chosen)
        self.apply_command(ForgetRuns(runs=runs, wall=self.wall))
        known = self.state_machine.runs
        self.attempts = {key: n for key, n in self.attempts.items() if key[0] in known}

    @rule()
    def restart_one_replica(self) -> None:
        data = self.replica.snapshot()
        self.replica = self.machine_type.restore(data)
        self._require(self.replica.snapshot() == data, "a restored state differs")

    # -------------------------------------------------------- invariants

    @invariant()
    def replicas_agree(self) -> None:
        self._require(self.state_machine.runs == self.replica.runs, "replicas differ")

    @invariant()
    def calls_are_in_order(self) -> None:
        for run in self.state_machine.runs.values():
            numbers = [call.number for call in run.calls]
            self._require(numbers == list(range(1, len(numbers) + 1)), "calls out of order")
            in_flight = [call for call in run.calls if call.status is CallStatus.STARTED]
            self._require(len(in_flight) <= 1, "two calls in flight in one run")
            self._require(not in_flight or in_flight[0] is run.calls[-1], "an old call is open")
            if run.status is not RunStatus.ACTIVE:
                self._require(not in_flight, "a call is in flight in a run that has ended")

    @invariant()
    def budgets_add_up(self) -> None:
        for run in self.state_machine.runs.values():
            self._check_reserved(run)
            if run.parent is None:
                spent = budget.token_cost(run.spent) + run.reserved.tokens
                self._require(spent <= LIMITS.tokens + self.overrun, "the budget does not hold")

    def _check_reserved(self, run: Run) -> None:
        tree = [
            member
            for member in self.state_machine.runs.values()
            if member.run == run.run or member.run.startswith(run.run + ".")
        ]
        open_calls = [
            call for member in tree for call in member.calls if call.status is CallStatus.STARTED
        ]
        reserved = sum(call.reserved.tokens for call in open_calls)
        self._require(run.reserved.tokens == reserved, "reservations do not add up")
        self._require(run.reserved.calls == len(open_calls), "reserved calls do not add up")

    @invariant()
    def refusals_claim_only_what_is_known(self) -> None:
        for run in self.state_machine.runs.values():
            if run.status is RunStatus.REFUSED:
                self._require(not run.calls, "a refused run has calls")
            claims_not_run = run.error is not None and run.error.execution is Execution.NOT_RUN
            may_have_run = any(rules.may_have_run(call) for call in run.calls)
            self._require(
                not (claims_not_run and may_have_run), "not run is claimed but may be false"
            )


def _call_position(last: CallRecord | None, step: str) -> tuple[int, int]:
    if last is None:
        return (2, 1) if step == "skip" else (1, 1)
    if step == "again":
        return (last.number, last.attempt + 1)
    if step == "old":
        return (max(1, last.number - 1), 1)
    return (last.number + (2 if step == "skip" else 1), 1)


class RepeatingStateMachine(RunStateMachine):
    """A planted fault: non-repeatable calls are treated as repeatable."""

    def transition_call_started(self, command: CallStarted) -> ApplyResult:
        run = self.runs.get(command.run)
        last = rules.last_call(run) if run is not None else None
        if run is None or last is None or last.number != command.number:
            return super().transition_call_started(command)
        run.calls[-1] = msgspec.structs.replace(last, repeatable=True)
        result = super().transition_call_started(msgspec.structs.replace(command, repeatable=True))
        changed = run.calls[-1] if result.accepted else last
        run.calls[-1] = msgspec.structs.replace(changed, repeatable=last.repeatable)
        return result


class OverspendingStateMachine(RunStateMachine):
    """A planted fault: the budget check at a call's start ignores the earlier spending."""

    def transition_call_started(self, command: CallStarted) -> ApplyResult:
        run = self.runs.get(command.run)
        if run is None:
            return super().transition_call_started(command)
        spent, run.spent = run.spent, Usage()
        result = super().transition_call_started(command)
        run.spent = run.spent.plus(spent)
        return result


class RepeatingCommands(Commands):
    machine_type = RepeatingStateMachine


class OverspendingCommands(Commands):
    machine_type = OverspendingStateMachine


class Walk:
    """A random walk of mostly valid commands, which lets runs get long."""

    def __init__(self, commands: Commands, seed: int) -> None:
        self.commands = commands
        self.random = random.Random(seed)
        self.actions = (self.start_call,) * 8 + (self.finish_call,) * 8 + (self.other_command,)

    def go(self, steps: int) -> int:
        """Apply commands in ``steps`` steps; return the number of started calls."""
        self.commands.create_roots(conversation=bool(self.random.getrandbits(1)))
        for _ in range(steps):
            self.random.choice(self.actions)()
            self.commands.replicas_agree()
            self.commands.calls_are_in_order()
            self.commands.budgets_add_up()
            self.commands.refusals_claim_only_what_is_known()
        return self.commands.started

    def _rarely(self) -> bool:
        return self.random.random() < 0.05

    def _usage(self) -> Usage:
        draw = self.random.randrange
        return Usage(
            prompt_tokens=draw(12), cached_tokens=draw(4), completion_tokens=draw(4), calls=1
        )

    def _error(self) -> YokelineError:
        return YokelineError(
            kind=ErrorKind.BACKEND_FAILED,
            message="x",
            remedy="y",
            execution=self.random.choice(list(Execution)),
        )

    def start_call(self) -> None:
        kinds = [CallKind.MODEL, CallKind.TOOL, CallKind.CHILD]
        names = ["roster", "post", "weigh"]
        name = self.random.choice(names)
        self.commands.start_call(
            choice=self.random.randrange(10),
            reserved=Reservation(tokens=self.random.randrange(12)),
            repeatable=self.random.random() < 0.6,
            kind=self.random.choice(kinds),
            step=self.random.choice(["next", "next", "again"]),
            fence=self.random.randrange(1, 4),
            request=ToolRequest(identity="t", name=name, arguments="{}"),
            different=self._rarely(),
            invalid=self._rarely(),
        )
        for run in RUNS[len(ROOTS) :]:
            self.commands.create(run=run, spec=spec("t", "d", False), with_parent=True)

    def finish_call(self) -> None:
        statuses = [CallStatus.SUCCEEDED, CallStatus.FAILED, CallStatus.FAILED]
        self.commands.finish_call(
            choice=self.random.randrange(10),
            status=CallStatus.UNKNOWN if self._rarely() else self.random.choice(statuses),
            usage=self._usage(),
            error=self._error(),
            answered=bool(self.random.getrandbits(1)),
            stale=self._rarely(),
            inconsistent=self._rarely(),
        )

    def other_command(self) -> None:
        choice = self.random.randrange(10)
        match self.random.randrange(6):
            case 0:
                status = self.random.choice([RunStatus.IDLE] * 4 + list(RunStatus))
                self.commands.finish_run(choice, status, self._error())
                self.commands.add_turn(choice, "", "a")
            case 1:
                self.commands.add_turn(choice, self.random.choice(["", "k1"]), "a")
            case 2:
                self.commands.refuse(choice, spec("t", "d", False), self._error())
            case 3:
                self.commands.cancel(choice, self._error())
            case 4:
                for root in ROOTS:
                    self.commands.apply_command(ForgetRuns(runs=(root,), wall=0.0))
                self.commands.forget([choice])
                self.commands.create_roots(conversation=True)
            case _:
                self.commands.restart_one_replica()


COMMANDS = settings(derandomize=True, deadline=None, max_examples=50, stateful_step_count=40)
WALKS = settings(derandomize=True, deadline=None, max_examples=25, report_multiple_bugs=False)
WALK_STEPS = 250


class RunStateMachineTest(unittest.TestCase):
    def test_invariants_hold_for_any_commands(self) -> None:
        run_state_machine_as_test(Commands, settings=COMMANDS)

    def test_invariants_hold_on_long_random_walks(self) -> None:
        started = 0

        @WALKS
        @given(seed=st.integers(0, 2**32))
        def walk(seed: int) -> None:
            nonlocal started
            started += Walk(Commands(), seed).go(WALK_STEPS)

        walk()
        self.assertGreater(started, 500, "the walks do not get far enough to prove anything")

    def _assert_fault_found(self, commands: type[Commands], message: str) -> None:
        @settings(WALKS, phases=(Phase.generate,))
        @given(seed=st.integers(0, 2**32))
        def walk(seed: int) -> None:
            Walk(commands(), seed).go(WALK_STEPS)

        with self.assertRaisesRegex(InvariantViolationError, message):
            walk()

    def test_planted_second_attempt_is_found(self) -> None:
        self._assert_fault_found(RepeatingCommands, "attempted twice")

    def test_planted_overspending_is_found(self) -> None:
        self._assert_fault_found(OverspendingCommands, "beyond the budget")
