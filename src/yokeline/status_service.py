"""Answers whether a node is ready, and its figures, on addresses of their own."""

from __future__ import annotations

from collections.abc import Callable

from yokeline.effects import Effect, Event, HttpArrived, HttpReply

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
_TEXT = {"content-type": "text/plain; version=0.0.4"}
READY_PATHS = ("/-/ready", "/readyz")
METRICS_PATH = "/metrics"

Figures = Callable[[], dict[str, float]]


class StatusService:
    """Tells the outside how a node is; it goes on as long as the process."""

    def __init__(self, *, ready: Callable[[], bool], figures: Figures) -> None:
        """Ask ``ready`` and ``figures`` anew for each answer."""
        self._ready = ready
        self._figures = figures

    def twin(self) -> StatusService:
        """Return a service with the same answers, for another address."""
        return StatusService(ready=self._ready, figures=self._figures)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Answer a request."""
        return [self._answer(event)] if isinstance(event, HttpArrived) else []

    def next_deadline(self) -> float | None:
        """Return None: nothing is ever due."""
        return None

    def _answer(self, event: HttpArrived) -> Effect:
        if event.path in READY_PATHS:
            status = OK if self._ready() else UNAVAILABLE
            return HttpReply(exchange=event.exchange, status=status, headers=_TEXT)
        if event.path == METRICS_PATH:
            body = "".join(f"{name} {value:g}\n" for name, value in self._figures().items())
            return HttpReply(exchange=event.exchange, status=OK, headers=_TEXT, body=body.encode())
        return HttpReply(exchange=event.exchange, status=NOT_FOUND, headers=_TEXT)
