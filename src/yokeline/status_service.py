"""Answers whether a node is ready, and its figures, on addresses of their own."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from yokeline.effects import Effect, Event, HttpArrived, HttpReply
from yokeline.histogram import Histogram

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
METRICS_PATH = "/metrics"


class NodeFigures(msgspec.Struct, kw_only=True):
    """Counters, gauges and histograms, by name or ``name{label="value"}``."""

    counters: dict[str, float] = {}
    gauges: dict[str, float] = {}
    histograms: dict[str, Histogram] = {}


Figures = Callable[[], NodeFigures]


class StatusService:
    """Tells the outside how a node is; it goes on as long as the process."""

    def __init__(
        self, *, ready: Callable[[], bool], figures: Figures, ready_path: str = "/readyz"
    ) -> None:
        """Ask ``ready`` and ``figures`` anew for each answer."""
        self._ready_path = ready_path
        self._ready = ready
        self._figures = figures

    def twin(self) -> StatusService:
        """Return a service with the same answers, for another address."""
        return StatusService(ready=self._ready, figures=self._figures, ready_path=self._ready_path)

    def handle(self, event: Event, now: float) -> list[Effect]:
        """Answer a request."""
        return [self._answer(event)] if isinstance(event, HttpArrived) else []

    def next_deadline(self) -> float | None:
        """Return None: nothing is ever due."""
        return None

    def _answer(self, event: HttpArrived) -> Effect:
        if event.path == self._ready_path:
            status = OK if self._ready() else UNAVAILABLE
            return HttpReply(exchange=event.exchange, status=status)
        if event.path == METRICS_PATH:
            return self._metrics(event)
        return HttpReply(exchange=event.exchange, status=NOT_FOUND)

    def _metrics(self, event: HttpArrived) -> Effect:
        # Imported here: most starts end without anybody asking.
        from yokeline.metrics import CONTENT_TYPE, render

        figures = self._figures()
        body = render(figures.counters, figures.gauges, figures.histograms)
        headers = {"content-type": CONTENT_TYPE}
        return HttpReply(exchange=event.exchange, status=OK, headers=headers, body=body)
