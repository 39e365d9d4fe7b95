"""Interface to the key-value service: typed responses, and the encoding of requests."""

from __future__ import annotations

from typing import Protocol

import msgspec

from yokeline.effects import HttpRequest, HttpResponse
from yokeline.identifiers import RequestId


class StoredItem(msgspec.Struct, frozen=True):
    """An item of the service, or its removal.

    Attributes:
        value: None if the item was removed.
        revision: Revision of the item's last change, or of its removal.
    """

    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """A page of a list.

    Pages are read at different revisions, so changes after the lowest revision must be watched.

    Attributes:
        more: There are further pages.
        revision: Revision of the service at which the page was read.
    """

    items: tuple[StoredItem, ...]
    more: bool
    revision: int


class WatchEvents(msgspec.Struct, frozen=True):
    """The changes up to and including ``revision``."""

    events: tuple[StoredItem, ...]
    revision: int


class HistoryLost(msgspec.Struct, frozen=True):
    """The changes after the requested revision are no longer available; list again."""


class FoundItem(msgspec.Struct, frozen=True):
    """An item that was read after the request was sent."""

    item: StoredItem


class Written(msgspec.Struct, frozen=True):
    """A write took effect at ``revision``."""

    revision: int


class StoreRefused(msgspec.Struct, frozen=True):
    """The service refused the request, or its response is invalid.

    Attributes:
        status: HTTP status.
        items: The current items, if a write's condition failed.
    """

    status: int
    items: tuple[StoredItem, ...]


RegistryAnswer = Page | WatchEvents | FoundItem | HistoryLost | Written | StoreRefused


class StoreProtocol(Protocol):
    """Encodes requests to the key-value service, and decodes its responses."""

    def list_call(
        self, request: RequestId, prefix: str, after_key: str, *, may_lag: bool
    ) -> HttpRequest:
        """Return the request that reads a page of the items below a prefix.

        A page read with ``may_lag`` is cheaper, and may be seconds old; otherwise the read is
        linearizable.

        Args:
            request: Id of the request.
            prefix: Prefix of the keys.
            after_key: Last key of the previous page; empty for the first page.
            may_lag: Allow a stale page.
        """
        ...

    def read_call(self, request: RequestId, key: str) -> HttpRequest:
        """Return the request that reads one item, linearizable."""
        ...

    def watch_call(
        self, request: RequestId, prefix: str, revision: int, wait: float
    ) -> HttpRequest:
        """Return the request that waits up to ``wait`` seconds for changes after a revision."""
        ...

    def write_call(
        self, request: RequestId, key: str, value: bytes | None, expected: int | None
    ) -> HttpRequest:
        """Return the request that writes an item, or removes it if ``value`` is None.

        With ``expected`` the item must have this revision, 0 if it must not exist.
        """
        ...

    def read_answer(self, response: HttpResponse) -> RegistryAnswer:
        """Decode a response."""
        ...
