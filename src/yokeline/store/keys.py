"""Layout of configuration objects in the key-value service: keys and values.

An object is one key, ``<prefix>configuration/<kind>/<qualified name>``. Its value is JSON with
the id of the write operation and the object. A deleted object stays as a value without an
object, so that the outcome of a delete can be read back like that of any other write.
"""

from __future__ import annotations

import msgspec

from yokeline.labels.objects import ObjectKind, StoredObject
from yokeline.store.protocol import KeyValue, WatchEvent

CONFIGURATION_FOLDER = "configuration/"
_KINDS = {kind.value: kind for kind in ObjectKind}


class _StoredValue(msgspec.Struct, forbid_unknown_fields=True):
    """The value of a key; ``object`` is null where the object is deleted."""

    operation: str
    object: msgspec.Raw


_NO_OBJECT = b"null"


def configuration_prefix(store_prefix: str) -> str:
    """Return the prefix of all configuration objects of a deployment."""
    return store_prefix + CONFIGURATION_FOLDER


def object_key(store_prefix: str, kind: ObjectKind, name: str) -> str:
    """Return the key of an object by its qualified name."""
    return f"{configuration_prefix(store_prefix)}{kind.value}/{name}"


def encode_value(operation: str, body: str) -> bytes:
    """Return the value of a key.

    Args:
        operation: Id of the write operation.
        body: JSON text of the object; empty for a deleted one.
    """
    raw = msgspec.Raw(body.encode() or _NO_OBJECT)
    return msgspec.json.encode(_StoredValue(operation, raw))


def stored_from_item(store_prefix: str, item: KeyValue) -> StoredObject | None:
    """Return the object that a key holds; None for a key of another layout."""
    return _stored(store_prefix, item.key, item.mod_revision, item.value)


def stored_from_event(store_prefix: str, event: WatchEvent) -> StoredObject | None:
    """Return the object that an event tells of; None for a key of another layout."""
    return _stored(store_prefix, event.key, event.revision, event.value)


def _stored(store_prefix: str, key: str, revision: int, value: bytes | None) -> StoredObject | None:
    prefix = configuration_prefix(store_prefix)
    if not key.startswith(prefix):
        return None
    folder, _, name = key[len(prefix) :].partition("/")
    kind = _KINDS.get(folder)
    if kind is None or not name:
        return None
    operation, body = ("", "") if value is None else _decode_value(value)
    return StoredObject(kind=kind, name=name, revision=revision, body=body, operation=operation)


def _decode_value(value: bytes) -> tuple[str, str]:
    """Return operation and body; a value that is not ours is kept as an (invalid) body."""
    try:
        decoded = msgspec.json.decode(value, type=_StoredValue)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return "", value.decode(errors="replace") or "not an object"
    raw = bytes(decoded.object)
    return decoded.operation, "" if raw == _NO_OBJECT else raw.decode(errors="replace")
