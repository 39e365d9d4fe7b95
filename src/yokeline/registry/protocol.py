"""The key-value service as the registry sees it: typed answers, and who spells the calls."""

from __future__ import annotations

from typing import Protocol

import msgspec

from yokeline.effects import HttpRequest, HttpResponse
from yokeline.identifiers import RequestId


class StoredItem(msgspec.Struct, frozen=True):
    """An item, or (``value`` None) that it is gone.

    Attributes:
        revision: Of its last change, or of its removal.
    """

    key: str
    value: bytes | None
    revision: int


class Page(msgspec.Struct, frozen=True):
    """Part of a list; pages are no snapshot, so changes after ``revision`` are to be watched."""

    items: tuple[StoredItem, ...]
    more: bool
    revision: int


class WatchEvents(msgspec.Struct, frozen=True):
    """What changed, up to and including ``revision``."""

    events: tuple[StoredItem, ...]
    revision: int


class HistoryLost(msgspec.Struct, frozen=True):
    """The changes after the revision asked for are not known any more: list again."""


class FoundItem(msgspec.Struct, frozen=True):
    """An item as it stood at some moment after it was asked for."""

    item: StoredItem


class Written(msgspec.Struct, frozen=True):
    """A write took effect."""

    revision: int


class StoreRefused(msgspec.Struct, frozen=True):
    """Nothing was done; with a failed condition ``items`` are as they stand."""

    status: int
    items: tuple[StoredItem, ...]


RegistryAnswer = Page | WatchEvents | FoundItem | HistoryLost | Written | StoreRefused


class StoreProtocol(Protocol):
    """Spells calls and reads answers; decides nothing."""

    def list_call(
        self, request: RequestId, prefix: str, after_key: str, *, may_lag: bool
    ) -> HttpRequest:
        """Return the call that reads a page of items below a prefix.

        With ``may_lag`` it costs less and may be seconds old; its revision says how old.
        """
        ...

    def read_call(self, request: RequestId, key: str) -> HttpRequest:
        """Return the call that reads one item, and never an older state than when it is sent."""
        ...

    def watch_call(
        self, request: RequestId, prefix: str, revision: int, wait: float
    ) -> HttpRequest:
        """Return the call that waits for changes after a revision."""
        ...

    def write_call(
        self, request: RequestId, key: str, value: bytes, expected: int | None
    ) -> HttpRequest:
        """Return the call that writes an item, under a condition if ``expected`` is given."""
        ...

    def read_answer(self, response: HttpResponse) -> RegistryAnswer:
        """Return what an answer says."""
        ...
