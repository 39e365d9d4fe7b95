"""HTTP exchanges between two simulated hosts."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

from returns.result import Failure

from yokeline.effects import (
    Framing,
    HttpArrived,
    HttpFailed,
    HttpGone,
    HttpReply,
    HttpRequest,
    HttpResponse,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamEnded,
    HttpStreamItem,
    HttpStreamStart,
)
from yokeline.identifiers import ExchangeId, RequestId
from yokeline.node.stream_items import ItemReader, StreamItem, item_reader
from yokeline.simulation.host import Host
from yokeline.simulation.network import Network, OrderedChannel

if TYPE_CHECKING:
    from yokeline.simulation.kernel import Simulation

CONNECT_TIMEOUT_SECONDS = 2.0
POOLED_PROBABILITY = 0.7
"""Share of requests that find an open connection once one was made."""
HTTP_SUCCESS = range(200, 300)
MAX_ITEM_BYTES = 16 * 1024 * 1024

HttpAnswerEffect = HttpReply | HttpStreamStart | HttpStreamData | HttpStreamEnd


class Exchange:
    """One request and its answer, over one connection."""

    def __init__(
        self, exchanges: Exchanges, client: Host, server: Host, request: HttpRequest, number: int
    ) -> None:
        """Create an exchange that is not connected yet."""
        self.client = client
        self.server = server
        self.client_start = client.starts
        self.server_start = server.starts
        self.request = request
        self.exchange = ExchangeId(f"{server.name}#{number}")
        self.arrived = False
        self.closed = False
        self._exchanges = exchanges
        network = exchanges.network
        self._forward = OrderedChannel(network, client.name, server.name, self._broken)
        self._backward = OrderedChannel(network, server.name, client.name, self._broken)
        self._reader: ItemReader = item_reader(request.framing, MAX_ITEM_BYTES)
        self._head: HttpResponse | None = None
        self._whole = b""
        self._quiet_since = network.schedule.now
        self._arm_timeout()

    # ------------------------------------------------------------ connecting

    def connect(self, *, pooled: bool) -> None:
        """Open a connection (or use a pooled one) and send the request."""
        network = self._exchanges.network
        if pooled:
            self.send_request()
            return
        there, back = self.client.name, self.server.name
        if network.is_cut(there, back) or network.is_cut(back, there):
            timeout = min(CONNECT_TIMEOUT_SECONDS, self.request.timeout)
            network.schedule.after(timeout, lambda: self.fail("connect timeout", sent=False))
            return
        round_trip = network.stream_delay(there, back) + network.stream_delay(back, there)
        network.schedule.after(round_trip, self._connected)

    def _connected(self) -> None:
        if self.closed:
            return
        if self.server.running:
            self.server_start = self.server.starts
            self.send_request()
        else:
            self.fail("connection refused", sent=False)

    def send_request(self) -> None:
        """Put the request on the connection."""
        self._forward.send(self._request_arrived)

    def _request_arrived(self) -> None:
        if self.closed:
            return
        if not self.server.running or self.server.starts != self.server_start:
            self._backward.send(lambda: self.fail("connection reset", sent=True))
            return
        self.arrived = True
        self._exchanges.opened(self)
        self.server.deliver(self._arrived_event())

    def _arrived_event(self) -> HttpArrived:
        target = urlsplit(self.request.path)
        headers = {name.lower(): value for name, value in self.request.headers.items()}
        return HttpArrived(
            exchange=self.exchange,
            method=self.request.method,
            path=target.path,
            query=dict(parse_qsl(target.query, keep_blank_values=True)),
            headers=headers,
            body=self.request.body,
        )

    # ------------------------------------------------------------ answering

    def answer(self, effect: HttpAnswerEffect) -> None:
        """Carry a piece of the server's answer back."""
        self._backward.send(lambda: self._answer_arrived(effect))

    def _answer_arrived(self, effect: HttpAnswerEffect) -> None:
        if self.closed:
            return
        self._quiet_since = self._exchanges.network.schedule.now
        if isinstance(effect, HttpReply):
            self._head_arrived(effect.status, effect.headers)
            self._data_arrived(effect.body)
            self._end_arrived(aborted=False)
        elif isinstance(effect, HttpStreamStart):
            self._head_arrived(effect.status, effect.headers)
        elif isinstance(effect, HttpStreamData):
            self._data_arrived(effect.data)
        else:
            self._end_arrived(aborted=effect.aborted)

    def _streams(self) -> bool:
        assert self._head is not None
        framed = self.request.framing is not Framing.WHOLE
        return framed and self._head.status in HTTP_SUCCESS

    def _head_arrived(self, status: int, headers: dict[str, str]) -> None:
        lower = {name.lower(): value for name, value in headers.items()}
        self._head = HttpResponse(request=self.request.request, status=status, headers=lower)
        if self._streams():
            self.client.deliver(self._head)

    def _data_arrived(self, data: bytes) -> None:
        if self._head is None or self.closed:
            return
        if not self._streams():
            self._whole += data
            return
        self._hand_over(self._reader.feed(data))

    def _hand_over(self, items: list[StreamItem]) -> None:
        for item in items:
            if self.closed:
                return
            event = HttpStreamItem(
                request=self.request.request,
                data=item.data,
                event_id=item.event_id,
                is_event=item.is_event,
            )
            self.client.deliver(event)

    def _end_arrived(self, *, aborted: bool) -> None:
        if self.closed:
            return
        if aborted or self._head is None:
            self.fail("connection closed before the end", sent=True)
            return
        if self._streams():
            finished = self._reader.finish()
            if isinstance(finished, Failure):
                self.fail(str(finished.failure()), sent=True)
                return
            self._hand_over(finished.unwrap())
            if not self.closed:
                self.close()
                self.client.deliver(HttpStreamEnded(self.request.request))
            return
        self.close()
        whole = HttpResponse(
            request=self.request.request,
            status=self._head.status,
            headers=self._head.headers,
            body=self._whole,
        )
        self.client.deliver(whole)

    # ------------------------------------------------------------ ending

    def fail(self, reason: str, *, sent: bool) -> None:
        """Tell the client that the exchange failed, and close the connection."""
        if self.closed:
            return
        self.close()
        failed = HttpFailed(request=self.request.request, sent=sent, reason=reason)
        self.client.deliver(failed)

    def close(self) -> None:
        """Close the client's end; a server that still works on it is told."""
        self.closed = True
        self._backward.close()
        self._exchanges.client_closed(self)
        if self.arrived and not self._exchanges.is_answered(self):
            self._forward.send(self._gone_arrived)
        else:
            self._forward.close()

    def server_lost(self) -> None:
        """The server's process ended: the connection is reset."""
        if not self.closed:
            self._backward.send(lambda: self.fail("connection reset", sent=True))

    def _gone_arrived(self) -> None:
        if self._exchanges.server_closed(self):
            self.server.deliver(HttpGone(self.exchange))

    def _broken(self) -> None:
        """A direction stalled for too long: both ends give the connection up."""
        self.fail("connection broken", sent=True)
        if self._exchanges.server_closed(self):
            self.server.deliver(HttpGone(self.exchange))

    def _arm_timeout(self) -> None:
        due = self._quiet_since + self.request.timeout
        schedule = self._exchanges.network.schedule
        schedule.after(due - schedule.now, self._check_timeout)

    def _check_timeout(self) -> None:
        if self.closed:
            return
        now = self._exchanges.network.schedule.now
        streaming = self.request.framing is not Framing.WHOLE
        if streaming and self._quiet_since + self.request.timeout > now:
            self._arm_timeout()
        else:
            self.fail("timeout", sent=True)


