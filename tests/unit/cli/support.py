"""A node's API on a loopback port, over the scripted gateway, and a way to run commands."""

from __future__ import annotations

import contextlib
import io
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer

from returns.result import Success

from tests.unit.gateway.support import Bench, Write
from yokeline.cli import main
from yokeline.effects import HttpArrived
from yokeline.identifiers import ExchangeId
from yokeline.labels.objects import StoredObject
from yokeline.node.http_target import split_target
from yokeline.store.writes import WriteResult


class CommandResult:
    """Exit code and output of a command."""

    def __init__(self, arguments: list[str]) -> None:
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = main(arguments)
        self.out = out.getvalue()
        self.err = err.getvalue()


class ApiServer:
    """Serves a bench's gateway; ``script`` runs after each request, before its answer."""

    def __init__(self, bench: Bench, script: Callable[[], None]) -> None:
        server = self
        self.requests: list[str] = []

        class Handler(BaseHTTPRequestHandler):
            def _serve(self) -> None:
                length = int(self.headers.get("content-length", "0"))
                path, query = split_target(self.path)
                server.requests.append(f"{self.command} {path}")
                exchange = ExchangeId(f"c{len(server.requests)}")
                arrived = HttpArrived(
                    exchange=exchange,
                    method=self.command,
                    path=path,
                    query=query,
                    headers={name.lower(): value for name, value in self.headers.items()},
                    body=self.rfile.read(length),
                )
                bench.gateway.handle(arrived)
                script()
                answer = bench.answer(exchange)
                self.send_response(answer.status)
                for name, value in answer.headers.items():
                    self.send_header(name, value)
                self.end_headers()
                self.wfile.write(answer.body)

            do_GET = do_PUT = do_POST = do_DELETE = _serve  # noqa: N815

            def log_message(self, *arguments: object) -> None:
                """Keep quiet."""

        self._server = HTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))
        self._thread.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()


def apply_write(bench: Bench, write: Write) -> StoredObject:
    """Put a write into force, as the store would."""
    configuration = bench.configuration
    item = StoredObject(
        kind=write.kind,
        name=write.name,
        revision=configuration.revision() + 1,
        body=write.body or "",
        operation=write.operation,
    )
    configuration.current = configuration.current.with_objects([item])
    return item


def answer_writes(bench: Bench) -> None:
    """Apply and answer all writes that wait."""
    for write in bench.writer.writes:
        item = apply_write(bench, write)
        write.done(Success(WriteResult(revision=item.revision, operation=write.operation)))
    bench.writer.writes.clear()
