"""Measures the transports of one process: requests a second, the cost of relaying, idle cost.

Usage: ``python -m benchmarks.transport [requests|relay|peers|idle] ...``

- ``requests CONNECTIONS SECONDS``: keep-alive requests to a service that echoes.
- ``relay STREAMS CHUNKS_PER_SECOND SECONDS``: streams from a source process through a relay
  process to this one; prints the relay's processor time and the delay of the chunks.
- ``peers MESSAGES_PER_SECOND SECONDS``: heartbeats to a node process that answers each one;
  prints its processor time.
- ``idle SECONDS TICKS_PER_SECOND``: processor time of a listening process without work.

Processor time is that of the measured process alone, as it reports it.
"""

from __future__ import annotations

import json
import resource
import select
import socket
import subprocess
import sys
import time
from http.client import HTTPConnection

from yokeline.effects import (
    Address,
    Effect,
    Event,
    Exit,
    Framing,
    HttpArrived,
    HttpReply,
    HttpRequest,
    HttpStreamData,
    HttpStreamItem,
    HttpStreamStart,
    PeerMessage,
    SendPeer,
    StopRequested,
    Tick,
)
from yokeline.identifiers import ExchangeId, ReplicaId, RequestId
from yokeline.messages.types import Heartbeat, HeartbeatReply
from yokeline.node.process import ServiceBinding, run_service
from yokeline.node.sockets import open_sockets

LOOPBACK = Address("127.0.0.1", 0)
PEER = ReplicaId("peer~1")
READ_BYTES = 262_144
WARM_UP_SECONDS = 1.0


