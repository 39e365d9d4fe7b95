"""Follows the items below a prefix: list once, then watch; list again when history is lost."""

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
"""Longest wait of one call. The service may lose its history while a call waits, and tells it
only to the next one; so this bounds how late a change is known."""
BEHIND_SECONDS = 0.4
"""Time for which another node may know a later change before this one lists anew."""
FOLLOWER_BEHIND_SECONDS = 1.0
"""The same for a node that reads changes from others, and asks them first."""
START_PAUSE_SECONDS = 0.3
"""Pause between the first list and the first watching call: nodes that start together register
meanwhile, and one call brings them all. Without it each of them wakes every other one."""
RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 0.8


MAX_CHANGES_KEPT = 512
"""Changes kept for nodes that read from this one; an older asker gets all items."""


class WatchPhase(enum.Enum):
    """What the next call asks for."""

    LISTING = "listing"
    WATCHING = "watching"


class Whole(msgspec.Struct, frozen=True):
    """All items below a prefix, complete up to a revision."""

    revision: int
    items: tuple[StoredItem, ...]


class Changes(msgspec.Struct, frozen=True):
    """What changed below a prefix after one revision and up to another, in order."""

    since: int
    revision: int
    items: tuple[StoredItem, ...]


class PrefixWatch:
    """One prefix; a pure state machine.

    Attributes:
        items: The items by key, as far as known.
        complete: A whole list has been read at least once.
        heard_at: When the service last answered (monotonic seconds).
        failures: Calls in a row without a useful answer.
        wait_seconds: Longest wait of a watching call.
        pause_seconds: Pause after a change, so that one call brings several.
        follows: Another node watches and tells of changes; nothing is called while that holds
            and everything was listed.
        last_change: Revision of the latest change that was read, or of the latest whole list. An
            answer without changes proves nothing: a service that went deaf gives it too.
    """

    def __init__(
        self,
        prefix: str,
        store: StoreProtocol,
        source: random.Random,
        wait_seconds: float = WATCH_SECONDS,
    ) -> None:
        """Begin by listing; a watching call waits at most ``wait_seconds``."""
        self.wait_seconds = wait_seconds
        self.pause_seconds = 0.0
        self.follows = False
        self.last_change = 0
        self._changes: deque[StoredItem] = deque(maxlen=MAX_CHANGES_KEPT)
        self._changes_since = 0
        self._gone: OrderedDict[str, int] = OrderedDict()
        self._behind_since: float | None = None
        self._behind_revision = 0
        self.prefix = prefix
        self.items: dict[str, StoredItem] = {}
        self.complete = False
        self.heard_at = float("-inf")
        self.failures = 0
        self._store = store
        self._random = source
        self._phase = WatchPhase.LISTING
        self._revision = 0
        self._listed: dict[str, StoredItem] = {}
        self._list_revision: int | None = None
        self._after_key = ""
        self._pending: RequestId | None = None
        self._next_call_at = 0.0
        self._calls = 0

    @property
    def revision(self) -> int:
        """Revision up to which everything is known."""
        return self._revision

    def next_deadline(self) -> float | None:
        """Return when the next call is due; None while one is under way, or none is needed."""
        if self._pending is not None or self._rests():
            return None
        return self._next_call_at

    def _rests(self) -> bool:
        return self.follows and self.complete and self._phase is WatchPhase.WATCHING

    def tick(self, now: float) -> HttpRequest | None:
        """Return the next call if it is due."""
        if self._pending is not None or now < self._next_call_at or self._rests():
            return None
        self._calls += 1
        self._pending = RequestId(f"watch/{self.prefix}/{self._calls}")
        if self._phase is WatchPhase.LISTING:
            return self._list_call(self._pending)
        return self._store.watch_call(self._pending, self.prefix, self._revision, self.wait_seconds)

    def _list_call(self, request: RequestId) -> HttpRequest:
        """Return the call for the next page.

        The first list may lag: what came after its revision follows with the first watching call,
        or from the nodes that watch. A start of all nodes then takes a tenth of the price of its
        reads, and nothing of their rate. A later one may not: it follows on lost history.
        """
        may_lag = not self.complete
        return self._store.list_call(request, self.prefix, self._after_key, may_lag=may_lag)

    def is_behind(self, revision: int, now: float) -> bool:
        """Return whether another node has known a change for too long that this one has not.

        True once in each :data:`BEHIND_SECONDS`. Changes that go on coming are no reason, as
        long as each is read in time.
        """
        if revision <= self.last_change:
            self._behind_since = None
            return False
        if self._behind_since is None or self._behind_revision <= self.last_change:
            self._behind_since = now
            self._behind_revision = revision
        patience = FOLLOWER_BEHIND_SECONDS if self.follows else BEHIND_SECONDS
        if now - self._behind_since < patience:
            return False
        self._behind_since = now
        return True

    def list_anew(self, now: float) -> RequestId | None:
        """List instead of waiting for changes; return the waiting call that is given up."""
        if self._phase is WatchPhase.LISTING:
            return None
        abandoned = self._pending
        self._pending = None
        self._transition_to_listing()
        self._next_call_at = now
        return abandoned

    def whole(self) -> Whole | None:
        """Return everything that was read; None while that is not complete."""
        if not self.complete or self._phase is WatchPhase.LISTING:
            return None
        return Whole(self.last_change, tuple(self.items.values()))

    def changes_after(self, revision: int) -> Changes | None:
        """Return the changes after a revision; None if they are not all kept."""
        if not self.complete or revision < self._changes_since or revision > self.last_change:
            return None
        later = tuple(item for item in self._changes if item.revision > revision)
        return Changes(revision, self.last_change, later)

    def adopt_changes(self, changes: Changes, now: float) -> list[StoredItem]:
        """Take over changes that another node has read; return the items that are news."""
        known = self.last_change
        if not self.complete or changes.since > known or changes.revision <= known:
            return []
        news = [item for item in changes.items if item.revision > known and self._apply(item)]
        self.last_change = max(self.last_change, changes.revision)
        self._revision = max(self._revision, changes.revision)
        return news

    def adopt(self, whole: Whole, now: float) -> list[StoredItem]:
        """Take over what another node has read, if it is later; return the items that changed."""
        if whole.revision <= self.last_change:
            return []
        self._transition_to_listing()
        self._listed = {item.key: item for item in whole.items}
        self._list_revision = whole.revision
        if self._pending is None:
            self._next_call_at = now
        return self._finish_list()

    def owns(self, request: RequestId) -> bool:
        """Return whether an answer belongs to the call under way."""
        return request == self._pending

    def on_response(self, response: HttpResponse, now: float) -> list[StoredItem]:
        """Take an answer in; return the items that changed, in order."""
        self._pending = None
        answer = self._store.read_answer(response)
        if isinstance(answer, Page) and self._phase is WatchPhase.LISTING:
            was_complete = self.complete
            self._answered(now)
            changed = self._take_page(answer)
            if self.complete and not was_complete:
                self._next_call_at = now + START_PAUSE_SECONDS
            return changed
        if isinstance(answer, WatchEvents) and self._phase is WatchPhase.WATCHING:
            self._answered(now)
            return self._take_events(answer)
        if isinstance(answer, HistoryLost):
            self._transition_to_listing()
            self._next_call_at = now
            return []
        self._back_off(now)
        return []

    def on_failure(self, failure: HttpFailed, now: float) -> None:
        """Note that a call got no answer, and call again soon."""
        self._pending = None
        self._back_off(now)

    def _answered(self, now: float) -> None:
        self.heard_at = now
        self.failures = 0
        self._next_call_at = now

    def _back_off(self, now: float) -> None:
        self.failures += 1
        pause = min(RETRY_SECONDS * 2 ** (self.failures - 1), MAX_RETRY_SECONDS)
        self._next_call_at = now + pause * (0.5 + 0.5 * self._random.random())

    def _transition_to_listing(self) -> None:
        self._phase = WatchPhase.LISTING
        self._listed = {}
        self._list_revision = None
        self._after_key = ""

    def _take_page(self, page: Page) -> list[StoredItem]:
        """Collect a page; the oldest one says from where to watch, since pages are no snapshot."""
        known = self._list_revision
        self._list_revision = page.revision if known is None else min(known, page.revision)
        for item in page.items:
            self._listed[item.key] = item
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
            if key not in self._listed and item.revision <= revision
        ]
        changed = [StoredItem(key, None, revision) for key in sorted(gone)]
        changed.extend(self._listed[key] for key in sorted(self._listed))
        self._phase = WatchPhase.WATCHING
        self._changes.clear()
        self._changes_since = revision
        self._revision = revision
        self.last_change = max(self.last_change, revision)
        self._listed = {}
        self.complete = True
        return [item for item in changed if self._apply(item)]

    def _take_events(self, events: WatchEvents) -> list[StoredItem]:
        if events.events:
            self._next_call_at += self.pause_seconds
        self._revision = max(self._revision, events.revision)
        return [item for item in events.events if self._apply(item)]

    def _keep_change(self, item: StoredItem) -> None:
        """Keep a change for other nodes; the oldest gives way, and what is before it is lost."""
        if self._phase is not WatchPhase.WATCHING or item.revision <= self._changes_since:
            return
        if len(self._changes) == MAX_CHANGES_KEPT:
            self._changes_since = self._changes[0].revision
        self._changes.append(item)

    def _apply(self, item: StoredItem) -> bool:
        """Take a change in, unless a later one is known; return whether it is news."""
        self.last_change = max(self.last_change, item.revision)
        self._keep_change(item)
        known = self.items.get(item.key)
        if known is not None and known.revision > item.revision:
            return False
        if item.value is None:
            self._note_gone(item)
            return self.items.pop(item.key, None) is not None
        if known is not None and known.revision == item.revision:
            return False
        if self._gone.get(item.key, 0) > item.revision:
            return False
        self.items[item.key] = item
        return True

    def _note_gone(self, item: StoredItem) -> None:
        """Remember a removal, so that an older change that comes late does not undo it."""
        self._gone[item.key] = item.revision
        self._gone.move_to_end(item.key)
        if len(self._gone) > MAX_CHANGES_KEPT:
            self._gone.popitem(last=False)
