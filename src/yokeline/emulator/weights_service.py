"""The weight store: hands out weights one after the other at a limited rate."""

from __future__ import annotations

import random
from http import HTTPStatus

from yokeline.effects import HttpArrived
from yokeline.emulator.engine_protocol import WeightsBody
from yokeline.emulator.routing import PathParameters, error_reply, json_reply
from yokeline.emulator.settings import WeightsSettings
from yokeline.emulator.stand_in import StandIn, add_health_route
from yokeline.identifiers import ExchangeId


class WeightsService(StandIn):
    """A weight store whose answer to a fetch comes when the weights would have arrived.

    Attributes:
        sent_bytes: Bytes handed out.
        refused: Fetches refused since too many waited.
    """

    def __init__(self, settings: WeightsSettings, source: random.Random) -> None:
        """Create an idle weight store."""
        super().__init__(settings.name, source)
        self.sent_bytes = 0
        self.refused = 0
        self._settings = settings
        self._free_at = 0.0
        self._under_way = 0
        self._gone: set[ExchangeId] = set()
        add_health_route(self)
        self.router.add("GET", "/v1/weights/{name}", self._fetch)

    def exchange_gone(self, exchange: ExchangeId) -> None:
        """Note that nobody waits for an answer any more; the transfer's time is spent."""
        self._gone.add(exchange)

    def _fetch(self, request: HttpArrived, parameters: PathParameters) -> None:
        settings = self._settings
        name = parameters["name"]
        if self._under_way >= settings.queue_limit:
            self.refused += 1
            retry_after = max(self._free_at - self.now, 0.0)
            status = HTTPStatus.TOO_MANY_REQUESTS
            self.emit(error_reply(request.exchange, status, "rate_limited", "", retry_after))
            return
        size = settings.sizes.get(name, settings.default_bytes)
        self._free_at = max(self._free_at, self.now) + size / settings.bytes_per_second
        self._under_way += 1
        body = WeightsBody(name=name, bytes=size)
        self.call_at(self._free_at, lambda: self._finish(request.exchange, body))

    def _finish(self, exchange: ExchangeId, body: WeightsBody) -> None:
        self._under_way -= 1
        self.sent_bytes += body.bytes
        if exchange in self._gone:
            self._gone.discard(exchange)
            return
        self.emit(json_reply(exchange, HTTPStatus.OK, body))