class EchoService:
    """Answers every request; ``/usage`` tells the process's processor time."""

    def __init__(self, ticks_per_second: float = 0.0) -> None:
        """Tick at a rate, or never."""
        self._period = 1.0 / ticks_per_second if ticks_per_second else None
        self._next = 0.0

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Echo bodies."""
        if isinstance(event, HttpArrived):
            body = usage() if event.path == "/usage" else event.body
            return [HttpReply(exchange=event.exchange, status=200, body=body)]
        if isinstance(event, Tick) and self._period is not None:
            self._next = now + self._period
        return [Exit(0)] if isinstance(event, StopRequested) else []

    def next_deadline(self) -> float | None:
        """Return the next tick."""
        return self._next if self._period is not None else None


class SourceService:
    """Streams chunks to every caller, evenly spread, each with its time of sending."""

    def __init__(self, chunks_per_second: float) -> None:
        """Send so many chunks a second over all streams together."""
        self._gap = 1.0 / chunks_per_second
        self._streams: list[ExchangeId] = []
        self._turn = 0
        self._next = 0.0

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take callers in, and send what is due."""
        if isinstance(event, HttpArrived):
            self._streams.append(event.exchange)
            self._next = now
            headers = {"content-type": "text/event-stream"}
            return [HttpStreamStart(exchange=event.exchange, headers=headers)]
        if isinstance(event, Tick):
            return self._due_chunks(now)
        return [Exit(0)] if isinstance(event, StopRequested) else []

    def _due_chunks(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        while self._next <= now:
            stream = self._streams[self._turn % len(self._streams)]
            effects.append(HttpStreamData(stream, _chunk(self._turn, now)))
            self._turn += 1
            self._next += self._gap
        return effects

    def next_deadline(self) -> float | None:
        """Return when the next chunk is due."""
        return self._next if self._streams else None


class RelayService:
    """Asks the source for a stream per caller and passes its items on."""

    def __init__(self, source: Address) -> None:
        """Relay from ``source``."""
        self._source = source
        self._exchanges: dict[RequestId, ExchangeId] = {}

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Relay."""
        if isinstance(event, HttpStreamItem):
            lines = b"id: " + event.event_id.encode() + b"\ndata: " + event.data + b"\n\n"
            return [HttpStreamData(self._exchanges[event.request], lines)]
        if isinstance(event, HttpArrived):
            return self._begin(event)
        return [Exit(0)] if isinstance(event, StopRequested) else []

    def _begin(self, event: HttpArrived) -> list[Effect]:
        if event.path == "/usage":
            return [HttpReply(exchange=event.exchange, status=200, body=usage())]
        request = RequestId(event.exchange)
        self._exchanges[request] = event.exchange
        return [
            HttpStreamStart(exchange=event.exchange),
            HttpRequest(
                request=request,
                address=self._source,
                method="GET",
                path="/stream",
                framing=Framing.SERVER_SENT_EVENTS,
            ),
        ]

    def next_deadline(self) -> float | None:
        """Return None: it only reacts."""
        return None


class PeerEchoService:
    """Answers each heartbeat; sends heartbeats at a rate if it has one."""

    def __init__(self, other: Address, messages_per_second: float) -> None:
        """Talk to the peer address ``other``."""
        self._other = other
        self._gap = 1.0 / messages_per_second if messages_per_second else None
        self._next = 0.0
        self.answered = 0

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Answer heartbeats, or count their answers."""
        if isinstance(event, HttpArrived):
            return [HttpReply(exchange=event.exchange, status=200, body=usage())]
        if isinstance(event, PeerMessage) and isinstance(event.message, Heartbeat):
            return [self._send(HeartbeatReply(sequence=event.message.sequence))]
        if isinstance(event, PeerMessage):
            self.answered += 1
        if isinstance(event, Tick) and self._gap is not None:
            self._next = max(self._next + self._gap, now - 1.0)
            return [self._send(Heartbeat(sequence=1))]
        return [Exit(0)] if isinstance(event, StopRequested) else []

    def _send(self, message: Heartbeat | HeartbeatReply) -> SendPeer:
        return SendPeer(to=PEER, address=self._other, message=message)

    def next_deadline(self) -> float | None:
        """Return when the next heartbeat is due."""
        return self._next if self._gap is not None else None


def _chunk(number: int, now: float) -> bytes:
    """Return one token in the shape of a chat completion chunk."""
    delta = '{"choices":[{"delta":{"content":"token "},"finish_reason":null}],"at":%.6f}'
    return f"id: {number}\ndata: {delta % now}\n\n".encode()


def usage() -> bytes:
    """Return this process's processor seconds and peak memory as JSON."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    seconds = used.ru_utime + used.ru_stime
    return json.dumps({"seconds": seconds, "kilobytes": used.ru_maxrss}).encode()


def start(*arguments: str) -> tuple[subprocess.Popen[bytes], Address]:
    """Start a service process of this module; return it and where it listens."""
    command = [sys.executable, "-m", "benchmarks.transport", "serve", *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    return process, Address("127.0.0.1", int(process.stdout.readline()))


def ask_usage(address: Address) -> dict[str, float]:
    """Return the processor seconds of a service process."""
    connection = HTTPConnection(address.host, address.port)
    connection.request("GET", "/usage")
    answer: dict[str, float] = json.loads(connection.getresponse().read())
    connection.close()
    return answer


def serve(role: str, *arguments: str) -> int:
    """Run one of the services in this process."""
    sockets = open_sockets(LOOPBACK, None).unwrap()
    address = sockets.http_address()
    assert address is not None
    print(address.port, flush=True)
    binding = ServiceBinding(http=address)
    if role == "echo":
        return run_service(EchoService(float(arguments[0])), binding, sockets)
    if role == "peers":
        other = Address("127.0.0.1", int(arguments[0]))
        own = Address("127.0.0.1", int(arguments[1]))
        binding = ServiceBinding(http=address, peer=own, replica=PEER)
        opened = open_sockets(None, own).unwrap()
        sockets.peer, sockets.datagrams = opened.peer, opened.datagrams
        return run_service(PeerEchoService(other, float(arguments[2])), binding, sockets)
    if role == "source":
        return run_service(SourceService(float(arguments[0])), binding, sockets)
    return run_service(RelayService(Address("127.0.0.1", int(arguments[0]))), binding, sockets)


def measure_requests(connections: int, seconds: float) -> None:
    """Print how many requests a second a service answers."""
    process, address = start("echo", "0")
    request = b"POST /x HTTP/1.1\r\nhost: b\r\ncontent-length: 100\r\n\r\n" + b"x" * 100
    poller = select.epoll()
    socks = {}
    for _ in range(connections):
        sock = socket.create_connection((address.host, address.port))
        socks[sock.fileno()] = sock
        poller.register(sock.fileno(), select.EPOLLIN)
        sock.sendall(request)
    before = ask_usage(address)["seconds"]
    begun = time.monotonic()
    answered = 0
    while time.monotonic() - begun < seconds:
        for number, _ in poller.poll():
            socks[number].recv(READ_BYTES)
            socks[number].sendall(request)
            answered += 1
    elapsed = time.monotonic() - begun
    used = ask_usage(address)["seconds"] - before
    process.terminate()
    process.wait()
    print(
        f"requests: {connections} connections: {answered / elapsed:.0f} requests/s, "
        f"{100 * used / elapsed:.0f}% of a core, {1e6 * used / answered:.0f} us each"
    )


def measure_relay(streams: int, chunks_per_second: float, seconds: float) -> None:
    """Print the relay's processor time and the delay from the source to this process."""
    source, source_address = start("source", str(chunks_per_second))
    relay, relay_address = start("relay", str(source_address.port))
    poller = select.epoll()
    socks = {}
    for _ in range(streams):
        sock = socket.create_connection((relay_address.host, relay_address.port))
        sock.sendall(b"GET /s HTTP/1.1\r\nhost: b\r\n\r\n")
        socks[sock.fileno()] = sock
        poller.register(sock.fileno(), select.EPOLLIN)
    _read_chunks(poller, socks, WARM_UP_SECONDS, [])
    delays: list[float] = []
    before = ask_usage(relay_address)["seconds"]
    begun = time.monotonic()
    reads = _read_chunks(poller, socks, seconds, delays)
    elapsed = time.monotonic() - begun
    after = ask_usage(relay_address)
    for process in (relay, source):
        process.terminate()
        process.wait()
    delays.sort()
    print(
        f"relay: {streams} streams, {len(delays) / elapsed:.0f} chunks/s "
        f"({len(delays) / reads:.2f} a read): "
        f"{100 * (after['seconds'] - before) / elapsed:.1f}% of a core, "
        f"{1e6 * (after['seconds'] - before) / len(delays):.0f} us a chunk, "
        f"delay p50 {1e3 * delays[len(delays) // 2]:.1f} ms "
        f"p95 {1e3 * delays[len(delays) * 95 // 100]:.1f} ms, {after['kilobytes'] / 1024:.0f} MiB"
    )


def _read_chunks(
    poller: select.epoll, socks: dict[int, socket.socket], seconds: float, delays: list[float]
) -> int:
    end = time.monotonic() + seconds
    reads = 0
    while time.monotonic() < end:
        for number, _ in poller.poll(0.1):
            pieces = socks[number].recv(READ_BYTES).split(b'"at":')[1:]
            now = time.monotonic()
            reads += 1
            delays.extend(now - float(piece.partition(b"}")[0]) for piece in pieces)
    return reads


def measure_peers(messages_per_second: float, seconds: float) -> None:
    """Print the processor time of a node that answers heartbeats."""
    reserved = [open_sockets(None, LOOPBACK).unwrap() for _ in range(2)]
    ports = [str(address.port) for sockets in reserved if (address := sockets.peer_address())]
    for sockets in reserved:
        sockets.close()
    answering, address = start("peers", ports[1], ports[0], "0")
    asking, _ = start("peers", ports[0], ports[1], str(messages_per_second))
    time.sleep(WARM_UP_SECONDS)
    before = ask_usage(address)["seconds"]
    time.sleep(seconds)
    used = ask_usage(address)["seconds"] - before
    for process in (asking, answering):
        process.terminate()
        process.wait()
    print(
        f"peers: {messages_per_second:g} heartbeats/s answered: {100 * used / seconds:.1f}% of a "
        f"core, {1e6 * used / seconds / messages_per_second:.0f} us each"
    )


def measure_idle(seconds: float, ticks_per_second: float) -> None:
    """Print the processor time of a process that only waits."""
    process, address = start("echo", str(ticks_per_second))
    before = ask_usage(address)["seconds"]
    time.sleep(seconds)
    after = ask_usage(address)
    process.terminate()
    process.wait()
    print(
        f"idle: {ticks_per_second:g} ticks/s: "
        f"{100 * (after['seconds'] - before) / seconds:.2f}% of a core, "
        f"{after['kilobytes'] / 1024:.0f} MiB"
    )


def main(arguments: list[str]) -> int:
    """Run one measurement."""
    if not arguments:
        print(__doc__)
        return 2
    kind, *rest = arguments
    if kind == "serve":
        return serve(*rest)
    if kind == "requests":
        measure_requests(int(rest[0]), float(rest[1]))
    elif kind == "relay":
        measure_relay(int(rest[0]), float(rest[1]), float(rest[2]))
    elif kind == "peers":
        measure_peers(float(rest[0]), float(rest[1]))
    else:
        measure_idle(float(rest[0]), float(rest[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
