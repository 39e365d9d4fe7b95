"""Crowds of clients that misuse legal requests: no node exceeds its memory, and others are served.

The failure that was seen: clients that nobody controls made a process run out of memory with many
large bodies at a time, most of them held just short of their end.
"""

from __future__ import annotations

import http.client
import itertools
import time
import tomllib
import unittest
from collections.abc import Sequence

from tests.processes.cluster import HOST, wait_until
from tests.processes.platform.crowds import (
    BODY,
    LARGEST_BODY_BYTES,
    Crowd,
    LateEngine,
    chunked_request,
    chunks_of,
    open_descriptors,
    peak_bytes,
    request_head,
    sized_request,
)
from tests.processes.platform.deployment import (
    CALLER_HOST,
    UNAVAILABLE,
    Deployment,
    RoleProcess,
)
from tests.processes.platform.raw_callers import ask_raw

OK = 200
MEGABYTE = 1_000_000
EDGE_MEMORY_MB = 88
"""Of the smallest forwarding nodes in use."""
STORAGE_MEMORY_MB = 120
"""Of the smallest storage nodes in use."""
EDGE_DESCRIPTORS = 4100
FEW_DESCRIPTORS = 1000
SPARE_DESCRIPTORS = 50
"""Descriptors that connections to other nodes and engines may take meanwhile."""
MOST_TRIES = 40
TRY_PAUSE_SECONDS = 0.1
ENGINES = 8
UNFINISHED_FRAME = (3 * LARGEST_BODY_BYTES).to_bytes(4, "big") + BODY + BODY
_program_numbers = itertools.count(1)


def kept_turn() -> list[memoryview]:
    """Return the first turn of a program, with the largest body."""
    program = f"crowd-{next(_program_numbers)}"
    fields = {"Program_Id": program, "Token_Budget": "200", "Token_Usage": "100,50"}
    return sized_request("/kept/x", **fields)


class CrowdCase(unittest.TestCase):
    """A deployment with one forwarding node, and what must hold there whatever a crowd does."""

    storage_nodes = 1
    descriptors = EDGE_DESCRIPTORS

    def setUp(self) -> None:
        self.numbers = itertools.count(1)
        self.deployment = Deployment(
            edges=1,
            models=1,
            storage_nodes=self.storage_nodes,
            edge_memory_mb=EDGE_MEMORY_MB,
            storage_memory_mb=STORAGE_MEMORY_MB,
            edge_descriptors=self.descriptors,
        )
        self.deployment.__enter__()
        self.addCleanup(self.deployment.__exit__)
        self.edge = self.deployment.edges[0]
        self.port = self.deployment.fronts[0]
        self.assert_served(b"small")
        self.descriptors_before = open_descriptors(self.edge.pid)

    def call(self, body: bytes) -> int:
        """Send an ordinary request, and return its status; 0 for a connection that ended."""
        connection = http.client.HTTPConnection(HOST, self.port, timeout=30)
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": f"ordinary-{next(self.numbers)}",
            "X-Yokeline-Deadline-Ms": "20000",
        }
        try:
            connection.request("POST", "/look/x", body=body, headers=fields)
            response = connection.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def assert_served(self, body: bytes) -> None:
        """Check that a request is answered to a caller that comes again after refusals."""
        answers = []
        for _ in range(MOST_TRIES):
            answers.append(self.call(body))
            if answers[-1] == OK:
                return
            time.sleep(TRY_PAUSE_SECONDS)
        self.fail(f"an ordinary request got no answer: {answers}")

    def assert_within_memory(self, process: RoleProcess, memory_mb: int) -> None:
        self.assertTrue(process.is_running, f"{process.name} has ended")
        peak = peak_bytes(process.pid) / MEGABYTE
        self.assertLessEqual(peak, memory_mb, f"{process.name} took {peak:.0f} MB")

    def assert_all_within_memory(self) -> None:
        self.assert_within_memory(self.edge, EDGE_MEMORY_MB)
        self.assertLessEqual(open_descriptors(self.edge.pid), self.descriptors)
        for process in self.deployment.storage:
            self.assert_within_memory(process, STORAGE_MEMORY_MB)

    def assert_recovered(self) -> None:
        """Check that nothing of a crowd that has gone is left, and that all are served."""
        wait_until(self.is_without_crowd, "the crowd's descriptors are given back")
        self.assert_served(b"small")
        self.assert_served(BODY)
        self.assert_all_within_memory()
        self.assertEqual(self.edge.lines("service_fault"), [])
        self.assertEqual(self.edge.lines("transport_fault"), [])

    def is_without_crowd(self) -> bool:
        return open_descriptors(self.edge.pid) <= self.descriptors_before + SPARE_DESCRIPTORS

    def check(self, requests: Sequence[Sequence[memoryview]], *, reads: bool = True) -> None:
        """Let a crowd send and stay, then go; check that others are served all the time."""
        with Crowd(self.port, reads=reads) as crowd:
            crowd.send(requests)
            self.assert_served(b"small")
            self.assert_all_within_memory()
        self.assert_recovered()

    def use_engines(self, read_seconds: float, answer: bytes) -> None:
        """Let engines serve that read late, or whose answers are large."""
        listed = self.deployment.apps[0]
        for number in range(ENGINES):
            engine = LateEngine(read_seconds=read_seconds, answer=answer)
            self.addCleanup(engine.close)
            document = {
                **self.deployment._documents[listed.engine_id],
                "address": f"{HOST}:{engine.port}",
                "slots": 64,
                "born": 1,
            }
            self.deployment.store.put(f"servers/late-{number}", document)
        self.deployment.forget_engine(listed)
        wait_until(lambda: self.edge.lines("engine_gone"), "engines change")


