"""Log lines to a stream that may be slow or read by nobody: bounded, and never blocking."""

from __future__ import annotations

import logging
import os
import select
import time
from collections import Counter, deque
from typing import Any

import msgspec

MAX_WAITING_BYTES = 512 * 1024
"""Lines that may wait for a slow reader; beyond it new ones are dropped and counted."""
MAX_LINE_BYTES = 4096
"""A pipe that is writable takes this much without blocking (PIPE_BUF)."""
DROPPED_EVENT = "log_lines_dropped"
_UNNAMED = "unnamed"
_MS_PER_SECOND = 1000


class BoundedLogOutput(logging.Handler):
    """Writes each record as one JSON line to a file descriptor.

    Attributes:
        dropped: Lines dropped so far, by event name.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to an open descriptor."""
        super().__init__()
        self.dropped: Counter[str] = Counter()
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._rest = b""
        self._unreported: Counter[str] = Counter()

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or let it wait, or count it as dropped."""
        try:
            event, line = _line_of(record)
        except Exception:  # a line that cannot be written must not stop the process
            self.handleError(record)
            return
        self._put(event, line)

    def write_fields(self, level: int, fields: dict[str, Any]) -> None:
        """Write a line as :meth:`emit` does, without a record of ``logging``.

        A record looks for its caller on the stack, which takes most of the time of a line.
        """
        try:
            event, line = str(fields.get("event", _UNNAMED)), _encoded(level, time.time(), fields)
        except Exception:  # a line that cannot be written must not stop the process
            self.handleError(logging.makeLogRecord({"levelno": level, "msg": fields}))
            return
        self.acquire()
        try:
            self._put(event, line)
        finally:
            self.release()

    def drain(self, seconds: float) -> None:
        """Write the lines that wait before the process ends, for some seconds at most."""
        end = time.monotonic() + seconds
        self._write_waiting()
        while (self._waiting or self._rest) and time.monotonic() < end:
            self._poll.poll(max(0.0, end - time.monotonic()) * _MS_PER_SECOND)
            if self._rest:
                self._rest = self._rest[self._write_part(self._rest) :]
            self._write_waiting()

    def _put(self, event: str, line: bytes) -> None:
        self._write_waiting()
        if not self._waiting and self._write(line):
            return
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped[event] += 1
            self._unreported[event] += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)

    def _write_waiting(self) -> None:
        while self._waiting and self._write(self._waiting[0]):
            self._waiting_bytes -= len(self._waiting.popleft())
        if self._unreported and not self._waiting:
            fields = {"event": DROPPED_EVENT, "count": self._unreported.total()}
            line = _encoded(logging.WARNING, time.time(), {**fields, "by_event": self._unreported})
            if self._write(line):
                self._unreported.clear()

    def _write(self, line: bytes) -> bool:
        """Write a line if that does not block; return whether at least its first part is written.

        A file on a disk that is nearly full takes a part of a line; the rest goes before the next.
        """
        if self._rest:
            self._rest = self._rest[self._write_part(self._rest) :]
        if self._rest:
            return False
        written = self._write_part(line)
        if written:
            self._rest = line[written:]
        return written > 0

    def _write_part(self, data: bytes) -> int:
        """Return how many bytes were written without blocking."""
        ready = self._poll.poll(0)
        if not ready or not ready[0][1] & select.POLLOUT:
            return 0
        try:
            return os.write(self._descriptor, data)
        except OSError:
            return 0


def _line_of(record: logging.LogRecord) -> tuple[str, bytes]:
    message = record.msg
    fields = message if isinstance(message, dict) else {"message": record.getMessage()}
    event = str(fields.get("event", _UNNAMED))
    return event, _encoded(record.levelno, record.created, fields)


def _encoded(level: int, created: float, fields: dict[str, object]) -> bytes:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(created))
    stamp = f"{seconds}.{int(created * 1000) % 1000:03d}Z"
    everything = {"time": stamp, "level": logging.getLevelName(level), **fields}
    line = msgspec.json.encode(everything, enc_hook=str) + b"\n"
    if len(line) > MAX_LINE_BYTES:
        short = {"time": stamp, "event": fields.get("event"), "truncated": len(line)}
        line = msgspec.json.encode(short, enc_hook=str) + b"\n"
    return line
