"""Tells other nodes and the ledger of attempts under which engines are lost, and hears from them.

A loss is recorded in the ledger and reported to the other nodes, so that a later attempt of the
request is judged by the losses of all of them, whichever node it reaches. Nodes that learn of a
loss tell of their own attempts of the same request that are under way. Before an attempt is sent
while an end is possible, it is claimed in the ledger, whose order decides between nodes. A
reservation brings the records of its turn; other requests ask the ledger only if a loss of them is
known. :mod:`yokeline.losses.attempt_book` holds the attempts and judges by them.
"""

from __future__ import annotations

import itertools
from collections import Counter, OrderedDict
from collections.abc import Callable

import msgspec
from msgspec import UnsetType

from yokeline.effects import Effect, LogRecord
from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.model import Route, start_of
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.turn_operations import line_of_request
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.operations import (
    EngineLoss,
    Granted,
    OperationResult,
    Reserve,
    SideReport,
)
from yokeline.losses.attempt_book import MAX_REMEMBERED_REQUESTS, AttemptBook
from yokeline.losses.attempt_custody import MAX_ENTRUSTED, SILENT_SECONDS
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import (
    NEWS_SECONDS,
    EngineEnds,
    EngineView,
    Loss,
)
from yokeline.losses.left_attempts import LeftAttempt
from yokeline.losses.loss_keys import LossKey
from yokeline.losses.request_identity import request_digest
from yokeline.losses.request_losses import Judgement, RequestLosses, row_of

MIN_RETENTION_SECONDS = 60.0
"""Least time for which a loss counts; a program that was stopped may return so late."""
TIMEOUTS_TO_RETURN = 2.0
"""Timeouts of its route for which a loss counts at least: an attempt may lose its engine at once,
and its caller's next one, which begins within the first timeout, may end another at its end."""
RECORD_TIMEOUT_SECONDS = 5.0
"""Time for which a record is repeated until the ledger has it."""
MAX_RECORDED_AT_A_TIME = 32
"""Requests whose losses are recorded again at a time, once the ledger answers."""
REPORTED_SECONDS = 10.0
"""Time for which a loss is part of this node's reports to the others."""
MAX_TOLD = 2048
"""Records that are told to a node that asks for all; the latest ones."""
MAX_REPORTED = 6
"""Records in one report. The latest are told; the ledger has all of them."""
MAX_VIEW_AGE_SECONDS = 2.0
"""Age of the node's view of the engines above which it shows nothing of their ends."""
SETTLED_AT_ENGINE_SECONDS = 0.05
"""Time after which a request is told to be at an engine that has not refused or rejected it."""

_Rows = tuple[EngineLoss, ...]
_LogFields = dict[str, str | int | float | bool | None]


class _Reported(msgspec.Struct, frozen=True):
    """A row for the reports to other nodes, and when it became known."""

    row: EngineLoss
    at: float


