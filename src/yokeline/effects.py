"""Events into a sans-I/O service and the effects it asks for.

Every long-lived part of the system, yokeline's own node and each stand-in of the emulator,
is a :class:`Service`: it receives events with the current time and returns effects. It does
no I/O, reads no clock and owns no random source of its own. ``node/`` binds a service to
sockets and timers; ``simulation/`` binds the same service to a virtual clock and network.

Times are monotonic seconds of the local machine (float) unless a name says ``wall``.
"""

from __future__ import annotations

import enum
from typing import Protocol, runtime_checkable

import msgspec

from yokeline.identifiers import ExchangeId, ReplicaId, RequestId


class Address(msgspec.Struct, frozen=True, array_like=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"


class Framing(enum.Enum):
    """How the body of an HTTP response is handed over."""

    WHOLE = "whole"
    """One :class:`HttpResponse` with the whole body."""
    SERVER_SENT_EVENTS = "server_sent_events"
    """One :class:`HttpStreamItem` per server-sent event (its ``data`` and ``id``)."""
    JSON_LINES = "json_lines"
    """One :class:`HttpStreamItem` per line of the body."""
    RAW_EVENTS = "raw_events"
    """One :class:`HttpStreamItem` per server-sent event, its bytes exactly as received; a
    response that is no event stream comes as one :class:`HttpResponse`."""


class BodyFraming(enum.Enum):
    """How the end of an HTTP body is marked (RFC 9112, section 6.3)."""

    LENGTH = "length"
    """By the Content-Length field."""
    CHUNKED = "chunked"
    """By the last chunk."""
    CLOSE = "close"
    """By the end of the connection, which does not show that the body is whole."""


# ---------------------------------------------------------------- events in


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; sent at the latest when ``Service.next_deadline`` is reached."""


class HttpArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A whole HTTP request arrived at the service's own HTTP port.

    Attributes:
        exchange: Names this request in the effects that answer it.
        headers: Header names in lower case.
        query: Decoded query parameters (last value wins).
        too_large: The body was over the limit and has been dropped.
        target: The request target exactly as it was received.
        header_items: All header fields in their order, names in lower case.
        stream_framing: How a streamed answer to this caller ends.
    """

    exchange: ExchangeId
    method: str
    path: str
    query: dict[str, str] = {}
    headers: dict[str, str] = {}
    body: bytes = b""
    too_large: bool = False
    target: str = ""
    header_items: tuple[tuple[str, str], ...] = ()
    stream_framing: BodyFraming = BodyFraming.CHUNKED


class HttpGone(msgspec.Struct, frozen=True):
    """The caller of an exchange closed its connection before the answer ended."""

    exchange: ExchangeId


class HttpResponse(msgspec.Struct, frozen=True, kw_only=True):
    """A whole response to an :class:`HttpRequest`, or the head of a streamed one.

    For a streamed request with status 2xx the body is empty and items follow; with any
    other status the body is whole and nothing follows.

    Attributes:
        connect_seconds: Time that the connection took to be established; 0 for a kept one.
        body_framing: How the end of the body is marked.
    """

    request: RequestId
    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    connect_seconds: float = 0.0
    body_framing: BodyFraming = BodyFraming.LENGTH


class HttpStreamItem(msgspec.Struct, frozen=True, kw_only=True):
    """One item of a streamed response.

    Attributes:
        is_event: False for bytes behind the last event that are none, such as comments.
    """

    request: RequestId
    data: bytes
    event_id: str = ""
    is_event: bool = True


class HttpStreamEnded(msgspec.Struct, frozen=True):
    """The body of a streamed response ended in the orderly way, behind a whole item."""

    request: RequestId


class HttpFailed(msgspec.Struct, frozen=True, kw_only=True):
    """An outgoing request failed (connection, timeout, limit, malformed answer).

    Attributes:
        sent: False only if it is certain that no byte of the request left this process.
        stale: A kept connection turned out closed by the other end: it ended without one byte
            of an answer after this request was written to it.
        silent: The time for an answer, or for its next part, passed on an open connection.
        fresh: The connection was opened for this request. A kept one may have been reset
            together with others, and says nothing of the other end.
        is_outage: The other end refused, closed, reset or did not answer, or its answer was
            malformed; False if a limit of this process or an invalid request ended the call.
        refused: No process listens at the address.
        is_truncated: The body ended in the orderly way, but is not complete.
        unfinished_bytes: Bytes that had arrived of an item which did not end.
        malformation: What of the answer was malformed or beyond a limit; empty if nothing was.
        received_bytes: Bytes of the answer that had arrived.
    """

    request: RequestId
    sent: bool
    reason: str
    stale: bool = False
    silent: bool = False
    fresh: bool = False
    is_outage: bool = True
    refused: bool = False
    is_truncated: bool = False
    unfinished_bytes: int = 0
    malformation: str = ""
    received_bytes: int = 0


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True):
    """A message of another node (TCP); ``message`` is one of ``messages.types``."""

    sender: ReplicaId
    message: msgspec.Struct


