from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from yokeline.errors import ErrorKind
from yokeline.identifiers import ReplicaId, ShardId
from yokeline.messages.codec import decode_command, decode_events, decode_peer, encode_peer
from yokeline.messages.framing import FrameReader, encode_frame
from yokeline.messages.types import Heartbeat, PeerMessageBody, ShardLeader

names = st.text(max_size=20).map(ReplicaId)
leaders = st.builds(
    ShardLeader,
    shard=st.integers(0, 4095).map(ShardId),
    term=st.integers(0, 2**40),
    leader=names,
    members=st.lists(names, max_size=5).map(tuple),
)
heartbeats: st.SearchStrategy[PeerMessageBody] = st.builds(
    Heartbeat,
    sequence=st.integers(0, 2**40),
    leaders=st.lists(leaders, max_size=4).map(tuple),
)


class CodecProperties(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.binary(max_size=300))
    def test_any_bytes_decode_to_a_value_or_a_typed_error(self, data: bytes) -> None:
        for result in (decode_peer(data), decode_command(data), decode_events((data,))):
            if isinstance(result, Failure):
                self.assertIs(result.failure().kind, ErrorKind.BAD_REQUEST)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(heartbeats, st.data())
    def test_damaged_messages_decode_to_a_value_or_a_typed_error(
        self, message: PeerMessageBody, draw: st.DataObject
    ) -> None:
        data = bytearray(encode_peer(ReplicaId("a"), ReplicaId("b"), message))
        position = draw.draw(st.integers(0, len(data) - 1))
        data[position] = draw.draw(st.integers(0, 255))
        result = decode_peer(bytes(data))
        if isinstance(result, Failure):
            self.assertIs(result.failure().kind, ErrorKind.BAD_REQUEST)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(names, names, heartbeats)
    def test_messages_round_trip(
        self, sender: ReplicaId, recipient: ReplicaId, message: PeerMessageBody
    ) -> None:
        decoded = decode_peer(encode_peer(sender, recipient, message))
        self.assertIsInstance(decoded, Success)
        self.assertEqual(decoded.unwrap().message, message)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.binary(max_size=40), max_size=8), st.lists(st.integers(1, 50)))
    def test_frames_survive_any_cut(self, payloads: list[bytes], sizes: list[int]) -> None:
        stream = b"".join(encode_frame(payload) for payload in payloads)
        reader = FrameReader()
        received: list[bytes] = []
        for size in [*sizes, len(stream) + 1]:
            received.extend(reader.feed(stream[:size]))
            stream = stream[size:]
        self.assertEqual(received, payloads)


if __name__ == "__main__":
    unittest.main()
