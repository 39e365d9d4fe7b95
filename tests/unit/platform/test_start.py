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

IMPORT_PROGRAM = "import sys, yokeline.platform.__main__; print('pkg_resources' in sys.modules)"


class Imports(unittest.TestCase):
    def test_pkg_resources_is_not_imported(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", IMPORT_PROGRAM],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(ended.stdout.strip(), "False")


COLLECTOR_PROGRAM = """
import gc, os, sys, tempfile
import yokeline.platform.__main__ as program
import yokeline.roles as roles
building, serving = [], []
build = roles._storage_services

def note_build(*arguments):
    built = build(*arguments)
    building.append(gc.isenabled())
    return built

roles._storage_services = note_build
def note_run(services, **options):
    serving.append((gc.isenabled(), gc.get_freeze_count() > 0))

roles.run_services = note_run
with tempfile.TemporaryDirectory() as folder:
    path = os.path.join(folder, "node.toml")
    with open(path, "w") as file:
        file.write('name = "n"\\nhost = "127.0.0.1"\\nstore = "127.0.0.1:1"\\npeer_port = 0\\n')
        file.write(f'data_folder = "{folder}"\\n')
    os.environ["YOKELINE_NODE_FILE"] = path
    program.main(["storage"])
print(building, serving, file=sys.stderr)
"""


class Collector(unittest.TestCase):
    def test_the_collector_runs_once_the_log_is_read_and_everything_is_frozen(self) -> None:
        """Collections during a start look at each recovered entry and free nothing."""
        ended = subprocess.run(
            [sys.executable, "-c", COLLECTOR_PROGRAM],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(ended.stderr.strip(), "[False] [(True, True)]")


EARLY_IMPORT_PROGRAM = """
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

    def test_an_early_connection_is_queued_until_the_role_serves_it(self) -> None:
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

    def test_both_peer_sockets_are_opened_early(self) -> None:
        port = self.free_port()
        early = open_early(self.settings(f'host = "127.0.0.1"\npeer_port = {port}\n'))
        sockets = ProcessStart(0.0, early).sockets(None, Address("127.0.0.1", port))
        assert sockets is not None
        self.addCleanup(sockets.close)
        self.assertEqual(sockets.peer_address(), Address("127.0.0.1", port))
        self.assertIsNotNone(sockets.datagrams)

    def test_an_address_in_use_is_reported_by_the_role(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as server:
            port = server.getsockname()[1]
            early = open_early(self.settings(f'front = "127.0.0.1:{port}"\n'))
            self.assertIsNone(ProcessStart(0.0, early).sockets(Address("127.0.0.1", port), None))
            opened = open_sockets(Address("127.0.0.1", port), None)
            self.assertIn("stop the process that listens there", opened.failure().remedy)

    def test_an_invalid_settings_file_opens_no_sockets(self) -> None:
        for path in ("/nowhere/node.toml", self.settings("front = \n")):
            self.assertIsNone(open_early(path).take_listener("127.0.0.1", 1))

    def test_early_sockets_import_only_the_standard_library(self) -> None:
        ended = subprocess.run(
            [sys.executable, "-c", EARLY_IMPORT_PROGRAM],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual(ended.stdout.strip(), "[]")
