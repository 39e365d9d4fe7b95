from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from yokeline.early_sockets import open_early
from yokeline.effects import Address
from yokeline.node.sockets import open_sockets
from yokeline.roles import ProcessStart

PROGRAM = "import sys, yokeline.platform.__main__; print('pkg_resources' in sys.modules)"


class Start(unittest.TestCase):
    def test_a_role_starts_without_an_import_that_takes_half_of_its_time(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, text=True, timeout=60, check=True
        )
        self.assertEqual(ended.stdout.strip(), "False")


IMPORTED_EARLY = """
import sys, yokeline.early_sockets
large = {'msgspec', 'circuits', 'absl', 'returns'}
print(sorted({name.split('.')[0] for name in sys.modules} & large))
"""


class EarlyListening(unittest.TestCase):
    def settings(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
            file.write(text)
        self.addCleanup(Path(file.name).unlink)
        return file.name

    def free_port(self) -> int:
        with socket.create_server(("127.0.0.1", 0)) as server:
            port: int = server.getsockname()[1]
            return port

    def test_a_caller_that_connects_before_the_role_is_imported_is_kept_waiting(self) -> None:
        port = self.free_port()
        early = open_early(self.settings(f'front = "127.0.0.1:{port}"\n'))
        self.addCleanup(early.close)
        with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\n\r\n")
            start = ProcessStart(0.0, early)
            sockets = start.sockets(Address("127.0.0.1", port), None)
            assert sockets is not None and sockets.http is not None
            self.addCleanup(sockets.close)
            served, _ = sockets.http.accept()
            with served:
                self.assertEqual(served.recv(4), b"GET ")

    def test_peers_find_both_sockets_open(self) -> None:
        port = self.free_port()
        early = open_early(self.settings(f'host = "127.0.0.1"\npeer_port = {port}\n'))
        sockets = ProcessStart(0.0, early).sockets(None, Address("127.0.0.1", port))
        assert sockets is not None
        self.addCleanup(sockets.close)
        self.assertEqual(sockets.peer_address(), Address("127.0.0.1", port))
        self.assertIsNotNone(sockets.datagrams)

    def test_an_address_in_use_is_left_to_the_role_which_says_why(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            early = open_early(self.settings(f'front = "127.0.0.1:{port}"\n'))
            self.assertIsNone(ProcessStart(0.0, early).sockets(Address("127.0.0.1", port), None))
            opened = open_sockets(Address("127.0.0.1", port), None)
            self.assertIn("stop the process that listens there", opened.failure().remedy)

    def test_a_file_that_cannot_be_read_opens_nothing(self) -> None:
        for path in ("/nowhere/node.toml", self.settings("front = \n")):
            self.assertIsNone(open_early(path).take_listener("127.0.0.1", 1))

    def test_only_the_standard_library_is_imported_before(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", IMPORTED_EARLY],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(ended.stdout.strip(), "[]")
