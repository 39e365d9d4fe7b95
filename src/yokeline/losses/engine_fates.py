"""Judges which engines have ended under one request, and whether it may be sent again.

A request is lost at an engine when its connection fails, falls silent or is given up. That shows
nothing of the engine, so a loss counts as an end only if the engine is known to have ended while it
had the request or shortly after. Until that is known, the loss counts neither for nor against the
request: it is not sent where one more end could exceed the bound, and not condemned either.

An engine may be at work on an attempt whose connection is gone, and several attempts may be under
way at a time. Once an end is possible, the bound holds for the ends and the attempts under way
together.

All times are monotonic seconds of the process.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from yokeline.losses.attempt_stages import AttemptStage

MAX_ENDED_ENGINES = 3
"""Engines that may end under one request, over all attempts and nodes."""
HEARTBEATS_TO_LAPSE = 3
RETURN_SECONDS = 2.4
"""Time within which an entry that an outage removed is back and known to this node."""
END_DETECTION_SECONDS = 6.0
"""Time after a loss within which the end of an engine is noticed, for the usual heartbeat of 1.2 s
(:func:`end_detection_seconds`)."""
ISOLATION_DELAY_SECONDS = 0.5
"""Least time between the last loss of a request that has lost two engines and its next send, so
that engines that end together do not count against one request several times."""
ISOLATION_SPREAD_SECONDS = 0.5
"""Time over which the next sends of several such requests are spread, so that each node knows where
the others run."""
NEWS_SECONDS = 0.1
"""Time after a loss within which other nodes tell of their attempts of the same request."""
OWNER_TELLS_SECONDS = 1.0
"""Time after the end of an engine within which the node of an attempt tells what became of it."""
MAX_REMEMBERED_ENDS = 2048
MAX_ENDS_PER_INSTANCE = 16


class LossFate(enum.Enum):
    """What became of an engine under which a request was lost."""

    UNKNOWN = "unknown"
    ENDED = "ended"
    SURVIVED = "survived"
    UNDER_WAY = "under_way"
    """The engine runs as far as is known, and may still be at work on the request."""


class Verdict(enum.Enum):
    """Whether a request may be sent to another engine."""

    RUN = "run"
    ISOLATE = "isolate"
    """At an engine without another such request; one more end makes the bound full."""
    LOOK_UP = "look_up"
    """Only once it is known what became of the engines that it lost."""
    QUARANTINE = "quarantine"
    """Not at all."""


class Loss(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt of a request at an engine that was lost, or may be lost.

    Attributes:
        engine_id: The incarnation to which the request was sent, as far as its node knew; empty if
            no engine is chosen yet.
        instance: Name of the engine, the same for each incarnation.
        sent_at: When the request was sent.
        lost_at: When it was lost; when the record was made, if it is not lost.
        stage: How far the attempt has come.
        work_until: Until when the engine may be at work on the request.
        address: ``host:port`` of the engine; empty if not known.
        prior: Generations of losses that the node knew of when it sent a request without a program.
        answered: Whether engines had answered such a request shortly before the send.
    """

    loss_id: str
    engine_id: str
    instance: str
    sent_at: float
    lost_at: float
    stage: AttemptStage = AttemptStage.LOST
    work_until: float = float("-inf")
    address: str = ""
    prior: int = 0
    answered: bool = False

    @property
    def over_at(self) -> float:
        """When the engine can no longer end under the request."""
        return max(self.lost_at, self.work_until)


class _End(msgspec.Struct):
    """The end of one incarnation and when it was noticed.

    Attributes:
        is_confirmed: Whether it is more than that its entry has gone; the engine may run on.
        unseen_since: From when on the node could not have noticed it earlier, since its view of
            the engines stood still.
        latest: Until when the incarnation may have run, if ``at`` is only assumed.
    """

    engine_id: str
    at: float
    is_confirmed: bool = True
    unseen_since: float = float("inf")
    latest: float = float("-inf")

    @property
    def earliest(self) -> float:
        """When the engine may have ended at the earliest."""
        return min(self.at, self.unseen_since)


class EngineView(msgspec.Struct, frozen=True, kw_only=True):
    """What the registry shows of an engine.

    Attributes:
        current_id: Id of its current incarnation; empty if it is not listed.
        is_registered: It has an entry, which has not lapsed.
        is_current: The view was confirmed recently enough to rely on it.
    """

    current_id: str
    is_registered: bool
    is_current: bool


