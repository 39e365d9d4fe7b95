"""Events of streams whose turns are to be kept, by stream and by attempt of its caller.

A caller that resumes a stream has events of one or more earlier attempts. The kept turn has to hold
exactly these, so the node that goes on needs their data. An attempt may have relayed more than its
caller got, and a later attempt that resumed before that replaces the rest.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence

import msgspec
from msgspec import UnsetType

from yokeline.effects import Address
from yokeline.forwarding.http_helpers import is_after
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import CopiedAttempt, StreamCopy, StreamCopyEvents, StreamEvent

MAX_HELD_BYTES = 16 * 1024 * 1024
MAX_STREAM_BYTES = 4 * 1024 * 1024
"""Text of an attempt beyond which it is not copied; fits a message between nodes."""
MAX_ATTEMPTS_PER_STREAM = 16
EVENT_OVERHEAD_BYTES = 160
"""Memory of an event's objects beside its data."""
OVERLAP_TOLERANCE_SECONDS = 0.1
"""Time for which an attempt may go on after its caller has left it."""


class AttemptText(msgspec.Struct, kw_only=True, eq=False):
    """The events that a caller has after one of its attempts, as far as they are known here.

    Attributes:
        events: All events, those of earlier attempts included.
        began_at: When the attempt relayed its first event (monotonic seconds).
        last_at: When it relayed its last event.
        until: When the stream cannot be resumed any more.
        size: Memory of the events.
    """

    attempt: str
    resumed_after: str
    events: list[StreamEvent]
    began_at: float
    last_at: float
    until: float
    size: int = 0

    @property
    def last_event_id(self) -> str:
        """Id of the last event; empty without one."""
        return self.events[-1].event_id if self.events else ""

    def append(self, events: Iterable[StreamEvent], now: float) -> int:
        """Add events; return by how much the memory grows."""
        added = list(events)
        self.events.extend(added)
        self.last_at = now if added else self.last_at
        growth = memory_of(added)
        self.size += growth
        return growth


class RelayedStream(msgspec.Struct, kw_only=True, eq=False):
    """The stream that one attempt of a caller gets, and the copies that other nodes have of it.

    Attributes:
        name: Name of the stream, the same for all attempts of its caller.
        number: Identifies the copies at the nodes that hold them.
        holders: These nodes.
        chosen_at: When they were chosen (monotonic seconds).
    """

    name: str
    text: AttemptText
    number: int
    holders: dict[ReplicaId, Address] = msgspec.field(default_factory=dict)
    chosen_at: float = float("-inf")


def memory_of(events: Iterable[StreamEvent]) -> int:
    """Return the memory that events take (bytes)."""
    return sum(len(event.data) + EVENT_OVERHEAD_BYTES for event in events)


def events_until(events: Sequence[StreamEvent], event_id: str) -> tuple[StreamEvent, ...] | None:
    """Return the events up to one of them, with it; None if it is not among them."""
    for index, event in enumerate(events):
        if event.event_id == event_id:
            return tuple(events[: index + 1])
    return None


class Beginning(msgspec.Struct, frozen=True):
    """The events that a caller has of the stream that it resumes.

    Attributes:
        events: None if they are not known.
        is_ambiguous: Several attempts may have brought them, and theirs differ.
    """

    events: tuple[StreamEvent, ...] | None = None
    is_ambiguous: bool = False


def beginning_of(attempts: Iterable[AttemptText], event_id: str) -> Beginning:
    """Return what a caller has that names ``event_id`` as its last event.

    An attempt that resumed before that event, and began after another one had ended, has brought it
    in place of the other one.
    """
    known = list(attempts)
    found = [
        (item, events)
        for item in known
        if (events := events_until(item.events, event_id)) is not None
        and not any(_replaces(other, item, event_id) for other in known)
    ]
    texts = {events for _, events in found}
    if len(texts) == 1:
        return Beginning(texts.pop())
    return Beginning(is_ambiguous=bool(texts))


def _replaces(other: AttemptText, item: AttemptText, event_id: str) -> bool:
    """Return whether a caller that names an event has it from ``other`` in place of ``item``."""
    if other is item or not other.resumed_after:
        return False
    resumed_before = other.resumed_after != event_id and is_after(event_id, other.resumed_after)
    is_later = other.began_at > item.began_at
    return resumed_before and is_later and other.began_at + OVERLAP_TOLERANCE_SECONDS > item.last_at


