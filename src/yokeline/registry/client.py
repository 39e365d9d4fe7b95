"""A node's dealings with the key-value service: its watches, and its few writes."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from yokeline.effects import Effect, Event, HttpCancel, HttpFailed, HttpResponse, LogRecord
from yokeline.identifiers import RequestId
from yokeline.registry.protocol import StoredItem, StoreProtocol, StoreRefused, Written
from yokeline.registry.watch import WATCH_SECONDS, Changes, PrefixWatch, Whole

WRITE_RETRY_SECONDS = 0.4
LOST_AFTER_FAILURES = 3
"""Failed calls in a row after which the service counts as lost (for the log)."""
_CONDITION_FAILED = 412

WriteDone = Callable[[bool], None]
"""Told whether a conditional write took effect (False: the condition did not hold)."""


class _Write(msgspec.Struct, kw_only=True):
    key: str
    value: bytes
    expected: int | None
    done: WriteDone | None
    due: float
    request: RequestId | None = None


class RegistryClient:
    """Follows prefixes and repeats writes until they are known to be done.

    A write without an answer may have been done. It is repeated: unconditional writes of one
    key always carry the same value, and a conditional one that meets its own value has won.
    """

    def __init__(
        self,
        store: StoreProtocol,
        prefixes: tuple[str, ...],
        source: random.Random,
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        """Follow ``prefixes``, each with calls that wait at most ``wait_seconds``."""
        self._store = store
        self._watches = [PrefixWatch(prefix, store, source, wait_seconds) for prefix in prefixes]
        self._writes: dict[str, _Write] = {}
        self._write_count = 0
        self._ensured: dict[str, bytes] = {}
        self._available: bool | None = None

    @property
    def complete(self) -> bool:
        """Whether every prefix has been read whole."""
        return all(watch.complete for watch in self._watches)

    def heard_at(self) -> float:
        """Return when the least fresh of the watches was last confirmed (monotonic seconds)."""
        return min((watch.heard_at for watch in self._watches), default=float("-inf"))

    def last_change(self) -> int:
        """Return the revision of the latest change that was read."""
        return max((watch.last_change for watch in self._watches), default=0)

    def set_pace(self, wait_seconds: float, pause_seconds: float) -> None:
        """Let watching calls wait longer, and rest after a change."""
        for watch in self._watches:
            watch.wait_seconds = wait_seconds
            watch.pause_seconds = pause_seconds

    def follow(self, follows: bool) -> None:
        """Rely on other nodes for changes, or watch the service again."""
        for watch in self._watches:
            watch.follows = follows

    def changes_after(self, revision: int) -> Changes | None:
        """Return what the first watch has read after a revision; None if that is not kept."""
        return self._watches[0].changes_after(revision) if self._watches else None

    def adopt_changes(self, changes: Changes, now: float) -> list[StoredItem]:
        """Take over changes that another node has read; return what is news."""
        return self._watches[0].adopt_changes(changes, now)

    def hear_of(self, revision: int, now: float) -> tuple[bool, list[Effect]]:
        """Learn that another node has read a change of ``revision``.

        Returns:
            Whether this node has not read it for too long, and effects: it lists anew.
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
        """Return everything that the first watch has read, for a node that cannot."""
        return self._watches[0].whole() if self._watches else None

    def adopt(self, whole: Whole, now: float) -> list[StoredItem]:
        """Take over what another node has read with its first watch; return what changed."""
        return self._watches[0].adopt(whole, now)

    def items(self, prefix: str) -> dict[str, StoredItem]:
        """Return the items known below a prefix (one of those followed, or below one)."""
        return {
            key: item
            for watch in self._watches
            for key, item in watch.items.items()
            if key.startswith(prefix)
        }

    def item(self, key: str) -> StoredItem | None:
        """Return one item, if it is known."""
        return next((watch.items[key] for watch in self._watches if key in watch.items), None)

    def write(
        self,
        key: str,
        value: bytes,
        now: float,
        *,
        expected: int | None = None,
        done: WriteDone | None = None,
    ) -> None:
        """Write an item as soon as the service lets us."""
        self._writes[key] = _Write(key=key, value=value, expected=expected, done=done, due=now)

    def ensure(self, key: str, value: bytes) -> None:
        """Write an item once everything was read, unless it stands there already.

        Every change wakes all that watch, so a process that starts again with the same record
        writes nothing.
        """
        self._ensured[key] = value

    def _write_ensured(self, now: float) -> None:
        if not self._ensured or not self.complete:
            return
        for key, value in self._ensured.items():
            known = self.items(key).get(key)
            if known is None or known.value != value:
                self.write(key, value, now)
        self._ensured = {}

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = [due for watch in self._watches if (due := watch.next_deadline()) is not None]
        dues.extend(write.due for write in self._writes.values() if write.request is None)
        return min(dues, default=None)

    def tick(self, now: float) -> list[Effect]:
        """Return the calls that are due."""
        self._write_ensured(now)
        calls: list[Effect] = []
        for watch in self._watches:
            call = watch.tick(now)
            if call is not None:
                calls.append(call)
        for write in self._writes.values():
            if write.request is None and now >= write.due:
                self._write_count += 1
                write.request = RequestId(f"write/{self._write_count}")
                calls.append(
                    self._store.write_call(write.request, write.key, write.value, write.expected)
                )
        return calls

    def take(self, event: Event, now: float) -> tuple[bool, list[StoredItem], list[Effect]]:
        """Take an answer in.

        Returns:
            Whether the event was ours, the items that changed, and effects (log lines).
        """
        if not isinstance(event, HttpResponse | HttpFailed):
            return False, [], []
        for watch in self._watches:
            if watch.owns(event.request):
                return True, self._take_watch(watch, event, now), self._note_health(watch, now)
        for write in self._writes.values():
            if write.request == event.request:
                self._take_write(write, event, now)
                return True, [], []
        return False, [], []

    def _take_watch(
        self, watch: PrefixWatch, event: HttpResponse | HttpFailed, now: float
    ) -> list[StoredItem]:
        if isinstance(event, HttpFailed):
            watch.on_failure(event, now)
            return []
        return watch.on_response(event, now)

    def _note_health(self, watch: PrefixWatch, now: float) -> list[Effect]:
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

    def _take_write(self, write: _Write, event: HttpResponse | HttpFailed, now: float) -> None:
        write.request = None
        write.due = now + WRITE_RETRY_SECONDS
        if isinstance(event, HttpFailed):
            return
        answer = self._store.read_answer(event)
        if isinstance(answer, Written):
            self._finish(write, True)
        elif isinstance(answer, StoreRefused) and answer.status == _CONDITION_FAILED:
            current = [item.value for item in answer.items if item.key == write.key]
            self._finish(write, write.value in current)

    def _finish(self, write: _Write, took_effect: bool) -> None:
        if self._writes.get(write.key) is write:
            del self._writes[write.key]
        if write.done is not None:
            write.done(took_effect)
