"""Transfer of a snapshot in chunks: the leader's and the follower's side."""

from __future__ import annotations

from yokeline.consensus.messages import InstallSnapshot
from yokeline.consensus.types import Snapshot


class SnapshotSender:
    """The leader's side: one chunk is in flight at a time."""

    __slots__ = ("_chunk_bytes", "offset", "snapshot")

    def __init__(self, snapshot: Snapshot, chunk_bytes: int) -> None:
        """Begin at offset 0; the snapshot stays the same until it is through."""
        self.snapshot = snapshot
        self.offset = 0
        self._chunk_bytes = chunk_bytes

    def chunk(self) -> bytes:
        """Return the chunk at the current offset."""
        return self.snapshot.data[self.offset : self.offset + self._chunk_bytes]

    def is_last(self, chunk: bytes) -> bool:
        """Return whether ``chunk`` at the current offset ends the snapshot."""
        return self.offset + len(chunk) >= len(self.snapshot.data)


class SnapshotReceiver:
    """The follower's side: gathers the chunks of one snapshot of one term."""

    __slots__ = ("_chunks", "_last_index", "_last_term", "_term", "offset")

    def __init__(self, first: InstallSnapshot) -> None:
        """Expect the chunks of the snapshot that ``first`` is a chunk of."""
        self._term = first.term
        self._last_index = first.last_index
        self._last_term = first.last_term
        self._chunks: list[bytes] = []
        self.offset = 0

    def expects(self, message: InstallSnapshot) -> bool:
        """Return whether ``message`` belongs to the same transfer."""
        identity = (message.term, message.last_index, message.last_term)
        return identity == (self._term, self._last_index, self._last_term)

    def receive(self, message: InstallSnapshot) -> Snapshot | None:
        """Take a chunk; return the whole snapshot once it is there.

        A chunk at another offset than the expected one is dropped; the reply names the
        expected offset.
        """
        if message.offset != self.offset:
            return None
        if message.data:
            self._chunks.append(message.data)
            self.offset += len(message.data)
        if not message.done:
            return None
        data = b"".join(self._chunks)
        return Snapshot(self._last_index, self._last_term, message.members, data)
