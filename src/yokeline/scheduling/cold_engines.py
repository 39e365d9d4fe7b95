"""Keeps the requests to cold engines within the rate that the engines sustain, over all nodes.

A cold engine fails well above a rate, and its load then falls on the next engine. While an engine
is cold, a node sends to it only within its share of the rate (:mod:`cold_rate_shares`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from yokeline.scheduling.cold_rate_shares import (
    MAX_VIEW_AGE_SECONDS,
    WINDOW_SECONDS,
    NodeViews,
    SendWindow,
    SharePlan,
    plan_shares,
    probe_interval,
    share_holders,
)
from yokeline.scheduling.eligibility import EngineQuery, Ineligibility

MAX_SHARE_WAIT_SECONDS = 1.0
"""Longest time until this node may send at which a request waits for a cold engine. If no engine of
the pool is free sooner, the caller is better served by another node."""
ASSUMED_SLOT_SECONDS = 1.0
"""Time for which a request occupies a slot while none was observed."""
MAX_REMOVED_INSTANCES = 1024
"""Removed engines and incarnations that are remembered."""


class ColdEngine(msgspec.Struct, frozen=True):
    """Why and for how long an engine counts as cold.

    Attributes:
        since: When the engine turned cold at this node.
        until: When the engine is warm; infinite for a silent engine, whose state is not known.
        reason: Cause, for the log.
    """

    since: float
    until: float
    reason: str


class _Instance(msgspec.Struct):
    """What this node has sent to an engine, over all incarnations of the engine.

    Attributes:
        window: Requests that may arrive within the same second.
        cold_from: When the engine turned cold, if ``next_at`` does not reflect it yet.
        next_at: When the next request is due at the average rate.
        probe_at: When a node without a share may probe the engine if it is silent.
        probed_at: When this node probed it last.
    """

    window: SendWindow
    cold_from: float | None = None
    next_at: float = -math.inf
    probe_at: float = math.inf
    probed_at: float = -math.inf


class _Engine(msgspec.Struct, frozen=True):
    instance: str
    rate: float


class ColdEngineRates:
    """Restricts one node's sends to cold engines; a ``Restriction``.

    Attributes:
        view_age: Returns the age of the view of the registered nodes at a time (seconds).
        sends: Requests sent to cold engines.
        withheld: Choices that left out a cold engine.
    """

    def __init__(self, node: str, overage: float, slack: float, starts_at: float) -> None:
        """Restrict the sends of ``node``.

        Args:
            node: Name of this node.
            overage: Multiple of a cold engine's rate that may arrive in any second.
            slack: Requests on top of that.
            starts_at: Start of the process. An earlier process of this node may have sent until
                then, so no share is used for the next second.
        """
        self.view_age: Callable[[float], float] = _no_age
        self.sends = 0
        self.withheld = 0
        self._node = node
        self._overage = overage
        self._slack = slack
        self._usable_from = starts_at + WINDOW_SECONDS
        self._views = NodeViews(node)
        self._engines: dict[str, _Engine] = {}
        self._instances: dict[str, _Instance] = {}
        self._cold: dict[str, ColdEngine] = {}
        self._removed: dict[str, str] = {}
        """Instances of removed incarnations, whose requests may still end."""

    # ------------------------------------------------------------ knowledge

    @property
    def is_active(self) -> bool:
        """Whether any engine is cold; choices cost no more than without a rate otherwise."""
        return bool(self._cold)

    @property
    def has_rates(self) -> bool:
        """Whether any engine has a rate for the time in which it is cold."""
        return bool(self._engines)

    def set_engine(self, engine_id: str, instance: str, rate: float) -> None:
        """Set the rate of an engine; a rate of 0 removes all bounds."""
        if rate <= 0:
            self.forget(engine_id)
            return
        self._engines[engine_id] = _Engine(instance, rate)
        if instance not in self._instances:
            self._instances[instance] = _Instance(SendWindow())
            if len(self._instances) > len(self._engines) + MAX_REMOVED_INSTANCES:
                used = {item.instance for item in self._engines.values()}
                self._instances = {
                    name: item for name, item in self._instances.items() if name in used
                }

    def set_cold(self, engine_id: str, until: float, reason: str, now: float) -> None:
        """Count an engine as cold until a time; an earlier time than before shortens it."""
        engine = self._engines.get(engine_id)
        if engine is None:
            return
        known = self._cold.get(engine_id)
        was_cold = known is not None and now < known.until
        since = known.since if known is not None and was_cold else now
        self._cold[engine_id] = ColdEngine(since, until, reason)
        if not was_cold:
            self._instances[engine.instance].cold_from = now
        if math.isinf(until) and not (was_cold and known is not None and math.isinf(known.until)):
            self._schedule_probe(engine, now)

    def set_warm(self, engine_id: str) -> None:
        """Count an engine as warm."""
        self._cold.pop(engine_id, None)

    def forget(self, engine_id: str) -> None:
        """Remove an engine. What was sent to its instance is kept for its next incarnation."""
        self._cold.pop(engine_id, None)
        engine = self._engines.pop(engine_id, None)
        if engine is not None:
            self._removed[engine_id] = engine.instance
            if len(self._removed) > MAX_REMOVED_INSTANCES:
                del self._removed[next(iter(self._removed))]

    def set_nodes(self, names: Iterable[str], now: float) -> None:
        """Set the registered forwarding nodes."""
        self._views.set_nodes(names, now)

    def cold_engine(self, engine_id: str, now: float) -> ColdEngine | None:
        """Return why an engine is cold; None if it is warm."""
        cold = self._cold.get(engine_id)
        return cold if cold is not None and now < cold.until else None

    def cold_engine_record(self, engine_id: str) -> ColdEngine | None:
        """Return the latest cold time of an engine, which may have passed."""
        return self._cold.get(engine_id)

    def next_warm(self) -> float | None:
        """Return when the next cold engine turns warm; None if none is expected to."""
        times = (cold.until for cold in self._cold.values() if math.isfinite(cold.until))
        return min(times, default=None)

    def cold_count(self, now: float) -> int:
        """Return the number of cold engines."""
        return sum(now < cold.until for cold in self._cold.values())

    # ------------------------------------------------------------ outcomes

    def record_answer(self, engine_id: str, sent_at: float, now: float) -> None:
        """Record that an engine answered a request sent at ``sent_at``."""
        window = self._window(engine_id)
        if window is not None:
            window.record_answer(sent_at, now)

    def record_lost(self, engine_id: str, sent_at: float, now: float) -> None:
        """Record that a request ended without an answer and may still arrive."""
        window = self._window(engine_id)
        if window is not None:
            window.record_lost(sent_at, now)

    def discard_send(self, engine_id: str, sent_at: float, now: float) -> None:
        """Record that a request did not arrive, or does not count."""
        window = self._window(engine_id)
        if window is not None:
            window.discard(sent_at, now)

    def _window(self, engine_id: str) -> SendWindow | None:
        engine = self._engines.get(engine_id)
        name = engine.instance if engine is not None else self._removed.get(engine_id, "")
        instance = self._instances.get(name)
        return instance.window if instance is not None else None

    # ------------------------------------------------------------ restriction

    def check(self, query: EngineQuery, now: float) -> Ineligibility | None:
        """Return why a request may not be sent to an engine now; None if it may."""
        cold = self._cold.get(query.engine_id)
        if cold is None or now >= cold.until:
            return None
        next_send_at = self._next_send_at(query.engine_id, now)
        if next_send_at is not None and next_send_at <= now:
            return None
        self.withheld += 1
        warm_soon = cold.until <= now + MAX_SHARE_WAIT_SECONDS
        may_send_soon = next_send_at is None or next_send_at <= now + MAX_SHARE_WAIT_SECONDS
        if warm_soon or may_send_soon:
            return Ineligibility.COLD_RATE
        return Ineligibility.COLD_WITHOUT_SHARE

    def record_send(self, engine_id: str, now: float) -> None:
        """Record that this node has sent a request to an engine; ignored for a warm engine."""
        engine = self._engines.get(engine_id)
        if engine is None or self.cold_engine(engine_id, now) is None:
            return
        self.sends += 1
        instance = self._instances[engine.instance]
        instance.window.add(now)
        plan = self._plan(engine, now)
        if self._position(engine, plan, now) is not None:
            instance.next_at = max(instance.next_at, now) + plan.interval
        else:
            instance.probed_at = now
            self._schedule_probe(engine, now)

    def record_warm_send(self, engine_id: str, sent_at: float, now: float) -> None:
        """Record a request to a warm engine, which may arrive after the engine has turned cold."""
        engine = self._engines.get(engine_id)
        if engine is None or self.cold_engine(engine_id, now) is not None:
            return
        window = self._instances[engine.instance].window
        window.count(now)
        window.add(sent_at)

    def next_change(self, now: float) -> float | None:
        """Return when a withheld engine may become eligible; None if only an event can tell."""
        changes: list[float] = []
        for engine_id, cold in self._cold.items():
            if now >= cold.until:
                continue
            changes.append(cold.until)
            next_send_at = self._next_send_at(engine_id, now)
            if next_send_at is not None and next_send_at > now:
                changes.append(next_send_at)
        return min((at for at in changes if math.isfinite(at)), default=None)

    def usable_slots(
        self, engine_id: str, zone: str, slots: float, slot_seconds: float, now: float
    ) -> float:
        """Return how many slots of an engine the rate of all nodes can keep occupied."""
        if self.cold_engine(engine_id, now) is None:
            return slots
        rate = self._engines[engine_id].rate
        return min(slots, rate * (slot_seconds or ASSUMED_SLOT_SECONDS))

    # ------------------------------------------------------------ helpers

    def _next_send_at(self, engine_id: str, now: float) -> float | None:
        """Return when this node may send to a cold engine next.

        Infinite without a share, None if it depends on the answer to a request.
        """
        engine = self._engines[engine_id]
        instance = self._instances[engine.instance]
        plan = self._plan(engine, now)
        position = self._position(engine, plan, now)
        if position is None:
            is_silent = math.isinf(self._cold[engine_id].until)
            return max(instance.probe_at, self._usable_from) if is_silent else math.inf
        self._start_pacing(engine, instance, plan, position)
        burst_seconds = (plan.window_sends - 1) * plan.interval
        due = max(instance.next_at - burst_seconds, self._usable_from)
        if instance.window.count(now) < plan.window_sends:
            return due
        leaving = instance.window.next_leaving(now)
        return max(due, leaving) if leaving is not None else None

    def _plan(self, engine: _Engine, now: float) -> SharePlan:
        return plan_shares(engine.rate, self._overage, self._slack, self._views.largest_size(now))

    def _position(self, engine: _Engine, plan: SharePlan, now: float) -> int | None:
        if not plan.holders or self.view_age(now) > MAX_VIEW_AGE_SECONDS:
            return None
        return self._views.position(engine.instance, plan.holders, now)

    def _start_pacing(
        self, engine: _Engine, instance: _Instance, plan: SharePlan, position: int
    ) -> None:
        """Let the holders begin one after the other, at the average rate.

        Many nodes learn at once that an engine is cold, and would send all shares at once.
        """
        if instance.cold_from is None:
            return
        burst_seconds = (plan.window_sends - 1) * plan.interval
        first_at = instance.cold_from + (position + 1) / engine.rate
        instance.next_at = max(instance.next_at, first_at + burst_seconds)
        instance.cold_from = None

    def _schedule_probe(self, engine: _Engine, now: float) -> None:
        """Set the next probe of a silent engine.

        After a silence begins, each node starts at its own time. Two probes by one node are a
        whole interval apart, since the interval bounds the probes of all nodes together.
        """
        nodes = self._views.nodes
        count = max(1, len(nodes))
        interval = probe_interval(engine.rate, self._overage, self._slack, count)
        order = share_holders(engine.instance, nodes, len(nodes))
        place = order.index(self._node) + 1 if self._node in order else len(order) + 1
        instance = self._instances[engine.instance]
        if math.isinf(interval):
            instance.probe_at = math.inf
            return
        staggered_at = now + interval * place / count
        is_probe = instance.probed_at == now
        earliest_at = instance.probed_at + interval
        instance.probe_at = earliest_at if is_probe else max(staggered_at, earliest_at)


def _no_age(_now: float) -> float:
    """Return the age of a view that is always fresh."""
    return 0.0
