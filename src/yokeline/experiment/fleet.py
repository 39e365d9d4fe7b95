"""The engines of an experiment with what the scheduler knows of them.

The views that policies decide on come from the production code's own ledger
(``scheduling.engine_state_tracker``); it hears of calls and pauses at once and of the engines'
load late.
"""

from __future__ import annotations

import simpy

from yokeline.effects import Address
from yokeline.emulator.engine.books import ContextHistory
from yokeline.emulator.engine.calls import CallEnded, CallProgress, EngineOutput
from yokeline.emulator.engine.parameters import EngineParameters
from yokeline.experiment.engines import OutputHandler, SimulatedEngine
from yokeline.experiment.metrics import CacheTotals
from yokeline.scheduling.engine_state_tracker import CallEnd, EngineConfig, EngineStateTracker
from yokeline.scheduling.interface import CallDemand, EngineView
from yokeline.scheduling.tracked_engine import LoadState

POOL = "agents"
ENGINE_PORT = 8000


class Fleet:
    """The engines and the ledger.

    Attributes:
        parameters: Of each engine.
        ledger: What the scheduler knows.
        engines: The engines by name.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        parameters: EngineParameters,
        count: int,
        seed: int,
        handle: OutputHandler,
    ) -> None:
        """Create idle engines; ``handle`` gets their outputs after the ledger."""
        self.parameters = parameters
        self.ledger = EngineStateTracker()
        self._environment = environment
        self._handle = handle
        history = ContextHistory()
        self.engines: dict[str, SimulatedEngine] = {}
        self._facts: dict[str, EngineConfig] = {}
        for number in range(count):
            facts = _facts(number, parameters)
            self._facts[facts.name] = facts
            self.engines[facts.name] = SimulatedEngine(
                environment, facts.name, parameters, f"{seed}/{number}", history, self._output
            )

    def now_at(self, engine: str) -> float:
        """Return the time for a call of an engine's model, which must not run backwards."""
        return max(self._environment.now, self.engines[engine].model.now)

    def views(self, demand: CallDemand) -> tuple[EngineView, ...]:
        """Return what the policy may know of the engines for a call."""
        now = self._environment.now
        return tuple(self.ledger.view(facts, demand, now) for facts in self._facts.values())

    def facts(self, engine: str) -> EngineConfig:
        """Return the configured facts of an engine."""
        return self._facts[engine]

    def read_load(self) -> None:
        """Take a load report of each engine; it shows a state of some time ago."""
        for name, engine in self.engines.items():
            now = self.now_at(name)
            state = engine.model.load(now)
            report = LoadState(
                running=state.running,
                waiting=state.waiting,
                cache_tokens_used=state.cache_tokens_used,
                cache_tokens=self.parameters.cache_tokens,
            )
            taken_at = now - self.parameters.load_lag_seconds
            self.ledger.report_received(name, report, taken_at)

    def _output(self, engine: str, output: EngineOutput) -> None:
        now = self._environment.now
        if isinstance(output, CallProgress):
            self.ledger.text_received(output.call_id, now)
        elif isinstance(output, CallEnded):
            end = CallEnd(
                ok=True,
                prompt_tokens=output.usage.prompt_tokens,
                cached_tokens=output.usage.cached_tokens,
                completion_tokens=output.usage.completion_tokens,
            )
            self.ledger.call_ended(output.call_id, end, now)
        self._handle(engine, output)

    def cache_totals(self) -> CacheTotals:
        """Return the totals over all engines."""
        totals = [engine.model.books.totals for engine in self.engines.values()]
        return CacheTotals(
            prefill_tokens=sum(total.prefill_tokens for total in totals),
            cached_tokens=sum(total.cached_tokens for total in totals),
            rebuilt_tokens=sum(total.recomputed_tokens for total in totals),
            held_token_seconds=sum(total.held_token_seconds for total in totals),
            wasted_hold_token_seconds=sum(total.wasted_hold_token_seconds for total in totals),
            busy_seconds=sum(total.busy_seconds for total in totals),
        )


def _facts(number: int, parameters: EngineParameters) -> EngineConfig:
    address = Address(f"10.0.0.{number + 1}", ENGINE_PORT)
    return EngineConfig(
        name=f"{POOL}/{address}",
        address=address,
        pool=POOL,
        labels={},
        slots=parameters.slots,
        cache_tokens=parameters.cache_tokens,
    )
