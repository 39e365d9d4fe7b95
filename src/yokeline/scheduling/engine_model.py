"""What a turn costs at an engine, learned from the turns that were served there.

A turn's time has two parts: until its first event, which grows with the prompt tokens that the
engine has to read, and between its events, which grows with the turns that run beside it. Both are
lines fitted to what a node observes of a pool, the latest observations counting most. Engines of
a pool differ in speed; each has a pace of its own (:mod:`yokeline.scheduling.engine_profiles`),
which is divided out of an observation before it goes into a line. So a line says the same at a
node that uses the fast engines as at one that uses the slow ones. The model is pure: observations
go in, predictions come out, and it keeps a handful of numbers for each engine that it has used.

Before anything is seen, :data:`SAFE_START` holds: an engine that reads slowly, so that a line of
turns stays where it was read. It counts as little as a few observations.
"""

from __future__ import annotations

import msgspec

from yokeline.scheduling.engine_profiles import (
    UNKNOWN_PACE,
    EngineProfile,
    ToldProfile,
    merge_paces,
)

OBSERVATION_DECAY = 0.985
"""Share of its weight that an observation keeps when the next one comes."""
OUTLIER_FACTOR = 3.0
"""An observation counts at most as this multiple of what was predicted (and at least as its
inverse), so that a cut or a pause of a process does not bend the line."""
PRIOR_DECAY = 0.9
MIN_PRIOR_WEIGHT = 0.02
"""Assumed observations fade faster than real ones, down to a share that keeps a line defined
where all real ones lie at one value."""
USUAL_PACE_WEIGHT = 0.05
"""Weight of one turn in the usual pace of the engines that this node has used."""
MIN_TURNS = 4
"""Turns after which a line's shape is the pool's rather than what was assumed of it."""
EVENTS_WEIGHT = 0.05
"""Weight of one turn in the usual number of events."""
MAX_HINT_FACTOR = 4.0
"""A caller's guess of a turn's events counts at most as this multiple of the usual number, and
at least as its inverse."""
MIN_SECONDS = 1e-4


class PriorPoint(msgspec.Struct, frozen=True):
    """An assumed observation, and how many real ones it is worth."""

    x: float
    y: float
    weight: float


class LinearFit:
    """A line ``y = base + slope * x`` with ``base`` and ``slope`` of at least 0."""

    def __init__(self, prior: tuple[PriorPoint, ...]) -> None:
        """Begin with assumed observations at two or more values of x."""
        self._prior = prior
        self._prior_weight = 1.0
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self.intercept = 0.0
        self.slope = 0.0
        self._refit()

    def predict(self, x: float) -> float:
        """Return the predicted y."""
        return max(MIN_SECONDS, self.intercept + self.slope * x)

    def observe(self, x: float, y: float) -> None:
        """Take an observation in."""
        predicted = self.predict(x)
        y = min(max(y, predicted / OUTLIER_FACTOR), predicted * OUTLIER_FACTOR)
        self._prior_weight = max(MIN_PRIOR_WEIGHT, self._prior_weight * PRIOR_DECAY)
        self._weight = self._weight * OBSERVATION_DECAY + 1.0
        self._x = self._x * OBSERVATION_DECAY + x
        self._y = self._y * OBSERVATION_DECAY + y
        self._xx = self._xx * OBSERVATION_DECAY + x * x
        self._xy = self._xy * OBSERVATION_DECAY + x * y
        self._refit()

    def _refit(self) -> None:
        prior, prior_weight = self._prior, self._prior_weight
        total_weight = self._weight + prior_weight * sum(point.weight for point in prior)
        mean_x = (self._x + prior_weight * sum(p.weight * p.x for p in prior)) / total_weight
        mean_y = (self._y + prior_weight * sum(p.weight * p.y for p in prior)) / total_weight
        squares = self._xx + prior_weight * sum(p.weight * p.x * p.x for p in prior)
        products = self._xy + prior_weight * sum(p.weight * p.x * p.y for p in prior)
        variance = squares - total_weight * mean_x**2
        covariance = products - total_weight * mean_x * mean_y
        self.slope = max(0.0, covariance / variance) if variance > 0 else 0.0
        self.intercept = mean_y - self.slope * mean_x
        if self.intercept < 0:
            self.intercept = 0.0
            self.slope = mean_y / mean_x if mean_x > 0 else 0.0


