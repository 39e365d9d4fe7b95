"""The HTTP client: requests of a service to back ends, the store and the machine list.

``circuits.web.client`` has one request under way per client and hands over no streamed
body, and ``TCPClient`` of circuits polls for its connection on a 0.1 second tick and does not
see a refusal before its time-out; ``h11`` over the process's poller is the nearest kin.
"""

from __future__ import annotations

from collections.abc import Iterator

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from yokeline.effects import CloseIdleConnections, Event, HttpCancel, HttpRequest
from yokeline.identifiers import RequestId
from yokeline.node.bridge import Bridge
from yokeline.node.deadlines import DeadlineQueue
from yokeline.node.http_call import HttpCall
from yokeline.node.http_pool import ConnectionPool
from yokeline.node.limits import KIBIBYTE, ClientLimits
from yokeline.node.memory_budget import Buffer, MemoryBudget
from yokeline.node.poller import SocketPoller

CONNECTION_BYTES = 4 * KIBIBYTE
"""Objects that stand for a connection to a back end."""


class HttpClient(BaseComponent):
    """Sends requests and reports what became of them."""

    channel = "http_client"

    def __init__(
        self,
        bridge: Bridge,
        poller: SocketPoller,
        deadlines: DeadlineQueue,
        limits: ClientLimits,
        budget: MemoryBudget,
    ) -> None:
        """Take the outgoing requests of a service; buffers draw on ``budget``."""
        super().__init__(channel=bridge.channel)
        self._budget = budget
        self._bridge = bridge
        self._deadlines = deadlines
        self._limits = limits
        self._calls: dict[RequestId, HttpCall] = {}
        self._pool = ConnectionPool(poller, deadlines, limits)
        bridge.carry_out_with(HttpRequest, self.send_request)
        bridge.carry_out_with(HttpCancel, self.cancel_request)
        bridge.carry_out_with(CloseIdleConnections, self.close_idle)
        budget.add_source(self)

    def send_request(self, request: HttpRequest) -> None:
        """Begin a request."""
        call = HttpCall(request, self, self._pool, self._deadlines, self._limits)
        self._calls[request.request] = call
        call.begin()

    def cancel_request(self, effect: HttpCancel) -> None:
        """Give a request up; unknown ones are a no-op."""
        call = self._calls.get(effect.request)
        if call is not None:
            call.cancel()

    def close_idle(self, effect: CloseIdleConnections) -> None:
        """Close the kept connections to an address; those in use go on."""
        self._pool.close_idle(effect.address)

    def submit(self, event: Event) -> None:
        """Hand an event to the service."""
        self._bridge.submit(event)

    def call_ended(self, call: HttpCall) -> None:
        """Forget a call that gives no further event."""
        self._calls.pop(call.request.request, None)

    def note_received(self, size: int) -> None:
        """Note that a piece of a response has arrived."""
        self._budget.note_growth(size)

    def fixed_bytes(self) -> int:
        """Return the memory of the connections."""
        return CONNECTION_BYTES * self._pool.open_count()

    def buffers(self) -> Iterator[Buffer]:
        """Return the responses that are arriving."""
        for call in self._calls.values():
            if call.held_bytes:
                yield call.buffer()

    def pool(self) -> ConnectionPool:
        """Return the connections (for metrics and tests)."""
        return self._pool

    @handler("service_stopped")
    def _on_service_stopped(self, exit_code: int, output_seconds: float) -> None:
        self._pool.close_all()
