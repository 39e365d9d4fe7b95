"""Shared parts of the review's scripts: a small deployment, stand-ins, the record, exit codes.

Run from the repository's root with ``PYTHONPATH=target/deps:.`` after the build of the deploy file.
The roles are started with the commands of ``deploy/system.toml`` and settings in the form of
``deploy/node.toml``, with the figures of the site ``dallim-results``. The platform's store and the
engines are the project's own stand-ins; :class:`Store` may answer late.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.processes.platform import deployment as small
from tests.processes.platform.stand_ins import StoreStandIn
from tests.processes.platform.wire import WireEffect

from yokeline.effects import Event, HttpReply

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_SECONDS = 105
CALLER_HOST = small.CALLER_HOST
_started: list[subprocess.Popen[bytes]] = []


class Record:
    """What was sent, answered and run, in order of time, for ``record.txt``."""

    def __init__(self) -> None:
        self._began = time.monotonic()
        self._rows: list[tuple[float, str]] = []
        self._lock = threading.Lock()

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line; ``at`` is a time of ``time.monotonic``."""
        with self._lock:
            self._rows.append((time.monotonic() if at is None else at, text))

    def write(self, path: Path, summary: list[str]) -> None:
        """Write the lines, and the summary before them."""
        rows = sorted(self._rows, key=lambda row: row[0])
        lines = [f"{at - self._began:10.4f} s  {text}" for at, text in rows]
        path.write_text("\n".join([*summary, "", *lines]) + "\n")


# ------------------------------------------------------------ the system


class Role(small.RoleProcess):
    """A role, started with the command of the deploy file."""

    def start(self, *, first_start: bool = True) -> None:
        """Start the process; it is noted, so that it is ended whatever happens."""
        if not first_start:
            text = self._settings.read_text()
            self._settings.write_text(text.replace("first_start = true", "first_start = false"))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        passed = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                deploy["roles"][self.role]["run"].split(),
                cwd=ROOT,
                env={
                    **passed,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "YOKELINE_NODE_FILE": str(self._settings),
                },
                stdout=output,
                stderr=output,
            )
        _started.append(self._process)


class Store(StoreStandIn):
    """The platform's store, whose answers may be slow; what is asked is done at once.

    Attributes:
        answer_seconds: Time until an answer leaves.
    """

    def __init__(self) -> None:
        super().__init__()
        self.answer_seconds = 0.0
        self._waiting: list[tuple[float, WireEffect]] = []

    def handle(self, event: Event, now: float) -> list[WireEffect]:
        """Do what is asked, and return the answers that are due."""
        for effect in super().handle(event, now):
            is_slow = isinstance(effect, HttpReply)
            self._waiting.append((now + self.answer_seconds * is_slow, effect))
        due = [effect for at, effect in self._waiting if at <= now]
        self._waiting = [(at, effect) for at, effect in self._waiting if at > now]
        return due

    def next_deadline(self) -> float | None:
        """Return when the next answer is due."""
        dues = [at for at, _ in self._waiting]
        watch_due = super().next_deadline()
        if watch_due is not None:
            dues.append(watch_due)
        return min(dues, default=None)


small.StoreStandIn = Store  # type: ignore[misc]


