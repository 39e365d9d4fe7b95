"""Asks a back end, by idempotency key, what became of a call that may not be repeated."""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.backends.keyed import LookupAnswer, LookupStatus
from yokeline.errors import ErrorKind, Execution, YokelineError
from yokeline.runs.core import ExecutorCore
from yokeline.runs.keyed_requests import Content, KeyedCall, KeyedSender, content_of

LOOKUP_PAUSE_SECONDS = 0.25
LOOKUP_PATIENCE_SECONDS = 10.0
"""Time beyond a back end's own limit for which its outcome is asked for."""

Outcome = Content | str
"""What the back end says, or why its outcome stays unknown."""


class OutcomeLookups:
    """Repeats the question until the outcome is known or the patience is over."""

    def __init__(
        self,
        core: ExecutorCore,
        sender: KeyedSender,
        looked_up: Callable[[KeyedCall, Outcome], None],
    ) -> None:
        """Create it; ``looked_up`` gets each call's outcome once."""
        self._core = core
        self._sender = sender
        self._looked_up = looked_up

    def begin(self, request: KeyedCall) -> None:
        """Begin to ask."""
        patience = request.target.timeout + LOOKUP_PATIENCE_SECONDS
        request.lookups_until = self._core.context.now + patience
        self._ask(request)

    def _ask(self, request: KeyedCall) -> None:
        self._core.context.counters["yokeline_lookups_total"] += 1

        def done(result: Result[LookupAnswer, YokelineError]) -> None:
            if self._core.is_current(request.activity):
                request.connection = None
                self._answered(request, result)

        request.connection = self._sender.look_up(request, done)

    def _answered(self, request: KeyedCall, result: Result[LookupAnswer, YokelineError]) -> None:
        if isinstance(result, Failure):
            self._ask_again(request, result.failure().message)
            return
        answer = result.unwrap()
        if answer.status is LookupStatus.DONE:
            self._looked_up(request, content_of(request.target, bytes(answer.response)))
        elif answer.status is LookupStatus.NOT_SEEN and answer.fenced:
            self._looked_up(request, Failure(not_applied(request.record.backend)))
        else:
            self._ask_again(request, f"the back end says {answer.status.value}")

    def _ask_again(self, request: KeyedCall, cause: str) -> None:
        if self._core.context.now >= request.lookups_until:
            self._looked_up(request, cause)
            return
        self._core.call_later(request.activity, LOOKUP_PAUSE_SECONDS, lambda: self._ask(request))


def not_applied(backend: str) -> YokelineError:
    """Return the error for a call that a fenced back end surely did not carry out."""
    return YokelineError(
        kind=ErrorKind.BACKEND_FAILED,
        message=f"{backend} did not carry out the request and never will",
        remedy="send it again under a new idempotency key",
        execution=Execution.NOT_RUN,
        retry_after=0.0,
    )
