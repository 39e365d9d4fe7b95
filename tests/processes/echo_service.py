"""A process for tests: answers ``/now`` at once and ``/later`` only when asked to stop.

Usage: ``python -m tests.processes.echo_service PORT``; prints the port it listens on.
"""

from __future__ import annotations

import sys

from yokeline.effects import Address, Effect, Event, Exit, HttpArrived, HttpReply, StopRequested
from yokeline.identifiers import ExchangeId
from yokeline.logs import set_up_logs
from yokeline.node.process import ServiceBinding, run_service
from yokeline.node.sockets import open_sockets


class EchoService:
    """Echoes bodies; keeps the exchanges of ``/later`` until the planned stop."""

    def __init__(self) -> None:
        self._kept: list[ExchangeId] = []

    def handle(self, event: Event, now: float) -> list[Effect]:
        if isinstance(event, HttpArrived):
            if event.path == "/later":
                self._kept.append(event.exchange)
                return []
            return [HttpReply(exchange=event.exchange, status=200, body=event.body)]
        if isinstance(event, StopRequested):
            last = b"x" * 3_000_000
            replies = [HttpReply(exchange=kept, status=200, body=last) for kept in self._kept]
            return [*replies, Exit(0)]
        return []

    def next_deadline(self) -> float | None:
        return None


def main() -> int:
    set_up_logs()
    binding = ServiceBinding(http=Address("127.0.0.1", int(sys.argv[1])))
    if binding.http is not None and binding.http.port:
        return run_service(EchoService(), binding)
    sockets = open_sockets(binding.http, None).unwrap()
    address = sockets.http_address()
    assert address is not None
    print(address.port, flush=True)
    return run_service(EchoService(), binding, sockets)


if __name__ == "__main__":
    sys.exit(main())
