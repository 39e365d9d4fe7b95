from __future__ import annotations

import unittest

from yokeline.errors import ErrorKind, YokelineException
from yokeline.messages.framing import FrameReader, encode_frame


class FramingTest(unittest.TestCase):
    def test_frames_arrive_whole_however_the_stream_is_cut(self) -> None:
        payloads = [b"", b"a", b"b" * 1000]
        stream = b"".join(encode_frame(payload) for payload in payloads)
        for size in (1, 3, 7, 500, len(stream)):
            reader = FrameReader()
            received: list[bytes] = []
            for start in range(0, len(stream), size):
                received.extend(reader.feed(stream[start : start + size]))
            self.assertEqual(received, payloads)

    def test_too_large_frames_are_refused_on_both_sides(self) -> None:
        with self.assertRaises(YokelineException) as sending:
            encode_frame(b"12345", limit=4)
        with self.assertRaises(YokelineException) as receiving:
            FrameReader(limit=4).feed(encode_frame(b"12345"))
        for raised in (sending, receiving):
            self.assertIs(raised.exception.error.kind, ErrorKind.BODY_TOO_LARGE)


if __name__ == "__main__":
    unittest.main()
