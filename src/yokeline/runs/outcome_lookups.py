"""Looks up the outcome of a non-repeatable call at its back end, by idempotency key."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.backends.keyed import LookupAnswer, LookupStatus
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs.core import ExecutorCore
from yokeline.runs.keyed_requests import ContentResult, KeyedCall, KeyedSender, content_of

LOOKUP_INTERVAL_SECONDS = 0.25
LOOKUP_GRACE_SECONDS = 10.0
"""Time for lookups beyond the back end's own timeout."""

LookupOutcome = ContentResult | str
"""The outcome recorded at the back end; a text if it is still unknown, with the reason."""


class OutcomeLookups:
    """Repeats the lookup until the outcome is known or the lookup deadline passes."""

    def __init__(
        self,
        core: ExecutorCore,
        sender: KeyedSender,
        on_outcome: Callable[[KeyedCall, LookupOutcome], None],
    ) -> None:
        """Create the lookups; ``on_outcome`` is called once for each call."""
        self._core = core
        self._sender = sender
        self._on_outcome = on_outcome

    def begin(self, call: KeyedCall) -> None:
        """Start looking up the outcome of a call."""
        lookup_seconds = call.target.timeout + LOOKUP_GRACE_SECONDS
        call.lookup_deadline = self._core.context.now + lookup_seconds
        self._look_up(call)

    def _look_up(self, call: KeyedCall) -> None:
        self._core.context.counters["yokeline_lookups_total"] += 1

        def done(result: Result[LookupAnswer, YokelineError]) -> None:
            if self._core.is_current(call.activity):
                call.connection = None
                self._answered(call, result)

        call.connection = self._sender.look_up(call, done)

    def _answered(self, call: KeyedCall, result: Result[LookupAnswer, YokelineError]) -> None:
        if isinstance(result, Failure):
            self._retry(call, result.failure().message)
            return
        answer = result.unwrap()
        if answer.status is LookupStatus.DONE:
            self._on_outcome(call, content_of(call.target, bytes(answer.response)))
        elif answer.status is LookupStatus.NOT_SEEN and answer.fenced:
            self._on_outcome(call, Failure(not_executed(call.record.backend)))
        else:
            self._retry(call, f"the back end says {answer.status.value}")

    def _retry(self, call: KeyedCall, cause: str) -> None:
        if self._core.context.now >= call.lookup_deadline:
            self._on_outcome(call, cause)
            return
        self._core.call_later(call.activity, LOOKUP_INTERVAL_SECONDS, lambda: self._look_up(call))


def not_executed(backend: str) -> YokelineError:
    """Return the error for a call that a fenced back end has not executed and never will."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} did not carry out the request and never will",
        remedy="send it again under a new idempotency key",
        execution=Execution.NOT_RUN,
        retry_after=0.0,
    )
