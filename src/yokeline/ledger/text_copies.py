"""Texts of kept turns that reach the followers from the node that has them, not from the leader.

A leader that sends each text to all followers needs four times the texts' bytes on its link, which
binds first when turns are long and links are small. So when its followers' share of its link grows
large, it asks nodes to send each text to the followers as well (:class:`TextCopy`); what it sends
them then is the log entry without the texts, and they put the entry together again, byte for byte,
as a checksum shows. A follower that lacks a text says so and gets whole entries for a while. So
the log, its order and what a majority holds are as before; only the way of the bytes differs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
import xxhash

from yokeline.consensus.messages import AppendEntries, LogEntry
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import EntryCuts, ReplicaMessage, TextCut
from yokeline.ledger.operations import KeptTurn

LEAST_TEXT_BYTES = 512
"""A shorter text is sent with its entry: a message of its own costs about as much."""
MAX_CACHED_BYTES = 8 * 1024 * 1024
"""Texts that a follower keeps for entries that have not come yet: five seconds of the busiest
deployment played (1.2 MB a second)."""
MAX_ENTRIES = 512
"""Entries of which a leader remembers the texts; a follower lags by fewer, or gets them whole."""
HOLD_SECONDS = 0.02
"""Time for which a follower waits for a text: it was sent before the entry was proposed, on a link
that may be as slow as 15 Mbit/s (a text of 14 kB takes 7 ms there)."""
WHOLE_SECONDS = 0.5
"""Time for which a follower that lacked a text gets whole entries."""


class TextCache:
    """Texts that nodes have sent to a follower, the oldest dropped first."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._texts: OrderedDict[str, bytes] = OrderedDict()
        self._bytes = 0

    def put(self, turn_id: str, text: bytes) -> None:
        """Keep a text for a while."""
        before = self._texts.pop(turn_id, b"")
        self._texts[turn_id] = text
        self._bytes += len(text) - len(before)
        while self._bytes > MAX_CACHED_BYTES:
            _, oldest = self._texts.popitem(last=False)
            self._bytes -= len(oldest)

    def get(self, turn_id: str) -> bytes | None:
        """Return a text; None if it did not come or was dropped."""
        return self._texts.get(turn_id)


class CutEntries:
    """The entries of one leader whose texts followers have from elsewhere."""

    def __init__(self) -> None:
        """Know of none."""
        self._cuts: OrderedDict[int, EntryCuts] = OrderedDict()
        self._whole_until: dict[ReplicaId, float] = {}

    def note(self, index: int, term: int, command: bytes, turns: Iterable[KeptTurn]) -> None:
        """Note that followers have the texts of some turns of a proposed entry."""
        cuts: list[TextCut] = []
        end = 0
        for turn in turns:
            offset = command.find(turn.text, end)
            if offset >= 0:
                cuts.append(TextCut(offset, len(turn.text), turn.turn_id))
                end = offset + len(turn.text)
        if cuts:
            digest = xxhash.xxh3_128_digest(command)
            self._cuts[index] = EntryCuts(index, term, digest, tuple(cuts))
        while len(self._cuts) > MAX_ENTRIES:
            self._cuts.popitem(last=False)

    def clear(self) -> None:
        """Forget all, since another replica leads."""
        self._cuts.clear()

    def lacked(self, follower: ReplicaId, now: float) -> None:
        """Note that a follower did not have a text."""
        self._whole_until[follower] = now + WHOLE_SECONDS

    def cut(self, follower: ReplicaId, envelope: ReplicaMessage, now: float) -> ReplicaMessage:
        """Return a message for a follower without the texts that it has."""
        message = envelope.message
        if not isinstance(message, AppendEntries) or not self._cuts:
            return envelope
        if now < self._whole_until.get(follower, now):
            return envelope
        found = {item.index: item for item in map(self._cuts_of, message.entries) if item}
        if not found:
            return envelope
        entries = tuple(
            _without_texts(entry, found[entry.index]) if entry.index in found else entry
            for entry in message.entries
        )
        return ReplicaMessage(
            sender_address=envelope.sender_address,
            message=msgspec.structs.replace(message, entries=entries),
            cuts=tuple(found.values()),
        )

    def _cuts_of(self, entry: LogEntry) -> EntryCuts | None:
        cuts = self._cuts.get(entry.index)
        return cuts if cuts is not None and cuts.term == entry.term else None


class _Held(msgspec.Struct, frozen=True):
    sender: ReplicaId
    envelope: ReplicaMessage
    until: float


class CutMessages:
    """Messages that reach a follower without texts, in their order.

    Attributes:
        texts: What nodes have sent.
        restored: Entries put together so far.
        lacking: Messages dropped, since a text did not come.
    """

    def __init__(self) -> None:
        """Hold none."""
        self.texts = TextCache()
        self.restored = 0
        self.lacking = 0
        self._held: deque[_Held] = deque()

    def take(self, sender: ReplicaId, envelope: ReplicaMessage, now: float) -> None:
        """Take a message in; :meth:`ready` gives it out."""
        self._held.append(_Held(sender, envelope, now + HOLD_SECONDS))

    def ready(self, now: float) -> tuple[list[tuple[ReplicaId, ReplicaMessage]], list[ReplicaId]]:
        """Return the whole messages that may be stepped, and the senders of those dropped."""
        whole: list[tuple[ReplicaId, ReplicaMessage]] = []
        lacked: list[ReplicaId] = []
        while self._held:
            held = self._held[0]
            restored = self._restore(held.envelope)
            if restored is None and now < held.until:
                break
            self._held.popleft()
            if restored is None:
                self.lacking += 1
                lacked.append(held.sender)
            else:
                whole.append((held.sender, restored))
        return whole, lacked

    def next_deadline(self) -> float | None:
        """Return when the first held message has waited long enough."""
        return self._held[0].until if self._held else None

    def _restore(self, envelope: ReplicaMessage) -> ReplicaMessage | None:
        message = envelope.message
        if not envelope.cuts or not isinstance(message, AppendEntries):
            return envelope
        cuts = {item.index: item for item in envelope.cuts}
        entries: list[LogEntry] = []
        for entry in message.entries:
            whole = _with_texts(entry, cuts.get(entry.index), self.texts)
            if whole is None:
                return None
            entries.append(whole)
        self.restored += len(cuts)
        return ReplicaMessage(
            sender_address=envelope.sender_address,
            message=msgspec.structs.replace(message, entries=tuple(entries)),
        )


def _without_texts(entry: LogEntry, cuts: EntryCuts) -> LogEntry:
    parts: list[bytes] = []
    start = 0
    for cut in cuts.cuts:
        parts.append(entry.command[start : cut.offset])
        start = cut.offset + cut.size
    parts.append(entry.command[start:])
    return msgspec.structs.replace(entry, command=b"".join(parts))


def _with_texts(entry: LogEntry, cuts: EntryCuts | None, texts: TextCache) -> LogEntry | None:
    """Return the entry as its leader has it; None if a text is not there or another one."""
    if cuts is None:
        return entry
    parts: list[bytes] = []
    taken = 0
    filled = 0
    for cut in cuts.cuts:
        text = texts.get(cut.turn_id)
        if text is None or len(text) != cut.size:
            return None
        between = cut.offset - filled
        parts.extend((entry.command[taken : taken + between], text))
        taken += between
        filled = cut.offset + cut.size
    parts.append(entry.command[taken:])
    command = b"".join(parts)
    if xxhash.xxh3_128_digest(command) != cuts.digest:
        return None
    return msgspec.structs.replace(entry, command=command)
