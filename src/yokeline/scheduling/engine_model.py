"""Predicts how long a turn takes at an engine, learned from the turns served there.

A turn's time has two parts: the time to the first event, linear in the prompt tokens to prefill,
and the interval between events, linear in the number of concurrent turns. Both lines are fitted to
one node's observations of a pool, with exponentially decaying weights. Engines of a pool differ in
speed, so an observation is divided by its engine's relative pace
(:mod:`yokeline.scheduling.engine_profiles`) before it enters a fit. The fits are therefore
comparable between nodes that use fast and slow engines.

Before the first observation, :data:`DEFAULT_PRIOR` assumes slow prefill, so that the turns of a
program are sent to the engine that caches its prompt. Its weight is that of a few observations.
"""

from __future__ import annotations

import msgspec

from yokeline.scheduling.engine_profiles import (
    UNKNOWN_PACE,
    EngineProfile,
    ReportedProfile,
    merge_paces,
)

OBSERVATION_DECAY = 0.985
"""Factor by which each new observation reduces the weight of earlier ones."""
OUTLIER_FACTOR = 3.0
"""Bound on the ratio of an observation to its prediction, so that a stalled process does not
distort a fit."""
PRIOR_DECAY = 0.9
MIN_PRIOR_WEIGHT = 0.02
"""Lower bound on the weight of the prior, which decays faster than observations. It keeps a fit
defined when all observations are at the same x."""
TYPICAL_PACE_WEIGHT = 0.05
"""Weight of one turn in the typical pace of the engines that this node has used."""
MIN_TURNS = 4
"""Turns after which the fit describes the pool rather than the prior."""
EVENTS_WEIGHT = 0.05
"""Weight of one turn in the mean number of events."""
MAX_HINT_FACTOR = 4.0
"""Bound on the ratio of a caller's estimate of a turn's events to the mean number."""
MIN_SECONDS = 1e-4
"""Lower bound on predicted and observed times."""


class PriorPoint(msgspec.Struct, frozen=True):
    """An assumed observation, weighted in units of real ones."""

    x: float
    y: float
    weight: float


