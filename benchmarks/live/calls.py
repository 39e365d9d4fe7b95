"""Sends streamed calls on time; notes when each piece arrives and looks at it only later."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import msgspec

_ACCEPTED = b"HTTP/1.1 200 "
_LAST_CHUNK = b"0\r\n\r\n"
_LINE_END = b"\r\n"
_TAIL = len(_LAST_CHUNK)


class PlannedCall(msgspec.Struct, frozen=True, kw_only=True):
    """One call of the load.

    Attributes:
        due: Seconds after the start of its phase.
        direct: To the engine itself, not through yokeline.
        request: The HTTP request as it is sent.
    """

    due: float
    direct: bool
    host: str
    port: int
    request: bytes


class CallRecord(msgspec.Struct, kw_only=True):
    """What became of one call; times of the monotonic clock.

    Attributes:
        due: When it was to be sent.
        sent: When it was sent, its connection being there.
        pieces: Arrival and bytes of each piece that was read.
        lost: Why it has no whole answer; empty if it has.
    """

    plan: PlannedCall
    due: float
    sent: float = 0.0
    pieces: list[tuple[float, bytes]] = []
    lost: str = ""


class StreamedCall(asyncio.Protocol):
    """One call over a connection of its own."""

    def __init__(self, record: CallRecord, ended: asyncio.Future[None]) -> None:
        """Prepare it; ``ended`` is set after the answer's last byte."""
        self._record = record
        self._ended = ended
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.write(self._record.plan.request)

    def data_received(self, data: bytes) -> None:
        """Note a piece."""
        pieces = self._record.pieces
        pieces.append((time.monotonic(), data))
        if len(pieces) == 1 and not data.startswith(_ACCEPTED) and self._transport is not None:
            self._finish(f"refused: {data.partition(_LINE_END)[0].decode(errors='replace')}")
            self._transport.close()
            return
        tail = data if len(data) >= _TAIL else b"".join(piece for _, piece in pieces[-_TAIL:])
        if tail.endswith(_LAST_CHUNK) and self._transport is not None:
            self._finish("")
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note an end before the last byte."""
        self._finish(f"connection lost: {exc}")

    def _finish(self, lost: str) -> None:
        if not self._ended.done():
            self._record.lost = lost
            self._ended.set_result(None)


async def send_all(plans: list[PlannedCall], start: float, seconds: float) -> list[CallRecord]:
    """Send each call when it is due and return what became of all.

    Args:
        plans: The calls, in the order in which they are due.
        start: Monotonic time that their times count from.
        seconds: Longest wait for the end of each.
    """
    records = [CallRecord(plan=plan, due=start + plan.due, pieces=[]) for plan in plans]
    tasks = []
    for record in records:
        await asyncio.sleep(max(0.0, record.due - time.monotonic()))
        tasks.append(asyncio.create_task(_send(record, seconds)))
    await asyncio.gather(*tasks)
    return records


async def _send(record: CallRecord, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    ended: asyncio.Future[None] = loop.create_future()
    plan = record.plan
    record.sent = time.monotonic()
    try:
        await loop.create_connection(lambda: StreamedCall(record, ended), plan.host, plan.port)
        await asyncio.wait_for(ended, seconds)
    except (OSError, TimeoutError) as error:
        record.lost = f"{type(error).__name__}: {error}"


def http_request(host: str, port: int, path: str, token: str, document: dict[str, Any]) -> bytes:
    """Return a POST for an event stream as bytes."""
    body = json.dumps(document).encode()
    authorization = f"authorization: Bearer {token}\r\n" if token else ""
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {host}:{port}\r\n{authorization}"
        f"content-type: application/json\r\naccept: text/event-stream\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
