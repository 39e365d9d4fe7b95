"""Ends requests that no engine ends: at a deadline, when a caller leaves, before the exit."""

from __future__ import annotations

import traceback

from yokeline.effects import Effect
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.exit_admission import STOPPING
from yokeline.forwarding.http_statuses import BAD_GATEWAY, UNAVAILABLE
from yokeline.forwarding.model import RouteKind
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.responder import Responder
from yokeline.losses.engine_losses import EngineLosses

DEADLINE_RETRY_AFTER_SECONDS = 0.1
MAX_OPEN_REQUEST_LINES = 100
"""Requests that are logged one by one when the process exits."""


class RequestEnds:
    """Ends the open requests of one node."""

    def __init__(
        self,
        state: NodeState,
        sender: EngineSender,
        responder: Responder,
        losses: EngineLosses,
    ) -> None:
        """Cancel requests with ``sender`` and answer them with ``responder``."""
        self._state = state
        self._outcomes = state.outcomes
        self._sender = sender
        self._responder = responder
        self._losses = losses

    def schedule_deadline(self, exchange: Exchange) -> None:
        """End a request at its deadline or the timeout of its route."""
        self._state.schedule(exchange, exchange.deadline, self._deadline_reached)

    def _deadline_reached(self, exchange: Exchange) -> None:
        try:
            if self._leave_engine(exchange):
                self._responder.time_out(exchange)
            elif not exchange.has_ended:
                self._responder.refuse(
                    exchange, UNAVAILABLE, "deadline", retry_after=DEADLINE_RETRY_AFTER_SECONDS
                )
        finally:
            # After a fault nothing else ends it; the process answers what is not known here.
            self._state.exchanges.pop(exchange.exchange_id, None)

    def answer_all(self) -> list[Effect]:
        """Give each open request its final answer, since the process is about to exit.

        A request that no engine can have run is refused, any other one fails, and a stream that
        has begun is aborted.
        """
        for exchange in list(self._state.exchanges.values()):
            try:
                self._answer_finally(exchange)
            except Exception:  # a fault at one request must not leave the others without an answer
                self._state.exchanges.pop(exchange.exchange_id, None)
                trace = traceback.format_exc()
                self._outcomes.log("final_answer_fault", exchange, level="error", trace=trace)
                self._outcomes.reply_error(
                    exchange.exchange_id, exchange.call.request_id, BAD_GATEWAY, STOPPING
                )
        return self._outcomes.drain_effects()

    def _answer_finally(self, exchange: Exchange) -> None:
        if self._leave_engine(exchange):
            self._responder.fail(exchange, STOPPING)
        elif not exchange.has_ended:
            self._responder.refuse(exchange, UNAVAILABLE, STOPPING, retry_after=0.0)

    def _leave_engine(self, exchange: Exchange) -> bool:
        """Cancel a request that is to end; return whether it is open and may have been run."""
        was_sent = exchange.engine_request_id is not None
        if was_sent:
            self._losses.leave(exchange)
            self._sender.cancel(exchange)
        may_have_run = was_sent or exchange.possible_runs or exchange.first_event_at is not None
        return bool(may_have_run) and not exchange.has_ended

    def abandon(self, exchange: Exchange) -> None:
        """Cancel the request of a disconnected caller; a non-retryable call runs to its end."""
        if exchange.engine_request_id is not None:
            if not exchange.route.is_retryable and exchange.route.kind is not RouteKind.STREAMING:
                return
            self._losses.leave(exchange)
            self._sender.cancel(exchange)
        if exchange.phase is Phase.KEEPING:
            return
        self._responder.abandon(exchange)

    def log_open_requests(self, event: str) -> list[Effect]:
        """Return a log line for each request without a final answer, up to a bound."""
        for exchange in list(self._state.exchanges.values())[:MAX_OPEN_REQUEST_LINES]:
            self._outcomes.log(
                event,
                exchange,
                level="warning",
                connection_exchange=exchange.exchange_id,
                phase=exchange.phase.value,
                engine=exchange.engine.engine.engine_id if exchange.engine else "",
                sends=exchange.sends,
                runs=exchange.possible_runs,
                events=exchange.relayed_events,
                seconds=round(self._state.now - exchange.arrived_at, 4),
                deadline_in=round(exchange.deadline - self._state.now, 4),
            )
        return self._outcomes.drain_effects()