class EngineEnds:
    """Ends of engines that this node has noticed, and incarnations that it found alive.

    Attributes:
        detection_seconds: Time after a loss within which the end of the engine is noticed.
    """

    def __init__(self, start_of: Callable[[str, str], int | None] | None = None) -> None:
        """Start without any; ``start_of`` returns when an incarnation of an instance started."""
        self._start_of = start_of or _unknown_start
        self.detection_seconds = END_DETECTION_SECONDS
        self._ends: OrderedDict[str, list[_End]] = OrderedDict()
        self._alive_at: OrderedDict[str, float] = OrderedDict()

    def record_unlisted(self, engine_id: str, instance: str) -> None:
        """Record that an incarnation is not listed any more, though it may run on."""
        self.record_end(engine_id, instance, float("-inf"))

    def record_lapse(
        self, engine_id: str, instance: str, now: float, *, unseen_since: float = float("inf")
    ) -> bool:
        """Record that the entry of an incarnation has gone; return whether that is new.

        Some engines serve on without an entry, so it is asked for its state before it counts.
        """
        return self._record(engine_id, instance, now, is_confirmed=False, unseen_since=unseen_since)

    def record_end(
        self, engine_id: str, instance: str, now: float, *, unseen_since: float = float("inf")
    ) -> bool:
        """Record the end of an incarnation; return whether it is new.

        The engine may have ended at any time from ``unseen_since`` on.
        """
        return self._record(engine_id, instance, now, is_confirmed=True, unseen_since=unseen_since)

    def record_latest(self, engine_id: str, instance: str, latest: float) -> None:
        """Record until when an incarnation may have run whose time of end is only assumed."""
        for end in self._ends.get(instance, ()):
            if end.engine_id == engine_id:
                end.latest = max(end.latest, latest)

    def _record(
        self,
        engine_id: str,
        instance: str,
        now: float,
        *,
        is_confirmed: bool,
        unseen_since: float,
    ) -> bool:
        ends = self._ends.setdefault(instance, [])
        known = next((end for end in ends if end.engine_id == engine_id), None)
        if known is not None:
            is_new = known.at == float("-inf") != now or (is_confirmed and not known.is_confirmed)
            if known.is_confirmed or known.at == float("-inf"):
                known.at = max(known.at, now)
            known.is_confirmed = known.is_confirmed or is_confirmed
            known.unseen_since = min(known.unseen_since, unseen_since)
            return is_new
        ends.append(_End(engine_id, now, is_confirmed, unseen_since))
        del ends[:-MAX_ENDS_PER_INSTANCE]
        self._ends.move_to_end(instance)
        if len(self._ends) > MAX_REMEMBERED_ENDS:
            self._ends.popitem(last=False)
        return True

    def retract_end(self, engine_id: str, instance: str) -> None:
        """Take back an end, since the incarnation is listed again."""
        ends = self._ends.get(instance)
        if ends is not None:
            ends[:] = [end for end in ends if end.engine_id != engine_id]

    def record_alive(self, engine_id: str, now: float) -> None:
        """Record that an incarnation answered as itself."""
        self._alive_at[engine_id] = now
        self._alive_at.move_to_end(engine_id)
        if len(self._alive_at) > MAX_REMEMBERED_ENDS:
            self._alive_at.popitem(last=False)

    def explain(self, attempt: Loss, view: EngineView, now: float) -> bool:
        """Return whether the engine of an attempt has ended under it, or may have.

        That holds whether the end or the attempt became known first.
        """
        ends = self._end_times(attempt.instance, [attempt], view, now)
        return any(self._explains(end, attempt) for end in ends)

    def fates(
        self, losses: Iterable[Loss], views: dict[str, EngineView], now: float
    ) -> dict[str, LossFate]:
        """Return the fate of each loss of one request, by its id.

        ``views`` has the registry's view of each instance. One end explains one loss, the earliest
        that it can explain: several connections of one incarnation may have failed before it ended.
        """
        by_instance: dict[str, list[Loss]] = {}
        for loss in sorted(losses, key=lambda item: (item.lost_at, item.loss_id)):
            by_instance.setdefault(loss.instance, []).append(loss)
        found: dict[str, LossFate] = {}
        for instance, rows in by_instance.items():
            found.update(self._fates_at(instance, rows, views[instance], now))
        return found

    def _fates_at(
        self, instance: str, losses: list[Loss], view: EngineView, now: float
    ) -> dict[str, LossFate]:
        found: dict[str, LossFate] = {}
        open_losses = []
        for loss in losses:
            if self._was_alive_after(loss):
                found[loss.loss_id] = LossFate.SURVIVED
            else:
                open_losses.append(loss)
        for end in self._end_times(instance, open_losses, view, now):
            explained = next((loss for loss in open_losses if self._explains(end, loss)), None)
            if explained is not None:
                is_shown = end.is_confirmed or not explained.address
                is_shown = is_shown and end.at <= self._noticed_by(explained)
                has_ended = is_shown and _is_known_lost(explained, end.at, now)
                found[explained.loss_id] = LossFate.ENDED if has_ended else LossFate.UNKNOWN
                open_losses.remove(explained)
        for loss in open_losses:
            found[loss.loss_id] = self._open_fate(loss, view, now)
        return found

    def _open_fate(self, loss: Loss, view: EngineView, now: float) -> LossFate:
        """Return the fate of an attempt that no known end explains."""
        is_lost = loss.stage is AttemptStage.LOST
        runs_on = not is_lost or self._alive_at.get(loss.engine_id, -1.0) >= loss.lost_at
        if runs_on and now < loss.over_at:
            return LossFate.UNDER_WAY
        if not loss.engine_id:
            return LossFate.SURVIVED
        is_late = now - loss.over_at > self.detection_seconds
        is_settled = is_late and view.is_current and (view.is_registered or not view.current_id)
        return LossFate.SURVIVED if is_settled else LossFate.UNKNOWN

    def _explains(self, end: _End, loss: Loss) -> bool:
        """Return whether an engine may have ended under an attempt, or shortly after."""
        if self._is_earlier(end.engine_id, loss.engine_id, loss.instance):
            return False
        may_have_run = end.engine_id == loss.engine_id and loss.sent_at <= end.latest
        is_before = loss.sent_at <= end.at or may_have_run
        return is_before and end.earliest <= self._noticed_by(loss)

    def _is_earlier(self, engine_id: str, other_id: str, instance: str) -> bool:
        """Return whether an incarnation started before another one; false if that is not known."""
        started = self._start_of(engine_id, instance)
        other_started = self._start_of(other_id, instance)
        return started is not None and other_started is not None and started < other_started

    def _noticed_by(self, loss: Loss) -> float:
        """Return until when the end of the engine of an attempt is noticed in a current view."""
        return loss.over_at + self.detection_seconds

    def _was_alive_after(self, loss: Loss) -> bool:
        return self._alive_at.get(loss.engine_id, -1.0) >= loss.over_at

    def _end_times(
        self, instance: str, losses: list[Loss], view: EngineView, now: float
    ) -> list[_End]:
        """Return when ends of an instance were noticed, in order.

        An incarnation that is not the current one, and whose end this node has not noticed, ended
        before the node started; that counts from the loss on. One that started after the current
        one is not in this node's view yet.
        """
        known = self._ends.get(instance, [])
        found = list(known)
        named = {end.engine_id for end in known}
        for engine_id in dict.fromkeys(loss.engine_id for loss in losses if loss.engine_id):
            is_unseen = self._is_earlier(view.current_id, engine_id, instance)
            is_other = engine_id != view.current_id and not is_unseen
            if view.is_current and is_other and engine_id not in named:
                first = min(loss.lost_at for loss in losses if loss.engine_id == engine_id)
                found.append(_End(engine_id, min(now, first), is_confirmed=bool(view.current_id)))
        return sorted(found, key=lambda end: end.at)


