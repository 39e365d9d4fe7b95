"""A forwarder with two engines, whose ledger and engines are played by the test."""

from __future__ import annotations

import itertools
import json

import msgspec
from msgspec import UNSET, UnsetType

from yokeline.effects import (
    Address,
    BodyFraming,
    Effect,
    HttpArrived,
    HttpCancel,
    HttpFailed,
    HttpReply,
    HttpRequest,
    HttpResponse,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamEnded,
    HttpStreamItem,
    HttpStreamStart,
    LogRecord,
    SendPeer,
)
from yokeline.forwarding.engine_choice import NO_RESTRICTIONS
from yokeline.forwarding.engines import EngineTable
from yokeline.forwarding.forwarder import Forwarder
from yokeline.forwarding.model import (
    Engine,
    ModelTraits,
    Pool,
    PoolWeight,
    Route,
    RouteKind,
    RoutingTable,
)
from yokeline.forwarding.residency import DataResidency
from yokeline.identifiers import ExchangeId, ReplicaId
from yokeline.ledger.client import LedgerClient
from yokeline.ledger.history_fetches import HistoryFetches
from yokeline.ledger.messages import (
    EngineTurns,
    HistoryAsk,
    LeaderAnswer,
    LeaderHint,
    LeaderQuery,
    LedgerReply,
    LedgerRequest,
    NodeTurns,
    PoolLoad,
    PoolShares,
    StoreText,
    StreamAsk,
    StreamCopy,
    StreamCopyEvents,
    StreamEvent,
    StreamReply,
    TextAsk,
)
from yokeline.ledger.operations import Granted, Operation, OperationResult, Reserve
from yokeline.ledger.regional_texts import RegionalTexts
from yokeline.ledger.state import LedgerCommand, LedgerState
from yokeline.platform.headers import HeaderDialect
from yokeline.scheduling.eligibility import EligibilityPolicy

HOST = "a.example"
STORAGE = LeaderHint(ReplicaId("storage~1"), Address("10.0.0.9", 1))
NOT_RUN = {"x-yokeline-not-executed": "1"}


def route(prefix: str, kind: RouteKind, pool: str, **fields: object) -> Route:
    values = {"timeout": 3.0, "target_latency": 0.2, "priority": 0, **fields}
    return Route(
        name=prefix,
        host=HOST,
        path_prefix=prefix,
        kind=kind,
        pools=(PoolWeight(pool, 1.0),),
        **values,  # type: ignore[arg-type]
    )


TABLE = RoutingTable(
    version=3,
    routes=(
        route("/turn/", RouteKind.STREAMING, "models", resumable=True, max_attempts=2),
        route("/single/", RouteKind.STREAMING, "models", resumable=True, max_attempts=1),
        route("/once/", RouteKind.STREAMING, "models"),
        route("/kept/", RouteKind.STREAMING, "models", retain=True),
        route("/line/", RouteKind.STREAMING, "models", retain=True, resumable=True),
        route("/look/", RouteKind.IDEMPOTENT, "apps", timeout=1.2, max_attempts=1),
        route("/look-twice/", RouteKind.IDEMPOTENT, "apps", timeout=1.2, max_attempts=2),
        route("/fix/", RouteKind.NON_IDEMPOTENT, "apps", timeout=2.0),
    ),
    pools={
        "models": Pool(
            name="models",
            max_connections=10,
            model=ModelTraits(slots=4, memory_tokens=100_000, tokens_per_event=10),
        ),
        "apps": Pool(name="apps", max_connections=10),
    },
)


