"""The command line takes no answer for whole that its connection cut."""

from __future__ import annotations

import socket
import threading
import unittest

from yokeline.commands.client import Client
from yokeline.errors import YokelineException

HOST = "127.0.0.1"
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
CHUNK = b"%x\r\n" % len(EVENT) + EVENT + b"\r\n"


class CutAnswers(unittest.TestCase):
    def client_of(self, answer: bytes) -> Client:
        """Return a client of a service that sends some bytes and closes."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                sock.recv(65536)
                sock.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        return Client(f"http://{HOST}:{listener.getsockname()[1]}", "token")

    def events_of(self, answer: bytes) -> list[str]:
        client = self.client_of(answer)
        return [event.data for event in client.events("GET", "/", headers={}, silence_seconds=10)]

    def test_a_body_shorter_than_its_length_is_no_answer(self) -> None:
        for answer in (LENGTH + b'{"items": []}', CHUNKED + CHUNK, CHUNKED + CHUNK[:-6]):
            with self.subTest(answer=answer), self.assertRaises(YokelineException):
                self.client_of(answer).request("GET", "/")

    def test_a_cut_stream_of_events_has_not_ended(self) -> None:
        for answer in (CHUNKED + CHUNK, CHUNKED + CHUNK[:-6], LENGTH + EVENT):
            with self.subTest(answer=answer), self.assertRaises(YokelineException):
                self.events_of(answer)

    def test_whole_answers_are_taken(self) -> None:
        reply = self.client_of(CHUNKED + CHUNK + b"0\r\n\r\n").request("GET", "/")
        self.assertEqual(reply.body, EVENT)
        self.assertEqual(self.events_of(CHUNKED + CHUNK + b"0\r\n\r\n"), ["a"])
