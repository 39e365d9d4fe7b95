"""Drives a stand-in on a virtual clock and collects what it answers."""

from __future__ import annotations

from typing import Any

import msgspec

from yokeline.effects import (
    Effect,
    Event,
    Exit,
    HttpArrived,
    HttpGone,
    HttpReply,
    HttpRequest,
    HttpStreamData,
    HttpStreamEnd,
    Service,
    Tick,
)
from yokeline.identifiers import ExchangeId


class Exchange:
    """One request and what came back so far."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ended = False
        self.aborted = False
        self.ended_at: float | None = None

    def json(self) -> Any:
        return msgspec.json.decode(self.body)

    def lines(self) -> list[Any]:
        return [msgspec.json.decode(line) for line in self.body.splitlines()]

    def sse(self) -> list[tuple[int, Any]]:
        """Return (id, data) of the server-sent events before ``[DONE]``."""
        events = []
        for block in self.body.decode().split("\n\n"):
            fields = dict(line.split(": ", 1) for line in block.splitlines())
            if "id" in fields:
                events.append((int(fields["id"]), msgspec.json.decode(fields["data"])))
        return events

    def text(self) -> str:
        deltas = [data["choices"][0]["delta"] for _, data in self.sse()]
        return "".join(delta.get("content") or "" for delta in deltas)


class Driver:
    """Feeds a service with events in order of time."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.now = 0.0
        self.requests: list[HttpRequest] = []
        self.exited = False
        self._exchanges: dict[ExchangeId, Exchange] = {}

    def send(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        query: dict[str, str] | None = None,
    ) -> Exchange:
        name = ExchangeId(f"x{len(self._exchanges)}")
        exchange = self._exchanges[name] = Exchange()
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        arrived = HttpArrived(
            exchange=name,
            method=method,
            path=path,
            body=b"" if body is None else data,
            headers=headers or {},
            query=query or {},
        )
        self.event(arrived)
        return exchange

    def hang_up(self, exchange: Exchange) -> None:
        for name, known in self._exchanges.items():
            if known is exchange:
                self.event(HttpGone(name))

    def event(self, event: Event) -> None:
        for effect in self.service.handle(event, self.now):
            self._note(effect)

    def run(self, seconds: float) -> None:
        """Advance the clock, ticking whenever the service wants it."""
        until = self.now + seconds
        for _ in range(200_000):
            deadline = self.service.next_deadline()
            if deadline is None or deadline > until:
                break
            self.now = max(self.now, deadline)
            self.event(Tick())
        else:
            raise AssertionError("the service never rests")
        self.now = until
        self.event(Tick())

    def _note(self, effect: Effect) -> None:
        if isinstance(effect, HttpRequest):
            self.requests.append(effect)
        elif isinstance(effect, Exit):
            self.exited = True
        elif isinstance(effect, HttpReply):
            exchange = self._exchanges[effect.exchange]
            exchange.status = effect.status
            exchange.headers = effect.headers
            exchange.body = effect.body
            self._end(exchange)
        elif isinstance(effect, HttpStreamData):
            self._exchanges[effect.exchange].body += effect.data
        elif isinstance(effect, HttpStreamEnd):
            exchange = self._exchanges[effect.exchange]
            exchange.aborted = effect.aborted
            self._end(exchange)

    def _end(self, exchange: Exchange) -> None:
        if exchange.ended:
            raise AssertionError("answered twice")
        exchange.ended = True
        exchange.ended_at = self.now
