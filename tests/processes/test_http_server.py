from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from tests.processes.support import LOOPBACK, Running, ScriptedService, read_until, wait_for
from yokeline.effects import (
    Effect,
    Event,
    HttpArrived,
    HttpGone,
    HttpReply,
    HttpStreamData,
    HttpStreamEnd,
    HttpStreamStart,
    StopListening,
)
from yokeline.node.http_exchange import ServerConnection
from yokeline.node.limits import ClientLimits, ServerLimits, TransportLimits
from yokeline.node.process import ServiceBinding

HOST = b"host: test\r\n"
MEGABYTE = 1024 * 1024


def describe(event: Event) -> list[Effect]:
    """Answer with what arrived; leave ``/open...`` to the test."""
    if not isinstance(event, HttpArrived) or event.path.startswith("/open"):
        return []
    status = 413 if event.too_large else 200
    body = f"{event.method} {event.path} {len(event.body)}".encode()
    return [HttpReply(exchange=event.exchange, status=status, body=body)]


def limited(*, buffer_bytes: int = 320 * MEGABYTE, **limits: float) -> ServiceBinding:
    server = ServerLimits(**limits)  # type: ignore[arg-type]
    transports = TransportLimits(server=server, buffer_bytes=buffer_bytes)
    return ServiceBinding(http=LOOPBACK, limits=transports)


class SlowReaders(unittest.TestCase):
    def test_callers_that_together_read_too_slowly_are_cut_off_and_others_served(self) -> None:
        """Each of them stays below its own limit; all together would fill the memory."""
        service = ScriptedService(describe)
        binding = limited(buffer_bytes=MEGABYTE * 8, max_unsent_bytes=MEGABYTE * 16)
        piece = b"x" * 65_536
        with Running(service, binding) as running, contextlib.ExitStack() as stack:
            for _ in range(4):
                sock = stack.enter_context(running.connect())
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
                sock.sendall(b"POST /open HTTP/1.1\r\n" + HOST + b"content-length: 0\r\n\r\n")
            wait_for(lambda: len(service.seen(HttpArrived)) == 4, "the requests")
            for event in service.seen(HttpArrived):
                assert isinstance(event, HttpArrived)
                running.emit(HttpStreamStart(exchange=event.exchange, status=200, headers={}))
            for _ in range(60):
                for event in service.seen(HttpArrived):
                    assert isinstance(event, HttpArrived)
                    running.emit(HttpStreamData(exchange=event.exchange, data=piece))
            wait_for(lambda: bool(service.seen(HttpGone)), "a slow reader is cut off")
            self.assertLess(len(service.seen(HttpGone)), 4)
            with running.connect() as reader:
                reader.sendall(b"GET /whole HTTP/1.1\r\n" + HOST + b"\r\n")
                self.assertIn(b"GET /whole 0", read_until(reader, b"whole 0"))


