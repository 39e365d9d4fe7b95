"""Reserves a turn's budget and fetches its history before the turn is sent.

The leader is asked for the reservation, and at the same time another replica for texts that are not
cached. If the replica does not have them, the leader sends them with a repetition of the same
reservation.
"""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import Effect
from yokeline.forwarding.exchange import Exchange, HistorySource, Phase, StreamOrigin
from yokeline.forwarding.http_statuses import NOT_FOUND, PAYMENT_REQUIRED, UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outage_delays import delay_after_outage, delay_before_new_stream
from yokeline.forwarding.regional_turns import RegionalTurns
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.stream_versions import (
    LOOKUP_RETRY_SECONDS,
    STREAM_VERSION_UNKNOWN,
    StreamVersions,
)
from yokeline.forwarding.tenant_limits import LEDGER_TIMEOUT_SECONDS, TenantLimits
from yokeline.forwarding.turn_cache import TurnCache
from yokeline.forwarding.turn_operations import (
    needs_ledger,
    reservation_of,
    reservation_tells_losses,
)
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.history_fetches import HistoryFetches
from yokeline.ledger.operations import (
    BudgetSpent,
    Granted,
    KeptTurn,
    NoRoom,
    NoSuchTurn,
    Operation,
    OperationResult,
    QuotaSpent,
)
from yokeline.losses.engine_losses import EngineLosses

LOOKUP_TIMEOUT_SECONDS = 0.4
"""Time for which a request waits for the ledger that needs it only to resume a stream."""
HISTORY_RETRY_AFTER_SECONDS = 0.1
"""Time after which callers may retry if the history is incomplete."""


