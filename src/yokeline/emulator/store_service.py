"""The small key-value service behind the etcd v3 JSON gateway."""

from __future__ import annotations

import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from yokeline.effects import HttpArrived
from yokeline.emulator.etcd.bodies import (
    CompactionAnswer,
    CompactionRequest,
    DeleteRangeRequest,
    ErrorAnswer,
    LeaseAnswer,
    LeaseRequest,
    PutRequest,
    RangeRequest,
    StreamLine,
    TransactionRequest,
    WatchRequest,
    decode_request,
    number,
)
from yokeline.emulator.etcd.limits import StoreFaults, TokenBucket
from yokeline.emulator.etcd.state import Change, VersionedState
from yokeline.emulator.etcd.transactions import (
    GRPC_NOT_FOUND,
    GRPC_OUT_OF_RANGE,
    RequestExecutor,
    StoreError,
)
from yokeline.emulator.etcd.watches import WatchHub
from yokeline.emulator.routing import PathParameters, empty_reply, json_reply
from yokeline.emulator.settings import StoreSettings
from yokeline.emulator.stand_in import StandIn, add_health_route
from yokeline.identifiers import ExchangeId

_GRPC_RESOURCE_EXHAUSTED = 8
_GRPC_INVALID_ARGUMENT = 3
_LEASE_ID_BITS = 62

Operation = Callable[[bytes], msgspec.Struct]


