"""The attempts of requests under which engines have ended or may end, as one node knows them.

A fate follows from facts alone: when an attempt was sent, left or lost, when its engine ended, when
the request was answered. The facts may become known in any order. The book has no timers and sends
nothing; it calls back with the attempts that other nodes are to be told of.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from yokeline.ledger.operations import EngineLoss
from yokeline.losses.answered_requests import AnsweredRequests
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import EngineEnds, EngineView, Loss
from yokeline.losses.left_attempts import LeftAttempt, LeftAttempts
from yokeline.losses.loss_keys import LossKey, is_shared
from yokeline.losses.request_losses import (
    Judgement,
    RequestLosses,
    importance,
    judge_named,
    judge_shared,
    judge_uninformed,
    loss_of,
    row_of,
)

MAX_REMEMBERED_REQUESTS = 4096
MAX_LOSSES_PER_REQUEST = 32


class BookOwner(Protocol):
    """What the book asks of the node that it belongs to."""

    def tell(self, key: LossKey, loss: Loss) -> None:
        """Tell other nodes and the ledger of an attempt."""

    def tell_answer(self, digest: str, answered_at: float) -> None:
        """Tell other nodes that a request was answered at a time."""

    def untold_attempts(self, digest: str) -> list[LeftAttempt]:
        """Return the node's attempts of a request that are at engines, and no longer untold."""

    def note_told(self, digest: str, at_engines: int, left: int) -> None:
        """Note that attempts of a request are told, since another one may have ended its engine."""

    def view(self, instance: str) -> EngineView:
        """Return what the registry shows of an engine."""


