"""Finds the events that a caller has of a stream that it resumes, for turns that are to be kept.

Any node may be asked to continue a stream, and the one that began it may be gone. So each node
sends the events of such streams to a few others before the caller gets them. Their order by the
stream's name (rendezvous hashing) tells any node whom to ask. A stream whose beginning nobody knows
is refused: its turn could not be kept, and the program that waits for it could not go on.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from yokeline.effects import Address, Effect, SendPeer
from yokeline.forwarding.exchange import Exchange, Phase
from yokeline.forwarding.http_statuses import UNAVAILABLE
from yokeline.forwarding.node_state import NodeState
from yokeline.forwarding.outage_delays import delay_before_new_stream
from yokeline.forwarding.responder import Responder
from yokeline.forwarding.stream_copies import (
    MAX_STREAM_BYTES,
    AttemptText,
    Beginning,
    RelayedStream,
    StreamCopies,
    beginning_of,
    memory_of,
    merged,
    text_of,
)
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import (
    StreamAsk,
    StreamCopy,
    StreamCopyEvents,
    StreamEvent,
    StreamReply,
)

StreamMessage = StreamCopy | StreamCopyEvents | StreamAsk | StreamReply

STREAM_BEGINNING_UNKNOWN = "stream_beginning_unknown"
"""Refusal reason: no node knows the events that the caller has of a turn that is to be kept."""
STREAM_BEGINNING_AMBIGUOUS = "stream_beginning_ambiguous"
"""Refusal reason: several attempts of the caller may have brought its events, which differ."""
COPIES = 2
"""Nodes that hold a stream's events beside the one that relays it."""
FIRST_ASKED = 4
"""Nodes that are asked first: the two that hold the events, and as many for those that have come or
gone since."""
REPLY_TIMEOUT_SECONDS = 0.2
SETTLE_SECONDS = 0.03
"""Time for further replies once the beginning is known: a later attempt may have replaced it."""
HOLDERS_CHECK_SECONDS = 0.5
EXPIRY_PERIOD_SECONDS = 1.0
RESUMPTION_SECONDS = 60.0
"""Time for which the events of a stream are held that was broken off; longer than callers retry."""
KEPT_SECONDS = 5.0
"""The same once its turn is kept: only a caller that missed the end resumes the stream."""


class StreamPeer(msgspec.Struct, frozen=True):
    """Another forwarding node that was heard lately.

    Attributes:
        region: Its region; empty if not known.
    """

    name: str
    process: ReplicaId
    address: Address
    region: str = ""


class _Search(msgspec.Struct, kw_only=True, eq=False):
    """The search for the beginning of one stream.

    Attributes:
        told: What other nodes have told of its attempts.
        awaited: Nodes that have not replied.
        remaining: Nodes that were not asked yet.
        due: When those asked so far are not waited for any longer (monotonic seconds).
    """

    exchange: Exchange
    stream: str
    done: Callable[[Exchange], None]
    began_at: float
    remaining: list[StreamPeer]
    told: list[AttemptText] = msgspec.field(default_factory=list)
    awaited: set[ReplicaId] = msgspec.field(default_factory=set)
    due: float = 0.0
    is_settling: bool = False


