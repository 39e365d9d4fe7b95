"""Ends requests: responses, completed and aborted streams, failures and refusals."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import HttpReply, HttpResponse, HttpStreamEnd
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.exchange import Exchange, Phase, framing_label
from yokeline.forwarding.http_statuses import BAD_GATEWAY, GATEWAY_TIMEOUT, OK, SUCCESS
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import LogField
from yokeline.forwarding.settlements import Settlements


class Responder:
    """Sends the final answer of each request.

    Attributes:
        on_finished: Called with each request that has ended; does nothing by default.
    """

    def __init__(self, state: NodeState, settlements: Settlements, dialect: Dialect) -> None:
        """Settle the reservations of ended requests with ``settlements``."""
        self._state = state
        self._outcomes = state.outcomes
        self._settlements = settlements
        self._dialect = dialect
        self.on_finished: Callable[[Exchange], None] = _ignore_exchange

    def send_response(self, exchange: Exchange, response: HttpResponse) -> None:
        """Forward an engine's response; a stream that has begun cannot take one, and is aborted."""
        if exchange.first_event_at is not None:
            self.fail(exchange, f"status {response.status} in a resumed stream")
            return
        self._settlements.settle(exchange, 0)
        if response.status in SUCCESS:
            self._record_duration(exchange)
        self._outcomes.effects.append(
            HttpReply(
                exchange=exchange.exchange_id,
                status=response.status,
                headers=self._dialect.response_headers(response),
                body=response.body,
                last=self._outcomes.closes_connections,
            )
        )
        self.finish(exchange, "answered", status=response.status)

    def finish_stream(self, exchange: Exchange) -> None:
        """Forward the end of a complete stream."""
        self._record_duration(exchange)
        self._outcomes.effects.append(HttpStreamEnd(exchange=exchange.exchange_id))
        self.finish(
            exchange,
            "streamed",
            status=OK,
            events=exchange.relayed_events,
            predicted=round(exchange.predicted_seconds, 4),
            at_engine=round(exchange.last_event_at - exchange.sent_at, 4),
            keeping=round(self._state.now - exchange.last_event_at, 4),
            framing=framing_label(exchange),
            caller_framing=exchange.incoming.stream_framing.value,
        )

    def fail(self, exchange: Exchange, reason: str) -> None:
        """End a request with 502, or abort its stream; the request may have been executed."""
        self._settlements.settle(exchange, self._settlements.tokens_of(exchange))
        if exchange.first_event_at is not None:
            self._outcomes.effects.append(
                HttpStreamEnd(exchange=exchange.exchange_id, aborted=True)
            )
            self.finish(
                exchange,
                "cut",
                reason=reason,
                events=exchange.relayed_events,
                framing=framing_label(exchange),
                caller_framing=exchange.incoming.stream_framing.value,
                level="warning",
            )
            return
        self._outcomes.reply_error(
            exchange.exchange_id, exchange.call.request_id, BAD_GATEWAY, reason
        )
        self.finish(exchange, "failed", status=BAD_GATEWAY, reason=reason, level="warning")

    def time_out(self, exchange: Exchange) -> None:
        """End a request with 504 at its deadline; the request may have been executed."""
        if exchange.first_event_at is not None:
            self.fail(exchange, "deadline")
            return
        self._settlements.settle(exchange, 0)
        self._outcomes.reply_error(
            exchange.exchange_id, exchange.call.request_id, GATEWAY_TIMEOUT, "deadline"
        )
        self.finish(exchange, "timed_out", status=GATEWAY_TIMEOUT, level="warning")

    def abandon(self, exchange: Exchange) -> None:
        """End a request whose caller has disconnected."""
        self._settlements.settle(exchange, self._settlements.tokens_of(exchange))
        self.finish(exchange, "caller_gone", events=exchange.relayed_events)

    def refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: str,
        *,
        retry_after: float | None = None,
        **fields: LogField,
    ) -> None:
        """End a request that was not executed and will not be; abort a stream that has begun."""
        if exchange.first_event_at is not None:
            self.fail(exchange, reason)
            return
        self._settlements.settle(exchange, 0)
        self._outcomes.reply_error(
            exchange.exchange_id, exchange.call.request_id, status, reason, retry_after=retry_after
        )
        self._outcomes.count_refusal(status, reason)
        if self._state.fair_shares.is_held_back(exchange, self._state.now):
            self._outcomes.count_held_back(exchange.tenant)
            fields["share_level"] = self._state.fair_shares.levels.get(exchange.pool)
        self.finish(exchange, "refused", level="info", status=status, reason=reason, **fields)

    def _record_duration(self, exchange: Exchange) -> None:
        seconds = self._state.now - exchange.arrived_at
        self._state.route_durations.record(exchange.route.name, seconds)

    def finish(
        self, exchange: Exchange, outcome: str, *, level: str = "info", **fields: LogField
    ) -> None:
        """Drop a request with its timers, reservation and queue entry, and log it."""
        if exchange.phase is Phase.WAITING:
            self._state.fair_shares.record_unserved(exchange, self._state.now)
        exchange.phase = Phase.ENDED
        self._state.exchanges.pop(exchange.exchange_id, None)
        queue = self._state.waiting.get(exchange.pool)
        if queue is not None:
            queue.remove(exchange)
        self._settlements.release_reservation(exchange)
        self.on_finished(exchange)
        for timer in exchange.timers:
            timer.cancel()
        exchange.timers.clear()
        self._outcomes.count_request(outcome, fields.get("status"))
        self._outcomes.count_tenant(outcome, exchange.tenant)
        engine = exchange.engine.engine.engine_id if exchange.engine else ""
        if exchange.call.program_time_left is not None:
            time_left = exchange.call.program_time_left - (self._state.now - exchange.arrived_at)
            fields["program_left"] = round(time_left, 3)
        self._outcomes.log(
            "request_ended",
            exchange,
            level=level,
            outcome=outcome,
            engine=engine,
            sends=exchange.sends,
            runs=exchange.possible_runs,
            seconds=round(self._state.now - exchange.arrived_at, 4),
            **fields,
        )


def _ignore_exchange(exchange: Exchange) -> None:
    """Do nothing; the default callback."""
