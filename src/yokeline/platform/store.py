"""Requests to the platform's key-value store, and their responses (PROTOCOL.md)."""

from __future__ import annotations

import base64
from typing import Annotated
from urllib.parse import quote

import msgspec

from yokeline.effects import Address, HttpRequest, HttpResponse
from yokeline.identifiers import RequestId
from yokeline.platform.documents import CONFIGURATION_KEY, hash_api_keys
from yokeline.registry.protocol import (
    FoundItem,
    HistoryLost,
    Page,
    RegistryAnswer,
    StoredItem,
    StoreRefused,
    WatchEvents,
    Written,
)

_MS_PER_SECOND = 1000
_JSON_HEADERS = {"content-type": "application/json"}
_REQUEST_TIMEOUT_SECONDS = 1.5
_WATCH_TIMEOUT_MARGIN_SECONDS = 1.0
_HISTORY_GONE = 410
_PRECONDITION_FAILED = 412
_OK = 200


_MAX_REVISION = 2**63 - 1
"""Larger revisions fit in no message between nodes."""
_MAX_DIGITS = 18
"""Digits of integers that every reader takes; no field of a response has more."""
_StoreRevision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]


class _Item(msgspec.Struct, kw_only=True, rename={"key": "private-key"}):
    key: str
    value: object = ""
    rev: _StoreRevision = 0
    gone: bool = False


class _Range(msgspec.Struct, kw_only=True):
    items: list[object]
    more: bool = False
    at: _StoreRevision


class _Events(msgspec.Struct, kw_only=True):
    events: list[object]
    at: _StoreRevision


class _Conflict(msgspec.Struct, kw_only=True):
    items: list[object] = []


class _Revision(msgspec.Struct, kw_only=True):
    rev: _StoreRevision


_KEY_FIELD = "private-key"


class KeyValueStore:
    """Implements :class:`yokeline.registry.protocol.StoreProtocol` for the platform."""

    def __init__(self, address: Address) -> None:
        """Send requests to the store at ``address``."""
        self._address = address

    def list_call(
        self, request: RequestId, prefix: str, after_key: str, *, may_lag: bool
    ) -> HttpRequest:
        """Read a page of the items below a prefix; linearizable unless ``may_lag``."""
        path = f"/-/kv-range?path-prefix={quote(prefix, safe='/')}"
        if after_key:
            path += f"&after={quote(after_key, safe='/')}"
        if may_lag:
            path += "&stale=1"
        return self._get(request, path, _REQUEST_TIMEOUT_SECONDS)

    def read_call(self, request: RequestId, key: str) -> HttpRequest:
        """Read one item, linearizable."""
        path = f"/-/kv-key?private-key={quote(key, safe='/')}"
        return self._get(request, path, _REQUEST_TIMEOUT_SECONDS)

    def watch_call(
        self, request: RequestId, prefix: str, revision: int, wait: float
    ) -> HttpRequest:
        """Wait up to ``wait`` seconds for changes below a prefix after a revision."""
        wait_ms = int(wait * _MS_PER_SECOND)
        path = f"/-/kv-watch?path-prefix={quote(prefix, safe='/')}"
        path += f"&after={revision}&wait-ms={wait_ms}"
        return self._get(request, path, wait + _WATCH_TIMEOUT_MARGIN_SECONDS)

    def write_call(
        self, request: RequestId, key: str, value: bytes | None, expected: int | None
    ) -> HttpRequest:
        """Write or remove one item, on condition that its revision is ``expected`` if given."""
        body: dict[str, object] = {"delete": [key]}
        if value is not None:
            encoded = base64.b64encode(value).decode()
            body = {"put": [{"private-key": key, "value": encoded, "lease": 0}]}
        if expected is not None:
            body["expected-rev"] = [{"private-key": key, "rev": expected}]
        return HttpRequest(
            request=request,
            address=self._address,
            method="POST",
            path="/-/kv-txn",
            headers=_JSON_HEADERS,
            body=msgspec.json.encode(body),
            timeout=_REQUEST_TIMEOUT_SECONDS,
            use_kept=True,
        )

    def read_answer(self, response: HttpResponse) -> RegistryAnswer:
        """Decode a response; its type follows from the status and the fields of the body."""
        if response.status == _HISTORY_GONE:
            return HistoryLost()
        try:
            if response.status == _PRECONDITION_FAILED:
                return _read_conflict(response)
            if response.status == _OK:
                return _read_success(response.body)
        except (msgspec.DecodeError, ValueError, RecursionError):
            return StoreRefused(response.status, ())
        return StoreRefused(response.status, ())

    def _get(self, request: RequestId, path: str, timeout: float) -> HttpRequest:
        return HttpRequest(
            request=request,
            address=self._address,
            method="GET",
            path="",
            target=path,
            timeout=timeout,
            allow_retry=True,
        )


