"""Carries out cache decisions at the engines, and ends holds when a run goes on."""

from __future__ import annotations

import simpy

from yokeline.experiment.fleet import Fleet
from yokeline.identifiers import RunId
from yokeline.scheduling.forecast import PauseForecast
from yokeline.scheduling.interface import (
    CacheAction,
    CacheDecision,
    CallDemand,
    PauseKind,
    ProgramPause,
    SchedulingPolicy,
)

HoldPlace = tuple[str, RunId]
"""Engine and cache key of a hold."""


class CacheActions:
    """Holds and drops of the programs of an experiment."""

    def __init__(
        self,
        environment: simpy.Environment,
        policy: SchedulingPolicy,
        fleet: Fleet,
        hold_max_seconds: float,
    ) -> None:
        """Create it; nothing is held."""
        self._environment = environment
        self._policy = policy
        self._fleet = fleet
        self._hold_max_seconds = hold_max_seconds
        self._holders: dict[HoldPlace, dict[RunId, float]] = {}

    # ------------------------------------------------------------ pauses

    def pause_started(self, pause: ProgramPause, forecast: PauseForecast | None = None) -> None:
        """Decide on the context of a program that pauses, and carry it out.

        Args:
            pause: The pause.
            forecast: Its true length, for a clairvoyant policy only.
        """
        now = self._environment.now
        context = self._fleet.ledger.pause_context(
            pause,
            self._fleet.facts(pause.engine),
            hold_max_seconds=self._hold_max_seconds,
            now=now,
            forecast=forecast,
        )
        decision = self._policy.cache_decision(context)
        self._fleet.ledger.pause_started(context, decision, now)
        if decision.action is CacheAction.HOLD:
            self._hold(pause, decision)
        if pause.kind is PauseKind.END and pause.run == pause.cache_key:
            self._program_ended(pause, dropped=decision.action is CacheAction.DROP)
        elif decision.action is CacheAction.DROP:
            self._drop(pause.engine, pause.cache_key)

    def pause_ended(self, kind: PauseKind, name: str, seconds: float) -> None:
        """Let the predictor learn from a pause that is over."""
        self._fleet.ledger.pauses.observe(kind, name, seconds)

    def _hold(self, pause: ProgramPause, decision: CacheDecision) -> None:
        seconds, key = decision.hold_seconds, pause.cache_key
        simulated = self._fleet.engines[pause.engine]
        now = self._fleet.now_at(pause.engine)
        held = simulated.model.hold(key, pause.tenant, seconds, now)
        if held:
            self._holders.setdefault((pause.engine, key), {})[pause.run] = now + seconds
        else:
            self._fleet.ledger.engine(pause.engine).hold_ended(key)
        simulated.reschedule()

    def _program_ended(self, pause: ProgramPause, *, dropped: bool) -> None:
        engines = self._fleet.ledger.program_ended(pause.cache_key)
        for engine in dict.fromkeys((pause.engine, *engines)):
            if dropped:
                self._drop(engine, pause.cache_key)
            else:
                self._release(engine, pause.cache_key)

    def _drop(self, engine: str, cache_key: RunId) -> None:
        self._holders.pop((engine, cache_key), None)
        simulated = self._fleet.engines[engine]
        simulated.model.drop(cache_key, self._fleet.now_at(engine))
        simulated.reschedule()

    # ------------------------------------------------------------ runs that go on

    def sent(self, demand: CallDemand, engine: str) -> None:
        """Note a run's next call: what is held for it at other engines is of no use."""
        for place in list(self._holders):
            if place[1] == demand.cache_key and place[0] != engine:
                self._end_hold(place, demand.run)

    def resumed(self, demand: CallDemand, engine: str) -> None:
        """Note the first text of a run's next call, which now references its context."""
        self._end_hold((engine, demand.cache_key), demand.run)

    def _end_hold(self, place: HoldPlace, run: RunId) -> None:
        """End a run's part in a hold; the hold ends with the last run that needs it."""
        holders = self._holders.get(place)
        if holders is None or holders.pop(run, None) is None:
            return
        now = self._environment.now
        if all(until <= now for until in holders.values()):
            self._release(*place)

    def _release(self, engine: str, cache_key: RunId) -> None:
        if self._holders.pop((engine, cache_key), None) is None:
            return
        self._fleet.ledger.engine(engine).hold_ended(cache_key)
        simulated = self._fleet.engines[engine]
        simulated.model.release(cache_key, self._fleet.now_at(engine))
        simulated.reschedule()
