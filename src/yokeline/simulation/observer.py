"""Notes every request that reaches a back end, and what the back end answered."""

from __future__ import annotations

from yokeline.effects import (
    Effect,
    Event,
    HttpArrived,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
)
from yokeline.identifiers import ExchangeId
from yokeline.simulation.host import Host
from yokeline.simulation.records import BackendRequest, Books
from yokeline.simulation.schedule import Schedule


class BackendObserver:
    """Keeps the books of the back ends; it sees only what crosses their sockets."""

    def __init__(self, schedule: Schedule, books: Books) -> None:
        """Write into ``books``."""
        self._schedule = schedule
        self._books = books
        self._open: dict[ExchangeId, BackendRequest] = {}

    def event_delivered(self, host: Host, event: Event) -> None:
        """Note a request that the back end takes in now."""
        if not isinstance(event, HttpArrived):
            return
        request = BackendRequest(
            host=host.name,
            start=host.starts,
            arrived_at=self._schedule.now,
            method=event.method,
            path=event.path,
            headers=event.headers,
            body=event.body,
        )
        self._open[event.exchange] = request
        self._books.backend_requests.append(request)

    def effect_emitted(self, host: Host, effect: Effect) -> None:
        """Note a piece of the back end's answer."""
        if not isinstance(effect, HttpReply | HttpStreamStart | HttpStreamData | HttpStreamEnd):
            return
        request = self._open.get(effect.exchange)
        if request is None:
            return
        if isinstance(effect, HttpReply):
            request.status = effect.status
            request.reply = effect.body
        elif isinstance(effect, HttpStreamStart):
            request.status = effect.status
        elif isinstance(effect, HttpStreamData):
            request.reply += effect.data
        else:
            request.aborted = effect.aborted
        if isinstance(effect, HttpReply | HttpStreamEnd):
            request.ended_at = self._schedule.now
            del self._open[effect.exchange]