class Reservations:
    """Reserves turns in the ledger; no turn is sent to an engine before its reservation."""

    def __init__(
        self,
        state: NodeState,
        ledger: LedgerClient,
        histories: HistoryFetches,
        responder: Responder,
        turn_cache: TurnCache,
        regional_turns: RegionalTurns,
        limits: TenantLimits,
        streams: StreamVersions,
        losses: EngineLosses,
        on_granted: Callable[[Exchange], None],
        has_room: Callable[[int], bool],
    ) -> None:
        """Call ``on_granted`` with each turn whose reservation and history are complete.

        ``has_room`` says whether this node has memory for a body of some bytes.
        """
        self._has_room = has_room
        self._state = state
        self._ledger = ledger
        self._histories = histories
        self._responder = responder
        self._turn_cache = turn_cache
        self._regional_turns = regional_turns
        self._limits = limits
        self._streams = streams
        self._losses = losses
        self._on_granted = on_granted

    def reserve(self, exchange: Exchange) -> None:
        """Ask the ledger for a turn's budget, and for its history where it is not cached."""
        exchange.phase = Phase.RESERVING
        missing_from = self._turn_cache.missing_from(exchange.names.previous_turn)
        if missing_from and self._fetch_history(exchange, missing_from):
            exchange.history_source = HistorySource.FETCHING
            missing_from = ""
        elif missing_from:
            exchange.history_source = HistorySource.LEADER
        exchange.ledger_operation = reservation_of(exchange, missing_from)
        self._ask(exchange, exchange.ledger_operation)

    def _ask(self, exchange: Exchange, operation: Operation) -> None:
        def reserved(result: OperationResult | None, now: float) -> list[Effect]:
            self._state.now = now
            self._handle_result(exchange, result)
            return self._state.outcomes.drain_effects()

        now = self._state.now
        timeout = LEDGER_TIMEOUT_SECONDS if needs_ledger(exchange) else LOOKUP_TIMEOUT_SECONDS
        give_up_at = min(exchange.deadline, now + timeout)
        effects = self._ledger.ask(
            operation,
            reserved,
            now,
            give_up_at,
            may_relay_texts=exchange.allowed_regions is None,
        )
        self._state.outcomes.effects.extend(effects)

    def _fetch_history(self, exchange: Exchange, missing_from: str) -> bool:
        """Query a replica for the texts; return whether there is a replica to query."""

        def fetched(turns: tuple[KeptTurn, ...], now: float) -> list[Effect]:
            self._state.now = now
            self._handle_history(exchange, turns)
            return self._state.outcomes.drain_effects()

        known = self._turn_cache.latest_complete(exchange.names.session)
        leader = self._ledger.leader
        effects = self._histories.fetch(missing_from, known, leader, fetched, self._state.now)
        self._state.outcomes.effects.extend(effects or [])
        return effects is not None

    def _handle_history(self, exchange: Exchange, turns: tuple[KeptTurn, ...]) -> None:
        """Cache a replica's texts, and proceed if the reservation is granted."""
        for turn in turns:
            self._turn_cache.put(turn)
        if exchange.phase is not Phase.RESERVING:
            return
        missing_from = self._turn_cache.missing_from(exchange.names.previous_turn)
        exchange.history_source = HistorySource.LEADER if missing_from else HistorySource.REPLICA
        if not exchange.granted_at or exchange.stream_origin is StreamOrigin.ASKED:
            return
        if missing_from:
            self._ask_leader_for_history(exchange, missing_from)
        else:
            self._proceed(exchange)

    def _ask_leader_for_history(self, exchange: Exchange, missing_from: str) -> None:
        """Repeat the granted reservation to get the texts from the leader."""
        exchange.asked_leader_for_history = True
        self._ask(exchange, reservation_of(exchange, missing_from))

    def _handle_result(self, exchange: Exchange, result: OperationResult | None) -> None:
        """Proceed with a granted reservation, or refuse the turn.

        Without an answer the reservation may exist; it is released, so that a turn that did not run
        is not counted.
        """
        if exchange.phase is not Phase.RESERVING:
            return
        operation, exchange.ledger_operation = exchange.ledger_operation, None
        if isinstance(result, Granted):
            exchange.has_reservation = exchange.call.budget is not None
            exchange.granted_at = exchange.granted_at or self._state.now
            exchange.spent_tokens = result.spent
            exchange.cached_context = result.context
            for turn in result.turns:
                self._turn_cache.put(turn)
            self._losses.apply_recorded(result)
            exchange.knows_losses = reservation_tells_losses(exchange)
            self._streams.resolve_by_record(exchange, result)
            self._continue_granted(exchange)
        elif isinstance(result, BudgetSpent):
            self._responder.refuse(exchange, PAYMENT_REQUIRED, "budget_spent", spent=result.spent)
        elif isinstance(result, QuotaSpent) and not result.is_empty:
            self._limits.refuse_program(exchange, result)
        elif isinstance(result, QuotaSpent):
            self._limits.handle_quota_spent(
                exchange, result, lambda item: self._ask_again(item, operation)
            )
        elif isinstance(result, NoRoom):
            self._responder.refuse(
                exchange, UNAVAILABLE, "no_room_for_turn", retry_after=result.retry_after
            )
        elif isinstance(result, NoSuchTurn):
            self._responder.refuse(
                exchange, NOT_FOUND, "no_such_turn", turn=exchange.call.previous_turn
            )
        elif not needs_ledger(exchange):
            self._streams.resolve_by_record(exchange, None)
            self._continue_granted(exchange)
        else:
            exchange.has_reservation = exchange.call.budget is not None
            self._responder.refuse(
                exchange,
                UNAVAILABLE,
                "ledger_unavailable",
                retry_after=delay_after_outage(exchange, self._state.now),
            )

    def _ask_again(self, exchange: Exchange, operation: Operation | None) -> None:
        """Repeat a reservation after a wait for the tenant's limit."""
        if operation is not None:
            exchange.ledger_operation = operation
            self._ask(exchange, operation)

    def _continue_granted(self, exchange: Exchange) -> None:
        """Go on once the version of a resumed stream is known; refuse it if it cannot be."""
        if exchange.stream_origin is StreamOrigin.ASKED:
            due = self._state.now + LOOKUP_RETRY_SECONDS
            self._state.schedule(exchange, due, self._look_up_stream_again)
        elif exchange.stream_origin is StreamOrigin.UNKNOWN:
            self.refuse_unknown_stream(exchange)
        else:
            self._add_history(exchange)

    def _look_up_stream_again(self, exchange: Exchange) -> None:
        """Repeat a granted reservation, since the record of the stream may have arrived."""
        if exchange.phase is not Phase.RESERVING:
            return
        exchange.ledger_operation = reservation_of(exchange, "")
        self._ask(exchange, exchange.ledger_operation)

    def refuse_unknown_stream(self, exchange: Exchange) -> None:
        """Refuse to continue a stream of which it is not known which version began it."""
        self._responder.refuse(
            exchange,
            UNAVAILABLE,
            STREAM_VERSION_UNKNOWN,
            retry_after=delay_before_new_stream(exchange, self._state.now),
            resumes=exchange.call.resumes,
        )

    def _add_history(self, exchange: Exchange) -> None:
        missing_from = self._turn_cache.missing_from(exchange.names.previous_turn)
        if not missing_from:
            self._proceed(exchange)
        elif (
            exchange.history_source is HistorySource.LEADER
            and not exchange.asked_leader_for_history
        ):
            self._ask_leader_for_history(exchange, missing_from)
        elif exchange.history_source is not HistorySource.FETCHING:
            self._responder.refuse(
                exchange,
                UNAVAILABLE,
                "history_incomplete",
                retry_after=HISTORY_RETRY_AFTER_SECONDS,
            )

    def _proceed(self, exchange: Exchange) -> None:
        """Read the regional texts of a chain that is cached, and go on."""
        self._regional_turns.read(exchange, self._handle_whole_history)

    def _handle_whole_history(
        self, exchange: Exchange, history: bytes | None, refusal: str
    ) -> None:
        if history is None:
            self._responder.refuse(
                exchange,
                UNAVAILABLE,
                refusal,
                retry_after=HISTORY_RETRY_AFTER_SECONDS,
                regions=" ".join(sorted(exchange.allowed_regions or ())),
            )
            return
        if history and not self._has_room(len(history) + len(exchange.incoming.body)):
            self._responder.refuse(
                exchange,
                UNAVAILABLE,
                "no_room_for_history",
                retry_after=HISTORY_RETRY_AFTER_SECONDS,
                history_bytes=len(history),
            )
            return
        previous = exchange.names.previous_turn
        if previous:
            self._turn_cache.set_latest(exchange.names.session, previous)
        exchange.body = history + exchange.incoming.body
        self._on_granted(exchange)
