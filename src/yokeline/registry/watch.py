"""Watches the items below a prefix: lists them, then watches for changes.

The prefix is listed again after the service has lost its history.
"""

from __future__ import annotations

import enum
import random
from collections import OrderedDict, deque

import msgspec

from yokeline.effects import HttpFailed, HttpRequest, HttpResponse
from yokeline.identifiers import RequestId
from yokeline.registry.protocol import (
    HistoryLost,
    Page,
    StoredItem,
    StoreProtocol,
    WatchEvents,
)

WATCH_SECONDS = 1.3
"""Longest duration of a watch request. A service that loses its history during a watch request
reports that only to the next one, so this bounds how late a change is read."""
MAX_BEHIND_SECONDS = 0.4
"""Time for which another node may know a later change before this node lists again."""
MAX_FOLLOWER_BEHIND_SECONDS = 1.0
"""As :data:`MAX_BEHIND_SECONDS`, for a node that reads changes from other nodes: it first asks
these nodes for the changes."""
FIRST_WATCH_DELAY_SECONDS = 0.3
"""Delay between the first list and the first watch request. Nodes that start together register in
the meantime, and one response reports all of them instead of one response for each."""
BASE_RETRY_DELAY_SECONDS = 0.15
MAX_RETRY_DELAY_SECONDS = 0.8
MAX_RETRY_DOUBLINGS = 8
"""Bounds the power of two, which an outage of minutes would make too large for a float."""
MAX_UNREADABLE_ANSWERS = 2
"""Consecutive answers to watch requests that cannot be read, after which the prefix is listed. The
next watch request would get the same changes again; a single answer may have been cut."""
MAX_RETAINED_CHANGES = 512
"""Changes retained for nodes that read from this node, and removals remembered. A node that has
missed more changes gets all items."""
MAX_RETAINED_BYTES = 8 * 1024 * 1024
"""Total size of the values of retained changes, since another writer may change an entry of
megabytes again and again. Usual entries have a few hundred bytes."""
_OK = 200


class WatchPhase(enum.Enum):
    """What the next request does."""

    LISTING = "listing"
    WATCHING = "watching"


class Whole(msgspec.Struct, frozen=True):
    """A snapshot of all items below a prefix, which includes each change up to ``revision``."""

    revision: int
    items: tuple[StoredItem, ...]


class Changes(msgspec.Struct, frozen=True):
    """The changes below a prefix after revision ``since`` and up to ``revision``, in order."""

    since: int
    revision: int
    items: tuple[StoredItem, ...]


