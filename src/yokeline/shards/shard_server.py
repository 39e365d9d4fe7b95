"""Serves shard requests from the routers of other nodes."""

from __future__ import annotations

from returns.result import Failure, Result

from yokeline.errors import Execution, YokelineError
from yokeline.identifiers import ReplicaId, RequestId
from yokeline.messages.codec import decode_operation, encode_events, encode_result
from yokeline.messages.framing import DEFAULT_FRAME_LIMIT
from yokeline.messages.types import RunEvents, ShardCancel, ShardReply, ShardRequest
from yokeline.runs.events import RunEvent
from yokeline.server.context import NodeContext
from yokeline.shards.errors import result_too_large
from yokeline.shards.host import ShardHost
from yokeline.shards.operation_server import OperationServer, is_leadership_error
from yokeline.shards.operations import OperationResult

MAX_RESULT_BYTES = DEFAULT_FRAME_LIMIT - 65_536
"""Largest encoded result; leaves room for the rest of the frame."""
MAX_CACHED_REPLIES = 1024
"""Maximum number of final replies cached for repeated requests."""
MAX_CACHED_REPLY_BYTES = 8 * 1024 * 1024
"""Total size of the results in the cached replies."""


class _ActiveRequest:
    """A request that is being served."""

    __slots__ = ("message", "sender", "ticket")

    def __init__(self, sender: ReplicaId, request: ShardRequest) -> None:
        self.sender = sender
        self.message = request
        self.ticket: str | None = None


class ShardServer:
    """Serves each request id once, even if the request arrives several times."""

    def __init__(self, context: NodeContext, host: ShardHost, server: OperationServer) -> None:
        """Serve requests for the shards that ``host`` leads with ``server``."""
        self._context = context
        self._host = host
        self._server = server
        self._active: dict[RequestId, _ActiveRequest] = {}
        self._cached_replies: dict[RequestId, ShardReply] = {}
        self._cached_bytes = 0
        host.observe_deaths(self._abandon_requests_from)

    def receive_request(self, sender: ReplicaId, request: ShardRequest) -> None:
        """Serve a request, unless it is being served or its reply is cached."""
        if request.request in self._active:
            return
        reply = self._cached_replies.get(request.request)
        if reply is not None:
            self._context.send_peer(sender, reply)
        elif self._host.leads(request.shard):
            self._serve(sender, request)
        else:
            self._reply_not_leader(sender, request)

    def receive_cancel(self, sender: ReplicaId, cancel: ShardCancel) -> None:
        """Stop serving a request that its sender has cancelled."""
        active = self._active.get(cancel.request)
        if active is not None and active.sender == sender:
            self._abandon(active)

    def active_requests(self) -> int:
        """Return how many requests of other nodes are being served."""
        return len(self._active)

    def _serve(self, sender: ReplicaId, request: ShardRequest) -> None:
        """Serve a request, whose ``deadline`` field holds the remaining seconds."""
        decoded = decode_operation(request.operation)
        if isinstance(decoded, Failure):
            self._reply(sender, ShardReply(request=request.request, error=decoded.failure()))
            return
        active = _ActiveRequest(sender, request)
        self._active[request.request] = active
        ticket = self._server.serve(
            decoded.unwrap(),
            request.shard,
            deadline_seconds=request.deadline,
            done=lambda result: self._finish(active, result),
            on_events=lambda events: self._push(active, events),
        )
        active.ticket = ticket

    def _finish(
        self, active: _ActiveRequest, result: Result[OperationResult, YokelineError]
    ) -> None:
        if self._active.pop(active.message.request, None) is None:
            return
        if isinstance(result, Failure):
            self._finish_failed(active, result.failure())
            return
        data = encode_result(result.unwrap())
        if len(data) > MAX_RESULT_BYTES:
            error = result_too_large(len(data), MAX_RESULT_BYTES)
            self._finish_failed(active, error)
            return
        reply = ShardReply(request=active.message.request, result=data)
        self._cache_reply(reply)
        self._reply(active.sender, reply)

    def _finish_failed(self, active: _ActiveRequest, error: YokelineError) -> None:
        request = active.message
        if is_leadership_error(error) and error.execution is Execution.NOT_RUN:
            self._reply_not_leader(active.sender, request)
            return
        reply = ShardReply(
            request=request.request,
            error=error,
            leader=self._host.leader_of(request.shard),
        )
        if not is_leadership_error(error):
            self._cache_reply(reply)
        self._reply(active.sender, reply)

    def _reply_not_leader(self, sender: ReplicaId, request: ShardRequest) -> None:
        """Send a not-leader reply: this node does not lead the shard and did nothing."""
        leader = self._host.leader_of(request.shard)
        reply = ShardReply(request=request.request, not_leader=True, leader=leader)
        self._reply(sender, reply)

    def _reply(self, sender: ReplicaId, reply: ShardReply) -> None:
        self._context.send_peer(sender, reply)

    def _push(self, active: _ActiveRequest, events: tuple[RunEvent, ...]) -> None:
        if active.message.request not in self._active:
            return
        message = RunEvents(request=active.message.request, events=encode_events(events))
        self._context.send_peer(active.sender, message)

    def _cache_reply(self, reply: ShardReply) -> None:
        """Cache a final reply, and evict the oldest ones over the limits."""
        self._cached_replies[reply.request] = reply
        self._cached_bytes += len(reply.result)
        while (
            len(self._cached_replies) > MAX_CACHED_REPLIES
            or self._cached_bytes > MAX_CACHED_REPLY_BYTES
        ):
            oldest = next(iter(self._cached_replies))
            self._cached_bytes -= len(self._cached_replies.pop(oldest).result)

    def _abandon(self, active: _ActiveRequest) -> None:
        del self._active[active.message.request]
        if active.ticket is not None:
            self._server.abandon(active.ticket)

    def _abandon_requests_from(self, sender: ReplicaId) -> None:
        """Stop serving the requests of a dead node."""
        for active in [item for item in self._active.values() if item.sender == sender]:
            self._abandon(active)
