"""Client of the key-value service: watches prefixes and retries writes."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from yokeline.effects import Effect, Event, HttpCancel, HttpFailed, HttpResponse, LogRecord
from yokeline.identifiers import RequestId
from yokeline.registry.protocol import StoredItem, StoreProtocol, StoreRefused, Written
from yokeline.registry.watch import WATCH_SECONDS, Changes, PrefixWatch, Whole

WRITE_RETRY_DELAY_SECONDS = 0.4
LOST_AFTER_FAILURES = 3
"""Consecutive failed requests of a watch after which ``dependency_lost`` is logged."""
_PRECONDITION_FAILED = 412

WriteDone = Callable[[bool], None]
"""Called with the outcome of a write: False if its condition did not hold."""


class _Write(msgspec.Struct, kw_only=True):
    key: str
    value: bytes | None
    expected: int | None
    done: WriteDone | None
    due: float
    request: RequestId | None = None


class RegistryClient:
    """Watches prefixes, and retries writes until their outcome is known.

    A write without a response may have taken effect. A retry carries the same value, so it is
    harmless without a condition. If a condition fails and the item already has the value of the
    write, the write counts as successful.
    """

    def __init__(
        self,
        store: StoreProtocol,
        prefixes: tuple[str, ...],
        source: random.Random,
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        """Watch ``prefixes``; a watch request takes at most ``wait_seconds``."""
        self._store = store
        self._watches = [PrefixWatch(prefix, store, source, wait_seconds) for prefix in prefixes]
        self._writes: dict[str, _Write] = {}
        self._write_request_count = 0
        self._pending_ensures: dict[str, bytes] = {}
        self._available: bool | None = None

    @property
    def store(self) -> StoreProtocol:
        """The key-value service, for requests of other components."""
        return self._store

    @property
    def complete(self) -> bool:
        """Whether all items of every prefix have been read."""
        return all(watch.complete for watch in self._watches)

    def heard_at(self) -> float:
        """Return when the least recently confirmed watch got a response (monotonic seconds)."""
        return min((watch.heard_at for watch in self._watches), default=float("-inf"))

    def last_change(self) -> int:
        """Return the revision of the latest change or list that was read."""
        return max((watch.last_change for watch in self._watches), default=0)

    def set_pace(self, wait_seconds: float, pause_seconds: float) -> None:
        """Set the longest duration of watch requests, and their delay after a change."""
        for watch in self._watches:
            watch.wait_seconds = wait_seconds
            watch.pause_seconds = pause_seconds

    def follow(self, follows: bool) -> None:
        """Set whether this node reads changes from other nodes instead of from the service."""
        for watch in self._watches:
            watch.follows = follows

    def changes_after(self, revision: int) -> Changes | None:
        """Return the first watch's changes after a revision; None if not all are retained."""
        return self._watches[0].changes_after(revision) if self._watches else None

    def adopt_changes(self, changes: Changes, now: float) -> list[StoredItem]:
        """Apply changes of another node's first watch; return the items that changed."""
        return self._watches[0].adopt_changes(changes, now)

    def hear_of(self, revision: int, now: float) -> tuple[bool, list[Effect]]:
        """Handle a report that another node has read the change of ``revision``.

        Watches that have been behind for too long list their prefix again.

        Returns:
            Whether there are such watches, and effects.
        """
        behind = [watch for watch in self._watches if watch.is_behind(revision, now)]
        effects: list[Effect] = []
        for watch in behind:
            fields: dict[str, str | int | float | bool | None] = {
                "known": watch.revision,
                "heard_of": revision,
                "silent_seconds": round(now - watch.heard_at, 3) if watch.complete else None,
            }
            effects.append(LogRecord(event="registry_behind", fields=fields))
            abandoned = watch.relist(now)
            if abandoned is not None:
                effects.append(HttpCancel(abandoned))
        return bool(behind), effects

    def whole(self) -> Whole | None:
        """Return a snapshot of the first watch's items for another node; None while it lists."""
        return self._watches[0].whole() if self._watches else None

    def adopt(self, whole: Whole, now: float) -> list[StoredItem]:
        """Apply a snapshot of another node's first watch; return the items that changed."""
        return self._watches[0].adopt(whole, now)

    def items(self, prefix: str) -> dict[str, StoredItem]:
        """Return the known items whose keys start with ``prefix``."""
        return {
            key: item
            for watch in self._watches
            for key, item in watch.items.items()
            if key.startswith(prefix)
        }

    def item(self, key: str) -> StoredItem | None:
        """Return the item of ``key``; None if it is not known."""
        return next((watch.items[key] for watch in self._watches if key in watch.items), None)

    def write(
        self,
        key: str,
        value: bytes | None,
        now: float,
        *,
        expected: int | None = None,
        done: WriteDone | None = None,
    ) -> None:
        """Write an item, with retries until the outcome is known.

        Args:
            key: Key of the item; a pending write of this key is dropped.
            value: The new value; None to remove the item.
            now: Monotonic seconds.
            expected: Revision that the item must have, 0 if it must not exist; None for an
                unconditional write.
            done: Called with the outcome.
        """
        self._writes[key] = _Write(key=key, value=value, expected=expected, done=done, due=now)

    def ensure(self, key: str, value: bytes) -> None:
        """Write an item once all prefixes have been read, unless it already has this value.

        Each change is sent to all nodes that watch, so a process that restarts with an unchanged
        record writes nothing.
        """
        self._pending_ensures[key] = value

    def _queue_ensured_writes(self, now: float) -> None:
        if not self._pending_ensures or not self.complete:
            return
        for key, value in self._pending_ensures.items():
            known = self.items(key).get(key)
            if known is None or known.value != value:
                self.write(key, value, now)
        self._pending_ensures = {}

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = [due for watch in self._watches if (due := watch.next_deadline()) is not None]
        dues.extend(write.due for write in self._writes.values() if write.request is None)
        return min(dues, default=None)

    def tick(self, now: float) -> list[Effect]:
        """Return the requests that are due."""
        self._queue_ensured_writes(now)
        requests: list[Effect] = []
        for watch in self._watches:
            watch_request = watch.tick(now)
            if watch_request is not None:
                requests.append(watch_request)
        for write in self._writes.values():
            if write.request is None and now >= write.due:
                self._write_request_count += 1
                write.request = RequestId(f"write/{self._write_request_count}")
                requests.append(
                    self._store.write_call(write.request, write.key, write.value, write.expected)
                )
        return requests

    def take(self, event: Event, now: float) -> tuple[bool, list[StoredItem], list[Effect]]:
        """Handle a response to a request of this client, or its failure.

        Returns:
            Whether the event belongs to this client, the items that changed, and log lines.
        """
        if not isinstance(event, HttpResponse | HttpFailed):
            return False, [], []
        for watch in self._watches:
            if watch.owns(event.request):
                return (
                    True,
                    self._handle_watch_result(watch, event, now),
                    self._log_availability(watch, now),
                )
        for write in self._writes.values():
            if write.request == event.request:
                self._handle_write_result(write, event, now)
                return True, [], []
        return False, [], []

    def _handle_watch_result(
        self, watch: PrefixWatch, event: HttpResponse | HttpFailed, now: float
    ) -> list[StoredItem]:
        if isinstance(event, HttpFailed):
            watch.on_failure(event, now)
            return []
        return watch.on_response(event, now)

    def _log_availability(self, watch: PrefixWatch, now: float) -> list[Effect]:
        available = watch.failures < LOST_AFTER_FAILURES
        if available == self._available or (not available and self._available is None):
            return []
        self._available = available
        event = "dependency_regained" if available else "dependency_lost"
        fields: dict[str, str | int | float | bool | None] = {
            "dependency": "key_value_service",
            "prefix": watch.prefix,
            "revision": watch.revision,
            "silent_seconds": round(now - watch.heard_at, 3) if watch.complete else None,
        }
        return [LogRecord(event=event, fields=fields, level="info" if available else "warning")]

    def _handle_write_result(
        self, write: _Write, event: HttpResponse | HttpFailed, now: float
    ) -> None:
        write.request = None
        write.due = now + WRITE_RETRY_DELAY_SECONDS
        if isinstance(event, HttpFailed):
            return
        answer = self._store.read_answer(event)
        if isinstance(answer, Written):
            self._finish_write(write, True)
        elif isinstance(answer, StoreRefused) and answer.status == _PRECONDITION_FAILED:
            current = [item.value for item in answer.items if item.key == write.key]
            self._finish_write(write, write.value in current)

    def _finish_write(self, write: _Write, took_effect: bool) -> None:
        if self._writes.get(write.key) is write:
            del self._writes[write.key]
        if write.done is not None:
            write.done(took_effect)
