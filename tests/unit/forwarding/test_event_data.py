"""The data of an event, as the text of a kept turn has it."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from yokeline.forwarding.turn_cache import event_data

PARTS = (b"data:", b"data: ", b"data", b"\n", b"\r", b"\r\n", b"id: 1", b" ", b"x", b":", b"datax:")


class EventData(unittest.TestCase):
    def test_the_data_of_all_lines_is_joined(self) -> None:
        cases = {
            b"id: 1\ndata: word\n\n": b"word\n",
            b"data:word\r\ndata:  two\r\n\r\n": b"word\n two\n",
            b"data\rdata:\rdata: x\r\r": b"\nx\n",
            b": comment\nid: 7\n\n": b"\n",
            b"": b"\n",
        }
        for block, data in cases.items():
            self.assertEqual(event_data(block), data, block)

    @given(st.lists(st.sampled_from(PARTS), max_size=12))
    def test_it_is_that_of_its_lines_one_by_one(self, parts: list[bytes]) -> None:
        block = b"".join(parts)
        lines = block.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
        values = [line[5:].removeprefix(b" ") for line in lines if line.startswith(b"data:")]
        self.assertEqual(event_data(block), b"\n".join(values) + b"\n")


if __name__ == "__main__":
    unittest.main()
