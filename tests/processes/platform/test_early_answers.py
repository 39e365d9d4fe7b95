"""Engines that answer before they have read the request, on real processes.

The failure that was seen: an engine answered a long upload with a 200 without a length, sent a part
of its body and reset the connection while the upload was still being written. The caller got that
part as a whole answer.
"""

from __future__ import annotations

import contextlib
import itertools
import socket
import unittest
from concurrent.futures import ThreadPoolExecutor

from tests.processes.cluster import HOST, wait_until
from tests.processes.platform.cut_connections import Listener, end_connection
from tests.processes.platform.deployment import UNAVAILABLE, Deployment
from tests.processes.platform.raw_callers import RawAnswer, ask_raw

OK = 200
BAD_GATEWAY = 502
UPLOAD = b"u" * 3_000_000
CALLERS = 6
ROUNDS = 5
ENGINES = 8
HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Yokeline-Server-Stamp: s\r\n"
OTHER_HEADS = (
    b"HTTP/1.1 000 None\r\nContent-Length: 4\r\n",
    b"HTTP/1.1 099 None\r\nContent-Length: 4\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX Odd: 1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX\x01Odd: 1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Odd : 1\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Odd\x00: 1\r\n",
    b"HTTP/1.1 103 Early Hints\r\nX\tOdd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
)


class EarlyEngine:
    """An engine that answers as soon as a request begins, reads no more of it, and ends.

    Attributes:
        answer: What it sends.
        resets: Whether its end is a reset for certain; else it is one if bytes are unread.
        answered: Requests that it answered.
    """

    def __init__(self) -> None:
        self.answer = b""
        self.resets = True
        self.answered = 0
        self._listener = Listener(self._serve)
        self.port = self._listener.port

    def close(self) -> None:
        self._listener.close()

    def _serve(self, sock: socket.socket) -> None:
        data = sock.recv(4096)
        if not data.startswith(b"POST"):
            return
        self.answered += 1
        with contextlib.suppress(OSError):
            sock.sendall(self.answer)
        if self.resets:
            end_connection(sock, resets=True)


class EarlyAnswers(unittest.TestCase):
    def setUp(self) -> None:
        self.numbers = itertools.count(1)
        self.deployment = Deployment(edges=1, models=1, apps=1, storage_nodes=1)
        self.deployment.__enter__()
        self.addCleanup(self.deployment.__exit__)
        self.engines = [EarlyEngine() for _ in range(ENGINES)]
        listed = self.deployment.apps[0]
        for number, engine in enumerate(self.engines):
            self.addCleanup(engine.close)
            document = {
                **self.deployment._documents[listed.engine_id],
                "address": f"{HOST}:{engine.port}",
                "slots": 64,
                "born": 1,
            }
            self.deployment.store.put(f"servers/early-{number}", document)
        self.deployment.forget_engine(listed)
        wait_until(lambda: self.deployment.edges[0].lines("engine_gone"), "engines change")

    def ask(self, path: str) -> RawAnswer:
        name = f"r{next(self.numbers)}"
        fields = {"X-Yokeline-Program-Id": f"p-{name}", "X-Yokeline-Session-Id": name}
        return ask_raw(self.deployment.fronts[0], path, name, fields, body=name.encode() + UPLOAD)

    def assert_none_looks_whole(self, answer: bytes, *, resets: bool) -> None:
        for engine in self.engines:
            engine.answer, engine.resets = answer, resets
        paths = [path for path in ("/fix/x", "/look/x") for _ in range(CALLERS // 2)]
        with ThreadPoolExecutor(CALLERS) as pool:
            for _ in range(ROUNDS):
                for found in pool.map(self.ask, paths):
                    self.assertIn(found.status, (BAD_GATEWAY, UNAVAILABLE), found)

    def test_no_answer_that_was_reset_inside_an_upload_looks_whole(self) -> None:
        self.assert_none_looks_whole(HEAD + b"\r\ndo", resets=True)
        self.assertGreater(sum(engine.answered for engine in self.engines), CALLERS)

    def test_no_answer_that_was_closed_inside_an_upload_looks_whole(self) -> None:
        self.assert_none_looks_whole(HEAD + b"\r\ndo", resets=False)
        self.assertGreater(sum(engine.answered for engine in self.engines), CALLERS)

    def test_no_answer_with_a_head_that_is_none_is_passed_on(self) -> None:
        for head in OTHER_HEADS:
            with self.subTest(head=head):
                answer = head + b"X-Yokeline-Server-Stamp: s\r\nConnection: close\r\n\r\ndone"
                self.assert_none_looks_whole(answer, resets=False)

    def test_whole_answers_are_passed_on(self) -> None:
        for engine in self.engines:
            engine.answer = HEAD + b"Content-Length: 4\r\n\r\ndone"
            engine.resets = False
        for _ in range(ROUNDS):
            found = self.ask("/look/x")
            if found.status == OK:
                self.assertEqual(found.body, b"done")
                return
        self.fail("no whole answer was passed on")
