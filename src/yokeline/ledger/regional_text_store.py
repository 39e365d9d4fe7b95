"""The regional texts on one storage node: its file, answers to reads and writes, and repair.

Each node that has a text sees to it that the nodes that are to store it have it too. So a text is
copied again when a disk is lost, when a node retires, and when a silent node is back, without a
leader. See :mod:`yokeline.ledger.regional_texts`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
from returns.result import Failure, Result, Success

from yokeline.effects import Address, Effect, SendPeer, SyncFile
from yokeline.errors import ErrorKind, YokelineError
from yokeline.identifiers import ReplicaId
from yokeline.ledger.disk_records import FRAME_BYTES, framed, payload_at
from yokeline.ledger.messages import (
    RegionalText,
    StoreText,
    TextAsk,
    TextOffer,
    TextOfferReply,
    TextReply,
    TextStored,
)
from yokeline.ledger.regional_texts import COPIES, TextNode, nodes_in, ranked
from yokeline.messages.structs import decode_struct, encode_struct

TEXTS_FILE = "regional-texts.log"
MEBIBYTE = 1024 * 1024
MAX_STORED_BYTES = 64 * MEBIBYTE
"""Bytes of texts that a node stores, in memory and on its disk; it takes no further ones."""
MEMORY_SHARE = 0.25
"""Share of a process's memory for texts, if that is less; the ledger's state needs the rest."""
EXPIRY_PERIOD_SECONDS = 5.0
REPAIR_PERIOD_SECONDS = 1.0
REPAIR_DELAY_SECONDS = 2.0
"""Age from which on a text's copies are checked; by then its writer has stored them all."""
REPAIR_TIMEOUT_SECONDS = 2.0
PROBE_SECONDS = 2.0
"""Time without an answer of a node after which it is asked whether it is there."""
ABSENT_SECONDS = 6.0
"""Time without an answer after which a node counts as absent and another node of the regions gets
its copies; longer than the restart of a machine."""
REFUSED_SECONDS = 5.0
"""Time for which a node that refused a copy, because it is full, is not asked again."""
EXPIRY_TOLERANCE_SECONDS = 5.0
"""Difference between the expiries of two copies that is not worth a write."""
MAX_OFFERED_TEXTS = 256
MAX_REPAIR_BYTES = MEBIBYTE
"""Bytes of texts sent to one node per repair, so that turns' writes are not delayed."""
NUMBERS_PER_SECOND = 1000
"""Numbers of questions begin at the time of the start in milliseconds; more are never asked."""
MIN_COMPACT_BYTES = 4 * MEBIBYTE
DEFER_FACTOR = 2.0
MAX_DEAD_SECONDS = 600.0
"""Time for which an expired text may remain in the file; nothing reads it any more."""


class TextRecord(msgspec.Struct, frozen=True, tag="text"):
    """A text and when it may be deleted (seconds since the epoch)."""

    text: RegionalText
    expires: float


class ExtendRecord(msgspec.Struct, frozen=True, tag="extend"):
    """Texts that are to be kept longer, because their chain was continued."""

    turn_ids: tuple[str, ...]
    expires: float


TextFileRecord = TextRecord | ExtendRecord


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    record: TextFileRecord


class RecoveredTexts(msgspec.Struct, kw_only=True):
    """Contents of a file of texts.

    Attributes:
        valid_bytes: Length of the complete records; the rest is to be truncated.
    """

    texts: dict[str, TextRecord] = {}
    valid_bytes: int = 0


def encode_text_record(record: TextFileRecord) -> bytes:
    """Return the encoded record."""
    return framed(encode_struct(_Envelope(record)))


def recover_texts(data: bytes) -> Result[RecoveredTexts, YokelineError]:
    """Return the contents of a file of texts; a failure means that another release wrote it."""
    found = RecoveredTexts()
    while (payload := payload_at(data, found.valid_bytes)) is not None:
        read = decode_struct(payload, _Envelope)
        if not isinstance(read, Success):
            return Failure(_unreadable(found.valid_bytes, read.failure()))
        record = read.unwrap().record
        if isinstance(record, TextRecord):
            found.texts[record.text.turn_id] = record
        else:
            for turn_id in record.turn_ids:
                _extend(found.texts, turn_id, record.expires)
        found.valid_bytes += FRAME_BYTES + len(payload)
    return Success(found)