class StoreService(StandIn):
    """An emulated etcd: one member, in memory.

    Attributes:
        state: Keys, revisions and leases; ``state.books`` has all changes in order.
        faults: What is wrong at present.
        refused: Requests refused by the rate limit.
    """

    def __init__(self, settings: StoreSettings, source: random.Random) -> None:
        """Create an empty store."""
        super().__init__(settings.name, source)
        self.state = VersionedState(settings.history_limit)
        self.faults = StoreFaults()
        self.refused = 0
        self._settings = settings
        self._executor = RequestExecutor(self.state)
        self._watches = WatchHub(self.state)
        self._bucket = TokenBucket(settings.requests_per_second, settings.burst)
        self._open: set[ExchangeId] = set()
        self._progress_due: float | None = None
        self._add_routes()

    @property
    def books(self) -> list[Change]:
        """Return all changes in order of revision."""
        return self.state.books

    # ------------------------------------------------------------ service

    def next_deadline(self) -> float | None:
        """Return when a ``Tick`` is due at the latest; None if none is."""
        times = [super().next_deadline(), self.state.next_expiry(), self._progress_due]
        return min((time for time in times if time is not None), default=None)

    def advance(self) -> None:
        """End leases whose time is over; send progress notices that are due."""
        for lease in self.state.expired(self.now):
            self._publish(self.state.revoke(lease, self.now) or [])
        if self._progress_due is not None and self._progress_due <= self.now:
            if not self.faults.hang:
                for effect in self._watches.progress():
                    self.emit(effect)
            self._schedule_progress()

    def exchange_gone(self, exchange: ExchangeId) -> None:
        """Forget a caller."""
        self._open.discard(exchange)
        self._watches.close(exchange)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the fault switches; a store that goes down breaks its watches."""
        if self.faults.hang and not faults.hang:
            self.faults = faults
            self._catch_up()
        self.faults = faults
        if faults.down:
            for effect in self._watches.abort_all():
                self.emit(effect)

    def _add_routes(self) -> None:
        executor = self._executor
        add_health_route(self)
        self.router.add("PUT", "/emulator/faults", self._put_faults)
        self.router.add("GET", "/emulator/books", self._read_books)
        self._add(
            "/v3/kv/range",
            lambda body: executor.range(decode_request(body, RangeRequest)),
            writes=False,
        )
        self._add(
            "/v3/kv/put", lambda body: executor.put(decode_request(body, PutRequest), self.now)
        )
        self._add(
            "/v3/kv/deleterange",
            lambda body: executor.delete(decode_request(body, DeleteRangeRequest), self.now),
        )
        self._add(
            "/v3/kv/txn",
            lambda body: executor.transact(decode_request(body, TransactionRequest), self.now),
        )
        self._add("/v3/kv/compaction", self._compact)
        self._add("/v3/lease/grant", self._grant)
        self._add("/v3/lease/keepalive", self._keep_alive)
        self._add("/v3/lease/revoke", self._revoke)
        self._add("/v3/lease/timetolive", self._time_to_live, writes=False)
        self.router.add("POST", "/v3/watch", self._watch)

    def _add(self, path: str, operation: Operation, *, writes: bool = True) -> None:
        def take(request: HttpArrived, _: PathParameters) -> None:
            self._take(request, operation, writes)

        self.router.add("POST", path, take)

    def _put_faults(self, request: HttpArrived, _: PathParameters) -> None:
        self.set_faults(msgspec.json.decode(request.body, type=StoreFaults))
        self.emit(empty_reply(request.exchange))

    def _read_books(self, request: HttpArrived, _: PathParameters) -> None:
        self.emit(json_reply(request.exchange, HTTPStatus.OK, self.books))

    # ------------------------------------------------------------ requests

    def _take(self, request: HttpArrived, operation: Operation, writes: bool) -> None:
        if not self._admit(request.exchange):
            return
        if writes and self.faults.lose_requests:
            self._use_up("lose_requests")
            self.abort(request.exchange)
            return
        answer = self._execute(operation, request.body)
        if writes and self.faults.lose_answers:
            self._use_up("lose_answers")
            self.abort(request.exchange)
            return
        self._open.add(request.exchange)
        delay = self._settings.delay_seconds + self.faults.slow_seconds
        self.call_at(self.now + delay, lambda: self._answer(request.exchange, answer))

    def _admit(self, exchange: ExchangeId) -> bool:
        if self.faults.hang:
            return False
        if self.faults.down:
            self.abort(exchange)
            return False
        if not self._bucket.take(self.now):
            self.refused += 1
            text = "etcdserver: too many requests"
            body = ErrorAnswer(error=text, code=_GRPC_RESOURCE_EXHAUSTED, message=text)
            headers = {"retry-after": f"{self._bucket.wait_seconds():.3f}"}
            status = HTTPStatus.TOO_MANY_REQUESTS
            self.emit(json_reply(exchange, status, body, headers))
            return False
        return True

    def _execute(self, operation: Operation, body: bytes) -> msgspec.Struct:
        before = self.state.revision
        try:
            answer = operation(body)
        except StoreError as error:
            return ErrorAnswer(error=error.message, code=error.code, message=error.message)
        except msgspec.MsgspecError as error:
            text = str(error)
            return ErrorAnswer(error=text, code=_GRPC_INVALID_ARGUMENT, message=text)
        if self.state.revision != before:
            self._publish(self.state.changes_since(before + 1))
        return answer

    def _answer(self, exchange: ExchangeId, answer: msgspec.Struct) -> None:
        if exchange not in self._open or self.faults.hang:
            return
        self._open.discard(exchange)
        if self.faults.down:
            self.abort(exchange)
            return
        status = HTTPStatus.OK
        if isinstance(answer, ErrorAnswer):
            status = HTTPStatus.BAD_REQUEST
            if answer.code == GRPC_NOT_FOUND:
                status = HTTPStatus.NOT_FOUND
        self.emit(json_reply(exchange, status, answer))

    def _use_up(self, switch: str) -> None:
        left = getattr(self.faults, switch) - 1
        self.faults = msgspec.structs.replace(self.faults, **{switch: left})

    # ------------------------------------------------------------ watches

    def _watch(self, request: HttpArrived, _: PathParameters) -> None:
        if not self._admit(request.exchange):
            return
        wanted = decode_request(request.body, WatchRequest).create_request
        for effect in self._watches.open(request.exchange, wanted):
            self.emit(effect)
        if self._progress_due is None:
            self._schedule_progress()

    def _publish(self, changes: list[Change]) -> None:
        if self.faults.hang:
            return
        for effect in self._watches.notify(changes):
            self.emit(effect)

    def _catch_up(self) -> None:
        self._publish(self.state.changes_since(self.state.compacted + 1))

    def _schedule_progress(self) -> None:
        self._progress_due = None
        if len(self._watches):
            self._progress_due = self.now + self._settings.progress_seconds

    # ------------------------------------------------------------ leases and compaction

    def _compact(self, body: bytes) -> msgspec.Struct:
        revision = decode_request(body, CompactionRequest).revision
        if revision > self.state.revision:
            text = "etcdserver: mvcc: required revision is a future revision"
            raise StoreError(GRPC_OUT_OF_RANGE, text)
        self.state.compact(revision)
        return CompactionAnswer(header=self._executor.header())

    def _grant(self, body: bytes) -> msgspec.Struct:
        request = decode_request(body, LeaseRequest)
        lease = request.lease or self.random.getrandbits(_LEASE_ID_BITS)
        if self.state.lease(lease) is not None:
            raise StoreError(GRPC_NOT_FOUND, "etcdserver: lease already exists")
        granted = self.state.grant(lease, max(request.ttl, 1), self.now)
        return self._lease_answer(lease, granted.ttl)

    def _keep_alive(self, body: bytes) -> msgspec.Struct:
        lease = decode_request(body, LeaseRequest).lease
        renewed = self.state.keep_alive(lease, self.now)
        return StreamLine(result=self._lease_answer(lease, renewed.ttl if renewed else 0))

    def _revoke(self, body: bytes) -> msgspec.Struct:
        lease = decode_request(body, LeaseRequest).lease
        if self.state.revoke(lease, self.now) is None:
            raise StoreError(GRPC_NOT_FOUND, "etcdserver: requested lease not found")
        return CompactionAnswer(header=self._executor.header())

    def _time_to_live(self, body: bytes) -> msgspec.Struct:
        lease = decode_request(body, LeaseRequest).lease
        found = self.state.lease(lease)
        return self._lease_answer(lease, int(found.expires - self.now) if found else -1)

    def _lease_answer(self, lease: int, ttl: int) -> LeaseAnswer:
        return LeaseAnswer(header=self._executor.header(), lease=str(lease), ttl=number(ttl))