class DatagramArrived(msgspec.Struct, frozen=True, kw_only=True):
    """A membership message of another node (UDP)."""

    source: Address
    message: msgspec.Struct


class FileSynced(msgspec.Struct, frozen=True):
    """A :class:`SyncFile` and all before it are on the disk, their names included."""

    ticket: int


class FileRefused(msgspec.Struct, frozen=True):
    """The disk refuses writes; they are repeated, and a later :class:`FileSynced` ends the refusal.

    Attributes:
        reason: The system's error.
    """

    reason: str


class ReloadRequested(msgspec.Struct, frozen=True):
    """The settings file has changed (SIGHUP)."""


class StopRequested(msgspec.Struct, frozen=True):
    """A planned stop was asked for (SIGTERM, or the admin API)."""


Event = (
    Tick
    | HttpArrived
    | HttpGone
    | HttpResponse
    | HttpStreamItem
    | HttpStreamEnded
    | HttpFailed
    | PeerMessage
    | DatagramArrived
    | FileSynced
    | FileRefused
    | ReloadRequested
    | StopRequested
)


# ---------------------------------------------------------------- effects out


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Send an HTTP request to a back end, the key-value service or the machine list.

    Attributes:
        request: Names the request in the events that answer it.
        timeout: Seconds until the whole response must be there; for a streamed one, the
            longest silence between two items.
        allow_retry: The transport may send it again on a fresh connection if a pooled one
            turned out to be closed. False for anything that may not be repeated.
        use_kept: Take a kept connection also where ``allow_retry`` is false.
        target: The request target to send unchanged; overrides ``path``.
        header_items: Further header fields, in order (may repeat a name).
        echo_header: Name of a header field that the answer carries back; an answer with
            another value belongs to an earlier request and is passed over.
        echo_value: The value that belongs to this request.
    """

    request: RequestId
    address: Address
    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    framing: Framing = Framing.WHOLE
    timeout: float = 30.0
    allow_retry: bool = False
    use_kept: bool = False
    target: str = ""
    header_items: tuple[tuple[str, str], ...] = ()
    echo_header: str = ""
    echo_value: str = ""


class HttpCancel(msgspec.Struct, frozen=True):
    """Give up an outgoing request and close its connection; no event follows."""

    request: RequestId


class CloseIdleConnections(msgspec.Struct, frozen=True):
    """Close the kept connections to an address: the process that they led to is gone."""

    address: Address


class HttpReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer an exchange with a whole body.

    Attributes:
        last: Close the connection after this answer, and say so in it.
    """

    exchange: ExchangeId
    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    last: bool = False


class HttpStreamStart(msgspec.Struct, frozen=True, kw_only=True):
    """Answer an exchange with headers now; the body follows in pieces.

    Attributes:
        last: Close the connection after this answer, and say so in it.
    """

    exchange: ExchangeId
    status: int = 200
    headers: dict[str, str] = {}
    last: bool = False


class HttpStreamData(msgspec.Struct, frozen=True):
    """Send a piece of a streamed body."""

    exchange: ExchangeId
    data: bytes