class ArrivingRequests(CrowdCase):
    def test_bodies_that_lack_their_last_byte(self) -> None:
        self.check([sized_request("/look/x", lacking=1) for _ in range(60)])

    def test_halves_of_bodies(self) -> None:
        half = LARGEST_BODY_BYTES // 2
        self.check([sized_request("/look/x", lacking=half) for _ in range(120)])

    def test_chunks_of_8_kibibytes_that_never_end(self) -> None:
        chunks = chunks_of(8192, 500)
        self.check([chunked_request("/look/x", chunks) for _ in range(60)])

    def test_chunks_of_one_byte_that_never_end(self) -> None:
        chunks = chunks_of(1, 8000)
        self.check([chunked_request("/look/x", chunks) for _ in range(800)])

    def test_chunks_of_60_bytes_that_never_end(self) -> None:
        chunks = chunks_of(60, 8000)
        self.check([chunked_request("/look/x", chunks) for _ in range(300)])

    def test_heads_that_never_end(self) -> None:
        head = request_head("/look/x", "")[:-2] + b"X-Long: " + b"h" * 15_000
        self.check([[memoryview(head)] for _ in range(2600)])

    def test_half_of_the_connections_reset_and_begun_anew(self) -> None:
        with Crowd(self.port) as crowd:
            for _ in range(3):
                held = crowd.open(50)
                crowd.send_on(held, [sized_request("/look/x", lacking=1) for _ in held])
                crowd.reset(held[::2])
                again = crowd.open(25)
                crowd.send_on(again, [sized_request("/look/x", lacking=1) for _ in again])
                self.assert_served(b"small")
                self.assert_all_within_memory()
        self.assert_recovered()

    def test_held_requests_one_group_after_the_other(self) -> None:
        for _ in range(16):
            with Crowd(self.port) as crowd:
                crowd.send([sized_request("/look/x", lacking=1) for _ in range(15)])
            self.assert_all_within_memory()
        self.assert_recovered()

    def test_crowds_of_different_kinds_one_after_the_other(self) -> None:
        head = request_head("/look/x", "")[:-2] + b"X-Long: " + b"h" * 15_000
        middle = [
            memoryview(request_head("/look/x", "Content-Length: 200000")),
            memoryview(BODY)[:199_999],
        ]
        crowds: list[list[list[memoryview]]] = [
            [[memoryview(head)] for _ in range(2400)],
            [sized_request("/look/x", lacking=1) for _ in range(60)],
            [chunked_request("/look/x", chunks_of(60, 8000)) for _ in range(200)],
            [middle for _ in range(300)],
            [sized_request("/look/x", lacking=1) for _ in range(60)],
        ]
        for requests in crowds:
            with Crowd(self.port) as crowd:
                crowd.send(requests)
                self.assert_served(b"small")
                self.assert_all_within_memory()
        self.assert_recovered()


class RequestsUnderWay(CrowdCase):
    def test_small_requests_pipelined_behind_a_call(self) -> None:
        self.deployment.apps[0].call_seconds = (0.5, 0.5)
        behind = b"GET / HTTP/1.1\r\nHost: none.example\r\n\r\n" * 20_000
        self.check(
            [
                [memoryview(request_head("/look/x", "", "GET")), memoryview(behind)]
                for _ in range(100)
            ]
        )

    def test_whole_bodies_for_engines_that_answer_late(self) -> None:
        self.deployment.apps[0].call_seconds = (3.0, 3.0)
        self.check([sized_request("/look/x") for _ in range(60)])

    def test_whole_bodies_for_engines_that_read_late(self) -> None:
        self.use_engines(3.0, b"done")
        self.check([sized_request("/look/x") for _ in range(60)])

    def test_large_answers_that_are_not_read(self) -> None:
        self.use_engines(0.0, BODY)
        requests = [
            [memoryview(request_head("/look/x", "", "GET")) for _ in range(4)] for _ in range(60)
        ]
        self.check(requests, reads=False)