def merged(attempts: Iterable[AttemptText]) -> dict[str, AttemptText]:
    """Return what several nodes know of each attempt together, by its name."""
    known: dict[str, AttemptText] = {}
    for item in attempts:
        other = known.get(item.attempt)
        if other is None:
            known[item.attempt] = item
            continue
        longer = item if len(item.events) > len(other.events) else other
        known[item.attempt] = msgspec.structs.replace(
            longer,
            began_at=min(item.began_at, other.began_at),
            last_at=max(item.last_at, other.last_at),
        )
    return known


class StreamCopies:
    """Attempts of streams that this node holds, its own and those of other nodes.

    The streams that have had no event for the longest time are evicted first.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Hold no more than ``max_bytes``."""
        self.held_bytes = 0
        self._max_bytes = max_bytes
        self._streams: OrderedDict[str, dict[str, AttemptText]] = OrderedDict()
        self._received: dict[tuple[ReplicaId, int], tuple[str, str]] = {}

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def clear(self) -> None:
        """Evict all streams."""
        self._streams.clear()
        self._received.clear()
        self.held_bytes = 0

    def attempts(self, stream: str) -> Mapping[str, AttemptText]:
        """Return the attempts of a stream, by name."""
        return self._streams.get(stream, {})

    def put(self, stream: str, text: AttemptText) -> None:
        """Hold an attempt, in place of what was held of it."""
        attempts = self._streams.setdefault(stream, {})
        self._streams.move_to_end(stream)
        replaced = attempts.pop(text.attempt, None)
        if replaced is not None:
            self.held_bytes -= replaced.size
        attempts[text.attempt] = text
        self.held_bytes += text.size
        if len(attempts) > MAX_ATTEMPTS_PER_STREAM:
            self.held_bytes -= attempts.pop(next(iter(attempts))).size
        self._evict()

    def append(
        self, stream: str, text: AttemptText, events: Iterable[StreamEvent], now: float
    ) -> None:
        """Add events to an attempt, which may have been evicted here."""
        growth = text.append(events, now)
        if growth and self.attempts(stream).get(text.attempt) is text:
            self._streams.move_to_end(stream)
            self.held_bytes += growth
            self._evict()

    def take(self, sender: ReplicaId, copy: StreamCopy, now: float) -> None:
        """Hold a copy of another node's attempt."""
        events = list(copy.events)
        text = AttemptText(
            attempt=copy.attempt,
            resumed_after=copy.resumed_after,
            events=events,
            began_at=now,
            last_at=now,
            until=now + copy.seconds,
            size=memory_of(events),
        )
        self.put(copy.stream, text)
        self._received[sender, copy.number] = (copy.stream, copy.attempt)

    def take_events(self, sender: ReplicaId, message: StreamCopyEvents, now: float) -> None:
        """Add further events to a copy; after a lost message it stays as it is."""
        key = self._received.get((sender, message.number))
        if key is None:
            return
        stream, attempt = key
        text = self.attempts(stream).get(attempt)
        if text is None or text.last_event_id != message.after:
            return
        self.append(stream, text, message.events, now)
        if not isinstance(message.seconds, UnsetType):
            text.until = min(text.until, now + message.seconds)

    def told(self, stream: str, event_id: str, now: float) -> tuple[CopiedAttempt, ...]:
        """Return what another node is told of a stream: its events up to one of them."""
        return tuple(
            CopiedAttempt(
                attempt=item.attempt,
                resumed_after=item.resumed_after,
                age=now - item.began_at,
                idle=now - item.last_at,
                events=events_until(item.events, event_id) or (),
            )
            for item in self.attempts(stream).values()
        )

    def expire(self, now: float) -> None:
        """Evict the attempts of streams that cannot be resumed any more."""
        for stream, attempts in list(self._streams.items()):
            for name, text in list(attempts.items()):
                if now >= text.until:
                    self.held_bytes -= attempts.pop(name).size
            if not attempts:
                del self._streams[stream]
        self._forget_evicted()

    def _evict(self) -> None:
        while self.held_bytes > self._max_bytes and self._streams:
            _, attempts = self._streams.popitem(last=False)
            self.held_bytes -= sum(text.size for text in attempts.values())

    def _forget_evicted(self) -> None:
        self._received = {
            key: (stream, attempt)
            for key, (stream, attempt) in self._received.items()
            if attempt in self.attempts(stream)
        }


def text_of(told: CopiedAttempt, now: float) -> AttemptText:
    """Return an attempt as another node knows it."""
    return AttemptText(
        attempt=told.attempt,
        resumed_after=told.resumed_after,
        events=list(told.events),
        began_at=now - told.age,
        last_at=now - told.idle,
        until=now,
    )
