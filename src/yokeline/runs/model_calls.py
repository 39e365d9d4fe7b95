"""Model calls of runs: engine selection, streaming, resumption, retries and cancellation."""

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
from yokeline.runs.generation import Generation, with_unique_identities
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

MAX_RESUMES_WITHOUT_PROGRESS = 2
"""Resumed connections in a row without new text before a generation is considered lost."""
RESUME_DELAY_SECONDS = 0.1


class ModelCalls:
    """Starts, follows and ends model calls."""

    def __init__(
        self,
        core: ExecutorCore,
        engines: EngineDirectoryInterface,
        queue: EngineQueue,
        cache: CacheActions,
        text_arrived: Callable[[RunId], None],
    ) -> None:
        """Create the calls; ``text_arrived`` is called when a run's partial text grows."""
        self._core = core
        self._engines = engines
        self._queue = queue
        self._cache = cache
        self._client = EngineClient(core.context)
        self._text_arrived = text_arrived
        self._avoid: dict[RunId, tuple[str, ...]] = {}
        queue.set_starter(self._start_on_engine)

    # ------------------------------------------------------------ start

    def start(self, activity: Activity, run: Run, step: StartCall) -> None:
        """Start a call, or queue it until an engine has capacity."""
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

    def _start_on_engine(
        self, activity: Activity, step: StartCall, demand: CallDemand, choice: EngineChoice
    ) -> None:
        """Commit the start of a call at the selected engine, then send it."""
        call = call_id(activity.run, step.number, step.attempt)
        self._engines.call_sent(choice.engine, demand, call)
        attempt_spec = AttemptSpec(
            backend=choice.engine,
            reason=choice.reason,
            repeatable=True,
            reserved=model_reservation(demand.prompt_tokens, demand.completion_tokens),
        )
        activity.cancel = lambda: self._report_not_sent(call)
        activity.detach = activity.cancel

        def send(run: Run) -> None:
            self._send(activity, run, demand, choice.address)

        self._core.start_call(activity, step, attempt_spec, send)

    def _report_not_sent(self, call: str) -> None:
        self._engines.call_ended(call, prompt_tokens=0, cached_tokens=0, ok=False)

    def _send(self, activity: Activity, run: Run, demand: CallDemand, address: Address) -> None:
        record = run.calls[-1]
        generation = self._generation(activity, run, address, demand)
        call = ChatCall(
            call_id=generation.call_id,
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
        generation.limited_by_budget = demand.completion_tokens < limit
        generation.stream = ModelStream(generation.display_name, handle)
        activity.stage = Stage.CALLING
        activity.cancel = lambda: self._cancel(generation)
        activity.detach = lambda: self._detach(generation)
        return generation

    # ------------------------------------------------------------ recovery

    def recover(self, activity: Activity, run: Run, record: CallRecord) -> None:
        """Take over a call that a previous leader started, reading its text from offset 0."""
        address = self._engines.address_of(record.backend)
        if address is None:
            usage = budget.usage_of_reservation(record.reserved)
            self._finish_failed(activity, engine_unknown(record.backend), usage)
            return
        demand = self._demand(run, self._core.root_of(activity.shard, run))
        generation = self._generation(activity, run, address, demand)
        generation.maybe_accepted = True
        self._engines.call_sent(record.backend, demand, generation.call_id)
        generation.connection = self._client.resume(address, generation.call_id, generation.stream)

    # ------------------------------------------------------------ progress

    def _handle(self, generation: Generation, event: StreamEvent) -> None:
        match event:
            case TextReceived():
                self._report_first_text(generation)
                generation.maybe_accepted = True
                generation.breaks_without_progress = 0
                generation.text.append(event.text)
                self._text_arrived(generation.activity.run)
            case AnswerComplete():
                self._complete(generation, event.answer)
            case StreamBroken():
                self._broken(generation, event)

    def _report_first_text(self, generation: Generation) -> None:
        """Report the first text of an answer to the scheduler: the prefill has ended."""
        if not generation.answer_started:
            self._engines.text_received(generation.call_id)
        self._release_cache_hold(generation)

    def _release_cache_hold(self, generation: Generation) -> None:
        """Release the cache hold of the run tree's context when the answer starts."""
        if not generation.answer_started:
            generation.answer_started = True
            self._cache.end_hold(generation.engine, root_run_id(generation.activity.run))

    def _complete(self, generation: Generation, answer: ModelAnswer) -> None:
        # Tool requests arrive as a single event at the end and do not mark the prefill's end.
        self._release_cache_hold(generation)
        self._report_end(generation, answer.usage, ok=True)
        if generation.limited_by_budget and answer.finish_reason == LENGTH_REASON:
            error = budget_exhausted("tokens", self._token_budget(generation.activity))
            error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
            self._finish_failed(generation.activity, error, answer.usage)
            return
        number = generation.text.number
        message = ChatMessage(
            role=Role.ASSISTANT,
            content=answer.text,
            tool_requests=with_unique_identities(number, answer.tool_requests),
            tokens=answer.usage.completion_tokens,
        )
        outcome = CallOutcome(status=CallStatus.SUCCEEDED, usage=answer.usage, message=message)
        self._avoid.pop(generation.activity.run, None)
        self._core.finish_call(generation.activity, outcome)

    def _token_budget(self, activity: Activity) -> int:
        run = self._core.find(activity.shard, activity.run)
        return self._core.root_of(activity.shard, run).spec.budget.tokens if run is not None else 0

    def _broken(self, generation: Generation, event: StreamBroken) -> None:
        """Handle a broken stream.

        The attempt ends if the engine did not accept the call, if it no longer has the generation,
        or after too many connections without new text. Otherwise the stream is resumed over a
        new connection.
        """
        generation.connection = None
        not_run = event.refused or event.error.execution is Execution.NOT_RUN
        if not_run and not generation.maybe_accepted:
            self._refused(generation, event.error)
            return
        generation.maybe_accepted = True
        generation.breaks_without_progress += 1
        if event.lost or generation.breaks_without_progress > MAX_RESUMES_WITHOUT_PROGRESS:
            self._lost(generation, event.error)
            return
        delay = RESUME_DELAY_SECONDS * generation.breaks_without_progress
        self._core.call_later(generation.activity, delay, lambda: self._resume(generation))

    def _resume(self, generation: Generation) -> None:
        self._core.context.counters["yokeline_stream_resumes_total"] += 1
        generation.connection = self._client.resume(
            generation.address, generation.call_id, generation.stream
        )

    def _refused(self, generation: Generation, error: YokelineError) -> None:
        """End an attempt that the engine did not accept."""
        self._queue.engine_refused(generation.engine, error.retry_after or 0.0)
        self._report_end(generation, Usage(), ok=False)
        self._finish_failed_at_engine(generation, error, Usage())

    def _lost(self, generation: Generation, error: YokelineError) -> None:
        """End an attempt that the engine may have executed but whose output cannot be read."""
        usage = generation.usage_if_lost()
        self._report_end(generation, usage, ok=False)
        self._cancel_at_engine(generation)
        error = msgspec.structs.replace(error, execution=Execution.UNKNOWN)
        self._finish_failed_at_engine(generation, error, usage)

    def _finish_failed_at_engine(
        self, generation: Generation, error: YokelineError, usage: Usage
    ) -> None:
        run = generation.activity.run
        self._avoid[run] = (*self._avoid.get(run, ()), generation.engine)
        self._finish_failed(generation.activity, error, usage)

    def _finish_failed(self, activity: Activity, error: YokelineError, usage: Usage) -> None:
        outcome = CallOutcome(status=CallStatus.FAILED, usage=usage, error=error)
        self._core.finish_call(activity, outcome)

    def _report_end(self, generation: Generation, usage: Usage, *, ok: bool) -> None:
        self._engines.call_ended(
            generation.call_id,
            prompt_tokens=usage.prompt_tokens,
            cached_tokens=usage.cached_tokens,
            completion_tokens=usage.completion_tokens,
            ok=ok,
        )
        self._queue.pump_soon()

    # ------------------------------------------------------------ cancellation

    def end_at_deadline(self, activity: Activity, record: CallRecord, error: YokelineError) -> None:
        """Cancel a call at its engine when its run reaches its deadline; end it with ``error``."""
        activity.cancel()
        self._finish_failed(activity, error, budget.usage_of_reservation(record.reserved))

    def discard_run_state(self, run: RunId) -> None:
        """Discard the state kept for a run."""
        self._avoid.pop(run, None)

    def _cancel(self, generation: Generation) -> None:
        self._report_end(generation, Usage(), ok=False)
        self._cancel_at_engine(generation)

    def _cancel_at_engine(self, generation: Generation) -> None:
        self._close_connection(generation)
        self._client.cancel(generation.address, generation.call_id, _ignore)

    def _detach(self, generation: Generation) -> None:
        """Stop reading a generation, which continues at the engine for the next leader."""
        self._report_end(generation, Usage(), ok=False)
        self._close_connection(generation)

    def _close_connection(self, generation: Generation) -> None:
        generation.stream.close()
        if generation.connection is not None:
            self._core.context.cancel_http(generation.connection)
            generation.connection = None


def _ignore(_result: Result[Accepted, YokelineError]) -> None:
    """Ignore the result: cancellation at an engine is best effort."""
