"""The known engines, from the configured pools and the machine list."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Address
from yokeline.labels.objects import EnginePool
from yokeline.labels.selectors import Selector, parse_selector
from yokeline.scheduling.engine_state_tracker import EngineConfig

UNREACHABLE_AFTER_FAILURES = 2
"""Consecutive failed load polls after which an engine gets no calls."""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """An engine's load, as ``GET /v1/load`` returns it."""

    running: int = 0
    waiting: int = 0
    cache_tokens_used: int = 0
    cache_tokens: int = 0
    models: tuple[str, ...] = ()
    role: str = ""
    draining: bool = False
    age_seconds: float = 0.0


class MachineEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry of the machine list."""

    address: Address
    labels: dict[str, str]
    leaving: bool


class EngineRecord(msgspec.Struct, kw_only=True):
    """The configuration and the load polls of one engine."""

    name: str
    address: Address
    pool: EnginePool
    labels: dict[str, str]
    report: LoadReport | None = None
    reported_at: float = 0.0
    failures: int = 0
    leaving: bool = False
    next_poll: float = 0.0
    is_polling: bool = False

    def state(self) -> str:
        """Return leaving, unreachable, draining or live, as shown in the admin API."""
        if self.leaving:
            return "leaving"
        if self.failures >= UNREACHABLE_AFTER_FAILURES:
            return "unreachable"
        if self.report is not None and self.report.draining:
            return "draining"
        return "live"

    def usable(self, model: str) -> bool:
        """Return whether new calls for ``model`` may go there; an empty ``model`` matches all."""
        serves = not model or not self.pool.models or model in self.pool.models
        return serves and self.state() == "live"

    def config(self) -> EngineConfig:
        """Return the configured values from which the state tracker makes a view."""
        return EngineConfig(
            name=self.name,
            address=self.address,
            pool=self.pool.name,
            labels=self.labels,
            slots=self.pool.slots,
            cache_tokens=self.pool.cache_tokens,
        )


class EngineCatalog:
    """The engines named by the configured pools and the machine list."""

    def __init__(
        self,
        pools: Callable[[], tuple[EnginePool, ...]],
        machines: Callable[[], tuple[MachineEntry, ...]],
    ) -> None:
        """Create an empty catalog; ``pools`` and ``machines`` are read by :meth:`refresh`."""
        self._pools = pools
        self._machines = machines
        self._selectors: dict[str, Selector] = {}
        self.records: dict[str, EngineRecord] = {}

    def refresh(self) -> tuple[str, ...]:
        """Apply the configured pools and the machine list; return the engines that were removed."""
        machines = self._machines()
        configured: dict[str, EngineRecord] = {}
        for pool in self._pools():
            for record in self._engines_of(pool, machines):
                configured[record.name] = self._updated(record)
        removed = tuple(name for name in self.records if name not in configured)
        self.records = configured
        return removed

    def allowed(self, model: str, selector: str) -> list[EngineRecord]:
        """Return the usable engines for a model that match a label selector."""
        matcher = self._selector(selector)
        return [
            record
            for record in self.records.values()
            if record.usable(model) and matcher.matches(record.labels)
        ]

    def _engines_of(
        self, pool: EnginePool, machines: tuple[MachineEntry, ...]
    ) -> list[EngineRecord]:
        leaving = {entry.address for entry in machines if entry.leaving}
        records = []
        for text in pool.addresses:
            address = _parse_address(text)
            records.append(_record(pool, address, pool.labels, address in leaving))
        if pool.machine_selector:
            selector = self._selector(pool.machine_selector)
            for entry in machines:
                if selector.matches(entry.labels):
                    labels = {**entry.labels, **pool.labels}
                    records.append(_record(pool, entry.address, labels, entry.leaving))
        return records

    def _updated(self, record: EngineRecord) -> EngineRecord:
        known = self.records.get(record.name)
        if known is None:
            return record
        known.pool = record.pool
        known.labels = record.labels
        known.leaving = record.leaving
        return known

    def _selector(self, text: str) -> Selector:
        if text not in self._selectors:
            self._selectors[text] = parse_selector(text).unwrap()
        return self._selectors[text]


def _record(
    pool: EnginePool, address: Address, labels: dict[str, str], leaving: bool
) -> EngineRecord:
    return EngineRecord(
        name=f"{pool.name}/{address}",
        address=address,
        pool=pool,
        labels=labels,
        leaving=leaving,
    )


def _parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))