class ModelPrior(msgspec.Struct, frozen=True, kw_only=True):
    """What is assumed of engines before any turn was seen.

    Attributes:
        reading: Seconds until the first event over prompt tokens to read.
        pace: Seconds between events over turns beside it, as a share of the slots.
        events: Events of a turn.
    """

    prefill: tuple[PriorPoint, ...]
    event_interval: tuple[PriorPoint, ...]
    events: float


DEFAULT_PRIOR = ModelPrior(
    prefill=(PriorPoint(0.0, 0.03, 0.5), PriorPoint(10_000.0, 0.5, 0.5)),
    event_interval=(PriorPoint(0.0, 0.02, 0.5), PriorPoint(16.0, 0.04, 0.5)),
    events=10.0,
)


class ServedTurn(msgspec.Struct, frozen=True, kw_only=True):
    """A turn that an engine served whole.

    Attributes:
        unread: Prompt tokens that the engine had to read, as believed when it was sent.
        beside: Turns that ran beside it, the mean of its begin and its end.
        first_event_seconds: From the send to the first event.
        event_seconds: Mean time between two events; None if there was only one.
        events: Number of its events.
    """

    engine_id: str
    unread: int
    beside: float
    first_event_seconds: float
    event_seconds: float | None
    events: int


class Prediction(msgspec.Struct, frozen=True):
    """Seconds that a turn takes, and that it takes from the turns beside it."""

    seconds: float
    delay_to_others: float

    @property
    def cost(self) -> float:
        """The time of all turns together."""
        return self.seconds + self.delay_to_others


class ObservedPace(msgspec.Struct, frozen=True, kw_only=True):
    """What one turn said of its engine's pace.

    Attributes:
        slowness: Its time between events as a multiple of what is usual in the pool at that
            load; 0 if it had too few events to tell.
        alone_seconds: Its time between events as it would be without turns beside it; 0 if that
            cannot be told.
    """

    slowness: float = 0.0
    alone_seconds: float = 0.0


NO_PACE = ObservedPace()


