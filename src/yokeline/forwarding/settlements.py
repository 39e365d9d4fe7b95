"""Reports turns to the ledger: the tokens generated, the turn to keep, and where turns run."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import Effect
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import RouteKind
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.turn_operations import kept_turn_of, needs_ledger, settlement_of
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.messages import PACE_UNIT_SECONDS, TurnServed
from yokeline.ledger.operations import KeptTurn, OperationResult, Reserve
from yokeline.scheduling.engine_model import ObservedPace

SETTLE_TIMEOUT_SECONDS = 5.0
"""Time for which a settlement is repeated; a reservation that is never settled counts in full."""

KeepCallback = Callable[[Exchange, OperationResult | None], None]
"""Called with the result of keeping a turn; None if the result is unknown."""


class Settlements:
    """Settles the turns of one node."""

    def __init__(self, state: NodeState, ledger: LedgerClient) -> None:
        """Send operations and reports through ``ledger``."""
        self._state = state
        self._ledger = ledger

    def settle(self, exchange: Exchange, tokens: int) -> None:
        """Replace a reservation, if there is one, by the tokens sent to the caller."""
        if not exchange.has_reservation:
            return
        exchange.has_reservation = False

        def settled(result: OperationResult | None, now: float) -> list[Effect]:
            self._state.now = now
            if result is None:
                self._state.outcomes.log(
                    "settlement_unknown", exchange, level="warning", tokens=tokens
                )
            return self._state.outcomes.drain_effects()

        give_up_at = self._state.now + SETTLE_TIMEOUT_SECONDS
        operation = settlement_of(exchange, tokens, None)
        self._emit(self._ledger.ask(operation, settled, self._state.now, give_up_at))

    def settle_and_keep(self, exchange: Exchange, on_kept: KeepCallback) -> None:
        """Settle a completed turn and have it kept; ``on_kept`` is called once."""
        turn: KeptTurn = kept_turn_of(exchange, exchange.kept_mark)
        exchange.has_reservation = False

        def settled(result: OperationResult | None, now: float) -> list[Effect]:
            self._state.now = now
            on_kept(exchange, result)
            return self._state.outcomes.drain_effects()

        operation = settlement_of(exchange, self.tokens_of(exchange), turn)
        self._emit(self._ledger.ask(operation, settled, self._state.now, exchange.deadline))

    def release_reservation(self, exchange: Exchange) -> None:
        """Stop waiting for the ledger, and settle a reservation that may exist with no tokens."""
        if exchange.ledger_operation is None:
            return
        self._ledger.forget(exchange.ledger_operation)
        if isinstance(exchange.ledger_operation, Reserve) and exchange.call.budget is not None:
            exchange.has_reservation = True
            self.settle(exchange, 0)

    def tokens_of(self, exchange: Exchange) -> int:
        """Return the number of tokens sent to the caller."""
        return exchange.relayed_events * exchange.tokens_per_event

    def report_send(self, exchange: Exchange, engine: EngineState) -> None:
        """Report a sent turn to the ledger's leader, which tracks the turns of all nodes.

        What its events count is noted now, since a later configuration may lack its pool.
        """
        traits = self._state.pool_of(exchange).model
        exchange.tokens_per_event = 1 if traits is None else traits.tokens_per_event
        if needs_ledger(exchange):
            self._ledger.turns.begin(exchange.names.operation, engine.engine.engine_id)

    def report_release(
        self, exchange: Exchange, engine: EngineState, *, failed: bool, pace: ObservedPace
    ) -> None:
        """Report to the ledger's leader that a request has left its engine, and how it was served.

        Failures of calls are reported too, so that all nodes avoid a failing app without each
        observing failures of its own.
        """
        engine_id = engine.engine.engine_id
        if needs_ledger(exchange):
            served = TurnServed(
                engine_id=engine_id,
                failed=failed,
                slowness=round(pace.slowness, 3),
                pace=round(pace.pace_seconds / PACE_UNIT_SECONDS),
            )
            self._ledger.turns.end(exchange.names.operation, served)
        elif exchange.route.kind is not RouteKind.STREAMING:
            self._ledger.turns.end_call(TurnServed(engine_id, failed, 0.0, is_call=True))

    def _emit(self, effects: list[Effect]) -> None:
        self._state.outcomes.effects.extend(effects)