class Exchanges:
    """All exchanges under way."""

    def __init__(self, simulation: Simulation, network: Network, source: random.Random) -> None:
        """Start without exchanges."""
        self.network = network
        self._simulation = simulation
        self._source = source
        self._count = 0
        self._by_request: dict[tuple[str, RequestId], Exchange] = {}
        self._by_exchange: dict[ExchangeId, Exchange] = {}
        self._pools: set[tuple[str, int, str, int]] = set()

    def begin(self, client: Host, request: HttpRequest) -> None:
        """Send a request of ``client``."""
        server = self._simulation.host_at_http(request.address)
        if server is None:
            failed = HttpFailed(request=request.request, sent=False, reason="no route")
            self.network.schedule.after(0.0, lambda: client.deliver(failed))
            return
        self._count += 1
        exchange = Exchange(self, client, server, request, self._count)
        self._by_request[client.name, request.request] = exchange
        pool = (client.name, client.starts, server.name, server.starts)
        pooled = pool in self._pools and self._source.random() < POOLED_PROBABILITY
        exchange.connect(pooled=pooled)

    def cancel(self, client: Host, request: RequestId) -> None:
        """Give a request up."""
        exchange = self._by_request.get((client.name, request))
        if exchange is not None:
            exchange.close()

    def answer(self, server: Host, effect: HttpAnswerEffect) -> None:
        """Carry an answer of ``server``; one to an exchange that is gone is dropped."""
        exchange = self._by_exchange.get(effect.exchange)
        if exchange is None or exchange.server is not server:
            return
        if isinstance(effect, HttpReply | HttpStreamEnd):
            del self._by_exchange[effect.exchange]
        exchange.answer(effect)

    def opened(self, exchange: Exchange) -> None:
        """Note that a request has reached its server."""
        client, server = exchange.client, exchange.server
        self._by_exchange[exchange.exchange] = exchange
        self._pools.add((client.name, exchange.client_start, server.name, server.starts))

    def client_closed(self, exchange: Exchange) -> None:
        """Forget the client's end of an exchange."""
        self._by_request.pop((exchange.client.name, exchange.request.request), None)

    def server_closed(self, exchange: Exchange) -> bool:
        """Forget the server's end; return whether it was still open."""
        return self._by_exchange.pop(exchange.exchange, None) is not None

    def is_answered(self, exchange: Exchange) -> bool:
        """Return whether the server has ended its answer."""
        return exchange.exchange not in self._by_exchange

    def process_ended(self, host: Host) -> None:
        """Reset the connections of a process that ended."""
        for exchange in list(self._by_request.values()):
            if exchange.server is host and exchange.server_start == host.starts:
                exchange.server_lost()
                self._by_exchange.pop(exchange.exchange, None)
            if exchange.client is host:
                exchange.close()
