"""A caller on a raw socket, which judges from the bytes alone whether an answer looks complete."""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass

from tests.processes.cluster import HOST
from tests.processes.platform.deployment import CALLER_HOST

ANSWER_SECONDS = 10.0
_READ_BYTES = 65536
_CHUNK_HEAD = re.compile(rb"([0-9a-f]+)\r\n")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: (\d+)")


@dataclass(frozen=True)
class RawAnswer:
    """What a caller can tell from the bytes of an answer.

    Attributes:
        status: None without a whole head.
        body: As far as it came, without chunk heads.
        looks_whole: Whether the framing says that the body is complete.
        was_reset: Whether the connection ended with a reset.
    """

    status: int | None
    body: bytes
    looks_whole: bool
    was_reset: bool

    @property
    def event_ids(self) -> list[int]:
        """Ids of the events of a stream."""
        return [int(number) for number in _EVENT_ID.findall(self.body)]


def ask_raw(
    port: int,
    path: str,
    request_id: str,
    fields: dict[str, str],
    *,
    version: str = "1.1",
    body: bytes = b"",
) -> RawAnswer:
    """Send a request on a connection of its own and read until that ends.

    Without a ``body`` the request has a short one that names its id.

    Raises:
        OSError: There is no connection, or it neither ends nor brings anything for a time.
    """
    all_fields = {
        "Host": CALLER_HOST,
        "X-Yokeline-Request-Id": request_id,
        "X-Yokeline-Deadline-Ms": "5000",
        **fields,
        "Connection": "close",
    }
    body = body or f"input-{request_id}".encode()
    head = [
        f"POST {path} HTTP/{version}",
        *(f"{name}: {value}" for name, value in all_fields.items()),
    ]
    head += [f"Content-Length: {len(body)}", "", ""]
    with socket.create_connection((HOST, port), timeout=ANSWER_SECONDS) as sock:
        sock.sendall("\r\n".join(head).encode() + body)
        data, was_reset = _read_to_end(sock)
    return _parsed(data, was_reset)


def _read_to_end(sock: socket.socket) -> tuple[bytes, bool]:
    data = b""
    while True:
        try:
            piece = sock.recv(_READ_BYTES)
        except ConnectionResetError:
            return data, True
        if not piece:
            return data, False
        data += piece


def _parsed(data: bytes, was_reset: bool) -> RawAnswer:
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return RawAnswer(None, b"", looks_whole=False, was_reset=was_reset)
    status = int(head.split(b" ", 2)[1])
    lines = [line.partition(b":") for line in head.lower().split(b"\r\n")[1:]]
    fields = {name: value.strip() for name, _, value in lines}
    if b"transfer-encoding" in fields:
        body, looks_whole = _without_chunk_heads(body)
    elif b"content-length" in fields:
        looks_whole = len(body) == int(fields[b"content-length"])
    else:
        looks_whole = not was_reset
    return RawAnswer(status, body, looks_whole, was_reset)


def _without_chunk_heads(data: bytes) -> tuple[bytes, bool]:
    """Return the body in chunks, as far as it came, and whether its last chunk came."""
    body = b""
    while (found := _CHUNK_HEAD.match(data)) is not None:
        size = int(found.group(1), 16)
        if not size:
            return body, data[found.end() :].startswith(b"\r\n")
        body += data[found.end() : found.end() + size]
        data = data[found.end() + size + 2 :]
    return body, False
