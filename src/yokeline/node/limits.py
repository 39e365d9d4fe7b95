"""Limits of the transports: sizes, times and counts that keep one peer from using up a node."""

from __future__ import annotations

import msgspec

from yokeline.messages.framing import DEFAULT_FRAME_LIMIT

KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE


class ServerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the HTTP server.

    Attributes:
        max_header_bytes: Largest request head taken; more is answered 431.
        max_body_bytes: Largest request body taken; more arrives as ``too_large``.
        request_seconds: Time from a request's first byte until it must be whole.
        idle_seconds: Time a connection is kept without a request.
        max_connections: Connections open at once; more are closed when accepted.
        max_unsent_bytes: Bytes that a slow reader may leave unread before it is cut off. The
            largest answer of a back end (``ClientLimits.max_body_bytes``) fits with its head.
        linger_seconds: Time for a refused caller to read its answer while it still sends.
        silent_seconds: Time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
    """

    max_header_bytes: int = 16 * KIBIBYTE
    max_body_bytes: int = MEBIBYTE
    request_seconds: float = 30.0
    idle_seconds: float = 75.0
    max_connections: int = 8192
    max_unsent_bytes: int = 17 * MEBIBYTE
    linger_seconds: float = 2.0
    silent_seconds: float = 60.0


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the HTTP client.

    Attributes:
        connect_seconds: Longest wait for a connection.
        max_connections: Connections open at once to all addresses together.
        max_connections_per_address: Connections open at once to one address.
        max_idle_connections: Pooled connections of all addresses together.
        max_idle_per_address: Pooled connections of one address.
        idle_seconds: Time a pooled connection is kept; shorter than servers usually keep it.
        max_header_bytes: Largest response head taken.
        max_body_bytes: Largest whole response body taken.
        max_item_bytes: Largest item of a streamed response taken.
        max_informational_heads: Interim (1xx) responses taken before the final one.
        max_unsent_bytes: Largest request sent, and the most a slow server may leave unread.
        silent_seconds: Time that the other machine may be silent (TCP_USER_TIMEOUT, probes).
    """

    connect_seconds: float = 3.0
    max_connections: int = 8192
    max_connections_per_address: int = 2048
    max_idle_connections: int = 1024
    max_idle_per_address: int = 32
    idle_seconds: float = 10.0
    max_header_bytes: int = 64 * KIBIBYTE
    max_body_bytes: int = 16 * MEBIBYTE
    max_item_bytes: int = 4 * MEBIBYTE
    max_informational_heads: int = 16
    max_unsent_bytes: int = 32 * MEBIBYTE
    silent_seconds: float = 60.0


class PeerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the transports between nodes.

    Attributes:
        max_frame_bytes: Largest payload of a frame, both ways.
        max_queue_bytes: Bytes waiting for one peer; beyond it the oldest frame is dropped.
        max_queue_seconds: Age at which a waiting frame is dropped, since its sender has
            repeated it or given up by then.
        connect_seconds: Longest wait for a connection.
        backoff_seconds: Pause after the first failed connection attempt; doubles.
        max_backoff_seconds: Longest pause between two attempts.
        prompt_seconds: Time after the first failed attempt in which attempts are more frequent and
            shorter, since a machine that lost power is back after about a second; 0 for none.
        prompt_connect_seconds: First wait for a connection within that time; doubles. A request
            to connect that a machine without power did not answer is repeated by the kernel only
            after a second.
        max_prompt_backoff_seconds: Longest pause within that time.
        silent_seconds: Time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
        idle_seconds: Time after which an unused outgoing connection is closed.
        max_connections: Incoming connections open at once.
        max_datagram_bytes: Largest datagram taken.
    """

    max_frame_bytes: int = DEFAULT_FRAME_LIMIT
    max_queue_bytes: int = 64 * MEBIBYTE
    max_queue_seconds: float = 2.0
    connect_seconds: float = 2.0
    backoff_seconds: float = 0.05
    max_backoff_seconds: float = 2.0
    prompt_seconds: float = 0.0
    prompt_connect_seconds: float = 0.2
    max_prompt_backoff_seconds: float = 0.1
    silent_seconds: float = 5.0
    idle_seconds: float = 120.0
    max_connections: int = 4096
    max_datagram_bytes: int = 65_535


class TransportLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of all transports of one service.

    Attributes:
        buffer_bytes: Memory that all buffers of the process may take together; what its first
            service says holds.
        arriving_request_bytes: Memory of it for requests that are not whole.
        arriving_response_bytes: Memory of it for responses that are not whole.
    """

    server: ServerLimits = ServerLimits()
    client: ClientLimits = ClientLimits()
    peers: PeerLimits = PeerLimits()
    buffer_bytes: int = 320 * MEBIBYTE
    arriving_request_bytes: int = 64 * MEBIBYTE
    arriving_response_bytes: int = 32 * MEBIBYTE