class PrefixWatch:
    """The watch of one prefix; a pure state machine.

    Attributes:
        items: The known items by key.
        complete: The prefix was listed, or another node's snapshot was applied, at least once.
        heard_at: Time of the last successful response (monotonic seconds).
        failures: Consecutive requests without a usable response.
        wait_seconds: Longest duration of a watch request.
        pause_seconds: Delay of the next watch request after a change, which batches changes.
        follows: Another node watches the service and reports changes. Once the prefix is listed,
            this node sends no requests.
        last_change: Revision of the latest change that was read, or of the latest list. The
            revision of a response without changes does not count, because a service that no
            longer receives changes also sends such responses.
    """

    def __init__(
        self,
        prefix: str,
        store: StoreProtocol,
        source: random.Random,
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        """Create a watch that lists first; a watch request takes at most ``wait_seconds``."""
        self.wait_seconds = wait_seconds
        self.pause_seconds = 0.0
        self.follows = False
        self.last_change = 0
        self._changes: deque[StoredItem] = deque()
        self._changes_since = 0
        self._retained_bytes = 0
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._behind_since: float | None = None
        self._behind_revision = 0
        self.prefix = prefix
        self.items: dict[str, StoredItem] = {}
        self.complete = False
        self.heard_at = float("-inf")
        self.failures = 0
        self._unreadable_answers = 0
        self._store = store
        self._random = source
        self._phase = WatchPhase.LISTING
        self._revision = 0
        self._listed_items: dict[str, StoredItem] = {}
        self._list_revision: int | None = None
        self._after_key = ""
        self._pending: RequestId | None = None
        self._next_request_at = 0.0
        self._request_count = 0

    @property
    def revision(self) -> int:
        """Revision from which the next watch request continues."""
        return self._revision

    def next_deadline(self) -> float | None:
        """Return when the next request is due; None if one is in flight or none is needed."""
        if self._pending is not None or self._is_idle():
            return None
        return self._next_request_at

    def _is_idle(self) -> bool:
        return self.follows and self.complete and self._phase is WatchPhase.WATCHING

    def tick(self, now: float) -> HttpRequest | None:
        """Return the next request if it is due."""
        if self._pending is not None or now < self._next_request_at or self._is_idle():
            return None
        self._request_count += 1
        self._pending = RequestId(f"watch/{self.prefix}/{self._request_count}")
        if self._phase is WatchPhase.LISTING:
            return self._list_request(self._pending)
        return self._store.watch_call(self._pending, self.prefix, self._revision, self.wait_seconds)

    def _list_request(self, request: RequestId) -> HttpRequest:
        """Return the request for the next page.

        The first list may be stale, which is cheaper for the service: later changes come with the
        first watch request, or from nodes that watch. A repeated list must be current, because
        changes have been missed.
        """
        may_lag = not self.complete
        return self._store.list_call(request, self.prefix, self._after_key, may_lag=may_lag)

    def is_behind(self, revision: int, now: float) -> bool:
        """Return whether this node has lagged behind another node's ``revision`` for too long.

        The result is True at most once in each :data:`MAX_BEHIND_SECONDS`, or
        :data:`MAX_FOLLOWER_BEHIND_SECONDS` for a follower. A steady stream of changes does not
        count as a lag if each change is read in time.
        """
        if revision <= self.last_change:
            self._behind_since = None
            return False
        if self._behind_since is None or self._behind_revision <= self.last_change:
            self._behind_since = now
            self._behind_revision = revision
        tolerance = MAX_FOLLOWER_BEHIND_SECONDS if self.follows else MAX_BEHIND_SECONDS
        if now - self._behind_since < tolerance:
            return False
        self._behind_since = now
        return True

    def relist(self, now: float) -> RequestId | None:
        """List again instead of watching; return the abandoned request, if one was in flight."""
        if self._phase is WatchPhase.LISTING:
            return None
        abandoned = self._pending
        self._pending = None
        self._start_listing()
        self._next_request_at = now
        return abandoned

    def whole(self) -> Whole | None:
        """Return a snapshot of the items; None while the prefix is being listed."""
        if not self.complete or self._phase is WatchPhase.LISTING:
            return None
        return Whole(self.last_change, tuple(self.items.values()))

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision; None if they are not all retained."""
        if not self.complete or revision < self._changes_since or revision > self.last_change:
            return None
        later = tuple(item for item in self._changes if item.revision > revision)
        return Changes(revision, self.last_change, later)

    def adopt_changes(self, changes: Changes, now: float) -> list[StoredItem]:
        """Apply changes that another node has read; return the items that changed.

        Changes that would leave a gap after the last known change are ignored.
        """
        known = self.last_change
        if not self.complete or changes.since > known or changes.revision <= known:
            return []
        applied = [item for item in changes.items if item.revision > known and self._apply(item)]
        self.last_change = max(self.last_change, changes.revision)
        self._revision = max(self._revision, changes.revision)
        return applied

    def adopt(self, whole: Whole, now: float) -> list[StoredItem]:
        """Apply another node's snapshot if it is later; return the items that changed."""
        if whole.revision <= self.last_change:
            return []
        self._start_listing()
        self._listed_items = {item.key: item for item in whole.items}
        self._list_revision = whole.revision
        if self._pending is None:
            self._next_request_at = now
        return self._finish_list()

    def owns(self, request: RequestId) -> bool:
        """Return whether ``request`` is the request in flight."""
        return request == self._pending

    def on_response(self, response: HttpResponse, now: float) -> list[StoredItem]:
        """Handle a response; return the items that changed, in order."""
        self._pending = None
        answer = self._store.read_answer(response)
        if isinstance(answer, Page) and self._phase is WatchPhase.LISTING:
            was_complete = self.complete
            self._note_success(now)
            changed = self._add_page(answer)
            if self.complete and not was_complete:
                self._next_request_at = now + FIRST_WATCH_DELAY_SECONDS
            return changed
        if isinstance(answer, WatchEvents) and self._phase is WatchPhase.WATCHING:
            self._note_success(now)
            return self._apply_events(answer)
        if isinstance(answer, HistoryLost):
            self._start_listing()
            self._next_request_at = now
            return []
        self._back_off(now)
        if response.status == _OK:
            self._note_unreadable_answer()
        return []

    def on_failure(self, failure: HttpFailed, now: float) -> None:
        """Schedule a retry of a request that failed without a response, or with a malformed one."""
        self._pending = None
        self._back_off(now)
        if failure.malformation:
            self._note_unreadable_answer()

    def _note_unreadable_answer(self) -> None:
        """List instead of watching, if the service answers in a way that cannot be read."""
        self._unreadable_answers += 1
        is_watching = self._phase is WatchPhase.WATCHING
        if is_watching and self._unreadable_answers >= MAX_UNREADABLE_ANSWERS:
            self._start_listing()

    def _note_success(self, now: float) -> None:
        self.heard_at = now
        self.failures = 0
        self._unreadable_answers = 0
        self._next_request_at = now

    def _back_off(self, now: float) -> None:
        self.failures += 1
        doublings = min(self.failures - 1, MAX_RETRY_DOUBLINGS)
        delay = min(BASE_RETRY_DELAY_SECONDS * 2**doublings, MAX_RETRY_DELAY_SECONDS)
        self._next_request_at = now + delay * (0.5 + 0.5 * self._random.random())

    def _start_listing(self) -> None:
        self._phase = WatchPhase.LISTING
        self._listed_items = {}
        self._list_revision = None
        self._after_key = ""

    def _add_page(self, page: Page) -> list[StoredItem]:
        """Collect a page; return the items that changed once the list is complete.

        Pages are read at different revisions, so watching starts from the oldest of these.
        """
        known = self._list_revision
        self._list_revision = page.revision if known is None else min(known, page.revision)
        for item in page.items:
            self._listed_items[item.key] = item
        if page.more and page.items:
            self._after_key = page.items[-1].key
            return []
        return self._finish_list()

    def _finish_list(self) -> list[StoredItem]:
        assert self._list_revision is not None
        revision = self._list_revision
        gone = [
            key
            for key, item in self.items.items()
            if key not in self._listed_items and item.revision <= revision
        ]
        changed = [StoredItem(key, None, revision) for key in sorted(gone)]
        changed.extend(self._listed_items[key] for key in sorted(self._listed_items))
        self._phase = WatchPhase.WATCHING
        self._changes.clear()
        self._retained_bytes = 0
        self._changes_since = revision
        self._revision = revision
        self.last_change = max(self.last_change, revision)
        self._listed_items = {}
        self.complete = True
        return [item for item in changed if self._apply(item)]

    def _apply_events(self, events: WatchEvents) -> list[StoredItem]:
        if events.events:
            self._next_request_at += self.pause_seconds
        self._revision = max(self._revision, events.revision)
        return [item for item in events.events if self._apply(item)]

    def _retain_change(self, item: StoredItem) -> None:
        """Retain a change for other nodes, and drop the oldest one if there are too many."""
        if self._phase is not WatchPhase.WATCHING or item.revision <= self._changes_since:
            return
        self._changes.append(item)
        self._retained_bytes += len(item.value or b"")
        while len(self._changes) > MAX_RETAINED_CHANGES or (
            self._retained_bytes > MAX_RETAINED_BYTES
        ):
            oldest = self._changes.popleft()
            self._changes_since = max(self._changes_since, oldest.revision)
            self._retained_bytes -= len(oldest.value or b"")

    def _apply(self, item: StoredItem) -> bool:
        """Apply a change, unless a later one is known; return whether the items changed."""
        self.last_change = max(self.last_change, item.revision)
        self._retain_change(item)
        known = self.items.get(item.key)
        if known is not None and known.revision > item.revision:
            return False
        if item.value is None:
            self._add_tombstone(item)
            return self.items.pop(item.key, None) is not None
        if known is not None and known.revision == item.revision:
            return False
        if self._tombstones.get(item.key, 0) > item.revision:
            return False
        self.items[item.key] = item
        return True

    def _add_tombstone(self, item: StoredItem) -> None:
        """Remember a removal, so that an older change that arrives late does not undo it."""
        self._tombstones[item.key] = item.revision
        self._tombstones.move_to_end(item.key)
        if len(self._tombstones) > MAX_RETAINED_CHANGES:
            self._tombstones.popitem(last=False)