def _extend(texts: dict[str, TextRecord], turn_id: str, expires: float) -> None:
    known = texts.get(turn_id)
    if known is not None and known.expires < expires:
        texts[turn_id] = msgspec.structs.replace(known, expires=expires)


class _Stored(msgspec.Struct, kw_only=True):
    """A text of this node.

    Attributes:
        since: When it was stored (monotonic seconds).
        bytes: Size of its record.
        is_synced: It is on the disk.
        confirmed: Other replicas that have it on their disks.
        waiting: Requests to be answered once it is on the disk.
    """

    record: TextRecord
    since: float
    bytes: int
    is_synced: bool = True
    confirmed: set[ReplicaId] = msgspec.field(default_factory=set)
    waiting: list[tuple[ReplicaId, Address, int]] = msgspec.field(default_factory=list)


class _Question(msgspec.Struct, frozen=True):
    """An offer, or a text sent for repair, that was not answered yet."""

    to: TextNode
    turn_ids: tuple[str, ...]
    asked_at: float


class RegionalTextStore:
    """The texts of one storage node; a state machine without I/O.

    Attributes:
        counts: Texts by what happened to them.
        defers_compaction: The file may grow to twice its usual limit, since rewriting it would
            delay the log of a replica that leads.
    """

    def __init__(
        self,
        *,
        replica: ReplicaId,
        address: Address,
        region: str,
        recovered: RecoveredTexts,
        wall: Callable[[], float],
        now: float,
        memory_mb: float = 0.0,
    ) -> None:
        """Start from a recovered file.

        ``wall`` returns seconds since the epoch; ``memory_mb`` is the memory of the process in
        megabytes, 0 if not known.
        """
        self.counts: Counter[str] = Counter()
        self.defers_compaction = False
        self._max_bytes = MAX_STORED_BYTES
        if memory_mb:
            own_share = int(MEMORY_SHARE * memory_mb * MEBIBYTE)
            self._max_bytes = min(MAX_STORED_BYTES, own_share)
        self._replica = replica
        self._address = address
        self._region = region
        self._wall = wall
        self._texts = {
            turn_id: _Stored(record=record, since=now, bytes=len(encode_text_record(record)))
            for turn_id, record in recovered.texts.items()
            # A machine that was moved to another region must not keep its texts.
            if not region or region in record.text.regions
        }
        self._live_bytes = sum(item.bytes for item in self._texts.values())
        self._file_bytes = recovered.valid_bytes
        self._dead_since: float | None = None
        self._ticket = 0
        self._unsynced: dict[int, list[str]] = {}
        self._nodes: tuple[TextNode, ...] = ()
        self._is_retiring = False
        self._heard_at: dict[ReplicaId, float] = {}
        self._refused_until: dict[ReplicaId, float] = {}
        self._present: tuple[TextNode, ...] = ()
        self._unchecked: set[str] = set(self._texts)
        self._questions: dict[int, _Question] = {}
        # A late answer to an earlier process with this disk must not confirm another text.
        self._last_number = int(wall() * NUMBERS_PER_SECOND)
        self._round = 0
        self._next_expiry = now
        self._next_repair = now

    # ------------------------------------------------------------ status

    @property
    def is_empty(self) -> bool:
        """Whether the node stores no text."""
        return not self._texts

    @property
    def is_needed(self) -> bool:
        """Whether a text would have too few copies without this node.

        A node that retires is needed until the nodes that are to store its texts have confirmed
        each of them; one that does not retire is needed while it has texts.
        """
        return bool(self._unchecked) if self._is_retiring else not self.is_empty

    def gauges(self) -> dict[str, float]:
        """Return the gauges, by metric name; none for a node that never had a text."""
        if self.is_empty and not self._file_bytes:
            return {}
        return {
            "yokeline_ledger_regional_texts": float(len(self._texts)),
            "yokeline_ledger_regional_text_bytes": float(self._live_bytes),
            "yokeline_ledger_regional_texts_unchecked": float(len(self._unchecked)),
        }

    def set_nodes(self, nodes: Iterable[TextNode]) -> None:
        """Set the storage nodes as the key-value service lists them."""
        self._nodes = tuple(sorted(nodes, key=lambda node: node.name))
        own = next((node for node in self._nodes if node.replica == self._replica), None)
        is_retiring = own is not None and own.is_retiring
        if is_retiring and not self._is_retiring:
            self._unchecked = set(self._texts)
        self._is_retiring = is_retiring

    # ------------------------------------------------------------ messages

    def handle(self, sender: ReplicaId, message: msgspec.Struct, now: float) -> list[Effect] | None:
        """Handle a message about regional texts; None for any other message."""
        if sender in self._heard_at:
            self._heard_at[sender] = now
        if isinstance(message, StoreText):
            return self._store(sender, message, now)
        if isinstance(message, TextAsk):
            return self._send_texts(sender, message)
        if isinstance(message, TextOffer):
            return [self._answer_offer(sender, message)]
        if isinstance(message, TextOfferReply):
            return self._send_lacking(message, now)
        if isinstance(message, TextStored):
            return self._note_copied(message, now)
        return None

    def _store(self, sender: ReplicaId, message: StoreText, now: float) -> list[Effect]:
        text = message.text
        known = self._texts.get(text.turn_id)
        asker = (sender, message.asker, message.number)
        if known is not None:
            return self._store_again(known, message, asker)
        record = TextRecord(text, self._wall() + message.seconds_left)
        data = encode_text_record(record)
        if not self._may_store(text, len(data)):
            self.counts["refused"] += 1
            return [_stored_reply(asker, is_stored=False)]
        item = _Stored(record=record, since=now, bytes=len(data), is_synced=False, waiting=[asker])
        self._texts[text.turn_id] = item
        self._unchecked.add(text.turn_id)
        self._live_bytes += len(data)
        self.counts["stored"] += 1
        extended = self._extend_chain(text.previous, record.expires)
        if extended:
            data += encode_text_record(ExtendRecord(extended, record.expires))
        return [self._append(data, [text.turn_id])]

    def _store_again(
        self, known: _Stored, message: StoreText, asker: tuple[ReplicaId, Address, int]
    ) -> list[Effect]:
        """Answer a request for a text that this node has, and keep the text longer if asked to."""
        known.waiting.append(asker)
        expires = self._wall() + message.seconds_left
        if known.record.expires < expires - EXPIRY_TOLERANCE_SECONDS:
            turn_id = message.text.turn_id
            known.record = msgspec.structs.replace(known.record, expires=expires)
            data = encode_text_record(ExtendRecord((turn_id,), expires))
            return [self._append(data, [turn_id])]
        return self._answer_waiting(known) if known.is_synced else []

    def _may_store(self, text: RegionalText, size: int) -> bool:
        """Return whether this node may take a text; the sender may know other regions of it."""
        is_allowed = bool(self._region) and self._region in text.regions
        has_space = self._live_bytes + size <= self._max_bytes
        return is_allowed and has_space and not self._is_retiring

    def _extend_chain(self, turn_id: str, expires: float) -> tuple[str, ...]:
        """Keep the earlier turns of a chain as long as the latest one; return those extended.

        The other nodes that are to store the chain do the same when they get the latest turn.
        """
        extended: list[str] = []
        item = self._texts.get(turn_id)
        while item is not None:
            if item.record.expires < expires:
                item.record = msgspec.structs.replace(item.record, expires=expires)
                extended.append(item.record.text.turn_id)
            item = self._texts.get(item.record.text.previous)
        return tuple(extended)

    def _send_texts(self, sender: ReplicaId, message: TextAsk) -> list[Effect]:
        texts = tuple(self._texts[item].record.text for item in message.turn_ids if self._has(item))
        self.counts["read"] += len(texts)
        reply = TextReply(number=message.number, texts=texts)
        return [SendPeer(to=sender, address=message.asker, message=reply)]

    def _answer_offer(self, sender: ReplicaId, offer: TextOffer) -> Effect:
        lacking = tuple(
            turn_id
            for turn_id, seconds in zip(offer.turn_ids, offer.seconds_left, strict=False)
            if not self._has(turn_id)
            or self._seconds_left(turn_id) < seconds - EXPIRY_TOLERANCE_SECONDS
        )
        reply = TextOfferReply(number=offer.number, lacking=lacking)
        return SendPeer(to=sender, address=offer.asker, message=reply)

    def _seconds_left(self, turn_id: str) -> float:
        return self._texts[turn_id].record.expires - self._wall()

    def _has(self, turn_id: str) -> bool:
        """Return whether a text is on the disk and has not expired."""
        item = self._texts.get(turn_id)
        return item is not None and item.is_synced and item.record.expires > self._wall()

    # ------------------------------------------------------------ disk

    def _append(self, data: bytes, turn_ids: list[str]) -> SyncFile:
        """Return a write; its tickets are negative, unlike those of the replica's log."""
        self._ticket -= 1
        self._unsynced[self._ticket] = turn_ids
        self._file_bytes += len(data)
        return SyncFile(ticket=self._ticket, name=TEXTS_FILE, data=data)

    def synced(self, ticket: int) -> list[Effect]:
        """Answer the requests whose texts are on the disk now."""
        effects: list[Effect] = []
        for turn_id in self._unsynced.pop(ticket, []):
            item = self._texts.get(turn_id)
            if item is not None:
                item.is_synced = True
                effects.extend(self._answer_waiting(item))
        return effects

    def _answer_waiting(self, item: _Stored) -> list[Effect]:
        waiting, item.waiting = item.waiting, []
        return [_stored_reply(asker, is_stored=True) for asker in waiting]

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due; None while the node has no texts."""
        if self.is_empty and not self._file_bytes:
            return None
        return min(self._next_expiry, self._next_repair)

    def tick(self, now: float) -> list[Effect]:
        """Delete expired texts, and check the copies of the others."""
        if self.is_empty and not self._file_bytes:
            return []
        effects: list[Effect] = []
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD_SECONDS
            effects.extend(self._expire(now))
        if now >= self._next_repair:
            self._next_repair = now + REPAIR_PERIOD_SECONDS
            effects.extend(self._repair(now))
        return effects

    def _expire(self, now: float) -> list[Effect]:
        wall = self._wall()
        for turn_id in [item for item, text in self._texts.items() if text.record.expires < wall]:
            self._live_bytes -= self._texts.pop(turn_id).bytes
            self._unchecked.discard(turn_id)
            self.counts["expired"] += 1
        dead = self._file_bytes - self._live_bytes
        if dead <= 0:
            self._dead_since = None
            return []
        self._dead_since = now if self._dead_since is None else self._dead_since
        factor = DEFER_FACTOR if self.defers_compaction else 1.0
        is_old = now - self._dead_since >= factor * MAX_DEAD_SECONDS
        is_large = dead >= factor * max(MIN_COMPACT_BYTES, self._live_bytes)
        if not is_old and not is_large and not self.is_empty:
            return []
        return [self._compact()]

    def _compact(self) -> SyncFile:
        """Return a write that replaces the file by the texts that have not expired."""
        parts: list[bytes] = []
        for item in self._texts.values():
            data = encode_text_record(item.record)
            self._live_bytes += len(data) - item.bytes
            item.bytes = len(data)
            parts.append(data)
        self._ticket -= 1
        self._unsynced[self._ticket] = []
        self._file_bytes = self._live_bytes
        self._dead_since = None
        return SyncFile(ticket=self._ticket, name=TEXTS_FILE, data=b"".join(parts), replace=True)

    # ------------------------------------------------------------ repair

    def _repair(self, now: float) -> list[Effect]:
        """Offer texts to the nodes that are to store them and have not confirmed them."""
        self._expire_questions(now)
        effects = self._probe(now)
        present = tuple(node for node in self._nodes if self._is_present(node, now))
        if present != self._present:
            self._present = present
            self._unchecked = set(self._texts)
        self._round += 1
        offers: dict[ReplicaId, tuple[TextNode, list[str]]] = {}
        places: dict[tuple[str, tuple[str, ...]], list[TextNode]] = {}
        for turn_id in sorted(self._unchecked):
            item = self._texts[turn_id]
            if not item.is_synced or now - item.since < REPAIR_DELAY_SECONDS:
                continue
            text = item.record.text
            key = (text.root, text.regions)
            if key not in places:
                places[key] = ranked(nodes_in(present, text.regions), text.root)[:COPIES]
            for node in self._unconfirmed(turn_id, item, places[key]):
                offers.setdefault(node.replica, (node, []))[1].append(turn_id)
        asked = {question.to.replica for question in self._questions.values()}
        effects.extend(
            self._offer(node, tuple(turn_ids[:MAX_OFFERED_TEXTS]), now)
            for node, turn_ids in offers.values()
            if node.replica not in asked
        )
        return effects

    def _probe(self, now: float) -> list[Effect]:
        """Ask the nodes of the texts' regions that were not heard of, by offers without texts.

        A lost machine is noticed in no other way: its record stays, and its copies were confirmed.
        """
        regions = {item for text in self._texts.values() for item in text.record.text.regions}
        others = [item for item in nodes_in(self._nodes, regions) if item.replica != self._replica]
        self._heard_at = {item.replica: self._heard_at.get(item.replica, now) for item in others}
        return [
            self._offer(node, (), now)
            for node in others
            if now - self._heard_at[node.replica] >= PROBE_SECONDS
        ]

    def _is_present(self, node: TextNode, now: float) -> bool:
        is_heard = now - self._heard_at.get(node.replica, now) < ABSENT_SECONDS
        is_refusing = now < self._refused_until.get(node.replica, now)
        return is_heard and not is_refusing and not node.is_retiring

    def _unconfirmed(self, turn_id: str, item: _Stored, places: list[TextNode]) -> list[TextNode]:
        """Return the nodes to offer a text to now; a text with all its copies is checked.

        The nodes that are to store a text offer it in turn, so that a lost copy is replaced once.
        """
        others = [node for node in places if node.replica != self._replica]
        lacking = [node for node in others if node.replica not in item.confirmed]
        if places and not lacking:
            self._unchecked.discard(turn_id)
            return []
        own = next((i for i, node in enumerate(places) if node.replica == self._replica), None)
        is_turn = own is None or self._round % COPIES == own
        return lacking if is_turn else []

    def _offer(self, node: TextNode, turn_ids: tuple[str, ...], now: float) -> Effect:
        number = self._ask(node, turn_ids, now)
        offer = TextOffer(
            number=number,
            asker=self._address,
            turn_ids=turn_ids,
            seconds_left=tuple(self._seconds_left(turn_id) for turn_id in turn_ids),
        )
        return SendPeer(to=node.replica, address=node.address, message=offer)

    def _send_lacking(self, reply: TextOfferReply, now: float) -> list[Effect]:
        """Note the copies that a node has, and send it the texts that it lacks."""
        question = self._questions.pop(reply.number, None)
        if question is None:
            return []
        effects: list[Effect] = []
        sent = 0
        for turn_id in question.turn_ids:
            item = self._texts.get(turn_id)
            if item is None:
                continue
            if turn_id not in reply.lacking:
                item.confirmed.add(question.to.replica)
            elif sent < MAX_REPAIR_BYTES:
                sent += item.bytes
                effects.append(self._copy(question.to, item, now))
        return effects

    def _copy(self, node: TextNode, item: _Stored, now: float) -> Effect:
        self.counts["copied"] += 1
        message = StoreText(
            number=self._ask(node, (item.record.text.turn_id,), now),
            asker=self._address,
            text=item.record.text,
            seconds_left=self._seconds_left(item.record.text.turn_id),
        )
        return SendPeer(to=node.replica, address=node.address, message=message)

    def _note_copied(self, answer: TextStored, now: float) -> list[Effect]:
        question = self._questions.pop(answer.number, None)
        if question is None:
            return []
        if not answer.is_stored:
            self._refused_until[question.to.replica] = now + REFUSED_SECONDS
            return []
        for turn_id in question.turn_ids:
            if turn_id in self._texts:
                self._texts[turn_id].confirmed.add(question.to.replica)
        return []

    def _ask(self, node: TextNode, turn_ids: tuple[str, ...], now: float) -> int:
        self._last_number += 1
        self._questions[self._last_number] = _Question(node, turn_ids, now)
        return self._last_number

    def _expire_questions(self, now: float) -> None:
        """Forget questions that were not answered in time, so that they are asked again."""
        self._questions = {
            number: question
            for number, question in self._questions.items()
            if now - question.asked_at < REPAIR_TIMEOUT_SECONDS
        }
        self._refused_until = {
            replica: until for replica, until in self._refused_until.items() if now < until
        }


def _stored_reply(asker: tuple[ReplicaId, Address, int], *, is_stored: bool) -> SendPeer:
    replica, address, number = asker
    reply = TextStored(number=number, is_stored=is_stored)
    return SendPeer(to=replica, address=address, message=reply)


def _unreadable(offset: int, error: YokelineError) -> YokelineError:
    return YokelineError(
        kind=ErrorKind.BAD_SETTING,
        message=f"{TEXTS_FILE} cannot be decoded at byte {offset}: {error.message}",
        remedy="start the release that wrote it, or empty the data folder to join as a new member",
    )
