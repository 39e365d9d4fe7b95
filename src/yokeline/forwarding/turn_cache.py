"""Cache of kept turns, so that a node fetches the history of a chain only once."""

from __future__ import annotations

from collections import OrderedDict

from yokeline.ledger.operations import KeptTurn

MAX_CACHED_BYTES = 24 * 1024 * 1024
MAX_SESSIONS = 4096
"""Sessions whose latest cached turn is remembered; the least recently used is evicted."""


class TurnCache:
    """LRU cache of kept turns by id, bounded in bytes.

    A kept turn never changes, so a cached one is valid as long as the ledger has the turn.
    """

    def __init__(self) -> None:
        """Create an empty cache."""
        self._turns: OrderedDict[str, KeptTurn] = OrderedDict()
        self._bytes = 0
        self._latest: OrderedDict[str, str] = OrderedDict()

    @property
    def held_bytes(self) -> int:
        """Bytes of the texts."""
        return self._bytes

    def clear(self) -> None:
        """Evict all turns."""
        self._turns.clear()
        self._bytes = 0

    def set_latest(self, session: str, turn_id: str) -> None:
        """Record that a session's chain is cached up to a turn."""
        self._latest[session] = turn_id
        self._latest.move_to_end(session)
        if len(self._latest) > MAX_SESSIONS:
            self._latest.popitem(last=False)

    def latest_complete(self, session: str) -> str:
        """Return a session's latest turn if its whole chain is cached; else an empty string."""
        latest = self._latest.get(session, "")
        return "" if latest and self.missing_from(latest) else latest

    def put_regional(self, turn_id: str, text: bytes) -> None:
        """Add the text of a turn that the cache and the ledger hold by its mark only."""
        self.put(KeptTurn(turn_id=_regional(turn_id), previous="", text=text, retention=0.0))

    def regional(self, turn_id: str) -> bytes | None:
        """Return the text of a turn that is held by its mark; None if it is not cached."""
        turn = self._turns.get(_regional(turn_id))
        if turn is None:
            return None
        self._turns.move_to_end(turn.turn_id)
        return turn.text

    def remove(self, turn_id: str) -> None:
        """Remove a turn."""
        turn = self._turns.pop(turn_id, None)
        if turn is not None:
            self._bytes -= len(turn.text)

    def put(self, turn: KeptTurn) -> None:
        """Add a turn."""
        if turn.turn_id in self._turns:
            self._turns.move_to_end(turn.turn_id)
            return
        self._turns[turn.turn_id] = turn
        self._bytes += len(turn.text)
        while self._bytes > MAX_CACHED_BYTES and len(self._turns) > 1:
            _, oldest = self._turns.popitem(last=False)
            self._bytes -= len(oldest.text)

    def missing_from(self, turn_id: str) -> str:
        """Return the latest turn of a chain that is not cached; empty if the whole chain is."""
        current = turn_id
        while current:
            turn = self._turns.get(current)
            if turn is None:
                return current
            self._turns.move_to_end(current)
            current = turn.previous
        return ""

    def chain(self, turn_id: str) -> list[KeptTurn]:
        """Return the turns of a chain, the oldest first, as far back as they are cached."""
        turns: list[KeptTurn] = []
        current = turn_id
        while (turn := self._turns.get(current)) is not None:
            turns.append(turn)
            current = turn.previous
        turns.reverse()
        return turns


def _regional(turn_id: str) -> str:
    """Return the name of a regional text, which no turn's id equals."""
    return f"\0regional/{turn_id}"


_DATA = b"data:"


def event_data(block: bytes) -> bytes:
    """Return the data of a server-sent event, with a line feed at the end.

    A large value is copied once.
    """
    block = block.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
    parts: list[bytes | memoryview] = []
    start = 0
    with memoryview(block) as view:
        while start <= len(block):
            end = block.find(b"\n", start)
            end = len(block) if end < 0 else end
            if block.startswith(_DATA, start, end):
                value = start + len(_DATA)
                value += block.startswith(b" ", value, end)
                parts += (view[value:end], b"\n")
            start = end + 1
        data = b"".join(parts) if parts else b"\n"
        parts.clear()
    return data
