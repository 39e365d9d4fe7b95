"""Drives programs along their scripts as the executor does: calls, pauses, child runs, turns."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import msgspec
import simpy

from yokeline.emulator.engine.calls import EngineCall
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.emulator.engine.prompt import Prompt
from yokeline.emulator.engine.script import Answer
from yokeline.experiment.bound import turn_seconds
from yokeline.experiment.cache_actions import CacheActions
from yokeline.experiment.dispatcher import CallOutcome, Dispatcher
from yokeline.experiment.engines import MODEL_NAME
from yokeline.experiment.metrics import RequestRecord
from yokeline.experiment.prompts import empty_prompt, extended, segment_words
from yokeline.experiment.script import (
    Arrival,
    ChildUse,
    ModelStep,
    ProgramScript,
    ToolUse,
    Turn,
    service_tokens,
    turn_service,
)
from yokeline.identifiers import RUN_PREFIX, RunId, child_run_id
from yokeline.scheduling.forecast import PauseForecast
from yokeline.scheduling.interface import CallDemand, PauseKind, ProgramPause

MAX_COMPLETION_TOKENS = 1024

Steps = Generator[simpy.Event, Any, None]


class ProgramState(msgspec.Struct, kw_only=True):
    """What a whole program shares: the root run and its children.

    Attributes:
        spent: Tokens served so far (prefilled and generated), as the budget counts them.
        remaining: Tokens of the current turn that are still to be served.
        issued_at: When the current turn arrived.
    """

    root: RunId
    script: ProgramScript
    spent: int = 0
    remaining: int = 0
    issued_at: float = 0.0
    children: int = 0


class RunState(msgspec.Struct, kw_only=True):
    """One run: the root or a child."""

    run: RunId
    script: ProgramScript
    prompt: Prompt
    calls: int = 0
    previous_engine: str = ""
    previous_tokens: int = 0


class ProgramRuns:
    """The programs of one experiment.

    Attributes:
        records: All requests.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        dispatcher: Dispatcher,
        actions: CacheActions,
        *,
        parameters: EngineParameters,
        tool_timeout_seconds: float,
        horizon_seconds: float,
        idle_seconds: float,
        clairvoyant: bool,
    ) -> None:
        """Create it; a clairvoyant policy is told what the scripts say."""
        self.records: list[RequestRecord] = []
        self._environment = environment
        self._dispatcher = dispatcher
        self._actions = actions
        self._parameters = parameters
        self._tool_timeout_seconds = tool_timeout_seconds
        self._horizon_seconds = horizon_seconds
        self._idle_seconds = idle_seconds
        self._clairvoyant = clairvoyant
        self._system_prompts: dict[str, Prompt] = {}

    # ------------------------------------------------------------ programs and turns

    def program(self, arrival: Arrival) -> Steps:
        """Drive a program from its arrival to its end."""
        yield self._environment.timeout(arrival.at)
        root = RunId(f"{RUN_PREFIX}{arrival.number}")
        state = ProgramState(root=root, script=arrival.script)
        run = self._new_run(root, arrival.script)
        turns = arrival.script.turns
        for number, turn in enumerate(turns):
            if number:
                yield from self._pause_between_turns(state, run, turn.pause_seconds)
                if self._environment.now > self._horizon_seconds:
                    return
            answered = yield from self._request(state, run, turn)
            if not answered:
                break
        else:
            if arrival.script.conversation:
                # No further turn comes, which nobody knows: the conversation stays idle.
                self._pause(state, run, PauseKind.TURN, run.script.program, self._idle_seconds)
                return
        self._pause(state, run, PauseKind.END, run.script.program)

    def _request(
        self, state: ProgramState, run: RunState, turn: Turn
    ) -> Generator[simpy.Event, Any, bool]:
        script = run.script
        record = RequestRecord(
            kind=script.kind,
            issued_at=self._environment.now,
            deadline_seconds=script.deadline_seconds,
            worth=script.worth,
            alone_seconds=turn_seconds(
                turn, run.prompt.tokens, self._parameters, self._tool_timeout_seconds
            ),
        )
        self.records.append(record)
        state.issued_at = record.issued_at
        state.remaining = turn_service(turn)
        answered = yield from self._turn(state, run, turn)
        record.ended = not answered
        if answered:
            record.answered_at = self._environment.now
        return answered

    def _turn(
        self, state: ProgramState, run: RunState, turn: Turn
    ) -> Generator[simpy.Event, Any, bool]:
        """Drive a turn; the value is False if the run was ended by its limit of calls."""
        for step in turn.steps:
            if run.calls >= run.script.call_limit:
                return False
            yield from self._model_call(state, run, step)
            if isinstance(step.follow_up, ToolUse):
                yield from self._tool_call(state, run, step.follow_up)
            elif isinstance(step.follow_up, ChildUse):
                yield from self._child_run(state, run, step.follow_up.child)
        return True

    # ------------------------------------------------------------ calls

    def _model_call(self, state: ProgramState, run: RunState, step: ModelStep) -> Steps:
        run.calls += 1
        name = f"{run.run}/{run.calls}"
        run.prompt = extended(run.prompt, segment_words(f"{name}/input", step.input_tokens))
        words = segment_words(f"{name}/answer", step.answer_tokens)
        call = EngineCall(
            call_id=name,
            cache_key=state.root,
            model=MODEL_NAME,
            prompt=run.prompt,
            answer=Answer(words=words),
            streamed=True,
        )
        outcome: CallOutcome = yield self._dispatcher.request(self._demand(state, run, step), call)
        run.prompt = extended(run.prompt, words)
        usage = outcome.usage
        run.previous_engine = outcome.engine
        run.previous_tokens = usage.prompt_tokens + usage.completion_tokens
        state.spent += usage.prompt_tokens - usage.cached_tokens + usage.completion_tokens
        state.remaining -= service_tokens(step.input_tokens, step.answer_tokens)

    def _demand(self, state: ProgramState, run: RunState, step: ModelStep) -> CallDemand:
        root = state.script
        return CallDemand(
            run=run.run,
            cache_key=state.root,
            tenant=root.tenant,
            model=MODEL_NAME,
            prompt_tokens=run.prompt.tokens,
            completion_tokens=MAX_COMPLETION_TOKENS,
            previous_engine=run.previous_engine,
            previous_tokens=run.previous_tokens,
            worth=root.worth,
            attained_service=state.spent,
            deadline=state.issued_at + root.deadline_seconds,
            waiting_since=self._environment.now,
            program=f"{root.tenant}/{run.script.program}",
            program_since=state.issued_at,
            expected_completion_tokens=step.answer_tokens if self._clairvoyant else 0,
            remaining_service=state.remaining if self._clairvoyant else None,
        )

    # ------------------------------------------------------------ pauses

    def _tool_call(self, state: ProgramState, run: RunState, use: ToolUse) -> Steps:
        seconds = min(use.seconds, self._tool_timeout_seconds)
        self._pause(state, run, PauseKind.TOOL, use.tool, seconds)
        yield self._environment.timeout(seconds)
        self._actions.pause_ended(PauseKind.TOOL, use.tool, seconds)

    def _child_run(self, state: ProgramState, run: RunState, script: ProgramScript) -> Steps:
        self._pause(state, run, PauseKind.CHILD, script.program)
        started = self._environment.now
        state.children += 1
        child = self._new_run(child_run_id(state.root, state.children), script)
        for turn in script.turns:
            yield from self._turn(state, child, turn)
        self._pause(state, child, PauseKind.END, script.program)
        seconds = self._environment.now - started
        self._actions.pause_ended(PauseKind.CHILD, script.program, seconds)

    def _pause_between_turns(self, state: ProgramState, run: RunState, seconds: float) -> Steps:
        name = run.script.program
        self._pause(state, run, PauseKind.TURN, name, seconds)
        yield self._environment.timeout(seconds)
        self._actions.pause_ended(PauseKind.TURN, name, seconds)

    def _pause(
        self,
        state: ProgramState,
        run: RunState,
        kind: PauseKind,
        name: str,
        seconds: float | None = None,
    ) -> None:
        pause = ProgramPause(
            run=run.run,
            cache_key=state.root,
            tenant=state.script.tenant,
            kind=kind,
            name=name,
            engine=run.previous_engine,
            context_tokens=run.previous_tokens,
            worth=state.script.worth,
        )
        known = self._clairvoyant and seconds is not None
        forecast = PauseForecast.exactly(seconds) if known and seconds is not None else None
        self._actions.pause_started(pause, forecast)
        self._dispatcher.pump_soon()

    def _new_run(self, run: RunId, script: ProgramScript) -> RunState:
        return RunState(run=run, script=script, prompt=self._system_prompt(script))

    def _system_prompt(self, script: ProgramScript) -> Prompt:
        known = self._system_prompts.get(script.program)
        if known is None:
            empty = empty_prompt(script.tenant, self._parameters.block_tokens)
            words = segment_words(f"system/{script.program}", script.system_tokens)
            known = self._system_prompts[script.program] = extended(empty, words)
        return known