class StreamBeginnings:
    """Copies the events of one node's streams to others, and asks others for theirs.

    Attributes:
        peers: Returns the other forwarding nodes that were heard lately, at a time.
        own_address: Where this node receives replies.
    """

    def __init__(self, state: NodeState, responder: Responder) -> None:
        """Refuse streams that cannot be continued with ``responder``."""
        self.peers: Callable[[float], Sequence[StreamPeer]] = _no_peers
        self.own_address = Address("", 0)
        self._state = state
        self._responder = responder
        self._copies = StreamCopies()
        self._searches: dict[int, _Search] = {}
        self._numbers = itertools.count(1)
        self._next_expiry = 0.0

    # ------------------------------------------------------------ memory

    @property
    def held_bytes(self) -> int:
        """Memory of the events held."""
        return self._copies.held_bytes

    def clear(self) -> None:
        """Free the events held; streams that began elsewhere are then refused."""
        self._copies.clear()

    def expire(self) -> None:
        """Free the events of streams that cannot be resumed any more, and ended searches."""
        if self._state.now < self._next_expiry:
            return
        self._next_expiry = self._state.now + EXPIRY_PERIOD_SECONDS
        self._copies.expire(self._state.now)
        ended = [number for number, item in self._searches.items() if item.exchange.has_ended]
        for number in ended:
            del self._searches[number]

    # ------------------------------------------------------------ events that are relayed

    def record(self, exchange: Exchange, event: StreamEvent) -> None:
        """Note an event that the caller is about to get, and send it to the nodes with copies."""
        if not exchange.route.resumable:
            exchange.kept_events.append(event)
            return
        relayed = exchange.relayed
        if relayed is None:
            relayed = exchange.relayed = self._begin(exchange)
        after = relayed.text.last_event_id
        self._copies.append(relayed.name, relayed.text, (event,), self._state.now)
        if relayed.text.size > MAX_STREAM_BYTES:
            return
        known = relayed.holders
        self._choose_holders(exchange, relayed)
        more = StreamCopyEvents(number=relayed.number, after=after, events=(event,))
        for process, address in relayed.holders.items():
            message = more if process in known else self._whole_copy(relayed)
            self._emit(SendPeer(to=process, address=address, message=message))
            self._state.outcomes.counters["yokeline_forwarding_stream_copies_total"] += 1

    def note_kept(self, exchange: Exchange) -> None:
        """Let the events of a stream whose turn is kept be freed soon, here and at other nodes."""
        relayed = exchange.relayed
        if relayed is None:
            return
        text = relayed.text
        text.until = min(text.until, self._state.now + KEPT_SECONDS)
        message = StreamCopyEvents(
            number=relayed.number, after=text.last_event_id, seconds=KEPT_SECONDS
        )
        for process, address in relayed.holders.items():
            self._emit(SendPeer(to=process, address=address, message=message))

    def _begin(self, exchange: Exchange) -> RelayedStream:
        """Return the stream of an attempt before its first event; it shares the kept events."""
        now = self._state.now
        text = AttemptText(
            attempt=exchange.names.turn,
            resumed_after=exchange.call.last_event_id,
            events=exchange.kept_events,
            began_at=now,
            last_at=now,
            until=now + max(RESUMPTION_SECONDS, exchange.call.deadline),
            size=memory_of(exchange.kept_events),
        )
        relayed = RelayedStream(name=_stream_name(exchange), text=text, number=next(self._numbers))
        if self._state.residency.may_cache(exchange.allowed_regions):
            self._copies.put(relayed.name, text)
        return relayed

    def _whole_copy(self, relayed: RelayedStream) -> StreamCopy:
        return StreamCopy(
            number=relayed.number,
            stream=relayed.name,
            attempt=relayed.text.attempt,
            resumed_after=relayed.text.resumed_after,
            seconds=max(0.0, relayed.text.until - self._state.now),
            events=tuple(relayed.text.events),
        )

    def _choose_holders(self, exchange: Exchange, relayed: RelayedStream) -> None:
        """Choose the nodes with copies, now and then, since nodes come and go."""
        now = self._state.now
        if now - relayed.chosen_at < HOLDERS_CHECK_SECONDS:
            return
        ranked = self._ranked(relayed.name, exchange.allowed_regions)
        relayed.chosen_at = now
        relayed.holders = {peer.process: peer.address for peer in ranked[:COPIES]}

    # ------------------------------------------------------------ events of other nodes

    def handle(self, sender: ReplicaId, message: StreamMessage, now: float) -> list[Effect]:
        """Handle a message of another node."""
        self._state.now = now
        if isinstance(message, StreamCopy):
            self._copies.take(sender, message, now)
        elif isinstance(message, StreamCopyEvents):
            self._copies.take_events(sender, message, now)
        elif isinstance(message, StreamAsk):
            return self._answer(sender, message)
        else:
            self._take_reply(sender, message)
        return self._state.outcomes.drain_effects()

    def _answer(self, sender: ReplicaId, ask: StreamAsk) -> list[Effect]:
        """Tell another node what this one holds of a stream."""
        attempts = self._copies.told(ask.stream, ask.event_id, self._state.now)
        reply = StreamReply(number=ask.number, attempts=attempts)
        return [SendPeer(to=sender, address=ask.asker, message=reply)]

    # ------------------------------------------------------------ streams that callers resume

    def find(self, exchange: Exchange, done: Callable[[Exchange], None]) -> None:
        """Find the events that the caller has; call ``done``, or refuse to continue the stream."""
        exchange.phase = Phase.RESERVING
        if not exchange.names.resumed_turn:
            self._refuse(exchange, STREAM_BEGINNING_UNKNOWN, 0)
            return
        now = self._state.now
        stream = _stream_name(exchange)
        ranked = self._ranked(stream, None)
        number = next(self._numbers)
        search = _Search(
            exchange=exchange, stream=stream, done=done, began_at=now, remaining=ranked
        )
        self._searches[number] = search
        if ranked:
            self._ask(number, search, FIRST_ASKED)
        else:
            self._continue(number, search)

    def _take_reply(self, sender: ReplicaId, reply: StreamReply) -> None:
        search = self._searches.get(reply.number)
        if search is not None and sender in search.awaited:
            search.awaited.discard(sender)
            search.told.extend(text_of(told, self._state.now) for told in reply.attempts)
            self._continue(reply.number, search)

    def _ask(self, number: int, search: _Search, count: int) -> None:
        """Ask the next nodes, and wait for them; also alone, since copies may be on their way."""
        asked, search.remaining = search.remaining[:count], search.remaining[count:]
        search.awaited = {peer.process for peer in asked}
        search.due = self._state.now + (REPLY_TIMEOUT_SECONDS if asked else SETTLE_SECONDS)
        message = StreamAsk(
            number=number,
            asker=self.own_address,
            stream=search.stream,
            event_id=search.exchange.call.last_event_id,
        )
        for peer in asked:
            self._emit(SendPeer(to=peer.process, address=peer.address, message=message))
        self._await(number, search)

    def _await(self, number: int, search: _Search) -> None:
        due = search.due

        def give_up(_exchange: Exchange) -> None:
            if self._searches.get(number) is search and self._state.now >= search.due:
                search.awaited.clear()
                self._continue(number, search)

        self._state.schedule(search.exchange, due, give_up)

    def _continue(self, number: int, search: _Search) -> None:
        """Go on with the events found, wait for further replies, or ask further nodes."""
        exchange = search.exchange
        if exchange.has_ended:
            del self._searches[number]
            return
        own = self._copies.attempts(search.stream).values()
        attempts = merged((*own, *search.told))
        beginning = beginning_of(attempts.values(), exchange.call.last_event_id)
        if search.awaited:
            if beginning.events is not None and not search.is_settling:
                search.is_settling = True
                search.due = min(search.due, self._state.now + SETTLE_SECONDS)
                self._await(number, search)
            return
        if beginning.events is None and not beginning.is_ambiguous:
            if search.remaining:
                self._ask(number, search, len(search.remaining))
                return
            if self._state.now < search.began_at + SETTLE_SECONDS:
                self._ask(number, search, 0)
                return
        del self._searches[number]
        self._end(search, beginning, len(attempts))

    def _end(self, search: _Search, beginning: Beginning, attempts: int) -> None:
        exchange = search.exchange
        if beginning.events is None:
            reason = (
                STREAM_BEGINNING_AMBIGUOUS if beginning.is_ambiguous else STREAM_BEGINNING_UNKNOWN
            )
            self._refuse(exchange, reason, attempts)
            return
        exchange.kept_events = list(beginning.events)
        exchange.has_beginning = True
        traits = self._state.pool_of(exchange).model
        tokens_per_event = 1 if traits is None else traits.tokens_per_event
        exchange.given_tokens = len(exchange.kept_events) * tokens_per_event
        self._count("found")
        self._state.outcomes.log(
            "stream_beginning_found",
            exchange,
            resumes=exchange.call.resumes,
            after_event=exchange.call.last_event_id,
            events=len(exchange.kept_events),
            attempts=attempts,
            seconds=round(self._state.now - search.began_at, 4),
        )
        search.done(exchange)

    def _refuse(self, exchange: Exchange, reason: str, attempts: int) -> None:
        self._count("ambiguous" if reason == STREAM_BEGINNING_AMBIGUOUS else "unknown")
        self._responder.refuse(
            exchange,
            UNAVAILABLE,
            reason,
            retry_after=delay_before_new_stream(exchange, self._state.now),
            resumes=exchange.call.resumes,
            after_event=exchange.call.last_event_id,
            attempts=attempts,
        )

    # ------------------------------------------------------------ helpers

    def _ranked(self, stream: str, regions: frozenset[str] | None) -> list[StreamPeer]:
        """Return the other nodes of some regions in the order in which they hold a stream."""
        peers = self.peers(self._state.now)
        allowed = [peer for peer in peers if regions is None or peer.region in regions - {""}]
        return sorted(allowed, key=lambda peer: (_weight(peer.name, stream), peer.name))

    def _count(self, outcome: str) -> None:
        name = f'yokeline_forwarding_stream_beginnings_total{{outcome="{outcome}"}}'
        self._state.outcomes.counters[name] += 1

    def _emit(self, effect: Effect) -> None:
        self._state.outcomes.effects.append(effect)


def _stream_name(exchange: Exchange) -> str:
    """Return the name of a stream, which no other route, tenant or program shares."""
    is_resumed = bool(exchange.call.last_event_id)
    first_attempt = exchange.names.resumed_turn if is_resumed else exchange.names.turn
    return f"{exchange.route.name}\n{exchange.names.program}\n{first_attempt}"


def _weight(name: str, stream: str) -> int:
    return xxhash.xxh32_intdigest(f"{stream}/{name}".encode(errors="surrogatepass"))


def _no_peers(_now: float) -> Sequence[StreamPeer]:
    """Return no peers; the default."""
    return ()