class EngineLosses:
    """Losses of the requests of one node; the owner of its :class:`AttemptBook`.

    Attributes:
        ends: Ends of engines that this node has noticed.
        view_age: Returns the age of the node's view of the engines at a time (seconds).
        viewed_until: Time up to which the view showed all changes before the present event.
        is_informed: Returns whether this node knows what other nodes have lost at a time.
        version: Counter that increases with each row for the reports.
        on_answer: Called with the digest of a request when a record or a question of it has ended,
            and whether the ledger has answered; does nothing by default.
        on_synchronized: Called when the losses that others know were told; does nothing by default.
    """

    def __init__(self, state: NodeState, ledger: LedgerClient, process: str) -> None:
        """Record in ``ledger``, with ids that begin with ``process``."""
        self.ends = EngineEnds(start_of)
        self.view_age: Callable[[float], float] = _zero_age
        self.viewed_until = float("inf")
        self.is_informed: Callable[[float], bool] = _always_informed
        self.version = 0
        self._state = state
        self._ledger = ledger
        self._process = process
        self._numbers = itertools.count(1)
        self._book = AttemptBook(self.ends, self)
        self._reported: list[_Reported] = []
        self._unanswered: Counter[str] = Counter()
        self._unrecorded: OrderedDict[str, LossKey] = OrderedDict()
        self._removed_after: dict[str, float] = {}
        self.on_answer: Callable[[str, bool], None] = _ignore_answer
        self.on_synchronized: Callable[[], None] = _do_nothing

    @property
    def on_cleared(self) -> Callable[[str], None]:
        """Called with the digest of a request whose losses no longer count."""
        return self._book.on_cleared

    @on_cleared.setter
    def on_cleared(self, on_cleared: Callable[[str], None]) -> None:
        self._book.on_cleared = on_cleared

    # ------------------------------------------------------------ attempts of this node

    def record(self, exchange: Exchange) -> None:
        """Record that a request was lost at its engine, in the ledger and for the other nodes."""
        loss = self._attempt_of(exchange, AttemptStage.LOST)
        exchange.loss_id = ""
        if loss is not None:
            self._book.publish(self.key_of(exchange), loss)

    def claim(self, exchange: Exchange) -> None:
        """Claim the next send of a request, and ask the ledger which claims were made before."""
        exchange.loss_id = self._new_id()
        now = self._state.now
        claim = Loss(
            loss_id=exchange.loss_id,
            engine_id="",
            instance="",
            sent_at=now,
            lost_at=now,
            stage=AttemptStage.CLAIMED,
            work_until=exchange.deadline,
        )
        self._book.publish(self.key_of(exchange), claim)

    def record_sent(self, exchange: Exchange) -> None:
        """Tell at which engine a request is that has lost engines, if it stays there.

        Engines that are gone refuse or reject a request within milliseconds. Any other request is
        told once a loss of it becomes known.
        """
        if not exchange.loss_id and self.find(exchange) is None:
            return
        sent_as = exchange.engine_request_id

        def tell(current: Exchange) -> None:
            if current.engine_request_id == sent_as:
                self._tell_under_way(current)

        self._state.schedule(exchange, self._state.now + SETTLED_AT_ENGINE_SECONDS, tell)

    def holds_claim(self, exchange: Exchange) -> bool:
        """Return whether the next send of a request is claimed, and none was told since."""
        attempt = self._book.told(self.key_of(exchange).digest, exchange.loss_id)
        return attempt is not None and attempt.stage is AttemptStage.CLAIMED

    def close(self, exchange: Exchange) -> None:
        """Record that a told attempt is over and has lost no engine."""
        loss_id, exchange.loss_id = exchange.loss_id, ""
        self._book.closed(self.key_of(exchange), loss_id, self._state.now)

    def leave(self, exchange: Exchange) -> None:
        """Record that a request leaves its engine unanswered; its time is over, or its caller left.

        The attempt is told if its engine has ended, if the request has lost another one, or once
        either becomes known.
        """
        attempt = self._attempt_of(exchange, AttemptStage.AT_ENGINE)
        if attempt is None:
            return
        is_told = bool(exchange.loss_id)
        exchange.loss_id = attempt.loss_id
        has_ended = self._book.left(self.key_of(exchange), attempt, self._state.now)
        exchange.loss_id = ""
        self._state.outcomes.log(
            "attempt_left",
            exchange,
            engine=attempt.engine_id,
            is_told=is_told,
            has_ended=has_ended,
            at_engine=round(self._state.now - exchange.sent_at, 4),
        )

    def record_answered(self, exchange: Exchange) -> None:
        """Drop the losses of a request that an engine has answered."""
        exchange.loss_id = ""
        if exchange.call.program and self._book.is_empty:
            return
        key = self.key_of(exchange)
        if self._book.answered(key, self._state.now):
            row = EngineLoss(key.digest)
            self._report(row)
            self._ask(key, (row,))
            self.on_cleared(key.digest)

    def key_of(self, exchange: Exchange) -> LossKey:
        """Return what a request's losses are recorded under."""
        if exchange.loss_key is None:
            exchange.loss_key = LossKey(
                digest=request_digest(exchange),
                line=line_of_request(exchange),
                retention=_retention_of(exchange.route),
            )
        return exchange.loss_key

    def silent_attempts(self, now: float) -> list[LeftAttempt]:
        """Return the attempts whose engines are silent for a while, and those that were left."""
        self._state.now = now
        found = self._book.left_attempts(now)
        for exchange in self._state.by_engine_request.values():
            if now - exchange.last_event_at >= SILENT_SECONDS:
                attempt = self._attempt_of(exchange, AttemptStage.AT_ENGINE)
                if attempt is not None:
                    found.append(LeftAttempt(self.key_of(exchange), attempt))
        return found[-MAX_ENTRUSTED:]

    def adopt(self, attempts: list[LeftAttempt], now: float) -> list[Effect]:
        """Record the attempts of a node that has gone, as if this node had left them."""
        self._state.now = now
        for item in attempts:
            self._book.adopt(item.key, item.loss, now)
        return self._state.outcomes.drain_effects()

    def _new_id(self) -> str:
        return f"{self._process}/{next(self._numbers)}"

    def _attempt_of(self, exchange: Exchange, stage: AttemptStage) -> Loss | None:
        """Return the present attempt of a request; None if no engine has it."""
        if exchange.engine is None:
            return None
        engine = exchange.engine.engine
        digest = self.key_of(exchange).digest
        return Loss(
            loss_id=exchange.loss_id or f"{self._process}/{exchange.exchange_id}/{exchange.sends}",
            engine_id=engine.engine_id,
            instance=engine.instance,
            sent_at=exchange.sent_at,
            lost_at=self._state.now,
            stage=stage,
            work_until=exchange.deadline,
            address=str(engine.address),
            prior=exchange.prior_losses,
            answered=self._book.was_answered_before(digest, exchange.sent_at),
        )

    def _tell_under_way(self, exchange: Exchange) -> None:
        attempt = self._attempt_of(exchange, AttemptStage.AT_ENGINE)
        if attempt is not None:
            exchange.loss_id = attempt.loss_id
            self._book.publish(self.key_of(exchange), attempt)

    # ------------------------------------------------------------ what the book asks for

    def tell(self, key: LossKey, loss: Loss) -> None:
        """Report an attempt to the other nodes and record it in the ledger."""
        row = row_of(key.digest, loss, self._state.now)
        self._report(row)
        self._ask(key, (row,))

    def tell_answer(self, digest: str, answered_at: float) -> None:
        """Report to the other nodes that a request was answered at a time."""
        self._report(EngineLoss(digest, age=round(self._state.now - answered_at, 3)))

    def untold_attempts(self, digest: str) -> list[LeftAttempt]:
        """Return the attempts of a request that are at engines, and count them as told."""
        found = []
        for exchange in self._state.by_engine_request.values():
            if exchange.loss_id or self.key_of(exchange).digest != digest:
                continue
            attempt = self._attempt_of(exchange, AttemptStage.AT_ENGINE)
            if attempt is not None:
                exchange.loss_id = attempt.loss_id
                found.append(LeftAttempt(self.key_of(exchange), attempt))
        return found

    def note_told(self, digest: str, at_engines: int, left: int) -> None:
        """Log that attempts of a request are told."""
        fields: _LogFields = {"request_digest": digest, "at_engines": at_engines, "left": left}
        self._log("attempts_told", fields)

    def view(self, instance: str) -> EngineView:
        """Return what the registry shows of an engine."""
        current = self._state.engines.current_incarnation(instance)
        return EngineView(
            current_id=current.engine.engine_id if current is not None else "",
            is_registered=current is not None and not current.expires_at,
            is_current=self.view_age(self._state.now) <= MAX_VIEW_AGE_SECONDS,
        )

    # ------------------------------------------------------------ ledger

    def look_up(self, exchange: Exchange) -> None:
        """Ask the ledger for the losses of a request, unless an answer is on its way."""
        key = self.key_of(exchange)
        if not self.awaits_ledger(key):
            self._ask(key, ())

    def awaits_ledger(self, key: LossKey) -> bool:
        """Return whether the ledger has not answered all records and questions of a request."""
        return key.digest in self._unanswered

    def apply_recorded(self, answer: Granted) -> None:
        """Merge the losses that the ledger has; they count as long as it has them."""
        if isinstance(answer.losses, UnsetType):
            return
        for row in answer.losses:
            self._book.merge((row,), self._state.now, retention=self.retention + row.age)

    def _ask(self, key: LossKey, rows: _Rows) -> None:
        """Record rows in the ledger, and ask what it knows of their line."""

        def answered(result: OperationResult | None, now: float) -> list[Effect]:
            self._state.now = now
            self._handle_answer(key, rows, result)
            return self._state.outcomes.drain_effects()

        now = self._state.now
        operation = Reserve(
            request_id=f"{self._process}/losses/{next(self._numbers)}",
            retention=key.retention,
            side=SideReport(key.line, rows),
        )
        self._unanswered[key.digest] += 1
        effects = self._ledger.ask(operation, answered, now, now + RECORD_TIMEOUT_SECONDS)
        self._state.outcomes.effects.extend(effects)

    def _handle_answer(self, key: LossKey, rows: _Rows, result: OperationResult | None) -> None:
        self._unanswered[key.digest] -= 1
        if not self._unanswered[key.digest]:
            del self._unanswered[key.digest]
        is_answered = isinstance(result, Granted)
        if isinstance(result, Granted):
            self.apply_recorded(result)
            recorded = () if isinstance(result.losses, UnsetType) else result.losses
            turns = result.open_turns
            open_turns = None if isinstance(turns, UnsetType) else turns
            self._book.note_order(key.digest, recorded, open_turns)
        elif rows:
            self._note_unrecorded(key)
            fields: _LogFields = {
                "request_digest": key.digest,
                "engine": rows[0].engine_id,
                "losses": len(rows),
            }
            self._log("engine_loss_unrecorded", fields, level="warning")
        self.on_answer(key.digest, is_answered)

    def _note_unrecorded(self, key: LossKey) -> None:
        self._unrecorded[key.digest] = key
        if len(self._unrecorded) > MAX_REMEMBERED_REQUESTS:
            self._unrecorded.popitem(last=False)

    def record_again(self, now: float) -> None:
        """Record what the ledger did not take while it was silent, and what others told of it.

        A node that starts later asks the ledger for it.
        """
        if not self._unrecorded or self._ledger.leader is None or not self._ledger.reaches_ledger:
            return
        self._state.now = now
        while self._unrecorded and len(self._unanswered) < MAX_RECORDED_AT_A_TIME:
            digest, key = self._unrecorded.popitem(last=False)
            rows = self._book.rows(digest, now)
            if rows:
                self._ask(key, rows)

    # ------------------------------------------------------------ other nodes

    def reported_rows(self) -> _Rows:
        """Return the rows for this node's reports, the latest first."""
        since = self._state.now - REPORTED_SECONDS
        if not self._reported or self._reported[-1].at < since:
            self._reported.clear()
            return ()
        recent = [item for item in self._reported[-MAX_REPORTED:] if item.at >= since]
        return tuple(
            msgspec.structs.replace(
                item.row, age=round(item.row.age + self._state.now - item.at, 3)
            )
            for item in reversed(recent)
        )

    def apply_report(self, rows: _Rows, now: float) -> None:
        """Merge the rows that another node tells."""
        self._state.now = now
        self._book.merge(rows, now, retention=self.retention)

    def all_rows(self) -> _Rows:
        """Return all rows that this node knows, its own and those of others, the latest last."""
        return tuple(self._book.all_rows(self._state.now)[-MAX_TOLD:])

    @property
    def retention(self) -> float:
        """Time for which the records of any request may count (seconds)."""
        table = self._state.table
        routes = table.routes if table is not None else ()
        return max((_retention_of(route) for route in routes), default=MIN_RETENTION_SECONDS)

    def _report(self, row: EngineLoss) -> None:
        self._reported.append(_Reported(row, self._state.now))
        del self._reported[:-MAX_REPORTED]
        self.version += 1

    # ------------------------------------------------------------ judgement

    def find(self, exchange: Exchange) -> RequestLosses | None:
        """Return what is known of a request's losses; None, at no cost, if no loss is known."""
        if self._book.is_empty:
            return None
        return self._book.find(self.key_of(exchange).digest, self._state.now)

    def judge(self, exchange: Exchange, known: RequestLosses) -> Judgement:
        """Return whether a request may be sent to an engine, by its other attempts."""
        now = self._state.now
        return self._book.judge(
            self.key_of(exchange).digest,
            exchange.loss_id,
            known,
            now,
            is_informed=exchange.knows_losses or self.is_informed(now),
        )

    def is_commonly_answered(self, exchange: Exchange) -> bool:
        """Return whether strangers send a request that engines answered before it lost any."""
        digest = self.key_of(exchange).digest
        if self.find(exchange) is not None:
            return self._book.is_commonly_answered(digest)
        return self._book.was_answered_before(digest, self._state.now)

    def news_due(self, exchange: Exchange, known: RequestLosses, judgement: Judgement) -> float:
        """Return when other nodes have told of their attempts of a request under way.

        The ledger knows the turns whose reservations are open; if this node knows as many attempts,
        there is nothing to wait for.
        """
        if known.open_turns is not None and exchange.has_reservation:
            under_way = sum(loss.stage is not AttemptStage.LOST for loss in judgement.counted)
            if known.open_turns - 1 <= under_way:
                return float("-inf")
        return judgement.latest_loss + NEWS_SECONDS

    def has_successor(self, engine_id: str, address: str) -> bool:
        """Return whether another engine has been listed at an engine's address after it.

        The entry of its predecessor may not have lapsed yet.
        """
        listed = [item.engine for item in self._state.engines.all()]
        names = [item.engine_id for item in listed]
        later = listed[names.index(engine_id) + 1 :] if engine_id in names else listed
        return any(str(item.address) == address for item in later)

    # ------------------------------------------------------------ engines

    def engine_ended(self, engine_id: str, instance: str) -> None:
        """Record that an incarnation of an engine has ended, with the attempts left there."""
        self._note_end(engine_id, instance, is_confirmed=True)

    def engine_lapsed(self, engine_id: str, instance: str) -> None:
        """Record that the entry of an incarnation has gone; it may serve on."""
        self._note_end(engine_id, instance, is_confirmed=False)

    def _note_end(self, engine_id: str, instance: str, *, is_confirmed: bool) -> None:
        unseen_since = self._removed_after.pop(engine_id, self.viewed_until)
        left = self._book.ended(
            engine_id,
            instance,
            self._state.now,
            is_confirmed=is_confirmed,
            unseen_since=unseen_since,
        )
        self._log_end(engine_id, left, is_confirmed=is_confirmed)

    def entry_removed(self, engine_id: str) -> None:
        """Note that an entry is not there any more; it may return before it counts as gone."""
        self._removed_after[engine_id] = self.viewed_until

    def entry_unreadable(self, engine_id: str, instance: str) -> None:
        """Note that the entry of an incarnation cannot be read; it may run on."""
        self._removed_after.pop(engine_id, None)
        self.ends.record_unlisted(engine_id, instance)

    def engine_listed(self, engine_id: str, instance: str) -> None:
        """Record that an incarnation is listed, also if it was taken for ended."""
        self._removed_after.pop(engine_id, None)
        self.ends.retract_end(engine_id, instance)

    def confirm_end(self, loss: Loss) -> None:
        """Record that the engine of an attempt was asked for its state and has ended.

        One that is not listed ended at the latest when its entry went, or, if this node has started
        since, at the time of the loss. One that is listed ended at some time since the loss.
        """
        now = self._state.now
        is_listed = self._state.engines.get(loss.engine_id) is not None
        at = now if is_listed else min(now, loss.lost_at)
        since = min(at, loss.lost_at)
        left = self._book.ended(loss.engine_id, loss.instance, at, unseen_since=since)
        # Attempts of other requests may have been sent there after this loss.
        self.ends.record_latest(loss.engine_id, loss.instance, now)
        self._log_end(loss.engine_id, left, is_confirmed=True)

    def _log_end(self, engine_id: str, left: int | None, *, is_confirmed: bool) -> None:
        """Log an end that was not known, with the attempts that were left at the engine."""
        if left is None:
            return
        fields: _LogFields = {
            "engine": engine_id,
            "is_confirmed": is_confirmed,
            "left": left,
            "at_engine": sum(
                exchange.engine is not None and exchange.engine.engine.engine_id == engine_id
                for exchange in self._state.by_engine_request.values()
            ),
        }
        self._log("engine_end_noticed", fields)

    def _log(self, event: str, fields: _LogFields, *, level: str = "info") -> None:
        self._state.outcomes.effects.append(LogRecord(event=event, fields=fields, level=level))


def _retention_of(route: Route) -> float:
    """Return how long a loss counts: callers return within a timeout of their latest attempt."""
    return max(MIN_RETENTION_SECONDS, route.retention, TIMEOUTS_TO_RETURN * route.timeout)


def _zero_age(_now: float) -> float:
    """Return the age of a view that is always current."""
    return 0.0


def _always_informed(_now: float) -> bool:
    """Return that no losses are unknown; the default."""
    return True


def _do_nothing() -> None:
    """Do nothing; the default callback."""


def _ignore_answer(_digest: str, _is_answered: bool) -> None:
    """Do nothing; the default callback."""
