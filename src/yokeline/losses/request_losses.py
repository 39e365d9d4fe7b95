"""The attempts of one request that lost engines or may lose them, and what follows from them."""

from __future__ import annotations

import msgspec

from yokeline.ledger.operations import EngineLoss
from yokeline.losses.attempt_stages import AttemptStage
from yokeline.losses.engine_fates import (
    MAX_ENDED_ENGINES,
    Loss,
    LossFate,
    Verdict,
    generations,
    possible_ends,
    verdict_of,
)

MAX_CLAIMS_OF_SHARED_REQUEST = 1
"""Attempts of a request without a program that are sent at a time once two engines have ended."""


class RequestLosses(msgspec.Struct, kw_only=True):
    """Attempts of one request that lost their engines or may lose them, as far as this node knows.

    Attributes:
        losses: By their ids, also those that are closed.
        answered_at: When the request was last answered; earlier losses do not count.
        expires: When the record may be deleted.
        order: Places of the attempts in the ledger's latest answer, by their ids.
        open_turns: Open reservations of the request's line in that answer; None if not told.
    """

    losses: dict[str, Loss] = {}
    answered_at: float = float("-inf")
    expires: float = 0.0
    order: dict[str, int] = {}
    open_turns: int | None = None

    @property
    def has_open(self) -> bool:
        """Whether any attempt may have lost its engine, or may yet lose it."""
        return any(loss.stage is not AttemptStage.CLOSED for loss in self.losses.values())

    def others(self, loss_id: str) -> list[Loss]:
        """Return the attempts that count against another one, which may be claimed.

        Of two claims the one counts that the ledger recorded first; without the ledger, the one
        with the lower id.
        """
        place = self.order.get(loss_id)

        def comes_later(other: Loss) -> bool:
            if other.stage is not AttemptStage.CLAIMED:
                return False
            if place is None:
                return other.loss_id > loss_id
            return self.order.get(other.loss_id, place + 1) > place

        return [
            loss
            for loss in self.losses.values()
            if loss.stage is not AttemptStage.CLOSED
            and loss.loss_id != loss_id
            and not comes_later(loss)
        ]


class Judgement(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a request may be sent, and the attempts that decided it.

    Attributes:
        needs_claim: Whether the send must be claimed in the ledger first, since an end is possible.
        counted: Other attempts under which an engine has ended, or may have, or may yet end.
        fates: What became of the engines of all other attempts, by the ids of the attempts.
        generations: Losses of a request without a program, those at a time counted once.
    """

    verdict: Verdict
    needs_claim: bool
    counted: list[Loss]
    fates: dict[str, LossFate]
    generations: int = 0

    @property
    def latest_loss(self) -> float:
        """When the latest engine was lost, or may have been; minus infinity if none was."""
        return max(
            (
                loss.lost_at
                for loss in self.counted
                if self.fates[loss.loss_id] in (LossFate.ENDED, LossFate.UNKNOWN)
            ),
            default=float("-inf"),
        )

    def count(self, fate: LossFate) -> int:
        """Return how many of the counted attempts have a fate."""
        return sum(self.fates[loss.loss_id] is fate for loss in self.counted)


def judge_named(others: list[Loss], fates: dict[str, LossFate]) -> Judgement:
    """Judge a request whose attempts all count: of a program, or never answered."""
    return Judgement(
        verdict=verdict_of(tuple(fates.values())),
        needs_claim=possible_ends(fates.values()) > 0,
        counted=[loss for loss in others if fates[loss.loss_id] is not LossFate.SURVIVED],
        fates=fates,
    )


def judge_shared(others: list[Loss], fates: dict[str, LossFate]) -> Judgement:
    """Judge a request that strangers send and engines answer: attempts at a time tell little.

    Losses at a time count once, and attempts are limited once the next loss may be the last.
    """

    def of(*wanted: LossFate) -> list[Loss]:
        return [loss for loss in others if fates[loss.loss_id] in wanted]

    ended = generations(of(LossFate.ENDED))
    at_work = of(LossFate.UNDER_WAY)
    lost_at_work = [loss for loss in at_work if loss.stage is AttemptStage.LOST]
    under_way = [loss for loss in at_work if loss.stage is not AttemptStage.LOST]
    # An engine that runs on after a loss may still end under it. Without any possible end they are
    # engines that are late, and a common request is served beside them.
    possible_ends = of(LossFate.ENDED, LossFate.UNKNOWN)
    possible = generations([*possible_ends, *lost_at_work]) if possible_ends else []
    is_suspect = len(possible) >= MAX_ENDED_ENGINES - MAX_CLAIMS_OF_SHARED_REQUEST
    counted = [*possible, *under_way] if is_suspect else possible
    if len(ended) >= MAX_ENDED_ENGINES:
        verdict = Verdict.QUARANTINE
    elif not is_suspect:
        verdict = Verdict.RUN
    else:
        verdict = Verdict.LOOK_UP if len(counted) >= MAX_ENDED_ENGINES else Verdict.ISOLATE
    return Judgement(
        verdict=verdict,
        needs_claim=is_suspect,
        counted=counted,
        fates=fates,
        generations=len(possible),
    )


def judge_uninformed(judgement: Judgement) -> Judgement:
    """Judge a request at a node that does not know what others have lost.

    A claim reaches nobody then, so a send that needs one may be one too many.
    """
    if not judgement.needs_claim or judgement.verdict is Verdict.QUARANTINE:
        return judgement
    return msgspec.structs.replace(judgement, verdict=Verdict.LOOK_UP)


def importance(loss: Loss) -> int:
    """Return how much an attempt counts; the least important is forgotten first."""
    return 0 if loss.stage is AttemptStage.CLOSED else loss.stage


def row_of(digest: str, loss: Loss, now: float) -> EngineLoss:
    """Return what other nodes and the ledger are told of an attempt."""
    return EngineLoss(
        request=digest,
        loss_id=loss.loss_id,
        engine_id=loss.engine_id,
        instance=loss.instance,
        held=round(loss.lost_at - loss.sent_at, 3),
        age=round(now - loss.lost_at, 3),
        stage=loss.stage,
        work_left=round(max(0.0, loss.work_until - loss.lost_at), 3),
        address=loss.address,
        prior=loss.prior,
        answered=loss.answered,
    )


def loss_of(row: EngineLoss, now: float) -> Loss:
    """Return an attempt that another node, or the ledger, tells of."""
    lost_at = now - row.age
    return Loss(
        loss_id=row.loss_id,
        engine_id=row.engine_id,
        instance=row.instance,
        sent_at=lost_at - row.held,
        lost_at=lost_at,
        stage=row.stage,
        work_until=lost_at + row.work_left,
        address=row.address,
        prior=row.prior,
        answered=row.answered,
    )
