"""Serves the shard requests of other nodes' routers."""

from __future__ import annotations

from returns.result import Failure, Result

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.messages.codec import decode_operation, encode_events, encode_result
from yokeline.messages.framing import DEFAULT_FRAME_LIMIT
from yokeline.messages.types import RunEvents, ShardCancel, ShardReply, ShardRequest
from yokeline.runs.events import RunEvent
from yokeline.server.context import NodeContext
from yokeline.shards.errors import answer_too_large
from yokeline.shards.host import ShardHost
from yokeline.shards.operations import OperationResult
from yokeline.shards.serving import OperationServer, is_for_next_leader

REPLY_BYTES = DEFAULT_FRAME_LIMIT - 65_536
"""Largest result; leaves room for the rest of the frame."""
REMEMBERED_REPLIES = 1024
"""Final replies kept, to be sent again to a router that repeats its request."""
REMEMBERED_BYTES = 8 * 1024 * 1024
"""Bound on the results in them."""


class _Serving:
    """A request under way."""

    __slots__ = ("request", "sender", "ticket")

    def __init__(self, sender: ReplicaId, request: ShardRequest) -> None:
        self.sender = sender
        self.request = request
        self.ticket: str | None = None


class ShardServer:
    """Serves each request id once, however often the request arrives."""

    def __init__(self, context: NodeContext, host: ShardHost, server: OperationServer) -> None:
        """Serve with ``server`` what ``host`` leads."""
        self._context = context
        self._host = host
        self._server = server
        self._under_way: dict[RequestId, _Serving] = {}
        self._replies: dict[RequestId, ShardReply] = {}
        self._replies_bytes = 0
        host.observe_deaths(self._abandon_all_of)

    def receive_request(self, sender: ReplicaId, request: ShardRequest) -> None:
        """Serve a request, unless it is served already."""
        if request.request in self._under_way:
            return
        reply = self._replies.get(request.request)
        if reply is not None:
            self._context.send_peer(sender, reply)
        elif self._host.leads(request.shard):
            self._serve(sender, request)
        else:
            self._refuse(sender, request)

    def receive_cancel(self, sender: ReplicaId, cancel: ShardCancel) -> None:
        """Stop serving a request that nobody waits for."""
        serving = self._under_way.get(cancel.request)
        if serving is not None and serving.sender == sender:
            self._abandon(serving)

    def under_way(self) -> int:
        """Return how many requests of other nodes are being served."""
        return len(self._under_way)

    def _serve(self, sender: ReplicaId, request: ShardRequest) -> None:
        decoded = decode_operation(request.operation)
        if isinstance(decoded, Failure):
            self._reply(sender, ShardReply(request=request.request, error=decoded.failure()))
            return
        serving = _Serving(sender, request)
        self._under_way[request.request] = serving
        ticket = self._server.serve(
            decoded.unwrap(),
            request.shard,
            deadline_seconds=request.deadline,
            done=lambda result: self._finish(serving, result),
            on_events=lambda events: self._push(serving, events),
        )
        serving.ticket = ticket

    def _finish(self, serving: _Serving, result: Result[OperationResult, YokelineError]) -> None:
        if self._under_way.pop(serving.request.request, None) is None:
            return
        if isinstance(result, Failure):
            self._finish_failed(serving, result.failure())
            return
        data = encode_result(result.unwrap())
        if len(data) > REPLY_BYTES:
            error = answer_too_large(len(data), REPLY_BYTES)
            self._finish_failed(serving, error)
            return
        reply = ShardReply(request=serving.request.request, result=data)
        self._remember(reply)
        self._reply(serving.sender, reply)

    def _finish_failed(self, serving: _Serving, error: YokelineError) -> None:
        request = serving.request
        if is_for_next_leader(error) and error.execution is Execution.NOT_RUN:
            self._refuse(serving.sender, request)
            return
        reply = ShardReply(
            request=request.request,
            error=error,
            leader=self._host.leader_of(request.shard),
        )
        if not is_for_next_leader(error):
            self._remember(reply)
        self._reply(serving.sender, reply)

    def _refuse(self, sender: ReplicaId, request: ShardRequest) -> None:
        """Say that nothing was done because this node does not lead."""
        leader = self._host.leader_of(request.shard)
        reply = ShardReply(request=request.request, not_leader=True, leader=leader)
        self._reply(sender, reply)

    def _reply(self, sender: ReplicaId, reply: ShardReply) -> None:
        self._context.send_peer(sender, reply)

    def _push(self, serving: _Serving, events: tuple[RunEvent, ...]) -> None:
        if serving.request.request not in self._under_way:
            return
        message = RunEvents(request=serving.request.request, events=encode_events(events))
        self._context.send_peer(serving.sender, message)

    def _remember(self, reply: ShardReply) -> None:
        """Keep a final reply; the oldest ones make room."""
        self._replies[reply.request] = reply
        self._replies_bytes += len(reply.result)
        while len(self._replies) > REMEMBERED_REPLIES or self._replies_bytes > REMEMBERED_BYTES:
            oldest = next(iter(self._replies))
            self._replies_bytes -= len(self._replies.pop(oldest).result)

    def _abandon(self, serving: _Serving) -> None:
        del self._under_way[serving.request.request]
        if serving.ticket is not None:
            self._server.abandon(serving.ticket)

    def _abandon_all_of(self, sender: ReplicaId) -> None:
        """Stop serving a node that is dead."""
        for serving in [item for item in self._under_way.values() if item.sender == sender]:
            self._abandon(serving)
