"""Texts of turns that are bound to regions: where they are stored, and a node's access to them.

The ledger is one group over all regions, so the entry of such a turn has a mark and a digest in
place of the text. The text itself is stored by storage nodes of the allowed regions, which any
storage node can be, whether or not it is a member of the group.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec
import xxhash
from returns.result import Success

from yokeline.effects import Address, Effect, SendPeer
from yokeline.identifiers import NodeName, ReplicaId
from yokeline.ledger.messages import RegionalText, StoreText, TextAsk, TextReply, TextStored
from yokeline.messages.structs import decode_struct, encode_struct

COPIES = 3
"""Storage nodes on whose disks a text is synced before its turn is acknowledged, so that it
survives the loss of two disks."""
MIN_COPIES = 2
"""Least number of copies while further storage nodes of the regions do not answer: one more disk
may be lost until the silent node is back and gets its copy."""
STORE_TIMEOUT_SECONDS = 0.4
"""Time for a storage node to sync a text; includes a round trip between regions (24 ms)."""
FETCH_TIMEOUT_SECONDS = 0.2
"""Time for a storage node to send texts before the next one is asked."""
PROBE_SECONDS = 1.0
"""Time between questions to a storage node that did not answer; it is asked last until it does."""
REFUSED_SECONDS = 3.0
"""Time for which a storage node that refused a text, because it is full, gets no other."""
EXPIRY_SLACK_SECONDS = 60.0
"""Retention beyond the requested one, longer than that of the ledger's entry, so that an entry
never outlives its text."""

_MARK = b"\x00\xffyokeline/regional-text\x00"
"""Begins the text of an entry whose text is stored regionally. Releases that do not know it pass it
on unchanged, unlike an additional field."""


class RegionalMark(msgspec.Struct, frozen=True, array_like=True):
    """What an entry holds of a text that is stored regionally.

    Attributes:
        digest: SHA-256 of the text.
        size: Length of the text in bytes.
        regions: Regions whose storage nodes may store the text.
    """

    digest: bytes
    size: int
    regions: tuple[str, ...]

    def matches(self, text: bytes) -> bool:
        """Return whether a text is the one that was stored."""
        return len(text) == self.size and digest_of(text) == self.digest


def digest_of(text: bytes) -> bytes:
    """Return the digest of a text."""
    return hashlib.sha256(text).digest()


def marked(text: bytes, regions: Iterable[str]) -> bytes:
    """Return what the ledger holds in place of a text."""
    mark = RegionalMark(digest_of(text), len(text), tuple(sorted(regions)))
    return _MARK + encode_struct(mark)


def mark_of(text: bytes) -> RegionalMark | None:
    """Return the mark in the text of a ledger entry; None if it is the text itself.

    A caller whose text begins like a mark gets a mark of its own turn: no such text is stored, so
    that its chain cannot be continued, and nothing else can be read by it.
    """
    if not text.startswith(_MARK):
        return None
    read = decode_struct(text[len(_MARK) :], RegionalMark)
    return read.unwrap() if isinstance(read, Success) else None


# ---------------------------------------------------------------- placement


class TextNode(msgspec.Struct, frozen=True, kw_only=True):
    """A storage node as a place of texts.

    Attributes:
        replica: Id of its disk; a node whose disk is lost returns under another id.
        region: Its region; empty if not known.
        is_retiring: It gets no further texts.
    """

    name: NodeName
    replica: ReplicaId
    address: Address
    region: str
    is_retiring: bool = False


def nodes_in(nodes: Iterable[TextNode], regions: Iterable[str]) -> list[TextNode]:
    """Return the nodes in some regions; a node without a known region is in none."""
    allowed = frozenset(regions) - {""}
    return [node for node in nodes if node.region in allowed]


def ranked(nodes: Iterable[TextNode], root: str) -> list[TextNode]:
    """Return nodes in the order in which they store the texts of a chain (rendezvous hashing).

    The order is by the root of the chain, so that one node has all texts of a chain, and by names,
    so that it does not change with disks and restarts.
    """
    return sorted(nodes, key=lambda node: (_weight(node.name, root), node.name))


def _weight(name: str, root: str) -> int:
    return xxhash.xxh32_intdigest(f"{root}/{name}".encode(errors="surrogatepass"))


# ---------------------------------------------------------------- access of a forwarding node

StoreDone = Callable[[int, float], list[Effect]]
"""Called with the number of copies that are on disks and the time; 0 if too few are."""
FetchDone = Callable[[dict[str, bytes], float], list[Effect]]
"""Called with the texts found, by turn, and the time."""


class _Store(msgspec.Struct, kw_only=True):
    """A text that is being stored.

    Attributes:
        waiting: When each node that has not answered was last asked.
        failed: Nodes that did not answer in time, or do not store the text.
    """

    text: RegionalText
    seconds: float
    done: StoreDone
    give_up_at: float
    waiting: dict[NodeName, float] = msgspec.field(default_factory=dict)
    stored: set[NodeName] = msgspec.field(default_factory=set)
    failed: set[NodeName] = msgspec.field(default_factory=set)


class _Fetch(msgspec.Struct, kw_only=True):
    """Texts that are being read.

    Attributes:
        wanted: Marks of the texts that are still missing, by turn.
        remaining: Nodes that were not asked yet, in order.
        asked_at: When the current node was asked.
    """

    wanted: dict[str, RegionalMark]
    found: dict[str, bytes]
    remaining: list[TextNode]
    done: FetchDone
    give_up_at: float
    current: TextNode | None = None
    asked_at: float = 0.0


class RegionalTexts:
    """Reads and writes of regional texts of one forwarding node; a state machine without I/O.

    Attributes:
        counts: Reads and writes by outcome.
    """

    def __init__(self, own_address: Address, region: str = "") -> None:
        """Receive answers at ``own_address``; nodes of ``region`` are asked first."""
        self.counts: Counter[str] = Counter()
        self._own_address = own_address
        self._region = region
        self._nodes: dict[NodeName, TextNode] = {}
        self._next_probe: dict[NodeName, float] = {}
        self._refused_until: dict[NodeName, float] = {}
        self._stores: dict[int, _Store] = {}
        self._fetches: dict[int, _Fetch] = {}
        self._last_number = 0

    def set_nodes(self, nodes: Iterable[TextNode]) -> None:
        """Set the known storage nodes."""
        self._nodes = {node.name: node for node in nodes}
        self._next_probe = {
            name: due for name, due in self._next_probe.items() if name in self._nodes
        }
        self._refused_until = {
            name: until for name, until in self._refused_until.items() if name in self._nodes
        }

    def storage_nodes(self, regions: Iterable[str]) -> int:
        """Return how many storage nodes of some regions take texts."""
        return len(self._places(regions))

    def can_store(self, regions: Iterable[str], now: float) -> bool:
        """Return whether enough storage nodes of some regions answer, as far as is known."""
        places = self._places(regions)
        answering = [node for node in places if not self._is_silent(node, now)]
        return len(answering) >= max(1, min(MIN_COPIES, len(places)))

    # ------------------------------------------------------------ writes

    def store(
        self, text: RegionalText, seconds: float, done: StoreDone, now: float, give_up_at: float
    ) -> list[Effect]:
        """Store a text for some seconds; ``done`` is called once."""
        self._last_number += 1
        item = _Store(text=text, seconds=seconds, done=done, give_up_at=give_up_at)
        self._stores[self._last_number] = item
        return self._continue_store(self._last_number, item, now)

    def take_stored(self, sender: ReplicaId, answer: TextStored, now: float) -> list[Effect]:
        """Handle a storage node's answer to a write."""
        item = self._stores.get(answer.number)
        name = self._note_answer(sender)
        if item is None or name is None:
            return []
        item.waiting.pop(name, None)
        if answer.is_stored:
            item.stored.add(name)
        else:
            self._refused_until[name] = now + REFUSED_SECONDS
            item.failed.add(name)
        return self._continue_store(answer.number, item, now)

    def _continue_store(self, number: int, item: _Store, now: float) -> list[Effect]:
        """End a write with enough copies, or ask the next nodes."""
        places = ranked(self._places(item.text.regions), item.text.root)
        usable = [node for node in places if node.name not in item.failed]
        answering = [node for node in usable if not self._is_silent(node, now)]
        target = min(COPIES, max(len(answering), min(MIN_COPIES, len(places))))
        if places and len(item.stored) >= target:
            return self._end_store(number, item, len(item.stored), now)
        effects: list[Effect] = []
        for node in [*answering, *(node for node in usable if node not in answering)]:
            if len(item.stored) + len(item.waiting) >= target:
                break
            if node.name in item.stored or node.name in item.waiting:
                continue
            item.waiting[node.name] = now
            message = StoreText(
                number=number, asker=self._own_address, text=item.text, seconds_left=item.seconds
            )
            effects.append(SendPeer(to=node.replica, address=node.address, message=message))
        return effects

    def _end_store(self, number: int, item: _Store, copies: int, now: float) -> list[Effect]:
        del self._stores[number]
        outcome = "failed" if not copies else "stored" if copies >= COPIES else "stored_fewer"
        self.counts[outcome] += 1
        return item.done(copies, now)

    # ------------------------------------------------------------ reads

    def fetch(
        self,
        wanted: Mapping[str, RegionalMark],
        root: str,
        regions: Iterable[str],
        done: FetchDone,
        now: float,
        give_up_at: float,
    ) -> list[Effect]:
        """Read the texts of turns of one chain from storage nodes of some regions."""
        nodes = ranked(nodes_in(self._nodes.values(), regions), root)
        first, others = nodes[:COPIES], nodes[COPIES:]
        first.sort(key=lambda node: node.region != self._region)
        order = [*first, *others]
        order.sort(key=lambda node: self._is_silent(node, now))
        self._last_number += 1
        item = _Fetch(
            wanted=dict(wanted), found={}, remaining=order, done=done, give_up_at=give_up_at
        )
        self._fetches[self._last_number] = item
        return self._continue_fetch(self._last_number, item, now)

    def take_texts(self, sender: ReplicaId, reply: TextReply, now: float) -> list[Effect]:
        """Handle a storage node's texts; those that do not match their digest are dropped."""
        self._note_answer(sender)
        item = self._fetches.get(reply.number)
        if item is None:
            return []
        for text in reply.texts:
            mark = item.wanted.get(text.turn_id)
            if mark is None:
                continue
            if not mark.matches(text.text):
                self.counts["mismatched"] += 1
                continue
            del item.wanted[text.turn_id]
            item.found[text.turn_id] = text.text
        if item.current is None or item.current.replica != sender:
            return self._continue_fetch(reply.number, item, now) if not item.wanted else []
        item.current = None
        return self._continue_fetch(reply.number, item, now)

    def _continue_fetch(self, number: int, item: _Fetch, now: float) -> list[Effect]:
        """End a read, or ask the next node for the texts that are missing."""
        if not item.wanted or not item.remaining:
            del self._fetches[number]
            self.counts["found" if not item.wanted else "missing"] += 1
            return item.done(item.found, now)
        item.current = item.remaining.pop(0)
        item.asked_at = now
        ask = TextAsk(number=number, asker=self._own_address, turn_ids=tuple(item.wanted))
        return [SendPeer(to=item.current.replica, address=item.current.address, message=ask)]

    # ------------------------------------------------------------ time

    def next_deadline(self) -> float | None:
        """Return when :meth:`tick` is due."""
        dues = [item.give_up_at for item in self._stores.values()]
        dues.extend(self._next_probe.values())
        for store in self._stores.values():
            dues.extend(asked_at + STORE_TIMEOUT_SECONDS for asked_at in store.waiting.values())
        for fetch in self._fetches.values():
            dues.append(min(fetch.asked_at + FETCH_TIMEOUT_SECONDS, fetch.give_up_at))
        return min(dues, default=None)

    def tick(self, now: float) -> list[Effect]:
        """Ask other nodes in place of those that did not answer in time, and give up."""
        effects: list[Effect] = []
        for number, store in list(self._stores.items()):
            effects.extend(self._tick_store(number, store, now))
        for number, fetch in list(self._fetches.items()):
            if now >= fetch.give_up_at:
                fetch.remaining = []
            elif now < fetch.asked_at + FETCH_TIMEOUT_SECONDS:
                continue
            if fetch.current is not None:
                self._note_silent(fetch.current.name, now)
            effects.extend(self._continue_fetch(number, fetch, now))
        effects.extend(self._probe(now))
        return effects

    def _probe(self, now: float) -> list[Effect]:
        """Ask silent nodes whether they are back, so that turns are not refused any longer."""
        effects: list[Effect] = []
        for name, due in self._next_probe.items():
            if now >= due:
                self._next_probe[name] = now + PROBE_SECONDS
                node = self._nodes[name]
                ask = TextAsk(number=0, asker=self._own_address, turn_ids=())
                effects.append(SendPeer(to=node.replica, address=node.address, message=ask))
        return effects

    def _tick_store(self, number: int, item: _Store, now: float) -> list[Effect]:
        if now >= item.give_up_at:
            return self._end_store(number, item, 0, now)
        late = [
            name
            for name, asked_at in item.waiting.items()
            if now >= asked_at + STORE_TIMEOUT_SECONDS
        ]
        if not late:
            return []
        for name in late:
            del item.waiting[name]
            self._note_silent(name, now)
        return self._continue_store(number, item, now)

    # ------------------------------------------------------------ nodes

    def _places(self, regions: Iterable[str]) -> list[TextNode]:
        return [node for node in nodes_in(self._nodes.values(), regions) if not node.is_retiring]

    def _is_silent(self, node: TextNode, now: float) -> bool:
        is_refusing = now < self._refused_until.get(node.name, now)
        return node.name in self._next_probe or is_refusing

    def _note_silent(self, name: NodeName, now: float) -> None:
        if name in self._nodes:
            self._next_probe.setdefault(name, now + PROBE_SECONDS)

    def _note_answer(self, sender: ReplicaId) -> NodeName | None:
        """Return which node has answered, and count it as present."""
        name = next((node.name for node in self._nodes.values() if node.replica == sender), None)
        if name is not None:
            self._next_probe.pop(name, None)
        return name