class LinearFit:
    """A line ``y = intercept + slope * x`` with both coefficients at least 0."""

    def __init__(self, prior: tuple[PriorPoint, ...]) -> None:
        """Start from assumed observations at two or more values of x."""
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
        """Add an observation."""
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
    """Assumptions about engines before the first observation.

    Attributes:
        prefill: Seconds until the first event, by prompt tokens to prefill.
        event_interval: Seconds between events, by concurrent turns.
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
    """Measurements of a turn that one engine served completely.

    Attributes:
        uncached_tokens: Prompt tokens that the engine was expected to prefill when the turn was
            sent.
        concurrent_turns: Concurrent turns at the engine, averaged over the turn's start and end.
        first_event_seconds: Time from sending the turn to its first event.
        event_seconds: Mean interval between events; None with too few events to measure it.
        events: Number of its events.
    """

    engine_id: str
    uncached_tokens: int
    concurrent_turns: float
    first_event_seconds: float
    event_seconds: float | None
    events: int


class Prediction(msgspec.Struct, frozen=True):
    """Predicted effect of a turn.

    Attributes:
        seconds: Seconds that it takes.
        delay_to_others: Seconds by which it delays the concurrent turns, in total.
    """

    seconds: float
    delay_to_others: float

    @property
    def cost(self) -> float:
        """Seconds of all affected turns together."""
        return self.seconds + self.delay_to_others


class ObservedPace(msgspec.Struct, frozen=True, kw_only=True):
    """What one turn showed of its engine's pace.

    Attributes:
        slowness: The turn's interval between events, relative to the typical interval in the pool
            with as many concurrent turns; 0 with too few events to measure it.
        pace_seconds: The turn's interval between events with the effect of concurrent turns
            removed; 0 if unknown.
    """

    slowness: float = 0.0
    pace_seconds: float = 0.0


NO_PACE = ObservedPace()


class EngineLatencyModel:
    """One node's latency model of the engines of a pool.

    It learns from the node's own turns and from the profiles that the ledger's leader reports.
    """

    def __init__(self, prior: ModelPrior = DEFAULT_PRIOR) -> None:
        """Start from the prior."""
        self._prefill_fit = LinearFit(prior.prefill)
        self._interval_fit = LinearFit(prior.event_interval)
        self._profiles: dict[str, EngineProfile] = {}
        self._turns_observed = 0
        self._reference_pace = 0.0
        self._own_typical_pace = 0.0
        self._reported_typical_pace = 0.0
        self.events = prior.events

    @property
    def prefill_seconds_per_token(self) -> float:
        """Seconds to prefill a prompt token."""
        return self._typical_relative_pace * self._prefill_fit.slope

    @property
    def typical_turn_seconds(self) -> float:
        """Seconds of an average turn that runs alone and has its prompt cached."""
        return self._typical_relative_pace * (
            self._prefill_fit.intercept + self.events * self._interval_fit.intercept
        )

    def slowdown_factor(
        self, engine_id: str, now: float, reported_profile: ReportedProfile | None = None
    ) -> float:
        """Return an engine's baseline pace as a multiple of the pool's typical one."""
        return self._baseline_pace(engine_id, now, reported_profile) / self._typical_pace

    def set_typical_pace(self, seconds: float) -> None:
        """Set the typical pace of the pool's engines, from the leader's profiles; 0 if unknown."""
        self._reported_typical_pace = seconds
        self._set_reference_pace(seconds)

    def observe(
        self, turn: ServedTurn, now: float, reported_profile: ReportedProfile | None = None
    ) -> ObservedPace:
        """Learn from a turn that ended now.

        ``reported_profile`` is the profile of its engine that the ledger's leader reported.
        """
        self.events += EVENTS_WEIGHT * (turn.events - self.events)
        if turn.event_seconds is None:
            self._observe_prefill(turn, now, reported_profile)
            return NO_PACE
        event_seconds = max(MIN_SECONDS, turn.event_seconds)
        pace_seconds = event_seconds / self._load_slowdown(turn.concurrent_turns)
        slowness = self._slowness_ratio(pace_seconds)
        self._set_reference_pace(pace_seconds)
        profile = self._profiles.setdefault(turn.engine_id, EngineProfile())
        profile.note_pace(pace_seconds, now)
        self._update_own_typical_pace(profile.pace(now).seconds)
        self._turns_observed += 1
        self._observe_prefill(turn, now, reported_profile)
        relative = self._relative_pace(turn.engine_id, now, reported_profile)
        self._interval_fit.observe(turn.concurrent_turns, event_seconds / relative)
        is_fit_ready = self._turns_observed >= MIN_TURNS
        return ObservedPace(slowness=slowness, pace_seconds=pace_seconds if is_fit_ready else 0.0)

    def predict(
        self,
        engine_id: str,
        *,
        uncached_tokens: int,
        concurrent_turns: int,
        now: float,
        reported_profile: ReportedProfile | None = None,
        reported_slowness: float = 1.0,
        hinted_events: float | None = None,
    ) -> Prediction:
        """Return what a turn costs at an engine.

        Args:
            engine_id: The engine.
            uncached_tokens: Prompt tokens that it would have to prefill.
            concurrent_turns: Turns in progress there.
            now: When the turn would be sent.
            reported_profile: The engine's profile as reported by the ledger's leader; None if it
                reported none.
            reported_slowness: Slowness that the ledger's leader reported, for leaders that report
                no profiles.
            hinted_events: The caller's estimate of the turn's events, limited by
                :data:`MAX_HINT_FACTOR`.
        """
        events = self._expected_events(hinted_events)
        relative = self._current_relative_pace(engine_id, now, reported_profile, reported_slowness)
        prefill_seconds = relative * self._prefill_fit.slope * uncached_tokens
        decode_seconds = relative * events * self._interval_fit.predict(concurrent_turns)
        slowdown_seconds = relative * events * self._interval_fit.slope
        seconds = relative * self._prefill_fit.intercept + prefill_seconds + decode_seconds
        return Prediction(seconds, concurrent_turns * (prefill_seconds + slowdown_seconds))

    @property
    def _typical_pace(self) -> float:
        """Seconds between the events of a turn that runs alone at an engine of typical pace."""
        return (
            self._reported_typical_pace or self._own_typical_pace or self._interval_fit.predict(0.0)
        )

    @property
    def _typical_relative_pace(self) -> float:
        return self._typical_pace / self._reference_pace if self._reference_pace else 1.0

    def _set_reference_pace(self, seconds: float) -> None:
        """Set the pace that the fits refer to, unless it is set already.

        Its value cancels out, since observations are divided by it and predictions multiplied. It
        is never changed, so that engines that come or go do not distort the fits.
        """
        self._reference_pace = self._reference_pace or seconds

    def _load_slowdown(self, concurrent_turns: float) -> float:
        """Return the factor by which concurrent turns slow a turn down."""
        return self._interval_fit.predict(concurrent_turns) / self._interval_fit.predict(0.0)

    def _slowness_ratio(self, pace_seconds: float) -> float:
        ratio = pace_seconds / self._typical_pace
        return min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)

    def _update_own_typical_pace(self, pace: float) -> None:
        weight = max(TYPICAL_PACE_WEIGHT, 1.0 / (self._turns_observed + 1))
        self._own_typical_pace += weight * (pace - self._own_typical_pace)

    def _observe_prefill(
        self, turn: ServedTurn, now: float, reported_profile: ReportedProfile | None
    ) -> None:
        relative = self._relative_pace(turn.engine_id, now, reported_profile)
        self._prefill_fit.observe(turn.uncached_tokens, turn.first_event_seconds / relative)

    def _baseline_pace(
        self, engine_id: str, now: float, reported_profile: ReportedProfile | None
    ) -> float:
        profile = self._profiles.get(engine_id)
        own = profile.pace(now) if profile is not None else UNKNOWN_PACE
        other = reported_profile.pace(now) if reported_profile is not None else UNKNOWN_PACE
        return merge_paces(own, other, self._typical_pace)

    def _relative_pace(
        self, engine_id: str, now: float, reported_profile: ReportedProfile | None
    ) -> float:
        """Return an engine's baseline pace as a multiple of the reference pace."""
        if not self._reference_pace:
            return 1.0
        return self._baseline_pace(engine_id, now, reported_profile) / self._reference_pace

    def _current_relative_pace(
        self,
        engine_id: str,
        now: float,
        reported_profile: ReportedProfile | None,
        reported_slowness: float,
    ) -> float:
        """Return an engine's relative pace including its temporary slowdown."""
        relative = self._relative_pace(engine_id, now, reported_profile)
        if reported_profile is not None:
            return relative * reported_profile.spell_at(now)
        profile = self._profiles.get(engine_id)
        relative *= profile.spell(now) if profile is not None else 1.0
        if reported_slowness <= 1:
            return relative
        return max(relative, reported_slowness * self._typical_relative_pace)

    def _expected_events(self, hinted: float | None) -> float:
        if hinted is None:
            return self.events
        return min(max(hinted, self.events / MAX_HINT_FACTOR), self.events * MAX_HINT_FACTOR)

    def forget(self, engine_id: str) -> None:
        """Remove an engine."""
        self._profiles.pop(engine_id, None)
