"""What the transports between nodes need of a codec; each kind of node brings its own."""

from __future__ import annotations

from typing import Protocol

import msgspec
from returns.result import Result

from yokeline.errors import YokelineError
from yokeline.identifiers import ReplicaId


class DecodedFrame(Protocol):
    """A message with the process starts that it travels between."""

    @property
    def sender(self) -> ReplicaId:
        """The process start that sent it."""
        ...

    @property
    def recipient(self) -> ReplicaId:
        """The process start that it is meant for."""
        ...

    @property
    def message(self) -> msgspec.Struct:
        """The message itself."""
        ...


class WireCodec(Protocol):
    """Messages (TCP) and datagrams (UDP) to bytes and back."""

    def encode_peer(
        self, sender: ReplicaId, recipient: ReplicaId, message: msgspec.Struct
    ) -> bytes:
        """Return the payload of a frame."""
        ...

    def decode_peer(self, data: bytes) -> Result[DecodedFrame, YokelineError]:
        """Return the frame in ``data``."""
        ...

    def encode_datagram(self, message: msgspec.Struct) -> bytes:
        """Return the bytes of a datagram."""
        ...

    def decode_datagram(self, data: bytes) -> Result[msgspec.Struct, YokelineError]:
        """Return the message in a datagram."""
        ...


def default_codec() -> WireCodec:
    """Return the codec of the nodes that keep runs."""
    # Imported here: it loads the messages of the whole product, which not every role needs.
    from yokeline.messages.codec import MessageCodec

    return MessageCodec()