class Requests(unittest.TestCase):
    def test_headers_query_and_split_chunked_body(self) -> None:
        service = ScriptedService(describe)
        request = (
            b"POST /p%20q?a=1&b=x%2Fy HTTP/1.1\r\nHost: test\r\nX-One: a\\x41\r\nx-one: b\r\n"
            b"transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n1\r\n!\r\n0\r\n\r\n"
        )
        with Running(service) as running, running.connect() as sock:
            for position in range(len(request)):
                sock.sendall(request[position : position + 1])
            self.assertIn(b"POST /p%20q 6", read_until(sock, b" 6"))
        arrived = service.events[0]
        assert isinstance(arrived, HttpArrived)
        self.assertEqual(arrived.body, b"hello!")
        self.assertEqual(arrived.query, {"a": "1", "b": "x/y"})
        self.assertEqual(arrived.headers["x-one"], "a\\x41, b")

    def test_big_body_and_keep_alive(self) -> None:
        body = b"x" * 900_000
        head = b"POST /big HTTP/1.1\r\n" + HOST + b"content-length: 900000\r\n\r\n"
        with Running(ScriptedService(describe)) as running, running.connect() as sock:
            for _ in range(3):
                sock.sendall(head + body)
                self.assertIn(b"POST /big 900000", read_until(sock, b"900000"))

    def test_a_caller_that_leaves_after_pipelined_requests_is_noticed(self) -> None:
        service = ScriptedService(describe)
        padding = b"x-padding: " + b"p" * 6000 + b"\r\n\r\n"
        with Running(service) as running:
            with running.connect() as sock:
                sock.sendall(b"GET /open1 HTTP/1.1\r\n" + HOST + b"\r\n")
                wait_for(lambda: len(service.seen(HttpArrived)) == 1, "the first request")
                sock.sendall(b"GET /open2 HTTP/1.1\r\n" + HOST + padding)
                time.sleep(0.3)  # until it is read as far as it will be before the answer
                first = service.seen(HttpArrived)[0]
                assert isinstance(first, HttpArrived)
                running.emit(HttpReply(exchange=first.exchange, status=200))
                read_until(
                    sock, b"content-length: 0\r\n\r\n"
                )  # unread, it would reset the connection
                wait_for(lambda: len(service.seen(HttpArrived)) == 2, "the second request")
            wait_for(lambda: bool(service.seen(HttpGone)), "the caller has left")

    def test_a_second_request_waits_for_the_answer_to_the_first(self) -> None:
        service = ScriptedService(describe)
        with Running(service) as running, running.connect() as sock:
            sock.sendall(b"POST /open HTTP/1.1\r\n" + HOST + b"content-length: 0\r\n\r\n")
            wait_for(lambda: len(service.events) == 1, "the first request")
            sock.sendall(b"GET /second HTTP/1.1\r\n" + HOST + b"\r\n")
            sock.sendall(b"HEAD /third HTTP/1.1\r\n" + HOST + b"\r\n")
            first = service.events[0]
            assert isinstance(first, HttpArrived)
            running.emit(HttpReply(exchange=first.exchange, status=201, body=b"one"))
            answers = read_until(sock, b"content-length: 13\r\n\r\n")
        self.assertEqual(answers.count(b"HTTP/1.1 "), 3)
        self.assertLess(answers.index(b"one"), answers.index(b"GET /second 0"))
        paths = [event.path for event in service.seen(HttpArrived)]  # type: ignore[attr-defined]
        self.assertEqual(paths, ["/open", "/second", "/third"])

    def test_too_large_bodies_are_not_kept_and_are_answered(self) -> None:
        service = ScriptedService(describe)
        declared = b"POST /a HTTP/1.1\r\n" + HOST + b"content-length: 5000000\r\n\r\n"
        chunked = b"POST /b HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n"
        with Running(service, limited(max_body_bytes=10_000)) as running:
            one = running.ask(declared + b"x" * 5_000_000)
            two = running.ask(chunked + b"4000\r\n" + b"x" * 0x4000)
        self.assertIn(b" 413 ", one)
        self.assertIn(b" 413 ", two)
        for event in service.seen(HttpArrived):
            assert isinstance(event, HttpArrived)
            self.assertTrue(event.too_large)
            self.assertEqual(event.body, b"")

    def test_what_breaks_the_protocol_never_reaches_the_service(self) -> None:
        service = ScriptedService(describe)
        bad = {
            b" 400 ": [
                b"nonsense\r\n\r\n",
                b"GET / HTTP/1.1\r\n\r\n",
                b"GET nowhere HTTP/1.1\r\n" + HOST + b"\r\n",
                b"POST / HTTP/1.1\r\n" + HOST + b"content-length: -5\r\n\r\nhello",
                b"POST / HTTP/1.1\r\n" + HOST + b"content-length: 3\r\ncontent-length: 4\r\n\r\n",
                b"POST / HTTP/1.1\r\n" + HOST + b"transfer-encoding: chunked\r\n\r\n-1\r\n",
                b"POST / HTTP/1.1\r\n"
                + HOST
                + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                b"POST / HTTP/1.1\r\n"
                + HOST
                + b"transfer-encoding: chunked\r\n\r\n"
                + b"1\r\nx\r\n" * 9000,
            ],
            b" 431 ": [
                b"GET / HTTP/1.1\r\n" + HOST + b"x: " + b"y" * 20_000,
                b"GET / HTTP/1.1\r\n" + HOST + b"x: " + b"y" * 20_000 + b"\r\n\r\n",
            ],
        }
        with Running(service, limited(max_header_bytes=16_384)) as running:
            for status, requests in bad.items():
                for request in requests:
                    answer = running.ask(request)
                    self.assertIn(status, answer, request[:60])
                    self.assertIn(b'"remedy":', answer)
        self.assertEqual(service.seen(HttpArrived), [])

    def test_half_requests_and_silent_connections_end(self) -> None:
        service = ScriptedService(describe)
        with Running(service, limited(request_seconds=0.05, idle_seconds=0.05)) as running:
            half = b"POST /half HTTP/1.1\r\n" + HOST + b"content-length: 9\r\n\r\nabc"
            self.assertIn(b" 408 ", running.ask(half))
            self.assertIn(b" 408 ", running.ask(b"GET / HT"))
            self.assertEqual(running.ask(b""), b"")
        self.assertEqual(service.seen(HttpArrived), [])

    def test_a_caller_that_asks_may_go_on(self) -> None:
        head = b"POST /e HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n" + HOST
        with Running(ScriptedService(describe)) as running, running.connect() as sock:
            sock.sendall(head + b"\r\n")
            self.assertIn(b" 100 ", read_until(sock, b"\r\n\r\n"))
            sock.sendall(b"ok")
            self.assertIn(b"POST /e 2", read_until(sock, b"/e 2"))

    def test_many_callers_at_once(self) -> None:
        service = ScriptedService(describe)
        with Running(service) as running, contextlib.ExitStack() as stack:
            socks = [stack.enter_context(running.connect()) for _ in range(300)]
            for turn in range(3):
                for number, sock in enumerate(socks):
                    sock.sendall(f"GET /{turn}/{number} HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                for number, sock in enumerate(socks):
                    end = f"GET /{turn}/{number} 0".encode()
                    self.assertTrue(read_until(sock, end).endswith(end))

    def test_a_fault_of_the_service_is_answered(self) -> None:
        def fail(event: Event) -> list[Effect]:
            raise RuntimeError("a fault made by the test")

        service = ScriptedService(fail)
        service.stops_when_asked = True
        with Running(service) as running, self.assertLogs("absl", "ERROR"):
            answer = running.ask(b"GET / HTTP/1.1\r\nconnection: close\r\n" + HOST + b"\r\n")
        self.assertIn(b" 500 ", answer)


class WholeAnswers(unittest.TestCase):
    """What the service has answered reaches a caller that reads it."""

    def answer(self, effect_of: Callable[[HttpArrived], Effect]) -> bytes:
        def answer(event: Event) -> list[Effect]:
            return [effect_of(event)] if isinstance(event, HttpArrived) else []

        with Running(ScriptedService(answer)) as running:
            return running.ask(b"GET / HTTP/1.1\r\nconnection: close\r\n" + HOST + b"\r\n")

    def test_the_largest_answer_of_a_back_end_reaches_its_caller(self) -> None:
        """With its head it was over what a reader may leave unread, and the caller was cut off."""
        body = b"x" * ClientLimits().max_body_bytes
        answer = self.answer(
            lambda event: HttpReply(exchange=event.exchange, status=200, body=body)
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:60])
        self.assertEqual(len(answer.partition(b"\r\n\r\n")[2]), len(body))

    def test_an_answer_that_is_not_http_is_500(self) -> None:
        """Its connection was closed without a status line."""
        for fields in ({"headers": {"a b": "c"}}, {"status": 100}):
            with self.subTest(fields):
                changed = {"status": 200, **fields}
                answer = self.answer(
                    lambda event, changed=changed: HttpReply(exchange=event.exchange, **changed)
                )
                self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer[:60])
                self.assertIn(b'"execution":"unknown"', answer)

    def test_a_stream_whose_head_is_not_http_is_500(self) -> None:
        answer = self.answer(
            lambda event: HttpStreamStart(exchange=event.exchange, headers={"a b": "c"})
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer[:60])

    def test_an_answer_whose_body_cannot_be_written_is_cut(self) -> None:
        """The fault was logged, and the caller waited for ever for the rest."""
        fault = RuntimeError("a fault of the test")
        with mock.patch.object(ServerConnection, "_end_of_answer", side_effect=[fault, b"{}"]):
            answer = self.answer(
                lambda event: HttpReply(exchange=event.exchange, status=200, body=b"x")
            )
        self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)
        self.assertNotIn(b"{}", answer)

    def test_a_reply_that_meets_a_fault_before_its_head_is_500(self) -> None:
        """The fault was logged, and the caller waited for ever."""
        fault = RuntimeError("a fault of the test")
        with mock.patch.object(ServerConnection, "reply", side_effect=fault):
            answer = self.answer(
                lambda event: HttpReply(exchange=event.exchange, status=200, body=b"x")
            )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "), answer[:60])

    def test_a_piece_that_cannot_be_written_ends_its_stream_for_both_sides(self) -> None:
        """The stream went on without the piece."""
        service = ScriptedService(describe)
        fault = RuntimeError("a fault of the test")
        with Running(service) as running, running.connect() as sock:
            sock.sendall(b"GET /open HTTP/1.1\r\n" + HOST + b"\r\n")
            wait_for(lambda: service.seen(HttpArrived), "the request")
            arrived = service.seen(HttpArrived)[0]
            assert isinstance(arrived, HttpArrived)
            running.emit(HttpStreamStart(exchange=arrived.exchange))
            read_until(sock, b"\r\n\r\n")
            with mock.patch.object(ServerConnection, "stream_data", side_effect=fault):
                running.emit(HttpStreamData(arrived.exchange, b"lost"))
                wait_for(lambda: service.seen(HttpGone), "the end of the exchange")
            self.assertEqual(read_until(sock), b"")

    def test_a_connection_that_the_kernel_has_accepted_is_served_after_the_last(self) -> None:
        """It was reset with the listener, and its caller could not tell what became of it."""
        may_go_on = threading.Event()

        def answer(event: Event) -> list[Effect]:
            if isinstance(event, HttpArrived) and event.path == "/stop":
                may_go_on.wait(5.0)
                return [StopListening(), *describe(event)]
            return describe(event)

        service = ScriptedService(answer)
        with Running(service) as running, running.connect() as first:
            first.sendall(b"GET /stop HTTP/1.1\r\n" + HOST + b"\r\n")
            wait_for(lambda: service.events, "the request that stops")
            with running.connect() as second:
                second.sendall(b"GET /late HTTP/1.1\r\n" + HOST + b"\r\n")
                may_go_on.set()
                self.assertIn(b"GET /late 0", read_until(second, b"late 0"))
            with self.assertRaises(ConnectionRefusedError):
                running.connect()