class AttemptBook:
    """Attempts of requests, and the ends of engines.

    Attributes:
        ends: Ends of engines that the node has noticed.
        on_cleared: Called with the digest of a request whose losses no longer count, since an
            engine has answered it; does nothing by default.
    """

    def __init__(self, ends: EngineEnds, owner: BookOwner) -> None:
        """Start empty; ``owner`` is called for each attempt that others are to be told of."""
        self.ends = ends
        self.on_cleared: Callable[[str], None] = _ignore_digest
        self._owner = owner
        self._requests: OrderedDict[str, RequestLosses] = OrderedDict()
        self._left = LeftAttempts()
        self._answered = AnsweredRequests()

    # ------------------------------------------------------------ attempts of this node

    def publish(self, key: LossKey, loss: Loss) -> None:
        """Remember an attempt at its present stage, and tell of it."""
        self._owner.tell(key, loss)
        self._remember(key.digest, loss, key.retention)

    def left(self, key: LossKey, attempt: Loss, now: float) -> bool:
        """Record that an attempt leaves its engine unanswered; return whether that has ended.

        That shows even less of the engine than a failed connection. The attempt is told if its
        engine has ended, if the request has lost another one, or once either becomes known.
        """
        has_ended = self.ends.explain(attempt, self._owner.view(attempt.instance), now)
        stage = AttemptStage.LOST if has_ended else AttemptStage.AT_ENGINE
        known = self.find(key.digest, now)
        if not has_ended and known is None:
            self._left.expire(now - self.ends.detection_seconds)
            self._left.add(key, attempt)
            return False
        told = known.losses.get(attempt.loss_id) if known is not None else None
        if told is None or told.stage < stage:
            self.publish(key, msgspec.structs.replace(attempt, stage=stage))
        return has_ended

    def adopt(self, key: LossKey, attempt: Loss, now: float) -> None:
        """Record an attempt that a node has left behind that has gone.

        That node has told it already if it has the same id among the losses.
        """
        if self.told(key.digest, attempt.loss_id) is None:
            self.left(key, attempt, now)

    def left_attempts(self, now: float) -> list[LeftAttempt]:
        """Return the attempts that were left at engines which may still end under them."""
        self._left.expire(now - self.ends.detection_seconds)
        return self._left.all()

    def closed(self, key: LossKey, loss_id: str, now: float) -> None:
        """Record that a told attempt is over and has lost no engine."""
        attempt = self.told(key.digest, loss_id)
        if attempt is not None:
            closed = msgspec.structs.replace(attempt, stage=AttemptStage.CLOSED, lost_at=now)
            self.publish(key, closed)

    def answered(self, key: LossKey, now: float) -> bool:
        """Record that an engine has answered a request; return whether losses were dropped."""
        if is_shared(key.digest):
            self._answered.record(key.digest, now)
        known = self._requests.get(key.digest)
        if known is None or not known.losses:
            return False
        known.losses.clear()
        known.answered_at = now
        return True

    def ended(
        self,
        engine_id: str,
        instance: str,
        now: float,
        *,
        is_confirmed: bool = True,
        unseen_since: float = float("inf"),
    ) -> int | None:
        """Record the end of an incarnation, or that its entry has gone.

        The engine may have ended at any time from ``unseen_since`` on.

        Returns:
            The attempts that were left there and are told now; None if the end was known.
        """
        record = self.ends.record_end if is_confirmed else self.ends.record_lapse
        if not record(engine_id, instance, now, unseen_since=unseen_since):
            return None
        view = self._owner.view(instance)
        left = [
            item
            for item in self._left.take_at(engine_id)
            if self.ends.explain(item.loss, view, now)
        ]
        for item in left:
            self.publish(item.key, msgspec.structs.replace(item.loss, stage=AttemptStage.LOST))
        return len(left)

    def told(self, digest: str, loss_id: str) -> Loss | None:
        """Return an attempt of a request that was told; None if it was not."""
        known = self._requests.get(digest) if loss_id else None
        return known.losses.get(loss_id) if known is not None else None

    # ------------------------------------------------------------ what others tell

    def merge(self, rows: Iterable[EngineLoss], now: float, *, retention: float) -> None:
        """Merge what other nodes or the ledger tell; it counts for ``retention`` seconds."""
        for row in rows:
            if not row.loss_id:
                self._merge_answer(row, now, retention)
                continue
            known = self._requests.get(row.request)
            stored = known.losses.get(row.loss_id) if known is not None else None
            if stored is None or row.stage > stored.stage:
                self._remember(row.request, loss_of(row, now), retention)
                self._tell_if_answered(row, now)

    def _merge_answer(self, row: EngineLoss, now: float, retention: float) -> None:
        """Drop the losses before an answer of which another node tells, also those told later."""
        at = now - row.age
        if is_shared(row.request):
            self._answered.record(row.request, at)
        known = self._record_of(row.request)
        known.expires = max(known.expires, at + retention)
        known.answered_at = max(known.answered_at, at)
        known.losses = {
            key: loss for key, loss in known.losses.items() if loss.lost_at > known.answered_at
        }
        if not known.has_open:
            self.on_cleared(row.request)

    def _tell_if_answered(self, row: EngineLoss, now: float) -> None:
        """Tell that engines answer a request, unless the node that lost it knows that."""
        if row.answered or not is_shared(row.request) or row.stage is AttemptStage.CLOSED:
            return
        loss = loss_of(row, now)
        if self._answered.was_answered_before(row.request, loss.sent_at):
            self._owner.tell_answer(row.request, self._answered.latest(row.request))

    def note_order(self, digest: str, rows: tuple[EngineLoss, ...], open_turns: int | None) -> None:
        """Remember in which order the ledger has recorded the attempts of a request."""
        known = self._requests.get(digest)
        if known is not None:
            known.order = {row.loss_id: place for place, row in enumerate(rows)}
            known.open_turns = open_turns

    def rows(self, digest: str, now: float) -> tuple[EngineLoss, ...]:
        """Return what is known of a request; the first row tells when it was answered, if so."""
        known = self._requests.get(digest)
        if known is None or known.expires < now:
            return ()
        rows = [row_of(digest, loss, now) for loss in known.losses.values()]
        if known.answered_at > float("-inf"):
            rows.insert(0, EngineLoss(digest, age=round(now - known.answered_at, 3)))
        return tuple(rows)

    def all_rows(self, now: float) -> list[EngineLoss]:
        """Return what is known of all requests, the latest last."""
        return [row for digest in self._requests for row in self.rows(digest, now)]

    # ------------------------------------------------------------ judgement

    @property
    def is_empty(self) -> bool:
        """Whether no losses are remembered."""
        return not self._requests

    def find(self, digest: str, now: float) -> RequestLosses | None:
        """Return what is known of a request's losses; None if no loss is known."""
        known = self._requests.get(digest)
        if known is None:
            return None
        if known.expires < now:
            del self._requests[digest]
            return None
        return known if known.has_open else None

    def judge(
        self, digest: str, loss_id: str, known: RequestLosses, now: float, *, is_informed: bool
    ) -> Judgement:
        """Return whether a request may be sent to an engine, by its other attempts.

        ``loss_id`` names the attempt that is to be sent; empty if it is not claimed.
        """
        is_common = self.is_commonly_answered(digest)
        others = known.others(loss_id)
        if is_common:
            others = [_since_answer(loss, known.answered_at) for loss in others]
        views = {loss.instance: self._owner.view(loss.instance) for loss in others}
        fates = self.ends.fates(others, views, now)
        judgement = judge_shared(others, fates) if is_common else judge_named(others, fates)
        return judgement if is_informed else judge_uninformed(judgement)

    def was_answered_before(self, digest: str, sent_at: float) -> bool:
        """Return whether a request without a program was answered shortly before a send."""
        return is_shared(digest) and self._answered.was_answered_before(digest, sent_at)

    def is_commonly_answered(self, digest: str) -> bool:
        """Return whether strangers send a request that engines answered before it lost any.

        Attempts of such a request at a time say little about it.
        """
        if not is_shared(digest):
            return False
        known = self._requests.get(digest)
        losses = known.losses.values() if known is not None else ()
        lost = [loss for loss in losses if loss.stage is not AttemptStage.CLOSED]
        if any(loss.answered for loss in lost):
            return True
        first = min((loss.sent_at for loss in lost), default=float("inf"))
        return self._answered.was_answered_before(digest, first)

    # ------------------------------------------------------------ records

    def _record_of(self, digest: str) -> RequestLosses:
        known = self._requests.setdefault(digest, RequestLosses())
        self._requests.move_to_end(digest)
        if len(self._requests) > MAX_REMEMBERED_REQUESTS:
            self._requests.popitem(last=False)
        return known

    def _remember(self, digest: str, loss: Loss, retention: float) -> None:
        known = self._record_of(digest)
        known.expires = max(known.expires, loss.lost_at + retention)
        stored = known.losses.get(loss.loss_id)
        is_news = stored is None or loss.stage > stored.stage
        if is_news and loss.lost_at > known.answered_at:
            known.losses[loss.loss_id] = loss
        if len(known.losses) > MAX_LOSSES_PER_REQUEST:
            del known.losses[min(known.losses, key=lambda name: importance(known.losses[name]))]
        is_open = loss.stage is not AttemptStage.CLOSED
        if is_news and is_open and not self.is_commonly_answered(digest):
            self._tell_other_attempts(digest)

    def _tell_other_attempts(self, digest: str) -> None:
        """Tell of the node's attempts of a request that are at engines, or were left there."""
        at_engines = self._owner.untold_attempts(digest)
        left = self._left.take_of(digest)
        if at_engines or left:
            self._owner.note_told(digest, len(at_engines), len(left))
        for item in (*at_engines, *left):
            self.publish(item.key, item.loss)


def _since_answer(loss: Loss, answered_at: float) -> Loss:
    """Return a loss without the generations before it that an answer has cleared since its send."""
    return loss if loss.sent_at > answered_at else msgspec.structs.replace(loss, prior=0)


def _ignore_digest(_digest: str) -> None:
    """Do nothing; the default callback."""
