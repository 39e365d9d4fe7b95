"""Model calls of runs: choice of engine, streaming, resume, retries and cancellation."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from returns.result import Result

from yokeline.backends.chat import ChatCall
from yokeline.backends.engine import EngineClient, call_id
from yokeline.backends.engine_messages import Accepted
from yokeline.backends.stream import (
    LENGTH_REASON,
    AnswerComplete,
    ModelAnswer,
    ModelStream,
    StreamBroken,
    StreamEvent,
    TextReceived,
)
from yokeline.effects import Address
from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import RunId, root_run_id
from yokeline.runs import budget
from yokeline.runs.activity import Activity, AttemptSpec, CallOutcome, Stage
from yokeline.runs.cache_actions import CacheActions
from yokeline.runs.context_window import context_messages, model_reservation
from yokeline.runs.core import ExecutorCore
from yokeline.runs.demands import call_demand
from yokeline.runs.engine_queue import EngineQueue
from yokeline.runs.errors import budget_exhausted, engine_unknown
from yokeline.runs.generation import Generation, distinct_requests
from yokeline.runs.model import (
    CallRecord,
    CallStatus,
    ChatMessage,
    Role,
    Run,
    Usage,
)
from yokeline.runs.next_step import StartCall
from yokeline.scheduling.interface import CallDemand, EngineChoice, EngineDirectoryInterface

RESUMES_WITHOUT_PROGRESS = 2
"""Connections in a row without new text after which the generation counts as lost."""
RESUME_PAUSE_SECONDS = 0.1


class ModelCalls:
    """Starts, follows and ends the model calls of runs."""

    def __init__(
        self,
        core: ExecutorCore,
        engines: EngineDirectoryInterface,
        queue: EngineQueue,
        cache: CacheActions,
        text_arrived: Callable[[RunId], None],
    ) -> None:
        """Create it; ``text_arrived`` is told of each run whose live text grew."""
        self._core = core
        self._engines = engines
        self._queue = queue
        self._cache = cache
        self._client = EngineClient(core.context)
        self._text_arrived = text_arrived
        self._avoid: dict[RunId, tuple[str, ...]] = {}
        queue.start_with(self._start_at)

    # ------------------------------------------------------------ start

    def start(self, activity: Activity, run: Run, step: StartCall) -> None:
        """Start a call, or put it into the queue until an engine has room."""
        root = self._core.root_of(activity.shard, run)
        if step.attempt == 1:
            self._avoid.pop(run.run, None)
            self._cache.pause_ended(run)
        demand = self._demand(run, root)
        if step.failed_attempt is not None:
            avoid = dict.fromkeys((*demand.avoid, step.failed_attempt.backend))
            demand = msgspec.structs.replace(demand, avoid=tuple(avoid))
        self._queue.submit(activity, run, step, demand)

    def _demand(self, run: Run, root: Run) -> CallDemand:
        context = self._core.context
        avoid = self._avoid.get(run.run, ())
        return call_demand(run, root, now=context.now, wall=context.wall(), avoid=avoid)

    def _start_at(
        self, activity: Activity, step: StartCall, demand: CallDemand, choice: EngineChoice
    ) -> None:
        """Commit the start of a call at the chosen engine, then send it."""
        call = call_id(activity.run, step.number, step.attempt)
        self._engines.call_sent(choice.engine, demand, call)
        attempt_spec = AttemptSpec(
            backend=choice.engine,
            reason=choice.reason,
            repeatable=True,
            reserved=model_reservation(demand.prompt_tokens, demand.completion_tokens),
        )
        activity.cancel = lambda: self._not_sent(call)
        activity.detach = activity.cancel

        def send(run: Run) -> None:
            self._send(activity, run, demand, choice.address)

        self._core.start_call(activity, step, attempt_spec, send)

    def _not_sent(self, call: str) -> None:
        self._engines.call_ended(call, prompt_tokens=0, cached_tokens=0, ok=False)

    def _send(self, activity: Activity, run: Run, demand: CallDemand, address: Address) -> None:
        record = run.calls[-1]
        generation = self._generation(activity, run, address, demand)
        call = ChatCall(
            call_id=generation.call,
            model=run.spec.model,
            messages=context_messages(run),
            max_tokens=demand.completion_tokens,
            cache_key=demand.cache_key,
            cache_salt=run.spec.tenant,
            fence=record.fence,
            priority=self._engines.engine_priority(demand),
            tools=(*run.spec.tools, *run.spec.children),
        )
        generation.connection = self._client.chat(address, call, generation.stream)

    def _generation(
        self, activity: Activity, run: Run, address: Address, demand: CallDemand
    ) -> Generation:
        record = run.calls[-1]
        text = self._core.partial_texts.begin(activity.run, record.number, record.attempt)
        generation = Generation(activity, record, address, demand.prompt_tokens, text)

        def handle(event: StreamEvent) -> None:
            if self._core.is_current(activity):
                self._handle(generation, event)

        limit = run.spec.max_completion_tokens
        generation.cut_by_budget = demand.completion_tokens < limit
        generation.stream = ModelStream(generation.title, handle)
        activity.stage = Stage.CALLING
        activity.cancel = lambda: self._cancel(generation)
        activity.detach = lambda: self._detach(generation)
        return generation

    # ------------------------------------------------------------ recovery

    def recover(self, activity: Activity, run: Run, record: CallRecord) -> None:
        """Follow a call that a leader before started, from its first character on."""
        address = self._engines.address_of(record.backend)
        if address is None:
            usage = budget.usage_of_reservation(record.reserved)
            self._finish_failed(activity, engine_unknown(record.backend), usage)
            return
        demand = self._demand(run, self._core.root_of(activity.shard, run))
        generation = self._generation(activity, run, address, demand)
        generation.accepted = True
        self._engines.call_sent(record.backend, demand, generation.call)
        generation.connection = self._client.resume(address, generation.call, generation.stream)

    # ------------------------------------------------------------ progress

    def _handle(self, generation: Generation, event: StreamEvent) -> None:
        match event:
            case TextReceived():
                self._note_text(generation)
                generation.accepted = True
                generation.fruitless = 0
                generation.text.append(event.text)
                self._text_arrived(generation.activity.run)
            case AnswerComplete():
                self._complete(generation, event.answer)
            case StreamBroken():
                self._broken(generation, event)

    def _note_text(self, generation: Generation) -> None:
        """Note the first text: the prefill is over."""
        if not generation.answering:
            self._engines.text_received(generation.call)
        self._note_use(generation)

    def _note_use(self, generation: Generation) -> None:
        """Note the first sign that the engine uses the run's context again."""
        if not generation.answering:
            generation.answering = True
            self._cache.context_used(generation.engine, root_run_id(generation.activity.run))

    def _complete(self, generation: Generation, answer: ModelAnswer) -> None:
        # Tool requests come as one event at the end, which says nothing about the prefill.
        self._note_use(generation)
        self._note_ended(generation, answer.usage, ok=True)
        if generation.cut_by_budget and answer.finish_reason == LENGTH_REASON:
            error = budget_exhausted("tokens", self._token_budget(generation.activity))
            error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
            self._finish_failed(generation.activity, error, answer.usage)
            return
        number = generation.text.number
        message = ChatMessage(
            role=Role.ASSISTANT,
            content=answer.text,
            tool_requests=distinct_requests(number, answer.tool_requests),
            tokens=answer.usage.completion_tokens,
        )
        outcome = CallOutcome(status=CallStatus.SUCCEEDED, usage=answer.usage, message=message)
        self._avoid.pop(generation.activity.run, None)
        self._core.finish_call(generation.activity, outcome)

    def _token_budget(self, activity: Activity) -> int:
        run = self._core.find(activity.shard, activity.run)
        return self._core.root_of(activity.shard, run).spec.budget.tokens if run is not None else 0

    def _broken(self, generation: Generation, event: StreamBroken) -> None:
        """Go on in the generation over a new connection, unless it is surely not there."""
        generation.connection = None
        not_run = event.refused or event.error.execution is Execution.NOT_RUN
        if not_run and not generation.accepted:
            self._refused(generation, event.error)
            return
        generation.accepted = True
        generation.fruitless += 1
        if event.lost or generation.fruitless > RESUMES_WITHOUT_PROGRESS:
            self._lost(generation, event.error)
            return
        pause = RESUME_PAUSE_SECONDS * generation.fruitless
        self._core.call_later(generation.activity, pause, lambda: self._resume(generation))

    def _resume(self, generation: Generation) -> None:
        self._core.context.counters["yokeline_stream_resumes_total"] += 1
        generation.connection = self._client.resume(
            generation.address, generation.call, generation.stream
        )

    def _refused(self, generation: Generation, error: YokelineError) -> None:
        """End an attempt that the engine did not take."""
        self._queue.engine_refused(generation.engine, error.retry_after or 0.0)
        self._note_ended(generation, Usage(), ok=False)
        self._failed_at(generation, error, Usage())

    def _lost(self, generation: Generation, error: YokelineError) -> None:
        """End an attempt whose generation cannot be read any more."""
        usage = generation.spent()
        self._note_ended(generation, usage, ok=False)
        self._cancel_at_engine(generation)
        error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
        self._failed_at(generation, error, usage)

    def _failed_at(self, generation: Generation, error: YokelineError, usage: Usage) -> None:
        run = generation.activity.run
        self._avoid[run] = (*self._avoid.get(run, ()), generation.engine)
        self._finish_failed(generation.activity, error, usage)

    def _finish_failed(self, activity: Activity, error: YokelineError, usage: Usage) -> None:
        outcome = CallOutcome(status=CallStatus.FAILED, usage=usage, error=error)
        self._core.finish_call(activity, outcome)

    def _note_ended(self, generation: Generation, usage: Usage, *, ok: bool) -> None:
        self._engines.call_ended(
            generation.call,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
            ok=ok,
        )
        self._queue.pump_soon()

    # ------------------------------------------------------------ giving up

    def expire_call(self, activity: Activity, record: CallRecord, error: YokelineError) -> None:
        """End a call whose run's time is over: cancel it at the engine and say why."""
        activity.cancel()
        self._finish_failed(activity, error, budget.usage_of_reservation(record.reserved))

    def forget_run(self, run: RunId) -> None:
        """Drop what is kept about a run that has ended."""
        self._avoid.pop(run, None)

    def _cancel(self, generation: Generation) -> None:
        self._note_ended(generation, Usage(), ok=False)
        self._cancel_at_engine(generation)

    def _cancel_at_engine(self, generation: Generation) -> None:
        self._close_connection(generation)
        self._client.cancel(generation.address, generation.call, _ignore)

    def _detach(self, generation: Generation) -> None:
        """Stop reading a generation; it goes on at the engine for the next leader."""
        self._note_ended(generation, Usage(), ok=False)
        self._close_connection(generation)

    def _close_connection(self, generation: Generation) -> None:
        generation.stream.close()
        if generation.connection is not None:
            self._core.context.cancel_http(generation.connection)
            generation.connection = None


def _ignore(_result: Result[Accepted, YokelineError]) -> None:
    """Nothing depends on the answer: an engine that is gone has no generation either."""
