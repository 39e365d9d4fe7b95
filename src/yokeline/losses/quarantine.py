"""Decides before each send of a request with losses whether it may be sent to another engine.

A request under which :data:`~yokeline.losses.engine_fates.MAX_ENDED_ENGINES` engines have ended
is quarantined: no node sends it until its record expires. While an end is possible, a send is
claimed in the ledger first, and waits until other nodes have told of their attempts under way. One
that may have reached the bound waits until the engines it was lost at were asked for their state,
each over a new connection.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import msgspec

from yokeline.effects import Address, HttpFailed, HttpRequest, HttpResponse, LogRecord
from yokeline.forwarding.dialect import Dialect
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import MISDIRECTED, SUCCESS, UNAVAILABLE
from yokeline.forwarding.model import is_start_of
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.turn_operations import reservation_tells_losses
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.losses.engine_fates import (
    Loss,
    LossFate,
    Verdict,
    isolation_delay,
    spread_of,
)
from yokeline.losses.engine_losses import EngineLosses
from yokeline.losses.loss_keys import is_shared
from yokeline.losses.loss_synchronization import LossSynchronization
from yokeline.losses.request_losses import Judgement, RequestLosses

QUARANTINED = "engines_ended_under_request"
"""Refusal reason: as many engines as are allowed have ended under the request."""
FATES_UNKNOWN = "engine_fates_unknown"
"""Refusal reason: it is not known how many engines have ended under the request."""
LEDGER_WAIT_SECONDS = 0.25
"""Time for which a send waits for the losses in the ledger. After it, those decide that the node
knows from its own requests and from the reports of others."""
SYNCHRONIZATION_WAIT_SECONDS = 0.5
"""Time for which a send waits for the losses that other nodes know, at a node that starts or goes
on; longer than a report of another node takes to come."""
STATE_TIMEOUT_SECONDS = 0.25
FATES_RETRY_AFTER_SECONDS = 0.5
MIN_RETRY_AFTER_SECONDS = 1.0


class _WaitingSend(msgspec.Struct, kw_only=True, eq=False):
    """A request that is to be sent.

    Attributes:
        send: Queues the request.
        ledger_until: When it stops waiting for the ledger.
        has_asked_ledger: Whether its losses were looked up, or its send was claimed.
        states_until: When it stops waiting for the state of engines; None before they are asked.
        asked: Requests for the state of engines that have no answer.
    """

    exchange: Exchange
    send: Callable[[Exchange], None]
    ledger_until: float
    has_asked_ledger: bool = False
    states_until: float | None = None
    asked: set[RequestId] = msgspec.field(default_factory=set)


class _StateRequest(msgspec.Struct, frozen=True, eq=False):
    """A request for the state of the engine of a lost attempt, and the send that waits for it."""

    loss: Loss
    waiting: _WaitingSend


class Quarantine:
    """Permits the sends of one node."""

    def __init__(
        self,
        state: NodeState,
        losses: EngineLosses,
        synchronization: LossSynchronization,
        responder: Responder,
        dialect: Dialect,
    ) -> None:
        """Judge by ``losses``, and end requests with ``responder``."""
        self._state = state
        self._losses = losses
        self._synchronization = synchronization
        self._responder = responder
        self._dialect = dialect
        self._waiting: dict[ExchangeId, _WaitingSend] = {}
        self._asked: dict[RequestId, _StateRequest] = {}
        self._numbers = itertools.count(1)
        losses.on_answer = self._handle_ledger_answer
        losses.on_cleared = self._resume_cleared
        losses.on_synchronized = self._resume_all

    def permit(self, exchange: Exchange, send: Callable[[Exchange], None]) -> None:
        """Call ``send`` once the request may be sent, or end the request if it may not."""
        if exchange.loss_id and not self._losses.holds_claim(exchange):
            self._losses.close(exchange)
        if self._losses.find(exchange) is None and not self._may_be_recorded(exchange):
            send(exchange)
            return
        is_synchronizing = self._synchronization.is_waiting(self._state.now)
        seconds = SYNCHRONIZATION_WAIT_SECONDS if is_synchronizing else LEDGER_WAIT_SECONDS
        until = self._state.now + seconds
        waiting = _WaitingSend(exchange=exchange, send=send, ledger_until=until)
        self._judge(waiting)

    def is_still_permitted(self, exchange: Exchange) -> bool:
        """Return whether a claimed send may be made, after losses that became known meanwhile."""
        if not exchange.loss_id or exchange.attempts.are_exhausted:
            return True
        known = self._losses.find(exchange)
        if known is None:
            return True
        verdict = self._losses.judge(exchange, known).verdict
        return verdict in (Verdict.RUN, Verdict.ISOLATE)

    def _must_look_up(self, exchange: Exchange) -> bool:
        """Return whether the ledger may have losses of a request that nodes did not tell.

        Requests that strangers send and engines answer are not held up for one loss.
        """
        return not exchange.knows_losses and not self._losses.is_commonly_answered(exchange)

    def _may_be_recorded(self, exchange: Exchange) -> bool:
        """Return whether other nodes may have recorded losses of which this node was not told."""
        if reservation_tells_losses(exchange):
            return False
        if self._synchronization.is_waiting(self._state.now):
            return True
        hears_others = self._synchronization.hears_others(self._state.now)
        return bool(exchange.call.program) and not hears_others

    def owns(self, request: RequestId) -> bool:
        """Return whether a request asks an engine for its state."""
        return request in self._asked

    def handle_state(self, event: HttpResponse | HttpFailed) -> None:
        """Handle the answer of an engine that was asked for its state, or that there is none."""
        asked = self._asked.pop(event.request)
        self._record_state(asked.loss, event)
        asked.waiting.asked.discard(event.request)
        if not asked.waiting.asked:
            self._resume(asked.waiting)

    # ------------------------------------------------------------ judgement

    def _judge(self, waiting: _WaitingSend) -> None:
        exchange = waiting.exchange
        self._unpark(waiting)
        if exchange.phase is Phase.ENDED:
            return
        known = self._losses.find(exchange)
        if known is None:
            if self._may_be_recorded(exchange) and self._awaits_answer(waiting):
                self._park(waiting, waiting.ledger_until)
            else:
                exchange.loss_id = ""
                waiting.send(exchange)
            return
        judgement = self._losses.judge(exchange, known)
        exchange.prior_losses = judgement.generations
        is_return = exchange.attempts.are_exhausted
        is_unnamed = is_shared(self._losses.key_of(exchange).digest)
        if is_return and is_unnamed and judgement.verdict is not Verdict.QUARANTINE:
            # It can only go back to an engine that had it, and endangers no further one.
            waiting.send(exchange)
            return
        is_permitted = judgement.verdict in (Verdict.RUN, Verdict.ISOLATE)
        if is_permitted and judgement.needs_claim and not exchange.loss_id:
            waiting.has_asked_ledger = True
            self._losses.claim(exchange)
            judgement = self._losses.judge(exchange, known)
        has_lost = exchange.possible_runs > 0
        is_alone = is_unnamed and not self._synchronization.has_others()
        needs_answer = judgement.needs_claim or has_lost or self._must_look_up(exchange)
        needs_answer = needs_answer and not is_alone
        if needs_answer and self._awaits_answer(waiting):
            self._park(waiting, waiting.ledger_until)
        elif judgement.verdict is Verdict.QUARANTINE:
            self._refuse(exchange, known, judgement, QUARANTINED)
        elif judgement.verdict is Verdict.LOOK_UP:
            self._look_up_states(waiting, known, judgement)
        else:
            self._send_later(waiting, known, judgement)

    def _awaits_answer(self, waiting: _WaitingSend) -> bool:
        """Return whether the ledger may still answer what it knows of a request; ask it once."""
        if not waiting.has_asked_ledger and self._must_look_up(waiting.exchange):
            waiting.has_asked_ledger = True
            self._losses.look_up(waiting.exchange)
        key = self._losses.key_of(waiting.exchange)
        is_synchronizing = self._synchronization.is_waiting(self._state.now)
        is_due = is_synchronizing or self._losses.awaits_ledger(key)
        return is_due and self._state.now < waiting.ledger_until

    def _send_later(
        self, waiting: _WaitingSend, known: RequestLosses, judgement: Judgement
    ) -> None:
        """Send a request once all attempts are known that count with it."""
        exchange = waiting.exchange
        due = float("-inf")
        is_alone = not self._synchronization.has_others()
        if judgement.needs_claim and not is_alone and not exchange.attempts.are_exhausted:
            due = self._losses.news_due(exchange, known, judgement)
        if judgement.verdict is Verdict.ISOLATE:
            spread = spread_of(self._losses.key_of(exchange).digest)
            delay = isolation_delay(judgement.counted, spread, self._state.now)
            due = max(due, self._state.now + delay)
        if due > self._state.now:
            self._park(waiting, due)
            return
        exchange.is_isolated = exchange.is_isolated or judgement.verdict is Verdict.ISOLATE
        if judgement.needs_claim:
            self._log_permitted(exchange, judgement)
        waiting.send(exchange)

    def _log_permitted(self, exchange: Exchange, judgement: Judgement) -> None:
        self._state.outcomes.log(
            "suspect_permitted",
            exchange,
            request_digest=self._losses.key_of(exchange).digest,
            attempt=exchange.loss_id,
            ended=judgement.count(LossFate.ENDED),
            unknown=judgement.count(LossFate.UNKNOWN),
            under_way=judgement.count(LossFate.UNDER_WAY),
            is_isolated=exchange.is_isolated,
            is_informed=self._losses.is_informed(self._state.now),
            knows_recorded=exchange.knows_losses,
        )

    def _look_up_states(
        self, waiting: _WaitingSend, known: RequestLosses, judgement: Judgement
    ) -> None:
        """Ask the engines whose fate is not known for their state, once for each send.

        Attempts under way may be answered meanwhile, which clears the request.
        """
        if waiting.states_until is None:
            waiting.states_until = self._state.now + STATE_TIMEOUT_SECONDS
            asked: set[str] = set()
            for loss in judgement.counted:
                is_unknown = judgement.fates[loss.loss_id] is LossFate.UNKNOWN
                if is_unknown and loss.engine_id not in asked and self._ask_state(loss, waiting):
                    asked.add(loss.engine_id)
        may_change = waiting.asked or judgement.count(LossFate.UNDER_WAY)
        if may_change and self._state.now < waiting.states_until:
            self._park(waiting, waiting.states_until)
        else:
            self._refuse(waiting.exchange, known, judgement, FATES_UNKNOWN)

    def _ask_state(self, loss: Loss, waiting: _WaitingSend) -> bool:
        """Ask the engine of a lost attempt for its state; return whether its address is known."""
        state = self._state.engines.get(loss.engine_id)
        address = state.engine.address if state is not None else _read_address(loss.address)
        if address is None:
            return False
        request = RequestId(f"state/{next(self._numbers)}")
        waiting.asked.add(request)
        self._asked[request] = _StateRequest(loss, waiting)
        self._state.outcomes.counters["yokeline_forwarding_engine_state_requests_total"] += 1
        self._state.outcomes.effects.append(
            HttpRequest(
                request=request,
                address=address,
                method="GET",
                path=self._dialect.engine_state_path,
                headers={"host": str(address)},
                header_items=self._dialect.engine_state_headers(loss.instance),
                timeout=STATE_TIMEOUT_SECONDS,
            )
        )
        return True

    def _record_state(self, loss: Loss, event: HttpResponse | HttpFailed) -> None:
        """Record whether an engine runs on, if its answer shows it.

        Silence shows nothing of an engine that has an entry. One without an entry that does not
        answer either has ended. A part of an answer is an answer, so it shows no end.
        """
        is_listed = self._state.engines.get(loss.engine_id) is not None
        if isinstance(event, HttpFailed):
            is_silent = event.is_outage and not event.received_bytes
            has_ended = event.refused or (is_silent and not is_listed)
            fate = LossFate.ENDED if has_ended else LossFate.UNKNOWN
            reason = event.reason
        else:
            fate = self._fate_by_answer(loss, event)
            reason = f"status {event.status}"
        if self._losses.has_successor(loss.engine_id, loss.address):
            fate = LossFate.ENDED
        if fate is LossFate.ENDED:
            self._losses.confirm_end(loss)
        elif fate is LossFate.SURVIVED:
            self._losses.ends.record_alive(loss.engine_id, self._state.now)
        fields: dict[str, str | int | float | bool | None] = {
            "engine": loss.engine_id,
            "is_listed": is_listed,
            "fate": fate.value,
            "reason": reason,
        }
        self._state.outcomes.effects.append(LogRecord(event="engine_state_read", fields=fields))

    def _fate_by_answer(self, loss: Loss, answer: HttpResponse) -> LossFate:
        """Return what an answer shows; an engine that states no start has an id for each start."""
        if answer.status == MISDIRECTED:
            return LossFate.ENDED
        if answer.status not in SUCCESS:
            return LossFate.UNKNOWN
        started_ms = self._dialect.read_engine_start(answer)
        state = self._state.engines.get(loss.engine_id)
        if state is None:
            is_same = is_start_of(loss.engine_id, loss.instance, started_ms)
        elif started_ms == state.engine.started_ms:
            is_same = True
        else:
            are_known = started_ms is not None and state.engine.started_ms is not None
            is_same = False if are_known else None
        if is_same is None:
            return LossFate.UNKNOWN
        return LossFate.SURVIVED if is_same else LossFate.ENDED

    # ------------------------------------------------------------ waits and refusals

    def _park(self, waiting: _WaitingSend, until: float) -> None:
        """Judge again at a time, or when the ledger or an engine has answered."""
        exchange = waiting.exchange
        exchange.phase = Phase.WAITING
        exchange.engine = None
        self._waiting[exchange.exchange_id] = waiting
        self._state.schedule(exchange, until, lambda _exchange: self._resume(waiting))

    def _unpark(self, waiting: _WaitingSend) -> None:
        self._waiting.pop(waiting.exchange.exchange_id, None)

    def _resume(self, waiting: _WaitingSend) -> None:
        """Judge a send again, unless it was permitted meanwhile."""
        if self._waiting.get(waiting.exchange.exchange_id) is waiting:
            self._judge(waiting)

    def _handle_ledger_answer(self, digest: str, is_answered: bool) -> None:
        """Judge the sends of a request again, whether or not the ledger has told its losses."""
        for waiting in list(self._waiting.values()):
            if self._losses.key_of(waiting.exchange).digest == digest:
                waiting.exchange.knows_losses = waiting.exchange.knows_losses or is_answered
                self._resume(waiting)

    def _resume_all(self) -> None:
        """Judge all sends again, since the losses that others know were told."""
        for waiting in list(self._waiting.values()):
            self._resume(waiting)

    def _resume_cleared(self, digest: str) -> None:
        """Judge the sends of a request again that an engine has answered."""
        for waiting in list(self._waiting.values()):
            if self._losses.key_of(waiting.exchange).digest == digest:
                self._resume(waiting)

    def forget(self, exchange: Exchange) -> None:
        """Drop the send and the claim of a request that has ended."""
        if exchange.loss_id:
            self._losses.close(exchange)
        waiting = self._waiting.get(exchange.exchange_id)
        if waiting is not None:
            self._unpark(waiting)

    def _refuse(
        self, exchange: Exchange, known: RequestLosses, judgement: Judgement, reason: str
    ) -> None:
        """End a request that may not be sent; it was not run if no engine has had it."""
        ended = [
            loss.engine_id
            for loss in judgement.counted
            if judgement.fates[loss.loss_id] is LossFate.ENDED
        ]
        name = f'yokeline_forwarding_requests_quarantined_total{{reason="{reason}"}}'
        self._state.outcomes.counters[name] += 1
        self._state.outcomes.log(
            "request_quarantined",
            exchange,
            level="warning",
            reason=reason,
            request_digest=self._losses.key_of(exchange).digest,
            ended=len(ended),
            ended_engines=" ".join(ended),
            losses=len(judgement.fates),
            unknown=judgement.count(LossFate.UNKNOWN),
            under_way=judgement.count(LossFate.UNDER_WAY),
            runs=exchange.possible_runs,
            is_informed=self._losses.is_informed(self._state.now),
            knows_recorded=exchange.knows_losses,
            expires_in=round(known.expires - self._state.now, 1),
        )
        if exchange.possible_runs or exchange.relayed_events:
            self._responder.fail(exchange, reason)
            return
        if reason == QUARANTINED:
            retry_after = max(MIN_RETRY_AFTER_SECONDS, known.expires - self._state.now)
        else:
            retry_after = max(FATES_RETRY_AFTER_SECONDS, self._next_change(judgement))
        self._responder.refuse(exchange, UNAVAILABLE, reason, retry_after=retry_after)

    def _next_change(self, judgement: Judgement) -> float:
        """Return the time until an attempt under way is over; 0 if none is (seconds)."""
        return min(
            (
                loss.over_at - self._state.now
                for loss in judgement.counted
                if judgement.fates[loss.loss_id] is LossFate.UNDER_WAY
            ),
            default=0.0,
        )


def _read_address(text: str) -> Address | None:
    """Return the address that a record of another node tells; None without a valid one."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port)) if host and port.isdecimal() else None
