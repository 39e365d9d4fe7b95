"""Real node processes on loopback: processor time and memory as the kernel counts them."""

from __future__ import annotations

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path

import msgspec

from benchmarks.scale.load import RequestMaker, agent
from benchmarks.scale.speed import SpeedMeter
from benchmarks.scale.tables import print_table
from yokeline.bearer_tokens import token_digest
from yokeline.simulation.objects import AGENT_PROGRAM, MODEL, caller_token, platform_objects

HOST = "127.0.0.1"
PLATFORM_TOKEN = "scale-platform-token"
TENANT = "tenant-1"
SHARDS = 64
ENGINES = 4
ZONES = 3
READY_SECONDS = 60.0
SETTLE_SECONDS = 10.0
STOP_SECONDS = 60.0
CLIENT_THREADS = 16
REQUEST_SECONDS = 60.0
PERCENT = 100.0
MEBIBYTE = 1024 * 1024
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_TCP_SENT = re.compile(r"bytes_sent:(\d+)")
_SOCKET_PID = re.compile(r"pid=(\d+)")


class Usage(msgspec.Struct, frozen=True):
    """What a process has used so far."""

    cpu_seconds: float
    resident_bytes: int
    tcp_bytes: int


class RealDeployment:
    """Stand-ins and nodes as processes; use it as a context manager."""

    def __init__(self, nodes: int) -> None:
        """Choose ports; nothing runs before the context is entered."""
        ports = _free_ports(2 * nodes + ENGINES + 4)
        self.http_ports = ports[:nodes]
        self._peer_ports = ports[nodes : 2 * nodes]
        self._engine_ports = ports[2 * nodes : 2 * nodes + ENGINES]
        self._store, self._machines, self._tool, self._app = ports[2 * nodes + ENGINES :]
        self._folder = tempfile.TemporaryDirectory(prefix="yokeline-scale-")
        self._processes: list[subprocess.Popen[bytes]] = []
        self.node_processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> RealDeployment:
        """Start all processes and wait until the nodes are ready and configured."""
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        """Stop the processes that this deployment started."""
        for process in [*self.node_processes, *self._processes]:
            process.send_signal(signal.SIGTERM)
        for process in [*self.node_processes, *self._processes]:
            try:
                process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
        self._folder.cleanup()

    def _start_all(self) -> None:
        for kind, port in (("store", self._store), ("machines", self._machines)):
            self._start_stand_in(kind, port)
        for port in self._engine_ports:
            self._start_stand_in("engine", port, f'[parameters]\nmodels = ["{MODEL}"]\n')
        self._start_stand_in("tool", self._tool)
        self._start_stand_in("app", self._app)
        _wait_for(self._store, "/healthz", any_status=True)
        for number in range(len(self.http_ports)):
            arguments = ["node", str(self._settings(number))]
            self.node_processes.append(self._start(arguments))
        for port in self.http_ports:
            _wait_for(port, "/readyz")
        self._load_objects()

    def _start_stand_in(self, kind: str, port: int, settings: str = "") -> None:
        arguments = ["emulate", kind, "--port", str(port)]
        if settings:
            file = Path(self._folder.name) / f"{kind}-{port}.toml"
            file.write_text(settings)
            arguments += ["--settings", str(file)]
        self._processes.append(self._start(arguments))

    def _start(self, arguments: list[str]) -> subprocess.Popen[bytes]:
        log = (Path(self._folder.name) / "log").open("ab")
        command = [sys.executable, "-m", "yokeline.cli", *arguments]
        return subprocess.Popen(command, stdout=log, stderr=log)

    def _settings(self, number: int) -> Path:
        seeds = ", ".join(f'"{HOST}:{port}"' for port in self._peer_ports[:3])
        text = f"""
[node]
name = "node-{number}"
zone = "zone-{number % ZONES}"
host = "{HOST}"
http_port = {self.http_ports[number]}
peer_port = {self._peer_ports[number]}
[cluster]
seeds = [{seeds}]
expected_nodes = {len(self.http_ports)}
shards = {SHARDS}
[platform]
store = "{HOST}:{self._store}"
machine_list = "{HOST}:{self._machines}"
[gateway]
platform_token_digest = "{token_digest(PLATFORM_TOKEN)}"
"""
        file = Path(self._folder.name) / f"node-{number}.toml"
        file.write_text(text)
        return file

    def _load_objects(self) -> None:
        objects = platform_objects(
            tenants=(TENANT,),
            engines=tuple(f"{HOST}:{port}" for port in self._engine_ports),
            results_apps=(f"{HOST}:{self._app}",),
            alert_apps=(f"{HOST}:{self._app}",),
            fenced_tools=(f"{HOST}:{self._tool}",),
            plain_tools=(f"{HOST}:{self._tool}",),
        )
        for item in objects:
            path = f"/admin/v1/{item.kind.value}/{item.name}"
            path += f"?tenant={item.tenant}" if item.tenant else ""
            status = _request(self.http_ports[0], "PUT", path, PLATFORM_TOKEN, item.body)
            if status not in (200, 201):
                raise RuntimeError(f"{path} was answered {status}")


class RealLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What the clients send.

    Attributes:
        rate: Agent runs a second over all nodes; 0 for none.
        tools: Tool calls of a run; it makes one model call more.
        words: Words of its answer.
        streamed: Read the run as server-sent events.
    """

    rate: float = 0.0
    tools: int = 2
    words: int = 40
    streamed: bool = False

    def maker(self) -> RequestMaker:
        """Return what makes the requests."""
        return agent(self.tools, self.words, streamed=self.streamed)


def measure(nodes: int, seconds: float, load: RealLoad) -> None:
    """Start a deployment, measure its nodes for some seconds and print a table."""
    with RealDeployment(nodes) as deployment:
        client = _Client(deployment.http_ports, load)
        client.start(SETTLE_SECONDS + seconds)
        time.sleep(SETTLE_SECONDS)
        pids = [process.pid for process in deployment.node_processes]
        before = _usages(pids)
        started = time.monotonic()
        done = client.done()
        meter = SpeedMeter()
        time.sleep(seconds)
        slower = meter.stop()
        elapsed = time.monotonic() - started
        after = _usages(pids)
        answered = client.done() - done
        client.join()
    rows = []
    for pid in pids:
        cpu = (after[pid].cpu_seconds - before[pid].cpu_seconds) / elapsed / slower * PERCENT
        sent = (after[pid].tcp_bytes - before[pid].tcp_bytes) / elapsed
        rows.append((cpu, after[pid].resident_bytes / MEBIBYTE, sent))
    title = f"{nodes} real nodes, {SHARDS} shards, {answered / elapsed:.1f} runs a second"
    if load.rate:
        title += f" ({load.tools} tool calls, {load.words} words, streamed: {load.streamed})"
    title += f"; the machine was {slower:.2f} times slower than quiet"
    head = ("", "% of a quiet core", "resident MiB", "TCP payload bytes/s sent")
    mean = [sum(row[index] for row in rows) / nodes for index in range(3)]
    most = [max(row[index] for row in rows) for index in range(3)]
    table = [
        (name, f"{cpu:.2f}", f"{resident:.1f}", f"{sent:.0f}")
        for name, (cpu, resident, sent) in (("mean", mean), ("most", most))
    ]
    print_table(title, head, table)
    if load.rate:
        print(f"- statuses: {dict(sorted(client.outcomes.items()))}", flush=True)


class _Client:
    """Sends agent runs at a steady rate from threads of this process."""

    def __init__(self, ports: list[int], load: RealLoad) -> None:
        self.outcomes: Counter[int] = Counter()
        self._ports = ports
        self._rate = load.rate
        self._accept = "text/event-stream" if load.streamed else "application/json"
        self._threads: list[threading.Thread] = []
        self._make = load.maker()

    def start(self, seconds: float) -> None:
        if not self._rate:
            return
        ends = time.monotonic() + seconds
        for number in range(CLIENT_THREADS):
            thread = threading.Thread(target=self._run, args=(number, ends))
            self._threads.append(thread)
            thread.start()

    def done(self) -> int:
        return sum(self.outcomes.values())

    def join(self) -> None:
        for thread in self._threads:
            thread.join()

    def _run(self, number: int, ends: float) -> None:
        period = CLIENT_THREADS / self._rate
        due = time.monotonic() + number * period / CLIENT_THREADS
        count = number
        while time.monotonic() < ends:
            time.sleep(max(0.0, due - time.monotonic()))
            due += period
            request = self._make(count)
            body = json.dumps({"input": request.input, "wait": True}).encode()
            port = self._ports[count % len(self._ports)]
            path = f"/v1/programs/{AGENT_PROGRAM}/runs"
            token = caller_token(TENANT)
            status = _request(port, "POST", path, token, body, accept=self._accept)
            self.outcomes[status] += 1
            count += CLIENT_THREADS


def _usages(pids: list[int]) -> dict[int, Usage]:
    sent = _tcp_bytes_by_pid()
    return {pid: Usage(_cpu_of(pid), _resident_of(pid), sent[pid]) for pid in pids}


def _cpu_of(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS


def _resident_of(pid: int) -> int:
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def _tcp_bytes_by_pid() -> Counter[int]:
    """Return the bytes sent on open TCP sockets by process; nothing where there is no ``ss``."""
    sent: Counter[int] = Counter()
    try:
        listing = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True, check=False)
    except FileNotFoundError:
        return sent
    owner = 0
    for line in listing.stdout.splitlines():
        found = _SOCKET_PID.search(line)
        if not line[:1].isspace():
            owner = int(found[1]) if found else 0
        amount = _TCP_SENT.search(line)
        if amount and owner:
            sent[owner] += int(amount[1])
    return sent


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


def _wait_for(port: int, path: str, *, any_status: bool = False) -> None:
    deadline = time.monotonic() + READY_SECONDS
    while time.monotonic() < deadline:
        status = _request(port, "GET", path, "")
        if status == 200 or (any_status and status):
            return
        time.sleep(0.2)
    raise RuntimeError(f"{HOST}:{port}{path} is not ready after {READY_SECONDS:g} s")


def _request(
    port: int,
    method: str,
    path: str,
    token: str,
    body: bytes = b"",
    *,
    accept: str = "application/json",
) -> int:
    connection = http.client.HTTPConnection(HOST, port, timeout=REQUEST_SECONDS)
    headers = {"Content-Type": "application/json", "Accept": accept}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    try:
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status
    except OSError:
        return 0
    finally:
        connection.close()