class Streams(unittest.TestCase):
    def start(self, running: Running, sock: socket.socket) -> HttpArrived:
        service = running.service
        assert isinstance(service, ScriptedService)
        sock.sendall(b"GET /open HTTP/1.1\r\n" + HOST + b"\r\n")
        wait_for(lambda: service.events, "the request")
        arrived = service.events[-1]
        assert isinstance(arrived, HttpArrived)
        running.emit(HttpStreamStart(exchange=arrived.exchange, headers={"x": "a\r\nb: c"}))
        head = read_until(sock, b"\r\n\r\n")
        self.assertIn(b"transfer-encoding: chunked", head.lower())
        self.assertNotIn(b"\r\nb: c", head)
        return arrived

    def test_pieces_are_pushed_and_those_of_one_turn_are_one_chunk(self) -> None:
        with Running(ScriptedService(describe)) as running, running.connect() as sock:
            exchange = self.start(running, sock).exchange
            running.emit(HttpStreamData(exchange, b"one "), HttpStreamData(exchange, b"two"))
            self.assertEqual(read_until(sock, b"two\r\n"), b"7\r\none two\r\n")
            running.emit(HttpStreamData(exchange, b"x"), HttpStreamEnd(exchange=exchange))
            self.assertEqual(read_until(sock, b"0\r\n\r\n"), b"1\r\nx\r\n0\r\n\r\n")
            sock.sendall(b"GET /next HTTP/1.1\r\n" + HOST + b"\r\n")
            self.assertIn(b"GET /next 0", read_until(sock, b"/next 0"))

    def test_an_aborted_stream_has_no_last_chunk(self) -> None:
        with Running(ScriptedService(describe)) as running, running.connect() as sock:
            exchange = self.start(running, sock).exchange
            running.emit(
                HttpStreamData(exchange, b"part"), HttpStreamEnd(exchange=exchange, aborted=True)
            )
            self.assertEqual(read_until(sock), b"4\r\npart\r\n")

    def test_a_status_without_a_body_stays_without_one(self) -> None:
        service = ScriptedService(describe)
        with Running(service) as running, running.connect() as sock:
            sock.sendall(b"GET /open HTTP/1.1\r\n" + HOST + b"\r\n")
            wait_for(lambda: service.events, "the request")
            arrived = service.events[0]
            assert isinstance(arrived, HttpArrived)
            running.emit(
                HttpStreamStart(exchange=arrived.exchange, status=204),
                HttpStreamData(arrived.exchange, b"not sent"),
                HttpStreamEnd(exchange=arrived.exchange),
            )
            self.assertIn(b" 204 ", read_until(sock, b"\r\n\r\n"))
            sock.sendall(b"GET /next HTTP/1.1\r\n" + HOST + b"\r\n")
            self.assertTrue(read_until(sock, b"/next 0").startswith(b"HTTP/1.1 200 "))

    def test_a_stream_without_chunks_is_reset_unless_it_is_whole(self) -> None:
        for ending in ("whole", "aborted", "stopped"):
            with self.subTest(ending):
                service = ScriptedService(describe)
                running = Running(service)
                with running, running.connect() as sock:
                    sock.sendall(b"GET /open HTTP/1.0\r\n" + HOST + b"\r\n")
                    wait_for(lambda: service.seen(HttpArrived), "the request")  # noqa: B023
                    arrived = service.seen(HttpArrived)[0]
                    assert isinstance(arrived, HttpArrived)
                    running.emit(
                        HttpStreamStart(exchange=arrived.exchange),
                        HttpStreamData(arrived.exchange, b"piece"),
                    )
                    self.assertTrue(read_until(sock, b"piece").endswith(b"\r\n\r\npiece"))
                    if ending == "stopped":
                        running.application.request_stop()
                    else:
                        is_aborted = ending == "aborted"
                        running.emit(HttpStreamEnd(exchange=arrived.exchange, aborted=is_aborted))
                    if ending == "whole":
                        self.assertEqual(sock.recv(100), b"")
                    else:
                        with self.assertRaises(ConnectionResetError):
                            sock.recv(100)

    def test_the_service_hears_that_the_caller_is_gone(self) -> None:
        service = ScriptedService(describe)
        with Running(service) as running:
            with running.connect() as sock:
                exchange = self.start(running, sock).exchange
            wait_for(lambda: service.seen(HttpGone), "the end of the caller")
            self.assertEqual(service.seen(HttpGone), [HttpGone(exchange)])
            running.emit(HttpStreamData(exchange, b"late"), HttpStreamEnd(exchange=exchange))
            self.assertIn(b"GET /still 0", running.ask(b"GET /still HTTP/1.0\r\n\r\n"))

    def test_a_caller_that_does_not_read_is_cut_off(self) -> None:
        service = ScriptedService(describe)
        binding = limited(max_unsent_bytes=100_000)
        with Running(service, binding) as running, running.connect() as sock:
            exchange = self.start(running, sock).exchange
            for _ in range(200):
                running.emit(HttpStreamData(exchange, b"z" * 90_000))
            wait_for(lambda: service.seen(HttpGone), "the cut")


if __name__ == "__main__":
    unittest.main()
