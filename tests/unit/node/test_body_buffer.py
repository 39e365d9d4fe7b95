"""A body is collected whole, whatever its pieces, and its memory is told."""

from __future__ import annotations

import random
import unittest

from yokeline.node.allocator import LARGE_BLOCK_BYTES
from yokeline.node.body_buffer import SMALL_BODY_BYTES, BodyBuffer


class Bodies(unittest.TestCase):
    def test_bodies_of_any_size_come_whole_in_pieces_of_any_size(self) -> None:
        source = random.Random(1)
        edges = (SMALL_BODY_BYTES, LARGE_BLOCK_BYTES, 3 * LARGE_BLOCK_BYTES)
        sizes = [0, 1, *(edge + step for edge in edges for step in (-1, 0, 1))]
        buffer = BodyBuffer()
        for size in sizes:
            for most in (100_000, 700_000):
                body = source.randbytes(size)
                at = 0
                while at < size:
                    count = source.randint(1, most)
                    buffer.append(body[at : at + count])
                    at += count
                self.assertEqual(len(buffer), size)
                self.assertGreaterEqual(buffer.memory, size)
                self.assertLessEqual(buffer.memory, size * 9 // 8 + LARGE_BLOCK_BYTES + 100)
                self.assertEqual(buffer.take(), body)
                self.assertEqual((len(buffer), buffer.memory), (0, 0))

    def test_a_dropped_body_takes_nothing(self) -> None:
        buffer = BodyBuffer()
        buffer.append(b"x" * 1_000_000)
        buffer.clear()
        self.assertEqual((len(buffer), buffer.memory), (0, 0))
        buffer.append(b"abc")
        self.assertEqual(buffer.take(), b"abc")


if __name__ == "__main__":
    unittest.main()