class HttpStreamEnd(msgspec.Struct, frozen=True, kw_only=True):
    """End a streamed body.

    Attributes:
        aborted: Close the connection without the last chunk, or reset it if the body has no
            chunks, so that the receiver sees that the body is not whole.
    """

    exchange: ExchangeId
    aborted: bool = False


class SendPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message to another node over TCP, best effort and in order.

    ``address`` is where the node with that replica id listens; a node with another id that
    answers there must drop the message.
    """

    to: ReplicaId
    address: Address
    message: msgspec.Struct


class SendDatagram(msgspec.Struct, frozen=True, kw_only=True):
    """Send a membership message over UDP, best effort."""

    address: Address
    message: msgspec.Struct


class WriteFile(msgspec.Struct, frozen=True, kw_only=True):
    """Replace (or append to) a file below the data folder, atomically and synced."""

    name: str
    data: bytes
    append: bool = False


class DeleteFile(msgspec.Struct, frozen=True):
    """Delete a file below the data folder."""

    name: str


class SyncFile(msgspec.Struct, frozen=True, kw_only=True):
    """Write a file below the synced folder and report when it is on the disk.

    Attributes:
        ticket: Echoed by :class:`FileSynced`; writes are carried out in order.
        data: Appended to the file, or its whole new content.
        replace: Replace the file atomically.
    """

    ticket: int
    name: str
    data: bytes
    replace: bool = False


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Write one JSON log line: an event name and flat fields (no bodies, no secrets)."""

    event: str
    fields: dict[str, str | int | float | bool | None] = {}
    level: str = "info"


class SetServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Change what callers may send and how long they may rest, from now on.

    Attributes:
        max_header_bytes: Largest request head taken.
        max_body_bytes: Largest request body taken.
        request_seconds: Time from a request's first byte until it must be whole.
        idle_seconds: Time a connection is kept without a request.
    """

    max_header_bytes: int
    max_body_bytes: int
    request_seconds: float
    idle_seconds: float


class StopListening(msgspec.Struct, frozen=True):
    """Take no more connections of callers; those that are open go on."""


class Exit(msgspec.Struct, frozen=True):
    """End the process: a planned stop is complete.

    Attributes:
        code: Exit code of the process.
        output_seconds: Longest wait for written output to be read.
    """

    code: int = 0
    output_seconds: float = 2.0


Effect = (
    HttpRequest
    | HttpCancel
    | CloseIdleConnections
    | HttpReply
    | HttpStreamStart
    | HttpStreamData
    | HttpStreamEnd
    | SendPeer
    | SendDatagram
    | WriteFile
    | DeleteFile
    | SyncFile
    | LogRecord
    | SetServerLimits
    | StopListening
    | Exit
)


class Service(Protocol):
    """A sans-I/O service, run by ``node/`` in production and by ``simulation/``."""

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event in and return the effects to carry out, in order."""
        ...

    def next_deadline(self) -> float | None:
        """Return when a :class:`Tick` is due at the latest; None if none is."""
        ...


class Interruption(msgspec.Struct, frozen=True, kw_only=True):
    """What a service had done with an event when its handling raised.

    Attributes:
        effects: Effects that were decided, in order.
        is_handled: The event itself was handled; what raised came behind it.
    """

    effects: list[Effect]
    is_handled: bool


@runtime_checkable
class MemoryHolder(Protocol):
    """A service that holds large texts beside the requests that it was handed."""

    def held_bytes(self) -> int:
        """Return the memory of what its open requests need."""
        ...

    def cached_bytes(self) -> int:
        """Return the memory of what it can obtain again."""
        ...

    def drop_caches(self) -> None:
        """Free what it can obtain again."""
        ...


@runtime_checkable
class InterruptibleService(Service, Protocol):
    """A service whose callers are answered also if one of its steps raises.

    An answer that was decided is sent even if a later step of the same event raises, and a
    request of which the service knows nothing any more is answered as a fault.
    """

    def interruption(self) -> Interruption:
        """Return what was done with the latest event, whose handling raised."""
        ...

    def has_open(self, exchange: ExchangeId) -> bool:
        """Return whether the service still owes an exchange its final answer."""
        ...