class EngineModel:
    """The engines of one pool, as one node has seen them and was told of them."""

    def __init__(self, prior: ModelPrior = DEFAULT_PRIOR) -> None:
        """Begin with what is assumed."""
        self._prefill_fit = LinearFit(prior.prefill)
        self._interval_fit = LinearFit(prior.event_interval)
        self._profiles: dict[str, EngineProfile] = {}
        self._turns_observed = 0
        self._reference_pace = 0.0
        self._own_usual_pace = 0.0
        self._told_usual_pace = 0.0
        self.events = prior.events

    @property
    def prefill_seconds_per_token(self) -> float:
        """Seconds for a prompt token to read."""
        return self._usual_relative_pace * self._prefill_fit.slope

    @property
    def usual_seconds(self) -> float:
        """Seconds of a usual turn that runs alone and finds its prompt cached."""
        return self._usual_relative_pace * (
            self._prefill_fit.intercept + self.events * self._interval_fit.intercept
        )

    def slowdown_factor(self, engine_id: str, now: float, told: ToldProfile | None = None) -> float:
        """Return how slow an engine is lastingly, as a multiple of the pool's usual."""
        return self._baseline_pace(engine_id, now, told) / self._usual_pace

    def take_usual(self, seconds: float) -> None:
        """Note the usual pace of the pool's engines as it was told; 0 if nothing was."""
        self._told_usual_pace = seconds
        self._set_reference_pace(seconds)

    def observe(
        self, turn: ServedTurn, now: float, told: ToldProfile | None = None
    ) -> ObservedPace:
        """Take a turn in that ended now; ``told`` is what others know of its engine."""
        self.events += EVENTS_WEIGHT * (turn.events - self.events)
        if turn.event_seconds is None:
            self._observe_prefill(turn, now, told)
            return NO_PACE
        event_seconds = max(MIN_SECONDS, turn.event_seconds)
        alone_seconds = event_seconds / self._load_slowdown(turn.beside)
        slowness = self._slowness_ratio(alone_seconds)
        self._set_reference_pace(alone_seconds)
        profile = self._profiles.setdefault(turn.engine_id, EngineProfile())
        profile.note_pace(alone_seconds, now)
        self._update_own_usual_pace(profile.pace(now).seconds)
        self._turns_observed += 1
        self._observe_prefill(turn, now, told)
        relative = self._relative_pace(turn.engine_id, now, told)
        self._interval_fit.observe(turn.beside, event_seconds / relative)
        is_fit_ready = self._turns_observed >= MIN_TURNS
        return ObservedPace(slowness=slowness, alone_seconds=alone_seconds if is_fit_ready else 0.0)

    def predict(
        self,
        engine_id: str,
        *,
        unread: int,
        beside: int,
        now: float,
        told: ToldProfile | None = None,
        told_slowness: float = 1.0,
        hinted_events: float | None = None,
    ) -> Prediction:
        """Return what a turn costs at an engine.

        Args:
            engine_id: The engine.
            unread: Prompt tokens that it would have to read.
            beside: Turns that run there.
            now: When the turn would be sent.
            told: The engine's profile as other nodes have seen it; None if it was not told.
            told_slowness: What other nodes have seen of the engine lately, from a leader that
                tells no profiles.
            hinted_events: The caller's guess of the turn's events; it is often far off, so it
                counts within :data:`HINT_FACTOR` of the usual number.
        """
        events = self._expected_events(hinted_events)
        relative = self._current_relative_pace(engine_id, now, told, told_slowness)
        prefill_seconds = relative * self._prefill_fit.slope * unread
        decode_seconds = relative * events * self._interval_fit.predict(beside)
        slowdown_seconds = relative * events * self._interval_fit.slope
        seconds = relative * self._prefill_fit.intercept + prefill_seconds + decode_seconds
        return Prediction(seconds, beside * (prefill_seconds + slowdown_seconds))

    @property
    def _usual_pace(self) -> float:
        """Seconds between the events of a turn that runs alone at a usual engine."""
        return self._told_usual_pace or self._own_usual_pace or self._interval_fit.predict(0.0)

    @property
    def _usual_relative_pace(self) -> float:
        return self._usual_pace / self._reference_pace if self._reference_pace else 1.0

    def _set_reference_pace(self, seconds: float) -> None:
        """Fix the pace for which the lines stand, with the first that is known.

        Any value would do, since observations are divided by it and predictions multiplied. It
        never changes, so engines that come or go bend no line.
        """
        self._reference_pace = self._reference_pace or seconds

    def _load_slowdown(self, beside: float) -> float:
        """Return how much turns beside it slow a turn down."""
        return self._interval_fit.predict(beside) / self._interval_fit.predict(0.0)

    def _slowness_ratio(self, alone_seconds: float) -> float:
        ratio = alone_seconds / self._usual_pace
        return min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)

    def _update_own_usual_pace(self, pace: float) -> None:
        weight = max(USUAL_PACE_WEIGHT, 1.0 / (self._turns_observed + 1))
        self._own_usual_pace += weight * (pace - self._own_usual_pace)

    def _observe_prefill(self, turn: ServedTurn, now: float, told: ToldProfile | None) -> None:
        relative = self._relative_pace(turn.engine_id, now, told)
        self._prefill_fit.observe(turn.unread, turn.first_event_seconds / relative)

    def _baseline_pace(self, engine_id: str, now: float, told: ToldProfile | None) -> float:
        profile = self._profiles.get(engine_id)
        own = profile.pace(now) if profile is not None else UNKNOWN_PACE
        other = told.pace(now) if told is not None else UNKNOWN_PACE
        return merge_paces(own, other, self._usual_pace)

    def _relative_pace(self, engine_id: str, now: float, told: ToldProfile | None) -> float:
        """Return an engine's lasting pace as a multiple of what the lines stand for."""
        if not self._reference_pace:
            return 1.0
        return self._baseline_pace(engine_id, now, told) / self._reference_pace

    def _current_relative_pace(
        self, engine_id: str, now: float, told: ToldProfile | None, told_slowness: float
    ) -> float:
        """Return the same with the spell that an engine is in."""
        relative = self._relative_pace(engine_id, now, told)
        if told is not None:
            return relative * told.spell_at(now)
        profile = self._profiles.get(engine_id)
        relative *= profile.spell(now) if profile is not None else 1.0
        if told_slowness <= 1:
            return relative
        return max(relative, told_slowness * self._usual_relative_pace)

    def _expected_events(self, hinted: float | None) -> float:
        if hinted is None:
            return self.events
        return min(max(hinted, self.events / MAX_HINT_FACTOR), self.events * MAX_HINT_FACTOR)

    def forget(self, engine_id: str) -> None:
        """Forget an engine that is gone."""
        self._profiles.pop(engine_id, None)