class Played:
    """The forwarder under test, and what it has done."""

    def __init__(
        self,
        engines_per_pool: int = 2,
        slots: int = 4,
        eligibility: EligibilityPolicy = NO_RESTRICTIONS,
        residency: DataResidency | None = None,
        zones: tuple[str, ...] = ("a",),
        texts: RegionalTexts | None = None,
        process: str = "",
    ) -> None:
        """The engines of each pool stand in ``zones`` in turn."""
        self.now = 100.0
        self.ledger = LedgerClient(Address("10.0.0.1", 1))
        self.ledger.engines_told = lambda told, now: self.engines.apply_leader_report(told, now)
        self.ledger.set_storage({STORAGE.replica: STORAGE.address})
        self.engines = EngineTable()
        self.histories = HistoryFetches("edge", Address("10.0.0.1", 1))
        self.forwarder = Forwarder(
            zone="a",
            dialect=HeaderDialect(),
            ledger=self.ledger,
            histories=self.histories,
            engines=self.engines,
            eligibility=eligibility,
            residency=residency,
            texts=texts,
            process=process,
        )
        self.forwarder.table = TABLE
        for pool in ("models", "apps"):
            for number in range(engines_per_pool):
                engine = Engine(
                    engine_id=f"{pool}-{number}",
                    pool=pool,
                    address=Address(f"10.1.{len(pool)}.{number}", 80),
                    zone=zones[number % len(zones)],
                    slots=slots,
                )
                self.engines.put(engine)
        self.sent: list[HttpRequest] = []
        self.state_requests: list[HttpRequest] = []
        """Requests for the state of engines that have no answer."""
        self.cancelled: list[HttpCancel] = []
        self.replies: list[HttpReply] = []
        self.stream: list[Effect] = []
        self.asked: list[tuple[int, Operation]] = []
        self.told: list[NodeTurns] = []
        self.told_loads: list[tuple[PoolLoad, ...] | UnsetType] = []
        self.logs: list[LogRecord] = []
        self.peers: list[SendPeer] = []
        """Questions for the texts of earlier turns."""
        self.text_messages: list[SendPeer] = []
        """Messages to storage nodes about regional texts."""
        self.stream_messages: list[SendPeer] = []
        """Messages to other nodes about streams whose turns are to be kept."""
        self.ledger_state = LedgerState()
        """Has the losses of requests; the test answers all other operations."""
        self.loss_records: list[Reserve] = []
        self.is_ledger_silent = False
        self.open_turns = 1
        """Open reservations of each line that the ledger tells of: those of the attempt itself."""
        self._numbers = itertools.count(1)
        self._plain_fields: dict[str, str] = {}

    # ------------------------------------------------------------ callers

    def request(self, path: str, body: bytes = b"", *, own_id: str = "", **headers: str) -> str:
        """Let a request arrive; return its id."""
        request_id = own_id or f"id{next(self._numbers)}"
        fields = {
            "host": HOST,
            "x-yokeline-request-id": request_id,
            "x-yokeline-deadline-ms": "3000",
            **{_field_name(name): value for name, value in headers.items()},
            **self._plain_fields,
        }
        event = HttpArrived(
            exchange=ExchangeId(request_id),
            method="POST",
            path=path,
            target=path,
            headers=fields,
            header_items=tuple(fields.items()),
            body=body,
        )
        self.take(self.forwarder.handle_request(event, self.now))
        return request_id

    def turn(self, path: str = "/turn/x", body: bytes = b"", **headers: str) -> str:
        """Let a turn of a program with a budget arrive."""
        usual = {"program_id": "p", "token_budget": "1000", "token_usage": "100,50"}
        return self.request(path, body, **{**usual, **headers})

    def resume_turn(
        self, path: str, fields: dict[str, str], *, budget: bool = True, own_id: str = ""
    ) -> str:
        """Let a caller resume a stream with plain header fields; return the request's id."""
        self._plain_fields = fields
        try:
            if budget:
                return self.turn(path, own_id=own_id)
            return self.request(path, own_id=own_id)
        finally:
            self._plain_fields = {}

    def hold_stream(self, route: str, program: str, origin: str, *words: str) -> None:
        """Hold the events of a stream that another node has begun."""
        events = tuple(
            StreamEvent(str(number), f"{word}\n".encode())
            for number, word in enumerate(words, start=1)
        )
        copy = StreamCopy(
            number=1,
            stream=f"{route}\n{program}\n{origin}",
            attempt=origin,
            resumed_after="",
            seconds=60.0,
            events=events,
        )
        sender = ReplicaId("edge-9~1")
        self.take(self.forwarder.stream_beginnings.handle(sender, copy, self.now))

    def leave(self, request_id: str) -> None:
        self.take(self.forwarder.handle_disconnect(ExchangeId(request_id), self.now))

    # ------------------------------------------------------------ ledger

    def operations(self) -> list[Operation]:
        """Return the operations asked for, repetitions left out."""
        return [operation for _, operation in self.asked]

    def ledger_answers(
        self,
        result: OperationResult,
        *engines: EngineTurns,
        shares: tuple[PoolShares, ...] | UnsetType = UNSET,
    ) -> None:
        """Answer the latest operation; the leader tells of ``engines`` and ``shares``."""
        number, _ = self.asked[-1]
        reply = LedgerReply(
            number=number, results=(result,), leader=STORAGE, engines=engines, shares=shares
        )
        self.take(self.ledger.take_reply(reply, self.now))
        self.take(self.forwarder.tick(self.now))

    # ------------------------------------------------------------ engines

    def engine_answers(
        self, status: int = 200, body: bytes = b"ok", index: int = -1, **headers: str
    ) -> None:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        response = HttpResponse(
            request=self.sent[index].request, status=status, headers=named, body=body
        )
        self.take(self.forwarder.handle_engine_event(response, self.now))

    def engine_is_another(self) -> None:
        """Another engine listens at the address, and says so."""
        response = HttpResponse(request=self.sent[-1].request, status=421, headers={})
        self.take(self.forwarder.handle_engine_event(response, self.now))

    def engine_rejects(self) -> None:
        response = HttpResponse(request=self.sent[-1].request, status=503, headers=NOT_RUN)
        self.take(self.forwarder.handle_engine_event(response, self.now))

    def engines_start_at(self, started_ms: int) -> None:
        """Let the entries of all engines tell when they started."""
        for state in list(self.engines.all()):
            self.engines.put(msgspec.structs.replace(state.engine, started_ms=started_ms))

    def engines_tell_state(self, started_ms: int | None) -> None:
        """Answer all requests for the state of engines."""
        while self.state_requests:
            response = HttpResponse(
                request=self.state_requests.pop(0).request,
                status=200,
                headers={},
                body=json.dumps({} if started_ms is None else {"born": started_ms}).encode(),
            )
            self.take(self.forwarder.handle_engine_event(response, self.now))

    def engines_refuse_connections(self) -> None:
        """Refuse the connections of all requests for the state of engines."""
        while self.state_requests:
            request = self.state_requests.pop(0).request
            failed = HttpFailed(request=request, sent=False, reason="refused", refused=True)
            self.take(self.forwarder.handle_engine_event(failed, self.now))

    def engine_begins(self, framing: BodyFraming = BodyFraming.CHUNKED, stamp: str = "s") -> None:
        head = HttpResponse(
            request=self.sent[-1].request,
            status=200,
            headers={"x-yokeline-server-stamp": stamp},
            body_framing=framing,
        )
        self.take(self.forwarder.handle_engine_event(head, self.now))

    def engine_sends(self, *numbers: int) -> None:
        for number in numbers:
            data = f"id: {number}\ndata: word{number}\n\n".encode()
            item = HttpStreamItem(request=self.sent[-1].request, data=data, event_id=str(number))
            self.take(self.forwarder.handle_engine_event(item, self.now))

    def engine_ends(self) -> None:
        ended = HttpStreamEnded(self.sent[-1].request)
        self.take(self.forwarder.handle_engine_event(ended, self.now))

    def engine_truncates(self, unfinished_bytes: int) -> None:
        """Let the body end in the orderly way inside an event."""
        failed = HttpFailed(
            request=self.sent[-1].request,
            sent=True,
            reason="truncated",
            is_truncated=True,
            unfinished_bytes=unfinished_bytes,
        )
        self.take(self.forwarder.handle_engine_event(failed, self.now))

    def is_whole(self) -> bool:
        """Return whether the last streamed answer has ended as a whole one."""
        last = self.stream[-1] if self.stream else None
        return isinstance(last, HttpStreamEnd) and not last.aborted

    def engine_breaks(
        self,
        *,
        sent: bool = True,
        stale: bool = False,
        silent: bool = False,
        fresh: bool = False,
        index: int = -1,
    ) -> None:
        failed = HttpFailed(
            request=self.sent[index].request,
            sent=sent,
            reason="silent" if silent else "reset",
            stale=stale,
            silent=silent,
            fresh=fresh,
        )
        self.take(self.forwarder.handle_engine_event(failed, self.now))

    # ------------------------------------------------------------ time and effects

    def wait(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.01)
            self.take(self.ledger.tick(self.now))
            self.take(self.histories.tick(self.now))
            self.take(self.forwarder.tick(self.now))

    def take(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, HttpRequest) and effect.path == "/-/report":
                self.state_requests.append(effect)
            elif isinstance(effect, HttpRequest):
                self.sent.append(effect)
            elif isinstance(effect, HttpCancel):
                self.cancelled.append(effect)
            elif isinstance(effect, HttpReply):
                self.replies.append(effect)
            elif isinstance(effect, HttpStreamStart | HttpStreamData | HttpStreamEnd):
                self.stream.append(effect)
            elif isinstance(effect, LogRecord):
                self.logs.append(effect)
            elif isinstance(effect, SendPeer):
                self._note_asked(effect)

    def _note_asked(self, effect: SendPeer) -> None:
        message = effect.message
        if isinstance(message, HistoryAsk):
            self.peers.append(effect)
            return
        if isinstance(message, StoreText | TextAsk):
            self.text_messages.append(effect)
            return
        if isinstance(message, StreamCopy | StreamCopyEvents | StreamAsk | StreamReply):
            self.stream_messages.append(effect)
            return
        if isinstance(message, LeaderQuery):
            answer = LeaderAnswer(term=1, leader=STORAGE)
            self.take(self.ledger.take_leader(STORAGE.replica, answer, self.now))
            return
        assert isinstance(message, LedgerRequest)
        if message.turns is not None:
            self.told.append(message.turns)
            self.told_loads.append(message.tenant_loads)
        if not message.operations:
            return
        operation = message.operations[0]
        side = operation.side if isinstance(operation, Reserve) else UNSET
        if not isinstance(side, UnsetType) and side.versions:
            self._record_versions(message.number, operation)
            return
        if not isinstance(side, UnsetType) and "/losses/" in operation.request_id:
            assert isinstance(operation, Reserve)
            self._record_losses(message.number, operation)
            return
        if all(number != message.number for number, _ in self.asked):
            self.asked.append((message.number, message.operations[0]))

    def _record_losses(self, number: int, operation: Reserve) -> None:
        """Record losses as the ledger does, and answer unless it is silent."""
        self.loss_records.append(operation)
        if self.is_ledger_silent:
            return
        result = self.ledger_state.transition_apply(
            LedgerCommand(time=self.now, operations=(operation,))
        )
        told = tuple(
            msgspec.structs.replace(item, open_turns=self.open_turns)
            if isinstance(item, Granted)
            else item
            for item in result
        )
        reply = LedgerReply(number=number, results=told, leader=STORAGE)
        self.take(self.ledger.take_reply(reply, self.now))
        self.take(self.forwarder.tick(self.now))

    def _record_versions(self, number: int, operation: Operation) -> None:
        """Record the versions of a pool as the ledger does, and answer unless it is silent."""
        if self.is_ledger_silent:
            return
        result = self.ledger_state.transition_apply(
            LedgerCommand(time=self.now, operations=(operation,))
        )
        reply = LedgerReply(number=number, results=result, leader=STORAGE)
        self.take(self.ledger.take_reply(reply, self.now))
        self.take(self.forwarder.tick(self.now))

    # ------------------------------------------------------------ results

    def passed_on(self) -> bytes:
        """Return the bytes of the stream that the caller got."""
        return b"".join(item.data for item in self.stream if isinstance(item, HttpStreamData))

    def stream_end(self) -> HttpStreamEnd | None:
        """Return how the stream ended; None if it goes on."""
        ends = [item for item in self.stream if isinstance(item, HttpStreamEnd)]
        return ends[0] if ends else None

    def refusal(self) -> dict[str, object]:
        """Return the document of the last refusal."""
        document: dict[str, object] = json.loads(self.replies[-1].body)
        return document

    def engine_of(self, index: int = -1) -> str:
        """Return the engine that a request was sent to."""
        return dict(self.sent[index].header_items)["x-yokeline-expect-instance"]


def _field_name(name: str) -> str:
    return name if name == "authorization" else f"x-yokeline-{name.replace('_', '-')}"
