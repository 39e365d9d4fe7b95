"""Retries or ends requests that an engine rejected, failed or did not answer in time.

A non-retryable request is sent again only if its engine answered that it did not run the request,
or if no byte of it was sent. A retryable request is sent to other engines up to the limit of its
route, and after that back to the engine that had it last; otherwise it ends.
"""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import HttpFailed, HttpResponse
from yokeline.forwarding.call_timeouts import CallTimeouts, queue_rounds
from yokeline.forwarding.dispatcher import Dispatcher, ignore_exchange
from yokeline.forwarding.engine_rejections import (
    RejectionCause,
    RejectionClassifier,
    rejection_backoff,
)
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.exchange import Exchange, Phase, framing_label
from yokeline.forwarding.http_statuses import MISDIRECTED
from yokeline.forwarding.model import RouteKind
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.retry_budget import RetryBudget
from yokeline.identifiers import RequestId
from yokeline.losses.engine_losses import EngineLosses

MAX_REJECTIONS = 4
"""Engines that one request tries while all of them are full or unreachable."""
MAX_POSSIBLE_RUNS = 3
"""Engines that may run a retryable request, whatever its route allows."""
SAME_ENGINE_RETRY_DELAYS_SECONDS = (0.0, 0.05, 0.15)
"""Delays before a request is sent again to an engine that had it: at once, since often a single
connection has failed, and twice more within the 0.3 s that callers accept between events."""
ENDED_ENGINE_SECONDS = 0.1
"""Time after the end of an engine is noticed within which its connections show it too."""
MIN_RETRY_TIME_LEFT_SECONDS = 0.02
"""Least time left for a request to be sent again."""


def end_label(failure: HttpFailed) -> str:
    """Return how a failed response ended, for logs and metrics."""
    if failure.is_truncated:
        return "inside_event" if failure.unfinished_bytes else "without_event"
    return "silent" if failure.silent else "lost"