def _read_conflict(response: HttpResponse) -> StoreRefused:
    conflict = msgspec.convert(_decode_object(response.body), _Conflict)
    return StoreRefused(response.status, _stored_items(conflict.items))


def _read_success(body: bytes) -> RegistryAnswer:
    """Decode the body of a success.

    Raises:
        ValueError: The body is no whole response of the service.
    """
    fields = _decode_object(body)
    if "items" in fields:
        page = msgspec.convert(fields, _Range)
        items = _stored_items(page.items)
        if page.more and not items:
            raise ValueError("a page that is not the last one has no key to continue after")
        return Page(items, page.more, page.at)
    if "events" in fields:
        events = msgspec.convert(fields, _Events)
        return WatchEvents(_stored_items(events.events), events.at)
    if _KEY_FIELD in fields:
        return FoundItem(_stored_item(msgspec.convert(fields, _Item)))
    return Written(msgspec.convert(fields, _Revision).rev)


def _decode_object(body: bytes) -> dict[str, object]:
    """Decode a JSON object.

    Other processes choose the keys of their items. A key that is no valid text must not discard
    the other items of a response, so such text is replaced.

    Raises:
        ValueError: The body is not a whole JSON object.
    """
    try:
        return msgspec.json.decode(body, type=dict[str, object])
    except (msgspec.DecodeError, ValueError):
        return msgspec.json.decode(_replace_invalid_text(body), type=dict[str, object])


def _replace_invalid_text(body: bytes) -> bytes:
    """Replace invalid UTF-8 and lone surrogates, and numbers that are no revisions by null.

    Raises:
        ValueError: The body is not a whole JSON document.
    """
    import json  # Not loaded by the start of a node, since hardly any response needs it.

    document = json.loads(
        body.decode(errors="replace"),
        parse_int=lambda digits: int(digits) if len(digits) <= _MAX_DIGITS else None,
        parse_float=_ignore_number,
        parse_constant=_ignore_number,
    )
    return json.dumps(document, ensure_ascii=False).encode(errors="replace")


def _ignore_number(_text: str) -> None:
    """Return null for a number."""


def _stored_items(rows: list[object]) -> tuple[StoredItem, ...]:
    """Return the items of a response, without those whose key or revision is invalid."""
    try:
        items = msgspec.convert(rows, list[_Item])
    except msgspec.ValidationError:
        items = [item for row in rows if (item := _read_item(row)) is not None]
    return tuple(_stored_item(item) for item in items)


def _read_item(row: object) -> _Item | None:
    try:
        return msgspec.convert(row, _Item)
    except msgspec.ValidationError:
        return None


def _stored_item(item: _Item) -> StoredItem:
    value = None if item.gone else _decode_value(item)
    if value is not None and item.key == CONFIGURATION_KEY:
        value = hash_api_keys(value)
    return StoredItem(item.key, value, item.rev)


def _decode_value(item: _Item) -> bytes:
    """Decode an item's value; one that is no base64 text gives an empty value.

    One invalid item must not discard the other items of a response.
    """
    try:
        return base64.b64decode(item.value) if isinstance(item.value, str) else b""
    except ValueError:
        return b""
