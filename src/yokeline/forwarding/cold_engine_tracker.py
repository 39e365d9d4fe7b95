"""Tracks at one node which engines are cold, from their entries and from their answers.

An engine is cold for a while after a start, and may become cold again at any time. Its entry says
for how long, but not when it was written. What a node cannot know to be warm counts as cold: a new
incarnation, and an engine that returns from silence. A node that has just started trusts the
entries that it finds, as the other nodes do: if all nodes lose power together, the engines are
still warm, and shares of their rates would delay the return of the service.
"""

from __future__ import annotations

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

import msgspec

from yokeline.effects import (
    Effect,
    Event,
    HttpCancel,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
    LogRecord,
)
from yokeline.forwarding.http_statuses import MISDIRECTED
from yokeline.forwarding.model import Engine, Pool
from yokeline.identifiers import RequestId
from yokeline.scheduling.cold_engines import ColdEngineRates

ENTRY_LAG_SECONDS = 2.0
"""Time by which an entry may have been written before a node reads it: watching nodes read changes
within 1.3 s, and pass them on with their next report. An entry that calls an engine warm is ignored
for this time after the engine fell silent."""
RESET_DOUBT_SECONDS = 0.5
"""Time after the reset of a kept connection in which the answer to an earlier request shows that
only the connection failed: the process that had the request is still running."""
ANSWER_RECENCY_SECONDS = 1.0
"""Time after an answer in which a time-out of another request shows an overload, not a silence."""
MAX_KNOWN_ENGINES = 32_768
"""Incarnations remembered; those not seen for the longest time are evicted."""
_NO_RATE = Pool(name="", max_connections=1)


class ColdReason(enum.Enum):
    """Why an engine counts as cold."""

    ENTRY = "entry"
    """Its entry says so."""
    STARTED = "started"
    """It is a new incarnation."""
    SILENT = "silent"
    """It failed to answer, and has not answered since."""
    RETURNED = "returned"
    """It answered again after it was silent."""


class _SentRequest(msgspec.Struct):
    """A request at an engine.

    Attributes:
        sent_at: When it was sent (monotonic seconds).
        heard_at: When the latest part of its answer came; when it was sent if there was none.
    """

    engine_id: str
    sent_at: float
    heard_at: float
    is_answered: bool = False


class _Knowledge(msgspec.Struct):
    """What is known of one incarnation.

    Attributes:
        revision: Revision of its latest entry.
        entry_until: When it is warm according to that entry, counted from when the entry was seen.
        uncertain_since: Since when it may be cold for reasons that the entry does not reflect.
        silent_since: Since when it has not answered; None for an engine that answers.
        answered_at: When it answered any request of this node last.
        entry_seen_at: When its latest entry was seen.
        only_reset: Whether kept connections were reset since then and nothing else failed.
        reason: Cause of the latest change.
        logged_reason: Cause that was logged; empty while it counts as warm.
    """

    pool: str
    instance: str
    revision: int
    entry_until: float = -math.inf
    uncertain_since: float | None = None
    silent_since: float | None = None
    answered_at: float = -math.inf
    entry_seen_at: float = -math.inf
    only_reset: bool = False
    reason: str = ""
    logged_reason: str = ""
    is_registered: bool = True


