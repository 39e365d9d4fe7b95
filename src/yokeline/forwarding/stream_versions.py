"""Remembers, records and looks up which software version of an engine began each stream.

The versions of a pool are recorded in the ledger before a stream is sent to an engine of them
(:mod:`yokeline.forwarding.pool_versions`). While there is one, a stream is remembered at its node
alone: any node that asks the ledger is told that no other version can have begun it. When a second
version comes, the node records the streams that it remembers in the ledger, and from then on each
stream at its first event.

What a node sees itself is no proof, since its view may have begun after the stream, and may lag.
"""

from __future__ import annotations

import enum
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

import msgspec
from msgspec import UnsetType

from yokeline.effects import Effect, LogRecord
from yokeline.forwarding.exchange import Exchange, StreamOrigin
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.pool_versions import RecordedVersions
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.operations import Granted, OperationResult, Reserve, StreamVersion
from yokeline.scheduling.engine_versions import MIN_VERSION_MEMORY_SECONDS, PoolVersions

NO_ENGINE_OF_VERSION = "no_engine_of_version"
"""Refusal reason: no engine of the version that began the stream accepts requests."""
STREAM_VERSION_UNKNOWN = "stream_version_unknown"
"""Refusal reason: several versions serve, and it is not known which one began the stream."""
MAX_REMEMBERED_STREAMS = 4096
MAX_STREAMS_PER_OPERATION = 256
MAX_STREAM_NAME_CHARS = 512
"""Length of a name, with its tenant, above which a stream is not recorded."""
RECORD_TIMEOUT_SECONDS = 5.0
"""Time for which a record is repeated until the ledger has it."""
MAX_LOOKUPS = 4
LOOKUP_RETRY_SECONDS = 0.05
"""Delay until the ledger is asked again for a stream whose record may be on its way."""
MAX_VIEW_AGE_SECONDS = 2.0
"""Age of the node's view of the engines above which another version may have come unnoticed."""


class VersionSource(enum.Enum):
    """Who knew the version of a resumed stream."""

    NODE = "node"
    """This node, which began the stream."""
    LEDGER = "ledger"
    """The record in the ledger."""
    SOLE_VERSION = "sole_version"
    """No other version of the pool is recorded."""
    UNKNOWN = "unknown"
    """Nobody: the stream is not continued."""


class BegunStream(msgspec.Struct):
    """A stream that this node began.

    Attributes:
        version: Version of its engine; None if not known for certain.
        engine_id: The engine that sent its first event.
        began_at: Time of that event (monotonic seconds).
        until: When its caller has no time left.
        is_recorded: Whether its record was sent to the ledger.
    """

    version: str | None
    pool: str
    engine_id: str
    began_at: float
    until: float
    is_recorded: bool = False


