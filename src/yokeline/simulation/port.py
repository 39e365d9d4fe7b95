"""The outside of the deployment: HTTP clients as simpy processes."""

from __future__ import annotations

from collections.abc import Generator

import msgspec
import simpy

from yokeline.effects import (
    Address,
    Effect,
    Event,
    Framing,
    HttpCancel,
    HttpFailed,
    HttpRequest,
    HttpResponse,
    HttpStreamEnded,
    HttpStreamItem,
)
from yokeline.identifiers import RequestId
from yokeline.simulation.clock import LocalClock
from yokeline.simulation.host import Host, ProcessStart
from yokeline.simulation.kernel import Simulation
from yokeline.simulation.network import CLIENT_ZONE

Answer = HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed
Steps = Generator[simpy.Event, object, None]
"""A simpy process: yields the events it waits for."""


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP request of a client."""

    address: Address
    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    timeout: float = 30.0
    framing: Framing = Framing.WHOLE


class PendingCall:
    """A request under way: its answers arrive in a simpy store."""

    def __init__(self, port: ClientPort, request: RequestId) -> None:
        """Wait for the answers to ``request``."""
        self._port = port
        self._request = request
        self._answers = simpy.Store(port.simulation.schedule.environment)

    def next(self) -> simpy.Event:
        """Return the event whose value is the next :data:`Answer`."""
        event: simpy.Event = self._answers.get()
        return event

    def put(self, answer: Answer) -> None:
        """Hand an answer over."""
        self._answers.put(answer)

    def cancel(self) -> None:
        """Close the connection."""
        self._port.cancel(self._request)


class ClientPort:
    """A service that passes answers on to the simpy processes that wait for them."""

    def __init__(self, simulation: Simulation, name: str, zone: str = CLIENT_ZONE) -> None:
        """Put a client machine on the network and start it."""
        self.simulation = simulation
        self.host = Host(simulation, name=name, factory=self._start, clock=LocalClock())
        self._pending: dict[RequestId, PendingCall] = {}
        self._count = 0
        simulation.add_host(self.host, zone)
        self.host.start()

    def send(self, call: Call) -> PendingCall:
        """Send a request."""
        self._count += 1
        request = RequestId(f"{self.host.name}/{self._count}")
        pending = PendingCall(self, request)
        self._pending[request] = pending
        effect = HttpRequest(
            request=request,
            address=call.address,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            framing=call.framing,
            timeout=call.timeout,
        )
        self.simulation.carry_out(self.host, effect)
        return pending

    def cancel(self, request: RequestId) -> None:
        """Give a request up."""
        if self._pending.pop(request, None) is not None:
            self.simulation.carry_out(self.host, HttpCancel(request))

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Take an answer in."""
        if isinstance(event, HttpResponse | HttpStreamItem | HttpStreamEnded | HttpFailed):
            pending = self._pending.get(event.request)
            if pending is not None:
                pending.put(event)
        return []

    def next_deadline(self) -> float | None:
        """Return None: the processes wait on simpy's clock."""
        return None

    def _start(self, start: ProcessStart) -> ClientPort:
        return self


def response_to(answer: object) -> HttpResponse | HttpFailed:
    """Return the answer to a request with a whole body."""
    if isinstance(answer, HttpResponse | HttpFailed):
        return answer
    raise TypeError(f"not a whole answer: {answer!r}")
