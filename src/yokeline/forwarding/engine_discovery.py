"""Discovers engines through their entries in the key-value service.

An entry describes one incarnation of an engine. The entry may change, disappear and return,
describe a later incarnation, or be written by another program and be invalid.
"""

from __future__ import annotations

import msgspec
from returns.result import Success

from yokeline.effects import Address, CloseIdleConnections, Effect, LogRecord
from yokeline.forwarding.cold_engine_tracker import ColdEngineTracker
from yokeline.forwarding.engines import EngineState, EngineTable
from yokeline.forwarding.forwarder import Forwarder
from yokeline.forwarding.model import Engine
from yokeline.forwarding.outcome_recorder import LogField
from yokeline.registry.formats import DeploymentFormats
from yokeline.registry.protocol import StoredItem

EXPIRY_DRAIN_SHARE = 0.4
"""Share of an engine's drain time for which an engine with a removed entry is kept as a last
resort. The entry may have been removed a while before this node learned of it."""
MASS_REMOVAL_EXPIRY_SECONDS = 2.2
"""Expiry time of engines whose entries were removed together in an outage of the key-value service:
live engines register again within about two seconds of its return."""
MASS_REMOVAL_SHARE = 1 / 3
"""Share of all engines from which on entries removed together count as an outage of the key-value
service; at least two entries."""


