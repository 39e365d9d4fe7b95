"""Replicates texts of retained turns from their nodes to the followers, past the leader.

Sending every text to all followers takes most of the leader's link when turns are long. At high
utilization, the leader asks nodes to send the texts to the followers as well (:class:`TextCopy`),
and strips them from the log entries that it sends. Followers insert the texts again and verify a
checksum of the entry. A follower that lacks a text reports it and receives complete entries for a
while. The log itself is unaffected.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable

import msgspec
import xxhash

from yokeline.consensus.messages import AppendEntries, LogEntry
from yokeline.identifiers import ReplicaId
from yokeline.ledger.messages import ReplicaMessage, StrippedTexts, TextSpan
from yokeline.ledger.operations import KeptTurn

MIN_TEXT_BYTES = 512
"""Shorter texts are sent with their entry; a separate message costs about as much."""
MAX_CACHED_BYTES = 8 * 1024 * 1024
"""Bytes of texts that a follower caches for entries that have not arrived yet; some seconds of a
busy deployment. The busiest measured deployment wrote 1.2 MB per second."""
MAX_TRACKED_ENTRIES = 512
"""Entries whose texts a leader can strip; a follower that lags further behind gets them
complete."""
MISSING_TEXT_WAIT_SECONDS = 0.02
"""Time for which a follower waits for a missing text, which was sent before its entry was proposed;
covers the transmission of a long text over a slow link. A text of 14 kB takes 7 ms at 15 Mbit/s."""
FULL_ENTRIES_SECONDS = 0.5
"""Time for which a follower that lacked a text gets complete entries."""


class TextCache:
    """Texts received by a follower; the oldest are evicted first."""

    def __init__(self) -> None:
        """Create an empty cache."""
        self._texts: OrderedDict[str, bytes] = OrderedDict()
        self._bytes = 0

    def put(self, turn_id: str, text: bytes) -> None:
        """Cache a text."""
        before = self._texts.pop(turn_id, b"")
        self._texts[turn_id] = text
        self._bytes += len(text) - len(before)
        while self._bytes > MAX_CACHED_BYTES:
            _, oldest = self._texts.popitem(last=False)
            self._bytes -= len(oldest)

    def get(self, turn_id: str) -> bytes | None:
        """Return a text; None if it has not arrived or was evicted."""
        return self._texts.get(turn_id)


class TextStripper:
    """Strips texts from the entries that a leader sends."""

    def __init__(self) -> None:
        """Create a stripper without known texts."""
        self._stripped: OrderedDict[int, StrippedTexts] = OrderedDict()
        self._full_entries_until: dict[ReplicaId, float] = {}

    def note(self, index: int, term: int, command: bytes, turns: Iterable[KeptTurn]) -> None:
        """Note a proposed entry, and the turns whose texts followers receive from their node."""
        cuts: list[TextSpan] = []
        end = 0
        for turn in turns:
            offset = command.find(turn.text, end)
            if offset >= 0:
                cuts.append(TextSpan(offset, len(turn.text), turn.turn_id))
                end = offset + len(turn.text)
        if cuts:
            digest = xxhash.xxh3_128_digest(command)
            self._stripped[index] = StrippedTexts(index, term, digest, tuple(cuts))
        while len(self._stripped) > MAX_TRACKED_ENTRIES:
            self._stripped.popitem(last=False)

    def clear(self) -> None:
        """Forget all entries, because another replica leads."""
        self._stripped.clear()

    def note_missing(self, follower: ReplicaId, now: float) -> None:
        """Note that a follower lacked a text."""
        self._full_entries_until[follower] = now + FULL_ENTRIES_SECONDS

    def strip(self, follower: ReplicaId, envelope: ReplicaMessage, now: float) -> ReplicaMessage:
        """Return a message without the texts that the follower has received."""
        message = envelope.message
        if not isinstance(message, AppendEntries) or not self._stripped:
            return envelope
        if now < self._full_entries_until.get(follower, now):
            return envelope
        stripped = {item.index: item for item in map(self._stripped_texts, message.entries) if item}
        if not stripped:
            return envelope
        entries = tuple(
            _strip_texts(entry, stripped[entry.index]) if entry.index in stripped else entry
            for entry in message.entries
        )
        return ReplicaMessage(
            sender_address=envelope.sender_address,
            message=msgspec.structs.replace(message, entries=entries),
            cuts=tuple(stripped.values()),
        )

    def _stripped_texts(self, entry: LogEntry) -> StrippedTexts | None:
        cuts = self._stripped.get(entry.index)
        return cuts if cuts is not None and cuts.term == entry.term else None


class _PendingMessage(msgspec.Struct, frozen=True):
    sender: ReplicaId
    envelope: ReplicaMessage
    until: float


class TextRestorer:
    """Restores messages without texts, in order of arrival.

    Attributes:
        texts: The texts received from nodes.
        restored: Entries restored so far.
        incomplete: Messages dropped because a text was missing.
    """

    def __init__(self) -> None:
        """Create a restorer without messages."""
        self.texts = TextCache()
        self.restored = 0
        self.incomplete = 0
        self._pending: deque[_PendingMessage] = deque()

    def take(self, sender: ReplicaId, envelope: ReplicaMessage, now: float) -> None:
        """Queue a message for :meth:`ready`."""
        self._pending.append(_PendingMessage(sender, envelope, now + MISSING_TEXT_WAIT_SECONDS))

    def ready(self, now: float) -> tuple[list[tuple[ReplicaId, ReplicaMessage]], list[ReplicaId]]:
        """Return the complete messages, and the senders of dropped ones."""
        complete: list[tuple[ReplicaId, ReplicaMessage]] = []
        dropped_senders: list[ReplicaId] = []
        while self._pending:
            pending = self._pending[0]
            restored = self._restore(pending.envelope)
            if restored is None and now < pending.until:
                break
            self._pending.popleft()
            if restored is None:
                self.incomplete += 1
                dropped_senders.append(pending.sender)
            else:
                complete.append((pending.sender, restored))
        return complete, dropped_senders

    def next_deadline(self) -> float | None:
        """Return when the first queued message expires."""
        return self._pending[0].until if self._pending else None

    def _restore(self, envelope: ReplicaMessage) -> ReplicaMessage | None:
        message = envelope.message
        if not envelope.cuts or not isinstance(message, AppendEntries):
            return envelope
        cuts = {item.index: item for item in envelope.cuts}
        entries: list[LogEntry] = []
        for entry in message.entries:
            complete = _insert_texts(entry, cuts.get(entry.index), self.texts)
            if complete is None:
                return None
            entries.append(complete)
        self.restored += len(cuts)
        return ReplicaMessage(
            sender_address=envelope.sender_address,
            message=msgspec.structs.replace(message, entries=tuple(entries)),
        )


def _strip_texts(entry: LogEntry, cuts: StrippedTexts) -> LogEntry:
    parts: list[bytes] = []
    start = 0
    for span in cuts.cuts:
        parts.append(entry.command[start : span.offset])
        start = span.offset + span.size
    parts.append(entry.command[start:])
    return msgspec.structs.replace(entry, command=b"".join(parts))


def _insert_texts(entry: LogEntry, cuts: StrippedTexts | None, texts: TextCache) -> LogEntry | None:
    """Return the leader's entry; None if a text is missing or does not match the checksum."""
    if cuts is None:
        return entry
    parts: list[bytes] = []
    taken = 0
    filled = 0
    for span in cuts.cuts:
        text = texts.get(span.turn_id)
        if text is None or len(text) != span.size:
            return None
        between = span.offset - filled
        parts.extend((entry.command[taken : taken + between], text))
        taken += between
        filled = span.offset + span.size
    parts.append(entry.command[taken:])
    command = b"".join(parts)
    if xxhash.xxh3_128_digest(command) != cuts.digest:
        return None
    return msgspec.structs.replace(entry, command=command)