class RetryHandler:
    """Decides what follows when an engine did not serve a request.

    Attributes:
        on_rerun: Called with each request that is sent although it may have run; does nothing by
            default.
    """

    def __init__(
        self,
        state: NodeState,
        sender: EngineSender,
        dispatcher: Dispatcher,
        responder: Responder,
        losses: EngineLosses,
    ) -> None:
        """Observe the sends of ``dispatcher``; ``losses`` has the requests lost at engines."""
        self._state = state
        self._outcomes = state.outcomes
        self._sender = sender
        self._dispatcher = dispatcher
        self._responder = responder
        self._losses = losses
        self._retry_budget = RetryBudget()
        self._call_timeouts = CallTimeouts()
        self._rejections = RejectionClassifier()
        self.on_rerun: Callable[[Exchange], None] = ignore_exchange
        dispatcher.on_sent = self._handle_sent

    def may_use_another_engine(self, exchange: Exchange) -> bool:
        """Return whether the route and the retry budget allow another engine to run a request."""
        if exchange.attempts.are_exhausted or exchange.possible_runs >= MAX_POSSIBLE_RUNS:
            return False
        return self._may_retry(exchange)

    def retry(self, exchange: Exchange, reason: str) -> None:
        """Queue a request for another send."""
        self._retry_budget.withdraw()
        self._outcomes.counters["yokeline_forwarding_repeats_total"] += 1
        self._outcomes.log(
            "request_repeated",
            exchange,
            reason=reason,
            runs=exchange.possible_runs,
            after_event=exchange.last_event_id,
            framing=framing_label(exchange),
            back_to=exchange.attempts.latest_engine_id if exchange.attempts.are_exhausted else "",
            budget_left=round(self._retry_budget.balance, 1),
        )
        self._enqueue_after(exchange, self._retry_delay(exchange))

    def handle_rejection(self, exchange: Exchange, response: HttpResponse) -> None:
        """Send a rejected request to another engine, or refuse it after too many rejections."""
        engine = exchange.engine
        self._sender.release(exchange)
        exchange.rejections += 1
        self._outcomes.counters["yokeline_forwarding_rejections_total"] += 1
        if engine is None:
            self._dispatcher.refuse_for_capacity(exchange)
            return
        exchange.excluded_engine_ids.add(engine.engine.engine_id)
        exchange.rejecting_addresses.add(engine.engine.address)
        cause = self._classify_rejection(exchange, engine, response)
        is_exhausted = self._rejections.is_exhausted(exchange, self._state.now)
        if is_exhausted and exchange.rejected_by:
            self._rejections.record_rejected_by_all(exchange, self._state.now)
        if is_exhausted or exchange.rejections >= MAX_REJECTIONS:
            self._dispatcher.refuse_for_capacity(exchange)
            return
        delay = (
            rejection_backoff(exchange)
            if cause in (RejectionCause.UNDECIDED, RejectionCause.REQUEST)
            else 0.0
        )
        self._enqueue_after(exchange, delay)

    def _classify_rejection(
        self, exchange: Exchange, engine: EngineState, response: HttpResponse
    ) -> RejectionCause:
        """Attribute a rejection, and log the evidence."""
        is_misdirected = response.status == MISDIRECTED
        if is_misdirected:
            exchange.attempts.discard(engine.engine.engine_id)
            self._losses.engine_ended(engine.engine.engine_id, engine.engine.instance)
        load = engine.load
        cause = self._rejections.classify(
            exchange, engine, self._state.now, misdirected=is_misdirected
        )
        name = f'yokeline_forwarding_engine_refusals_total{{cause="{cause.value}"}}'
        self._outcomes.counters[name] += 1
        self._outcomes.log(
            "engine_rejected",
            exchange,
            engine=engine.engine.engine_id,
            status=response.status,
            rejections=exchange.rejections,
            cause=cause.value,
            load=load,
            slots=engine.engine.slots,
            free_refusals=len(exchange.rejected_by),
            caller_suspected=self._rejections.is_suspect(exchange, self._state.now),
        )
        return cause

    def record_accepted(self, exchange: Exchange) -> None:
        """Record that an engine accepted a request."""
        self._rejections.record_accepted(exchange, self._state.now)

    def handle_failure(self, exchange: Exchange, failure: HttpFailed) -> None:
        """Retry or end a request whose connection failed or was not established."""
        engine = exchange.engine
        self._log_connection_failure(exchange, failure)
        if failure.malformation:
            self._log_malformed(exchange, failure)
        if exchange.engine_framing is not None:
            self._outcomes.count_stream_end(framing_label(exchange), end_label(failure))
        if failure.unfinished_bytes:
            exchange.has_unfinished_event = True
        self._sender.release(exchange, failed=not failure.stale)
        if engine is not None:
            exchange.excluded_engine_ids.add(engine.engine.engine_id)
            if not failure.stale:
                engine.record_failure(self._state.now)
            if failure.sent:
                exchange.attempts.record_attempt(engine.engine.engine_id)
                self._losses.record(exchange)
        if not failure.sent:
            self._resend_unsent(exchange, failure)
            return
        if exchange.phase is Phase.SENT and exchange.response_head is None:
            exchange.possible_runs += 1
        self._retry_or_fail(exchange, failure.reason)

    def cancel_and_retry(self, exchange: Exchange, reason: str) -> None:
        """Cancel a stream at a silent engine and retry it; only its connection may have failed."""
        engine = exchange.engine
        if exchange.engine_framing is not None:
            self._outcomes.count_stream_end(framing_label(exchange), "cancelled")
        self._sender.cancel(exchange, failed=True)
        if engine is not None:
            engine_id = engine.engine.engine_id
            exchange.excluded_engine_ids.add(engine_id)
            engine.record_failure(self._state.now)
            exchange.attempts.record_attempt(engine_id)
            self._losses.record(exchange)
        self._retry_or_fail(exchange, reason)

    def abort_and_retry(self, exchange: Exchange, reason: str) -> None:
        """Cancel a request at an engine that is gone, and retry it; the engine may have run it."""
        if exchange.phase is Phase.SENT and exchange.response_head is None:
            exchange.possible_runs += 1
        self.cancel_and_retry(exchange, reason)

    def abort_at_ended_engine(self, engine_id: str) -> None:
        """Abort the requests at an engine that has ended and whose connections do not show it.

        The end of a process reaches its connections first, and so do answers that it has sent,
        unless the machine cannot be reached.
        """
        for exchange in list(self._state.by_engine_request.values()):
            if exchange.engine is None or exchange.engine.engine.engine_id != engine_id:
                continue
            sent_as, last_event_at = exchange.engine_request_id, exchange.last_event_at

            def abort(
                current: Exchange,
                sent_as: RequestId | None = sent_as,
                last_event_at: float = last_event_at,
            ) -> None:
                is_same = current.engine_request_id == sent_as
                if is_same and current.last_event_at == last_event_at:
                    self.abort_and_retry(current, "engine ended")

            due = self._state.now + ENDED_ENGINE_SECONDS
            self._state.schedule(exchange, due, abort)

    def record_answered(self, exchange: Exchange) -> None:
        """Record the duration of an answered call."""
        seconds = self._state.now - exchange.sent_at
        self._call_timeouts.record_answered(exchange.route.name, seconds)

    # ------------------------------------------------------------ helpers

    def _enqueue_after(self, exchange: Exchange, delay: float) -> None:
        """Queue a request after a delay."""
        if not delay:
            self._dispatcher.enqueue(exchange)
            return
        exchange.phase = Phase.WAITING
        exchange.engine = None
        self._state.schedule(exchange, self._state.now + delay, self._dispatcher.enqueue)

    def _log_connection_failure(self, exchange: Exchange, failure: HttpFailed) -> None:
        """Log what this node observed of a failed connection; the engine's state is unknown."""
        engine = exchange.engine
        self._outcomes.log(
            "engine_connection_failed",
            exchange,
            engine=engine.engine.engine_id if engine else "",
            reason=failure.reason,
            sent=failure.sent,
            silent=failure.silent,
            fresh=failure.fresh,
            at_engine=round(self._state.now - exchange.sent_at, 4),
            after_event=exchange.last_event_id,
            framing=framing_label(exchange),
            end=end_label(failure),
            unfinished_bytes=failure.unfinished_bytes,
            send=exchange.sends,
            may_run_at=" ".join(exchange.attempts.engine_ids),
            request_digest=self._losses.key_of(exchange).digest,
            attempts_allowed=exchange.route.max_attempts,
        )

    def _log_malformed(self, exchange: Exchange, failure: HttpFailed) -> None:
        """Log and count an answer that was malformed or beyond a limit."""
        name = f'yokeline_forwarding_answers_malformed_total{{part="{failure.malformation}"}}'
        self._outcomes.counters[name] += 1
        engine = exchange.engine
        self._outcomes.log(
            "engine_answer_malformed",
            exchange,
            level="warning",
            engine=engine.engine.engine_id if engine else "",
            part=failure.malformation,
            bytes=failure.received_bytes,
            reason=failure.reason,
        )

    def _may_retry(self, exchange: Exchange) -> bool:
        """Return whether the route, the time left and the retry budget allow another send."""
        if not exchange.route.is_retryable:
            return False
        return exchange.deadline - self._state.now > MIN_RETRY_TIME_LEFT_SECONDS and (
            self._retry_budget.allows_retry() or exchange.relayed_events > 0
        )

    def _may_retry_same_engine(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent once more to an engine that had it."""
        attempts = exchange.attempts
        if not attempts.are_exhausted or attempts.same_engine_retries >= len(
            SAME_ENGINE_RETRY_DELAYS_SECONDS
        ):
            return False
        return self._may_retry(exchange)

    def _retry_delay(self, exchange: Exchange) -> float:
        """Return the delay before the next send (seconds)."""
        attempts = exchange.attempts
        if not attempts.are_exhausted:
            return 0.0
        return SAME_ENGINE_RETRY_DELAYS_SECONDS[
            min(attempts.same_engine_retries, len(SAME_ENGINE_RETRY_DELAYS_SECONDS) - 1)
        ]

    def _retry_or_fail(self, exchange: Exchange, reason: str) -> None:
        if self.may_use_another_engine(exchange) or self._may_retry_same_engine(exchange):
            self.retry(exchange, reason)
        else:
            self._responder.fail(exchange, reason)

    def _resend_unsent(self, exchange: Exchange, failure: HttpFailed) -> None:
        if exchange.attempts.are_exhausted:
            # No other engine may run the request. Failing now lets the caller retry early.
            self._responder.fail(exchange, failure.reason)
            return
        exchange.rejections += 1
        if exchange.rejections >= MAX_REJECTIONS:
            self._dispatcher.refuse_for_capacity(exchange)
            return
        self._outcomes.log("send_not_made", exchange, reason=failure.reason)
        self._dispatcher.enqueue(exchange)

    def _handle_sent(self, exchange: Exchange) -> None:
        self._losses.record_sent(exchange)
        if exchange.sends == 1:
            self._retry_budget.deposit()
        if exchange.possible_runs or exchange.relayed_events:
            self.on_rerun(exchange)
        if exchange.route.kind is RouteKind.IDEMPOTENT:
            self._schedule_late_check(exchange)

    def _schedule_late_check(self, exchange: Exchange) -> None:
        """Schedule a check of whether the engine is late with a call."""
        timeout = self._call_timeout(exchange)
        if timeout is not None:
            due = self._state.now + timeout
            self._state.schedule(exchange, due, self._move_late_call)

    def _call_timeout(self, exchange: Exchange) -> float | None:
        """Return the timeout of a call at its engine; None if it is not known."""
        slots = exchange.engine.engine.slots if exchange.engine is not None else 1
        rounds_before = queue_rounds(exchange.load_when_sent, max(1, slots))
        return self._call_timeouts.timeout(exchange.route.name, exchange.sends, rounds_before)

    def _move_late_call(self, exchange: Exchange) -> None:
        """Cancel a call that exceeds its timeout, and retry it at another engine."""
        waited = self._state.now - exchange.sent_at
        timeout = self._call_timeout(exchange)
        is_late = timeout is not None and waited >= timeout
        if exchange.phase is not Phase.SENT or exchange.response_head is not None or not is_late:
            return
        self._call_timeouts.record_timeout(exchange.route.name, waited)
        engine = exchange.engine
        if engine is None:
            return
        engine_id = engine.engine.engine_id
        is_allowed = exchange.attempts.allow_another_after(
            engine_id
        ) and self.may_use_another_engine(exchange)
        if not is_allowed:
            return
        exchange.possible_runs += 1
        exchange.excluded_engine_ids.add(engine_id)
        exchange.attempts.record_attempt(engine_id)
        engine.record_outcome(self._state.now, failed=True)
        self._sender.cancel(exchange, failed=True)
        self._losses.record(exchange)
        self.retry(exchange, "late engine")
        self._dispatcher.dispatch(exchange.pool)
