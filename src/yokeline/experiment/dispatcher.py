"""Gives model calls to engines as the executor's queue does, under the policy to be measured."""

from __future__ import annotations

import msgspec
import simpy
from returns.result import Failure

from yokeline.emulator.engine.calls import CallEnded, CallProgress, CallUsage, EngineCall
from yokeline.emulator.engine.calls import EngineOutput as Output
from yokeline.experiment.cache_actions import CacheActions
from yokeline.experiment.fleet import Fleet
from yokeline.experiment.metrics import CallSeconds
from yokeline.runs.engine_queue import MAX_FAILED_CHOICES
from yokeline.scheduling.interface import CallDemand, EngineChoice, SchedulingPolicy


class CallOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """A model call that ended."""

    engine: str
    usage: CallUsage


class PendingCall(msgspec.Struct, kw_only=True):
    """A model call from its request to its end."""

    demand: CallDemand
    call: EngineCall
    done: simpy.Event
    sent_at: float = 0.0
    first_token_at: float = 0.0


class Dispatcher:
    """The queue of waiting calls and the calls under way.

    Attributes:
        seconds: Where the time of the calls that ended went.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        policy: SchedulingPolicy,
        fleet: Fleet,
        actions: CacheActions,
    ) -> None:
        """Create an empty queue."""
        self._environment = environment
        self._policy = policy
        self._fleet = fleet
        self._actions = actions
        self.seconds = CallSeconds()
        self._waiting: list[PendingCall] = []
        self._sent: dict[str, PendingCall] = {}
        self._pump_scheduled = False

    def request(self, demand: CallDemand, call: EngineCall) -> simpy.Event:
        """Queue a call; the event's value is a :class:`CallOutcome`."""
        done = self._environment.event()
        known = self._fleet.ledger.with_expected_completion(demand)
        pending = PendingCall(demand=known, call=call, done=done)
        if self._waiting:
            self._waiting.append(pending)
            self.pump_soon()
        elif not self._try_send(pending):
            self._waiting.append(pending)
        return done

    def pump_soon(self) -> None:
        """Look for engines for the waiting calls, once all events of this time happened."""
        if self._waiting and not self._pump_scheduled:
            self._pump_scheduled = True
            self._environment.timeout(0).callbacks.append(lambda _event: self._pump())

    def output(self, engine: str, output: Output) -> None:
        """Take an output of an engine."""
        if isinstance(output, CallProgress):
            pending = self._sent.get(output.call_id)
            if pending is not None:
                pending.first_token_at = output.at
                self._actions.resumed(pending.demand, engine)
        elif isinstance(output, CallEnded):
            pending = self._sent.pop(output.call_id)
            self._count(pending, output.at)
            pending.done.succeed(CallOutcome(engine=engine, usage=output.usage))
            self.pump_soon()

    def _count(self, pending: PendingCall, ended_at: float) -> None:
        self.seconds.queue += pending.sent_at - pending.demand.waiting_since
        self.seconds.first_token += pending.first_token_at - pending.sent_at
        self.seconds.decode += ended_at - pending.first_token_at

    def _pump(self) -> None:
        self._pump_scheduled = False
        now = self._environment.now
        order = self._policy.order([pending.demand for pending in self._waiting], now)
        ordered = [self._waiting[index] for index in order]
        failures = 0
        for pending in ordered:
            if self._try_send(pending):
                self._waiting.remove(pending)
                continue
            failures += 1
            if failures >= MAX_FAILED_CHOICES:
                return

    def _try_send(self, pending: PendingCall) -> bool:
        now = self._environment.now
        views = self._fleet.views(pending.demand)
        choice = self._policy.choose(pending.demand, views, now)
        if not isinstance(choice, EngineChoice):
            return False
        self._send(pending, choice.engine)
        return True

    def _send(self, pending: PendingCall, engine: str) -> None:
        demand, now = pending.demand, self._environment.now
        pending.sent_at = now
        priority = self._policy.engine_priority(demand, now)
        call = msgspec.structs.replace(pending.call, priority=priority)
        self._sent[call.call_id] = pending
        self._fleet.ledger.call_sent(engine, demand, call.call_id, now)
        self._actions.sent(demand, engine)
        simulated = self._fleet.engines[engine]
        submitted = simulated.model.submit(call, self._fleet.now_at(engine))
        if isinstance(submitted, Failure):
            raise RuntimeError(submitted.failure().line())
        simulated.reschedule()
