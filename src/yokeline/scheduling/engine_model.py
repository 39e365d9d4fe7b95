"""What a turn costs at an engine, learned from the turns that were served there.

A turn's time has two parts: until its first event, which grows with the prompt tokens that the
engine has to read, and between its events, which grows with the turns that run beside it. Both are
lines fitted to what a node observes of a pool, the latest observations counting most. Engines of
a pool differ in speed; each has a factor of its own. The model is pure: observations go in,
predictions come out, and it keeps a handful of numbers.

Before anything is seen, :data:`SAFE_START` holds: an engine that reads slowly, so that a line of
turns stays where it was read. It counts as little as a few observations.
"""

from __future__ import annotations

import msgspec

FORGETTING = 0.985
"""Share of its weight that an observation keeps when the next one comes."""
OUTLIER_FACTOR = 3.0
"""An observation counts at most as this multiple of what was predicted (and at least as its
inverse), so that a cut or a pause of a process does not bend the line."""
START_FORGETTING = 0.9
LEAST_START_SHARE = 0.02
"""Assumed observations fade faster than real ones, down to a share that keeps a line defined
where all real ones lie at one value."""
SPEED_WEIGHT = 0.1
"""Weight of one turn in an engine's factor."""
EVENTS_WEIGHT = 0.05
"""Weight of one turn in the usual number of events."""
HINT_FACTOR = 4.0
"""A caller's guess of a turn's events counts at most as this multiple of the usual number, and
at least as its inverse."""
LEAST_SECONDS = 1e-4


class Point(msgspec.Struct, frozen=True):
    """An assumed observation, and how many real ones it is worth."""

    x: float
    y: float
    weight: float


class LineFit:
    """A line ``y = base + slope * x`` with ``base`` and ``slope`` of at least 0."""

    def __init__(self, start: tuple[Point, ...]) -> None:
        """Begin with assumed observations at two or more values of x."""
        self._start = start
        self._start_share = 1.0
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self.base = 0.0
        self.slope = 0.0
        self._solve()

    def at(self, x: float) -> float:
        """Return the predicted y."""
        return max(LEAST_SECONDS, self.base + self.slope * x)

    def observe(self, x: float, y: float) -> None:
        """Take an observation in."""
        predicted = self.at(x)
        y = min(max(y, predicted / OUTLIER_FACTOR), predicted * OUTLIER_FACTOR)
        self._start_share = max(LEAST_START_SHARE, self._start_share * START_FORGETTING)
        self._weight = self._weight * FORGETTING + 1.0
        self._x = self._x * FORGETTING + x
        self._y = self._y * FORGETTING + y
        self._xx = self._xx * FORGETTING + x * x
        self._xy = self._xy * FORGETTING + x * y
        self._solve()

    def _solve(self) -> None:
        start, share = self._start, self._start_share
        weight = self._weight + share * sum(point.weight for point in start)
        mean_x = (self._x + share * sum(p.weight * p.x for p in start)) / weight
        mean_y = (self._y + share * sum(p.weight * p.y for p in start)) / weight
        squares = self._xx + share * sum(p.weight * p.x * p.x for p in start)
        products = self._xy + share * sum(p.weight * p.x * p.y for p in start)
        spread = squares - weight * mean_x**2
        together = products - weight * mean_x * mean_y
        self.slope = max(0.0, together / spread) if spread > 0 else 0.0
        self.base = mean_y - self.slope * mean_x
        if self.base < 0:
            self.base = 0.0
            self.slope = mean_y / mean_x if mean_x > 0 else 0.0


class SafeStart(msgspec.Struct, frozen=True, kw_only=True):
    """What is assumed of engines before any turn was seen.

    Attributes:
        reading: Seconds until the first event over prompt tokens to read.
        pace: Seconds between events over turns beside it, as a share of the slots.
        events: Events of a turn.
    """

    reading: tuple[Point, ...]
    pace: tuple[Point, ...]
    events: float


SAFE_START = SafeStart(
    reading=(Point(0.0, 0.03, 0.5), Point(10_000.0, 0.5, 0.5)),
    pace=(Point(0.0, 0.02, 0.5), Point(16.0, 0.04, 0.5)),
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
    delay_of_others: float

    @property
    def cost(self) -> float:
        """The time of all turns together."""
        return self.seconds + self.delay_of_others


class EngineModel:
    """The engines of one pool, as one node has seen them."""

    def __init__(self, start: SafeStart = SAFE_START) -> None:
        """Begin with what is assumed."""
        self._reading = LineFit(start.reading)
        self._pace = LineFit(start.pace)
        self._factors: dict[str, float] = {}
        self.events = start.events

    @property
    def reading_seconds_per_token(self) -> float:
        """Seconds for a prompt token to read."""
        return self._reading.slope

    @property
    def usual_seconds(self) -> float:
        """Seconds of a usual turn that runs alone and finds its prompt cached."""
        return self._reading.base + self.events * self._pace.base

    def factor(self, engine_id: str) -> float:
        """Return how slow an engine is, as a multiple of the pool's usual."""
        return self._factors.get(engine_id, 1.0)

    def observe(self, turn: ServedTurn) -> float:
        """Take a turn in.

        Returns:
            Its time between events as a multiple of what is usual at that load; 0 if it had
            too few events to tell.
        """
        self._reading.observe(turn.unread, turn.first_event_seconds)
        self.events += EVENTS_WEIGHT * (turn.events - self.events)
        if turn.event_seconds is None:
            return 0.0
        ratio = turn.event_seconds / self._pace.at(turn.beside)
        ratio = min(max(ratio, 1 / OUTLIER_FACTOR), OUTLIER_FACTOR)
        self._pace.observe(turn.beside, turn.event_seconds)
        factor = self.factor(turn.engine_id)
        self._factors[turn.engine_id] = factor + SPEED_WEIGHT * (ratio - factor)
        return ratio

    def predict(
        self,
        engine_id: str,
        *,
        unread: int,
        beside: int,
        told_slowness: float = 1.0,
        hinted_events: float | None = None,
    ) -> Prediction:
        """Return what a turn costs at an engine.

        Args:
            engine_id: The engine.
            unread: Prompt tokens that it would have to read.
            beside: Turns that run there.
            told_slowness: What other nodes have seen of the engine lately.
            hinted_events: The caller's guess of the turn's events; it is often far off, so it
                counts within :data:`HINT_FACTOR` of the usual number.
        """
        events = self._expected_events(hinted_events)
        factor = max(self.factor(engine_id), told_slowness if told_slowness > 1 else 0.0)
        reading = factor * self._reading.slope * unread
        seconds = factor * (self._reading.base + events * self._pace.at(beside)) + reading
        slowed = factor * events * self._pace.slope
        return Prediction(seconds, beside * (reading + slowed))

    def _expected_events(self, hinted: float | None) -> float:
        if hinted is None:
            return self.events
        return min(max(hinted, self.events / HINT_FACTOR), self.events * HINT_FACTOR)

    def forget(self, engine_id: str) -> None:
        """Forget an engine that is gone."""
        self._factors.pop(engine_id, None)