class KeptTurns(CrowdCase):
    storage_nodes = 3

    def test_large_turns_that_are_kept(self) -> None:
        self.check([kept_turn() for _ in range(60)])

    def test_storage_nodes_beside_large_turns_that_are_kept(self) -> None:
        for _ in range(6):
            with Crowd(self.port, reads=False) as crowd:
                crowd.send([kept_turn() for _ in range(40)])
                wait_until(lambda c=crowd: not c.count_unanswered(), "all turns are answered")  # type: ignore[misc]
            for process in self.deployment.storage:
                self.assert_within_memory(process, STORAGE_MEMORY_MB)
        for number in range(MOST_TRIES):
            status, _ = self.deployment.turn(0, "/kept/x", f"turn-{number}", program_id="other")
            if status == OK:
                return
        self.fail("no ordinary turn is served")

    def test_turns_that_continue_a_long_chain(self) -> None:
        previous = ""
        for number in range(3):
            chain = {"Program_Id": "chain", "Token_Budget": "2000", "Token_Usage": "100,50"}
            chain.update({"Previous_Turn": previous} if previous else {})
            previous = f"chain-{number}"
            status = self.turn(previous, BODY[: 3 * 1024 * 1024], chain)
            self.assertEqual(status, OK)
        fields = {"Token_Budget": "200", "Token_Usage": "100,50", "Previous_Turn": previous}
        requests = []
        for number in range(40):
            head = request_head(
                "/kept/x", "Content-Length: 1", Program_Id=f"branch-{number}", **fields
            )
            requests.append([memoryview(head + b"x")])
        self.check(requests)

    def turn(self, request_id: str, body: bytes, fields: dict[str, str]) -> int:
        """Send a turn of an ordinary program, again after each refusal; return the last status."""
        status = 0
        for _ in range(MOST_TRIES):
            headers = {f"X-Yokeline-{k.replace('_', '-')}": v for k, v in fields.items()}
            answer = ask_raw(self.port, "/kept/x", request_id, headers, body=body)
            status = answer.status or 0
            if status != UNAVAILABLE:
                return status
            time.sleep(TRY_PAUSE_SECONDS)
        return status


class OtherPorts(CrowdCase):
    def check_port(self, port: int, data: bytes, count: int, process: RoleProcess) -> None:
        """Let a crowd send to a port that is not for callers."""
        memory_mb = EDGE_MEMORY_MB if process is self.edge else STORAGE_MEMORY_MB
        with Crowd(port) as crowd:
            crowd.send([[memoryview(data)] for _ in range(count)])
            self.assert_served(b"small")
            self.assert_within_memory(process, memory_mb)
            self.assertTrue(self.deployment.is_ready(0))
        self.assert_recovered()

    def test_bodies_at_the_address_of_readiness_that_lack_their_last_byte(self) -> None:
        size = 1024 * 1024
        data = request_head("/-/ready", f"Content-Length: {size}") + BODY[: size - 1]
        self.check_port(self.deployment._ready[0], data, 120, self.edge)

    def test_connections_to_the_address_of_readiness_that_send_nothing(self) -> None:
        with Crowd(self.deployment._ready[0]) as crowd:
            crowd.open(5000)
            self.assert_served(b"small")
            self.assert_all_within_memory()
            tries = [self.deployment.is_ready(0) for _ in range(MOST_TRIES)]
            self.assertIn(True, tries)
        self.assert_recovered()

    def test_frames_of_peers_that_never_end_at_a_forwarding_node(self) -> None:
        self.check_port(self.peer_port(self.edge), UNFINISHED_FRAME, 40, self.edge)

    def test_frames_of_peers_that_never_end_at_a_storage_node(self) -> None:
        storage = self.deployment.storage[0]
        self.check_port(self.peer_port(storage), UNFINISHED_FRAME, 40, storage)

    def test_connections_to_the_port_of_peers_that_send_nothing(self) -> None:
        with Crowd(self.peer_port(self.deployment.storage[0])) as crowd:
            crowd.open(1000)
            self.edge.kill()
            crowd.open(100)
            self.edge.start(first_start=False)
            wait_until(lambda: self.deployment.is_ready(0), "the forwarding node is ready")
            fields = {"program_id": "p", "token_budget": "200", "token_usage": "100,50"}
            asked = (self.deployment.ask(0, "/kept/x", f"t{n}", **fields)[0] for n in range(10))
            self.assertIn(OK, asked)
            self.assert_all_within_memory()
        self.assert_recovered()

    def peer_port(self, process: RoleProcess) -> int:
        return int(tomllib.loads(process._settings.read_text())["peer_port"])


class Connections(CrowdCase):
    descriptors = FEW_DESCRIPTORS

    def test_connections_that_send_nothing(self) -> None:
        with Crowd(self.port) as crowd:
            crowd.open(1500)
            self.assert_served(b"small")
            self.assert_all_within_memory()
        self.assert_recovered()

    def test_connections_that_stop_inside_a_head(self) -> None:
        self.check([[memoryview(request_head("/look/x", "")[:-2])] for _ in range(1500)])
