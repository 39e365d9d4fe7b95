"""Reads the configuration from the key-value service: lists it once, then watches it.

Only relays do this. The pages of a listing are read at rising store revisions; the revision
of the first page is the one that the listing counts for, since the watch from there delivers
whatever changed during the later pages.
"""

from __future__ import annotations

from collections.abc import Callable

from returns.result import Failure, Result

from yokeline.errors import YokelineError
from yokeline.labels.objects import StoredObject
from yokeline.server.context import NodeContext
from yokeline.store.client import KeyValueClient
from yokeline.store.keys import configuration_prefix, stored_from_event, stored_from_item
from yokeline.store.limits import StoreLimits, backoff_seconds
from yokeline.store.merge import ConfigurationState
from yokeline.store.protocol import RangeResult, WatchEvent
from yokeline.store.watch import StoreWatch

PAGE_KEYS = 500


class StoreRelay:
    """Keeps a configuration state up to date from the store while it is active."""

    def __init__(
        self,
        context: NodeContext,
        client: KeyValueClient,
        store_prefix: str,
        state: ConfigurationState,
        changed: Callable[[bool], None],
    ) -> None:
        """Create an inactive relay.

        Args:
            context: The node's context.
            client: Client of the store.
            store_prefix: Prefix of all keys of the deployment.
            state: What the store's content is merged into.
            changed: Called after the state's revision rose; tells whether objects changed.
        """
        self.listed = False
        self._context = context
        self._client = client
        self._store_prefix = store_prefix
        self._prefix = configuration_prefix(store_prefix)
        self._state = state
        self._changed = changed
        self._limits = StoreLimits()
        self._active = False
        self._watch: StoreWatch | None = None
        self._listing = 0
        self._listing_due: float | None = None
        self._failures = 0
        self._first_revision = 0
        self._revision_at_start = 0
        self._found: list[StoredObject] = []

    @property
    def active(self) -> bool:
        """Return whether this node reads the store."""
        return self._active

    @property
    def watching(self) -> bool:
        """Return whether the store sends changes to this node at the moment."""
        return self._watch is not None and self._watch.is_open

    def transition_active(self) -> None:
        """Begin to list and watch."""
        if not self._active:
            self._active = True
            self._listing_due = self._context.now
            self._context.log("configuration_relay_started")
            self.tick()

    def transition_inactive(self) -> None:
        """Stop reading the store."""
        if not self._active:
            return
        self._active = False
        self._listing += 1
        self._listing_due = None
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._context.log("configuration_relay_stopped")

    def tick(self) -> None:
        """Start a listing when it is due."""
        if self._listing_due is not None and self._context.now >= self._listing_due:
            self._start_listing()

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        return self._listing_due

    # ------------------------------------------------------------ listing

    def _start_listing(self) -> None:
        self._listing_due = None
        self._listing += 1
        self._found = []
        self._first_revision = 0
        self._revision_at_start = self._state.revision
        self._ask_page(self._listing, "")

    def _ask_page(self, listing: int, after: str) -> None:
        def done(result: Result[RangeResult, YokelineError]) -> None:
            if listing == self._listing and self._active:
                self._page_arrived(listing, result)

        self._client.get_range(self._prefix, done, after=after, limit=PAGE_KEYS)

    def _page_arrived(self, listing: int, result: Result[RangeResult, YokelineError]) -> None:
        if isinstance(result, Failure):
            self._listing_failed(result.failure())
            return
        page = result.unwrap()
        if self._first_revision == 0:
            self._first_revision = page.revision
        items = (stored_from_item(self._store_prefix, item) for item in page.items)
        self._found.extend(item for item in items if item is not None)
        if page.more and page.items:
            self._ask_page(listing, page.items[-1].key)
        else:
            self._listing_complete()

    def _listing_failed(self, error: YokelineError) -> None:
        self._failures += 1
        pause = backoff_seconds(self._failures, self._limits, self._context.random)
        self._listing_due = self._context.now + max(pause, error.retry_after or 0.0)
        self._found = []
        self._context.counters["yokeline_configuration_listings_failed_total"] += 1

    def _listing_complete(self) -> None:
        self._failures = 0
        self.listed = True
        found, self._found = self._found, []
        if self._first_revision < self._revision_at_start:
            self._context.counters["yokeline_store_regressions_total"] += 1
            self._context.warn(
                "store_went_back",
                store_revision=self._first_revision,
                known_revision=self._revision_at_start,
                remedy="the store lost writes; write the configuration to it again",
            )
        before = self._state.revision
        changed = self._state.apply_listing(found, self._first_revision)
        self._watch = self._client.watch(self._prefix, self._state.revision + 1, self)
        if self._state.revision > before:
            self._changed(changed)

    # ------------------------------------------------------------ watch listener

    def watch_opened(self) -> None:
        """Note that the store accepted the watch."""
        self._context.log("configuration_watch_opened", revision=self._state.revision)

    def watch_delivered(self, events: tuple[WatchEvent, ...], upto: int) -> None:
        """Merge changes that the store sent."""
        if not self._active:
            return
        items = (stored_from_event(self._store_prefix, event) for event in events)
        found = [item for item in items if item is not None]
        before = self._state.revision
        changed = self._state.apply_changes(found, upto)
        if self._state.revision > before:
            self._changed(changed)

    def watch_lost(self) -> None:
        """Note that the watch must reconnect."""
        self._context.log("configuration_watch_lost", revision=self._state.revision)

    def watch_compacted(self) -> None:
        """List anew: the changes since our revision are gone."""
        self._watch = None
        self._listing_due = self._context.now if self._active else None
