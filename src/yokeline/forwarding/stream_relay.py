"""Relays event streams: starts at the first event, detects silence, ends once the turn is kept."""

from __future__ import annotations

from yokeline.effects import (
    HttpFailed,
    HttpStreamData,
    HttpStreamEnded,
    HttpStreamItem,
    HttpStreamStart,
)
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.engine_sender import EngineSender
from yokeline.forwarding.exchange import Exchange, Phase, framing_label
from yokeline.forwarding.http_helpers import is_after
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.regional_turns import RegionalTurns
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.retries import RetryHandler
from yokeline.forwarding.settlements import Settlements
from yokeline.forwarding.stream_beginnings import StreamBeginnings
from yokeline.forwarding.stream_versions import StreamVersions
from yokeline.forwarding.turn_cache import TurnCache, event_data
from yokeline.ledger.messages import StreamEvent
from yokeline.ledger.operations import OperationResult
from yokeline.losses.engine_losses import EngineLosses

MAX_EVENT_GAP_SECONDS = 0.9
"""Silence after which a resumable stream is cancelled at its engine."""
MIN_SILENCE_CHECK_SECONDS = 0.05
"""Least time until the next check for silence."""
MISSING_EVENT_REASON = "the body ended before an event that the stream has"


class StreamRelay:
    """Relays streams from engines to callers."""

    def __init__(
        self,
        state: NodeState,
        sender: EngineSender,
        settlements: Settlements,
        responder: Responder,
        retries: RetryHandler,
        turn_cache: TurnCache,
        regional_turns: RegionalTurns,
        streams: StreamVersions,
        beginnings: StreamBeginnings,
        losses: EngineLosses,
        dialect: Dialect,
    ) -> None:
        """Store completed turns in ``turn_cache`` as well as in the ledger."""
        self._state = state
        self._sender = sender
        self._settlements = settlements
        self._responder = responder
        self._retries = retries
        self._turn_cache = turn_cache
        self._regional_turns = regional_turns
        self._streams = streams
        self._beginnings = beginnings
        self._losses = losses
        self._dialect = dialect

    def relay_event(self, exchange: Exchange, item: HttpStreamItem) -> None:
        """Relay an event that the caller does not have."""
        if not item.is_event:
            self._relay_filler(exchange, item)
            return
        if exchange.phase is Phase.SENT:
            self._start_response(exchange)
        if exchange.phase is not Phase.STREAMING:
            return
        exchange.last_event_at = self._state.now
        if not is_after(item.event_id, exchange.last_event_id):
            return
        exchange.last_event_id = item.event_id or exchange.last_event_id
        exchange.relayed_events += 1
        exchange.has_unfinished_event = False
        if exchange.route.retain:
            # Before the caller has it, so that no event is missed when it resumes the stream.
            self._beginnings.record(exchange, StreamEvent(item.event_id, event_data(item.data)))
        self._state.outcomes.effects.append(HttpStreamData(exchange.exchange_id, item.data))

    def _relay_filler(self, exchange: Exchange, item: HttpStreamItem) -> None:
        """Relay bytes that are no event, and begin no answer."""
        if exchange.phase is Phase.STREAMING:
            self._state.outcomes.effects.append(HttpStreamData(exchange.exchange_id, item.data))

    def finish(self, exchange: Exchange, ended: HttpStreamEnded) -> None:
        """Relay the end of a stream; a turn to be kept is kept first.

        A stream that lacks an event was broken off, although its body ended in the orderly way.
        """
        if exchange.lacks_event:
            failure = HttpFailed(
                request=ended.request, sent=True, reason=MISSING_EVENT_REASON, is_truncated=True
            )
            self._retries.handle_failure(exchange, failure)
            return
        engine = exchange.engine
        self._state.outcomes.count_stream_end(framing_label(exchange), "whole")
        pace = self._state.placement.record_turn(exchange, self._state.now)
        self._sender.release(exchange, pace=pace)
        if engine is not None:
            engine.record_success(self._state.now)
        self._losses.record_answered(exchange)
        if exchange.phase is Phase.SENT:
            self._start_response(exchange)
        exchange.is_complete = True
        self._record_prediction_error(exchange)
        if not exchange.route.retain:
            self._settlements.settle(exchange, self._settlements.tokens_of(exchange))
            self._responder.finish_stream(exchange)
            return
        exchange.phase = Phase.KEEPING
        if self._state.residency.must_keep_regionally(exchange):
            self._regional_turns.keep(exchange, self._handle_kept)
        else:
            self._settlements.settle_and_keep(exchange, self._handle_kept)

    def _start_response(self, exchange: Exchange) -> None:
        assert exchange.response_head is not None
        exchange.phase = Phase.STREAMING
        if exchange.first_event_at is not None:
            return
        exchange.first_event_at = self._state.now
        if exchange.route.is_resumable_stream:
            self._streams.begin(exchange)
        self._state.first_event_seconds.observe(self._state.now - exchange.arrived_at)
        if exchange.route.is_retryable:
            self._schedule_silence_check(exchange)
        self._state.outcomes.effects.append(
            HttpStreamStart(
                exchange=exchange.exchange_id,
                status=exchange.response_head.status,
                headers=self._dialect.response_headers(exchange.response_head),
                last=self._state.outcomes.closes_connections,
            )
        )

    def _schedule_silence_check(self, exchange: Exchange) -> None:
        due = max(
            exchange.last_event_at + MAX_EVENT_GAP_SECONDS,
            self._state.now + MIN_SILENCE_CHECK_SECONDS,
        )
        self._state.schedule(exchange, due, self._check_silence)

    def _check_silence(self, exchange: Exchange) -> None:
        at_engine = exchange.phase is Phase.STREAMING and exchange.engine_request_id is not None
        may_fail_over = at_engine and not exchange.attempts.same_engine_retries
        if may_fail_over and self._state.now - exchange.last_event_at >= MAX_EVENT_GAP_SECONDS:
            self._retries.cancel_and_retry(exchange, "silent engine")
        if exchange.phase in (Phase.STREAMING, Phase.WAITING, Phase.SENT):
            self._schedule_silence_check(exchange)

    def _handle_kept(self, exchange: Exchange, result: OperationResult | None) -> None:
        if exchange.phase is not Phase.KEEPING:
            return
        if result is None:
            self._responder.fail(exchange, "turn_not_kept")
            return
        self._regional_turns.cache(exchange)
        self._beginnings.note_kept(exchange)
        self._turn_cache.set_latest(exchange.names.session, exchange.names.turn)
        self._responder.finish_stream(exchange)

    def _record_prediction_error(self, exchange: Exchange) -> None:
        """Record the relative error of the predicted duration."""
        measured = self._state.now - exchange.sent_at
        if exchange.predicted_seconds and measured > 0 and exchange.sends == 1:
            error = abs(measured - exchange.predicted_seconds) / measured
            self._state.prediction_error.observe(error)