class StreamVersions:
    """Versions of the streams of one node.

    Attributes:
        view_age: Returns the age of the node's view of the engines at a time (seconds).
    """

    def __init__(self, state: NodeState, ledger: LedgerClient, process: str) -> None:
        """Record in ``ledger``, with ids that begin with ``process``."""
        self.view_age: Callable[[float], float] = _zero_age
        self._state = state
        self._ledger = ledger
        self._process = process
        self._numbers = itertools.count(1)
        self._streams: OrderedDict[str, BegunStream] = OrderedDict()
        self._recorded = RecordedVersions(state, ledger, process)
        self._recorded.on_told = self._observe
        state.placement.usable_versions = self._recorded.usable
        self._pools: dict[str, PoolVersions] = {}
        self._seen_changes = 0

    # ------------------------------------------------------------ streams that begin

    def begin(self, exchange: Exchange) -> None:
        """Bind a stream to the version of the engine that sent its first event."""
        if exchange.allowed_versions is not None or exchange.engine is None:
            return
        engine = exchange.engine.engine
        version = None if exchange.is_version_uncertain else engine.version
        exchange.allowed_versions = _versions_of(version)
        stream = BegunStream(
            version=version,
            pool=exchange.pool,
            engine_id=engine.engine_id,
            began_at=self._state.now,
            until=exchange.arrived_at + exchange.call.deadline,
        )
        name = exchange.names.turn
        self._streams[name] = stream
        if len(self._streams) > MAX_REMEMBERED_STREAMS:
            self._streams.popitem(last=False)
        may_be_several = self._observe(exchange.pool).are_several or self._view_is_outdated()
        if may_be_several and not stream.is_recorded:
            self._record([(name, stream)])

    def mark_uncertain(self, engine_id: str, since: float) -> None:
        """Mark streams that an engine began after ``since`` as of unknown version.

        The engine has restarted with another version, and either start may have sent the event, or
        may still send it.
        """
        uncertain = [
            (name, stream)
            for name, stream in self._streams.items()
            if stream.engine_id == engine_id and stream.began_at >= since
        ]
        for _, stream in uncertain:
            stream.version = None
        self._record(uncertain)
        for exchange in self._state.by_engine_request.values():
            if exchange.engine is None or exchange.engine.engine.engine_id != engine_id:
                continue
            exchange.is_version_uncertain = exchange.sent_at >= since
            if exchange.first_event_at is not None and exchange.first_event_at >= since:
                exchange.allowed_versions = frozenset()

    def observe_pools(self) -> None:
        """Record the versions of pools whose streams can be resumed.

        The remembered streams of each pool that has got a second version are recorded, too.
        """
        self._recorded.note_view_age(self.view_age(self._state.now))
        engines = self._state.engines
        if engines.version_changes == self._seen_changes and not self._recorded.is_due():
            return
        self._seen_changes = engines.version_changes
        for pool in {**self._pools, **dict.fromkeys(engines.pools_with_versions())}:
            self._observe(pool)

    def _observe(self, pool: str) -> PoolVersions:
        """Return the versions of a pool; record its streams if a second version has come."""
        versions = self._pools.get(pool)
        if versions is None:
            versions = self._pools[pool] = PoolVersions(self._state.now)
        had_several = versions.are_several
        now = self._state.now
        table = self._state.table
        if table is not None:
            # Streams that began under an earlier configuration may be resumed for longer.
            seconds = table.longest_resumption(pool)
            versions.memory_seconds = max(versions.memory_seconds, seconds)
        is_current = self.view_age(now) <= MAX_VIEW_AGE_SECONDS
        versions.note_recorded(self._recorded.take_told(pool), now)
        present = self._state.engines.versions_in_pool(pool)
        gone = versions.observe(present, now, is_current=is_current)
        if pool in self._recorded.pools():
            self._recorded.ensure(pool, present)
            self._recorded.delete(pool, gone, versions.memory_seconds)
        if versions.are_several and not had_several:
            self._record(self._unrecorded(pool))
        return versions

    def _view_is_outdated(self) -> bool:
        """Return whether other nodes may have deleted a version that this node still uses."""
        return self.view_age(self._state.now) > MIN_VERSION_MEMORY_SECONDS

    def _unrecorded(self, pool: str) -> Iterator[tuple[str, BegunStream]]:
        for name, stream in self._streams.items():
            if stream.pool == pool and not stream.is_recorded and stream.until > self._state.now:
                yield name, stream

    def _record(self, streams: Iterable[tuple[str, BegunStream]]) -> None:
        """Send records to the ledger."""
        rows = []
        for name, stream in streams:
            if len(name) <= MAX_STREAM_NAME_CHARS:
                stream.is_recorded = True
                seconds = round(max(0.0, stream.until - self._state.now), 1)
                rows.append(StreamVersion(name, stream.version, seconds))
        for start in range(0, len(rows), MAX_STREAMS_PER_OPERATION):
            self._send_records(tuple(rows[start : start + MAX_STREAMS_PER_OPERATION]))

    def _send_records(self, rows: tuple[StreamVersion, ...]) -> None:
        now = self._state.now

        def recorded(result: OperationResult | None, ended_at: float) -> list[Effect]:
            if result is not None:
                return []
            fields: dict[str, str | int | float | bool | None] = {
                "streams": len(rows),
                "first": rows[0].stream,
                "seconds": round(ended_at - now, 3),
            }
            return [LogRecord(event="streams_unrecorded", fields=fields, level="warning")]

        self._state.outcomes.counters["yokeline_forwarding_streams_recorded_total"] += len(rows)
        operation = Reserve(
            request_id=f"{self._process}/streams/{next(self._numbers)}", streams=rows
        )
        effects = self._ledger.ask(operation, recorded, now, now + RECORD_TIMEOUT_SECONDS)
        self._state.outcomes.effects.extend(effects)

    # ------------------------------------------------------------ streams that callers resume

    def resolve_locally(self, exchange: Exchange) -> None:
        """Bind a resumed stream if this node knows its version, or let the ledger be asked.

        New streams are only marked if several versions may begin them.

        The question is part of a turn's reservation.
        """
        if exchange.route.is_resumable_stream:
            exchange.has_mixed_versions = self._observe(exchange.pool).are_several
        if not exchange.continues_stream or exchange.stream_origin is not StreamOrigin.UNRESOLVED:
            return
        known = self._streams.get(exchange.names.resumed_turn)
        if known is not None:
            age = self._state.now - known.began_at
            self._bind(exchange, known.version, VersionSource.NODE, age)
            return
        exchange.stream_origin = StreamOrigin.ASKED

    def resolve_by_record(self, exchange: Exchange, answer: Granted | None) -> None:
        """Bind a resumed stream by the ledger's answer, unless it is to be asked again.

        The record may be on its way. Without one, a version has begun the stream only if no other
        is recorded for the pool.
        """
        if exchange.stream_origin is not StreamOrigin.ASKED:
            return
        if answer is not None and not isinstance(answer.stream, UnsetType):
            record = answer.stream
            self._bind(exchange, record.version, VersionSource.LEDGER, record.age)
            return
        sole = self._sole_version(exchange.pool, answer) if answer is not None else None
        if sole is not None:
            self._bind(exchange, sole, VersionSource.SOLE_VERSION)
            return
        exchange.stream_lookups += 1
        may_come = answer is not None and bool(exchange.names.resumed_turn)
        if not may_come or exchange.stream_lookups >= MAX_LOOKUPS:
            self._bind(exchange, None, VersionSource.UNKNOWN)

    def _sole_version(self, pool: str, answer: Granted) -> str | None:
        """Return the only version that can have begun a stream; None if there may be several.

        A leader of an earlier release does not tell the recorded versions, so that the node's own
        view has to decide.
        """
        if not isinstance(answer.versions, UnsetType):
            return answer.versions[0] if len(answer.versions) == 1 else None
        versions = self._observe(pool)
        is_certain = not self._view_is_outdated() and versions.is_settled(self._state.now)
        return versions.sole if is_certain or answer.has_mixed_versions is not True else None

    def _bind(
        self,
        exchange: Exchange,
        version: str | None,
        source: VersionSource,
        age: float | None = None,
    ) -> None:
        """Bind a stream to a version, or to none if it is not known; log who knew it."""
        exchange.allowed_versions = _versions_of(version)
        if version is None:
            exchange.stream_origin = StreamOrigin.UNKNOWN
        elif source is VersionSource.SOLE_VERSION:
            exchange.stream_origin = StreamOrigin.ASSUMED
        else:
            exchange.stream_origin = StreamOrigin.KNOWN
        outcomes = self._state.outcomes
        counted = source if version is not None else VersionSource.UNKNOWN
        labels = f'version_source="{counted.value}"'
        outcomes.counters[f"yokeline_forwarding_streams_resumed_total{{{labels}}}"] += 1
        outcomes.log(
            "stream_resumed",
            exchange,
            resumes=exchange.call.resumes,
            after_event=exchange.call.last_event_id,
            version=version,
            version_source=source.value,
            age=round(age, 3) if age is not None else None,
            lookups=exchange.stream_lookups,
            serving=" ".join(sorted(self._state.engines.versions_in_pool(exchange.pool))),
        )


def _versions_of(version: str | None) -> frozenset[str]:
    """Return the versions that may continue a stream: none if its own is not known."""
    return frozenset() if version is None else frozenset((version,))


def _zero_age(_now: float) -> float:
    """Return the age of a view that is always current."""
    return 0.0
