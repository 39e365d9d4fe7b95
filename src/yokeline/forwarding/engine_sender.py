"""Sends requests to engines and cancels them, and reports both to the ledger's leader."""

from __future__ import annotations

import itertools

from yokeline.effects import HttpCancel
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.engine_choice import EngineChoice
from yokeline.forwarding.engine_request import build_engine_request
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outcome_recorder import LogField
from yokeline.forwarding.settlements import Settlements
from yokeline.identifiers import RequestId
from yokeline.scheduling.engine_model import NO_PACE, ObservedPace


class EngineSender:
    """Sends requests to the engines chosen for them."""

    def __init__(self, state: NodeState, settlements: Settlements, dialect: Dialect) -> None:
        """Encode requests with ``dialect``."""
        self._state = state
        self._settlements = settlements
        self._dialect = dialect
        self._request_numbers = itertools.count(1)

    def send(self, exchange: Exchange, choice: EngineChoice) -> None:
        """Send a request to the chosen engine."""
        state, engine = self._state, choice.state
        exchange.phase = Phase.SENT
        exchange.engine = engine
        exchange.is_version_uncertain = False
        exchange.engine_framing = None
        if exchange.first_event_at is None:
            exchange.response_head = None
        exchange.sends += 1
        if not engine.is_preferred:
            state.outcomes.counters["yokeline_forwarding_sends_beyond_subset_total"] += 1
        exchange.attempts.record_send(engine.engine.engine_id)
        exchange.sent_at = state.now
        exchange.last_event_at = state.now
        exchange.load_when_sent = choice.load
        exchange.predicted_seconds = choice.predicted_seconds
        exchange.uncached_tokens = max(0, exchange.call.prompt_tokens - choice.cached_tokens)
        exchange.engine_request_id = RequestId(f"call/{next(self._request_numbers)}")
        state.by_engine_request[exchange.engine_request_id] = exchange
        state.engines.record_sent(engine)
        state.eligibility.record_send(engine.engine.engine_id, state.now)
        self._settlements.report_send(exchange, engine)
        state.placement.record_send(exchange, choice, state.pool_of(exchange), state.now)
        state.fair_shares.record_served(exchange, state.now)
        if exchange.sends == 1:
            state.added_seconds.observe(state.now - exchange.arrived_at)
        self._log_choice(exchange, choice)
        state.outcomes.effects.append(
            build_engine_request(
                exchange, exchange.engine_request_id, engine, self._dialect, state.now
            )
        )

    def release(
        self,
        exchange: Exchange,
        *,
        failed: bool = False,
        cancelled: bool = False,
        pace: ObservedPace = NO_PACE,
    ) -> None:
        """Record that a request has left its engine, and the pace observed there."""
        if exchange.engine_request_id is not None:
            self._state.by_engine_request.pop(exchange.engine_request_id, None)
            exchange.engine_request_id = None
        self._state.placement.record_release(exchange)
        if exchange.engine is not None:
            connection_kept = not (failed or cancelled)
            self._state.engines.record_released(
                exchange.engine, self._state.now, connection_kept=connection_kept
            )
            self._settlements.report_release(exchange, exchange.engine, failed=failed, pace=pace)

    def cancel(self, exchange: Exchange, *, failed: bool = False) -> None:
        """Cancel a request at its engine."""
        if exchange.engine_request_id is not None:
            self._state.outcomes.effects.append(HttpCancel(exchange.engine_request_id))
        self.release(exchange, failed=failed, cancelled=True)

    def _log_choice(self, exchange: Exchange, choice: EngineChoice) -> None:
        fields: dict[str, LogField] = {
            "engine": choice.state.engine.engine_id,
            "cost": round(choice.cost, 4),
            "load": choice.load,
            "prompt": exchange.call.prompt_tokens,
            "cached": choice.cached_tokens,
            "predicted": round(choice.predicted_seconds, 4),
            "history": exchange.history_source.value,
            "reserving": _seconds_to_grant(exchange),
            "waited": round(self._state.now - exchange.waiting_since, 4),
            "send": exchange.sends,
        }
        if exchange.route.is_resumable_stream:
            fields["version"] = choice.state.engine.version
            fields["after_event"] = exchange.last_event_id
            if exchange.route.retain:
                fields["kept_events"] = len(exchange.kept_events)
        if exchange.allowed_regions is not None:
            fields["region"] = self._count_region(exchange, choice)
        for cause, count in choice.left_out.items():
            fields[f"left_out_{cause.value}"] = count
            name = f'yokeline_forwarding_sends_restricted_total{{cause="{cause.value}"}}'
            self._state.outcomes.counters[name] += 1
        self._state.outcomes.log("engine_chosen", exchange, "info", **fields)

    def _count_region(self, exchange: Exchange, choice: EngineChoice) -> str:
        """Count a restricted request by the region that serves it; return the region."""
        region = self._state.residency.restriction.region_of(choice.state.engine.zone)
        labels = f'route="{exchange.route.name}",region="{region}"'
        name = f"yokeline_forwarding_restricted_sends_total{{{labels}}}"
        self._state.outcomes.counters[name] += 1
        return region


def _seconds_to_grant(exchange: Exchange) -> float:
    """Return the time until the ledger granted the reservation; 0 without a reservation."""
    return round(exchange.granted_at - exchange.arrived_at, 4) if exchange.granted_at else 0.0
