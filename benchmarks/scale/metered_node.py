"""The production node with meters around its components."""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from benchmarks.scale.profiler import NANOSECONDS, Profiler
from yokeline.effects import (
    Effect,
    Event,
    HttpReply,
    HttpRequest,
    HttpStreamData,
    SendDatagram,
    SendPeer,
)
from yokeline.membership.messages import Datagram
from yokeline.messages.codec import decode_peer, decode_struct, encode_peer, encode_struct
from yokeline.messages.framing import encode_frame
from yokeline.messages.types import RaftBatch, RunEvents
from yokeline.server.context import HttpAnswer
from yokeline.server.node import Node
from yokeline.settings import Settings
from yokeline.simulation.host import ProcessStart

HTTP_HEAD_BYTES = 200
"""Allowance for the head of a request or an answer, which the sans-I/O node does not build."""

MEMBERSHIP, HEARTBEAT, RAFT = "membership", "heartbeat", "raft"
EXECUTOR, ROUTER, GATEWAY = "executor", "router", "gateway"
ENGINES, CONFIGURATION, TIMERS, OTHER = "engines", "configuration", "timers", "other"

_ROLE_BY_PATH = (
    ("/v1/load", ENGINES),
    ("/v1/cache", ENGINES),
    ("/v1/machines", CONFIGURATION),
    ("/v3/", CONFIGURATION),
)


class DatagramFrame(msgspec.Struct, frozen=True, array_like=True):
    """The form in which ``node.datagrams`` sends a message."""

    message: Datagram


class MeteredNode(Node):
    """A node that measures itself; behaves like :class:`Node`."""

    def __init__(self, settings: Settings, start: ProcessStart) -> None:
        """Build the node and put meters around its components."""
        self.profiler = Profiler()
        super().__init__(
            settings, source=start.source, now=start.now, wall_offset=start.wall_offset
        )
        self._wrap_cluster_parts()
        self._wrap_run_parts()

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take one event in, timed; the effects are counted outside of the time."""
        self.profiler.enter(OTHER)
        try:
            effects = super().handle(event, now)
        finally:
            self.profiler.leave()
        for effect in effects:
            self._note(effect)
        return effects

    def _tick_due(self) -> float | None:
        self.profiler.enter(TIMERS)
        try:
            return super()._tick_due()
        finally:
            self.profiler.leave()

    # ------------------------------------------------------------ meters

    def _wrap_cluster_parts(self) -> None:
        wrap = self.profiler.wrap
        wrap(self.membership, ("receive", "tick"), MEMBERSHIP)
        wrap(self.host.heartbeats, ("tick",), HEARTBEAT)
        wrap(self.host, ("receive_heartbeat", "receive_heartbeat_reply"), HEARTBEAT)
        wrap(self.host, ("tick", "receive_batch", "flush"), RAFT)
        wrap(self.machine_list, ("tick",), CONFIGURATION)
        for part in (self.store, self.writer, self.bootstrap):
            wrap(part, ("tick",), CONFIGURATION)
        receivers = ("tick", "receive_revision", "receive_pull", "receive_delta")
        wrap(self.configuration, receivers, CONFIGURATION)
        wrap(self.engines, ("tick", "refresh"), ENGINES)

    def _wrap_run_parts(self) -> None:
        wrap = self.profiler.wrap
        with_callbacks = self.profiler.wrap_with_callbacks
        with_callbacks(self.host, "propose", RAFT, EXECUTOR)
        with_callbacks(self.host, "read", RAFT, EXECUTOR)
        wrap(self.executor, ("tick", "command_applied", "abandon"), EXECUTOR)
        wrap(self.executor, ("leadership_gained", "leadership_lost"), EXECUTOR)
        with_callbacks(self.executor, "serve", EXECUTOR, ROUTER)
        wrap(self.shard_server, ("receive_request", "receive_cancel"), ROUTER)
        wrap(self.router, ("tick", "receive_reply", "receive_events"), ROUTER)
        with_callbacks(self.router, "request", ROUTER, GATEWAY)
        wrap(self.gateway, ("tick", "handle", "gone"), GATEWAY)
        self.context.send_http = self._timed_send(self.context.send_http)  # type: ignore[method-assign, assignment]

    def _timed_send(
        self, send: Callable[[HttpRequest, Callable[[HttpAnswer], None]], None]
    ) -> Callable[[HttpRequest, Callable[[HttpAnswer], None]], None]:
        def run(request: HttpRequest, handler: Callable[[HttpAnswer], None]) -> None:
            send(request, self.profiler.timed(_role_of(request.path), handler))

        return run

    # ------------------------------------------------------------ messages

    def _note(self, effect: Effect) -> None:
        if isinstance(effect, SendPeer):
            self._note_peer(effect)
        elif isinstance(effect, SendDatagram):
            self._note_datagram(effect)
        elif isinstance(effect, HttpRequest):
            size = len(effect.path) + len(effect.body) + HTTP_HEAD_BYTES
            kind = f"http to {_role_of(effect.path)}"
            self.profiler.note_message(kind, size=size)
        elif isinstance(effect, HttpReply):
            size = len(effect.body) + HTTP_HEAD_BYTES
            self.profiler.note_message("http answers", size=size)
        elif isinstance(effect, HttpStreamData):
            self.profiler.note_message("http stream pieces", size=len(effect.data))

    def _note_peer(self, effect: SendPeer) -> None:
        started = time.thread_time_ns()
        payload = encode_peer(self.replica, effect.to, effect.message)  # type: ignore[arg-type]
        decode_peer(payload)
        codec = (time.thread_time_ns() - started) / NANOSECONDS
        self.profiler.note_message(
            type(effect.message).__name__,
            size=len(encode_frame(payload)),
            parts=_parts(effect.message),
            codec=codec,
        )

    def _note_datagram(self, effect: SendDatagram) -> None:
        started = time.thread_time_ns()
        payload = encode_struct(DatagramFrame(effect.message))  # type: ignore[arg-type]
        decode_struct(payload, DatagramFrame)
        codec = (time.thread_time_ns() - started) / NANOSECONDS
        self.profiler.note_message("datagrams", size=len(payload), codec=codec)


def _parts(message: msgspec.Struct) -> int:
    if isinstance(message, RaftBatch):
        return len(message.messages)
    return len(message.events) if isinstance(message, RunEvents) else 1


def _role_of(path: str) -> str:
    for prefix, role in _ROLE_BY_PATH:
        if path.startswith(prefix):
            return role
    return EXECUTOR
