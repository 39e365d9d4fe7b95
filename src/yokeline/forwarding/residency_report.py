"""What a forwarding node tells the operator of data residency, and its view of storage nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable

from yokeline.effects import Address, LogRecord
from yokeline.forwarding.engines import EngineState
from yokeline.forwarding.model import RoutingTable
from yokeline.forwarding.residency import DataResidency
from yokeline.ledger.regional_texts import COPIES, RegionalTexts, TextNode
from yokeline.registry.nodes import NodeRecord


class ResidencyReporter:
    """Logs each restricted route and tenant once per change of its regions or storage nodes.

    Attributes:
        texts: The node's access to regional texts.
    """

    def __init__(
        self, residency: DataResidency | None = None, texts: RegionalTexts | None = None
    ) -> None:
        """Report on ``residency``; without it, nothing is restricted."""
        self.texts = texts or RegionalTexts(Address("", 0))
        self._residency = residency or DataResidency()
        self._is_due = False
        self._version = 0
        self._reported: dict[tuple[str, str], tuple[tuple[str, ...], int]] = {}

    def set_storage(self, records: Iterable[NodeRecord], retiring: Collection[str]) -> None:
        """Set the storage nodes, and the names of those that retire."""
        records = list(records)
        region_of = self._residency.restriction.region_of
        self._residency.set_storage_zones(record.zone for record in records)
        self.texts.set_nodes(
            TextNode(
                name=record.name,
                replica=record.replica,
                address=record.address,
                region=region_of(record.zone),
                is_retiring=record.name in retiring,
            )
            for record in records
        )
        self._is_due = True

    def report(self, table: RoutingTable | None, engines: Iterable[EngineState]) -> list[LogRecord]:
        """Return the lines that are due after a change of the configuration or the nodes."""
        if table is None or not self._residency.is_active:
            return []
        if not self._is_due and table.version == self._version:
            return []
        self._is_due = False
        self._version = table.version
        subjects = [("route", route.name, route.allowed_regions) for route in table.routes]
        if table.tenants is not None:
            tenants = sorted(table.tenants.tenants, key=lambda tenant: tenant.name)
            subjects += [("tenant", tenant.name, tenant.allowed_regions) for tenant in tenants]
        zones: Counter[str] | None = None
        current: dict[tuple[str, str], tuple[tuple[str, ...], int]] = {}
        lines: list[LogRecord] = []
        for kind, name, regions in subjects:
            if not regions:
                continue
            storage = self.texts.storage_nodes(regions)
            current[kind, name] = (regions, storage)
            if self._reported.get((kind, name)) == current[kind, name]:
                continue
            if zones is None:
                zones = Counter(state.engine.zone for state in engines)
            allowed = frozenset(regions)
            is_allowed = self._residency.restriction.is_allowed
            in_regions = sum(count for zone, count in zones.items() if is_allowed(zone, allowed))
            lines.append(_line(kind, name, regions, in_regions, storage, table.version))
        self._reported = current
        return lines


def _line(
    kind: str, name: str, regions: tuple[str, ...], engines: int, storage: int, version: int
) -> LogRecord:
    """Return the line of one route or tenant; a warning if texts get fewer copies than usual."""
    fields: dict[str, str | int | float | bool | None] = {
        kind: name,
        "regions": " ".join(sorted(regions)),
        "engines": engines,
        "storage_nodes": storage,
        "copies": min(COPIES, storage),
        "version": version,
    }
    level = "info" if engines and storage >= COPIES else "warning"
    return LogRecord(event="data_residency", fields=fields, level=level)