class EngineDiscovery:
    """Applies changes of engine entries at one node."""

    def __init__(
        self,
        formats: DeploymentFormats,
        engines: EngineTable,
        forwarder: Forwarder,
        drain_seconds: float,
        now: float,
        cold_engines: ColdEngineTracker,
    ) -> None:
        """Update ``engines``, ``forwarder`` and ``cold_engines``.

        Draining engines serve on for ``drain_seconds``.
        """
        self._formats = formats
        self._engines = engines
        self._forwarder = forwarder
        self._cold_engines = cold_engines
        self._expiry_seconds = EXPIRY_DRAIN_SHARE * drain_seconds
        self._expires_at = now
        self._invalid_keys: set[str] = set()
        self._listed_in_batch: set[str] = set()
        self._listed_at: dict[Address, str] = {}

    def owns(self, item: StoredItem) -> bool:
        """Return whether an item is an engine entry."""
        return item.key.startswith(self._formats.engine_prefix)

    def begin_batch(self, changed: list[StoredItem], remaining: int, now: float) -> None:
        """Start a batch of changes, after which ``remaining`` engine entries are left.

        Many removals in one batch are treated as an outage of the key-value service.
        """
        self._listed_in_batch.clear()
        removed = sum(item.value is None and self.owns(item) for item in changed)
        is_mass_removal = removed >= max(2.0, MASS_REMOVAL_SHARE * (remaining + removed))
        self._expires_at = now + (
            MASS_REMOVAL_EXPIRY_SECONDS if is_mass_removal else self._expiry_seconds
        )

    def apply_change(self, item: StoredItem, now: float) -> list[Effect]:
        """Apply one changed entry."""
        if item.value is None:
            return self._apply_removal(item, now)
        read = self._formats.read_engine(item.key, item.value)
        if not isinstance(read, Success):
            return self._reject_entry(item, read.failure().message)
        self._invalid_keys.discard(item.key)
        return self._apply_engine(item, read.unwrap(), now)

    def remove_expired(self, now: float) -> list[Effect]:
        """Remove the engines whose entries did not return in time."""
        effects: list[Effect] = []
        for engine in self._engines.remove_expired(now):
            engine_id = engine.engine_id
            self._forget_address(engine)
            self._forwarder.forget_engine(engine_id)
            self._forwarder.engine_lapsed(engine, now)
            self._cold_engines.forget(engine_id)
            effects.append(LogRecord(event="engine_gone", fields={"engine": engine_id}))
        return effects

    def _apply_engine(self, item: StoredItem, registered: Engine, now: float) -> list[Effect]:
        engine = self._engines.with_known_incarnation(registered)
        effects: list[Effect] = []
        previous = self._engines.current_incarnation(engine.instance)
        if previous is not None and previous.engine.engine_id != engine.engine_id:
            changes_version = previous.engine.version != engine.version
            effects.extend(self._replace(previous, item, now, changes_version=changes_version))
        self._forwarder.engine_listed(engine)
        effects.extend(self._cold_engines.apply_entry(engine, item.revision, now))
        self._note_address(engine, now)
        # The time left changes with each heartbeat, and is not part of what is known of an engine.
        if not self._engines.put(msgspec.structs.replace(engine, cold_seconds_left=0.0)):
            return effects
        fields = _fields(engine.engine_id, item)
        fields.update(
            pool=engine.pool,
            address=str(engine.address),
            draining=engine.draining,
            version=engine.version,
        )
        return [*effects, LogRecord(event="engine_changed", fields=fields)]

    def _note_address(self, engine: Engine, now: float) -> None:
        """Note at which address an engine is listed, before it is put into the table.

        The engine that was listed there has ended if this one is new. Its own entry lapses seconds
        later, and until then no connection shows the end of an engine that its callers have left.
        """
        known = self._engines.get(engine.engine_id)
        if known is not None:
            if known.engine.address == engine.address:
                return
            self._forget_address(known.engine)
        else:
            self._listed_in_batch.add(engine.engine_id)
            predecessor = self._engines.get(self._listed_at.get(engine.address, ""))
            if predecessor is not None:
                if not self._is_successor(engine, predecessor.engine):
                    return
                self._forwarder.engine_succeeded(predecessor.engine, now)
        self._listed_at[engine.address] = engine.engine_id

    def _is_successor(self, engine: Engine, other: Engine) -> bool:
        """Return whether a new engine started after another one at its address.

        Of two entries that are read at once, neither is the later one without start times.
        """
        if engine.started_ms is None or other.started_ms is None:
            return other.engine_id not in self._listed_in_batch
        return engine.started_ms > other.started_ms

    def _forget_address(self, engine: Engine) -> None:
        if self._listed_at.get(engine.address) == engine.engine_id:
            del self._listed_at[engine.address]

    def _replace(
        self, previous: EngineState, item: StoredItem, now: float, *, changes_version: bool
    ) -> list[Effect]:
        """Remove the previous incarnation of an engine that has restarted."""
        engine = previous.engine
        self._forget_address(engine)
        self._engines.remove(engine.engine_id)
        self._cold_engines.forget(engine.engine_id)
        self._forwarder.engine_ended(engine, now)
        aborted = self._forwarder.engine_restarted(
            engine.engine_id, now, changes_version=changes_version
        )
        fields = _fields(engine.engine_id, item)
        fields.update(running=previous.running, broken_off=aborted)
        return [
            LogRecord(event="engine_restarted", fields=fields),
            CloseIdleConnections(engine.address),
        ]

    def _apply_removal(self, item: StoredItem, now: float) -> list[Effect]:
        self._invalid_keys.discard(item.key)
        known = self._known(item)
        if known is None:
            return []
        engine_id = known.engine.engine_id
        fields = _fields(engine_id, item)
        if self._engines.mark_unregistered(engine_id, self._expires_at):
            self._forwarder.losses.entry_removed(engine_id)
            fields["until_seconds"] = round(self._expires_at - now, 2)
            return [LogRecord(event="engine_lapsed", fields=fields)]
        self._forget(known.engine)
        self._forwarder.engine_lapsed(known.engine, now)
        return [LogRecord(event="engine_gone", fields=fields)]

    def _reject_entry(self, item: StoredItem, reason: str) -> list[Effect]:
        """Remove the engine of an invalid entry; log once per invalid period of the entry."""
        known = self._known(item)
        if known is not None:
            self._forget(known.engine)
            self._forwarder.losses.entry_unreadable(known.engine.engine_id, known.engine.instance)
        if item.key in self._invalid_keys:
            return []
        self._invalid_keys.add(item.key)
        fields = _fields(known.engine.engine_id if known is not None else "", item)
        fields.update(key=item.key, reason=reason)
        return [LogRecord(event="engine_refused", fields=fields, level="error")]

    def _known(self, item: StoredItem) -> EngineState | None:
        """Return the known incarnation of an entry's engine."""
        return self._engines.current_incarnation(item.key.removeprefix(self._formats.engine_prefix))

    def _forget(self, engine: Engine) -> None:
        self._forget_address(engine)
        self._engines.remove(engine.engine_id)
        self._forwarder.forget_engine(engine.engine_id)
        self._cold_engines.forget(engine.engine_id)


def _fields(engine_id: str, item: StoredItem) -> dict[str, LogField]:
    return {"engine": engine_id, "revision": item.revision}