def _unknown_start(_engine_id: str, _instance: str) -> int | None:
    """Return that the start of an incarnation is not known; the default."""
    return None


def _is_known_lost(loss: Loss, end_at: float, now: float) -> bool:
    """Return whether an attempt was lost with an engine that has ended.

    The node that sent it may tell yet that the engine did not take it.
    """
    return loss.stage is AttemptStage.LOST or now >= end_at + OWNER_TELLS_SECONDS


def end_detection_seconds(heartbeat: float) -> float:
    """Return how long after a loss the end of an engine is noticed at the latest (seconds).

    Its registry entry lapses after :data:`HEARTBEATS_TO_LAPSE` heartbeats of silence, or was
    removed in an outage and does not return.
    """
    return HEARTBEATS_TO_LAPSE * heartbeat + RETURN_SECONDS


def possible_ends(fates: Iterable[LossFate]) -> int:
    """Return how many engines have ended, or may have."""
    return sum(fate in (LossFate.ENDED, LossFate.UNKNOWN) for fate in fates)


def verdict_of(fates: Sequence[LossFate]) -> Verdict:
    """Return whether a request with other attempts of these fates may be sent to an engine."""
    if sum(fate is LossFate.ENDED for fate in fates) >= MAX_ENDED_ENGINES:
        return Verdict.QUARANTINE
    if not possible_ends(fates):
        return Verdict.RUN
    exposed = sum(fate is not LossFate.SURVIVED for fate in fates)
    if exposed >= MAX_ENDED_ENGINES:
        return Verdict.LOOK_UP
    return Verdict.ISOLATE if exposed == MAX_ENDED_ENGINES - 1 else Verdict.RUN


def generations(losses: Iterable[Loss]) -> list[Loss]:
    """Return the latest of the losses whose nodes knew of equally many before.

    Attempts of strangers with the same content lose engines that end at one moment together.
    """
    ordered = sorted(losses, key=lambda loss: (loss.lost_at, loss.loss_id))
    return list({loss.prior: loss for loss in ordered}.values())


def spread_of(digest: str) -> float:
    """Return where the send of a request is in the spread, from 0 to 1."""
    characters = digest[:4]
    return int(characters, 16) / 16.0 ** len(characters)


def isolation_delay(losses: Sequence[Loss], spread: float, now: float) -> float:
    """Return how long an isolated request waits before its next send (seconds).

    Connections to one engine often fail together, so several losses there do not delay a request.
    """
    if len({loss.instance for loss in losses}) < MAX_ENDED_ENGINES - 1:
        return 0.0
    lost = (loss.lost_at for loss in losses if loss.stage is AttemptStage.LOST)
    latest = max(lost, default=float("-inf"))
    due = latest + ISOLATION_DELAY_SECONDS + spread * ISOLATION_SPREAD_SECONDS
    return max(0.0, due - now)
