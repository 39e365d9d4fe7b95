"""Applies the operator's evacuation orders in the registry to a node's engine eligibility."""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from yokeline.effects import Effect, LogRecord
from yokeline.forwarding.engines import EngineTable
from yokeline.registry.formats import DeploymentFormats
from yokeline.registry.protocol import StoredItem
from yokeline.scheduling.zone_evacuation import EvacuationOrder, ZoneEvacuations


class EvacuationEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a zone's evacuation.

    Attributes:
        zone: The zone.
        engine_ids: Ids of the zone's engines that this node knows, in all pools, sorted.
        ended_at: When this node learned of the end (monotonic seconds).
    """

    zone: str
    engine_ids: tuple[str, ...]
    ended_at: float


class Evacuations:
    """Reads evacuation orders from registry items.

    Attributes:
        zones: The restriction that the orders control.
        on_ended: Called when an order was withdrawn; returns further effects, none by default.
    """

    def __init__(
        self, formats: DeploymentFormats, zones: ZoneEvacuations, engines: EngineTable
    ) -> None:
        """Control ``zones`` by the items under the evacuation prefix of ``formats``."""
        self.zones = zones
        self.on_ended: Callable[[EvacuationEnd], list[Effect]] = _no_effects
        self._prefix = formats.evacuation_prefix
        self._engines = engines

    def owns(self, item: StoredItem) -> bool:
        """Return whether an item is an evacuation order, in a deployment that has them."""
        return self.zones.is_enabled and item.key.startswith(self._prefix)

    def apply_change(self, item: StoredItem, now: float, max_age: float) -> list[Effect]:
        """Apply an order or its withdrawal, and log it.

        Args:
            item: The changed item.
            now: Current time.
            max_age: Greatest age that the change can have (seconds); infinite if not known.
        """
        zone = item.key.removeprefix(self._prefix)
        is_evacuated = item.value is not None
        order = self.zones.apply(zone, item.revision, is_evacuated, now, max_age=max_age)
        if order is None:
            return []
        if is_evacuated:
            return [_log_line("zone_evacuation_began", order, item, max_age)]
        engine_ids = sorted(
            state.engine.engine_id for state in self._engines.all() if state.engine.zone == zone
        )
        end = EvacuationEnd(zone=zone, engine_ids=tuple(engine_ids), ended_at=now)
        log_line = _log_line("zone_evacuation_ended", order, item, now - order.seen_at)
        return [log_line, *self.on_ended(end)]


def _log_line(event: str, order: EvacuationOrder, item: StoredItem, age: float) -> LogRecord:
    """Return the line of an order.

    Its ``age`` is the greatest possible one at the start, and at the end the time since the start.
    """
    known_age = round(age, 3) if math.isfinite(age) else None
    return LogRecord(
        event=event,
        fields={
            "zone": order.zone,
            "revision": item.revision,
            "age": known_age,
            "sessions_seconds": round(order.sessions_until - order.seen_at, 3),
        },
    )


def _no_effects(_end: EvacuationEnd) -> list[Effect]:
    """Return no effects; the default callback."""
    return []
