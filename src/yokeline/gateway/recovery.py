"""Recovery of shards that lost their majority: what copies there are, and the order."""

from __future__ import annotations

import math

import msgspec
from returns.result import Failure, Result

from yokeline.errors import YokelineError, YokelineException
from yokeline.gateway.admin import STATUS_OK, AdminApi
from yokeline.gateway.calls import ApiCall, GatewayParts, value_of
from yokeline.gateway.problems import bad_request, not_found
from yokeline.gateway.requests import RecoverBody, decode_body
from yokeline.identifiers import ShardId

MAX_LOG_NUMBER = 2**52
"""Terms go out as fences in JSON, where numbers are exact below 2**53."""


class RecoveryApi:
    """Handlers of the routes about recovery."""

    def __init__(self, parts: GatewayParts, admin: AdminApi) -> None:
        """Create the handlers over the gateway's parts."""
        self._parts = parts
        self._table = parts.table
        self._admin = admin

    def list_copies(self, call: ApiCall) -> None:
        """``GET /admin/v1/recovery``."""
        self._admin.reply_items(call, self._parts.admin.copies())

    def recover_shard(self, call: ApiCall) -> None:
        """``POST /admin/v1/shards/{shard}/recover``."""
        shard = self._shard(call.arguments["shard"])
        body = value_of(decode_body(call.request, RecoverBody))
        seconds = body.doubt_seconds
        if seconds is not None and not (math.isfinite(seconds) and seconds >= 0):
            raise YokelineException(
                bad_request("doubt_seconds is no time", "send seconds, 0 or more")
            )
        numbers = (body.last_term, body.last_index, body.seen_term)
        if min(numbers) < 0 or max(numbers) > MAX_LOG_NUMBER:
            raise YokelineException(
                bad_request("a term or an index is out of range", "send them as listed")
            )

        def done(result: Result[msgspec.Struct, YokelineError]) -> None:
            if isinstance(result, Failure):
                self._table.reply_error(call.exchange, result.failure())
            else:
                self._table.reply_json(call.exchange, STATUS_OK, result.unwrap())

        self._parts.admin.recover(shard, body, self._table.guarded(call.exchange, done))

    def _shard(self, text: str) -> ShardId:
        count = self._parts.settings.cluster.shards
        if text.isdecimal() and text.isascii() and int(text) < count:
            return ShardId(int(text))
        raise YokelineException(not_found("there is no such shard", f"use 0 to {count - 1}"))
