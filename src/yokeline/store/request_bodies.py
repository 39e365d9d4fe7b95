"""Paths and bodies of requests to the etcd v3 JSON gateway (see ``store.protocol``)."""

from __future__ import annotations

import msgspec

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/watch"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with ``prefix`` (etcd's ``range_end``)."""
    key = prefix.encode().rstrip(b"\xff")
    if not key:
        return b"\0"
    return key[:-1] + bytes([key[-1] + 1])


def range_body(
    key: str, *, range_end: bytes = b"", limit: int = 0, revision: int = 0, keys_only: bool = False
) -> bytes:
    """Return the body of a range request.

    Args:
        key: The key, or the first key of a range.
        range_end: Where the range ends; empty for the single key.
        limit: Most keys in the answer; 0 for all.
        revision: Store revision to read at; 0 for the newest (linearizable).
        keys_only: Leave the values out.
    """
    body: dict[str, object] = {"key": key.encode(), "sort_order": "ASCEND", "sort_target": "KEY"}
    if range_end:
        body["range_end"] = range_end
    if limit:
        body["limit"] = str(limit)
    if revision:
        body["revision"] = str(revision)
    if keys_only:
        body["keys_only"] = True
    return msgspec.json.encode(body)


def swap_body(key: str, expected_revision: int, value: bytes, lease: int = 0) -> bytes:
    """Return the body of a compare-and-swap; an expected revision of 0 means "no such key"."""
    put: dict[str, object] = {"key": key.encode(), "value": value}
    if lease:
        put["lease"] = str(lease)
    return _txn_body(key, expected_revision, {"request_put": put})


def delete_body(key: str, expected_revision: int) -> bytes:
    """Return the body of a delete that is done only at the expected revision."""
    delete = {"request_delete_range": {"key": key.encode()}}
    return _txn_body(key, expected_revision, delete)


def _txn_body(key: str, expected_revision: int, success: dict[str, dict]) -> bytes:
    compare = {
        "key": key.encode(),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected_revision),
    }
    read = {"request_range": {"key": key.encode()}}
    body = {"compare": [compare], "success": [success], "failure": [read]}
    return msgspec.json.encode(body)


def watch_body(prefix: str, from_revision: int) -> bytes:
    """Return the body that opens a watch on a prefix."""
    create = {
        "key": prefix.encode(),
        "range_end": prefix_end(prefix),
        "start_revision": str(from_revision),
        "progress_notify": True,
    }
    return msgspec.json.encode({"create_request": create})


def lease_grant_body(seconds: int) -> bytes:
    """Return the body that asks for a lease; the store chooses its id."""
    return msgspec.json.encode({"TTL": str(seconds), "ID": "0"})


def lease_body(lease: int) -> bytes:
    """Return the body of a keepalive or revoke request."""
    return msgspec.json.encode({"ID": str(lease)})