class Deployment(small.Deployment):
    """Three storage nodes and two edges on loopback.

    Attributes:
        routes: Changes to the routes, by name.
    """

    def __init__(self, *, models: int = 2) -> None:
        super().__init__(storage_nodes=3, edges=2, models=models, apps=1)
        self.routes: dict[str, dict[str, object]] = {}

    def poke_watches(self) -> None:
        """Let the store's stand-in answer its watches at once, as PROTOCOL.md says it does."""
        connection = http.client.HTTPConnection(HOST, self._store_port, timeout=5)
        connection.request("GET", "/-/kv-key?private-key=review")
        connection.getresponse().read()
        connection.close()

    def retire(self, name: str, timeout_seconds: float = 20.0) -> None:
        """Order that a storage machine be emptied; stop it once the system says that it is.

        Raises:
            RuntimeError: The system did not say so in time.
        """
        self.store.put(f"op/retire/{name}", {"duration-s": 8})
        self.poke_watches()
        end = time.monotonic() + timeout_seconds
        while b"completed" not in self.stored(f"status/retire/{name}"):
            if time.monotonic() > end:
                raise RuntimeError(f"{name} was not emptied")
            time.sleep(0.05)
        next(process for process in self.storage if process.name == name).kill()

    def add_storage(self, number: int) -> None:
        """Start a storage machine with an empty disk that was not there before."""
        process = self._role("storage", number)
        self.storage.append(process)
        process.start(first_start=False)

    def stored(self, key: str) -> bytes:
        """Return a value in the platform's store; empty if there is none."""
        item = self.store.items.get(key)
        return base64.b64decode(item["value"]) if item is not None else b""

    def take_turn(self, edge: int, request_id: str, previous: str, record: Record) -> int | str:
        """Send a turn of a program, once; return its status if the answer came whole."""
        record.add(f"caller sends turn {request_id}, previous {previous!r}, to edge-{edge}")
        fields = {
            "Host": CALLER_HOST,
            "X-Yokeline-Request-Id": request_id,
            "X-Yokeline-Deadline-Ms": "3000",
            "X-Yokeline-Program-Id": "program",
            "X-Yokeline-Session-Id": "session",
            "X-Yokeline-Token-Budget": "100000",
            "X-Yokeline-Token-Usage": "100,50",
        }
        if previous:
            fields["X-Yokeline-Previous-Turn"] = previous
        connection = http.client.HTTPConnection(HOST, self.fronts[edge], timeout=6)
        status: int | str
        try:
            connection.request("POST", "/line/x", body=f"input-{request_id}\n", headers=fields)
            response = connection.getresponse()
            body = response.read()
            status = response.status
            text = f"whole: {body[:60]!r}"
        except (OSError, http.client.HTTPException) as error:
            status, text = "no answer", repr(error)
        finally:
            connection.close()
        record.add(f"caller gets {status} for turn {request_id}, {text}")
        return status

    def note_runs(self, record: Record) -> None:
        """Add what the model engines ran to the record."""
        for engine in self.models:
            for span in list(engine.spans):
                record.add(f"{engine.engine_id} ran {span.request_id}: {span.how}", span.began)

    def configure(self, version: int, *, fix_prefix: str = "/fix/") -> None:
        """Put a configuration in force, with the changes to the routes."""
        super().configure(version, fix_prefix=fix_prefix)
        if not self.routes:
            return
        document = json.loads(base64.b64decode(self.store.items["op/config"]["value"]))
        for route in document["routes"]:
            route.update(self.routes.get(route["name"], {}))
        self.store.put("op/config", document)

    def _role(self, role: str, number: int) -> Role:
        """Write the settings as the template ``deploy/node.toml`` gives them."""
        folder = Path(self._folder.name)
        name = f"{role}-{number}"
        is_edge = role == "edge"
        lines = [
            f'name = "{name}"',
            f'host = "{HOST}"',
            'zone = "a"',
            "first_start = true",
            f"peer_port = {next(self._ports)}",
            f"metrics_port = {next(self._ports)}",
            f'store = "{HOST}:{self._store_port}"',
            "grace_seconds = 8",
            "engine_drain_ms = 2000",
            f"max_descriptors = {4100 if is_edge else 8200}",
            f"link_mbps = {1000.0 if is_edge else 600.0}",
            "memory_mb = 260",
            'region = "r"',
            'zone_regions = { "a" = "r" }',
        ]
        if is_edge:
            front, ready = next(self._ports), next(self._ports)
            self.fronts.append(front)
            self._ready.append(ready)
            lines += [f'front = "{HOST}:{front}"', f'ready = "{HOST}:{ready}"']
        else:
            lines.append(f'data_folder = "{folder / name}"')
        settings = folder / f"{name}.toml"
        settings.write_text("\n".join(lines) + "\n")
        return Role(role, settings, folder / f"{name}.log")


# ------------------------------------------------------------ running a case


def in_parallel(work: Callable[[int], None], count: int) -> None:
    """Run ``work`` with the numbers below ``count``, each in a thread, and wait for all."""
    threads = [
        threading.Thread(target=work, args=(number,), daemon=True) for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def run_case(case: Callable[[bool, Record], tuple[bool, list[str]]], folder: Path) -> int:
    """Run a case; it returns whether the rule was broken, and a summary. Return the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record()
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(LONGEST_RUN_SECONDS)
    code = COULD_NOT_RUN
    summary = ["the case could not run"]
    try:
        if not (ROOT / "target" / "deps" / "yokeline").is_dir():
            raise RuntimeError("target/deps is missing: run the build line of deploy/system.toml")
        broken, summary = case(trouble, record)
        code = BROKEN if broken else HELD
    except BaseException as error:
        summary = [f"the case could not run: {error!r}"]
        code = COULD_NOT_RUN
    finally:
        signal.alarm(0)
        for process in _started:
            if process.poll() is None:
                process.kill()
        for process in _started:
            process.wait()
    head = [f"trouble: {trouble}", f"exit code: {code}", *summary]
    record.write(folder / "record.txt", head)
    print("\n".join(head))
    sys.stdout.flush()
    return code


def _give_up(number: int, frame: Any) -> None:
    raise TimeoutError(f"ended by signal {number}")