class ColdEngineTracker:
    """Tells the rates of one node which engines are cold.

    Attributes:
        rates: The restriction on the sends to cold engines.
    """

    def __init__(self, rates: ColdEngineRates, *, first_start: bool = False) -> None:
        """Update ``rates``; with ``first_start``, the deployment may be starting as a whole."""
        self.rates = rates
        self._first_start = first_start
        self._is_new_deployment: bool | None = None
        self._has_listed = False
        self._pools: Mapping[str, Pool] = {}
        self._known: OrderedDict[str, _Knowledge] = OrderedDict()
        self._sent: dict[RequestId, _SentRequest] = {}

    @property
    def is_active(self) -> bool:
        """Whether any engine has a rate for the time in which it is cold."""
        return self.rates.has_rates

    @property
    def has_begun(self) -> bool:
        """Whether the first batch of entries has begun."""
        return self._is_new_deployment is not None

    # ------------------------------------------------------------ configuration and entries

    def set_pools(self, pools: Mapping[str, Pool], now: float) -> list[LogRecord]:
        """Apply the pools of a configuration."""
        self._pools = pools
        records: list[LogRecord] = []
        for engine_id, known in self._known.items():
            if known.is_registered:
                self._apply_rate(engine_id, known)
                records.extend(self._update(engine_id, known, now))
        return records

    def begin_batch(self, *, own_record_found: bool) -> None:
        """Start a batch of entries; the first batch is the list of all entries.

        Args:
            own_record_found: Whether the registry has a record of this node. In the first batch it
                shows that an earlier process of this node has run.
        """
        if self._is_new_deployment is None:
            self._is_new_deployment = self._first_start and not own_record_found
        else:
            self._has_listed = True

    def apply_entry(self, engine: Engine, revision: int, now: float) -> list[LogRecord]:
        """Apply an entry of an engine; ``engine.cold_seconds_left`` is its remaining cold time."""
        engine_id = engine.engine_id
        known = self._known.get(engine_id)
        if known is None:
            known = self._add(engine, revision, now)
        elif known.revision != revision:
            known.revision = revision
            known.entry_seen_at = now
            self._apply_time_left(known, engine.cold_seconds_left, now)
        known.pool, known.is_registered = engine.pool, True
        self._known.move_to_end(engine_id)
        self._apply_rate(engine_id, known)
        return self._update(engine_id, known, now)

    def _add(self, engine: Engine, revision: int, now: float) -> _Knowledge:
        known = _Knowledge(pool=engine.pool, instance=engine.instance, revision=revision)
        self._known[engine.engine_id] = known
        if len(self._known) > MAX_KNOWN_ENGINES:
            self.rates.forget(self._known.popitem(last=False)[0])
        if engine.cold_seconds_left > 0:
            self._apply_time_left(known, engine.cold_seconds_left, now)
        elif self._has_listed and not self._is_new_deployment:
            known.uncertain_since = now
            known.reason = ColdReason.STARTED.value
        return known

    def _apply_time_left(self, known: _Knowledge, seconds_left: float, now: float) -> None:
        """Apply the cold time in an entry; an entry that may precede a silence does not end it."""
        known.entry_until = now + seconds_left
        times = (known.silent_since, known.uncertain_since)
        unknown_since = max((at for at in times if at is not None), default=-math.inf)
        is_of_start = known.reason == ColdReason.STARTED.value
        if is_of_start or now - unknown_since >= ENTRY_LAG_SECONDS:
            known.uncertain_since = known.silent_since = None
            known.reason = ColdReason.ENTRY.value

    def forget(self, engine_id: str) -> None:
        """Stop bounding a removed engine. Its knowledge is kept in case that its entry returns."""
        known = self._known.get(engine_id)
        if known is not None:
            known.is_registered = False
            known.logged_reason = ""
        self.rates.forget(engine_id)

    # ------------------------------------------------------------ requests

    def observe_event(self, event: Event, now: float) -> list[LogRecord]:
        """Observe an answer or a failure of an engine, before the forwarder handles it."""
        if not isinstance(event, HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed):
            return []
        sent = self._sent.get(event.request)
        if sent is None:
            return []
        if isinstance(event, HttpFailed):
            return self._observe_failure(sent, event, now)
        if isinstance(event, HttpResponse) and event.status == MISDIRECTED:
            self.rates.discard_send(sent.engine_id, sent.sent_at, now)
            sent.is_answered = True
            return []
        sent.heard_at = now
        if not sent.is_answered:
            sent.is_answered = True
            self.rates.record_answer(sent.engine_id, sent.sent_at, now)
        return self._record_answer(sent, now)

    def observe_effects(
        self,
        event: Event,
        effects: Iterable[Effect],
        find_sent: Callable[[RequestId], tuple[str, float] | None],
        failed_now: Callable[[str], bool],
        now: float,
    ) -> list[LogRecord]:
        """Observe the requests that the forwarder has sent, cancelled or finished.

        Args:
            event: The event that the forwarder has handled.
            effects: The effects.
            find_sent: Returns the engine of a request that is under way, and when it was sent.
            failed_now: Returns whether the event was recorded as a failure of an engine. It
                distinguishes a request that the forwarder gave up from one whose caller has gone.
            now: Current time.
        """
        records: list[LogRecord] = []
        for effect in effects:
            found = find_sent(effect.request) if isinstance(effect, HttpRequest) else None
            if isinstance(effect, HttpRequest) and found is not None:
                self._is_new_deployment = False
                self._sent[effect.request] = _SentRequest(*found, heard_at=found[1])
                self.rates.record_warm_send(*found, now)
        for effect in effects:
            sent = self._sent.pop(effect.request, None) if isinstance(effect, HttpCancel) else None
            if sent is None:
                continue
            if not sent.is_answered:
                self.rates.record_lost(sent.engine_id, sent.sent_at, now)
            if failed_now(sent.engine_id) and not self._is_overload(sent, now):
                records.extend(self.record_failure(sent.engine_id, now, since=sent.heard_at))
        if isinstance(event, HttpResponse | HttpStreamEnded | HttpFailed) and (
            event.request in self._sent and find_sent(event.request) is None
        ):
            del self._sent[event.request]
        return records

    def _observe_failure(
        self, sent: _SentRequest, failure: HttpFailed, now: float
    ) -> list[LogRecord]:
        if not failure.sent:
            self.rates.discard_send(sent.engine_id, sent.sent_at, now)
        elif not sent.is_answered and failure.silent:
            self.rates.record_lost(sent.engine_id, sent.sent_at, now)
        elif not sent.is_answered:
            # Nothing more arrives over a connection that the other end has closed.
            self.rates.record_answer(sent.engine_id, sent.sent_at, now)
        sent.is_answered = True
        if failure.stale or not failure.is_outage:
            # Engines close idle connections, so a closed one shows nothing.
            return []
        if failure.silent and self._is_overload(sent, now):
            return []
        if failure.silent:
            return self.record_failure(sent.engine_id, now, since=sent.heard_at)
        only_reset = failure.sent and not failure.fresh
        return self.record_failure(sent.engine_id, now, only_reset=only_reset)

    def _is_overload(self, sent: _SentRequest, now: float) -> bool:
        """Return whether an engine that has not answered a request in time is known to run.

        Under overload, many requests reach their deadlines at engines that are warm. Such an engine
        has answered another request a moment ago, or written an entry since the request was sent or
        partly answered.
        """
        known = self._known.get(sent.engine_id)
        if known is None:
            return False
        if now - known.answered_at <= ANSWER_RECENCY_SECONDS:
            return True
        entry_age = now - known.entry_seen_at
        return entry_age <= ENTRY_LAG_SECONDS <= known.entry_seen_at - sent.heard_at

    def record_failure(
        self, engine_id: str, now: float, *, since: float | None = None, only_reset: bool = False
    ) -> list[LogRecord]:
        """Record that an engine refused or reset a connection, or did not answer in time.

        Args:
            engine_id: The engine.
            now: Current time.
            since: When the request that timed out was sent or partly answered. An entry written
                after that time shows that the engine was running.
            only_reset: Whether a kept connection was reset, perhaps by the network.
        """
        known = self._known.get(engine_id)
        if known is None or not known.is_registered or not self._cold_seconds(known):
            return []
        if known.silent_since is None:
            known.silent_since = now if since is None else since
            known.only_reset = only_reset
            known.reason = ColdReason.SILENT.value
        known.only_reset = known.only_reset and only_reset
        return self._update(engine_id, known, now)

    def _record_answer(self, sent: _SentRequest, now: float) -> list[LogRecord]:
        known = self._known.get(sent.engine_id)
        if known is None or not known.is_registered:
            return []
        known.answered_at = now
        if known.silent_since is None:
            return []
        was_running = (
            known.only_reset
            and sent.sent_at < known.silent_since
            and now - known.silent_since <= RESET_DOUBT_SECONDS
        )
        known.silent_since = None
        known.reason = ColdReason.ENTRY.value
        if not was_running:
            known.uncertain_since = now
            known.reason = ColdReason.RETURNED.value
        return self._update(sent.engine_id, known, now)

    def mark_cold(self, engine_ids: Iterable[str], reason: str, now: float) -> list[LogRecord]:
        """Count engines as cold since it is not known whether they are warm."""
        records: list[LogRecord] = []
        for engine_id in engine_ids:
            known = self._known.get(engine_id)
            if known is None or not known.is_registered:
                continue
            known.uncertain_since = now
            known.reason = reason
            records.extend(self._update(engine_id, known, now))
        return records

    # ------------------------------------------------------------ time

    def tick(self, now: float) -> list[LogRecord]:
        """Log the engines that have turned warm."""
        due = self.next_deadline()
        if due is None or now < due:
            return []
        records: list[LogRecord] = []
        for engine_id, known in self._known.items():
            if known.logged_reason:
                records.extend(self._update(engine_id, known, now))
        return records

    def next_deadline(self) -> float | None:
        """Return when the next engine turns warm; None if none is expected to."""
        return self.rates.next_warm()

    # ------------------------------------------------------------ helpers

    def _cold_seconds(self, known: _Knowledge) -> float:
        pool = self._pools.get(known.pool, _NO_RATE)
        return pool.cold_seconds if pool.cold_rate > 0 else 0.0

    def _apply_rate(self, engine_id: str, known: _Knowledge) -> None:
        pool = self._pools.get(known.pool, _NO_RATE)
        self.rates.set_engine(engine_id, known.instance, pool.cold_rate)

    def _until(self, known: _Knowledge) -> float:
        if known.silent_since is not None:
            return math.inf
        until = known.entry_until
        if known.uncertain_since is not None:
            until = max(until, known.uncertain_since + self._cold_seconds(known))
        return until

    def _update(self, engine_id: str, known: _Knowledge, now: float) -> list[LogRecord]:
        """Tell the rates whether an engine is cold; log a change."""
        if not self._pools.get(known.pool, _NO_RATE).cold_rate:
            known.logged_reason = ""
            return []
        until = self._until(known)
        before = self.rates.cold_engine_record(engine_id)
        if now < until:
            self.rates.set_cold(engine_id, until, known.reason, now)
            if known.logged_reason == known.reason:
                return []
            known.logged_reason = known.reason
            seconds = round(until - now, 3) if math.isfinite(until) else None
            fields: dict[str, str | int | float | bool | None] = {
                "engine": engine_id,
                "reason": known.reason,
                "seconds": seconds,
            }
            return [LogRecord(event="engine_cold", fields=fields)]
        self.rates.set_warm(engine_id)
        if not known.logged_reason:
            return []
        known.logged_reason = ""
        lasted = round(now - before.since, 3) if before is not None else None
        return [LogRecord(event="engine_warm", fields={"engine": engine_id, "seconds": lasted})]
