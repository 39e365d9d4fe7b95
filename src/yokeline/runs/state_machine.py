"""The replicated state machine of a shard's runs.

Every replica applies the commands in log order. Applying is deterministic: it reads no clock
and no source of randomness. A command that the state does not allow is rejected with a typed
error and leaves the state unchanged.
"""

from __future__ import annotations

from typing import assert_never

import msgspec
from returns.result import Failure, Result

from yokeline.errors import YokelineError
from yokeline.identifiers import RunId, root_run_id
from yokeline.runs import budget, rules
from yokeline.runs.errors import conflict, run_not_found
from yokeline.runs.model import (
    AddTurn,
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
    RecoverShard,
    RefuseRun,
    Reservation,
    Role,
    Run,
    RunStatus,
    Usage,
)
from yokeline.runs.records import (
    abandoned_call_record,
    end_run,
    new_call_record,
    new_refused_run,
    new_run,
    set_answer,
)
from yokeline.runs.recovery import (
    DoubtWindow,
    is_resumable,
    may_have_advanced,
    request_possibly_run,
    turn_possibly_run,
)
from yokeline.runs.snapshot import decode_runs, encode_runs
from yokeline.runs.tree import ancestors, descendants


class ApplyResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of applying a command.

    Attributes:
        accepted: Whether the command has taken effect, now or when the same request was applied
            before.
        run: The run that the command names, if it names one.
        error: Reason for a rejection.
        created: Whether this command created the run or turn; False if an earlier command with
            the same request did.
    """

    accepted: bool
    run: RunId | None
    error: YokelineError | None = None
    created: bool = False


class RunStateMachine:
    """All runs of one shard.

    Attributes:
        runs: Runs by id; other components must not modify them.
        doubt_window: Time in which duplicates of requests lost with the last log entries cannot
            be recognised.
    """

    def __init__(self) -> None:
        self.runs: dict[RunId, Run] = {}
        self.doubt_window = DoubtWindow()

    def apply(self, command: Command) -> ApplyResult:
        """Apply the next committed command of the log."""
        match command:
            case CreateRun():
                return self.transition_create_run(command)
            case AddTurn():
                return self.transition_add_turn(command)
            case RefuseRun():
                return self.transition_refuse_run(command)
            case CallStarted():
                return self.transition_call_started(command)
            case CallFinished():
                return self.transition_call_finished(command)
            case FinishRun():
                return self.transition_finish_run(command)
            case CancelRun():
                return self.transition_cancel_run(command)
            case ForgetRuns():
                return self.transition_forget_runs(command)
            case RecoverShard():
                return self.transition_recover_shard(command)
            case _:
                assert_never(command)

    def snapshot(self) -> bytes:
        """Encode the state as bytes; equal states give equal bytes."""
        return encode_runs(self.runs, self.doubt_window)

    @classmethod
    def restore(cls, data: bytes) -> RunStateMachine:
        """Create a state machine from the bytes of :meth:`snapshot`."""
        state_machine = cls()
        content = decode_runs(data)
        state_machine.runs = {run.run: run for run in content.runs}
        state_machine.doubt_window = content.doubt
        return state_machine

    # ------------------------------------------------------------ transitions

    def transition_create_run(self, command: CreateRun) -> ApplyResult:
        """Create a run, or accept the repetition of the request that created it."""
        existing = self.runs.get(command.run)
        if existing is not None:
            return _result_of(command.run, rules.check_same_request(existing, command.spec))
        if command.parent is not None:
            parent = self.runs.get(command.parent)
            check = rules.check_child(parent, command.run, command.spec.tenant)
            if isinstance(check, Failure) or parent is None:
                return _rejected(command.run, check.failure())
            parent.children += 1
        elif root_run_id(command.run) != command.run:
            return _rejected(command.run, conflict(command.run, "a child run needs a parent"))
        run = new_run(command)
        self.runs[command.run] = run
        if command.parent is None and self.doubt_window.covers_request(command.spec, command.wall):
            self._end_as_unknown(run, command.wall)
        return ApplyResult(accepted=True, run=command.run, created=True)

    def transition_add_turn(self, command: AddTurn) -> ApplyResult:
        """Append a user message to an idle conversation."""
        run = self.runs.get(command.run)
        if run is None:
            return _rejected(command.run, run_not_found())
        if command.turn_key and command.turn_key in run.turn_keys:
            return _result_of(command.run, rules.check_same_turn(run, command))
        if run.status is not RunStatus.IDLE:
            return _rejected(command.run, conflict(run.run, f"the run is {run.status.value}"))
        if self.doubt_window.covers_turn(run, command.wall):
            return _rejected(command.run, turn_possibly_run())
        run.history.append(ChatMessage(role=Role.USER, content=command.input))
        run.turn += 1
        run.turn_keys.append(command.turn_key)
        run.turn_started_wall = command.wall
        run.turn_first_call = len(run.calls) + 1
        run.spec = msgspec.structs.replace(run.spec, deadline_wall=command.deadline_wall)
        run.status = RunStatus.ACTIVE
        set_answer(run, "", None)
        run.finished_wall = None
        return ApplyResult(accepted=True, run=command.run, created=True)

    def transition_refuse_run(self, command: RefuseRun) -> ApplyResult:
        """Record that a request is refused and will not run."""
        run = self.runs.get(command.run)
        if run is None:
            self.runs[command.run] = new_refused_run(command)
            return ApplyResult(accepted=True, run=command.run, created=True)
        check = rules.check_refuse(run, command.spec)
        if isinstance(check, Failure):
            return _rejected(command.run, check.failure())
        if run.status is RunStatus.REFUSED:
            return ApplyResult(accepted=True, run=command.run)
        run.error = rules.as_not_run(command.error)
        end_run(run, RunStatus.REFUSED, command.wall)
        return ApplyResult(accepted=True, run=command.run)

    def transition_call_started(self, command: CallStarted) -> ApplyResult:
        """Record the start of a call or of another attempt, and reserve its budget."""
        run = self.runs.get(command.run)
        if run is None:
            return _rejected(command.run, run_not_found())
        check = rules.check_call_started(run, command)
        if isinstance(check, Failure):
            return _rejected(command.run, check.failure())
        budget_check = budget.check_call(self.runs[root_run_id(run.run)], run, command)
        if isinstance(budget_check, Failure):
            return _rejected(command.run, budget_check.failure())
        previous = rules.last_call(run)
        is_retry = previous is not None and previous.number == command.number
        if is_retry and previous is not None:
            self._supersede(run, previous)
        record = new_call_record(
            command, rules.may_have_run(previous) if is_retry and previous else False
        )
        if is_retry:
            run.calls[-1] = record
        else:
            run.calls.append(record)
        for member in ancestors(self.runs, run):
            budget.reserve(member, command.reserved)
        return ApplyResult(accepted=True, run=command.run)

    def transition_call_finished(self, command: CallFinished) -> ApplyResult:
        """Record an attempt's outcome, settle its reservation and append its message."""
        run = self.runs.get(command.run)
        if run is None:
            return _rejected(command.run, run_not_found())
        call = rules.in_flight_call(run)
        child = self.runs.get(RunId(call.backend)) if call is not None else None
        check = rules.check_call_finished(run, command, child)
        if isinstance(check, Failure) or call is None:
            return _rejected(command.run, check.failure())
        not_run = rules.definitely_not_run(command.status, command.error)
        usage = budget.charged_usage(command.usage, definitely_not_run=not_run)
        run.calls[-1] = msgspec.structs.replace(
            call,
            status=command.status,
            finished_wall=command.wall,
            usage=usage,
            error=command.error,
            answered=command.message is not None,
            may_have_run=call.may_have_run or not not_run,
        )
        if command.message is not None:
            run.history.append(command.message)
        self._settle(run, call.reserved, usage)
        return ApplyResult(accepted=True, run=command.run)

    def transition_finish_run(self, command: FinishRun) -> ApplyResult:
        """Set the answer and the final or idle status of a run."""
        run = self.runs.get(command.run)
        if run is None:
            return _rejected(command.run, run_not_found())
        check = rules.check_finish(run, command)
        if isinstance(check, Failure):
            return _rejected(command.run, check.failure())
        set_answer(run, command.answer, rules.with_known_execution(run, command.error))
        end_run(run, command.status, command.wall)
        return ApplyResult(accepted=True, run=command.run)

    def transition_cancel_run(self, command: CancelRun) -> ApplyResult:
        """Cancel a run and its descendants; accepted without effect if the run is final."""
        run = self.runs.get(command.run)
        if run is None:
            return _rejected(command.run, run_not_found())
        if rules.is_final(run):
            return ApplyResult(accepted=True, run=command.run)
        for member in reversed(descendants(self.runs, run)):
            if not rules.is_final(member):
                self._cancel(member, command)
        return ApplyResult(accepted=True, run=command.run)

    def transition_forget_runs(self, command: ForgetRuns) -> ApplyResult:
        """Remove run trees that are final or idle.

        Rejected entirely if any root is active or a run is not a root.
        """
        roots = [self.runs[run] for run in dict.fromkeys(command.runs) if run in self.runs]
        for root in roots:
            if root.parent is not None or root.status is RunStatus.ACTIVE:
                return _rejected(root.run, conflict(root.run, "only ended root runs are removed"))
        for root in roots:
            for member in descendants(self.runs, root):
                del self.runs[member.run]
        return ApplyResult(accepted=True, run=None)

    def transition_recover_shard(self, command: RecoverShard) -> ApplyResult:
        """Make runs that may have advanced beyond the copy final, and extend the doubt window."""
        self.doubt_window = self.doubt_window.extended_by(command)
        for root in [run for run in self.runs.values() if run.parent is None]:
            tree = descendants(self.runs, root)
            if is_resumable(tree):
                continue
            for member in reversed(tree):
                if may_have_advanced(member):
                    self._end_as_unknown(member, command.wall)
        return ApplyResult(accepted=True, run=None)

    # ------------------------------------------------------------ helpers

    def _supersede(self, run: Run, call: CallRecord) -> None:
        """Charge a superseded attempt without an outcome its whole reservation."""
        if call.status is CallStatus.STARTED:
            self._settle(run, call.reserved, budget.usage_of_reservation(call.reserved))

    def _settle(self, run: Run, reserved: Reservation, usage: Usage) -> None:
        for member in ancestors(self.runs, run):
            budget.settle(member, reserved, usage)

    def _cancel(self, run: Run, command: CancelRun) -> None:
        call = rules.in_flight_call(run)
        status = RunStatus.CANCELLED
        if call is not None and self._may_have_effect(call):
            status = RunStatus.OUTCOME_UNKNOWN
        set_answer(run, "", rules.with_known_execution(run, command.error))
        if call is not None:
            self._abandon_call(run, call, command.wall)
        end_run(run, status, command.wall)

    def _end_as_unknown(self, run: Run, wall: float) -> None:
        """End a run that may have advanced beyond its known state."""
        set_answer(run, "", request_possibly_run())
        call = rules.in_flight_call(run)
        if call is not None:
            self._abandon_call(run, call, wall)
        end_run(run, RunStatus.OUTCOME_UNKNOWN, wall)

    def _may_have_effect(self, call: CallRecord) -> bool:
        """Return whether an in-flight call may have an effect that cannot be undone."""
        if call.kind is not CallKind.CHILD:
            return not call.repeatable
        child = self.runs.get(RunId(call.backend))
        return child is not None and child.status is RunStatus.OUTCOME_UNKNOWN

    def _abandon_call(self, run: Run, call: CallRecord, wall: float) -> None:
        abandoned = abandoned_call_record(call, wall, run.error)
        run.calls[-1] = abandoned
        self._settle(run, call.reserved, abandoned.usage)


def _result_of(run: RunId, check: Result[None, YokelineError]) -> ApplyResult:
    """Return the result for a repeated request: accepted if it matches the first one."""
    if isinstance(check, Failure):
        return _rejected(run, check.failure())
    return ApplyResult(accepted=True, run=run)


def _rejected(run: RunId, error: YokelineError) -> ApplyResult:
    return ApplyResult(accepted=False, run=run, error=error)
