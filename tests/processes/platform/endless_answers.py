"""Answers without end, by the body of the request that gets them: head, piece, pause in seconds.

Slow ones reach no limit before the deadline: they may be answers, as far as they have come.
"""

from __future__ import annotations

Endless = tuple[bytes, bytes, float]

_STATUS = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
_STREAM = _STATUS + b"Content-Type: text/event-stream\r\n\r\n"
_PIECE_BYTES = 65536
_BODY = b"z" * _PIECE_BYTES


def _many(piece: bytes) -> bytes:
    return piece * max(1, _PIECE_BYTES // len(piece))


ENDLESS_CALLS: dict[bytes, Endless] = {
    b"head-junk": (b"", b"\xff" * _PIECE_BYTES, 0.0),
    b"head-fields": (_STATUS, _many(b"X-Field: value\r\n"), 0.0),
    b"head-one-field": (_STATUS + b"X-Field: ", b"v" * _PIECE_BYTES, 0.0),
    b"head-informational": (b"", _many(b"HTTP/1.1 102 Processing\r\n\r\n"), 0.0),
    b"chunk-size": (_CHUNKED, b"0" * _PIECE_BYTES, 0.0),
    b"chunk-extension": (_CHUNKED + b"5;", b"e" * _PIECE_BYTES, 0.0),
    b"trailers": (_CHUNKED + b"0\r\n", _many(b"X-Field: value\r\n"), 0.0),
    b"body-until-close": (_STATUS + b"\r\n", _BODY, 0.0),
    b"body-in-chunks": (_CHUNKED, b"10000\r\n" + _BODY + b"\r\n", 0.0),
    b"body-of-503": (
        b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + _BODY + b"\r\n",
        0.0,
    ),
}
ENDLESS_STREAMS: dict[bytes, Endless] = {
    b"stream-junk": (_STREAM, _BODY, 0.0),
    b"stream-comments": (_STREAM, _many(b": comment\n"), 0.0),
    b"stream-comment-blocks": (_STREAM, _many(b": comment\n\n"), 0.0),
    b"stream-ids": (_STREAM, _many(b"id: 7\n"), 0.0),
    b"stream-id-blocks": (_STREAM, _many(b"id: 7\n\n"), 0.0),
    b"stream-blank-lines": (_STREAM, b"\n" * _PIECE_BYTES, 0.0),
    b"stream-returns": (_STREAM, b"\r" * _PIECE_BYTES, 0.0),
}
SLOW_CALLS: dict[bytes, Endless] = {
    b"body-in-small-chunks": (_CHUNKED, _many(b"1\r\nz\r\n"), 0.0),
    b"trickle-head": (_STATUS + b"X-Field: ", b"v", 0.05),
    b"trickle-body": (_STATUS + b"\r\n", b"z", 0.05),
}
SLOW_STREAMS: dict[bytes, Endless] = {
    b"stream-in-small-chunks": (
        _STATUS + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        _many(b"3\r\n:c\n\r\n"),
        0.0,
    ),
    b"stream-of-events": (_STREAM, _many(b"id: 7\ndata: x\n\n"), 0.0),
}
ENDLESS_DOCUMENTS: dict[bytes, Endless] = {
    b"items": (
        _CHUNKED + b'A\r\n{"items":[\r\n',
        b"10000\r\n" + b"[" * _PIECE_BYTES + b"\r\n",
        0.0,
    ),
    b"length": (_STATUS + b"Content-Length: 99999999999\r\n\r\n", b" " * _PIECE_BYTES, 0.0),
}
"""Answers without end to calls that are answered with a document."""
LARGE_EVENT_BYTES = 4 * 1024 * 1024 - 64
"""Nearly the largest event that is taken."""
LARGE_EVENTS: dict[bytes, Endless] = {
    b"stream-of-large-events": (_STREAM, b"data: " + b"z" * LARGE_EVENT_BYTES + b"\n\n", 0.0),
}
